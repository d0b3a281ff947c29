//! The vocabulary of the decision log against the code that logs and the page for operators.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use waxwing_core::events;

/// Folders whose processes write the decision log.
const LOGGING: [&str; 6] = [
    "crates/waxwing-conduit/src",
    "crates/waxwing-fleet/src",
    "crates/waxwing-gate/src",
    "crates/waxwing-process/src",
    "crates/waxwing-registrar/src",
    "platform/src",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn logged() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    let mut folders: Vec<_> = LOGGING.iter().map(|folder| root().join(folder)).collect();
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

#[test]
fn the_vocabulary_holds_exactly_what_is_logged() {
    let listed = events::LOG_EVENTS.iter().map(|event| event.name.to_owned());
    let listed: BTreeSet<_> = listed.collect();
    assert_eq!(listed, logged());
    assert_eq!(listed.len(), events::LOG_EVENTS.len());
}

#[test]
fn the_page_for_operators_lists_every_event_with_its_meaning() {
    let page = fs::read_to_string(root().join("docs/OPERATIONS.md")).unwrap();
    for event in events::LOG_EVENTS {
        let row = format!("| `{}` | {} |", event.name, event.meaning);
        assert!(page.contains(&row), "missing: {row}");
    }
}

#[test]
fn the_page_for_operators_lists_every_metric() {
    let page = fs::read_to_string(root().join("docs/OPERATIONS.md")).unwrap();
    for file in ["waxwing-conduit", "waxwing-registrar"] {
        let path = root().join("crates").join(file).join("src/metrics.rs");
        let text = fs::read_to_string(path).unwrap();
        for part in text.split("\"waxwing_").skip(1) {
            let name = format!("waxwing_{}", part.split('"').next().unwrap());
            assert!(page.contains(&format!("| `{name}` |")), "missing: {name}");
        }
    }
}
