//! Errors of the entry.

use std::{io, sync::Arc};

use waxwing_settings::errors;
use waxwing_wire::errors as wire_errors;

/// An `EntryError` tells why an entry can't start or go on.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The settings of the process are not valid.
    #[error(transparent)]
    Settings(#[from] errors::SettingsError),
    /// The address for callers can't be bound.
    #[error("{address}: can't be bound: {error}")]
    Bind {
        /// The address.
        address: std::net::SocketAddr,
        /// What the operating system said.
        error: io::Error,
    },
    /// The keys for links can't be used.
    #[error("keys for links: {0}")]
    Security(#[from] wire_errors::SecurityError),
    /// The certificate for callers can't be used.
    #[error("{file}: {detail}")]
    Certificate {
        /// The file.
        file: String,
        /// What is wrong with it.
        detail: String,
    },
}

/// A `FormatError` tells why a body can't be read; the text names line and column.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// The body isn't valid JSON of the expected form.
    #[error("the body is not a valid chat request: {0}")]
    Json(#[from] serde_json::Error),
}

/// A `BodyError` ends the connection of a caller, so that a part of an answer isn't taken for the
/// whole.
#[derive(Debug, Clone, thiserror::Error)]
pub enum BodyError {
    /// The answer can't be completed.
    #[error("the answer could not be completed")]
    Broken,
    /// The endpoint's headers or status can't be passed on.
    #[error("the answer can't be passed on: {0}")]
    Http(Arc<hyper::http::Error>),
}
