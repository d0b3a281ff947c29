//! Errors of questions to the control hosts.

/// A `ClientError` tells why a question to the control hosts has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// The settings of this process are stale, so it makes no new claims.
    #[error("settings are not confirmed, so no new claim is made")]
    Stale,
    /// No control host answered within the limit; the question may still take effect.
    #[error("no control host answered in time")]
    Unavailable,
    /// A control host gave an answer of another kind.
    #[error("a control host gave an answer that does not fit the question")]
    UnexpectedAnswer,
    /// The client has been shut down.
    #[error("the client has been shut down")]
    Closed,
}
