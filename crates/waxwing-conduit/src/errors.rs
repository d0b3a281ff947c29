//! Errors of starting an entry, sending requests and relaying streams.

use std::{io, net::SocketAddr};

/// Why an entry could not start.
#[derive(Debug, thiserror::Error)]
pub enum ConduitError {
    /// A listening socket could not be opened.
    #[error("{address} can't be bound: {error}")]
    Bind {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The metrics could not be registered.
    #[error(transparent)]
    Metrics(#[from] prometheus::Error),
    /// The socket for links could not be opened.
    #[error(transparent)]
    Network(#[from] waxwing_fleet::errors::NetworkError),
}

/// Why an attempt to send a request to an endpoint got no answer. The field gives the cause for
/// logs.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was written, so it has not run.
    #[error("not sent: {0}")]
    NotSent(&'static str),
    /// The request was at least partly sent, so it may have run.
    #[error("lost: {0}")]
    Lost(&'static str),
}

/// Why a stream is aborted; the error makes the caller see that the stream is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// The endpoint's answer broke off and the stream can't be resumed at another endpoint.
    #[error("the endpoint broke off")]
    Broken,
    /// The deadline of the request has passed.
    #[error("the time is over")]
    Deadline,
}
