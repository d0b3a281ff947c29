//! Tests of the errors for settings files.

use serde::Deserialize;
use test_case::test_case;
use waxwing_core::ids;
use waxwing_settings::{errors, files};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileSettings {
    #[expect(dead_code, reason = "only the error matters")]
    name: ids::ProcessName,
    #[expect(dead_code, reason = "only the error matters")]
    limits: FileLimits,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileLimits {
    #[expect(dead_code, reason = "only the error matters")]
    grant_ms: u64,
}

/// Guards against an error that doesn't name the invalid value: it must contain the path, what was
/// found and what is allowed.
#[test_case(r#"{"name": "a", "limits": {"grant_ms": "x"}}"#, "/limits/grant_ms", "string \"x\"", "u64"; "wrong type")]
#[test_case(r#"{"name": "a b", "limits": {"grant_ms": 1}}"#, "/name", "a b", "ASCII letters"; "bad name")]
#[test_case(r#"{"name": "a", "limits": {"grant": 1}}"#, "/limits", "unknown field `grant`", "grant_ms"; "unknown field")]
#[test_case("{\"name\": \"a\", // a comment\n \"limits\": {}}", "/limits", "missing field `grant_ms`", "documented"; "missing field")]
fn bad_value_is_located(text: &str, path: &str, found: &str, allowed: &str) {
    let error = files::parse::<FileSettings>("entry.json", text).expect_err("a bad value");
    let errors::SettingsError::Value {
        file,
        path: actual_path,
        found: actual_found,
        allowed: actual_allowed,
    } = &error
    else {
        panic!("{error}");
    };
    assert_eq!(file, "entry.json");
    assert!(actual_path.starts_with(path), "{actual_path}");
    assert!(actual_found.contains(found), "{actual_found}");
    assert!(actual_allowed.contains(allowed), "{actual_allowed}");
}

/// Guards against trailing text that is silently ignored.
#[test]
fn trailing_text_is_refused() {
    let text = r#"{"name": "a", "limits": {"grant_ms": 1}} {}"#;
    assert!(files::parse::<FileSettings>("entry.json", text).is_err());
}
