//! Socket options: connections that have gone silent must be found within a fraction of a
//! request's time, since they give no error by themselves.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net;

/// Time for which bytes may stay unacknowledged before a connection counts as lost; five
/// retransmissions on a link with a few milliseconds of delay.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_200);

/// Idle time before the first probe of a connection on which an answer is awaited.
const PROBE_IDLE: Duration = Duration::from_secs(1);

/// Time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection counts as lost.
const PROBE_COUNT: u32 = 2;

/// Sets the options of a connection to an endpoint or a caller.
pub(crate) fn prepare(stream: &net::TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_IDLE)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&probes))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT)));
    if let Err(error) = set {
        tracing::debug!(%error, "socket options are not in force");
    }
}
