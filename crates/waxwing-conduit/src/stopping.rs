//! Which requests a stopping entry may still start.

use std::time::Duration;

/// Time after the stop signal up to which generations are started. It covers callers that the load
/// balancer sends before it has noticed the stop. Later ones can be served elsewhere, and an answer
/// that takes longer than expected would be cut off at the end of the grace period.
const GENERATION_START_LIMIT: Duration = Duration::from_millis(2_500);

/// Safety factor on the expected run time of a request when it is compared with the time left; the
/// expected answer length is only a median.
const RUN_TIME_FACTOR: u32 = 3;

/// How long before the end of the grace period all requests must have ended.
pub const STOP_MARGIN: Duration = Duration::from_millis(1_000);

/// Tells whether a request may start `elapsed` after the stop signal, in a process that is killed
/// `grace` after that signal. `generation` marks text generations, which have a start limit.
#[must_use]
pub fn may_start(
    elapsed: Duration,
    grace: Duration,
    generation: bool,
    expected_run_time: Duration,
) -> bool {
    let late = generation && elapsed > GENERATION_START_LIMIT;
    !late && elapsed + expected_run_time * RUN_TIME_FACTOR <= grace.saturating_sub(STOP_MARGIN)
}
