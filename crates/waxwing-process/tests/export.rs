//! Tests of the export of counters to a statsd collector.

use std::net::UdpSocket;

use tokio_util::sync::CancellationToken;
use waxwing_core::{clock, counters};
use waxwing_process::export;

/// Guards against the loss of the counts since the last export when a process stops.
#[tokio::test]
async fn remaining_counts_are_sent_at_shutdown() {
    let collector = UdpSocket::bind("127.0.0.1:0").expect("a loopback socket");
    let target = collector.local_addr().expect("an address");
    let counters = counters::CounterSet::new();
    let stop = CancellationToken::new();
    export::start(
        counters.clone(),
        Some(target),
        "entry",
        clock::SystemClock,
        stop.clone(),
    )
    .expect("the export starts");
    counters.add(counters::CounterEvent::Dispatches, 2);
    stop.cancel();
    let mut buffer = [0; 256];
    let received = tokio::task::spawn_blocking(move || {
        let length = collector.recv(&mut buffer).expect("a datagram");
        String::from_utf8_lossy(&buffer[..length]).into_owned()
    });
    assert_eq!(
        received.await.expect("a task"),
        "waxwing.entry.dispatches:2|c"
    );
}
