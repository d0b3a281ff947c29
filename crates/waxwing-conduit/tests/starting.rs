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
#[test_case(Some(12_000), 3_960; "a stream")]
#[test_case(Some(1_500), 495; "a call")]
#[test_case(None, 1_000; "a caller without a deadline")]
fn request_waits_for_a_part_of_its_time(caller_time: Option<u64>, expected: u64) {
    let wait = starting::confirmation_wait(caller_time.map(millis));
    assert_eq!(wait.as_millis(), u128::from(expected));
}
