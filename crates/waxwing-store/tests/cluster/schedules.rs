//! Random schedules of faults. Each guards against the loss of a promise of the replicated log
//! under any mix of crashes, lost, doubled, late and reordered messages, partitions, wiped disks,
//! membership changes, transfers and compaction; the checks are in the harness.

use std::{cell, time::Duration};

use proptest::{prelude::*, test_runner};

use crate::harness::{EventCounts, Group, NetworkFaults, PlantedFault};

/// A `FaultStep` is one step of a schedule; hosts are taken modulo the size of the group.
#[derive(Debug, Clone)]
enum FaultStep {
    Run(u32),
    Propose(usize),
    Read(usize),
    Work(u32),
    Kill(usize),
    Crash(usize),
    Restart(usize),
    Cut(usize, usize),
    Isolate(usize),
    Reconnect,
    Network(u32, u32, u32),
    Wipe(usize),
    Repair,
    Remove(usize),
    Transfer(usize),
    Compact(usize),
    FailSync(usize, u64),
    FillDisk(usize, u64),
    SlowDisk(usize, u64),
    Pause(usize, u64),
    LoseAll,
}

fn step() -> impl Strategy<Value = FaultStep> {
    let host = 0_usize..5;
    prop_oneof![
        8 => (1_u32..300).prop_map(FaultStep::Run),
        2 => host.clone().prop_map(FaultStep::Propose),
        3 => host.clone().prop_map(FaultStep::Read),
        14 => (1_u32..30).prop_map(FaultStep::Work),
        2 => host.clone().prop_map(FaultStep::Kill),
        3 => host.clone().prop_map(FaultStep::Crash),
        10 => host.clone().prop_map(FaultStep::Restart),
        2 => (host.clone(), host.clone()).prop_map(|(from, to)| FaultStep::Cut(from, to)),
        2 => host.clone().prop_map(FaultStep::Isolate),
        5 => Just(FaultStep::Reconnect),
        2 => (0_u32..30, 0_u32..30, 0_u32..30).prop_map(|(l, d, t)| FaultStep::Network(l, d, t)),
        2 => host.clone().prop_map(FaultStep::Wipe),
        5 => Just(FaultStep::Repair),
        2 => host.clone().prop_map(FaultStep::Remove),
        2 => host.clone().prop_map(FaultStep::Transfer),
        4 => host.clone().prop_map(FaultStep::Compact),
        1 => (host.clone(), 0_u64..6).prop_map(|(host, after)| FaultStep::FailSync(host, after)),
        1 => (host.clone(), 0_u64..400).prop_map(|(host, free)| FaultStep::FillDisk(host, free)),
        2 => (host.clone(), 0_u64..80).prop_map(|(host, delay)| FaultStep::SlowDisk(host, delay)),
        1 => (host, 10_u64..3000).prop_map(|(host, time)| FaultStep::Pause(host, time)),
        1 => Just(FaultStep::LoseAll),
    ]
}

fn take_step(group: &mut Group, step: &FaultStep) {
    let size = group.hosts.len();
    match *step {
        FaultStep::Run(ticks) => group.run(ticks),
        FaultStep::Propose(host) => group.propose(host % size),
        FaultStep::Read(host) => group.read(host % size),
        FaultStep::Work(count) => work(group, count),
        FaultStep::Kill(host) => group.kill(host % size),
        FaultStep::Crash(host) => group.crash(host % size),
        FaultStep::Restart(host) => group.restart(host % size),
        FaultStep::Cut(from, to) => {
            group.cuts.insert((from % size, to % size));
        }
        FaultStep::Isolate(host) => group.isolate(host % size),
        FaultStep::Reconnect => group.cuts.clear(),
        FaultStep::Network(lost, doubled, late) => {
            group.faults = NetworkFaults {
                lost,
                doubled,
                late,
            };
        }
        FaultStep::Wipe(host) => {
            group.wipe(host % size);
        }
        FaultStep::Repair => group.repair(),
        FaultStep::Remove(host) => group.remove(host % size),
        FaultStep::Transfer(host) => group.transfer(host % size),
        FaultStep::Compact(host) => group.compact(host % size),
        FaultStep::FailSync(host, after) => {
            group.fail_disk(host % size, Some(after), None);
        }
        FaultStep::FillDisk(host, free) => {
            group.fail_disk(host % size, None, Some(free));
        }
        FaultStep::SlowDisk(host, delay) => {
            group.hosts[host % size].write_delay = Duration::from_millis(delay);
        }
        FaultStep::Pause(host, time) => group.pause(host % size, Duration::from_millis(time)),
        FaultStep::LoseAll => (0..size).for_each(|host| group.crash(host)),
    }
}

/// Proposes at the leader, reads at every host, and lets some time pass.
fn work(group: &mut Group, count: u32) {
    for _ in 0..count {
        if let Some(leader) = group.leader() {
            group.propose(leader);
        }
        for host in 0..group.hosts.len() {
            group.read(host);
        }
        group.run(2);
    }
}

fn check(
    hosts: usize,
    founders: usize,
    seed: u64,
    steps: &[FaultStep],
) -> Result<EventCounts, String> {
    let mut group = Group::new(hosts, founders, seed, PlantedFault::None);
    group.run(300);
    for step in steps {
        take_step(&mut group, step);
    }
    let counts = group.counts;
    group.heal_and_check().map(|()| counts)
}

fn run_cases(hosts: usize, founders: usize, seed: u64, cases: u32) {
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(seed),
        max_shrink_iters: 400,
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config);
    let schedules = (any::<u64>(), proptest::collection::vec(step(), 30..120));
    let totals = cell::Cell::new(EventCounts::default());
    let result = runner.run(&schedules, |(seed, steps)| {
        let counts = check(hosts, founders, seed, &steps);
        let counts = counts.map_err(test_runner::TestCaseError::fail)?;
        let mut total = totals.get();
        total.add(&counts);
        totals.set(total);
        Ok(())
    });
    println!("{cases} schedules before healing: {:?}", totals.get());
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// The number of schedules of each test; `WAXWING_SCHEDULES` raises it for long runs by hand.
fn cases(default: u32) -> u32 {
    let wanted = std::env::var("WAXWING_SCHEDULES");
    wanted.map_or(default, |wanted| wanted.parse().unwrap_or(default))
}

#[test]
fn three_voters_keep_their_promises() {
    run_cases(3, 3, 1, cases(100));
}

#[test]
fn four_hosts_of_which_one_joins_keep_their_promises() {
    run_cases(4, 3, 2, cases(80));
}

#[test]
fn five_voters_keep_their_promises() {
    run_cases(5, 5, 3, cases(60));
}

#[test]
fn group_grown_from_one_host_keeps_its_promises() {
    run_cases(3, 1, 4, cases(80));
}
