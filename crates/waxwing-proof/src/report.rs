//! Renders the fault matrix as Markdown, the content of `docs/FAULTS.md`.

use std::fmt::Write as _;

use crate::{
    field_reports,
    matrix::{self, CellState, MatrixCell},
    steps,
};

/// The number of cells in each state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MatrixCount {
    /// Cells that a test covers.
    pub covered: usize,
    /// Cells whose fault can't occur at their step.
    pub not_applicable: usize,
    /// Cells that apply and are covered by no test.
    pub untested: usize,
}

impl MatrixCount {
    /// Counts cells by state.
    #[must_use]
    pub fn of(cells: &[MatrixCell]) -> Self {
        cells.iter().fold(Self::default(), |mut count, cell| {
            match cell.state {
                CellState::Covered(..) => count.covered += 1,
                CellState::NotApplicable(_) => count.not_applicable += 1,
                CellState::Untested(_) => count.untested += 1,
            }
            count
        })
    }

    /// Returns the share of the applicable cells that tests cover, in percent, rounded down.
    #[must_use]
    pub fn covered_percent(self) -> usize {
        100 * self.covered / (self.covered + self.untested).max(1)
    }
}

/// Renders the whole matrix.
#[must_use]
pub fn render() -> String {
    let cells = matrix::cells();
    let count = MatrixCount::of(&cells);
    let mut text = String::from(HEAD);
    let _ = writeln!(
        text,
        "{} cells: {} proved, {} not applicable, {} empty; {} % of the applicable cells are proved.",
        cells.len(),
        count.covered,
        count.not_applicable,
        count.untested,
        count.covered_percent(),
    );
    for (group, group_steps) in steps::ALL_STEPS {
        let _ = writeln!(text, "\n## {}\n", group.label());
        for step in *group_steps {
            let of_step = |cell: &&MatrixCell| cell.group == *group && cell.step == *step;
            let row: Vec<_> = cells.iter().filter(of_step).collect();
            render_step(&mut text, step.label(), &row);
        }
    }
    render_field_reports(&mut text);
    text
}

fn render_field_reports(text: &mut String) {
    text.push_str(FIELD_REPORTS_HEAD);
    for report in field_reports::ALL {
        let tests: Vec<_> = report
            .tests
            .iter()
            .map(|test| format!("`{}` in `{}`", test.test, test.file))
            .collect();
        let _ = writeln!(
            text,
            "| {} | {} | {} |",
            report.failure,
            report.outcome_label(),
            tests.join(", ")
        );
    }
}

const FIELD_REPORTS_HEAD: &str = "
## Reports of other operators

Failures of similar systems that their operators reported. \"Happened, fixed\" means that the test failed on the code before the fix; \"not reproduced\" that it passed on the code as it was. The tests run the entry and the control hosts over loopback, or the decision alone.

| failure | here | tests |
|---|---|---|
";

const HEAD: &str = "# Fault matrix

Made by `cargo run --locked -p waxwing-proof --bin waxwing-faults`; a test fails when this page and the table in `crates/waxwing-proof` differ. Steps and faults are those of [design](design.md), section 14.

What the cells run on: requests, endpoints and the shutdown of entries and agents run the real state machines of entry, agent and control group on a stepped clock, with links and endpoints as small fakes; a fault of the control hosts at the claim appears there as a claim that is applied without an answer, or not applied. Settings, membership and the shutdown of control hosts run the real log, store, state machine and settings replica on disks in memory. Orders run the real agent and state machine. Real processes with SIGKILL are in `crates/waxwing-control/tests/processes.rs` and in `experiments/kills.json`; a disk that fails under a running control process is not tested.

";

fn render_step(text: &mut String, step: &str, row: &[&MatrixCell]) {
    let _ = writeln!(text, "### {step}\n");
    let _ = writeln!(
        text,
        "| fault | state | promise at stake | expected | test |"
    );
    let _ = writeln!(text, "|---|---|---|---|---|");
    for cell in row {
        let fault = cell.fault.label();
        let _ = match cell.state {
            CellState::Covered(expected, evidence) => writeln!(
                text,
                "| {fault} | proved | {} | {} | `{}` |",
                expected.guarantee.label(),
                expected.outcome,
                evidence.test,
            ),
            CellState::Untested(expected) => writeln!(
                text,
                "| {fault} | **empty** | {} | {} | |",
                expected.guarantee.label(),
                expected.outcome,
            ),
            CellState::NotApplicable(reason) => {
                writeln!(text, "| {fault} | not applicable | | {reason} | |")
            }
        };
    }
    text.push('\n');
}
