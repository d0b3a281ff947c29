//! The generated pages in `docs/operations/` must match the code.

use std::{fs, path::PathBuf};

use test_case::test_case;
use waxwing::pages::OperatorPage;

/// Guards against an outdated page, whose counters, reasons or texts differ from those in the code.
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
