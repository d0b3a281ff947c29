//! How old the confirmation of the settings in force may be, and what follows from its age.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// A `SettingsFreshness` tells what a process may do with its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SettingsFreshness {
    /// No quorum has confirmed any version since the start; the process is not ready.
    Unconfirmed,
    /// The version in force was confirmed within the stale mark.
    Fresh,
    /// The stale mark has passed: the process serves on, but makes no new claims.
    Stale,
    /// The limit has passed: the process fails readiness and refuses requests.
    Expired,
}

impl SettingsFreshness {
    /// Tells whether requests may be accepted.
    #[must_use]
    pub fn is_ready(self) -> bool {
        matches!(self, Self::Fresh | Self::Stale)
    }

    /// Tells whether new claims may be made.
    #[must_use]
    pub fn allows_claims(self) -> bool {
        self == Self::Fresh
    }
}

/// A `ConfirmationMark` remembers when the settings were last confirmed; it is read on the
/// request path and costs one atomic load.
#[derive(Debug)]
pub(crate) struct ConfirmationMark {
    start: Instant,
    /// Microseconds from `start` to the last confirmation, plus one; zero for none.
    confirmed: AtomicU64,
}

impl ConfirmationMark {
    pub(crate) fn new(start: Instant) -> Self {
        Self {
            start,
            confirmed: AtomicU64::new(0),
        }
    }

    pub(crate) fn confirm(&self, now: Instant) {
        let micros = self.micros(now).saturating_add(1);
        self.confirmed.fetch_max(micros, Ordering::Release);
    }

    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        let mark = self.confirmed.load(Ordering::Acquire).checked_sub(1)?;
        Some(Duration::from_micros(self.micros(now).saturating_sub(mark)))
    }

    pub(crate) fn freshness(
        &self,
        now: Instant,
        stale_after: Duration,
        limit: Duration,
    ) -> SettingsFreshness {
        match self.age(now) {
            None => SettingsFreshness::Unconfirmed,
            Some(age) if age < stale_after => SettingsFreshness::Fresh,
            Some(age) if age < limit => SettingsFreshness::Stale,
            Some(_) => SettingsFreshness::Expired,
        }
    }

    fn micros(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.start);
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX - 1)
    }
}
