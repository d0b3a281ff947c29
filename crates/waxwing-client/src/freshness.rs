//! What a process may do depending on how long ago a quorum confirmed its settings.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// How recently a quorum confirmed the settings of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SettingsFreshness {
    /// No quorum has confirmed any version since the start; the process is not ready.
    Unconfirmed,
    /// The version in force was confirmed less than `stale_after` ago (see
    /// [`ClientOptions`](crate::options::ClientOptions)).
    Fresh,
    /// The last confirmation is older than `stale_after`: the process still serves requests, but
    /// makes no new claims.
    Stale,
    /// The last confirmation is older than the setting `fleet.stale_settings_limit_s`: the process
    /// reports itself not ready and refuses requests.
    Expired,
}

impl SettingsFreshness {
    /// Returns whether requests may be accepted.
    #[must_use]
    pub fn is_ready(self) -> bool {
        matches!(self, Self::Fresh | Self::Stale)
    }

    /// Returns whether new claims may be made.
    #[must_use]
    pub fn allows_claims(self) -> bool {
        self == Self::Fresh
    }
}

/// The time of the last confirmation of the settings. It is read on the request path, so a read
/// costs one atomic load.
#[derive(Debug)]
pub(crate) struct LastConfirmation {
    start: Instant,
    /// Microseconds from `start` to the last confirmation, plus one; zero if there was none.
    confirmed_at: AtomicU64,
}

impl LastConfirmation {
    pub(crate) fn new(start: Instant) -> Self {
        Self {
            start,
            confirmed_at: AtomicU64::new(0),
        }
    }

    /// Records a confirmation at `now`; an earlier time than the recorded one is ignored.
    pub(crate) fn confirm(&self, now: Instant) {
        let micros = self.micros_since_start(now).saturating_add(1);
        self.confirmed_at.fetch_max(micros, Ordering::Release);
    }

    /// Returns the time since the last confirmation.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed_micros = self.confirmed_at.load(Ordering::Acquire).checked_sub(1)?;
        Some(Duration::from_micros(
            self.micros_since_start(now)
                .saturating_sub(confirmed_micros),
        ))
    }

    pub(crate) fn freshness(
        &self,
        now: Instant,
        stale_after: Duration,
        expires_after: Duration,
    ) -> SettingsFreshness {
        match self.age(now) {
            None => SettingsFreshness::Unconfirmed,
            Some(age) if age < stale_after => SettingsFreshness::Fresh,
            Some(age) if age < expires_after => SettingsFreshness::Stale,
            Some(_) => SettingsFreshness::Expired,
        }
    }

    fn micros_since_start(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.start);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX - 1)
    }
}
