//! Pure decisions of the request path: none of them performs I/O or reads a clock.
//!
//! `docs/design.md`, section 5, gives the rules.

pub mod admission;
pub mod cache;
pub mod queue;
pub mod suspension;
