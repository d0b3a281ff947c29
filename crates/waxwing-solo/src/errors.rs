//! Errors of the in-process fleet.

use smol_str::SmolStr;

/// The fleet could not be started or did not become ready.
#[derive(Debug, thiserror::Error)]
pub enum SoloError {
    /// A settings tree or request file of an example is not valid.
    #[error(transparent)]
    Settings(#[from] waxwing_settings::errors::SettingsError),
    /// The control host refused the initial settings tree.
    #[error("the settings tree was refused: {0}")]
    Tree(String),
    /// The threads of a role could not be started.
    #[error("{name}: threads could not be started: {error}")]
    Threads {
        /// The name of the role.
        name: SmolStr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A role could not open its sockets.
    #[error("{name}: {detail}")]
    Bind {
        /// The name of the role.
        name: SmolStr,
        /// The error of the role.
        detail: String,
    },
    /// The data folder could not be created.
    #[error("{folder}: the data folder could not be created: {error}")]
    Folder {
        /// The path of the folder.
        folder: SmolStr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The fleet did not become ready in time.
    #[error("the fleet was not ready within {seconds} s; last seen: {seen}")]
    NotReady {
        /// The time limit, in seconds.
        seconds: u64,
        /// The answer or the error of the last probe.
        seen: SmolStr,
    },
}
