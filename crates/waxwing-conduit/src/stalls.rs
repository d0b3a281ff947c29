//! Connections of callers that stop reading or vanish.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net, time,
};

use crate::{losses, sockets};

/// Time without a byte that the caller acknowledges, after which its connection is closed while bytes
/// wait for it. They take memory, and maybe the slot of a run. Endpoints cut off an answer that remains
/// unread for some seconds, which must not count as their failure, nor make a stream go on elsewhere.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which it is checked whether a caller has acknowledged more.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay of the first check: what was just sent is acknowledged until then.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(10);

/// Bytes that wait for a caller.
#[derive(Debug)]
struct WriteStall {
    /// Runs until the next check.
    timer: Pin<Box<time::Sleep>>,
    /// When the caller was last seen to have acknowledged more, and how much it had then.
    progress: (time::Instant, u64),
}

impl WriteStall {
    fn new(acked_bytes: u64) -> Self {
        Self {
            timer: Box::pin(time::sleep(FIRST_CHECK_DELAY)),
            progress: (time::Instant::now(), acked_bytes),
        }
    }

    /// Tells whether the caller has acknowledged nothing more for [`STALL_TIMEOUT`].
    fn is_over(&mut self, acked_bytes: u64) -> bool {
        let now = time::Instant::now();
        if acked_bytes != self.progress.1 {
            self.progress = (now, acked_bytes);
        }
        now.saturating_duration_since(self.progress.0) >= STALL_TIMEOUT
    }
}

/// The connection of a caller, which fails once the caller takes nothing for [`STALL_TIMEOUT`], or has
/// vanished.
///
/// The kernel takes more bytes only once it has sent a part of those that it holds, which a slow caller
/// may reach long after the timeout. So a caller counts as reading while it acknowledges bytes.
#[derive(Debug)]
pub struct CallerStream {
    stream: net::TcpStream,
    address: SocketAddr,
    /// Set while bytes wait for the caller.
    stall: Option<WriteStall>,
    watch: losses::LossWatch,
}

impl CallerStream {
    /// Creates the stream of a connection from the caller at `address`.
    #[must_use]
    pub fn new(stream: net::TcpStream, address: SocketAddr) -> Self {
        Self {
            stream,
            address,
            stall: None,
            watch: losses::LossWatch::default(),
        }
    }

    /// Returns an error once the caller has vanished.
    fn poll_lost(&mut self, context: &mut Context<'_>, has_written: bool) -> Poll<io::Error> {
        let lost = self.watch.poll_lost(context, &self.stream, has_written);
        if lost.is_ready() {
            tracing::info!(event = "caller-vanished", address = %self.address);
        }
        lost
    }

    /// Returns the result of a write, or an error if the caller has taken nothing for too long.
    fn limit_stall(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(error) = self.poll_lost(context, written.is_ready()) {
            return Poll::Ready(Err(error));
        }
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let acked_bytes = |stream| sockets::send_state(stream).map_or(0, |state| state.acked_bytes);
        let stall = self
            .stall
            .get_or_insert_with(|| WriteStall::new(acked_bytes(&self.stream)));
        while stall.timer.as_mut().poll(context).is_ready() {
            if stall.is_over(acked_bytes(&self.stream)) {
                tracing::info!(event = "caller-stalled", address = %self.address);
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            let next = time::Instant::now() + CHECK_INTERVAL;
            let end = stall.progress.0 + STALL_TIMEOUT;
            stall.timer.as_mut().reset(next.min(end));
        }
        Poll::Pending
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Poll::Ready(error) = self.poll_lost(context, false) {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit_stall(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.limit_stall(context, written)
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
