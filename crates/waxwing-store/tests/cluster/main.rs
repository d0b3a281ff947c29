//! Tests of groups of members over the real store.

mod directed;
mod harness;
mod planted;
mod schedules;
