//! Which requests a stopping entry still starts.

use std::time::Duration;

use test_case::test_case;
use waxwing_conduit::stopping;

const GRACE: Duration = Duration::from_secs(8);

/// The fourth case guards against a stream that starts 4 s after the stop signal, takes longer than
/// expected and is cut off at the end of the grace period.
#[test_case(500, true, 1_000, true; "a generation right after the stop signal")]
#[test_case(2_400, true, 1_000, true; "a generation before the load balancer has noticed")]
#[test_case(2_400, true, 2_500, false; "a generation that may take too long")]
#[test_case(4_000, true, 100, false; "a short generation after the start limit")]
#[test_case(6_000, false, 40, true; "a plain call shortly before the drain deadline")]
#[test_case(6_950, false, 40, false; "a plain call too close to the drain deadline")]
fn requests_that_may_be_cut_off_by_the_stop_are_not_started(
    elapsed: u64,
    generation: bool,
    expected_run_time: u64,
    expected: bool,
) {
    let (elapsed, expected_run_time) = (
        Duration::from_millis(elapsed),
        Duration::from_millis(expected_run_time),
    );
    let started = stopping::may_start(elapsed, GRACE, generation, expected_run_time);
    assert_eq!(started, expected);
}
