//! The decisions of an entry that reaches endpoints directly: which request starts next and where,
//! who waits and who is refused. Nothing here does I/O or reads a clock; every call is told the
//! time. `docs/platform.md` gives the place of the gate in the system.

pub mod baselines;
pub mod budgets;
pub mod endpoints;
pub mod gate;
pub mod models;
pub mod options;
pub mod patience;
pub mod quotas;
pub mod shares;
pub mod tickets;
