//! Operators' pages that are generated from the code, so that they can't become outdated.

use std::fmt::Write as _;

use waxwing_core::{
    counters::CounterEvent,
    reasons::{RefusalReason, RetryReason},
};

/// A page in `docs/operations/` that is generated from the code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorPage {
    /// The reasons of refusals, and what a caller should do about each.
    Refusals,
    /// The counters, and what an operator should do about each.
    Counters,
}

impl OperatorPage {
    /// Every generated page.
    pub const ALL: &'static [Self] = &[Self::Refusals, Self::Counters];

    /// Returns the file name of the page below `docs/operations/`.
    #[must_use]
    pub fn file(self) -> &'static str {
        match self {
            Self::Refusals => "refusals.md",
            Self::Counters => "counters.md",
        }
    }

    /// Renders the page as Markdown.
    #[must_use]
    pub fn render(self) -> String {
        let body = match self {
            Self::Refusals => render_refusals(),
            Self::Counters => render_counters(),
        };
        format!("{body}\nMade by `cargo run --locked -p waxwing --bin waxwing-pages`.\n")
    }
}

fn render_refusals() -> String {
    let mut text = String::from(
        "# What a refusal means to a caller\n\nA refusal is `application/problem+json`. Its `outcome` is `not-run` when it is proved that nothing ran, and `unknown` otherwise; there is no third word. `reason` is one of these names, and the type is `urn:waxwingmill:refusal:` followed by the name.\n\n| reason | what a caller should do |\n|---|---|\n",
    );
    for reason in RefusalReason::ALL {
        let _ = writeln!(text, "| `{reason}` | {} |", reason.guide().caller);
    }
    text
}

fn render_counters() -> String {
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
