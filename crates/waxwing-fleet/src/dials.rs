//! How a process paces its attempts to open a link to another one.

use std::time::Duration;

/// Timeout of the first attempt. A host without power answers nothing, and the operating system sends
/// the first packet again after a second only. After a loss of power processes come back within some
/// hundred milliseconds of each other, and entries serve nothing until they have links.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest timeout of an attempt, and that of a process that is dialled; enough for round trips
/// between distant regions under load.
pub const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause after the first failed attempt.
const FIRST_PAUSE: Duration = Duration::from_millis(40);

/// Longest pause, so that hosts that are down cost little.
const MAX_PAUSE: Duration = Duration::from_millis(150);

/// Pacing of the attempts to reach one process: they become longer and rarer with each failure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DialPacing {
    failures: u32,
}

impl DialPacing {
    /// Returns the timeout of each step of the next attempt.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        self.doubled(FIRST_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
    }

    /// Returns the shortest pause before the next attempt; a random part of up to the same length is
    /// added, so that many processes don't dial at the same time.
    #[must_use]
    pub fn pause(&self) -> Duration {
        self.doubled(FIRST_PAUSE, MAX_PAUSE)
    }

    fn doubled(self, first: Duration, longest: Duration) -> Duration {
        let factor = 2_u32.checked_pow(self.failures);
        let doubled = factor.and_then(|factor| first.checked_mul(factor));
        doubled.map_or(longest, |doubled| doubled.min(longest))
    }

    /// Records an attempt that failed.
    pub const fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Records a link that opened.
    pub const fn record_success(&mut self) {
        self.failures = 0;
    }
}
