//! The decision log: rate-limited JSON lines on standard output that never block a request.
//! `docs/OPERATIONS.md` lists the events.
//!
//! Each kind of line, identified by its call site, has a rate limit. Lines above it are dropped and
//! counted, and a line `lines-left-out` reports the counts every ten seconds. A separate thread
//! writes the lines from a bounded queue; lines that don't fit in it are counted as well.

use std::{
    collections::HashMap,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use tracing::{Event, Subscriber, callsite};
use tracing_appender::non_blocking;
use tracing_subscriber::{
    EnvFilter, Layer,
    layer::{Context, SubscriberExt as _},
    registry::LookupSpan,
};
use waxwing_core::clock::Clock;

/// Sustained rate limit of each kind of line, in lines per second. Of a long series of failures,
/// that many examples of each kind are logged.
pub const LINES_PER_SECOND: f64 = 20.0;

/// Maximum burst of each kind of line, in lines.
pub const LINE_BURST: f64 = 60.0;

/// Capacity of the queue to standard output, in lines; at 400 bytes a line it holds up to 1.6 MB.
const QUEUED_LINES: usize = 4_096;

/// Interval at which dropped lines are reported.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// Token bucket for one kind of line.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    /// Lines that may be written at once.
    tokens: f64,
    updated: Instant,
}

/// Limits the rate of each kind of line.
#[derive(Debug)]
pub struct LineRateLimit<C> {
    clock: C,
    buckets: Mutex<HashMap<callsite::Identifier, TokenBucket>>,
    /// Number of lines dropped by the rate limit.
    dropped: Arc<AtomicU64>,
}

impl<C: Clock> LineRateLimit<C> {
    /// Creates a rate limit that adds the lines it drops to `dropped`.
    #[must_use]
    pub fn new(clock: C, dropped: Arc<AtomicU64>) -> Self {
        Self {
            clock,
            buckets: Mutex::default(),
            dropped,
        }
    }

    fn admits(&self, kind: callsite::Identifier) -> bool {
        let now = self.clock.now();
        let mut buckets = self
            .buckets
            .lock()
            .expect("the table of buckets is never left half updated");
        let bucket = buckets.entry(kind).or_insert(TokenBucket {
            tokens: LINE_BURST,
            updated: now,
        });
        let elapsed = now.saturating_duration_since(bucket.updated).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * LINES_PER_SECOND).min(LINE_BURST);
        bucket.updated = now;
        let admitted = bucket.tokens >= 1.0;
        if admitted {
            bucket.tokens -= 1.0;
        }
        admitted
    }
}

impl<C: Clock, S: Subscriber> Layer<S> for LineRateLimit<C> {
    fn event_enabled(&self, event: &Event<'_>, _context: Context<'_, S>) -> bool {
        let admitted = self.admits(event.metadata().callsite());
        if !admitted {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }
}

/// Keeps the log's thread running, and writes the queued lines when dropped at the end of the
/// process.
#[derive(Debug)]
pub struct LogGuard {
    _worker: non_blocking::WorkerGuard,
    dropped: Arc<AtomicU64>,
    queue_full: non_blocking::ErrorCounter,
}

/// Builds the subscriber that writes rate-limited JSON lines to `writer`. It adds the lines that
/// the limit drops to `dropped`.
pub fn subscriber<C, W>(
    clock: C,
    dropped: Arc<AtomicU64>,
    writer: W,
) -> impl Subscriber + for<'span> LookupSpan<'span> + Send + Sync
where
    C: Clock,
    W: for<'writer> tracing_subscriber::fmt::MakeWriter<'writer> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(writer);
    tracing_subscriber::registry()
        .with(filter)
        .with(LineRateLimit::new(clock, dropped))
        .with(lines)
}

/// Starts the decision log of the process on standard output.
#[must_use]
pub fn start<C: Clock>(clock: C) -> LogGuard {
    let (writer, worker) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUED_LINES)
        .lossy(true)
        .finish(io::stdout());
    let queue_full = writer.error_counter();
    let dropped = Arc::new(AtomicU64::new(0));
    let subscriber = subscriber(clock, dropped.clone(), writer);
    if let Err(error) = tracing::subscriber::set_global_default(subscriber) {
        eprintln!("the decision log can't be started: {error}");
    }
    LogGuard {
        _worker: worker,
        dropped,
        queue_full,
    }
}

impl LogGuard {
    /// Reports the number of dropped lines at regular intervals, until cancelled.
    pub async fn report_dropped_lines<C: Clock>(&self, clock: C) {
        let (mut reported_by_limit, mut reported_by_queue) = (0, 0);
        loop {
            clock.sleep(SUMMARY_INTERVAL).await;
            let dropped_by_limit = self.dropped.load(Ordering::Relaxed);
            let dropped_by_queue = self.queue_full.dropped_lines();
            if dropped_by_limit > reported_by_limit || dropped_by_queue > reported_by_queue {
                tracing::warn!(
                    event = "lines-left-out",
                    over_rate = dropped_by_limit - reported_by_limit,
                    queue_full = dropped_by_queue - reported_by_queue
                );
            }
            (reported_by_limit, reported_by_queue) = (dropped_by_limit, dropped_by_queue);
        }
    }
}
