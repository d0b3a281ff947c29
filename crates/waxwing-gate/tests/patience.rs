//! Detection of callers that were refused before.

use std::time::{Duration, Instant};

use smol_str::SmolStr;
use waxwing_gate::patience;

const ROUTE: SmolStr = SmolStr::new_static("drafts");

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// Callers of a route give 0.85 to 1.0 of its timeout. Compared with the timeout instead of each
/// other, half of them counted as refused before, and were served last and refused first.
#[test]
fn slightly_less_patient_callers_count_as_new() {
    let now = Instant::now();
    let mut table = patience::PatienceTable::default();
    table.observe(now, &ROUTE, seconds(15.0));
    for step in 0..=15 {
        let given = seconds(12.75 + 0.15 * f64::from(step));
        assert!(!table.observe(now, &ROUTE, given), "{given:?}");
    }
}

/// Refused callers return with the time that is left to them.
#[test]
fn caller_with_a_fifth_less_time_counts_as_returned() {
    let now = Instant::now();
    let mut table = patience::PatienceTable::default();
    table.observe(now, &ROUTE, seconds(15.0));
    assert!(table.observe(now, &ROUTE, seconds(12.0)));
    assert!(table.observe(now, &ROUTE, seconds(9.5)));
}

/// An operator changes a timeout while callers keep theirs, or callers change theirs.
#[test]
fn patience_follows_recent_callers() {
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
fn routes_are_independent_and_expire() {
    let start = Instant::now();
    let mut table = patience::PatienceTable::default();
    let other = SmolStr::new_static("tags");
    table.observe(start, &ROUTE, seconds(15.0));
    assert!(!table.observe(start, &other, seconds(3.0)));
    let later = start + Duration::from_secs(90);
    table.observe(later, &SmolStr::new_static("new"), seconds(3.0));
    assert!(!table.observe(later, &ROUTE, seconds(3.0)));
}
