//! The agent process: invalid settings end it with an exit code of their own.

use std::{fs, process::Command};

use test_case::test_case;

/// Guards against a supervisor that restarts a misconfigured agent forever, since it can't tell
/// invalid settings from a crash.
#[test_case("{ \"name\": \"a1\" }"; "settings are missing")]
#[test_case("no settings"; "not the format")]
fn invalid_settings_have_their_own_exit_code(text: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("agent.json");
    fs::write(&file, text).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_waxwing-agent"));
    let output = command
        .arg("--settings")
        .arg(&file)
        .output()
        .expect("started");
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(said.contains("agent.json"), "the file is not named: {said}");
}
