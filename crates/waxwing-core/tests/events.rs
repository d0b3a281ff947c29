//! Compares the list of log events with the code that logs them and with the page for operators.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use waxwing_core::events;

/// Source folders of the processes that write the decision log.
const LOGGING_FOLDERS: [&str; 7] = [
    "crates/waxwing-conduit/src",
    "crates/waxwing-fleet/src",
    "crates/waxwing-gate/src",
    "crates/waxwing-process/src",
    "crates/waxwing-registrar/src",
    "crates/waxwing-wire/src",
    "platform/src",
];

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Collects the values of all `event = "..."` fields in the source folders.
fn logged_events() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    let mut folders: Vec<_> = LOGGING_FOLDERS
        .iter()
        .map(|folder| workspace_root().join(folder))
        .collect();
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let text = fs::read_to_string(path).unwrap();
            for part in text.split("event = \"").skip(1) {
                names.insert(part.split('"').next().unwrap().to_owned());
            }
        }
    }
    names
}

/// Guards against events that are logged but not listed, or listed twice or without being logged.
#[test]
fn listed_events_are_exactly_the_logged_ones() {
    let listed = events::LOG_EVENTS.iter().map(|event| event.name.to_owned());
    let listed: BTreeSet<_> = listed.collect();
    assert_eq!(listed, logged_events());
    assert_eq!(listed.len(), events::LOG_EVENTS.len());
}

/// Guards against events that the page for operators omits or describes differently.
#[test]
fn the_page_for_operators_lists_every_event_with_its_meaning() {
    let page = fs::read_to_string(workspace_root().join("docs/OPERATIONS.md")).unwrap();
    for event in events::LOG_EVENTS {
        let row = format!("| `{}` | {} |", event.name, event.meaning);
        assert!(page.contains(&row), "missing: {row}");
    }
}

/// Guards against metrics that the page for operators omits.
#[test]
fn the_page_for_operators_lists_every_metric() {
    let page = fs::read_to_string(workspace_root().join("docs/OPERATIONS.md")).unwrap();
    for file in ["waxwing-conduit", "waxwing-registrar"] {
        let path = workspace_root()
            .join("crates")
            .join(file)
            .join("src/metrics.rs");
        let text = fs::read_to_string(path).unwrap();
        for part in text.split("\"waxwing_").skip(1) {
            let name = format!("waxwing_{}", part.split('"').next().unwrap());
            assert!(page.contains(&format!("| `{name}` |")), "missing: {name}");
        }
    }
}
