//! Errors of the stand-ins.

use std::{io, net};

use smol_str::SmolStr;

/// Reasons why a stand-in could not start.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// The listening socket could not be opened.
    #[error("cannot listen on {address}: {error}")]
    Bind {
        /// The configured address.
        address: net::SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// An option is out of range.
    #[error("{option}: found {found}; allowed: {allowed}")]
    Option {
        /// The name of the option.
        option: &'static str,
        /// The value found.
        found: SmolStr,
        /// The allowed values.
        allowed: &'static str,
    },
}

/// Reasons why a chat request was refused. The messages are sent to callers.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChatError {
    /// The body is not a chat request.
    #[error("the body is not a chat request: {0}")]
    Malformed(SmolStr),
    /// The model is not loaded.
    #[error("model `{0}` is not loaded")]
    UnknownModel(SmolStr),
    /// Prompt and output together need more cache memory than the engine has.
    #[error("{needed} tokens are needed; allowed: {allowed}")]
    TooLong {
        /// Number of tokens of prompt and output, plus a block for rounding.
        needed: u64,
        /// Size of the cache memory in tokens.
        allowed: u64,
    },
}

/// Reasons why a call got no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection failed before a response arrived.
    #[error("the connection failed: {0}")]
    Connection(#[from] hyper::Error),
    /// The request is not valid HTTP.
    #[error("the request is not valid: {0}")]
    Request(#[from] hyper::http::Error),
}
