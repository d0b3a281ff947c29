//! Errors of orders for a roll-out.

use std::time::Duration;

use smol_str::SmolStr;

/// Why an order is refused. A refused order changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The order can't be parsed. Holds the reason.
    #[error("the order can't be read: {0}")]
    Unreadable(SmolStr),
    /// The deployment in force doesn't have the service.
    #[error("service {0} is not in the deployment")]
    UnknownService(SmolStr),
    /// The period is outside the allowed range.
    #[error("a period of {found:?} is outside the allowed range of {least:?} to {most:?}")]
    Period {
        /// The period in the order.
        found: Duration,
        /// The shortest allowed period.
        least: Duration,
        /// The longest allowed period.
        most: Duration,
    },
    /// The name of the version is empty or too long.
    #[error("a version has 1 to {allowed} bytes, found {found}")]
    Version {
        /// The length of the name in the order, in bytes.
        found: usize,
        /// The greatest length in bytes.
        allowed: usize,
    },
    /// Another order for the service is in progress.
    #[error("service {service} is being moved to version {target} by an earlier order")]
    InProgress {
        /// The service.
        service: SmolStr,
        /// The version of the order in progress.
        target: SmolStr,
    },
    /// The service runs the version already.
    #[error("service {service} has version {target} already")]
    CurrentVersion {
        /// The service.
        service: SmolStr,
        /// The version.
        target: SmolStr,
    },
    /// As many services as the log can hold have roll-outs in progress.
    #[error("{0} roll-outs are in progress, which is the limit")]
    TooMany(usize),
}

impl OrderError {
    /// Returns whether the order contradicts the state of the service, and not the rules for all
    /// orders.
    #[must_use]
    pub const fn is_conflict(&self) -> bool {
        matches!(
            self,
            Self::InProgress { .. } | Self::CurrentVersion { .. } | Self::TooMany(_)
        )
    }
}
