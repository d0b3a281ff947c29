//! The client for the control hosts, used by entries and agents. It keeps one link to one control
//! host at a time, fails over to the next one, and carries announcements, settings, the directory,
//! claims and engine orders.
//!
//! Its guarantees are described in `docs/design.md`, section 6.

pub mod clients;
pub mod directory;
pub mod errors;
pub mod freshness;
pub mod options;
mod sessions;
pub mod settings;
