//! The clock interface. Code that waits or measures time takes a [`Clock`], so that tests can
//! advance time instead of sleeping.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

/// A source of time and of timers.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time. It may jump, so it is only used for timestamps in records.
    fn wall(&self) -> SystemTime;

    /// Returns a future that completes after `duration`.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send;

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    fn wall_millis(&self) -> u64 {
        let since_epoch = self
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}

/// The system clock. Monotonic time and timers go through tokio, so that tests can pause them.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send {
        tokio::time::sleep(duration)
    }
}

/// A clock for tests that only moves when it is advanced. `sleep` advances it by the full duration
/// and completes at once; clones share the time.
#[derive(Debug, Clone)]
pub struct ManualClock {
    start: Instant,
    elapsed_micros: Arc<AtomicU64>,
}

impl ManualClock {
    /// Creates a clock whose wall-clock time is the Unix epoch.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed_micros: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.elapsed_micros.fetch_add(micros, Ordering::SeqCst);
    }

    fn elapsed(&self) -> Duration {
        Duration::from_micros(self.elapsed_micros.load(Ordering::SeqCst))
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send {
        self.advance(duration);
        std::future::ready(())
    }
}
