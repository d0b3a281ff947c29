//! The entry role: serves HTTP to callers, keeps their requests while they wait, and streams the
//! answers back. See `docs/design.md`, sections 5 and 9.
//!
//! What lives as long as the process is in [`state`]; what lives as long as a request is in
//! [`request_core`] and [`driver`].

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
