//! Errors of an entry.

use std::{io, net::SocketAddr};

/// A `ConduitError` keeps an entry from starting.
#[derive(Debug, thiserror::Error)]
pub enum ConduitError {
    /// A socket can't be opened.
    #[error("{address} can't be bound: {error}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        error: io::Error,
    },
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] prometheus::Error),
    /// The socket for links can't be opened.
    #[error(transparent)]
    Network(#[from] waxwing_fleet::errors::NetworkError),
}

/// A `SendError` tells why a request brought no answer from an endpoint.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was sent, so it has not run.
    #[error("not sent: {0}")]
    NotSent(&'static str),
    /// The request was sent, so it may have run.
    #[error("lost: {0}")]
    Lost(&'static str),
}

/// A `RelayError` breaks a stream off, so that the caller sees that it is not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// The endpoint broke off and the stream can't go on elsewhere.
    #[error("the endpoint broke off")]
    Broken,
    /// The time of the request is over.
    #[error("the time is over")]
    Deadline,
}
