//! The client of the control hosts, used by entries and agents: one link to one control host at a
//! time, with failover, announcements, settings, the directory, claims and engine orders.
//!
//! The promises behind it are in `docs/design.md`, section 6.

pub mod clients;
pub mod directory;
pub mod errors;
pub mod freshness;
pub mod options;
mod sessions;
pub mod settings;
