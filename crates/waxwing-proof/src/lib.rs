//! The proof of the promises: recorded events, one checker for each promise, and the fault matrix.
//!
//! The promises are those of `docs/design.md`, section 1; the matrix is printed as
//! `docs/FAULTS.md`.

pub mod checkers;
pub mod events;
pub mod evidence;
pub mod faults;
pub mod matrix;
pub mod report;
pub mod steps;
