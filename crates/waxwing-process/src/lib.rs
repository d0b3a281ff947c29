//! What the binaries of all roles share: arguments, logs, signals, replacement of keys, export of
//! counters, and exit codes.

pub mod arguments;
pub mod decisions;
pub mod export;
pub mod listening;
pub mod logs;
pub mod metrics;
pub mod signals;
