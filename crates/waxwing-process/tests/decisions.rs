//! Tests of the decision log's rate limit.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tracing_subscriber::fmt::MakeWriter;
use waxwing_core::clock::ManualClock;
use waxwing_process::decisions;

/// Collects the written lines.
#[derive(Debug, Clone, Default)]
struct LineBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LineBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'writer> MakeWriter<'writer> for LineBuffer {
    type Writer = Self;

    fn make_writer(&'writer self) -> Self {
        self.clone()
    }
}

fn log_failures(count: u32) {
    for number in 0..count {
        tracing::info!(event = "send-failed", number);
    }
}

/// Guards against a burst of failures that floods the log, or whose dropped lines are not counted.
#[test]
fn burst_of_failures_is_limited_and_counted() {
    let clock = ManualClock::new();
    let dropped = Arc::new(AtomicU64::new(0));
    let buffer = LineBuffer::default();
    let subscriber = decisions::subscriber(clock.clone(), dropped.clone(), buffer.clone());
    let lines = || {
        buffer
            .0
            .lock()
            .unwrap()
            .split(|byte| *byte == b'\n')
            .count()
            - 1
    };
    tracing::subscriber::with_default(subscriber, || {
        log_failures(100_000);
        let burst = lines();
        assert!(burst as f64 <= decisions::LINE_BURST, "{burst}");
        assert_eq!(dropped.load(Ordering::Relaxed), 100_000 - burst as u64);
        // The burst doesn't affect another kind of line.
        tracing::info!(event = "process-ended");
        assert_eq!(lines(), burst + 1);
        clock.advance(Duration::from_secs(1));
        log_failures(1_000);
        let more = lines() - burst - 1;
        assert!(more as f64 <= decisions::LINES_PER_SECOND, "{more}");
        assert!(more > 0);
    });
}
