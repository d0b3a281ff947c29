//! How long requests wait at an entry that has just started.

use std::time::Duration;

use test_case::test_case;
use waxwing_conduit::starting;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// After all hosts have lost power, entries are back before the control hosts have elected a leader:
/// requests of that half second were refused though nearly all of their time was left. An entry that
/// can't reach a quorum at all must not delay every request for ever.
#[test_case(500, false, Some(12_000), 3_960; "a stream before the first deployment")]
#[test_case(500, false, Some(1_500), 495; "a call before the first deployment")]
#[test_case(60_000, false, Some(1_500), 495; "a call to an entry that never got a deployment")]
#[test_case(500, false, None, 1_000; "a caller without a deadline")]
#[test_case(500, true, Some(12_000), 1_500; "a deployment that is not confirmed yet")]
#[test_case(500, true, Some(1_500), 495; "a call while the deployment is not confirmed")]
#[test_case(2_000, true, Some(12_000), 0; "a deployment that nobody has confirmed for long")]
fn request_waits_for_a_part_of_its_time(
    age: u64,
    has_deployment: bool,
    caller_time: Option<u64>,
    expected: u64,
) {
    let wait = starting::confirmation_wait(millis(age), has_deployment, caller_time.map(millis));
    assert_eq!(wait.as_millis(), u128::from(expected));
}
