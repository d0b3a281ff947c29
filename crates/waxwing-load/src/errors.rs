//! Errors of the load tool.

use std::io;

use smol_str::SmolStr;

/// A `LoadError` tells why a run or a comparison could not be made.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file could not be read, or is not JSON with comments of the expected form.
    #[error(transparent)]
    File(#[from] waxwing_settings::errors::SettingsError),
    /// A report could not be written.
    #[error("{file}: {error}")]
    Write {
        /// The path of the file.
        file: SmolStr,
        /// What the operating system said.
        error: io::Error,
    },
    /// A value can't be written as JSON.
    #[error("a report can't be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A plot could not be drawn.
    #[error("a plot could not be drawn: {0}")]
    Plot(String),
    /// The fleet could not be started.
    #[error("the fleet could not be started: {0}")]
    Fleet(String),
    /// The fleet was not ready in time.
    #[error("the fleet was not ready within {seconds} s; last seen: {seen}")]
    NotReady {
        /// The time allowed.
        seconds: u64,
        /// What the last probe saw.
        seen: SmolStr,
    },
}
