//! Tests of experiment files and arrival schedules.

use std::{fs, path::PathBuf};

use test_case::test_case;
use waxwing_load::{arrivals, errors::LoadError, experiments};
use waxwing_settings::view;

fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../experiments")
}

fn sample() -> experiments::Experiment {
    experiments::load(&folder().join("burst.json")).expect("the file is valid")
}

/// Guards against experiment files that no longer fit the tool, the tiers, the models or the
/// accounts of the settings that they name.
#[test]
fn all_experiment_files_are_valid() {
    let files = fs::read_dir(folder()).expect("the folder exists");
    let mut count = 0;
    for file in files {
        let file = file.expect("an entry").path();
        let experiment = experiments::load(&file).unwrap_or_else(|error| panic!("{error}"));
        let settings = folder().join(experiment.settings.as_str());
        let tree: view::SettingsTree =
            waxwing_settings::files::load(&settings).unwrap_or_else(|error| panic!("{error}"));
        let view = view::SettingsView::new(waxwing_core::ids::SettingsVersion(1), tree);
        for account in &experiment.accounts {
            let entry = view
                .account(&account.token)
                .expect("the token opens an account");
            assert_eq!(entry.name, account.name);
        }
        for class in &experiment.classes {
            assert!(view.tree.tiers.contains_key(&class.tier), "{}", class.tier);
            if let experiments::CallPlan::Chat(chat) = &class.call {
                assert!(view.tree.models.contains_key(&chat.model), "{}", chat.model);
                // A shorter deadline would contradict the latency targets of the design page.
                let needed = 990 + 58 * chat.output_tokens[1];
                let deadline = class.deadline_ms;
                assert!(deadline >= needed, "{}: {deadline} < {needed}", class.name);
            }
        }
        count += 1;
    }
    assert!(count >= 6, "every row of the targets has an experiment");
}

/// Guards against errors that leave an operator to guess what is wrong with a file.
#[test_case("\"duration_ms\": 20000", "\"duration_ms\": 0", "/duration_ms", "0", "1 to 120,000"; "duration")]
#[test_case("\"plain\": 3", "\"plain\": 99", "/fleet/plain", "99", "0 to 16"; "fleet")]
#[test_case("[30, 300]", "[300, 30]", "/classes/1/call/chat/prompt_tokens", "[300, 30]", "ascending"; "range")]
#[test_case("\"orders-book\"", "\"chairs\"", "/classes/0/call/record/kind", "chairs", "donations"; "kind")]
#[test_case("[\"workshop\",", "[\"nobody\",", "accounts/", "nobody", "an account of this file"; "account")]
fn bad_experiment_names_file_path_found_and_allowed(
    good: &str,
    bad: &str,
    path: &str,
    found: &str,
    allowed: &str,
) {
    let text = fs::read_to_string(folder().join("burst.json")).expect("the file is there");
    assert!(
        text.contains(good),
        "the file no longer has the text that is replaced"
    );
    let place = tempfile::tempdir().expect("a folder");
    let file = place.path().join("bad.json");
    fs::write(&file, text.replace(good, bad)).expect("written");
    let error = experiments::load(&file)
        .expect_err("the value is not allowed")
        .to_string();
    for part in ["bad.json", path, found, allowed] {
        assert!(error.contains(part), "`{error}` does not name `{part}`");
    }
}

/// Guards against a syntax error without a place.
#[test]
fn syntax_error_names_file_and_line() {
    let place = tempfile::tempdir().expect("a folder");
    let file = place.path().join("torn.json");
    fs::write(&file, "{\n  \"name\": \"torn\",\n").expect("written");
    let error: LoadError = experiments::load(&file)
        .expect_err("the file is torn")
        .into();
    let error = error.to_string();
    assert!(
        error.contains("torn.json") && error.contains("line 3"),
        "{error}"
    );
}

/// Guards against variants that get different traffic, which would make their ratio meaningless.
#[test]
fn schedule_depends_on_the_seed_only() {
    let experiment = sample();
    let first = arrivals::schedule(&experiment, 1.0);
    assert!(first.len() > 100);
    assert_eq!(first, arrivals::schedule(&experiment, 1.0));
    let other = experiments::Experiment {
        seed: experiment.seed + 1,
        ..experiment
    };
    assert_ne!(first, arrivals::schedule(&other, 1.0));
}

/// Guards against a rate that is not the one asked for, in bursts and outside of them.
#[test]
fn bursts_multiply_the_rate() {
    let experiment = sample();
    let calls = arrivals::schedule(&experiment, 1.0);
    let rate = arrivals::mean_rate(&experiment);
    let count = |from: u64, until: u64| {
        let within = |call: &&arrivals::PlannedCall| {
            (from..until).contains(&u64::try_from(call.at.as_millis()).unwrap_or(0))
        };
        calls.iter().filter(within).count() as f64
    };
    let calm = count(0, 5_000) / 5.0;
    let burst = count(5_000, 15_000) / 10.0;
    assert!((calm / rate - 1.0).abs() < 0.15, "{calm} for {rate}");
    assert!((burst / rate - 3.0).abs() < 0.3, "{burst} for {rate}");
}

/// Guards against a reference run with other requests than the measured one.
#[test]
fn thinned_schedule_is_a_part_of_the_whole() {
    let experiment = sample();
    let whole = arrivals::schedule(&experiment, 1.0);
    let thin = arrivals::schedule(&experiment, 0.1);
    assert!(!thin.is_empty() && thin.len() < whole.len() / 5);
    for call in thin {
        assert!(whole.iter().any(|other| other.text_seed == call.text_seed));
    }
}
