//! Errors of requests to the control hosts.

/// The reason why a request to the control hosts got no response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// The settings of this process are stale, so it must not make new claims.
    #[error("the settings are stale or unconfirmed, so no new claim is made")]
    Stale,
    /// No control host responded in time. The request may still take effect.
    #[error("no control host responded in time")]
    Unavailable,
    /// A control host sent a response of a type that doesn't match the request.
    #[error("the type of the control host's response does not match the request")]
    UnexpectedResponse,
    /// The client has been shut down.
    #[error("the client has been shut down")]
    Closed,
}
