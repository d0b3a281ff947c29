//! Errors of links and frames.

use std::{io, sync::Arc};

use waxwing_core::errors;

/// A `LinkError` tells why a link could not be opened or has ended.
#[derive(Debug, Clone, thiserror::Error)]
pub enum LinkError {
    /// The operating system reported a failure.
    #[error("i/o failure: {0}")]
    Io(Arc<io::Error>),
    /// Nothing was heard for the silence limit, though heartbeats are due far more often.
    #[error("nothing was heard within the silence limit")]
    Silent,
    /// The peer closed the link.
    #[error("the peer closed the link")]
    Closed,
    /// A frame could not be read.
    #[error("a frame could not be decoded: {0}")]
    Frame(#[from] FrameError),
    /// The peer speaks another version of the protocol.
    #[error("protocol version {found} is not supported; allowed: {allowed}")]
    Version {
        /// The version of the peer.
        found: u32,
        /// The version of this process.
        allowed: u32,
    },
    /// The peer did not introduce itself first, or its introduction is not valid.
    #[error("the peer did not introduce itself")]
    Introduction,
    /// The queue of outgoing messages is full.
    #[error("the queue of outgoing messages is full")]
    Full,
    /// The peer's certificate or the local keys were not accepted.
    #[error("the peer could not be authenticated: {0}")]
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

/// A `FrameError` tells why bytes are not a frame or a message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message is longer than the limit.
    #[error("a frame of {found} bytes is over the limit of {allowed} bytes")]
    TooLong {
        /// The length of the frame in bytes.
        found: usize,
        /// The longest allowed frame in bytes.
        allowed: usize,
    },
    /// The bytes are not a valid message.
    #[error("the bytes are not a valid message: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The envelope has no body that this version knows.
    #[error("the envelope has no known body")]
    Empty,
    /// A field holds a value outside of its type.
    #[error("a field is not valid: {0}")]
    Field(#[from] errors::ParseError),
}

/// A `SecurityError` tells why keys or certificates can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SecurityError {
    /// A file could not be read.
    #[error("{path}: {error}")]
    File {
        /// The path of the file.
        path: String,
        /// What the operating system said.
        error: io::Error,
    },
    /// The file holds no usable certificate or key.
    #[error("{path}: holds no usable {expected}")]
    Content {
        /// The path of the file.
        path: String,
        /// What was expected in it.
        expected: &'static str,
    },
    /// The peer's certificate doesn't carry the name that the peer introduced itself with.
    #[error("the certificate does not name {claimed}")]
    Identity {
        /// The name that the certificate would have to carry.
        claimed: String,
    },
    /// A key or certificate could not be created.
    #[error("key creation failed: {0}")]
    Create(#[from] rcgen::Error),
    /// The TLS library refused the keys.
    #[error("keys are not usable: {0}")]
    Tls(#[from] rustls::Error),
}
