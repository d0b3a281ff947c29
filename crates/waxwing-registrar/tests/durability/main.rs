//! Explores what control hosts answer under orders of changes, syncs, crashes, lost disks, cuts,
//! stopped hosts and membership changes, within the tolerated losses of disks. The model runs the
//! replica, the repair and the store of production, and its table of reported hosts: a host knows of the
//! others what its settings, its log and their reports say.
//!
//! CI plays fixed seeds. To explore more of them by hand:
//!
//! ```sh
//! WAXWING_SCHEDULES=8000 cargo test --release -p waxwing-registrar --test durability
//! ```

mod model;

use std::time::Duration;

use model::{ControlModel, CutMode, HostStop, RunCounts};
use rand::RngExt as _;
use test_case::test_case;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Sends reads to every host and changes to one of them.
fn load(model: &mut ControlModel) {
    for host in 0..model.size() {
        if model.random.random_bool(0.2) {
            model.read(host);
        }
    }
    let host = model.random.random_range(0..model.size());
    match model.random.random_range(0..20) {
        0..=2 => model.put(host),
        3 => model.resend(host),
        4 => model.depart(host),
        5 => model.order(host),
        _ => {}
    }
}

/// Which faults a schedule may draw.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultMix {
    /// Everything but suspended machines.
    WithoutSuspension,
    Everything,
}

/// The control hosts of a fleet, and the disks that it may lose at a time.
#[derive(Debug, Clone, Copy)]
struct FleetSize {
    hosts: usize,
    tolerated_disks: usize,
}

/// Time within which a change must be acknowledged while a quorum runs: the users' `ack_ms` on the
/// smallest sites.
const ACKNOWLEDGEMENT_LIMIT: Duration = Duration::from_millis(4_000);

const THREE_HOSTS: FleetSize = FleetSize {
    hosts: 3,
    tolerated_disks: 1,
};

const FIVE_HOSTS: FleetSize = FleetSize {
    hosts: 5,
    tolerated_disks: 2,
};

/// A host to hit: mostly the leader.
fn draw_host(model: &mut ControlModel) -> usize {
    let present = model.present();
    let leader = model.leader().filter(|_| model.random.random_bool(0.5));
    leader.unwrap_or_else(|| present[model.random.random_range(0..present.len())])
}

/// Injects a random fault at a host, or heals all links.
fn inject(model: &mut ControlModel, fleet: FleetSize, mix: FaultMix) {
    let host = draw_host(model);
    let time = millis(model.random.random_range(10..6_000));
    let down = millis(model.random.random_range(0..1_500));
    let mode = if model.random.random_bool(0.5) {
        CutMode::Hold
    } else {
        CutMode::Lose
    };
    match model.random.random_range(0..13) {
        0 => model.kill(host, false, down),
        1 => model.kill(host, true, down),
        2 => {
            for host in model.present() {
                model.kill(host, true, down);
            }
        }
        3 => model.wipe(host, down),
        4 => model.replace(host),
        5 => model.stop(host, HostStop::Freeze, time),
        6 if mix == FaultMix::Everything => model.stop(host, HostStop::Suspend, time),
        6 | 7 => model.cut(&[host], false, mode),
        8 => model.cut(&[host], true, mode),
        9 => model.slow_disk(host, millis(down.as_millis() as u64 / 4)),
        10 => model.fail_disk(host, 2),
        // A host misses changes, others that hold them lose their disks, and the rest power.
        11 => {
            model.cut(&[host], false, mode);
            model.run(millis(300), load);
            let others: Vec<_> = model.present();
            let others: Vec<_> = others.into_iter().filter(|other| *other != host).collect();
            let first = model.random.random_range(0..others.len());
            for lost in 0..fleet.tolerated_disks {
                model.wipe(others[(first + lost) % others.len()], down);
            }
            for other in others {
                model.kill(other, true, time);
            }
            model.heal();
        }
        _ => model.heal(),
    }
}

/// Plays a schedule of faults that is drawn from `seed`.
fn run_schedule(seed: u64, fleet: FleetSize, mix: FaultMix) -> Result<RunCounts, String> {
    let mut model = ControlModel::new(seed, fleet.hosts, fleet.tolerated_disks);
    model.run(millis(1_500), load);
    for _ in 0..24 {
        inject(&mut model, fleet, mix);
        let pause = match model.random.random_range(0..6) {
            0 => 0,
            5 => 6_000,
            _ => model.random.random_range(5..1_500),
        };
        model.run(millis(pause), load);
        if pause > 3_000 {
            model.heal();
        }
    }
    if model.random.random_bool(0.5) && model.tolerates_lost_disk() {
        // The final fault: disks are lost right after an acknowledgement, the others lose power.
        if let Some(leader) = model.leader() {
            model.put(leader);
            model.run(millis(10), |_| {});
            let present = model.present();
            let mut lost = Vec::new();
            while model.tolerates_lost_disk() && lost.len() < present.len() {
                let host = draw_host(&mut model);
                model.wipe(host, millis(500));
                lost.push(host);
            }
            for host in present {
                if !lost.contains(&host) {
                    model.kill(host, true, millis(500));
                }
            }
        }
    }
    model.recover_and_check()
}

/// Returns the number of schedules; `WAXWING_SCHEDULES` overrides it for long manual runs.
fn schedules(default: u64) -> u64 {
    let requested = std::env::var("WAXWING_SCHEDULES");
    requested.map_or(default, |requested| requested.parse().unwrap_or(default))
}

fn explore(count: u64, fleet: FleetSize, mix: FaultMix) {
    let mut failures = Vec::new();
    let mut total = RunCounts::default();
    for seed in 1..=count {
        match run_schedule(seed, fleet, mix) {
            Ok(counts) => {
                total.acknowledged += counts.acknowledged;
                total.reads += counts.reads;
                total.departures += counts.departures;
                total.orders += counts.orders;
                total.leaders += counts.leaders;
                total.wipes += counts.wipes;
                total.suspensions += counts.suspensions;
            }
            Err(violation) => failures.push(format!("seed {seed}: {violation}")),
        }
    }
    println!("{count} schedules: {total:?}");
    assert!(
        failures.is_empty(),
        "{}\n{}",
        failures.len(),
        failures.join("\n")
    );
    assert!(total.reads > 0 && total.acknowledged > 0 && total.wipes > 0);
    assert!(total.departures > 0 && total.orders > 0);
}

/// Guards against an older version that is read, and a confirmed one, an acknowledged departure of an
/// endpoint or an acknowledged order of a roll-out that is lost, after any order of faults.
#[test_case(THREE_HOSTS, FaultMix::WithoutSuspension; "three hosts without suspension")]
#[test_case(THREE_HOSTS, FaultMix::Everything; "three hosts")]
#[test_case(FIVE_HOSTS, FaultMix::Everything; "five hosts")]
fn confirmed_versions_never_revert(fleet: FleetSize, mix: FaultMix) {
    explore(schedules(60), fleet, mix);
}

/// Guards against a read that a re-elected leader confirms with the rejection of a request that it
/// had sent in an earlier term: the request is held up in a cut, and the leader is frozen when it
/// arrives and has been replaced when it wakes up.
#[test]
fn requests_of_an_earlier_term_confirm_no_read() {
    let mut reelected = 0;
    for seed in 0..20 {
        let mut model = ControlModel::new(seed, 3, 1);
        model.run(millis(1_500), load);
        let leader = model.leader().expect("a leader is elected");
        let (behind, other) = ((leader + 1) % 3, (leader + 2) % 3);
        model.cut(&[behind], false, CutMode::Hold);
        model.run(millis(3_000), load);
        for host in [leader, other] {
            model.kill(host, true, millis(20));
        }
        model.run(millis(30), |_| {});
        while model.leader().is_none() {
            model.run(millis(20), |_| {});
        }
        if model.leader() != Some(leader) {
            continue;
        }
        reelected += 1;
        model.reconnect();
        model.run(millis(300), load);
        model.stop(leader, HostStop::Freeze, millis(3_000));
        model.heal();
        model.run(millis(3_200), load);
        assert_eq!(model.recover_and_check().err(), None, "seed {seed}");
    }
    assert!(reelected > 0, "no leader was elected again");
}

/// Guards against an older version that is read at a host that led before it was suspended, while
/// another host has led since and acknowledged newer versions.
#[test]
fn leader_that_was_suspended_reads_no_older_version() {
    for seed in 0..20 {
        let mut model = ControlModel::new(seed, 3, 1);
        model.run(millis(1_500), load);
        let leader = model.leader().expect("a leader is elected");
        model.stop(leader, HostStop::Suspend, millis(4_000));
        let before = model.counts.acknowledged;
        model.run(millis(3_990), load);
        assert!(model.counts.acknowledged > before, "another host leads");
        model.run(millis(200), load);
        assert_eq!(model.recover_and_check().err(), None, "seed {seed}");
    }
}

/// Guards against lost hosts that stay voters of a group which has replaced them: two are replaced,
/// and once the new ones have caught up, two disks are lost. The group then had no quorum of hosts
/// that still had their data.
#[test]
fn replaced_hosts_leave_room_for_lost_disks() {
    for seed in 0..10 {
        let mut model = ControlModel::new(seed, FIVE_HOSTS.hosts, FIVE_HOSTS.tolerated_disks);
        model.run(millis(4_000), load);
        for host in [0, 4] {
            model.replace(host);
        }
        model.run(millis(8_000), load);
        assert!(model.tolerates_lost_disk(), "the new hosts have caught up");
        for host in [1, 6] {
            model.wipe(host, millis(500));
        }
        assert_eq!(model.recover_and_check().err(), None, "seed {seed}");
    }
}

/// Time after which a new host counts as caught up: the users' `catch_up_s` on sites with five hosts.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(6_000);

/// Guards against a new host that never joins the group, since its settings name only hosts that are gone
/// or don't lead, and nobody tells it of the leader (`review/6`).
#[test_case(THREE_HOSTS; "three hosts")]
#[test_case(FIVE_HOSTS; "five hosts")]
fn new_hosts_vote_though_their_settings_name_no_leader(fleet: FleetSize) {
    for seed in 0..10 {
        let mut model = ControlModel::new(seed, fleet.hosts, fleet.tolerated_disks);
        model.run(millis(4_000), load);
        for _ in 0..3 {
            let leader = model.leader().expect("a leader is elected");
            let present = model.present();
            let lost = present.into_iter().find(|host| *host != leader);
            model.replace(lost.expect("the fleet has a follower"));
            model.run(CATCH_UP_LIMIT, load);
            assert!(model.votes(model.size() - 1), "seed {seed}");
        }
        assert_eq!(model.recover_and_check().err(), None, "seed {seed}");
    }
}

/// Sends reads and larger changes to every host.
fn press(model: &mut ControlModel) {
    for host in 0..model.size() {
        if model.random.random_bool(0.2) {
            model.put(host);
        }
        if model.random.random_bool(0.1) {
            model.depart(host);
        }
    }
}

/// Guards against a group that acknowledges nothing after the disks of its hosts were full for some
/// seconds each, one after another and never two at a time (report of other operators).
#[test_case(THREE_HOSTS; "three hosts")]
#[test_case(FIVE_HOSTS; "five hosts")]
fn changes_are_acknowledged_after_disks_were_full_in_turn(fleet: FleetSize) {
    for seed in 0..schedules(10) {
        let mut model = ControlModel::new(seed, fleet.hosts, fleet.tolerated_disks);
        model.run(millis(2_000), press);
        for _ in 0..2 {
            for host in 0..fleet.hosts {
                let room = model.random.random_range(0..400);
                model.fill_disk(host, Some(room));
                let full = millis(model.random.random_range(500..6_000));
                model.run(full, press);
                model.fill_disk(host, None);
                let pause = millis(model.random.random_range(0..800));
                model.run(pause, press);
            }
        }
        let before = model.counts;
        model.run(ACKNOWLEDGEMENT_LIMIT, press);
        let counts = model.counts;
        assert!(
            counts.acknowledged > before.acknowledged && counts.departures > before.departures,
            "seed {seed}: nothing is acknowledged"
        );
        assert!(model.all_hosts_run(), "seed {seed}: a host is down");
        assert_eq!(model.recover_and_check().err(), None, "seed {seed}");
    }
}
