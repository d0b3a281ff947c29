//! Connections to endpoints that end while a request is still on its way.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net,
    time::{self, Instant},
};

use crate::{losses, sockets};

/// Time for which an end of the stream is held back though the request was acknowledged. A link that
/// acknowledges for an endpoint may learn a little later that the endpoint is gone.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Time after which an acknowledged byte of a request is no longer on its way to the endpoint.
const DELIVERY_TIME: Duration = Duration::from_secs(1);

/// Time without an acknowledged byte of a request, after which an end of the stream counts as a reset.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval of the checks of a connection whose end is held back.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Tells whether the stream of a connection to an endpoint has ended; clones share it.
#[derive(Debug, Clone, Default)]
pub struct StreamEnd(Arc<AtomicBool>);

impl StreamEnd {
    /// Tells whether the endpoint has ended the stream.
    #[must_use]
    pub fn has_come(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// What an end of the stream means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndVerdict {
    /// The endpoint has taken the whole request.
    Orderly,
    /// The endpoint has not taken the whole request, and won't.
    Reset,
    /// A reset may still follow.
    Undecided,
}

/// An end of the stream that is held back until it is known whether a reset follows.
#[derive(Debug)]
struct HeldEnd {
    timer: Pin<Box<time::Sleep>>,
    arrived: Instant,
    /// When the endpoint last acknowledged a part of the request, and how much it had then.
    progress: (Instant, u64),
}

impl HeldEnd {
    fn new(state: &sockets::SendState, now: Instant) -> Self {
        Self {
            timer: Box::pin(time::sleep_until(now)),
            arrived: now,
            progress: (now, state.acked_bytes),
        }
    }

    /// Judges the end by the state of its connection at `now`.
    fn judge(&mut self, state: &sockets::SendState, now: Instant) -> EndVerdict {
        if state.acked_bytes != self.progress.1 {
            self.progress = (now, state.acked_bytes);
        }
        let has_settled = state.since_sent >= DELIVERY_TIME
            || now.saturating_duration_since(self.arrived) >= SETTLE_TIME;
        if state.is_acknowledged() {
            return match has_settled {
                true => EndVerdict::Orderly,
                false => EndVerdict::Undecided,
            };
        }
        match now.saturating_duration_since(self.progress.0) >= PROGRESS_TIMEOUT {
            true => EndVerdict::Reset,
            false => EndVerdict::Undecided,
        }
    }
}

/// The connection to an endpoint, which fails once the endpoint has vanished. Its end counts as a reset
/// if the endpoint hasn't taken the whole request, or if a reset has arrived.
///
/// An answer without a length ends with its connection. An endpoint that closes a connection before it
/// has read the request sends the end of the stream first and resets the connection when more of the
/// request arrives. The kernel then reports the end alone, so that the part of an answer would look
/// whole. The end is therefore held back until the kernel knows that the request was taken.
#[derive(Debug)]
pub struct EndpointStream {
    stream: net::TcpStream,
    /// Whether bytes of a request wait until the connection takes more.
    is_writing: bool,
    /// Whether a reset was reported. Nothing is written from then on, so that the connection closes and
    /// the rest of the request takes no memory.
    is_reset: bool,
    watch: losses::LossWatch,
    held_end: Option<HeldEnd>,
    end: StreamEnd,
}

impl EndpointStream {
    /// Creates the stream of a connection that has just been opened.
    #[must_use]
    pub fn new(stream: net::TcpStream) -> Self {
        Self {
            stream,
            is_writing: false,
            is_reset: false,
            watch: losses::LossWatch::default(),
            held_end: None,
            end: StreamEnd::default(),
        }
    }

    /// Returns what tells whether the stream has ended.
    #[must_use]
    pub fn end(&self) -> StreamEnd {
        self.end.clone()
    }

    /// Returns why the end of the stream is no orderly one, if so, once that is known.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Error>> {
        self.end.0.store(true, Ordering::Release);
        loop {
            if self.is_writing {
                return Poll::Ready(Some(io::ErrorKind::ConnectionReset.into()));
            }
            if let Some(error) = self.stream.take_error().unwrap_or_else(Some) {
                return Poll::Ready(Some(error));
            }
            let now = Instant::now();
            let state = match sockets::send_state(&self.stream) {
                Ok(state) => state,
                Err(error) => return Poll::Ready(Some(error)),
            };
            let end = self
                .held_end
                .get_or_insert_with(|| HeldEnd::new(&state, now));
            match end.judge(&state, now) {
                EndVerdict::Orderly => return Poll::Ready(None),
                EndVerdict::Reset => {
                    return Poll::Ready(Some(io::ErrorKind::ConnectionReset.into()));
                }
                EndVerdict::Undecided => {
                    end.timer.as_mut().reset(now + CHECK_INTERVAL);
                    ready!(end.timer.as_mut().poll(context));
                }
            }
        }
    }

    /// Writes by `write`, unless a reset was reported.
    fn write(
        &mut self,
        context: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut net::TcpStream>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if self.is_reset {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let written = write(Pin::new(&mut self.stream), context);
        self.is_writing = written.is_pending();
        match self
            .watch
            .poll_lost(context, &self.stream, written.is_ready())
        {
            Poll::Ready(error) => Poll::Ready(Err(error)),
            Poll::Pending => written,
        }
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if let Poll::Ready(error) = this.watch.poll_lost(context, &this.stream, false) {
            return Poll::Ready(Err(error));
        }
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        let has_ended = buffer.filled().len() == filled && buffer.remaining() > 0;
        if !has_ended {
            return Poll::Ready(Ok(()));
        }
        let error = ready!(this.poll_end(context));
        this.is_reset |= error.is_some();
        Poll::Ready(error.map_or(Ok(()), Err))
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(context, |stream, context| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(context, |stream, context| {
            stream.poll_write_vectored(context, slices)
        })
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
