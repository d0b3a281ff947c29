//! Errors of a control host.

use std::{io, net::SocketAddr};

/// An error that stops a control host, keeps it from starting, or makes it reopen its log.
#[derive(Debug, thiserror::Error)]
pub enum RegistrarError {
    /// A listening socket can't be bound.
    #[error("{address} can't be bound: {error}")]
    Bind {
        /// The address to listen at.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A metric can't be registered.
    #[error(transparent)]
    Metrics(#[from] prometheus::Error),
    /// The socket for links from other processes can't be bound.
    #[error(transparent)]
    Network(#[from] waxwing_fleet::errors::NetworkError),
    /// The store of the log can't be read or written.
    #[error(transparent)]
    Store(#[from] waxwing_store::errors::StoreError),
    /// The data folder can't be created.
    #[error("the data folder can't be opened: {0}")]
    Folder(io::Error),
    /// The recovered state is not a valid state of a member.
    #[error(transparent)]
    Restore(#[from] waxwing_quorum::errors::RestoreError),
    /// The deployment document in the recovered snapshot can't be decoded.
    #[error("the stored deployment can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Why the replication group did not answer a put or a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum GroupError {
    /// This host is not the leader. Holds the address at which the leader accepts links, if known.
    #[error("another host leads")]
    NotLeader(Option<SocketAddr>),
    /// No quorum answered, or not in time; the change may or may not have taken effect.
    #[error("no quorum answered")]
    Unavailable,
}
