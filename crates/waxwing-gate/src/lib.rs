//! Request scheduling for an entry (the proxy process that accepts client requests) that sends
//! requests to endpoints directly: which request starts next and at which endpoint, which ones wait
//! and which are refused. Nothing here does I/O or reads a clock; callers pass in the time.
//! `docs/platform.md` describes the place of the gate in the system.

pub mod baselines;
pub mod budgets;
pub mod crashes;
pub mod directories;
pub mod endpoints;
pub mod fetches;
pub mod gate;
pub mod limits;
pub mod models;
pub mod options;
pub mod pace;
pub mod pacing;
pub mod patience;
pub mod pauses;
pub mod quotas;
pub mod rollouts;
pub mod shares;
pub mod spillover;
pub mod tickets;
