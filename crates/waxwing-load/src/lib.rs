//! The load and experiment tool: open-loop, seeded traffic against the real binaries' code, with
//! every answer compared whole and every non-idempotent call's runs counted; see `docs/design.md`,
//! sections 11 and 13.

pub mod arrivals;
pub mod calls;
pub mod capacity;
pub mod comparison;
pub mod drivers;
pub mod errors;
pub mod experiments;
pub mod fleets;
pub mod pages;
pub mod plots;
pub mod reports;
pub mod runs;
pub mod tallies;
pub mod targets;
pub mod verdicts;
