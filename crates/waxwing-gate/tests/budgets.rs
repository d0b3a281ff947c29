//! The retry budget of a service across restarts of entries.

use std::time::{Duration, Instant};

use smol_str::SmolStr;
use waxwing_gate::{gate, options};

/// The window of the users' retry budget.
const WINDOW: Duration = Duration::from_secs(10);

/// Retries beyond the share of requests that the users allow in a window.
const EXTRA: u32 = 52;

fn entry(started: Instant) -> gate::GateCore {
    let options = options::GateOptions {
        retry_ratio: 0.2,
        retry_extra: f64::from(EXTRA),
        budget_window: WINDOW,
        ..options::GateOptions::default()
    };
    gate::GateCore::new(options, started)
}

/// Takes retries until none is left, and returns their number.
fn take_all(core: &mut gate::GateCore, now: Instant) -> u32 {
    let service = SmolStr::new("register");
    let mut taken = 0;
    while core.take_retry(now, &service) {
        taken += 1;
    }
    taken
}

/// Guards against an entry that uses its part of the retry budget once more because it has been
/// restarted within the window: what it used before was known in its memory only.
#[test]
fn restarted_entry_gets_no_second_part_of_the_retry_budget() {
    let start = Instant::now();
    let mut core = entry(start);
    let service = SmolStr::new("register");
    let used_at = start + WINDOW * 2;
    assert_eq!(take_all(&mut core, used_at), EXTRA);
    let restarted_at = used_at + Duration::from_secs(1);
    let mut core = entry(restarted_at);
    for passed in 0..9 {
        let now = restarted_at + Duration::from_secs(passed);
        assert_eq!(take_all(&mut core, now), 0, "after {passed} s");
    }
    // Retries for its own requests are its own since the start.
    let now = restarted_at + Duration::from_secs(9);
    for _ in 0..10 {
        core.count_request(now, &service);
    }
    assert_eq!(take_all(&mut core, now), 2);
    assert!(take_all(&mut core, restarted_at + WINDOW * 2) > 0);
}
