//! The entry of a fleet without agents: it takes requests of callers, lets the gate decide where
//! each one starts, and passes bytes between callers and endpoints. `docs/platform.md` gives its
//! place in the system.

mod answers;
mod checks;
pub mod errors;
pub mod events;
mod fleet;
mod forwarding;
mod intake;
pub mod metrics;
pub mod options;
mod relay;
pub mod roles;
mod sockets;
mod state;
pub mod stopping;
mod upstream;
