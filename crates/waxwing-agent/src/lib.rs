//! The agent role: a process on the endpoint's host that announces the endpoint, queues the offers
//! of all entries (the processes that accept requests from callers) by priority, grants them the
//! endpoint's capacity, and is the only process that calls it.
//!
//! [`state::AgentCore`] makes all decisions and performs no I/O; [`driver`] connects it to links,
//! the endpoint and the control hosts. `docs/design.md`, section 5, gives the rules.

pub mod answers;
mod controls;
pub mod driver;
mod endpoint;
pub mod errors;
pub mod events;
pub mod formats;
mod jobs;
pub mod options;
pub mod pace;
mod pollers;
pub mod state;

pub use driver::{BoundAgent, bind};
pub use options::AgentOptions;
