//! A whole fleet in one process, with stand-in endpoints, real loopback sockets and ephemeral ports.
//! Each process of a real fleet runs on a tokio runtime of its own here, so that it can be killed
//! without a graceful shutdown; see `docs/design.md`, section 3.

pub mod demo;
pub mod deployments;
pub mod errors;
pub mod fleets;
pub mod options;
pub mod requests;
pub mod runtimes;
