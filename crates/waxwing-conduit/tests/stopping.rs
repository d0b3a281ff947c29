//! Which requests a stopping entry still starts.

use std::time::Duration;

use test_case::test_case;
use waxwing_conduit::stopping;

const GRACE: Duration = Duration::from_secs(8);

/// The fourth case guards against a stream that starts 4 s after the stop signal, takes longer than
/// expected and is cut off at the end of the grace period. The seventh one guards against a call
/// that is started late because calls are short, meets a slow endpoint and is cut off without an
/// answer.
#[test_case(500, 1_000, 12_000, true; "a generation right after the stop signal")]
#[test_case(2_400, 1_000, 12_000, true; "a generation before the load balancer has noticed")]
#[test_case(2_400, 2_500, 12_000, false; "a generation that may take too long")]
#[test_case(4_000, 100, 12_000, false; "a short generation after the start limit")]
#[test_case(6_000, 40, 1_000, true; "a plain call whose deadline is the drain deadline")]
#[test_case(6_950, 40, 1_000, false; "a plain call too close to the drain deadline")]
#[test_case(6_000, 40, 1_500, false; "a short plain call that may last beyond the drain deadline")]
#[test_case(2_400, 40, 1_500, true; "a plain call before the load balancer has noticed")]
fn requests_that_may_be_cut_off_by_the_stop_are_not_started(
    elapsed: u64,
    expected_run_time: u64,
    time_limit: u64,
    expected: bool,
) {
    let request = stopping::StartingRequest {
        expected_run_time: Duration::from_millis(expected_run_time),
        time_limit: Duration::from_millis(time_limit),
    };
    let started = stopping::may_start(Duration::from_millis(elapsed), GRACE, request);
    assert_eq!(started, expected);
}
