//! Scheduling policies of the request path: admission, queueing, endpoint selection, preemption,
//! retries and rate limits. They perform no I/O and read no clock; callers pass in the current
//! time. The rules are described in `docs/design.md`, section 5.

pub mod accounts;
pub mod admission;
pub mod body_memory;
pub mod budget;
pub mod cache;
pub mod choice;
pub mod prefixes;
pub mod queue;
pub mod suspension;
