//! The hosts that a process learns from control hosts, and when it forgets them.

use std::{
    collections::HashSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use waxwing_fleet::hosts::{HOST_RETENTION, HostTable};

const SECOND: Duration = Duration::from_secs(1);

fn host(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7600))
}

fn hosts(numbers: &[u8]) -> HashSet<SocketAddr> {
    numbers.iter().map(|number| host(*number)).collect()
}

/// Returns the hosts to dial with links to the hosts in `linked`.
fn targets(table: &mut HostTable, now: Instant, linked: &[u8]) -> HashSet<SocketAddr> {
    table.targets(now, &hosts(linked)).collect()
}

/// Guards against a link to the leader that ends since a control host that doesn't know the leader
/// reported last.
#[test]
fn report_of_one_control_host_takes_nothing_from_that_of_another() {
    let mut table = HostTable::default();
    let start = Instant::now();
    table.record(start, host(1), hosts(&[1, 2, 3]));
    table.record(start, host(4), hosts(&[4]));
    let later = start + HOST_RETENTION * 2;
    assert_eq!(targets(&mut table, later, &[]), hosts(&[1, 2, 3, 4]));
}

/// Guards against a leader that is forgotten with the only host that had told of it.
#[test]
fn host_whose_reporter_is_lost_is_dialled_until_it_reports_itself() {
    let mut table = HostTable::default();
    let start = Instant::now();
    table.record(start, host(1), hosts(&[1, 2]));
    table.record(start, host(4), hosts(&[4]));
    table.end_report(start + SECOND, host(1));
    let later = start + HOST_RETENTION;
    assert_eq!(targets(&mut table, later, &[]), hosts(&[1, 2, 4]));
    table.record(later, host(2), hosts(&[2]));
    let last = later + HOST_RETENTION;
    assert_eq!(targets(&mut table, last, &[]), hosts(&[2, 4]));
}

/// Guards against hosts that are dialled for ever although they were replaced for good.
#[test]
fn host_that_nobody_reports_any_more_is_forgotten() {
    let mut table = HostTable::default();
    let start = Instant::now();
    table.record(start, host(1), hosts(&[1, 2, 3]));
    table.record(start + SECOND, host(1), hosts(&[1, 3]));
    let before = start + HOST_RETENTION;
    assert_eq!(targets(&mut table, before, &[]), hosts(&[1, 2, 3]));
    let after = before + SECOND;
    assert_eq!(targets(&mut table, after, &[]), hosts(&[1, 3]));
}

/// Guards against a process that closes a link that works, for a report that lacks its host.
#[test]
fn linked_host_is_kept_without_a_report() {
    let mut table = HostTable::default();
    let start = Instant::now();
    table.record(start, host(1), hosts(&[1, 2]));
    table.record(start, host(1), hosts(&[1]));
    let later = start + HOST_RETENTION * 2;
    assert_eq!(targets(&mut table, later, &[2]), hosts(&[1, 2]));
}

/// Guards against a process that is cut off from all control hosts and forgets how to reach them.
#[test]
fn process_without_any_report_forgets_no_host() {
    let mut table = HostTable::default();
    let start = Instant::now();
    table.record(start, host(1), hosts(&[1, 2]));
    table.end_report(start, host(1));
    let later = start + HOST_RETENTION * 3;
    assert_eq!(targets(&mut table, later, &[]), hosts(&[1, 2]));
    table.record(later, host(2), hosts(&[2]));
    assert_eq!(targets(&mut table, later, &[]), hosts(&[1, 2]));
}
