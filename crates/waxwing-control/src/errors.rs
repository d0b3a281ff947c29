//! Errors of the control role.

use waxwing_settings::errors as settings_errors;
use waxwing_wire::errors as wire_errors;

use crate::snapshots;

/// A `ControlError` tells why a control host can't start or go on.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The settings were refused.
    #[error(transparent)]
    Settings(#[from] settings_errors::SettingsError),
    /// The first settings tree holds values that are not allowed.
    #[error("{file}: {}", list(.findings))]
    FirstTree {
        /// The file.
        file: String,
        /// What is not allowed.
        findings: Vec<waxwing_settings::checks::SettingFinding>,
    },
    /// A link or its socket failed.
    #[error("links: {0}")]
    Link(#[from] wire_errors::LinkError),
    /// The keys can't be used.
    #[error("keys: {0}")]
    Security(#[from] wire_errors::SecurityError),
    /// The operators' interface can't be opened.
    #[error("operators' interface: {0}")]
    Http(std::io::Error),
    /// The stored state can't be read.
    #[error("stored state: {0}")]
    Snapshot(#[from] snapshots::SnapshotError),
    /// The data folder can't be opened, read or written.
    #[error("data folder: {0}")]
    Store(#[from] waxwing_store::errors::StoreError),
    /// The data folder can't be created.
    #[error("data folder {folder}: {error}")]
    Folder {
        /// The folder.
        folder: String,
        /// What the operating system said.
        error: std::io::Error,
    },
    /// The log can't go on from the stored state.
    #[error("replicated log: {0}")]
    Restore(#[from] waxwing_quorum::errors::RestoreError),
}

fn list(findings: &[waxwing_settings::checks::SettingFinding]) -> String {
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// A `SubmitError` tells why a command has no result. The command may still take effect, so the
/// asker repeats it with the same ids.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// Another host leads.
    #[error("another control host leads")]
    NotLeader {
        /// The name of the leader, if it is known.
        leader: Option<String>,
    },
    /// No quorum answered in time.
    #[error("no quorum of control hosts answered in time")]
    Unavailable,
    /// This host shuts down.
    #[error("this control host shuts down")]
    Closed,
}
