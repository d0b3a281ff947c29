//! Byte activity of a link: when bytes were last received and sent, and how many.
//!
//! A message may take longer to arrive than a dead peer takes to detect, so messages alone don't
//! show whether the peer is alive.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use waxwing_core::clock::Clock;

/// Bytes of one direction of a link.
#[derive(Debug, Default)]
struct DirectionActivity {
    bytes: AtomicU64,
    /// When bytes were last transferred, in microseconds since the start of the link.
    last_micros: AtomicU64,
}

impl DirectionActivity {
    fn record(&self, bytes: usize, elapsed: Duration) {
        if bytes > 0 {
            let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
            self.last_micros.store(micros, Ordering::Relaxed);
            self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        }
    }

    fn idle_time(&self, elapsed: Duration) -> Duration {
        let last = Duration::from_micros(self.last_micros.load(Ordering::Relaxed));
        elapsed.saturating_sub(last)
    }
}

/// The byte activity of a link in both directions.
#[derive(Debug)]
pub(crate) struct LinkActivity<C> {
    clock: C,
    start: Instant,
    received: DirectionActivity,
    sent: DirectionActivity,
}

impl<C: Clock> LinkActivity<C> {
    pub(crate) fn new(clock: C) -> Self {
        Self {
            start: clock.now(),
            clock,
            received: DirectionActivity::default(),
            sent: DirectionActivity::default(),
        }
    }

    fn elapsed(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.start)
    }

    /// Returns the number of bytes received since the start of the link.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.received.bytes.load(Ordering::Relaxed)
    }

    /// Returns the time since bytes were last received.
    pub(crate) fn receive_idle_time(&self) -> Duration {
        self.received.idle_time(self.elapsed())
    }

    /// Returns the time since the socket last accepted bytes.
    pub(crate) fn send_idle_time(&self) -> Duration {
        self.sent.idle_time(self.elapsed())
    }
}

/// A byte stream that records its activity.
#[derive(Debug)]
pub(crate) struct ActivityStream<S, C> {
    stream: S,
    activity: Arc<LinkActivity<C>>,
}

impl<S, C> ActivityStream<S, C> {
    pub(crate) const fn new(stream: S, activity: Arc<LinkActivity<C>>) -> Self {
        Self { stream, activity }
    }
}

impl<S: AsyncRead + Unpin, C: Clock> AsyncRead for ActivityStream<S, C> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        this.activity
            .received
            .record(bytes, this.activity.elapsed());
        polled
    }
}

impl<S: AsyncWrite + Unpin, C: Clock> AsyncWrite for ActivityStream<S, C> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &polled {
            this.activity.sent.record(*written, this.activity.elapsed());
        }
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
