//! Bounds of roll-outs.

use std::time::Duration;

/// What a version that proves bad may cost callers. All control hosts have the same bounds.
#[derive(Debug, Clone, Copy, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutOptions {
    /// The part of a service's requests between the order and its deadline that a bad version may
    /// get; default 0.1.
    pub exposure_share: f64,
    /// The requests that it may get beyond that part; default 50.
    pub exposure_slack: f64,
    /// Milliseconds within which no request may be sent to a version any more after its
    /// [`crate::verdicts::MAX_BAD_ANSWERS`]th bad answer; default 5,000.
    pub rollback_millis: u64,
}

impl Default for RolloutOptions {
    fn default() -> Self {
        Self {
            exposure_share: 0.1,
            exposure_slack: 50.0,
            rollback_millis: 5_000,
        }
    }
}

impl RolloutOptions {
    /// Returns how long the shares of entries hold without a renewal: a quarter of the time within
    /// which a bad version must get no more requests, the rest of which is left for the verdict.
    #[must_use]
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.rollback_millis / 4)
    }

    /// Returns the requests that the new version may get during the test of it, of `requests` that
    /// are expected until the deadline. The rest of the allowed exposure is left for what it gets
    /// while it takes over.
    #[must_use]
    pub fn canary_budget(&self, requests: f64) -> f64 {
        CANARY_PART * self.exposure_share.mul_add(requests, self.exposure_slack)
    }
}

/// The part of the allowed exposure that the test of a new version may use. A version that turns bad
/// later gets up to half of the traffic until that is noticed.
const CANARY_PART: f64 = 0.5;
