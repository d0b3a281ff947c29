//! Pacing of the attempts to open links.

use std::time::Duration;

use test_case::test_case;
use waxwing_fleet::dials::DialPacing;

/// Time after which a process that dials a host is linked to it, if the host drops all packets until
/// `back` and accepts links from then on. Jitter is left out.
fn linked_after(back: Duration) -> Duration {
    let mut pacing = DialPacing::default();
    let mut now = Duration::ZERO;
    while now < back {
        now += pacing.connect_timeout();
        pacing.record_failure();
        now += pacing.pause();
    }
    now
}

/// Guards against entries that serve nothing for most of a second after a loss of power: their first
/// attempts met control hosts that were not back yet, and timed out after 800 ms.
#[test_case(10, 320; "a moment later")]
#[test_case(230, 320; "in the first attempt")]
#[test_case(350, 900; "in the second attempt")]
#[test_case(10_000, 10_950; "after a long time")]
fn host_that_comes_back_is_soon_linked(back: u64, limit: u64) {
    let linked = linked_after(Duration::from_millis(back));
    assert!(linked <= Duration::from_millis(limit), "{linked:?}");
}

/// Guards against processes that dial hosts that are down all the time.
#[test]
fn attempts_become_rare() {
    let mut pacing = DialPacing::default();
    for _ in 0..40 {
        pacing.record_failure();
    }
    let interval = pacing.connect_timeout() + pacing.pause();
    assert!(interval >= Duration::from_millis(900), "{interval:?}");
    pacing.record_success();
    assert_eq!(pacing, DialPacing::default());
}
