//! Errors of links, frames and keys.

use std::{io, sync::Arc};

use waxwing_core::errors;

/// The reason why a link could not be opened or has ended.
#[derive(Debug, Clone, thiserror::Error)]
pub enum LinkError {
    /// A socket operation or the TLS session failed, or a received length prefix exceeds the limit.
    #[error("I/O error: {0}")]
    Io(Arc<io::Error>),
    /// The peer didn't respond while the link was opened, or sent nothing for the idle timeout
    /// although heartbeats are due far more often.
    #[error("the peer did not respond or send a heartbeat in time")]
    TimedOut,
    /// The link was closed, by the peer or by this process.
    #[error("the link was closed")]
    Closed,
    /// A frame could not be encoded or decoded.
    #[error("invalid frame: {0}")]
    Frame(#[from] FrameError),
    /// The peer uses another version of the protocol.
    #[error("protocol version {found} is not supported; supported: {allowed}")]
    Version {
        /// The version of the peer.
        found: u32,
        /// The version of this process.
        allowed: u32,
    },
    /// The first message of the peer was not a `Hello`.
    #[error("the peer did not start the link with a hello")]
    Handshake,
    /// The queue of outgoing messages is full.
    #[error("the send queue of the link is full")]
    Full,
    /// The peer's certificate or the local keys were not accepted.
    #[error("authentication failed: {0}")]
    Security(Arc<SecurityError>),
}

impl From<SecurityError> for LinkError {
    fn from(error: SecurityError) -> Self {
        Self::Security(Arc::new(error))
    }
}

impl From<io::Error> for LinkError {
    fn from(error: io::Error) -> Self {
        Self::Io(Arc::new(error))
    }
}

/// The reason why a frame could not be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message is longer than the limit.
    #[error("a frame of {found} bytes exceeds the limit of {allowed} bytes")]
    TooLong {
        /// The length of the frame in bytes.
        found: usize,
        /// The maximum length in bytes.
        allowed: usize,
    },
    /// The bytes are not a valid protobuf message.
    #[error("failed to decode a message: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The envelope has no body, or one of a type that this version doesn't know.
    #[error("the envelope has no body of a known type")]
    Empty,
    /// A field holds a value that its type doesn't allow.
    #[error("invalid field: {0}")]
    Field(#[from] errors::ParseError),
}

/// The reason why keys or certificates can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SecurityError {
    /// A file could not be read.
    #[error("{path}: {error}")]
    File {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The file contains no valid certificate or key.
    #[error("{path}: contains no valid {expected}")]
    Content {
        /// The path of the file.
        path: String,
        /// The expected content, for the error message.
        expected: &'static str,
    },
    /// The peer's certificate is not valid for the process name in its `Hello`.
    #[error("the peer's certificate is not valid for {claimed}")]
    Identity {
        /// The DNS name that the certificate should contain.
        claimed: String,
    },
    /// A key or certificate could not be created.
    #[error("failed to create a key or certificate: {0}")]
    Create(#[from] rcgen::Error),
    /// The TLS library rejected the keys or certificates.
    #[error("invalid keys or certificates: {0}")]
    Tls(#[from] rustls::Error),
}
