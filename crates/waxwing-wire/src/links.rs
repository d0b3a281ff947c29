//! Links: framed TCP connections with a handshake, heartbeats and a receive timeout.
//!
//! A dead link is detected within [`LinkOptions::idle_timeout`] rather than by the kernel's
//! timeouts, since a middlebox may have dropped the state of the connection while new connections
//! work; see `docs/design.md`, section 5.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt as _, StreamExt as _};
use rustls::pki_types;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net,
    sync::mpsc,
};
use tokio_util::{codec, sync::CancellationToken};
use waxwing_core::{clock::Clock, counters};

use crate::{activity, errors, framing, messages, security};

/// The timeouts and limits of a link.
#[derive(Debug, Clone)]
pub struct LinkOptions {
    /// Interval between heartbeats on an idle link; default 500 ms.
    pub heartbeat_interval: Duration,
    /// Time without a received byte, or in which a write sends none, after which a link is
    /// considered lost; default 2.5 s, five heartbeat intervals. Messages may take longer.
    pub idle_timeout: Duration,
    /// Timeout of each step of opening a link: connecting, the TLS handshake and the exchange of
    /// `Hello` messages; default 2 s.
    pub connect_timeout: Duration,
    /// Capacity of the send queue and of the receive queue, in messages; default 1,024.
    pub queue_length: usize,
    /// Counters to which the bytes of control messages are added; by default a new set.
    pub counters: counters::CounterSet,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            idle_timeout: Duration::from_millis(2_500),
            connect_timeout: Duration::from_secs(2),
            queue_length: 1_024,
            counters: counters::CounterSet::new(),
        }
    }
}

impl LinkOptions {
    /// Returns the default options with the counters of a process.
    #[must_use]
    pub fn with_counters(counters: &counters::CounterSet) -> Self {
        Self {
            counters: counters.clone(),
            ..Self::default()
        }
    }
}

/// The sending half of a link; clones share one queue.
#[derive(Debug, Clone)]
pub struct LinkSender {
    queue: mpsc::Sender<Bytes>,
    ended: CancellationToken,
    settings_version: Arc<AtomicU64>,
    counters: counters::CounterSet,
}

impl LinkSender {
    /// Queues a message, waiting while the queue is full.
    ///
    /// # Errors
    /// Fails if the link has ended or the message is too long.
    pub async fn send(
        &self,
        correlation: u64,
        body: messages::Body,
    ) -> Result<(), errors::LinkError> {
        let frame = self.encode(correlation, body)?;
        tokio::select! {
            () = self.ended.cancelled() => Err(errors::LinkError::Closed),
            sent = self.queue.send(frame) => sent.map_err(|_| errors::LinkError::Closed),
        }
    }

    /// Queues a message without waiting.
    ///
    /// # Errors
    /// Fails if the link has ended, the queue is full or the message is too long.
    pub fn try_send(
        &self,
        correlation: u64,
        body: messages::Body,
    ) -> Result<(), errors::LinkError> {
        let frame = self.encode(correlation, body)?;
        self.queue.try_send(frame).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => errors::LinkError::Full,
            mpsc::error::TrySendError::Closed(_) => errors::LinkError::Closed,
        })
    }

    fn encode(&self, correlation: u64, body: messages::Body) -> Result<Bytes, errors::LinkError> {
        let control = body.is_control();
        let frame = framing::encode(correlation, body)?;
        if control {
            let event = counters::CounterEvent::ControlBytesSent;
            self.counters.add(event, framing::wire_bytes(frame.len()));
        }
        Ok(frame)
    }

    /// Sets the settings version that the heartbeats carry.
    pub fn set_settings_version(&self, version: u64) {
        self.settings_version.store(version, Ordering::Relaxed);
    }

    /// Closes the link in both directions; queued messages may be lost.
    pub fn close(&self) {
        self.ended.cancel();
    }

    /// Returns whether the link has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Waits until the link has ended.
    pub async fn closed(&self) {
        self.ended.cancelled().await;
    }
}

/// The receiving half of a link.
#[derive(Debug)]
pub struct LinkReceiver {
    queue: mpsc::Receiver<Result<messages::Envelope, errors::LinkError>>,
}

impl LinkReceiver {
    /// Waits for the next message. Heartbeats are returned too, since they carry the settings
    /// version of the peer.
    ///
    /// # Errors
    /// Fails with the reason after the link has ended, and with `Closed` on every later call.
    pub async fn recv(&mut self) -> Result<messages::Envelope, errors::LinkError> {
        self.queue
            .recv()
            .await
            .unwrap_or(Err(errors::LinkError::Closed))
    }
}

/// An open link to another process.
#[derive(Debug)]
pub struct Link {
    /// The `Hello` of the peer.
    pub peer: messages::Hello,
    /// The address of the peer.
    pub address: SocketAddr,
    /// The sending half.
    pub sender: LinkSender,
    /// The receiving half.
    pub receiver: LinkReceiver,
}

/// A listening socket for links.
#[derive(Debug)]
pub struct LinkListener<C> {
    listener: net::TcpListener,
    hello: messages::Hello,
    options: LinkOptions,
    security: security::LinkSecurity,
    clock: C,
}

impl<C: Clock> LinkListener<C> {
    /// Binds the listening socket.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        hello: messages::Hello,
        options: LinkOptions,
        security: security::LinkSecurity,
        clock: C,
    ) -> Result<Self, errors::LinkError> {
        let listener = net::TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            hello,
            options,
            security,
            clock,
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    /// Fails if the operating system can't report it.
    pub fn local_addr(&self) -> Result<SocketAddr, errors::LinkError> {
        Ok(self.listener.local_addr()?)
    }

    /// Waits for a connection. The handshake happens in [`PendingLink::open`], so that a slow peer
    /// doesn't delay others.
    ///
    /// # Errors
    /// Fails if the operating system can't accept a connection. Callers should try again after a
    /// delay.
    pub async fn accept(&self) -> Result<PendingLink<C>, errors::LinkError> {
        let (stream, address) = self.listener.accept().await?;
        Ok(PendingLink {
            stream,
            address,
            hello: self.hello.clone(),
            options: self.options.clone(),
            security: self.security.clone(),
            clock: self.clock.clone(),
        })
    }
}

/// An accepted connection before the handshake.
#[derive(Debug)]
pub struct PendingLink<C> {
    stream: net::TcpStream,
    address: SocketAddr,
    hello: messages::Hello,
    options: LinkOptions,
    security: security::LinkSecurity,
    clock: C,
}

impl<C: Clock> PendingLink<C> {
    /// Performs the TLS handshake, if configured, and the exchange of `Hello` messages, and starts
    /// the tasks of the link.
    ///
    /// # Errors
    /// Fails if the peer is too slow, uses another protocol version or can't be authenticated.
    pub async fn open(self) -> Result<Link, errors::LinkError> {
        let Self {
            stream,
            address,
            hello,
            options,
            security,
            clock,
        } = self;
        stream.set_nodelay(true)?;
        match security {
            security::LinkSecurity::Plain => {
                start_link(stream, address, hello, options, clock).await
            }
            security::LinkSecurity::Mutual(context) => {
                let acceptor = tokio_rustls::TlsAcceptor::from(context.load().server.clone());
                let timeout = options.connect_timeout;
                let tls_stream = with_timeout(&clock, timeout, acceptor.accept(stream)).await??;
                let peer_chain = tls_stream
                    .get_ref()
                    .1
                    .peer_certificates()
                    .map(copy_certificates);
                let link = start_link(tls_stream, address, hello, options, clock).await?;
                verify_peer(peer_chain.as_deref(), link)
            }
        }
    }
}

/// Connects to the process at `address` and opens a link.
///
/// # Errors
/// Fails if the peer can't be reached in time, uses another protocol version or can't be
/// authenticated.
pub async fn connect<C: Clock>(
    address: SocketAddr,
    hello: messages::Hello,
    options: LinkOptions,
    security: security::LinkSecurity,
    clock: C,
) -> Result<Link, errors::LinkError> {
    let timeout = options.connect_timeout;
    let stream = with_timeout(&clock, timeout, net::TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    match security {
        security::LinkSecurity::Plain => start_link(stream, address, hello, options, clock).await,
        security::LinkSecurity::Mutual(context) => {
            let connector = tokio_rustls::TlsConnector::from(context.load().client.clone());
            let name = pki_types::ServerName::try_from(security::FLEET_NAME)
                .map_err(|_| errors::LinkError::Handshake)?;
            let tls_stream =
                with_timeout(&clock, timeout, connector.connect(name, stream)).await??;
            let peer_chain = tls_stream
                .get_ref()
                .1
                .peer_certificates()
                .map(copy_certificates);
            let link = start_link(tls_stream, address, hello, options, clock).await?;
            verify_peer(peer_chain.as_deref(), link)
        }
    }
}

fn copy_certificates(
    certificates: &[pki_types::CertificateDer<'_>],
) -> Vec<pki_types::CertificateDer<'static>> {
    certificates
        .iter()
        .map(|certificate| certificate.clone().into_owned())
        .collect()
}

/// Closes the link and fails if the peer's certificate is not valid for the name in its `Hello`.
fn verify_peer(
    certificates: Option<&[pki_types::CertificateDer<'_>]>,
    link: Link,
) -> Result<Link, errors::LinkError> {
    match security::verify_process_name(certificates, &link.peer) {
        Ok(()) => Ok(link),
        Err(error) => {
            link.sender.close();
            Err(error.into())
        }
    }
}

/// Awaits `operation`, and fails with [`errors::LinkError::TimedOut`] after `timeout`.
async fn with_timeout<C: Clock, F: Future>(
    clock: &C,
    timeout: Duration,
    operation: F,
) -> Result<F::Output, errors::LinkError> {
    tokio::select! {
        output = operation => Ok(output),
        () = clock.sleep(timeout) => Err(errors::LinkError::TimedOut),
    }
}

/// Awaits `operation`, and fails with [`errors::LinkError::TimedOut`] once it has waited for
/// `timeout` and no bytes were transferred in that time. `idle_time` returns the time since the
/// last transfer.
async fn while_active<C: Clock, F: Future>(
    clock: &C,
    timeout: Duration,
    idle_time: impl Fn() -> Duration,
    operation: F,
) -> Result<F::Output, errors::LinkError> {
    tokio::pin!(operation);
    let mut wait = timeout;
    loop {
        tokio::select! {
            output = &mut operation => return Ok(output),
            () = clock.sleep(wait) => {}
        }
        wait = timeout.saturating_sub(idle_time());
        if wait.is_zero() {
            return Err(errors::LinkError::TimedOut);
        }
    }
}

type FramedStream<S, C> =
    codec::Framed<activity::ActivityStream<S, C>, codec::LengthDelimitedCodec>;

/// Exchanges `Hello` messages and starts the reader and writer tasks.
async fn start_link<S, C>(
    stream: S,
    address: SocketAddr,
    hello: messages::Hello,
    options: LinkOptions,
    clock: C,
) -> Result<Link, errors::LinkError>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    C: Clock,
{
    let activity = Arc::new(activity::LinkActivity::new(clock.clone()));
    let stream = activity::ActivityStream::new(stream, activity.clone());
    let mut frames = codec::Framed::new(stream, framing::codec());
    let timeout = options.connect_timeout;
    let peer = with_timeout(&clock, timeout, exchange_hello(&mut frames, hello)).await??;
    let (out_sender, out_receiver) = mpsc::channel(options.queue_length);
    let (in_sender, in_receiver) = mpsc::channel(options.queue_length);
    let ended = CancellationToken::new();
    let settings_version = Arc::new(AtomicU64::new(0));
    let (sink, source) = frames.split();
    let writer = LinkWriter {
        sink,
        activity: activity.clone(),
        queue: out_receiver,
        interval: options.heartbeat_interval,
        write_timeout: options.idle_timeout,
        settings_version: settings_version.clone(),
        counters: options.counters.clone(),
        ended: ended.clone(),
        clock: clock.clone(),
    };
    let reader = LinkReader {
        source,
        activity,
        address,
        queue: in_sender,
        receive_timeout: options.idle_timeout,
        counters: options.counters.clone(),
        ended: ended.clone(),
        clock,
    };
    tokio::spawn(writer.run());
    tokio::spawn(reader.run());
    let sender = LinkSender {
        queue: out_sender,
        ended,
        settings_version,
        counters: options.counters,
    };
    Ok(Link {
        peer,
        address,
        sender,
        receiver: LinkReceiver { queue: in_receiver },
    })
}

async fn exchange_hello<S: AsyncRead + AsyncWrite + Unpin, C: Clock>(
    frames: &mut FramedStream<S, C>,
    hello: messages::Hello,
) -> Result<messages::Hello, errors::LinkError> {
    frames
        .send(framing::encode(0, messages::Body::Hello(hello))?)
        .await?;
    let frame = frames.next().await.ok_or(errors::LinkError::Closed)??;
    let envelope = framing::decode(frame)?;
    if envelope.version != messages::PROTOCOL_VERSION {
        return Err(errors::LinkError::Version {
            found: envelope.version,
            allowed: messages::PROTOCOL_VERSION,
        });
    }
    match envelope.body {
        Some(messages::Body::Hello(peer)) => Ok(peer),
        _ => Err(errors::LinkError::Handshake),
    }
}

/// The task that sends the queued messages, and heartbeats while the queue is empty.
struct LinkWriter<S, C> {
    sink: futures_util::stream::SplitSink<FramedStream<S, C>, Bytes>,
    activity: Arc<activity::LinkActivity<C>>,
    queue: mpsc::Receiver<Bytes>,
    /// Interval between heartbeats while the queue is empty.
    interval: Duration,
    write_timeout: Duration,
    settings_version: Arc<AtomicU64>,
    counters: counters::CounterSet,
    ended: CancellationToken,
    clock: C,
}

impl<S: AsyncRead + AsyncWrite + Unpin, C: Clock> LinkWriter<S, C> {
    async fn run(mut self) {
        while let Some(frame) = self.next_frame().await {
            // A peer that stops reading must not block the writer forever.
            let ended = self.ended.clone();
            let limit = self.write_timeout;
            let clock = self.clock.clone();
            let activity = self.activity.clone();
            let idle_time = || activity.send_idle_time();
            let writing = while_active(&clock, limit, idle_time, self.write(frame));
            let sent = tokio::select! {
                () = ended.cancelled() => false,
                sent = writing => matches!(sent, Ok(Ok(()))),
            };
            if !sent {
                break;
            }
        }
        self.ended.cancel();
    }

    /// Writes a frame and all frames that are queued behind it with one flush, so that they share
    /// packets.
    async fn write(&mut self, frame: Bytes) -> Result<(), errors::LinkError> {
        self.sink.feed(frame).await?;
        while let Ok(next) = self.queue.try_recv() {
            self.sink.feed(next).await?;
        }
        Ok(self.sink.flush().await?)
    }

    async fn next_frame(&mut self) -> Option<Bytes> {
        tokio::select! {
            biased;
            frame = self.queue.recv() => frame,
            () = self.ended.cancelled() => None,
            () = self.clock.sleep(self.interval) => {
                let settings_version = self.settings_version.load(Ordering::Relaxed);
                let heartbeat = messages::Heartbeat { settings_version };
                let frame = framing::encode(0, messages::Body::Heartbeat(heartbeat)).ok()?;
                let event = counters::CounterEvent::ControlBytesSent;
                self.counters.add(event, framing::wire_bytes(frame.len()));
                Some(frame)
            }
        }
    }
}

/// The task that receives messages and ends the link if none arrives in time.
struct LinkReader<S, C> {
    source: futures_util::stream::SplitStream<FramedStream<S, C>>,
    activity: Arc<activity::LinkActivity<C>>,
    address: SocketAddr,
    queue: mpsc::Sender<Result<messages::Envelope, errors::LinkError>>,
    receive_timeout: Duration,
    counters: counters::CounterSet,
    ended: CancellationToken,
    clock: C,
}

impl<S: AsyncRead + AsyncWrite + Unpin, C: Clock> LinkReader<S, C> {
    async fn run(mut self) {
        let ended = self.ended.clone();
        loop {
            let received = tokio::select! {
                () = ended.cancelled() => Err(errors::LinkError::Closed),
                received = self.next() => received,
            };
            let failed = received.is_err();
            if self.queue.send(received).await.is_err() || failed {
                break;
            }
        }
        self.ended.cancel();
    }

    async fn next(&mut self) -> Result<messages::Envelope, errors::LinkError> {
        let frame = self.next_frame().await?;
        let length = frame.len();
        let envelope = framing::decode(frame)?;
        if envelope
            .body
            .as_ref()
            .is_some_and(messages::Body::is_control)
        {
            let event = counters::CounterEvent::ControlBytesReceived;
            self.counters.add(event, framing::wire_bytes(length));
        }
        Ok(envelope)
    }

    /// Waits for a frame as long as bytes arrive: a large one may take longer than the timeout.
    async fn next_frame(&mut self) -> Result<BytesMut, errors::LinkError> {
        let received_before = self.activity.received_bytes();
        let next = self.source.next();
        let activity = self.activity.clone();
        let idle_time = || activity.receive_idle_time();
        let Ok(frame) = while_active(&self.clock, self.receive_timeout, idle_time, next).await
        else {
            tracing::warn!(
                event = "link-timed-out",
                address = %self.address,
                partial_bytes = self.activity.received_bytes() - received_before,
                idle_ms = self.activity.receive_idle_time().as_millis(),
                "no complete message in time"
            );
            return Err(errors::LinkError::TimedOut);
        };
        Ok(frame.ok_or(errors::LinkError::Closed)??)
    }
}
