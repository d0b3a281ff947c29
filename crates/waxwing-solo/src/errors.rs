//! Errors of the one-process fleet.

use smol_str::SmolStr;

/// A `SoloError` tells why the fleet could not be started or did not become ready.
#[derive(Debug, thiserror::Error)]
pub enum SoloError {
    /// A settings tree or a request file of an example is not valid.
    #[error(transparent)]
    Settings(#[from] waxwing_settings::errors::SettingsError),
    /// The first settings tree was refused.
    #[error("the settings tree was refused: {0}")]
    Tree(String),
    /// The threads of a role could not be started.
    #[error("{name}: threads could not be started: {error}")]
    Threads {
        /// The name of the role.
        name: SmolStr,
        /// What the operating system said.
        error: std::io::Error,
    },
    /// A role could not open its sockets.
    #[error("{name}: {detail}")]
    Bind {
        /// The name of the role.
        name: SmolStr,
        /// What the role said.
        detail: String,
    },
    /// The data folder could not be made.
    #[error("{folder}: {error}")]
    Folder {
        /// The path of the folder.
        folder: SmolStr,
        /// What the operating system said.
        error: std::io::Error,
    },
    /// The fleet did not become ready in time.
    #[error("the fleet was not ready within {seconds} s; last seen: {seen}")]
    NotReady {
        /// The time allowed.
        seconds: u64,
        /// What the last probe saw.
        seen: SmolStr,
    },
}
