//! The clock interface. Every part that waits or measures takes a `Clock`, so that tests step time
//! instead of sleeping.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

/// A `Clock` tells the time and waits.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time; it may jump and only labels records.
    fn wall(&self) -> SystemTime;

    /// Waits for `duration`.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send;

    /// Returns the wall-clock time in milliseconds since 1970.
    fn wall_millis(&self) -> u64 {
        let since = self
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// A `SystemClock` is the clock of the machine, read through tokio so that a paused runtime stops
/// it in tests.
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

/// A `ManualClock` is a clock that a test moves forward; `sleep` moves it as well, at once.
#[derive(Debug, Clone)]
pub struct ManualClock {
    start: Instant,
    elapsed_micros: Arc<AtomicU64>,
}

impl ManualClock {
    /// Starts a clock that stands still.
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
