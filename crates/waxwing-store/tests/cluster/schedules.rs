//! Random schedules of faults. They guard against violations of the replicated log's safety
//! properties under any mix of crashes, lost, duplicated, delayed and reordered messages,
//! partitions, wiped disks, membership changes, leadership transfers and compaction. The harness
//! holds the checks.

use std::{cell, time::Duration};

use proptest::{prelude::*, test_runner};

use crate::harness::{EventCounts, Group, InjectedBug, NetworkFaults};

/// One step of a schedule; host numbers are taken modulo the size of the group.
#[derive(Debug, Clone)]
enum FaultStep {
    Run(u32),
    Propose(usize),
    Read(usize),
    Load(u32),
    Kill(usize),
    Crash(usize),
    Restart(usize),
    BlockLink(usize, usize),
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
    CrashAll,
}

fn step() -> impl Strategy<Value = FaultStep> {
    let host = 0_usize..5;
    prop_oneof![
        8 => (1_u32..300).prop_map(FaultStep::Run),
        2 => host.clone().prop_map(FaultStep::Propose),
        3 => host.clone().prop_map(FaultStep::Read),
        14 => (1_u32..30).prop_map(FaultStep::Load),
        2 => host.clone().prop_map(FaultStep::Kill),
        3 => host.clone().prop_map(FaultStep::Crash),
        10 => host.clone().prop_map(FaultStep::Restart),
        2 => (host.clone(), host.clone()).prop_map(|(from, to)| FaultStep::BlockLink(from, to)),
        2 => host.clone().prop_map(FaultStep::Isolate),
        5 => Just(FaultStep::Reconnect),
        2 => (0_u32..30, 0_u32..30, 0_u32..30).prop_map(|(lost, duplicated, delayed)| FaultStep::Network(lost, duplicated, delayed)),
        2 => host.clone().prop_map(FaultStep::Wipe),
        5 => Just(FaultStep::Repair),
        2 => host.clone().prop_map(FaultStep::Remove),
        2 => host.clone().prop_map(FaultStep::Transfer),
        4 => host.clone().prop_map(FaultStep::Compact),
        1 => (host.clone(), 0_u64..6).prop_map(|(host, after)| FaultStep::FailSync(host, after)),
        1 => (host.clone(), 0_u64..400).prop_map(|(host, free)| FaultStep::FillDisk(host, free)),
        2 => (host.clone(), 0_u64..80).prop_map(|(host, delay)| FaultStep::SlowDisk(host, delay)),
        1 => (host, 10_u64..3000).prop_map(|(host, time)| FaultStep::Pause(host, time)),
        1 => Just(FaultStep::CrashAll),
    ]
}

fn execute_step(group: &mut Group, step: &FaultStep) {
    let size = group.hosts.len();
    match *step {
        FaultStep::Run(ticks) => group.run(ticks),
        FaultStep::Propose(host) => group.propose(host % size),
        FaultStep::Read(host) => group.read(host % size),
        FaultStep::Load(count) => apply_load(group, count),
        FaultStep::Kill(host) => group.kill(host % size),
        FaultStep::Crash(host) => group.crash(host % size),
        FaultStep::Restart(host) => group.restart(host % size),
        FaultStep::BlockLink(from, to) => {
            group.blocked_links.insert((from % size, to % size));
        }
        FaultStep::Isolate(host) => group.isolate(host % size),
        FaultStep::Reconnect => group.blocked_links.clear(),
        FaultStep::Network(lost_percent, duplicated_percent, delayed_percent) => {
            group.faults = NetworkFaults {
                lost_percent,
                duplicated_percent,
                delayed_percent,
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
        FaultStep::CrashAll => (0..size).for_each(|host| group.crash(host)),
    }
}

/// Proposes at the leader and reads at every host, `count` times with two ticks in between.
fn apply_load(group: &mut Group, count: u32) {
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

fn run_schedule(
    hosts: usize,
    founders: usize,
    seed: u64,
    steps: &[FaultStep],
) -> Result<EventCounts, String> {
    let mut group = Group::new(hosts, founders, seed, InjectedBug::None);
    group.run(300);
    for step in steps {
        execute_step(&mut group, step);
    }
    let counts = group.counts;
    group.recover_and_check().map(|()| counts)
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
        let counts = run_schedule(hosts, founders, seed, &steps);
        let counts = counts.map_err(test_runner::TestCaseError::fail)?;
        let mut total = totals.get();
        total.add(&counts);
        totals.set(total);
        Ok(())
    });
    println!("{cases} schedules before recovery: {:?}", totals.get());
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Returns the number of schedules of a test; `WAXWING_SCHEDULES` overrides it for long manual
/// runs.
fn cases(default: u32) -> u32 {
    let requested = std::env::var("WAXWING_SCHEDULES");
    requested.map_or(default, |requested| requested.parse().unwrap_or(default))
}

#[test]
fn three_voters_violate_no_property() {
    run_cases(3, 3, 1, cases(100));
}

#[test]
fn three_voters_and_a_joining_host_violate_no_property() {
    run_cases(4, 3, 2, cases(80));
}

#[test]
fn five_voters_violate_no_property() {
    run_cases(5, 5, 3, cases(60));
}

#[test]
fn group_grown_from_one_host_violates_no_property() {
    run_cases(3, 1, 4, cases(80));
}
