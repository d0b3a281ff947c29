//! Stand-ins (test doubles) for the external systems that waxwingmill communicates with: a simulated
//! model engine, a register, which is a non-idempotent HTTP service, and a caller. They speak the
//! protocols of `docs/design.md`, section 10, over real sockets. Their answers are deterministic, so
//! that tests can compare every answer completely.

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
