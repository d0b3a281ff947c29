//! Errors of the load tool.

use std::io;

use smol_str::SmolStr;

/// Reasons why a run or a comparison failed.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file could not be read, is not valid JSON with comments, or has an invalid value.
    #[error(transparent)]
    File(#[from] waxwing_settings::errors::SettingsError),
    /// A report could not be written.
    #[error("cannot write {file}: {error}")]
    Write {
        /// The path of the file.
        file: SmolStr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A value could not be serialised as JSON.
    #[error("cannot serialise as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A plot could not be drawn.
    #[error("cannot draw a plot: {0}")]
    Plot(String),
    /// The fleet could not be started.
    #[error("cannot start the fleet: {0}")]
    Fleet(String),
    /// The fleet was not ready in time.
    #[error("the fleet was not ready within {seconds} s; last probe: {seen}")]
    NotReady {
        /// The time limit in seconds.
        seconds: u64,
        /// The result of the last probe.
        seen: SmolStr,
    },
}
