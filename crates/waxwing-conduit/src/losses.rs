//! Connections whose peer has vanished while data waits for it.
//!
//! A peer may read slowly, or stop for a while with its window closed: it then acknowledges what is
//! sent, and the probes of its window. `TCP_USER_TIMEOUT` closes such a connection too, since it also
//! limits the time for which data waits for a window. `docs/incidents/slow-readers-cut-off.md` has the
//! details.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    net,
    time::{self, Instant},
};

use crate::sockets;

/// Time for which a peer may leave sent data or a probe without an acknowledgement; several
/// retransmissions at a round-trip time of a few milliseconds.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval of the checks of a connection on which data is unacknowledged; less than the kernel's
/// least time before a retransmission.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Tells a peer that is slow from one that is gone by its acknowledgements.
#[derive(Debug, Default)]
pub struct AckLimit {
    /// Since when something that was sent has had no answer.
    unanswered_since: Option<Instant>,
}

impl AckLimit {
    /// Tells whether the peer has acknowledged nothing for too long, by the state of its connection at
    /// `now`.
    pub fn is_exceeded(&mut self, state: &sockets::SendState, now: Instant) -> bool {
        if !state.awaits_ack() {
            self.unanswered_since = None;
            return false;
        }
        let since = match self.unanswered_since {
            Some(since) if now.saturating_duration_since(since) < state.since_ack => since,
            _ => now,
        };
        self.unanswered_since = Some(since);
        now.saturating_duration_since(since) >= ACK_TIMEOUT
    }
}

/// Watches a connection while written data is unacknowledged.
#[derive(Debug, Default)]
pub struct LossWatch {
    /// Runs until the next check.
    timer: Option<Pin<Box<time::Sleep>>>,
    limit: AckLimit,
}

impl LossWatch {
    /// Returns an error once the peer of a connection has vanished. `has_written` tells whether data
    /// was just written.
    pub fn poll_lost(
        &mut self,
        context: &mut Context<'_>,
        stream: &net::TcpStream,
        has_written: bool,
    ) -> Poll<io::Error> {
        if has_written && self.timer.is_none() {
            self.timer = Some(Box::pin(time::sleep(CHECK_INTERVAL)));
        }
        while let Some(timer) = &mut self.timer {
            ready!(timer.as_mut().poll(context));
            let now = Instant::now();
            let state = match sockets::send_state(stream) {
                Ok(state) => state,
                Err(error) => return Poll::Ready(error),
            };
            if self.limit.is_exceeded(&state, now) {
                return Poll::Ready(io::ErrorKind::TimedOut.into());
            }
            if state.is_acknowledged() {
                self.timer = None;
            } else {
                timer.as_mut().reset(now + CHECK_INTERVAL);
            }
        }
        Poll::Pending
    }
}
