//! TCP socket options, and what the kernel knows of a connection. A connection whose peer is
//! unreachable reports no error by itself, so it must be detected within a fraction of the time that
//! a request has.

use std::{io, time::Duration};

use nix::{getsockopt_impl, sockopt_impl, sys::socket::GetSockOpt as _};
use socket2::{SockRef, TcpKeepalive};
use tokio::net;

/// Idle time before the first keepalive probe of a connection on which an answer is awaited.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 1;

/// Unsent bytes of a request that the kernel may hold. While an endpoint doesn't read, the rest waits in
/// this process, which can then tell that the endpoint hasn't taken the request.
pub const UNSENT_REQUEST_BYTES: u32 = 16 * 1024;

/// Unsent bytes of an answer that the kernel may hold; more than a slow caller reads before its
/// deadline. The rest waits in this process, which limits the memory for all callers together.
pub const UNSENT_ANSWER_BYTES: u32 = 64 * 1024;

/// Sets the TCP options of a connection to an endpoint or a caller, and limits the unsent bytes that
/// the kernel holds for it to `unsent_bytes`. Bytes on their way aren't limited. A failure is only
/// logged.
pub fn prepare(stream: &net::TcpStream, unsent_bytes: u32) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let configured = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_notsent_lowat(unsent_bytes));
    if let Err(error) = configured {
        tracing::debug!(%error, "failed to set socket options");
    }
}

/// The first fields of the kernel's `struct tcp_info` (`linux/tcp.h`), up to the last one that is read.
#[repr(C)]
#[derive(Debug, Clone, Copy)]
pub struct ConnectionInfo {
    _states: [u8; 3],
    probes: u8,
    _options: [u8; 4],
    _segment_sizes: [u32; 4],
    unacked: u32,
    _losses: [u32; 4],
    last_data_sent: u32,
    _last_ack_sent: u32,
    _last_data_received: u32,
    last_ack_received: u32,
    _estimates: [u32; 11],
    _pacing_rates: [u64; 2],
    bytes_acked: u64,
    _bytes_received: u64,
    _segments: [u32; 2],
    notsent_bytes: u32,
    _min_rtt: u32,
}

sockopt_impl!(
    /// The kernel's state of a TCP connection.
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    ConnectionInfo
);

/// What became of the bytes that were written to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendState {
    /// Segments on their way that the peer has not acknowledged.
    pub unacked_segments: u32,
    /// Bytes that the kernel has not sent yet.
    pub unsent_bytes: u32,
    /// Bytes that the peer has acknowledged since the connection was opened.
    pub acked_bytes: u64,
    /// Probes of a closed window since the last acknowledgement.
    pub unanswered_probes: u8,
    /// Time since data was last sent or retransmitted.
    pub since_sent: Duration,
    /// Time since the last acknowledgement, also of a probe.
    pub since_ack: Duration,
}

impl SendState {
    /// Tells whether the peer has acknowledged every byte.
    #[must_use]
    pub const fn is_acknowledged(&self) -> bool {
        self.unacked_segments == 0 && self.unsent_bytes == 0
    }

    /// Tells whether something was sent that the peer should have answered with an acknowledgement.
    #[must_use]
    pub fn awaits_ack(&self) -> bool {
        self.unanswered_probes > 0
            || (self.unacked_segments > 0 && self.since_sent < self.since_ack)
    }
}

/// Returns what became of the bytes that were written to a connection.
///
/// # Errors
/// Fails if the kernel doesn't tell.
pub fn send_state(stream: &net::TcpStream) -> io::Result<SendState> {
    let info = TcpInfo.get(stream)?;
    Ok(SendState {
        unacked_segments: info.unacked,
        unsent_bytes: info.notsent_bytes,
        acked_bytes: info.bytes_acked,
        unanswered_probes: info.probes,
        since_sent: Duration::from_millis(info.last_data_sent.into()),
        since_ack: Duration::from_millis(info.last_ack_received.into()),
    })
}
