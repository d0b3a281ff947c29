//! Errors of the control role.

use waxwing_settings::errors as settings_errors;
use waxwing_wire::errors as wire_errors;

use crate::snapshots;

/// Why a control host can't start or can't keep running.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The options in the settings file are invalid.
    #[error(transparent)]
    Settings(#[from] settings_errors::SettingsError),
    /// The initial settings tree has invalid values.
    #[error("{file}: {}", join_findings(.findings))]
    InitialTree {
        /// The path of the file.
        file: String,
        /// The invalid values.
        findings: Vec<waxwing_settings::checks::SettingFinding>,
    },
    /// A link or its socket failed.
    #[error("links: {0}")]
    Link(#[from] wire_errors::LinkError),
    /// The TLS keys can't be used.
    #[error("TLS keys: {0}")]
    Security(#[from] wire_errors::SecurityError),
    /// The socket of the operators' interface can't be opened.
    #[error("operators' interface: {0}")]
    Http(std::io::Error),
    /// The stored snapshot can't be decoded.
    #[error("stored snapshot: {0}")]
    Snapshot(#[from] snapshots::SnapshotError),
    /// The data folder can't be opened, read or written.
    #[error("data folder: {0}")]
    Store(#[from] waxwing_store::errors::StoreError),
    /// The data folder can't be created.
    #[error("can't create data folder {folder}: {error}")]
    Folder {
        /// The path of the folder.
        folder: String,
        /// The error from the operating system.
        error: std::io::Error,
    },
    /// The replicated log can't be restored from the stored state.
    #[error("replicated log: {0}")]
    Restore(#[from] waxwing_quorum::errors::RestoreError),
}

fn join_findings(findings: &[waxwing_settings::checks::SettingFinding]) -> String {
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// Why a command has no result. The command may still take effect, so the caller retries it with
/// the same ids.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// Another host is the leader.
    #[error("another control host leads")]
    NotLeader {
        /// The name of the leader, if it is known.
        leader: Option<String>,
    },
    /// No quorum answered in time.
    #[error("no quorum of control hosts answered in time")]
    Unavailable,
    /// This host is shutting down.
    #[error("this control host shuts down")]
    Closed,
}
