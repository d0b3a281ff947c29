//! Consistency of the fault matrix with its page and with the tests that it names.

use std::{fs, path::PathBuf};

use waxwing_proof::{evidence, field_reports, matrix, report};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Guards against a page that differs from the table in the code.
#[test]
fn page_matches_the_table() {
    let page = fs::read_to_string(root().join("docs/FAULTS.md")).expect("docs/FAULTS.md");
    assert!(
        page == report::render(),
        "docs/FAULTS.md differs from the table; run the command in its first paragraph",
    );
}

/// Guards against cells and reports that name a test which was renamed or removed.
#[test]
fn named_tests_exist() {
    let cells = evidence::ALL.iter().map(|test| (test.file, test.test));
    let reports = field_reports::ALL.iter().flat_map(|report| report.tests);
    let reports = reports.map(|test| (test.file, test.test));
    for (file, test) in cells.chain(reports) {
        let text = fs::read_to_string(root().join(file)).expect(file);
        let function = format!("fn {test}(");
        assert!(text.contains(&function), "{file} has no {function}");
    }
}

/// Guards against a test in the evidence that covers no cell, for example because its steps don't
/// belong to its groups.
#[test]
fn evidence_covers_cells() {
    for evidence in evidence::ALL {
        assert!(
            !matrix::covered_by(evidence.test).is_empty(),
            "{}",
            evidence.test
        );
    }
}
