//! Types shared by all waxwingmill processes: ids, units, the clock interface, the reasons for
//! refusals and retries, the counters, and the events of the decision log. The roles of the
//! processes are described in `docs/design.md`.

pub mod clock;
pub mod counters;
pub mod errors;
pub mod events;
pub mod guidance;
pub mod ids;
pub mod prompts;
pub mod reasons;
pub mod units;
