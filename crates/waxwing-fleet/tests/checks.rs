//! Checks of a document before it is sent: they agree with what control hosts accept, and name what
//! has no effect.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use smol_str::{SmolStr, format_smolstr};
use test_case::test_case;
use waxwing_fleet::{
    changes::{ChangeEffect, compare},
    checks::{FindingSeverity, check, check_version},
    deployments::{
        AccountQuota, ClientAccount, DeploymentParts, FleetDeployment, FleetService, QuotaUnit,
        RouteTarget, ServiceRoute,
    },
};

use support::route;

fn account(name: &str, key: &str) -> ClientAccount {
    ClientAccount {
        name: SmolStr::new(name),
        keys: vec![SmolStr::new(key)],
        rank: None,
        quota: Some(AccountQuota {
            unit: QuotaUnit::Tokens,
            rate: 1_000.0,
            burst: 1_000.0,
            default_cost: 200.0,
        }),
    }
}

fn parts() -> DeploymentParts {
    DeploymentParts {
        version: 3,
        routes: vec![route("all", "/"), route("orders", "/orders/")],
        services: vec![FleetService {
            name: SmolStr::new("register"),
            health_path: SmolStr::new("/health"),
            max_connections: 10,
            engine: None,
        }],
        accounts: Some(vec![account("one", "k1"), account("two", "k2")]),
        ..DeploymentParts::default()
    }
}

#[test]
fn sound_document_has_no_findings() {
    assert_eq!(check(&parts()), Vec::new());
}

type Edit = fn(&mut DeploymentParts);

/// Each fault is named with its place; errors are those for which control hosts refuse it.
#[test_case(|parts| parts.routes[0].targets[0].service = "no".into(), "routes/all/service", true; "unknown service")]
#[test_case(|parts| parts.routes[1].prefix = "/".into(), "routes/orders", true; "same place")]
#[test_case(|parts| parts.routes[0].targets[0].weight = 0, "routes/all/weights", true; "no weight")]
#[test_case(|parts| parts.routes[0].timeout = Duration::ZERO, "routes/all/timeout", true; "no time")]
#[test_case(|parts| parts.accounts.as_mut().unwrap()[1].keys = vec!["k1".into()], "accounts/two/keys", true; "shared key")]
#[test_case(|parts| parts.accounts.as_mut().unwrap()[1].keys.clear(), "accounts/two/keys", false; "no key")]
#[test_case(|parts| parts.routes[0].timeout = Duration::from_millis(50), "routes/all/timeout", false; "timeout below the objective")]
#[test_case(|parts| parts.routes[0].max_pause = Duration::from_secs(2), "routes/all/max_pause", false; "pause above the timeout")]
#[test_case(|parts| parts.routes[0].prefix = "orders".into(), "routes/all/prefix", false; "prefix without slashes")]
#[test_case(|parts| parts.routes[0].host = "".into(), "routes/all/host", false; "no host")]
#[test_case(|parts| parts.accounts.as_mut().unwrap()[0].quota.as_mut().unwrap().burst = 10.0, "accounts/one/burst", false; "burst below one request")]
#[test_case(|parts| parts.accounts.as_mut().unwrap()[0].quota.as_mut().unwrap().rate = 0.0, "accounts/one/rate", false; "rate of zero")]
#[test_case(|parts| parts.services[0].max_connections = 0, "services/register/max_connections", false; "no connections")]
#[test_case(|parts| parts.services.push(FleetService { name: "idle".into(), ..parts.services[0].clone() }), "services/idle", false; "unused service")]
#[test_case(|parts| parts.limits.head_bytes.0 = 0, "limits/head_bytes", false; "no head")]
fn fault_is_named_with_its_place(edit: Edit, path: &str, is_error: bool) {
    let mut parts = parts();
    edit(&mut parts);
    let findings = check(&parts);
    let finding = findings.iter().find(|finding| finding.path == path);
    let finding = finding.unwrap_or_else(|| panic!("{findings:?}"));
    assert_eq!(finding.severity == FindingSeverity::Error, is_error);
    assert_eq!(FleetDeployment::new(parts).is_err(), is_error);
}

/// Findings may be printed and logged; keys are secrets.
#[test]
fn findings_hold_no_keys() {
    let mut parts = parts();
    parts.accounts.as_mut().unwrap()[1].keys = vec!["k1".into(), "k1".into()];
    let text = format!("{:?}{:?}", check(&parts), compare(&self::parts(), &parts));
    assert!(!text.contains("k1") && !text.contains("k2"), "{text}");
}

/// What will hurt callers most is told first.
#[test]
fn changes_are_listed_by_their_effect() {
    let mut new = parts();
    new.version = 4;
    new.routes.remove(1);
    new.routes[0].targets[0].service = "other".into();
    new.routes[0].timeout = Duration::from_millis(500);
    new.routes.push(route("new", "/new/"));
    new.accounts.as_mut().unwrap()[0].keys = vec!["k3".into()];
    new.accounts.as_mut().unwrap()[1]
        .quota
        .as_mut()
        .unwrap()
        .rate = 10.0;
    let changes = compare(&parts(), &new);
    let listed: Vec<_> = changes
        .iter()
        .map(|change| (change.effect, change.path.as_str()))
        .collect();
    assert_eq!(
        listed,
        vec![
            (ChangeEffect::Refuses, "accounts/one/keys"),
            (ChangeEffect::Refuses, "routes/orders"),
            (ChangeEffect::Moves, "routes/all/service"),
            (ChangeEffect::Restricts, "accounts/two/rate"),
            (ChangeEffect::Restricts, "routes/all/timeout"),
            (ChangeEffect::Adds, "accounts/one/keys"),
            (ChangeEffect::Adds, "routes/new"),
        ]
    );
    assert_eq!(compare(&parts(), &parts()), Vec::new());
    assert!(check_version(&parts(), &new).is_none());
    assert!(check_version(&new, &parts()).is_some());
}

/// Guards against a change that shuts callers out, or lets requests without a key in, and that isn't
/// listed as such: the removal of the last account, and of the whole list.
#[test_case(|parts| parts.accounts = Some(Vec::new()), &[
    (ChangeEffect::Refuses, "accounts/one/keys"),
    (ChangeEffect::Refuses, "accounts/two/keys"),
]; "all accounts removed")]
#[test_case(|parts| parts.accounts = None, &[(ChangeEffect::Adds, "accounts")]; "no list of accounts")]
fn change_of_who_needs_a_key_is_listed(edit: Edit, expected: &[(ChangeEffect, &str)]) {
    let mut new = parts();
    edit(&mut new);
    let changes = compare(&parts(), &new);
    let listed: Vec<_> = changes
        .iter()
        .map(|change| (change.effect, change.path.as_str()))
        .collect();
    assert_eq!(listed, expected);
    let back = compare(&new, &parts());
    let refuses = back
        .iter()
        .any(|change| change.effect == ChangeEffect::Refuses);
    assert_eq!(refuses, new.accounts.is_none());
    let has_warning = check(&new).iter().any(|finding| finding.path == "accounts");
    assert_eq!(has_warning, new.accounts.is_some());
}

fn any_route() -> impl Strategy<Value = ServiceRoute> {
    let target = (0_u8..4, 0_u32..3).prop_map(|(service, weight)| RouteTarget {
        service: format_smolstr!("s{service}"),
        weight,
    });
    let times = (0_u64..3, 0_u64..3, 0_u64..3);
    let texts = (0_u8..4, "[a/ ]{0,3}");
    (texts, prop::collection::vec(target, 0..3), times, 0_u32..3).prop_map(
        |((host, prefix), targets, (timeout, objective, pause), attempts)| ServiceRoute {
            host: format_smolstr!("h{host}"),
            timeout: Duration::from_secs(timeout),
            objective: Duration::from_secs(objective),
            max_pause: Duration::from_secs(pause),
            targets,
            attempts,
            ..route("any", &prefix)
        },
    )
}

fn any_account() -> impl Strategy<Value = ClientAccount> {
    (
        0_u8..3,
        prop::collection::vec("[kl]{0,2}", 0..3),
        any::<f64>(),
        any::<f64>(),
    )
        .prop_map(|(name, keys, rate, burst)| {
            let mut any = account(&format!("a{name}"), "");
            any.keys = keys.into_iter().map(SmolStr::new).collect();
            any.quota = any.quota.map(|quota| AccountQuota {
                rate,
                burst,
                ..quota
            });
            any
        })
}

proptest! {
    /// What the check calls valid is accepted by a control host, and the other way round; and no
    /// document makes it panic.
    #[test]
    fn check_agrees_with_control_hosts(
        routes in prop::collection::vec(any_route(), 0..6),
        accounts in prop::option::of(prop::collection::vec(any_account(), 0..4)),
        services in 0_u8..4,
    ) {
        let service = |number| FleetService {
            name: format_smolstr!("s{number}"),
            ..parts().services[0].clone()
        };
        let document = DeploymentParts {
            routes,
            accounts,
            services: (0..services).map(service).collect(),
            ..parts()
        };
        let has_errors = check(&document)
            .iter()
            .any(|finding| finding.severity == FindingSeverity::Error);
        let _ = compare(&parts(), &document);
        let _ = compare(&document, &parts());
        prop_assert_eq!(FleetDeployment::new(document).is_err(), has_errors);
    }
}
