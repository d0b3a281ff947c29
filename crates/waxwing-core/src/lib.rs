//! Shared types of every waxwingmill process: ids, units, the clock interface, the reasons of
//! refusals and retries, and the counters. The roles are described in `docs/design.md`.

pub mod clock;
pub mod counters;
pub mod errors;
pub mod events;
pub mod guidance;
pub mod ids;
pub mod prompts;
pub mod reasons;
pub mod units;
