//! Roll-outs of good and bad versions under traffic, and with leaders and entries that are lost.

mod fleet;

use std::time::Duration;

use fleet::{AnswerContext, Behaviour, FleetPlan, SimulatedFleet};
use test_case::test_case;
use waxwing_gate::rollouts::RunOutcome;
use waxwing_wire::messages;

const OK: RunOutcome = RunOutcome {
    failed: false,
    slow: false,
};

const fn failed(failed: bool) -> RunOutcome {
    RunOutcome {
        failed,
        slow: false,
    }
}

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn good(_: AnswerContext<'_>) -> RunOutcome {
    OK
}

/// A service whose answers fail now and then whatever the version, and are slow on some hosts.
fn as_imperfect_as_before(answer: AnswerContext<'_>) -> RunOutcome {
    RunOutcome {
        failed: answer.route == "chat" && answer.draw < 0.14,
        slow: answer.number.is_multiple_of(3) && answer.draw > 0.7,
    }
}

/// Two of the five endpoints under test fail for reasons of their own.
fn unlucky_hosts(answer: AnswerContext<'_>) -> RunOutcome {
    failed(answer.is_target && answer.number < 2 && answer.draw < 0.4)
}

fn fails_at_once(answer: AnswerContext<'_>) -> RunOutcome {
    failed(answer.is_target && answer.draw < 0.25)
}

fn slow_at_once(answer: AnswerContext<'_>) -> RunOutcome {
    RunOutcome {
        failed: false,
        slow: answer.is_target && answer.draw < 0.5,
    }
}

/// Some hosts of the version before fail as often, which must not hide that the new one does.
fn fails_beside_failing_hosts(answer: AnswerContext<'_>) -> RunOutcome {
    let host_fails = !answer.is_target && answer.number.is_multiple_of(3);
    failed((answer.is_target || host_fails) && answer.draw < 0.3)
}

fn fails_on_one_route(answer: AnswerContext<'_>) -> RunOutcome {
    failed(answer.is_target && answer.route == "long" && answer.draw < 0.4)
}

fn fails_after_four_seconds(answer: AnswerContext<'_>) -> RunOutcome {
    failed(answer.is_target && answer.elapsed > seconds(4) && answer.draw < 0.3)
}

/// Fails only once it gets a good part of the traffic.
fn fails_under_load(answer: AnswerContext<'_>) -> RunOutcome {
    failed(answer.is_target && answer.load >= 4 && answer.draw < 0.4)
}

/// A good version takes over before its deadline, whatever the number of entries, and no request is
/// at the version before when its endpoints are stopped.
#[test_case(3, good; "three entries")]
#[test_case(27, good; "27 entries")]
#[test_case(340, good; "340 entries")]
#[test_case(27, as_imperfect_as_before; "failures and slow hosts in both versions")]
#[test_case(27, unlucky_hosts; "hosts that fail for reasons of their own")]
fn good_version_takes_over(entries: usize, behaviour: Behaviour) {
    for seed in 1..=10 {
        let mut fleet = SimulatedFleet::start(FleetPlan {
            seed,
            entries,
            behaviour,
            ..FleetPlan::default()
        });
        fleet.play(seconds(12));
        let reason = fleet.reason();
        assert_eq!(
            fleet.phase(),
            messages::RolloutPhase::Completed,
            "{seed}: {reason}"
        );
        assert_eq!(fleet.seen.cut_off, 0);
    }
}

/// A bad version gets no more of the traffic than the operators allow, and is rolled back.
#[test_case(3, fails_at_once; "fails at once, three entries")]
#[test_case(27, fails_at_once; "fails at once, 27 entries")]
#[test_case(340, fails_at_once; "fails at once, 340 entries")]
#[test_case(27, slow_at_once; "slow at once")]
#[test_case(27, fails_beside_failing_hosts; "fails beside failing hosts of the version before")]
#[test_case(27, fails_on_one_route; "fails on one route")]
#[test_case(27, fails_after_four_seconds; "fails after four seconds")]
#[test_case(27, fails_under_load; "fails under load")]
fn bad_version_is_rolled_back(entries: usize, behaviour: Behaviour) {
    for seed in 1..=10 {
        let mut fleet = SimulatedFleet::start(FleetPlan {
            seed,
            entries,
            behaviour,
            ..FleetPlan::default()
        });
        fleet.play(seconds(20));
        fleet.check_bad_version();
    }
}

/// A service with next to no traffic is decided too, by its deadline.
#[test_case(0.0, good, messages::RolloutPhase::Completed; "none")]
#[test_case(2.0, good, messages::RolloutPhase::Completed; "two a second")]
fn service_with_little_traffic_is_decided(
    rate: f64,
    behaviour: Behaviour,
    expected: messages::RolloutPhase,
) {
    let mut fleet = SimulatedFleet::start(FleetPlan {
        rates: vec![("chat", rate)],
        behaviour,
        ..FleetPlan::default()
    });
    fleet.play(seconds(12));
    assert_eq!(fleet.phase(), expected, "{}", fleet.reason());
}

/// A version without an endpoint by its deadline gets nothing.
#[test]
fn version_that_never_starts_is_rolled_back() {
    let mut fleet = SimulatedFleet::start(FleetPlan {
        targets: 0,
        ..FleetPlan::default()
    });
    fleet.play(seconds(13));
    assert_eq!(fleet.phase(), messages::RolloutPhase::RolledBack);
    assert_eq!(fleet.seen.exposed, 0);
}

/// A new version with too few endpoints doesn't get all the traffic.
#[test]
fn version_without_room_does_not_take_over() {
    let mut fleet = SimulatedFleet::start(FleetPlan {
        targets: 5,
        ..FleetPlan::default()
    });
    fleet.play(seconds(24));
    assert_eq!(fleet.phase(), messages::RolloutPhase::Active);
}

/// The loss of the leader at any time, also right before it commits a step, delays a good version
/// and doesn't spare a bad one.
#[test_case(0)]
#[test_case(2_000)]
#[test_case(5_600)]
#[test_case(7_000)]
#[test_case(8_600)]
fn roll_out_outlives_its_leader(lost_after_millis: u64) {
    for behaviour in [good as Behaviour, fails_at_once, fails_after_four_seconds] {
        let mut fleet = SimulatedFleet::start(FleetPlan {
            entries: 11,
            period: seconds(16),
            behaviour,
            ..FleetPlan::default()
        });
        fleet.play(Duration::from_millis(lost_after_millis));
        fleet.leads = false;
        fleet.play(Duration::from_millis(900));
        fleet.change_leader();
        fleet.play(seconds(20));
        match behaviour(AnswerContext {
            is_target: true,
            number: 0,
            route: "chat",
            elapsed: seconds(10),
            load: 1,
            draw: 0.0,
        })
        .failed
        {
            false => assert_eq!(fleet.phase(), messages::RolloutPhase::Completed),
            true => fleet.check_bad_version(),
        }
        assert_eq!(fleet.seen.cut_off, 0);
    }
}

/// A leader that is lost between the decision on a step and its commit leaves it to the next one.
#[test]
fn step_that_is_not_committed_is_decided_again() {
    let mut fleet = SimulatedFleet::start(FleetPlan {
        period: seconds(16),
        ..FleetPlan::default()
    });
    for _ in 0..2 {
        fleet.loses_steps = true;
        for _ in 0..100 {
            if fleet.leads {
                fleet.play(Duration::from_millis(200));
            }
        }
        assert!(!fleet.leads, "no step was decided");
        fleet.play(Duration::from_millis(600));
        fleet.loses_steps = false;
        fleet.change_leader();
        let promoted = fleet.is_promoted();
        for _ in 0..100 {
            if fleet.is_promoted() == promoted && fleet.seen.ended.is_none() {
                fleet.play(Duration::from_millis(200));
            }
        }
    }
    fleet.play(seconds(6));
    assert_eq!(fleet.phase(), messages::RolloutPhase::Completed);
    assert_eq!(fleet.seen.cut_off, 0);
}

/// An entry that is cut off from the leader stops sending to a version under test once its lease is
/// over, and so does one that was frozen; one that has restarted begins without a share.
#[test]
fn entry_without_a_lease_sends_nothing_to_a_version_under_test() {
    let mut fleet = SimulatedFleet::start(FleetPlan::default());
    fleet.play(seconds(2));
    fleet.cut_entry(0, true);
    fleet.freeze_entry(1, true);
    fleet.play(seconds(3));
    fleet.freeze_entry(1, false);
    fleet.cut_entry(1, true);
    fleet.restart_entry(2);
    fleet.cut_entry(2, true);
    fleet.play(seconds(1));
    let running = fleet.target_running();
    assert!(running.values().all(|count| *count == 0), "{running:?}");
}

/// A roll-out isn't completed while an entry may still use the version before, and goes on once an
/// entry is lost for good.
#[test]
fn lost_entry_delays_completion_only() {
    let mut fleet = SimulatedFleet::start(FleetPlan {
        entries: 5,
        ..FleetPlan::default()
    });
    for _ in 0..60 {
        if !fleet.is_promoted() {
            fleet.play(Duration::from_millis(200));
        }
    }
    assert!(fleet.is_promoted());
    fleet.cut_entry(0, true);
    fleet.freeze_entry(0, true);
    fleet.play(seconds(12));
    assert_eq!(fleet.phase(), messages::RolloutPhase::Completed);
}
