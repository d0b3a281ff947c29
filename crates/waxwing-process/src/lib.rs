//! Shared parts of all binaries: command-line arguments, exit codes, logs, signal handling,
//! reloading of TLS keys, export of metrics, and bounds on the memory of HTTP bodies.

pub mod arguments;
pub mod bodies;
pub mod decisions;
pub mod export;
pub mod listening;
pub mod logs;
pub mod metrics;
pub mod signals;
