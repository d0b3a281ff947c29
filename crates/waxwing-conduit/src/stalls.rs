//! Connections of callers that stop reading.

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

/// Time without a byte that the caller takes, after which its connection is closed while bytes wait
/// for it. They take memory, and maybe the slot of a run. Endpoints cut off an answer that remains
/// unread for some seconds, which must not count as their failure, nor make a stream go on elsewhere.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The connection of a caller, which fails once the caller takes nothing for [`STALL_TIMEOUT`].
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: net::TcpStream,
    address: SocketAddr,
    /// Runs while bytes wait for the caller.
    stall: Option<Pin<Box<time::Sleep>>>,
}

impl CallerStream {
    pub(crate) const fn new(stream: net::TcpStream, address: SocketAddr) -> Self {
        Self {
            stream,
            address,
            stall: None,
        }
    }

    /// Returns the result of a write, or an error if the caller has taken nothing for too long.
    fn limit_stall(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(time::sleep(STALL_TIMEOUT)));
        match stall.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => {
                tracing::info!(event = "caller-stalled", address = %self.address);
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
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
