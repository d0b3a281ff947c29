//! Decisions of a roll-out, the replacement of a service's version by another one that runs beside
//! it: which orders are accepted, how much of the traffic the new version gets, whether it is as
//! good as the version before, and when it has taken over. Nothing here does I/O or reads a clock.
//! `docs/design/rollouts.md` describes the parts that use it.

pub mod controller;
pub mod errors;
pub mod ledger;
pub mod options;
pub mod pace;
pub mod verdicts;
