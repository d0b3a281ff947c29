//! Shows that the checker of the schedules can fail: each planted fault breaks a promise under a
//! fixed schedule, and the same schedule without the fault keeps all promises.

use std::time::Duration;

use test_case::test_case;

use crate::harness::{Group, PlantedFault};

fn start(planted: PlantedFault) -> (Group, usize) {
    let mut group = Group::new(3, 3, 11, planted);
    group.run(400);
    let leader = group.leader().expect("a leader is elected");
    (group, leader)
}

fn others(leader: usize) -> (usize, usize) {
    ((leader + 1) % 3, (leader + 2) % 3)
}

/// Guards against a checker that misses the loss of synced entries: all hosts lose power.
fn lose_power(planted: PlantedFault) -> Result<(), String> {
    let (mut group, leader) = start(planted);
    group.propose(leader);
    group.run(50);
    for host in 0..3 {
        group.crash(host);
    }
    group.heal_and_check()
}

/// Guards against a checker that misses acknowledgements before the sync: both followers lose
/// power just after they acknowledged, and the leader is cut off.
fn lose_followers(planted: PlantedFault) -> Result<(), String> {
    let (mut group, leader) = start(planted);
    let (first, second) = others(leader);
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

/// Guards against a checker that misses votes of a wiped host under its former identity: the
/// follower that holds an acknowledged entry is wiped and meets one that never had it.
fn wipe_follower(planted: PlantedFault) -> Result<(), String> {
    let (mut group, leader) = start(planted);
    let (first, second) = others(leader);
    group.isolate(second);
    group.propose(leader);
    group.run(50);
    group.cuts.clear();
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
    group.heal_and_check()
}

/// Guards against a checker that misses stale reads: a leader is cut off and another one
/// acknowledges a command.
fn isolate_leader(planted: PlantedFault) -> Result<(), String> {
    let (mut group, leader) = start(planted);
    // The old leader is stopped before it can notice that nobody answers.
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
    group.heal_and_check()
}

#[test_case(lose_power, PlantedFault::IgnoredSyncs; "ignored syncs")]
#[test_case(lose_followers, PlantedFault::EarlyReports; "reports before the sync")]
#[test_case(wipe_follower, PlantedFault::KeptStoreId; "wiped host keeps its store id")]
#[test_case(isolate_leader, PlantedFault::UnconfirmedReads; "reads without confirmation")]
fn planted_fault_is_noticed(
    schedule: fn(PlantedFault) -> Result<(), String>,
    planted: PlantedFault,
) {
    let violation = schedule(planted).expect_err("the planted fault is noticed");
    println!("{planted:?}: {violation}");
    assert_eq!(schedule(PlantedFault::None), Ok(()));
}
