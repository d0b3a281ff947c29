//! The decision log: JSON lines on standard output, bounded in volume, that never block a request.
//! `docs/OPERATIONS.md` lists the events.
//!
//! Each kind of line may come at a rate; what is above it is left out and counted, and a line
//! `lines-left-out` says how many every ten seconds. Lines wait for standard output in a bounded
//! queue of a thread of its own; what doesn't fit is counted as well.

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

/// Lines of one kind in a second; a burst of failures shows as that many examples of each kind.
pub const LINES_PER_SECOND: f64 = 20.0;

/// Lines of one kind that may come at once.
pub const LINE_BURST: f64 = 60.0;

/// Lines that wait for standard output; at 400 bytes a line they take 1.6 MB at most.
const QUEUED_LINES: usize = 4_096;

/// Time between two lines that say what was left out.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// A `LineBucket` is what one kind of line may still say.
#[derive(Debug, Clone, Copy)]
struct LineBucket {
    room: f64,
    updated: Instant,
}

/// A `LineLimit` lets a bounded number of lines of each kind through.
#[derive(Debug)]
pub struct LineLimit<C> {
    clock: C,
    buckets: Mutex<HashMap<callsite::Identifier, LineBucket>>,
    left_out: Arc<AtomicU64>,
}

impl<C: Clock> LineLimit<C> {
    /// Builds a limit; `left_out` counts the lines that it holds back.
    #[must_use]
    pub fn new(clock: C, left_out: Arc<AtomicU64>) -> Self {
        Self {
            clock,
            buckets: Mutex::default(),
            left_out,
        }
    }

    fn admits(&self, kind: callsite::Identifier) -> bool {
        let now = self.clock.now();
        let mut buckets = self
            .buckets
            .lock()
            .expect("the table of lines is never left half changed");
        let bucket = buckets.entry(kind).or_insert(LineBucket {
            room: LINE_BURST,
            updated: now,
        });
        let elapsed = now.saturating_duration_since(bucket.updated).as_secs_f64();
        bucket.room = (bucket.room + elapsed * LINES_PER_SECOND).min(LINE_BURST);
        bucket.updated = now;
        let admitted = bucket.room >= 1.0;
        if admitted {
            bucket.room -= 1.0;
        }
        admitted
    }
}

impl<C: Clock, S: Subscriber> Layer<S> for LineLimit<C> {
    fn event_enabled(&self, event: &Event<'_>, _context: Context<'_, S>) -> bool {
        let admitted = self.admits(event.metadata().callsite());
        if !admitted {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }
}

/// A `LogGuard` writes what is queued when it is dropped at the end of the process.
#[derive(Debug)]
pub struct LogGuard {
    _worker: non_blocking::WorkerGuard,
    left_out: Arc<AtomicU64>,
    queue_full: non_blocking::ErrorCounter,
}

/// Builds the subscriber that writes limited JSON lines to `writer`.
pub fn subscriber<C, W>(
    clock: C,
    left_out: Arc<AtomicU64>,
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
        .with(LineLimit::new(clock, left_out))
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
    let left_out = Arc::new(AtomicU64::new(0));
    let subscriber = subscriber(clock, left_out.clone(), writer);
    if let Err(error) = tracing::subscriber::set_global_default(subscriber) {
        eprintln!("the decision log is not in use: {error}");
    }
    LogGuard {
        _worker: worker,
        left_out,
        queue_full,
    }
}

impl LogGuard {
    /// Says regularly how many lines were left out.
    pub async fn summarise<C: Clock>(&self, clock: C) {
        let (mut limited, mut dropped) = (0, 0);
        loop {
            clock.sleep(SUMMARY_INTERVAL).await;
            let left_out = self.left_out.load(Ordering::Relaxed);
            let full = self.queue_full.dropped_lines();
            if left_out > limited || full > dropped {
                tracing::warn!(
                    event = "lines-left-out",
                    over_rate = left_out - limited,
                    queue_full = full - dropped
                );
            }
            (limited, dropped) = (left_out, full);
        }
    }
}
