//! What an entry that is about to end may still start.

use std::time::Duration;

/// Time after the signal to stop up to which generations are started. Callers whom the balancer
/// sends until it has noticed are served; an answer that lasts longer than expected would be cut
/// off at the end of the grace, and a later one could have been had elsewhere.
const GENERATION_LIMIT: Duration = Duration::from_millis(2_500);

/// Times its expected run by which a request must be able to end before the process does; the
/// expected length of an answer is right at the median only.
const RUN_FACTOR: u32 = 3;

/// Time before the end of the grace at which runs must have ended.
pub const STOP_MARGIN: Duration = Duration::from_millis(1_000);

/// Tells whether a request may start `elapsed` after the signal to stop, in a process that is
/// killed after `grace`.
#[must_use]
pub fn may_start(elapsed: Duration, grace: Duration, generation: bool, run: Duration) -> bool {
    let late = generation && elapsed > GENERATION_LIMIT;
    !late && elapsed + run * RUN_FACTOR <= grace.saturating_sub(STOP_MARGIN)
}
