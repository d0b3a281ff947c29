//! Pages that are printed from the code must match the code.

use std::{fs, path::PathBuf};

use test_case::test_case;
use waxwing::pages::OperatorPage;

/// Guards against a page that names settings, counters or reasons which the code no longer has.
#[test_case(OperatorPage::Refusals)]
#[test_case(OperatorPage::Counters)]
fn page_matches_the_code(page: OperatorPage) {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/operations");
    let text = fs::read_to_string(folder.join(page.file())).expect("the page exists");
    assert!(
        text == page.render(),
        "{} differs; run waxwing-pages",
        page.file()
    );
}
