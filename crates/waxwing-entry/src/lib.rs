//! The entry role: accepts HTTP requests from callers, queues them until an agent grants a slot,
//! and streams the answers back. See `docs/design.md`, sections 5 and 9.
//!
//! Process-wide state is in [`state`], per-request state in [`request_core`] and [`driver`].

mod agent_links;
pub mod agents;
pub mod caller;
mod caller_tls;
pub mod control;
pub mod driver;
pub mod edge;
pub mod errors;
pub mod formats;
pub mod headers;
pub mod intake;
pub mod options;
pub mod problems;
pub mod records;
pub mod request_core;
pub mod routes;
pub mod server;
pub mod state;

pub use options::EntryOptions;
pub use server::{BoundEntry, bind};
