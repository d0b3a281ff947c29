//! The control host of a fleet without agents: it stores the deployment document in a replicated
//! log, collects the notices of endpoints, and sends both to the entries. `docs/platform.md` gives
//! its place in the system.

pub mod departures;
pub mod directory;
pub mod documents;
pub mod errors;
mod group;
mod handles;
pub mod history;
mod host;
mod http;
pub mod metrics;
pub mod options;
mod recording;
pub mod repair;
pub mod replica;
pub mod roles;
mod rollouts;
