//! Tests of groups of members over the real store.

mod harness;
mod planted;
mod schedules;
