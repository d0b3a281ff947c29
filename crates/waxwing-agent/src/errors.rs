//! Errors of the agent role.

use std::net::SocketAddr;

use smol_str::SmolStr;
use waxwing_wire::errors;

/// Why an agent could not start, or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    /// The link address can't be bound.
    #[error("link address {address}: {error}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the listener.
        error: errors::LinkError,
    },
    /// The URL of the endpoint is not valid.
    #[error("endpoint: found `{found}`; allowed: `http://` with an IP number and a port")]
    Endpoint {
        /// The URL in the settings file.
        found: SmolStr,
    },
}

/// Why a call to the endpoint failed. The texts reach the control hosts in the results of orders.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection was made, so nothing ran.
    #[error("no connection to the endpoint: {0}")]
    Connect(std::io::Error),
    /// The call failed after at least part of it was sent.
    #[error("the call failed after it was sent: {0}")]
    Http(#[from] hyper::Error),
    /// No valid HTTP request could be built from the handover, so nothing ran.
    #[error("the request is not valid HTTP: {0}")]
    Request(#[from] hyper::http::Error),
    /// The endpoint returned a status that is not a success.
    #[error("the endpoint answered with status {0}")]
    Status(u16),
    /// The response does not follow the endpoint protocol.
    #[error("the answer could not be read: {0}")]
    Content(#[from] serde_json::Error),
    /// The response is longer than this limit in bytes, or reading it failed.
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
    /// The endpoint did not respond in time.
    #[error("the endpoint did not answer in time")]
    Timeout,
}
