//! Links: framed connections with an introduction, heartbeats and detection of silence.
//!
//! A link that has gone silent is found within [`LinkOptions::silence_limit`] and never by the
//! kernel's timeout, since something between the two ends may have lost track of the connection
//! while new connections work; see `docs/design.md`, section 5.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::{SinkExt as _, StreamExt as _};
use rustls::pki_types;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net,
    sync::mpsc,
};
use tokio_util::{codec, sync::CancellationToken};
use waxwing_core::{clock::Clock, counters};

use crate::{errors, framing, messages, security};

/// `LinkOptions` hold the timing and limits of a link.
#[derive(Debug, Clone)]
pub struct LinkOptions {
    /// Time between heartbeats on an idle link; 500 ms.
    pub heartbeat_interval: Duration,
    /// Silence after which a link counts as lost; 2.5 s, five heartbeats.
    pub silence_limit: Duration,
    /// Time allowed for connecting and introduction; 2 s.
    pub connect_limit: Duration,
    /// Messages that may wait to be sent; 1,024.
    pub queue_length: usize,
    /// Counts the bytes of control messages of the process; a set of its own.
    pub counters: counters::CounterSet,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            silence_limit: Duration::from_millis(2_500),
            connect_limit: Duration::from_secs(2),
            queue_length: 1_024,
            counters: counters::CounterSet::new(),
        }
    }
}

impl LinkOptions {
    /// Returns the defaults with the counters of a process.
    #[must_use]
    pub fn counted(counters: &counters::CounterSet) -> Self {
        Self {
            counters: counters.clone(),
            ..Self::default()
        }
    }
}

/// A `LinkSender` is the sending half of a link; clones share one queue.
#[derive(Debug, Clone)]
pub struct LinkSender {
    queue: mpsc::Sender<Bytes>,
    ended: CancellationToken,
    settings_version: Arc<AtomicU64>,
    counters: counters::CounterSet,
}

impl LinkSender {
    /// Queues a message and waits for room in the queue.
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

    /// Queues a message if there is room.
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

    /// Ends the link in both directions.
    pub fn close(&self) {
        self.ended.cancel();
    }

    /// Tells whether the link has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Waits until the link has ended.
    pub async fn closed(&self) {
        self.ended.cancelled().await;
    }
}

/// A `LinkReceiver` is the receiving half of a link.
#[derive(Debug)]
pub struct LinkReceiver {
    queue: mpsc::Receiver<Result<messages::Envelope, errors::LinkError>>,
}

impl LinkReceiver {
    /// Waits for the next message; heartbeats are passed on, since they carry a version.
    ///
    /// # Errors
    /// Fails once, with the reason, when the link has ended, and with `Closed` from then on.
    pub async fn recv(&mut self) -> Result<messages::Envelope, errors::LinkError> {
        self.queue
            .recv()
            .await
            .unwrap_or(Err(errors::LinkError::Closed))
    }
}

/// A `Link` is an open connection to another process.
#[derive(Debug)]
pub struct Link {
    /// The introduction of the peer.
    pub peer: messages::Hello,
    /// The address of the peer.
    pub address: SocketAddr,
    /// The sending half.
    pub sender: LinkSender,
    /// The receiving half.
    pub receiver: LinkReceiver,
}

/// A `LinkListener` accepts links.
#[derive(Debug)]
pub struct LinkListener<C> {
    listener: net::TcpListener,
    hello: messages::Hello,
    options: LinkOptions,
    security: security::LinkSecurity,
    clock: C,
}

impl<C: Clock> LinkListener<C> {
    /// Opens the socket.
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
    /// Fails if the operating system doesn't tell it.
    pub fn local_addr(&self) -> Result<SocketAddr, errors::LinkError> {
        Ok(self.listener.local_addr()?)
    }

    /// Waits for a connection; the introduction goes on in [`PendingLink::open`], so that a slow
    /// peer doesn't hold back others.
    ///
    /// # Errors
    /// Fails if the operating system can't accept; the caller pauses and goes on.
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

/// A `PendingLink` is an accepted connection whose peer has not introduced itself.
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
    /// Exchanges introductions and starts the tasks of the link.
    ///
    /// # Errors
    /// Fails if the peer is too slow, speaks another version or is not authenticated.
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
                introduce(stream, address, hello, options, clock).await
            }
            security::LinkSecurity::Mutual(context) => {
                let acceptor = tokio_rustls::TlsAcceptor::from(context.load().server.clone());
                let limit = options.connect_limit;
                let secured = limited(&clock, limit, acceptor.accept(stream)).await??;
                let shown = secured
                    .get_ref()
                    .1
                    .peer_certificates()
                    .map(copy_certificates);
                let link = introduce(secured, address, hello, options, clock).await?;
                check_peer(shown.as_deref(), link)
            }
        }
    }
}

/// Opens a link to `address`.
///
/// # Errors
/// Fails if the peer can't be reached in time, speaks another version or is not authenticated.
pub async fn connect<C: Clock>(
    address: SocketAddr,
    hello: messages::Hello,
    options: LinkOptions,
    security: security::LinkSecurity,
    clock: C,
) -> Result<Link, errors::LinkError> {
    let limit = options.connect_limit;
    let stream = limited(&clock, limit, net::TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    match security {
        security::LinkSecurity::Plain => introduce(stream, address, hello, options, clock).await,
        security::LinkSecurity::Mutual(context) => {
            let connector = tokio_rustls::TlsConnector::from(context.load().client.clone());
            let name = pki_types::ServerName::try_from(security::FLEET_NAME)
                .map_err(|_| errors::LinkError::Introduction)?;
            let secured = limited(&clock, limit, connector.connect(name, stream)).await??;
            let shown = secured
                .get_ref()
                .1
                .peer_certificates()
                .map(copy_certificates);
            let link = introduce(secured, address, hello, options, clock).await?;
            check_peer(shown.as_deref(), link)
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

/// Ends a link whose peer introduced itself under a name that its certificate doesn't carry.
fn check_peer(
    certificates: Option<&[pki_types::CertificateDer<'_>]>,
    link: Link,
) -> Result<Link, errors::LinkError> {
    match security::check_introduction(certificates, &link.peer) {
        Ok(()) => Ok(link),
        Err(error) => {
            link.sender.close();
            Err(error.into())
        }
    }
}

async fn limited<C: Clock, F: Future>(
    clock: &C,
    limit: Duration,
    work: F,
) -> Result<F::Output, errors::LinkError> {
    tokio::select! {
        output = work => Ok(output),
        () = clock.sleep(limit) => Err(errors::LinkError::Silent),
    }
}

type Frames<S> = codec::Framed<S, codec::LengthDelimitedCodec>;

async fn introduce<S, C>(
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
    let mut frames = codec::Framed::new(stream, framing::codec());
    let limit = options.connect_limit;
    let peer = limited(&clock, limit, exchange_hello(&mut frames, hello)).await??;
    let (out_sender, out_receiver) = mpsc::channel(options.queue_length);
    let (in_sender, in_receiver) = mpsc::channel(options.queue_length);
    let ended = CancellationToken::new();
    let settings_version = Arc::new(AtomicU64::new(0));
    let (sink, source) = frames.split();
    let writer = LinkWriter {
        sink,
        queue: out_receiver,
        interval: options.heartbeat_interval,
        limit: options.silence_limit,
        settings_version: settings_version.clone(),
        counters: options.counters.clone(),
        ended: ended.clone(),
        clock: clock.clone(),
    };
    let reader = LinkReader {
        source,
        queue: in_sender,
        limit: options.silence_limit,
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

async fn exchange_hello<S: AsyncRead + AsyncWrite + Unpin>(
    frames: &mut Frames<S>,
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
        _ => Err(errors::LinkError::Introduction),
    }
}

/// A `LinkWriter` is the task that sends queued messages, and heartbeats between them.
struct LinkWriter<S, C> {
    sink: futures_util::stream::SplitSink<Frames<S>, Bytes>,
    queue: mpsc::Receiver<Bytes>,
    interval: Duration,
    limit: Duration,
    settings_version: Arc<AtomicU64>,
    counters: counters::CounterSet,
    ended: CancellationToken,
    clock: C,
}

impl<S: AsyncRead + AsyncWrite + Unpin, C: Clock> LinkWriter<S, C> {
    async fn run(mut self) {
        while let Some(frame) = self.next_frame().await {
            // A peer that stops reading must not hold the writer for ever.
            let ended = self.ended.clone();
            let limit = self.limit;
            let clock = self.clock.clone();
            let sent = tokio::select! {
                () = ended.cancelled() => false,
                sent = limited(&clock, limit, self.write(frame)) => matches!(sent, Ok(Ok(()))),
            };
            if !sent {
                break;
            }
        }
        self.ended.cancel();
    }

    /// Writes a frame together with all that is queued behind it, so that they share a packet.
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
                let beat = messages::Heartbeat { settings_version };
                let frame = framing::encode(0, messages::Body::Heartbeat(beat)).ok()?;
                let event = counters::CounterEvent::ControlBytesSent;
                self.counters.add(event, framing::wire_bytes(frame.len()));
                Some(frame)
            }
        }
    }
}

/// A `LinkReader` is the task that receives messages and notices silence.
struct LinkReader<S, C> {
    source: futures_util::stream::SplitStream<Frames<S>>,
    queue: mpsc::Sender<Result<messages::Envelope, errors::LinkError>>,
    limit: Duration,
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
        let frame = limited(&self.clock, self.limit, self.source.next()).await?;
        let frame = frame.ok_or(errors::LinkError::Closed)??;
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
}
