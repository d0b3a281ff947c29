//! Fault-injection testing: recorded run histories, a checker for each guarantee, and the matrix of
//! faults and steps that the tests cover.
//!
//! The guarantees are the promises of `docs/design.md`, section 1; the matrix is printed as
//! `docs/FAULTS.md`.

pub mod checkers;
pub mod events;
pub mod evidence;
pub mod faults;
pub mod field_reports;
pub mod matrix;
pub mod report;
pub mod steps;
