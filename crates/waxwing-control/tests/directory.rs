//! Tests of the process directory: leases, name conflicts, delayed announcements and watch subsets.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use test_case::test_case;
use waxwing_control::directory;
use waxwing_wire::messages;

/// A directory with a clock set by the test.
struct TestDirectory {
    state: directory::DirectoryState,
    start: Instant,
}

fn announce(name: &str, incarnation: u64, uptime_millis: u64) -> messages::Announce {
    messages::Announce {
        process: Some(messages::Hello {
            kind: messages::ProcessKind::Agent as i32,
            name: name.to_owned(),
            incarnation,
            data_centre: "a".to_owned(),
        }),
        lease_millis: 6_000,
        uptime_millis,
        ..messages::Announce::default()
    }
}

impl TestDirectory {
    fn new() -> Self {
        Self {
            state: directory::DirectoryState::default(),
            // Far enough from the start of the clock that uptimes can be subtracted.
            start: Instant::now() + Duration::from_secs(1_000),
        }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    /// Processes an announcement sent at `sent` that arrives at `arrival`, both in milliseconds.
    fn announce(&mut self, name: &str, incarnation: u64, sent: u64, arrival: u64) -> bool {
        let now = self.at(arrival);
        self.state.announce(now, announce(name, incarnation, sent))
    }

    fn holder(&self, name: &str) -> Option<u64> {
        let mut members = self.state.members();
        let (_, entry) = members.find(|(found, _)| *found == name)?;
        Some(entry.announce.process.as_ref()?.incarnation)
    }
}

/// Guards against processes that stay in the directory after their lease, or leave it earlier.
#[test]
fn leases_expire() {
    let mut directory = TestDirectory::new();
    assert!(directory.announce("a", 1, 0, 0));
    assert!(
        !directory.announce("a", 1, 2_000, 2_000),
        "an unchanged renewal must not notify watchers"
    );
    assert!(!directory.state.sweep(directory.at(7_999)));
    assert!(directory.state.sweep(directory.at(8_000)));
    assert_eq!(directory.holder("a"), None);
}

/// Guards against two live processes with the same name: the newer incarnation waits until the
/// lease of the older one has expired, and the conflict is reported meanwhile.
#[test]
fn a_newer_incarnation_waits_for_the_older_lease() {
    let mut directory = TestDirectory::new();
    directory.announce("a", 1, 0, 0);
    assert!(!directory.announce("a", 2, 0, 1_000));
    assert_eq!(directory.holder("a"), Some(1));
    assert_eq!(directory.state.conflicts().collect::<Vec<_>>(), ["a"]);
    directory.announce("a", 2, 4_500, 5_500);
    assert!(directory.state.sweep(directory.at(6_000)));
    assert_eq!(directory.holder("a"), Some(2));
    assert_eq!(directory.state.conflicts().count(), 0);
}

/// Guards against waiting for a whole lease after the older process deregistered, and against
/// delayed announcements that restore it.
#[test]
fn deregistration_frees_the_name_permanently() {
    let mut directory = TestDirectory::new();
    directory.announce("a", 1, 0, 0);
    directory.announce("a", 2, 0, 1_000);
    assert!(directory.state.deregister(directory.at(1_100), "a", 1));
    assert_eq!(directory.holder("a"), Some(2));
    assert!(!directory.announce("a", 1, 1_050, 1_200));
    assert_eq!(directory.holder("a"), Some(2));
    assert_eq!(directory.state.conflicts().count(), 0);
}

/// Guards against flapping when delayed announcements arrive in a burst: a lease starts when the
/// announcement was sent, not when it arrives.
#[test]
fn a_burst_of_delayed_announcements_does_not_cause_flapping() {
    let mut directory = TestDirectory::new();
    directory.announce("a", 1, 0, 0);
    directory.announce("a", 1, 2_000, 2_000);
    // The process died at 5 s; the announcements that it had sent arrive from 7.9 s on.
    let mut notifications = 0;
    for (sent, arrival) in [(4_000, 7_900), (2_500, 7_950), (3_000, 7_990)] {
        notifications += u32::from(directory.announce("a", 1, sent, arrival));
    }
    notifications += u32::from(directory.state.sweep(directory.at(9_999)));
    assert_eq!(notifications, 0);
    // The lease ends 6 s after the announcement sent at 4 s, plus a thousandth of the 5.9 s between
    // two arrivals for clock drift.
    assert!(directory.state.sweep(directory.at(10_006)));
}

/// Guards against a dead process that is restored by announcements that arrive after its lease
/// expired, and against a process on a suspended host that is never restored.
#[test]
fn delayed_announcements_do_not_restore_an_expired_process() {
    let mut directory = TestDirectory::new();
    directory.announce("a", 1, 0, 0);
    assert!(directory.state.sweep(directory.at(6_000)));
    assert!(!directory.announce("a", 1, 2_000, 8_500));
    assert_eq!(directory.holder("a"), None);
    assert!(
        directory.announce("a", 1, 3_000, 8_600),
        "its lease is valid until 9 s"
    );
    assert!(directory.state.sweep(directory.at(9_000)));
    // The host was suspended, so its clock lags from now on.
    assert!(!directory.announce("a", 1, 4_000, 18_000));
    directory.state.sweep(directory.at(19_000));
    assert!(directory.announce("a", 1, 6_000, 20_000));
    assert!(!directory.announce("a", 1, 8_000, 22_000));
    assert!(!directory.state.sweep(directory.at(27_999)));
}

/// Guards against leases that expire after days because the clock of a host drifts against that of
/// the control host.
#[test_case(100; "slower")]
#[test_case(-100; "faster")]
fn clock_drift_does_not_expire_leases(millionths: i64) {
    let mut directory = TestDirectory::new();
    directory.announce("a", 1, 0, 0);
    let mut notifications = 0;
    for step in 1..=432_000u64 {
        let arrival = step * 2_000;
        let skew = i64::try_from(arrival).unwrap() * millionths / 1_000_000;
        let sent = arrival.saturating_add_signed(-skew);
        notifications += u32::from(directory.announce("a", 1, sent, arrival));
    }
    assert_eq!(notifications, 0, "no change in ten days");
}

/// Guards against an announcement that arrives out of order and undoes a later one.
#[test]
fn an_older_announcement_changes_nothing() {
    let mut directory = TestDirectory::new();
    directory.announce("a", 1, 0, 0);
    let mut leaving = announce("a", 1, 2_000);
    leaving.leaving = true;
    assert!(directory.state.announce(directory.at(2_000), leaving));
    assert!(!directory.announce("a", 1, 1_000, 2_100));
    let (_, entry) = directory.state.members().next().unwrap();
    assert!(entry.announce.leaving);
}

/// Guards against a directory that grows without bound.
#[test]
fn names_are_bounded() {
    let mut directory = TestDirectory::new();
    for number in 0..=directory::MAX_NAMES {
        directory.announce(&format!("a{number}"), 1, 0, 0);
    }
    assert_eq!(directory.state.members().count(), directory::MAX_NAMES);
}

/// Guards against entries that watch remote endpoints instead of local ones, watch more than the
/// limit, or lose most of their subset when one process comes or goes.
#[test]
fn subsets_prefer_the_local_data_centre_and_are_stable() {
    let mut directory = TestDirectory::new();
    for number in 0..3_400u64 {
        let mut announce = announce(&format!("agent-{number}"), 1, 0);
        announce.process.as_mut().unwrap().data_centre = format!("dc-{}", number % 25);
        directory.state.announce(directory.at(0), announce);
    }
    let subset = |directory: &TestDirectory, watcher: &str| -> BTreeSet<String> {
        let members = directory.state.members();
        let subset = directory::watch_subset(watcher, "dc-3", 160, members);
        subset.into_keys().map(ToOwned::to_owned).collect()
    };
    let before = subset(&directory, "entry-1");
    assert_eq!(before.len(), 160);
    let own = (0..3_400).filter(|number| number % 25 == 3);
    assert!(
        own.clone()
            .all(|number| before.contains(&format!("agent-{number}")))
    );
    assert_ne!(
        before,
        subset(&directory, "entry-2"),
        "entries sample different endpoints"
    );
    let gone = before.iter().next().unwrap();
    directory.state.deregister(directory.at(1), gone, 1);
    let after = subset(&directory, "entry-1");
    assert_eq!(before.difference(&after).collect::<Vec<_>>(), [gone]);
    assert_eq!(after.difference(&before).count(), 1);
}
