//! Tests of experiment files and of the arrival schedules built from them.

use std::{fs, path::PathBuf};

use test_case::test_case;
use waxwing_load::{arrivals, errors::LoadError, experiments};
use waxwing_settings::view;

fn experiments_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../experiments")
}

fn sample() -> experiments::Experiment {
    experiments::load(&experiments_folder().join("burst.json")).expect("the file is valid")
}

/// Guards against experiment files that the tool can't read, or whose tiers, models or accounts are
/// not in the settings that they name.
#[test]
fn all_experiment_files_are_valid() {
    let files = fs::read_dir(experiments_folder()).expect("the folder exists");
    let mut count = 0;
    for file in files {
        let file = file.expect("an entry").path();
        let experiment = experiments::load(&file).unwrap_or_else(|error| panic!("{error}"));
        let settings = experiments_folder().join(experiment.settings.as_str());
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
                // Latency targets of the design page: 990 ms to the first token and 58 ms between
                // tokens. A shorter deadline would contradict them.
                let needed = 990 + 58 * chat.output_tokens[1];
                let deadline = class.deadline_ms;
                assert!(deadline >= needed, "{}: {deadline} < {needed}", class.name);
            }
        }
        count += 1;
    }
    assert!(
        count >= 6,
        "every row of targets on the design page has an experiment"
    );
}

/// Guards against error messages that don't say which value of which file is wrong, and why.
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
    let text =
        fs::read_to_string(experiments_folder().join("burst.json")).expect("the file is there");
    assert!(
        text.contains(good),
        "the file does not contain the text to replace"
    );
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("bad.json");
    fs::write(&file, text.replace(good, bad)).expect("written");
    let error = experiments::load(&file)
        .expect_err("the value is not allowed")
        .to_string();
    for part in ["bad.json", path, found, allowed] {
        assert!(error.contains(part), "`{error}` does not contain `{part}`");
    }
}

/// Guards against a syntax error reported without its file and line.
#[test]
fn syntax_error_names_file_and_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("torn.json");
    fs::write(&file, "{\n  \"name\": \"torn\",\n").expect("written");
    let error: LoadError = experiments::load(&file)
        .expect_err("the file is truncated")
        .into();
    let error = error.to_string();
    assert!(
        error.contains("torn.json") && error.contains("line 3"),
        "{error}"
    );
}

/// Guards against variants that get different traffic, which would make their results incomparable.
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

/// Guards against arrival rates that differ from the configured ones, in bursts and outside of them.
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
    let steady = count(0, 5_000) / 5.0;
    let burst = count(5_000, 15_000) / 10.0;
    assert!((steady / rate - 1.0).abs() < 0.15, "{steady} for {rate}");
    assert!((burst / rate - 3.0).abs() < 0.3, "{burst} for {rate}");
}

/// Guards against a reference run at a lower rate whose requests are not among those of the measured
/// run.
#[test]
fn thinned_schedule_is_a_subset_of_the_full_schedule() {
    let experiment = sample();
    let full = arrivals::schedule(&experiment, 1.0);
    let thinned = arrivals::schedule(&experiment, 0.1);
    assert!(!thinned.is_empty() && thinned.len() < full.len() / 5);
    for call in thinned {
        assert!(full.iter().any(|other| other.text_seed == call.text_seed));
    }
}
