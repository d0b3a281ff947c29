//! Connections to endpoints that end while a request is still being written.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net,
};

use crate::losses;

/// The connection to an endpoint, which fails once the endpoint has vanished. Its end counts as a reset if the endpoint hasn't taken the whole
/// request, or if a reset has arrived.
///
/// An answer without a length ends with its connection. An endpoint that closes a connection before it
/// has read the request sends the end of the stream first and resets the connection when more of the
/// request arrives. The kernel then reports the end alone, so that the part of an answer would look
/// whole.
#[derive(Debug)]
pub struct EndpointStream {
    stream: net::TcpStream,
    /// Whether bytes of a request wait until the connection takes more.
    is_writing: bool,
    /// Whether a reset was reported. Nothing is written from then on, so that the connection closes and
    /// the rest of the request takes no memory.
    is_reset: bool,
    watch: losses::LossWatch,
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
        }
    }

    /// Returns why the end of the stream is no orderly one, if so.
    fn reset_error(&self) -> Option<io::Error> {
        if self.is_writing {
            return Some(io::ErrorKind::ConnectionReset.into());
        }
        self.stream.take_error().unwrap_or_else(Some)
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
        let error = has_ended.then(|| this.reset_error()).flatten();
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
