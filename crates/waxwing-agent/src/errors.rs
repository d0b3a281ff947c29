//! Errors of the agent role.

use std::net::SocketAddr;

use smol_str::SmolStr;
use waxwing_wire::errors;

/// An `AgentError` tells why an agent could not start or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    /// The address for links can't be used.
    #[error("link address {address}: {error}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the listener said.
        error: errors::LinkError,
    },
    /// The URL of the endpoint can't be used.
    #[error("endpoint: found `{found}`; allowed: `http://` with an IP number and a port")]
    Endpoint {
        /// The URL that was found.
        found: SmolStr,
    },
}

/// A `CallError` tells how a call to the endpoint failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection was made, so nothing ran.
    #[error("no connection to the endpoint: {0}")]
    Connect(std::io::Error),
    /// The call was sent, at least in part, and failed.
    #[error("the call failed after it was sent: {0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built from what the entry handed over, so nothing ran.
    #[error("the request is not valid HTTP: {0}")]
    Request(#[from] hyper::http::Error),
    /// The endpoint answered with a status that is no success.
    #[error("the endpoint answered with status {0}")]
    Status(u16),
    /// The answer is not in the form of the endpoint protocol.
    #[error("the answer could not be read: {0}")]
    Content(#[from] serde_json::Error),
    /// The answer is longer than the limit.
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
    /// The endpoint did not answer in time.
    #[error("the endpoint did not answer in time")]
    Timeout,
}
