//! Tests of links over loopback sockets. The unresponsive peer completes the handshake and then
//! neither sends nor closes. Tests of timeouts use tokio's paused clock, so that they take no real
//! time.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net,
};
use waxwing_core::clock;
use waxwing_wire::{errors, links, messages, security};

fn hello(kind: messages::ProcessKind, name: &str) -> messages::Hello {
    messages::Hello {
        kind: kind.into(),
        name: name.into(),
        incarnation: 1,
        data_centre: "dc-1".into(),
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn listener(security: security::LinkSecurity) -> links::LinkListener<clock::SystemClock> {
    links::LinkListener::bind(
        loopback(),
        hello(messages::ProcessKind::Agent, "agent-1"),
        links::LinkOptions::default(),
        security,
        clock::SystemClock,
    )
    .await
    .expect("loopback binds")
}

async fn connect(
    address: SocketAddr,
    name: &str,
    security: security::LinkSecurity,
) -> Result<links::Link, errors::LinkError> {
    links::connect(
        address,
        hello(messages::ProcessKind::Entry, name),
        links::LinkOptions::default(),
        security,
        clock::SystemClock,
    )
    .await
}

async fn linked_pair(security: security::LinkSecurity) -> (links::Link, links::Link) {
    let listener = listener(security.clone()).await;
    let address = listener.local_addr().expect("address");
    let accepted = tokio::spawn(async move { listener.accept().await?.open().await });
    let opened = connect(address, "entry-1", security)
        .await
        .expect("link opens");
    (
        opened,
        accepted.await.expect("task").expect("link is accepted"),
    )
}

/// Guards against messages that are lost, duplicated or matched to another request.
#[tokio::test]
async fn messages_arrive_in_order_with_their_correlation() {
    let (opened, mut accepted) = linked_pair(security::LinkSecurity::Plain).await;
    assert_eq!(accepted.peer.name, "entry-1");
    for number in 1..=100 {
        let body = messages::Body::WatchSettings(messages::WatchSettings { version: number });
        opened.sender.send(number, body).await.expect("send");
    }
    for number in 1..=100 {
        let envelope = accepted.receiver.recv().await.expect("receive");
        assert_eq!(envelope.correlation, number);
    }
}

/// Guards against a connection that never ends when the peer stops sending without closing it.
#[tokio::test(start_paused = true)]
async fn silent_link_ends_within_the_limit() {
    let listener = net::TcpListener::bind(loopback()).await.expect("bind");
    let address = listener.local_addr().expect("address");
    // The peer completes the handshake and then neither sends nor closes.
    let peer = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let body = messages::Body::Hello(hello(messages::ProcessKind::Agent, "silent"));
        let frame = waxwing_wire::framing::encode(0, body).expect("encode");
        let length = u32::try_from(frame.len()).expect("short");
        stream
            .write_all(&length.to_be_bytes())
            .await
            .expect("write");
        stream.write_all(&frame).await.expect("write");
        std::future::pending::<()>().await;
    });
    let mut link = connect(address, "entry-1", security::LinkSecurity::Plain)
        .await
        .expect("link");
    let start = tokio::time::Instant::now();
    let error = link.receiver.recv().await.expect_err("the link is silent");
    assert!(matches!(error, errors::LinkError::TimedOut), "{error}");
    assert!(
        start.elapsed() <= Duration::from_secs(4),
        "{:?}",
        start.elapsed()
    );
    link.sender.closed().await;
    peer.abort();
}

/// Guards against an idle but healthy link that is taken for a dead one.
#[tokio::test(start_paused = true)]
async fn idle_link_is_kept_by_heartbeats() {
    let (opened, mut accepted) = linked_pair(security::LinkSecurity::Plain).await;
    opened.sender.set_settings_version(7);
    let mut last = 0;
    for _ in 0..20 {
        let envelope = accepted.receiver.recv().await.expect("heartbeat");
        if let Some(messages::Body::Heartbeat(heartbeat)) = envelope.body {
            last = heartbeat.settings_version;
        }
    }
    assert_eq!(last, 7);
    assert!(!opened.sender.is_closed());
}

struct FleetKeys {
    authority: security::CertificateAuthority,
    folder: tempfile::TempDir,
}

impl FleetKeys {
    fn new() -> Self {
        let (authority, _) = security::CertificateAuthority::create().expect("authority");
        Self {
            authority,
            folder: tempfile::tempdir().expect("folder"),
        }
    }

    fn files(&self, kind: messages::ProcessKind, name: &str) -> security::TlsFiles {
        let material = self.authority.issue(kind, name).expect("issue");
        let write = |file: &str, text: &str| {
            let path = self.folder.path().join(format!("{name}-{file}"));
            std::fs::write(&path, text).expect("write");
            path
        };
        security::TlsFiles {
            certificate: write("certificate.pem", &material.certificate_pem),
            key: write("key.pem", &material.key_pem),
            authorities: write("authorities.pem", self.authority.certificate_pem()),
        }
    }

    fn security(&self, kind: messages::ProcessKind, name: &str) -> security::LinkSecurity {
        security::LinkSecurity::from_files(Some(&self.files(kind, name))).expect("keys")
    }
}

async fn try_link(
    server: security::LinkSecurity,
    client: security::LinkSecurity,
    name: &str,
) -> (
    Result<links::Link, errors::LinkError>,
    Result<links::Link, errors::LinkError>,
) {
    let listener = listener(server).await;
    let address = listener.local_addr().expect("address");
    let accepted = tokio::spawn(async move { listener.accept().await?.open().await });
    let opened = connect(address, name, client).await;
    (opened, accepted.await.expect("task"))
}

/// Guards against processes of a fleet that can't connect to each other once TLS is in use.
#[tokio::test]
async fn mutual_tls_links_members_of_one_fleet() {
    let keys = FleetKeys::new();
    let server = keys.security(messages::ProcessKind::Agent, "agent-1");
    let client = keys.security(messages::ProcessKind::Entry, "entry-1");
    let (opened, accepted) = try_link(server, client, "entry-1").await;
    opened.expect("opened");
    accepted.expect("accepted");
}

/// Guards against a stolen key that is used under the name of another process.
#[tokio::test]
async fn hello_must_match_the_certificate() {
    let keys = FleetKeys::new();
    let server = keys.security(messages::ProcessKind::Agent, "agent-1");
    let client = keys.security(messages::ProcessKind::Entry, "entry-1");
    let (_, accepted) = try_link(server, client, "entry-2").await;
    assert!(matches!(accepted, Err(errors::LinkError::Security(_))));
}

/// Guards against a process of another fleet, whose certificate authority is not trusted.
#[tokio::test]
async fn foreign_authority_is_refused() {
    let keys = FleetKeys::new();
    let foreign = FleetKeys::new();
    let server = keys.security(messages::ProcessKind::Agent, "agent-1");
    let client = foreign.security(messages::ProcessKind::Entry, "entry-1");
    let (opened, accepted) = try_link(server, client, "entry-1").await;
    assert!(opened.is_err());
    assert!(accepted.is_err());
}

/// Guards against a key rotation that needs a restart or closes open links.
#[tokio::test]
async fn rotated_keys_serve_new_links_and_keep_old_ones() {
    let old = FleetKeys::new();
    let new = FleetKeys::new();
    let files = old.files(messages::ProcessKind::Agent, "agent-1");
    let server = security::LinkSecurity::from_files(Some(&files)).expect("keys");
    let client = old.security(messages::ProcessKind::Entry, "entry-1");
    let (before, _kept) = try_link(server.clone(), client.clone(), "entry-1").await;
    let before = before.expect("link before the rotation");

    let rotated = new.files(messages::ProcessKind::Agent, "agent-1");
    server.reload(&rotated).expect("reload");

    let new_client = new.security(messages::ProcessKind::Entry, "entry-1");
    let (after, _accepted) = try_link(server.clone(), new_client, "entry-1").await;
    after.expect("link with the new keys");
    let (refused, _) = try_link(server, client, "entry-1").await;
    assert!(refused.is_err(), "the old authority is no longer accepted");
    assert!(!before.sender.is_closed());
}

/// Completes the handshake of an accepted link by hand, so that a test controls each byte after it.
async fn shake_hands(listener: &net::TcpListener) -> net::TcpStream {
    let (mut stream, _) = listener.accept().await.expect("accept");
    let body = messages::Body::Hello(hello(messages::ProcessKind::Control, "control-1"));
    stream.write_all(&frame(body)).await.expect("write");
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.expect("read");
    let length = usize::try_from(u32::from_be_bytes(length)).expect("short");
    stream.read_exact(&mut vec![0; length]).await.expect("read");
    stream
}

/// Returns a message as it is on the wire.
fn frame(body: messages::Body) -> Vec<u8> {
    let envelope = waxwing_wire::framing::encode(0, body).expect("encode");
    let length = u32::try_from(envelope.len()).expect("short");
    [&length.to_be_bytes()[..], &envelope[..]].concat()
}

/// Size of a large message; more than the buffers of two sockets hold.
const LARGE_MESSAGE_BYTES: usize = 15 * 1024 * 1024;

fn large_message() -> messages::Body {
    messages::Body::Quorum(messages::Quorum {
        group: 0,
        payload: vec![b'x'; LARGE_MESSAGE_BYTES].into(),
    })
}

/// Pieces of a slow transfer, each a second apart, so that the whole takes four idle timeouts.
const TRANSFER_PIECES: usize = 10;

/// Guards against a link that is taken for dead while a large message arrives over a slow network:
/// the grown document incident, in which no entry ever received the document.
#[tokio::test(start_paused = true)]
async fn link_outlives_a_message_that_arrives_slowly() {
    let listener = net::TcpListener::bind(loopback()).await.expect("bind");
    let address = listener.local_addr().expect("address");
    let peer = tokio::spawn(async move {
        let mut stream = shake_hands(&listener).await;
        let bytes = frame(large_message());
        for piece in bytes.chunks(bytes.len().div_ceil(TRANSFER_PIECES)) {
            tokio::time::sleep(Duration::from_secs(1)).await;
            stream.write_all(piece).await.expect("write");
        }
        std::future::pending::<()>().await;
    });
    let mut link = connect(address, "entry-1", security::LinkSecurity::Plain)
        .await
        .expect("link");
    let envelope = link.receiver.recv().await.expect("the message arrives");
    assert_eq!(envelope.body, Some(large_message()));
    peer.abort();
}

/// Guards against a link that is closed while its peer reads a large message over a slow network.
#[tokio::test(start_paused = true)]
async fn link_outlives_a_message_that_is_read_slowly() {
    let listener = net::TcpListener::bind(loopback()).await.expect("bind");
    let address = listener.local_addr().expect("address");
    let expected = frame(large_message());
    let peer = tokio::spawn(async move {
        let mut stream = shake_hands(&listener).await;
        let heartbeat = frame(messages::Body::Heartbeat(messages::Heartbeat::default()));
        let mut received = vec![0; expected.len()];
        for piece in received.chunks_mut(expected.len().div_ceil(TRANSFER_PIECES)) {
            tokio::time::sleep(Duration::from_secs(1)).await;
            stream.write_all(&heartbeat).await.expect("write");
            stream.read_exact(piece).await.expect("read");
        }
        (received, expected)
    });
    let link = connect(address, "entry-1", security::LinkSecurity::Plain)
        .await
        .expect("link");
    link.sender.send(0, large_message()).await.expect("send");
    let (received, expected) = peer.await.expect("the peer reads the message");
    assert!(received == expected, "the message was changed on its way");
}

/// Guards against a link that lives on although its peer has stopped reading.
#[tokio::test(start_paused = true)]
async fn link_ends_when_its_peer_stops_reading() {
    let listener = net::TcpListener::bind(loopback()).await.expect("bind");
    let address = listener.local_addr().expect("address");
    let peer = tokio::spawn(async move {
        let mut stream = shake_hands(&listener).await;
        let heartbeat = frame(messages::Body::Heartbeat(messages::Heartbeat::default()));
        while stream.write_all(&heartbeat).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    });
    let link = connect(address, "entry-1", security::LinkSecurity::Plain)
        .await
        .expect("link");
    let start = tokio::time::Instant::now();
    // The buffers of the sockets hold a part of what is sent.
    for _ in 0..3 {
        link.sender.send(0, large_message()).await.expect("send");
    }
    link.sender.closed().await;
    assert!(
        start.elapsed() <= Duration::from_secs(4),
        "{:?}",
        start.elapsed()
    );
    peer.abort();
}
