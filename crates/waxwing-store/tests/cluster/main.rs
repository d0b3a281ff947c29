//! Tests of replicated groups with the real store under simulated faults.

mod directed;
mod harness;
mod planted;
mod schedules;
