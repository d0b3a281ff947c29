//! Facade of the waxwingmill libraries: re-exports the roles and the shared crates, and renders the
//! operators' pages that are generated from the code.

pub use waxwing_agent as agent;
pub use waxwing_client as client;
pub use waxwing_control as control;
pub use waxwing_core as core;
pub use waxwing_entry as entry;
pub use waxwing_policy as policy;
pub use waxwing_quorum as quorum;
pub use waxwing_settings as settings;
pub use waxwing_standin as standin;
pub use waxwing_store as store;
pub use waxwing_wire as wire;

pub mod pages;
