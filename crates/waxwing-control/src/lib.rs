//! The control role: the replicated state of settings, claims, fencing numbers, placement and
//! membership, the directory of announced processes, and the operators' HTTP interface.
//!
//! See `docs/design.md`, section 6.

pub mod changes;
pub mod claims;
pub mod commands;
mod decider;
pub mod directory;
mod driver;
pub mod errors;
mod founding;
mod host;
mod hosts;
mod log;
pub mod machine;
mod membership;
mod operators;
pub mod options;
mod peers;
mod processes;
pub mod reconcile;
pub mod roles;
pub mod snapshots;
mod status;
mod storage;

pub use options::ControlOptions;
pub use roles::{BoundControl, bind};
