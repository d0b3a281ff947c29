//! Schedules for single promises that random ones reach rarely.

use std::time::Duration;

use test_case::test_case;

use crate::harness::{Group, PlantedFault};

fn work(group: &mut Group, rounds: u32) {
    for _ in 0..rounds {
        if let Some(leader) = group.leader() {
            group.propose(leader);
        }
        group.run(5);
    }
}

/// Repairs until every host votes, and not a tick longer.
fn repair(group: &mut Group) {
    for _ in 0..2000 {
        if group.is_repaired() {
            return;
        }
        group.repair();
        group.run(1);
    }
    panic!("the group is not repaired: {:?}", group.violation);
}

/// Guards against a repaired voter that counts before it holds all acknowledged entries: one host
/// after the other loses its disk, each in the moment the former one votes again.
#[test_case(3; "three voters")]
#[test_case(5; "five voters")]
fn disks_lost_right_after_repairs_lose_nothing(voters: usize) {
    for seed in 0..6 {
        let mut group = Group::new(voters, voters, seed, PlantedFault::None);
        group.run(400);
        for lost in 0..2 * voters {
            work(&mut group, 20);
            group.compact(lost % voters);
            while !group.wipe(lost % voters) {
                group.run(10);
                assert!(
                    group.now < Duration::from_secs(600),
                    "the disk can't be spared"
                );
            }
            group.restart(lost % voters);
            repair(&mut group);
        }
        assert!(group.counts.commands > 0);
        assert_eq!(group.heal_and_check(), Ok(()));
    }
}

/// Guards against a leader that serves on although it is cut off in one direction only: it must
/// step down when it hears nothing, and be replaced when it isn't heard.
#[test_case(true, false; "nothing reaches the leader")]
#[test_case(false, true; "nothing leaves the leader")]
#[test_case(true, true; "nothing passes")]
fn leader_that_is_cut_off_is_replaced(inward: bool, outward: bool) {
    let mut group = Group::new(5, 5, 3, PlantedFault::None);
    group.run(400);
    let former = group.leader().expect("a leader is elected");
    work(&mut group, 10);
    for other in 0..5 {
        if inward {
            group.cuts.insert((other, former));
        }
        if outward {
            group.cuts.insert((former, other));
        }
    }
    for _ in 0..60 {
        group.run(10);
        group.read(former);
    }
    let next = group.leader().expect("another leader is elected");
    assert_ne!(next, former);
    assert!(!group.leads(former));
    assert_eq!(group.heal_and_check(), Ok(()));
}

/// Guards against elections that a host which comes back from a long isolation forces on a group
/// that works: the leader must stay.
#[test]
fn returning_host_deposes_nobody() {
    let mut group = Group::new(3, 3, 8, PlantedFault::None);
    group.run(400);
    let leader = group.leader().expect("a leader is elected");
    group.isolate((leader + 1) % 3);
    for _ in 0..50 {
        work(&mut group, 10);
    }
    group.cuts.clear();
    work(&mut group, 100);
    assert_eq!((group.leader(), group.counts.leaders), (Some(leader), 1));
    assert_eq!(group.heal_and_check(), Ok(()));
}

/// Guards against a transfer that waits for an election timeout or loses commands.
#[test]
fn transfer_takes_a_fraction_of_a_timeout() {
    let mut group = Group::new(3, 3, 9, PlantedFault::None);
    group.run(400);
    let leader = group.leader().expect("a leader is elected");
    let target = (leader + 1) % 3;
    work(&mut group, 10);
    group.transfer(target);
    group.run(30);
    assert!(group.leads(target) && !group.leads(leader));
    assert_eq!(group.heal_and_check(), Ok(()));
}

/// Reads at every host, and proposes there if asked to, for some ticks.
fn read_everywhere(group: &mut Group, ticks: u32, propose: bool) {
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

/// Guards against a voter that elects another leader while the present one holds a lease: one
/// follower hears nothing from the leader, and the other one answers both.
#[test]
fn follower_that_misses_the_leader_deposes_nobody() {
    for seed in 0..4 {
        let mut group = Group::new(3, 3, seed, PlantedFault::None);
        group.run(400);
        let leader = group.leader().expect("a leader is elected");
        group.cuts.insert((leader, (leader + 1) % 3));
        // Without commands the follower's log is as good as any, so only the lease is in its way.
        read_everywhere(&mut group, 500, false);
        assert_eq!((group.leader(), group.counts.leaders), (Some(leader), 1));
        assert_eq!(group.heal_and_check(), Ok(()));
    }
}

/// Guards against a stale read after the restart of a voter: the voter has just renewed the lease
/// of the leader, forgets that with its process, and is asked for its vote by a third host.
#[test]
fn restarted_voter_keeps_the_lease_it_renewed() {
    for seed in 0..40 {
        let mut group = Group::new(3, 3, seed, PlantedFault::None);
        group.run(400);
        let leader = group.leader().expect("a leader is elected");
        let (voter, other) = ((leader + 1) % 3, (leader + 2) % 3);
        group.cuts.insert((leader, other));
        read_everywhere(&mut group, 250, false);
        group.kill(voter);
        group.isolate(leader);
        group.restart(voter);
        read_everywhere(&mut group, 100, true);
        assert_eq!(group.heal_and_check(), Ok(()));
    }
}
