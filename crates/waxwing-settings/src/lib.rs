//! Configuration: the settings file that each process reads at its start, and the replicated
//! settings tree that the whole fleet shares.
//!
//! The tree and its owners are described in `docs/design.md`, section 6.

pub mod checks;
pub mod credentials;
pub mod errors;
pub mod files;
pub mod operations;
pub mod ownership;
pub mod pages;
pub mod patches;
mod references;
pub mod schema;
pub mod view;
