//! Errors of a control host.

use std::{io, net::SocketAddr};

/// A `RegistrarError` ends a control host, or keeps it from starting.
#[derive(Debug, thiserror::Error)]
pub enum RegistrarError {
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
    /// The data folder can't be used.
    #[error(transparent)]
    Store(#[from] waxwing_store::errors::StoreError),
    /// The data folder can't be created.
    #[error("the data folder can't be opened: {0}")]
    Folder(io::Error),
    /// What the data folder holds is no state of a member.
    #[error(transparent)]
    Restore(#[from] waxwing_quorum::errors::RestoreError),
    /// A stored deployment can't be decoded.
    #[error("the stored deployment can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// A `ChangeFailure` tells why a change or a read got no answer from the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ChangeFailure {
    /// Another host leads.
    #[error("another host leads")]
    NotLeader(Option<SocketAddr>),
    /// No quorum answered; whether the change is in force is unknown.
    #[error("no quorum answered")]
    Unavailable,
}
