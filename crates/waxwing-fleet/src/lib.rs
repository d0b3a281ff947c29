//! The parts shared by the control hosts and entries of a fleet without agents: the deployment
//! document, the registry of endpoints, the links between processes, and the traits that translate
//! a platform's formats. `docs/platform.md` gives their place in the system.

pub mod changes;
pub mod checks;
pub mod deployments;
pub mod dialects;
pub mod dials;
pub mod errors;
pub mod hosts;
pub mod network;
pub mod patches;
pub mod registry;
pub mod summaries;
