//! The control host of a fleet without agents: it keeps the deployment document in the replicated
//! log, takes notices of endpoints, and tells entries about both. `docs/platform.md` gives its
//! place in the system.

pub mod documents;
pub mod errors;
mod group;
mod handles;
mod host;
mod http;
pub mod metrics;
pub mod options;
pub mod repair;
pub mod roles;
