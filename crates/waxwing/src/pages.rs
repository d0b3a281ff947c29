//! Pages for operators that are printed from the code, so that they can't fall behind it.

use std::fmt::Write as _;

use waxwing_core::{
    counters::CounterEvent,
    reasons::{RefusalReason, RetryReason},
};

/// An `OperatorPage` is a page in `docs/operations/` that is printed from the code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorPage {
    /// What each refusal means to a caller.
    Refusals,
    /// Every counter and what to do about it.
    Counters,
}

impl OperatorPage {
    /// Every page.
    pub const ALL: &'static [Self] = &[Self::Refusals, Self::Counters];

    /// Returns the file name of the page below `docs/operations/`.
    #[must_use]
    pub fn file(self) -> &'static str {
        match self {
            Self::Refusals => "refusals.md",
            Self::Counters => "counters.md",
        }
    }

    /// Prints the page.
    #[must_use]
    pub fn render(self) -> String {
        let body = match self {
            Self::Refusals => refusals(),
            Self::Counters => counters(),
        };
        format!("{body}\nMade by `cargo run --locked -p waxwing --bin waxwing-pages`.\n")
    }
}

fn refusals() -> String {
    let mut text = String::from(
        "# What a refusal means to a caller\n\nA refusal is `application/problem+json`. Its `outcome` is `not-run` when it is proved that nothing ran, and `unknown` otherwise; there is no third word. `reason` is one of these names, and the type is `urn:waxwingmill:refusal:` followed by the name.\n\n| reason | what a caller should do |\n|---|---|\n",
    );
    for reason in RefusalReason::ALL {
        let _ = writeln!(text, "| `{reason}` | {} |", reason.guide().caller);
    }
    text
}

fn counters() -> String {
    let mut text = String::from(
        "# Counters\n\nEvery process serves its counters as `name value` lines and sends them by statsd where the settings name a collector. Counters only grow; watch their rates.\n\n## Events\n\n| counter | meaning and what to do |\n|---|---|\n",
    );
    for event in CounterEvent::ALL {
        let _ = writeln!(text, "| `{}` | {} |", event.as_str(), event.guide());
    }
    text.push_str("\n## Refusals\n\n| counter | what to do |\n|---|---|\n");
    for reason in RefusalReason::ALL {
        let _ = writeln!(text, "| `refusal.{reason}` | {} |", reason.guide().operator);
    }
    text.push_str("\n## Retries\n\n| counter | what to do |\n|---|---|\n");
    for reason in RetryReason::ALL {
        let _ = writeln!(text, "| `retry.{reason}` | {} |", reason.operator());
    }
    text
}
