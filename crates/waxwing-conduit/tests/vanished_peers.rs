//! Connections whose peer vanishes, reads slowly or doesn't read, over loopback. A peer vanishes by a
//! filter on its socket that drops all that arrives, so that its kernel acknowledges nothing.

use std::{io, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net, time,
};
use waxwing_conduit::{losses, sockets, stalls, uploads};

/// Time within which a vanished peer must be detected.
const DETECTION_LIMIT: Duration = Duration::from_millis(2_500);

/// Size of a small receive buffer in bytes.
const SMALL_BUFFER: u32 = 4_096;

/// The classic BPF instruction that returns a constant, here the number of bytes that are let through.
const BPF_RETURN: u16 = 0x06;

/// Opens a connection; returns the prepared side, whose kernel holds at most `unsent_bytes`, and the
/// peer's, which has a small receive buffer.
async fn connect(unsent_bytes: u32) -> (net::TcpStream, net::TcpStream) {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = net::TcpSocket::new_v4().unwrap();
    peer.set_recv_buffer_size(SMALL_BUFFER).unwrap();
    let address = listener.local_addr().unwrap();
    let (peer, accepted) = tokio::join!(peer.connect(address), listener.accept());
    let (stream, _) = accepted.unwrap();
    sockets::prepare(&stream, unsent_bytes);
    (stream, peer.unwrap())
}

/// Has the peer's kernel drop all that arrives from now on.
fn vanish(peer: &net::TcpStream) {
    let filter = socket2::SockFilter::new(BPF_RETURN, 0, 0, 0);
    socket2::SockRef::from(peer)
        .attach_filter(&[filter])
        .unwrap();
}

fn caller_stream(stream: net::TcpStream) -> stalls::CallerStream {
    let address = stream.peer_addr().unwrap();
    stalls::CallerStream::new(stream, address)
}

/// Guards against a vanished caller that holds its connection, since its whole answer is in the kernel
/// and no byte of it is acknowledged.
#[tokio::test]
async fn caller_that_vanishes_with_unacknowledged_bytes_is_detected() {
    let (stream, peer) = connect(sockets::UNSENT_ANSWER_BYTES).await;
    let mut stream = caller_stream(stream);
    vanish(&peer);
    stream.write_all(b"an answer").await.unwrap();
    let ended = time::timeout(DETECTION_LIMIT, stream.read_u8()).await;
    let error = ended.expect("the caller was not detected").unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
}

/// Guards against a vanished peer that holds its connection, since nothing is on its way to it.
#[tokio::test]
async fn idle_peer_that_vanishes_is_detected() {
    let (stream, peer) = connect(sockets::UNSENT_ANSWER_BYTES).await;
    let mut stream = caller_stream(stream);
    vanish(&peer);
    let ended = time::timeout(DETECTION_LIMIT, stream.read_u8()).await;
    let error = ended.expect("the peer was not detected").unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
}

/// Guards against a vanished endpoint that holds its request, since its window was closed before.
#[tokio::test]
async fn endpoint_that_vanishes_with_a_closed_window_is_detected() {
    let (stream, peer) = connect(sockets::UNSENT_REQUEST_BYTES).await;
    let mut stream = uploads::EndpointStream::new(stream);
    let writing = tokio::spawn(async move {
        let request = vec![0; 16 << 20];
        stream.write_all(&request).await
    });
    time::sleep(Duration::from_millis(300)).await;
    vanish(&peer);
    let ended = time::timeout(DETECTION_LIMIT, writing).await;
    let error = ended.expect("the endpoint was not detected").unwrap();
    assert_eq!(error.unwrap_err().kind(), io::ErrorKind::TimedOut);
}

/// Guards against a sound endpoint that counts as vanished, since it doesn't read for seconds.
#[tokio::test]
async fn endpoint_that_pauses_with_a_closed_window_is_kept() {
    let (stream, mut peer) = connect(sockets::UNSENT_REQUEST_BYTES).await;
    let mut stream = uploads::EndpointStream::new(stream);
    let request = vec![7; 16 << 20];
    let writing = async {
        stream.write_all(&request).await.unwrap();
    };
    let reading = async {
        let mut received = vec![0; 16 << 20];
        for part in [1_000, 3_000, 20_000] {
            time::sleep(Duration::from_secs(2)).await;
            peer.read_exact(&mut received[..part]).await.unwrap();
        }
        let rest = received.len() - 24_000;
        peer.read_exact(&mut received[..rest]).await.unwrap();
    };
    tokio::join!(writing, reading);
}

/// Guards against a caller that counts as vanished, since it reads rarely and its answer is in the
/// kernel.
#[tokio::test]
async fn caller_that_pauses_gets_its_answer() {
    let (stream, mut peer) = connect(sockets::UNSENT_ANSWER_BYTES).await;
    let mut stream = caller_stream(stream);
    let answer = vec![7; 40_000];
    stream.write_all(&answer).await.unwrap();
    let watching = tokio::spawn(async move { stream.read_u8().await });
    time::sleep(Duration::from_secs(4)).await;
    let mut received = vec![0; answer.len()];
    peer.read_exact(&mut received).await.unwrap();
    assert_eq!(received, answer);
    assert!(!watching.is_finished());
}

/// The state of a connection on which nothing is on its way.
const SETTLED: sockets::SendState = sockets::SendState {
    unacked_segments: 0,
    unsent_bytes: 0,
    acked_bytes: 0,
    unanswered_probes: 0,
    since_sent: Duration::from_secs(60),
    since_ack: Duration::from_secs(60),
};

/// Guards against a peer that counts as vanished as soon as a probe of its window is sent, since the
/// probe before was long ago; and against one that never does.
#[test]
fn peer_has_time_to_answer_each_probe() {
    let start = time::Instant::now();
    let mut limit = losses::AckLimit::default();
    let probed = sockets::SendState {
        unsent_bytes: 9_000,
        unanswered_probes: 1,
        ..SETTLED
    };
    assert!(!limit.is_exceeded(&probed, start));
    assert!(!limit.is_exceeded(&probed, start + Duration::from_millis(800)));
    let answered = sockets::SendState {
        unanswered_probes: 0,
        since_ack: Duration::from_millis(100),
        ..probed
    };
    assert!(!limit.is_exceeded(&answered, start + Duration::from_secs(1)));
    let next = start + Duration::from_secs(20);
    assert!(!limit.is_exceeded(&probed, next));
    assert!(limit.is_exceeded(&probed, next + Duration::from_millis(1_300)));
}

/// Guards against a peer that counts as vanished though it acknowledges, since segments are on their
/// way at each check.
#[test]
fn peer_that_acknowledges_is_kept() {
    let start = time::Instant::now();
    let mut limit = losses::AckLimit::default();
    let busy = sockets::SendState {
        unacked_segments: 3,
        since_sent: Duration::ZERO,
        since_ack: Duration::from_millis(40),
        ..SETTLED
    };
    for check in 0..100 {
        assert!(!limit.is_exceeded(&busy, start + Duration::from_millis(200) * check));
    }
}
