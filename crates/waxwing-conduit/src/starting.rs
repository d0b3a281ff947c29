//! How long requests wait at an entry that has just started, until a control host has confirmed
//! which deployment is current.

use std::time::Duration;

/// Share of the caller's time for which a request waits. A refused caller would be asked to come
/// back after about as long, and callers come back only once or twice.
const WAIT_SHARE: f64 = 0.33;

/// Longest wait of a request whose caller states no deadline.
const DEFAULT_WAIT: Duration = Duration::from_secs(1);

/// Time after the start of the process from which it serves with a deployment that nobody has
/// confirmed. It covers two elections of control hosts that started at the same time; a process that
/// has no confirmation by then can't reach a quorum, and may not for long.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of requests that wait at a time. Each takes about 20 KB with its connection.
pub const MAX_WAITING_REQUESTS: usize = 2_000;

/// Returns how long a request waits for the confirmation. `age` is the time since the start of the
/// process, `caller_time` the time that the caller waits for its answer.
#[must_use]
pub fn confirmation_wait(
    age: Duration,
    has_deployment: bool,
    caller_time: Option<Duration>,
) -> Duration {
    let wait = caller_time.map_or(DEFAULT_WAIT, |time| time.mul_f64(WAIT_SHARE));
    match has_deployment {
        true => wait.min(CONFIRMATION_TIMEOUT.saturating_sub(age)),
        false => wait,
    }
}
