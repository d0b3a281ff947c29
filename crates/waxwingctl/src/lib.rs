//! The operators' tool as a library: arguments, the client of the operators' interface, and the
//! changes that the convenience commands stand for. See `docs/design.md`, sections 3 and 6.

pub mod arguments;
pub mod calls;
pub mod changes;
pub mod commands;
pub mod explain;
pub mod output;
