//! The load and experiment tool. It sends open-loop, seeded traffic through the code of the real
//! binaries, compares every answer with the expected one and counts the executions of every
//! non-idempotent call; see `docs/design.md`, sections 11 and 13.

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
pub mod replay;
pub mod reports;
pub mod runs;
pub mod tallies;
pub mod targets;
pub mod verdicts;
