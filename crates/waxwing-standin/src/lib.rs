//! Stand-ins for what waxwingmill meets at its edges: a model engine, a plain register, and a
//! caller. They speak the published protocols of `docs/design.md`, section 10, over real sockets,
//! and give deterministic answers, so that every answer can be compared whole.

pub mod answers;
pub mod caches;
pub mod callers;
pub mod chats;
pub mod engines;
pub mod errors;
pub mod faults;
pub mod options;
pub mod registers;
pub mod replies;
pub mod servers;
pub mod simulation;
