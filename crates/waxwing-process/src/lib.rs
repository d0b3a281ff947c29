//! Shared parts of all binaries: command-line arguments, exit codes, logs, signal handling,
//! reloading of TLS keys, and export of metrics.

pub mod arguments;
pub mod decisions;
pub mod export;
pub mod listening;
pub mod logs;
pub mod metrics;
pub mod signals;
