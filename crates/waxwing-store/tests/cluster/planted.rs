//! Tests that the harness detects violations: each injected bug violates a safety property under a
//! fixed schedule, and the same schedule without the bug passes all checks.

use std::time::Duration;

use test_case::test_case;

use crate::harness::{Group, InjectedBug};

fn start(injected: InjectedBug) -> (Group, usize) {
    let mut group = Group::new(3, 3, 11, injected);
    group.run(400);
    let leader = group.leader().expect("a leader is elected");
    (group, leader)
}

fn followers(leader: usize) -> (usize, usize) {
    ((leader + 1) % 3, (leader + 2) % 3)
}

/// Detects the loss of synced entries: all hosts lose power.
fn lose_power(injected: InjectedBug) -> Result<(), String> {
    let (mut group, leader) = start(injected);
    group.propose(leader);
    group.run(50);
    for host in 0..3 {
        group.crash(host);
    }
    group.recover_and_check()
}

/// Detects acknowledgements before the sync: both followers lose power just after they acknowledged
/// an entry, and the leader is isolated.
fn lose_followers(injected: InjectedBug) -> Result<(), String> {
    let (mut group, leader) = start(injected);
    let (first, second) = followers(leader);
    for host in [first, second] {
        group.hosts[host].write_delay = Duration::from_secs(5);
    }
    group.propose(leader);
    group.run(20);
    group.isolate(leader);
    for host in [first, second] {
        group.crash(host);
        group.hosts[host].write_delay = Duration::ZERO;
        group.restart(host);
    }
    elect_again(&mut group, [first, second])
}

/// Detects votes of a wiped host under its old identity: the follower that holds an acknowledged
/// entry is wiped and then forms a quorum with one that never had the entry.
fn wipe_follower(injected: InjectedBug) -> Result<(), String> {
    let (mut group, leader) = start(injected);
    let (first, second) = followers(leader);
    group.isolate(second);
    group.propose(leader);
    group.run(50);
    group.blocked_links.clear();
    group.isolate(leader);
    assert!(group.wipe(first));
    group.restart(first);
    elect_again(&mut group, [first, second])
}

fn elect_again(group: &mut Group, hosts: [usize; 2]) -> Result<(), String> {
    for _ in 0..20 {
        group.run(20);
        for host in hosts {
            group.propose(host);
        }
    }
    group.recover_and_check()
}

/// Detects stale reads: a leader is isolated and its successor acknowledges a command.
fn isolate_leader(injected: InjectedBug) -> Result<(), String> {
    let (mut group, leader) = start(injected);
    // The old leader is paused, so that it can't step down for want of responses.
    group.isolate(leader);
    group.pause(leader, Duration::from_secs(10));
    group.run(450);
    let next = group.leader().expect("another leader is elected");
    for host in 0..3 {
        if host != leader {
            group.propose(host);
        }
    }
    group.run(50);
    assert!(group.counts.commands > 0 && next < 3);
    group.pause(leader, Duration::ZERO);
    group.read(leader);
    group.recover_and_check()
}

#[test_case(lose_power, InjectedBug::IgnoredSyncs; "ignored syncs")]
#[test_case(lose_followers, InjectedBug::EarlyReports; "reports before the sync")]
#[test_case(wipe_follower, InjectedBug::KeptStoreId; "wiped host keeps its store id")]
#[test_case(isolate_leader, InjectedBug::UnconfirmedReads; "reads without confirmation")]
fn injected_bug_is_detected(
    schedule: fn(InjectedBug) -> Result<(), String>,
    injected: InjectedBug,
) {
    let violation = schedule(injected).expect_err("the injected bug is detected");
    println!("{injected:?}: {violation}");
    assert_eq!(schedule(InjectedBug::None), Ok(()));
}
