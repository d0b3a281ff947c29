//! What the control hosts and the entries of a fleet without agents share: the deployment document,
//! the registry of endpoints, and the interfaces by which a platform's formats are translated.
//! `docs/platform.md` gives their place in the system.

pub mod deployments;
pub mod dialects;
pub mod errors;
pub mod network;
pub mod registry;
