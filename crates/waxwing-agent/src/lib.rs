//! The agent role: the process beside an endpoint that announces it, orders the offers of all
//! entries, grants its slots and is the only one that talks to it.
//!
//! [`state::AgentCore`] holds all decisions and performs no I/O; [`driver`] connects it to links,
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
