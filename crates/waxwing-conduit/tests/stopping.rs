//! What an entry that is about to end still starts.

use std::time::Duration;

use test_case::test_case;
use waxwing_conduit::stopping;

const GRACE: Duration = Duration::from_secs(8);

/// The fourth case guards against a stream that was taken 4 s after the signal, lasted longer than
/// expected and was cut off at the end of the grace (found by a hunted day of our own).
#[test_case(500, true, 1_000, true; "a generation at once")]
#[test_case(2_400, true, 1_000, true; "a generation before the balancer has noticed")]
#[test_case(2_400, true, 2_500, false; "a generation that may last too long")]
#[test_case(4_000, true, 100, false; "a short generation after that")]
#[test_case(6_000, false, 40, true; "a plain call near the end")]
#[test_case(6_950, false, 40, false; "a plain call at the end")]
fn only_what_can_end_is_started(elapsed: u64, generation: bool, run: u64, expected: bool) {
    let (elapsed, run) = (Duration::from_millis(elapsed), Duration::from_millis(run));
    let started = stopping::may_start(elapsed, GRACE, generation, run);
    assert_eq!(started, expected);
}
