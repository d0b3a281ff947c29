//! The command line of a role's binary, and its exit codes.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use serde::de::DeserializeOwned;
use waxwing_settings::{errors, files};

use crate::logs;

/// The exit code for settings that can't be used.
pub const BAD_SETTINGS: u8 = 2;

/// `ProcessArguments` are the arguments of every role's binary.
#[derive(Debug, Clone, clap::Args)]
pub struct ProcessArguments {
    /// The settings file of this process, JSON with comments.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// The form of log lines on standard error; `RUST_LOG` sets the level, `info` by default.
    #[arg(long, value_enum, default_value_t)]
    pub log_format: logs::LogFormat,
    /// A statsd collector that gets the counters every 10 s, as `ip:port` over UDP.
    #[arg(long, value_name = "ADDRESS")]
    pub statsd: Option<SocketAddr>,
}

impl ProcessArguments {
    /// Starts the logs and reads the settings file.
    ///
    /// # Errors
    /// Fails if the file can't be read or holds a value that is not allowed.
    pub fn load<T: DeserializeOwned>(&self) -> Result<T, errors::SettingsError> {
        logs::start(self.log_format);
        files::load(&self.settings)
    }
}

/// Prints why a process ends and returns its exit code.
#[must_use]
pub fn fail(error: &anyhow::Error, bad_settings: bool) -> ExitCode {
    eprintln!("{error:#}");
    match bad_settings || error.is::<errors::SettingsError>() {
        true => ExitCode::from(BAD_SETTINGS),
        false => ExitCode::FAILURE,
    }
}
