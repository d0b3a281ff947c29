//! Command-line arguments and exit codes of the binaries.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use serde::de::DeserializeOwned;
use waxwing_settings::{errors, files};

use crate::logs;

/// The exit code for invalid settings.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// Command-line arguments that all binaries accept.
#[derive(Debug, Clone, clap::Args)]
pub struct ProcessArguments {
    /// Settings file of this process, in JSON with comments.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Format of log lines on standard error; `RUST_LOG` sets the level, `info` by default.
    #[arg(long, value_enum, default_value_t)]
    pub log_format: logs::LogFormat,
    /// Address `ip:port` of a statsd collector, which receives the counters over UDP every 10 s.
    #[arg(long, value_name = "ADDRESS")]
    pub statsd: Option<SocketAddr>,
}

impl ProcessArguments {
    /// Initializes logging and reads the settings file.
    ///
    /// # Errors
    /// Fails if the file can't be read or holds a value that is not allowed.
    pub fn load<T: DeserializeOwned>(&self) -> Result<T, errors::SettingsError> {
        logs::start(self.log_format);
        files::load(&self.settings)
    }
}

/// Prints the error that ends the process and returns the exit code: [`EXIT_BAD_SETTINGS`] if
/// `bad_settings` is set or the error is a [`errors::SettingsError`], otherwise 1.
#[must_use]
pub fn fail(error: &anyhow::Error, bad_settings: bool) -> ExitCode {
    eprintln!("{error:#}");
    match bad_settings || error.is::<errors::SettingsError>() {
        true => ExitCode::from(EXIT_BAD_SETTINGS),
        false => ExitCode::FAILURE,
    }
}
