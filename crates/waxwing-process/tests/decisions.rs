//! The decision log under a burst of failures: bounded, and what is left out is counted.

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

/// A `LineBuffer` keeps what is written.
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

fn fail(count: u32) {
    for number in 0..count {
        tracing::info!(event = "send-failed", number);
    }
}

#[test]
fn a_burst_of_failures_stays_bounded_and_is_counted() {
    let clock = ManualClock::new();
    let left_out = Arc::new(AtomicU64::new(0));
    let buffer = LineBuffer::default();
    let subscriber = decisions::subscriber(clock.clone(), left_out.clone(), buffer.clone());
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
        fail(100_000);
        let burst = lines();
        assert!(burst as f64 <= decisions::LINE_BURST, "{burst}");
        assert_eq!(left_out.load(Ordering::Relaxed), 100_000 - burst as u64);
        // Another kind of line is not held back by the burst.
        tracing::info!(event = "process-ended");
        assert_eq!(lines(), burst + 1);
        clock.advance(Duration::from_secs(1));
        fail(1_000);
        let more = lines() - burst - 1;
        assert!(more as f64 <= decisions::LINES_PER_SECOND, "{more}");
        assert!(more > 0);
    });
}
