//! Tests of the validation of the settings tree, of authorization and of patches.

use proptest::prelude::*;
use serde_json::{Value, json};
use test_case::test_case;
use waxwing_settings::{checks, credentials, files, ownership, patches, schema, view};

fn tree() -> Value {
    json!({
        "tiers": {"urgent": {"rank": 0}, "bulk": {"rank": 1}},
        "models": {"draft": {"copies": 2}},
        "policy": {"offers": 2},
        "fleet": {
            "operators": {"ada": {"token_digests": [digest("root")]}},
            "delegations": {"bench": ["/models"]}
        },
        "teams": {
            "bench": {
                "operators": {"lin": {"token_digests": [digest("lin")]}},
                "accounts": {"orders": {"token_digests": [digest("orders")], "tiers": ["bulk"]}},
                "services": {
                    "letters": {"kind": "model", "models": ["draft"], "default_tier": "bulk"},
                    "register": {"kind": "plain", "default_tier": "urgent"}
                },
                "roles": {"writer": {"models": ["draft"]}}
            },
            "other": {}
        }
    })
}

fn digest(token: &str) -> String {
    credentials::TokenDigest::of(token).to_string()
}

fn patched(path: &str, value: Value) -> Value {
    let mut tree = tree();
    let patch = patches::SettingsPatch::from_entries([(path.into(), value)]).unwrap();
    patch.apply(&mut tree).unwrap();
    tree
}

/// Guards against the rejection of a valid tree.
#[test]
fn valid_tree_is_accepted() {
    checks::check_tree(&tree()).unwrap();
    checks::check_tree(&json!({})).unwrap();
}

/// Guards against invalid values that would break the processes that use them.
#[test_case("/tiers/urgent/rank", json!(256), "256", "from 0 to 255"; "range")]
#[test_case("/tiers/urgent/rank", json!("0"), "\"0\"", "whole number"; "kind of value")]
#[test_case("/tiers/urgent/rank", json!(1), "1", "tier `bulk`"; "rank used twice")]
#[test_case("/tiers/urgent", json!({}), "nothing", "whole number"; "missing value")]
#[test_case("/tiers/a b", json!({"rank": 3}), "a b", "64 ASCII letters"; "name")]
#[test_case("/policy/offers", json!(-1), "-1", "from 1 to 8 agents"; "unit is shown")]
#[test_case("/policy/offers", json!(5), "4", "at least `offers`, which is 5"; "two values")]
#[test_case("/policy/answer_retention_s", json!(90_000), "90000", "is 86400"; "answers outlive keys")]
#[test_case("/policy/key_retention_s", json!(3_600), "3600", "from 3601"; "keys outlive deadlines")]
#[test_case("/policy/routing", json!("fast"), "\"fast\"", "late-binding"; "choice")]
#[test_case("/policy/speed", json!(1), "an unknown name", "routing"; "unknown name")]
#[test_case("/policy", json!([]), "[]", "an object"; "object")]
#[test_case("/fleet/delegations/bench", json!(["/fleet"]), "/fleet", "operators"; "operators delegated")]
#[test_case("/fleet/delegations/none", json!(["/models"]), "none", "of a team"; "unknown team")]
#[test_case("/teams/bench/accounts/orders/tiers", json!(["night"]), "night", "bulk, urgent"; "tier")]
#[test_case("/teams/bench/accounts/orders/services", json!(["no"]), "no", "letters"; "service")]
#[test_case("/teams/bench/services/letters/models", json!(["big"]), "big", "draft"; "model")]
#[test_case("/teams/bench/services/register/models", json!(["draft"]), "1 models", "plain"; "plain")]
#[test_case("/teams/bench/services/letters/default_tier", json!("x"), "x", "urgent"; "default tier")]
#[test_case("/teams/bench/roles/writer/models", json!(["big"]), "big", "draft"; "model of a role")]
#[test_case("/teams/other/roles", json!({"writer": {}}), "writer", "team `bench`"; "role twice")]
#[test_case("/teams/other/accounts", json!({"orders": {"token_digests": []}}), "orders", "team `bench`"; "account twice")]
#[test_case("/teams/other/services", json!({"letters": {"kind": "plain", "default_tier": "bulk"}}), "letters", "team `bench`"; "service twice")]
fn invalid_value_is_refused(path: &str, value: Value, found: &str, allowed: &str) {
    let findings = checks::check_tree(&patched(path, value)).unwrap_err();
    let matches = |finding: &checks::SettingFinding| {
        finding.found.contains(found) && finding.allowed.contains(allowed)
    };
    assert!(findings.iter().any(matches), "{findings:?}");
}

/// Guards against a report of only the first of several invalid values.
#[test]
fn all_invalid_values_are_reported_with_paths() {
    let mut tree = patched("/policy/offers", json!(0));
    tree["tiers"]["bulk"]["rank"] = json!(-1);
    let findings = checks::check_tree(&tree).unwrap_err();
    let paths: Vec<_> = findings.iter().map(|finding| &*finding.path).collect();
    assert_eq!(paths, ["/policy/offers", "/tiers/bulk/rank"]);
}

/// Guards against credentials in findings, which end up in logs and terminals.
#[test]
fn findings_contain_no_credentials() {
    let path = "/teams/bench/accounts/orders/token_digests";
    for value in [json!(["a-token-in-clear"]), json!("a-token-in-clear")] {
        let findings = checks::check_tree(&patched(path, value)).unwrap_err();
        assert!(!format!("{findings:?}").contains("a-token-in-clear"));
    }
    let value = json!({"b": {"token_digests": [digest("lin")]}});
    let findings = checks::check_tree(&patched("/teams/other/accounts", value)).unwrap_err();
    assert!(!format!("{findings:?}").contains(&digest("lin")));
}

/// Guards against defaults in the schema that differ from those of the types.
#[test]
fn schema_and_types_agree() {
    let typed = serde_json::to_value(view::SettingsTree::default()).unwrap();
    let fixed = schema::SETTINGS
        .iter()
        .filter(|spec| !spec.path.contains('{'));
    for spec in fixed {
        let found = typed.pointer(spec.path).unwrap();
        let found = found
            .as_str()
            .map_or_else(|| found.to_string(), ToOwned::to_owned);
        assert_eq!(Some(found.as_str()), spec.default, "{}", spec.path);
    }
    checks::check_tree(&typed).unwrap();
}

/// Guards against changes by an operator to settings of another team or of root.
#[test_case("root", "/tiers/urgent", true; "root owns tiers")]
#[test_case("root", "/teams/bench", true; "root owns teams")]
#[test_case("lin", "/teams/bench/accounts/orders", true; "own account")]
#[test_case("lin", "/teams/bench/operators/lin", true; "own operators")]
#[test_case("lin", "/teams/bench", false; "the team itself")]
#[test_case("lin", "/teams", false; "all teams")]
#[test_case("lin", "/teams/benches/accounts/a", false; "name with the same start")]
#[test_case("lin", "/teams/other/accounts/a", false; "other team")]
#[test_case("lin", "/models/draft/copies", true; "delegated")]
#[test_case("lin", "/tiers/urgent", false; "not delegated")]
#[test_case("lin", "/fleet/delegations/bench", false; "own delegations")]
fn operators_change_only_what_they_own(token: &str, path: &str, allowed: bool) {
    let typed = checks::check_tree(&tree()).unwrap();
    let digest = credentials::TokenDigest::of(token);
    let operator = ownership::find_operator(&typed, digest).unwrap();
    let found = ownership::may_change(&typed, &operator.scope, path);
    assert_eq!(found, allowed);
}

/// Guards against an account token that authenticates an operator, and against token digests of
/// other teams in responses to operators.
#[test]
fn account_is_no_operator_and_foreign_digests_are_hidden() {
    let typed = checks::check_tree(&tree()).unwrap();
    let account = credentials::TokenDigest::of("orders");
    assert_eq!(ownership::find_operator(&typed, account), None);
    let scope = ownership::OperatorScope::Team("other".parse().unwrap());
    let mut shown = tree();
    ownership::hide_digests(&typed, &scope, "", &mut shown);
    assert!(!shown.to_string().contains(&digest("orders")));
    let mut shown = tree();
    ownership::hide_digests(&typed, &ownership::OperatorScope::Root, "", &mut shown);
    assert_eq!(shown, tree());
}

#[test_case(r#"{"/a": 1, "/a/b": 2}"#; "nested")]
#[test_case(r#"{"a": 1}"#; "no slash")]
#[test_case(r#"{"/a//b": 1}"#; "empty name")]
#[test_case(r#"{"/1/2/3/4/5/6/7/8/9/10/11/12/13/14/15/16/17": 1}"#; "too deep")]
#[test_case("[]"; "no object")]
fn malformed_patch_is_refused(text: &str) {
    patches::SettingsPatch::from_slice(text.as_bytes()).unwrap_err();
}

#[test_case("/tiers/night", Value::Null; "removal of nothing")]
#[test_case("/tiers/urgent/rank/a", json!(1); "path through a number")]
fn inapplicable_patch_is_refused(path: &str, value: Value) {
    let patch = patches::SettingsPatch::from_entries([(path.into(), value)]).unwrap();
    patch.apply(&mut tree()).unwrap_err();
}

/// Generates JSON objects without nulls, whose names are valid in a path.
fn objects() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        any::<u32>().prop_map(Value::from),
        "[a-z]{0,4}".prop_map(Value::from),
        prop::collection::vec(any::<u8>().prop_map(Value::from), 0..3).prop_map(Value::from),
    ];
    let value = leaf.prop_recursive(3, 24, 4, |inner| {
        prop::collection::btree_map("[a-c]", inner, 0..4)
            .prop_map(|map| Value::Object(map.into_iter().collect()))
    });
    prop::collection::btree_map("[a-c]", value, 0..4)
        .prop_map(|map| Value::Object(map.into_iter().collect()))
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Guards against a diff that doesn't reproduce the new tree when applied to the old one.
    #[test]
    fn applied_diff_turns_old_into_new(old in objects(), new in objects()) {
        let patch = patches::SettingsPatch::diff(&old, &new);
        let patch = patches::SettingsPatch::from_slice(&patch.to_vec()).unwrap();
        let mut changed = old.clone();
        patch.apply(&mut changed).unwrap();
        prop_assert_eq!(changed, new);
    }

    /// Guards against a panic while a settings file is parsed.
    #[test]
    fn any_text_is_read_or_refused(text in any::<String>()) {
        let _ = files::parse::<view::SettingsTree>("file", &text);
    }

    /// Guards against a panic while a patch is parsed, which would end a control host.
    #[test]
    fn any_patch_is_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = patches::SettingsPatch::from_slice(&bytes);
    }

    /// Guards against a panic in the validation, and against a valid tree that can't be
    /// deserialized.
    #[test]
    fn any_tree_is_checked(found in objects(), section in 0usize..5) {
        let name = ["tiers", "models", "policy", "fleet", "teams"][section];
        let mut whole = tree();
        whole[name] = found;
        if checks::check_tree(&whole).is_ok() {
            prop_assert!(serde_json::from_value::<view::SettingsTree>(whole).is_ok());
        }
    }
}

/// Guards against an operators' page that differs from the schema.
#[test]
fn settings_page_is_current() {
    let page = include_str!("../../../docs/operations/settings.md");
    assert_eq!(page, waxwing_settings::pages::settings_page());
}
