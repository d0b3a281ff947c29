//! Entry of a fleet without agents: a reverse proxy that accepts requests of callers, lets the gate
//! decide when and at which endpoint each one starts, and relays the answers. `docs/platform.md`
//! describes its place in the system.

mod answers;
mod checks;
mod directories;
pub mod errors;
pub mod events;
mod fleet;
mod forwarding;
mod intake;
pub mod losses;
pub mod metrics;
pub mod options;
mod relay;
pub mod roles;
mod rollouts;
pub mod sockets;
pub mod stalls;
pub mod starting;
mod state;
mod statements;
pub mod stopping;
mod suspects;
pub mod unread;
pub mod uploads;
mod upstream;
