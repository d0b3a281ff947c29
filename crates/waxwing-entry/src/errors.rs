//! Errors of the entry.

use std::{io, sync::Arc};

use waxwing_settings::errors;
use waxwing_wire::errors as wire_errors;

/// Error that prevents an entry from starting.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The start options are not valid.
    #[error(transparent)]
    Settings(#[from] errors::SettingsError),
    /// The HTTP address can't be bound.
    #[error("{address}: can't be bound: {error}")]
    Bind {
        /// The configured HTTP address.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The TLS files of links can't be used.
    #[error("keys for links: {0}")]
    Security(#[from] wire_errors::SecurityError),
    /// The TLS certificate or key for callers can't be used.
    #[error("{file}: {detail}")]
    Certificate {
        /// The path of the file.
        file: String,
        /// What is wrong with the file.
        detail: String,
    },
}

/// Error of parsing a request body; its text includes line and column.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// The body is not valid JSON or lacks required fields.
    #[error("the body is not a valid chat request: {0}")]
    Json(#[from] serde_json::Error),
}

/// Error that closes a caller's connection, so that a truncated response isn't mistaken for a
/// complete one.
#[derive(Debug, Clone, thiserror::Error)]
pub enum BodyError {
    /// The answer can't be completed.
    #[error("the answer could not be completed")]
    Broken,
    /// The endpoint's status or headers can't be forwarded.
    #[error("the answer can't be forwarded: {0}")]
    Http(Arc<hyper::http::Error>),
}
