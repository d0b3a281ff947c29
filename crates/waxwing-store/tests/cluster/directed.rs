//! Schedules for single properties, with situations that random schedules rarely reach.

use std::time::Duration;

use test_case::test_case;

use crate::harness::{Group, InjectedBug};

fn run_with_commands(group: &mut Group, rounds: u32) {
    for _ in 0..rounds {
        if let Some(leader) = group.leader() {
            group.propose(leader);
        }
        group.run(5);
    }
}

/// Submits membership changes until every host is a voter, and returns at that very tick.
fn restore_voters(group: &mut Group) {
    for _ in 0..2000 {
        if group.is_repaired() {
            return;
        }
        group.repair();
        group.run(1);
    }
    panic!("not every host became a voter: {:?}", group.violation);
}

/// Guards against a replacement voter that counts towards a quorum before it holds all acknowledged
/// entries: one host after another loses its disk, each as soon as the previous one votes again.
#[test_case(3; "three voters")]
#[test_case(5; "five voters")]
fn disks_lost_right_after_replacements_lose_no_entries(voters: usize) {
    for seed in 0..6 {
        let mut group = Group::new(voters, voters, seed, InjectedBug::None);
        group.run(400);
        for lost in 0..2 * voters {
            run_with_commands(&mut group, 20);
            group.compact(lost % voters);
            while !group.wipe(lost % voters) {
                group.run(10);
                assert!(
                    group.now < Duration::from_secs(600),
                    "the group never tolerates the loss of this disk"
                );
            }
            group.restart(lost % voters);
            restore_voters(&mut group);
        }
        assert!(group.counts.commands > 0);
        assert_eq!(group.recover_and_check(), Ok(()));
    }
}

/// Guards against a leader that keeps its role in a partition that may affect one direction only:
/// it must step down when it receives nothing, and be replaced when no other host receives its
/// messages.
#[test_case(true, false; "nothing reaches the leader")]
#[test_case(false, true; "nothing leaves the leader")]
#[test_case(true, true; "nothing passes")]
fn partitioned_leader_is_replaced(inbound: bool, outbound: bool) {
    let mut group = Group::new(5, 5, 3, InjectedBug::None);
    group.run(400);
    let old_leader = group.leader().expect("a leader is elected");
    run_with_commands(&mut group, 10);
    for other in 0..5 {
        if inbound {
            group.blocked_links.insert((other, old_leader));
        }
        if outbound {
            group.blocked_links.insert((old_leader, other));
        }
    }
    for _ in 0..60 {
        group.run(10);
        group.read(old_leader);
    }
    let next = group.leader().expect("another leader is elected");
    assert_ne!(next, old_leader);
    assert!(!group.is_leader(old_leader));
    assert_eq!(group.recover_and_check(), Ok(()));
}

/// Guards against a host that returns from a long isolation and disrupts a healthy group with an
/// election: the leader must stay.
#[test]
fn returning_host_forces_no_election() {
    let mut group = Group::new(3, 3, 8, InjectedBug::None);
    group.run(400);
    let leader = group.leader().expect("a leader is elected");
    group.isolate((leader + 1) % 3);
    for _ in 0..50 {
        run_with_commands(&mut group, 10);
    }
    group.blocked_links.clear();
    run_with_commands(&mut group, 100);
    assert_eq!((group.leader(), group.counts.leaders), (Some(leader), 1));
    assert_eq!(group.recover_and_check(), Ok(()));
}

/// Guards against a leadership transfer that waits for an election timeout or loses commands.
#[test]
fn transfer_takes_less_than_an_election_timeout() {
    let mut group = Group::new(3, 3, 9, InjectedBug::None);
    group.run(400);
    let leader = group.leader().expect("a leader is elected");
    let target = (leader + 1) % 3;
    run_with_commands(&mut group, 10);
    group.transfer(target);
    group.run(30);
    assert!(group.is_leader(target) && !group.is_leader(leader));
    assert_eq!(group.recover_and_check(), Ok(()));
}

/// Reads at every host, and also proposes there if `propose` is set, on each of `ticks` ticks.
fn read_at_every_host(group: &mut Group, ticks: u32, propose: bool) {
    for _ in 0..ticks {
        for host in 0..group.hosts.len() {
            if propose {
                group.propose(host);
            }
            group.read(host);
        }
        group.run(1);
    }
}

/// Guards against a voter that elects another leader while the current one holds a lease: one
/// follower receives nothing from the leader, and the other one communicates with both.
#[test]
fn follower_without_heartbeats_forces_no_election() {
    for seed in 0..4 {
        let mut group = Group::new(3, 3, seed, InjectedBug::None);
        group.run(400);
        let leader = group.leader().expect("a leader is elected");
        group.blocked_links.insert((leader, (leader + 1) % 3));
        // Without commands the follower's log is up to date, so only the lease prevents its
        // election.
        read_at_every_host(&mut group, 500, false);
        assert_eq!((group.leader(), group.counts.leaders), (Some(leader), 1));
        assert_eq!(group.recover_and_check(), Ok(()));
    }
}

/// Guards against a stale read after the restart of a voter: the voter has just renewed the
/// leader's lease, loses that knowledge with its process, and a third host requests its vote.
#[test]
fn restarted_voter_respects_the_lease_it_renewed() {
    for seed in 0..40 {
        let mut group = Group::new(3, 3, seed, InjectedBug::None);
        group.run(400);
        let leader = group.leader().expect("a leader is elected");
        let (voter, other) = ((leader + 1) % 3, (leader + 2) % 3);
        group.blocked_links.insert((leader, other));
        read_at_every_host(&mut group, 250, false);
        group.kill(voter);
        group.isolate(leader);
        group.restart(voter);
        read_at_every_host(&mut group, 100, true);
        assert_eq!(group.recover_and_check(), Ok(()));
    }
}
