//! The protocol between the processes of a fleet: messages, framing, and links with heartbeats.
//!
//! Every frame holds one [`messages::Envelope`]; `docs/design.md`, sections 5 and 6, describe what
//! the messages mean.

mod activity;
pub mod errors;
pub mod framing;
pub mod links;
pub mod messages;
pub mod security;
