//! Which requests a stopping entry may still start.

use std::time::Duration;

/// Time after the stop signal up to which requests are started by their expected run time. It covers
/// callers that the load balancer sends before it has noticed the stop. Later ones can be served
/// elsewhere, and an answer that takes longer than expected would be cut off at the end of the grace
/// period.
const ESTIMATED_START_LIMIT: Duration = Duration::from_millis(2_500);

/// Safety factor on the expected run time of a request when it is compared with the time left; the
/// expected answer length is only a median.
const RUN_TIME_FACTOR: u32 = 3;

/// How long before the end of the grace period all requests must have ended.
pub const STOP_MARGIN: Duration = Duration::from_millis(1_000);

/// What is known of a request when it is about to start in a stopping process.
#[derive(Debug, Clone, Copy)]
pub struct StartingRequest {
    /// Expected run time at an endpoint.
    pub expected_run_time: Duration,
    /// Time until its deadline, at which it is answered in any case.
    pub time_limit: Duration,
}

/// Tells whether a request may start `elapsed` after the stop signal, in a process that is killed
/// `grace` after that signal. Late requests start only if their deadline ends them in time.
#[must_use]
pub fn may_start(elapsed: Duration, grace: Duration, request: StartingRequest) -> bool {
    let remaining = grace.saturating_sub(STOP_MARGIN).saturating_sub(elapsed);
    let expected_end = request.expected_run_time.saturating_mul(RUN_TIME_FACTOR);
    let is_expected_in_time = elapsed <= ESTIMATED_START_LIMIT && expected_end <= remaining;
    is_expected_in_time || request.time_limit <= remaining
}
