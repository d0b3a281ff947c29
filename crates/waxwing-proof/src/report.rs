//! Prints the fault matrix as Markdown, the content of `docs/FAULTS.md`.

use std::fmt::Write as _;

use crate::{
    matrix::{self, CellState, MatrixCell},
    steps,
};

/// A `MatrixCount` counts the cells by state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MatrixCount {
    /// Cells that a test brings about.
    pub proved: usize,
    /// Cells that can't apply.
    pub not_applicable: usize,
    /// Cells that apply and have no test.
    pub empty: usize,
}

impl MatrixCount {
    /// Counts the cells.
    #[must_use]
    pub fn of(cells: &[MatrixCell]) -> Self {
        cells.iter().fold(Self::default(), |mut count, cell| {
            match cell.state {
                CellState::Proved(..) => count.proved += 1,
                CellState::NotApplicable(_) => count.not_applicable += 1,
                CellState::Empty(_) => count.empty += 1,
            }
            count
        })
    }

    /// Returns the proved share of the applicable cells in percent.
    #[must_use]
    pub fn proved_percent(self) -> usize {
        100 * self.proved / (self.proved + self.empty).max(1)
    }
}

/// Prints the whole matrix.
#[must_use]
pub fn render() -> String {
    let cells = matrix::cells();
    let count = MatrixCount::of(&cells);
    let mut text = String::from(HEAD);
    let _ = writeln!(
        text,
        "{} cells: {} proved, {} not applicable, {} empty; {} % of the applicable cells are proved.",
        cells.len(),
        count.proved,
        count.not_applicable,
        count.empty,
        count.proved_percent(),
    );
    for (group, group_steps) in steps::ALL_STEPS {
        let _ = writeln!(text, "\n## {}\n", group.words());
        for step in *group_steps {
            let of_step = |cell: &&MatrixCell| cell.group == *group && cell.step == *step;
            let row: Vec<_> = cells.iter().filter(of_step).collect();
            render_step(&mut text, step.words(), &row);
        }
    }
    text
}

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
        let fault = cell.fault.words();
        let _ = match cell.state {
            CellState::Proved(expected, evidence) => writeln!(
                text,
                "| {fault} | proved | {} | {} | `{}` |",
                expected.promise.words(),
                expected.outcome,
                evidence.test,
            ),
            CellState::Empty(expected) => writeln!(
                text,
                "| {fault} | **empty** | {} | {} | |",
                expected.promise.words(),
                expected.outcome,
            ),
            CellState::NotApplicable(reason) => {
                writeln!(text, "| {fault} | not applicable | | {reason} | |")
            }
        };
    }
    text.push('\n');
}
