//! Errors of the stand-ins.

use std::{io, net};

use smol_str::SmolStr;

/// A `StandinError` tells why a stand-in could not start.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// The address can't be listened on.
    #[error("cannot listen on {address}: {error}")]
    Bind {
        /// The address from the options.
        address: net::SocketAddr,
        /// What the operating system said.
        error: io::Error,
    },
    /// An option is outside of its range.
    #[error("{option}: found {found}; allowed: {allowed}")]
    Option {
        /// The name of the option.
        option: &'static str,
        /// The value that was found.
        found: SmolStr,
        /// The values that are allowed.
        allowed: &'static str,
    },
}

/// A `ChatError` tells why a chat request was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChatError {
    /// The body is not a chat request.
    #[error("the body is not a chat request: {0}")]
    Malformed(SmolStr),
    /// The model is not loaded.
    #[error("model `{0}` is not loaded")]
    UnknownModel(SmolStr),
    /// The prompt and the output together need more cache memory than the engine has.
    #[error("{needed} tokens are needed; allowed: {allowed}")]
    TooLong {
        /// The tokens of prompt and output.
        needed: u64,
        /// The cache memory in tokens.
        allowed: u64,
    },
}

/// A `CallError` tells why a caller got no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection failed during the call.
    #[error("the connection failed: {0}")]
    Connection(#[from] hyper::Error),
    /// The request can't be expressed in HTTP.
    #[error("the request is not valid: {0}")]
    Request(#[from] hyper::http::Error),
}
