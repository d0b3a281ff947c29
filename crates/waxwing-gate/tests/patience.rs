//! Which callers count as refused before.

use std::time::{Duration, Instant};

use smol_str::SmolStr;
use waxwing_gate::patience;

const ROUTE: SmolStr = SmolStr::new_static("drafts");

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// Pattern: callers of a route give 0.85 to 1.0 of its timeout. Taken against the timeout, half of
/// them seemed to have been refused before, and were served last and refused first.
#[test]
fn callers_with_a_little_less_patience_than_others_are_new_ones() {
    let now = Instant::now();
    let mut table = patience::PatienceTable::default();
    table.observe(now, &ROUTE, seconds(15.0));
    for step in 0..=15 {
        let given = seconds(12.75 + 0.15 * f64::from(step));
        assert!(!table.observe(now, &ROUTE, given), "{given:?}");
    }
}

/// Pattern: refused callers come back with the time that is left to them.
#[test]
fn a_caller_that_let_a_fifth_of_its_time_pass_has_come_back() {
    let now = Instant::now();
    let mut table = patience::PatienceTable::default();
    table.observe(now, &ROUTE, seconds(15.0));
    assert!(table.observe(now, &ROUTE, seconds(12.0)));
    assert!(table.observe(now, &ROUTE, seconds(9.5)));
}

/// Pattern: an operator changes a timeout and the callers keep theirs, or the callers change theirs.
#[test]
fn the_callers_of_the_last_seconds_count() {
    let start = Instant::now();
    let mut table = patience::PatienceTable::default();
    table.observe(start, &ROUTE, seconds(15.0));
    let mut now = start;
    for _ in 0..120 {
        now += Duration::from_millis(100);
        table.observe(now, &ROUTE, seconds(9.0));
    }
    assert!(!table.observe(now, &ROUTE, seconds(9.0)));
    assert!(table.observe(now, &ROUTE, seconds(6.0)));
}

#[test]
fn routes_are_told_apart_and_forgotten() {
    let start = Instant::now();
    let mut table = patience::PatienceTable::default();
    let other = SmolStr::new_static("tags");
    table.observe(start, &ROUTE, seconds(15.0));
    assert!(!table.observe(start, &other, seconds(3.0)));
    let later = start + Duration::from_secs(90);
    table.observe(later, &SmolStr::new_static("new"), seconds(3.0));
    assert!(!table.observe(later, &ROUTE, seconds(3.0)));
}
