//! TCP socket options. A connection whose peer is unreachable reports no error by itself, so it
//! must be detected within a fraction of the time that a request has.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net;

/// Time for which sent data may stay unacknowledged before a connection is closed; five
/// retransmissions at a round-trip time of a few milliseconds.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Idle time before the first keepalive probe of a connection on which an answer is awaited.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Unsent bytes of a request that the kernel may hold. While an endpoint doesn't read, the rest waits in
/// this process, which can then tell that the endpoint hasn't taken the request.
const UNSENT_BYTES: u32 = 16 * 1024;

/// Limits the unsent bytes that the kernel holds for a connection to an endpoint. Bytes on their way
/// aren't limited. A failure is only logged.
pub(crate) fn limit_unsent(stream: &net::TcpStream) {
    let limited = SockRef::from(stream).set_tcp_notsent_lowat(UNSENT_BYTES);
    if let Err(error) = limited {
        tracing::debug!(%error, "failed to limit unsent bytes");
    }
}

/// Sets the TCP options of a connection to an endpoint or a caller. A failure is only logged.
pub(crate) fn prepare(stream: &net::TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let configured = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = configured {
        tracing::debug!(%error, "failed to set socket options");
    }
}
