//! The operators' command-line tool as a library: arguments, the HTTP client of the operators'
//! interface, and the settings changes behind the convenience commands. See `docs/design.md`,
//! sections 3 and 6.

pub mod arguments;
pub mod calls;
pub mod changes;
pub mod commands;
pub mod explain;
pub mod output;
pub mod rollouts;
