//! How long requests wait at an entry that has just started, until a control host has confirmed
//! which deployment is current.

use std::time::Duration;

/// Share of the caller's time for which a request waits. A refused caller would be asked to come
/// back after about as long, and callers come back only once or twice.
const WAIT_SHARE: f64 = 0.33;

/// Longest wait of a request whose caller states no deadline.
const DEFAULT_WAIT: Duration = Duration::from_secs(1);

/// Number of requests that wait at a time. Each takes about 20 KB with its connection.
pub const MAX_WAITING_REQUESTS: usize = 2_000;

/// Returns how long a request waits for the confirmation; `caller_time` is the time that the caller
/// waits for its answer. A deployment that nobody has confirmed may have been replaced before the
/// start of the process, so a request that gets no confirmation is refused.
#[must_use]
pub fn confirmation_wait(caller_time: Option<Duration>) -> Duration {
    caller_time.map_or(DEFAULT_WAIT, |time| time.mul_f64(WAIT_SHARE))
}
