//! Which orders of operators are accepted, and what snapshots keep.

use test_case::test_case;
use waxwing_rollout::{
    errors::OrderError,
    ledger::{OrderRelation, RolloutChange, RolloutLedger, RolloutOrder, RolloutStep},
};
use waxwing_wire::messages::RolloutPhase;

const ORDERED: u64 = 1_800_000_000_000;

fn order(target: &str, ordered_millis: u64) -> RolloutOrder {
    RolloutOrder {
        service: "model".to_owned(),
        target: target.to_owned(),
        period_millis: 12_000,
        ordered_millis,
    }
}

fn ordered(target: &str) -> RolloutLedger {
    let mut ledger = RolloutLedger::default();
    ledger.apply(&RolloutChange {
        order: Some(order(target, ORDERED)),
        step: None,
    });
    ledger
}

fn end(ledger: &mut RolloutLedger, phase: RolloutPhase) {
    let number = ledger.record("model").unwrap().number;
    ledger.apply(&RolloutChange {
        order: None,
        step: Some(RolloutStep {
            service: "model".to_owned(),
            order: number,
            phase: phase.into(),
            reason: "test".to_owned(),
            replaced: vec!["v1".to_owned()],
        }),
    });
}

/// An operator whose answer was lost sends the order again and must not be refused.
#[test_case(RolloutPhase::Active; "in progress")]
#[test_case(RolloutPhase::Completed; "completed")]
#[test_case(RolloutPhase::RolledBack; "rolled back")]
fn repeated_order_is_accepted_and_changes_nothing(phase: RolloutPhase) {
    let mut ledger = ordered("v2");
    if phase != RolloutPhase::Active {
        end(&mut ledger, phase);
    }
    let before = ledger.clone();
    let repeated = order("v2", ORDERED + 4_000);
    assert_eq!(ledger.relate(&repeated), Ok(OrderRelation::Repeated));
    ledger.apply(&RolloutChange {
        order: Some(repeated),
        step: None,
    });
    assert_eq!(ledger.record("model"), before.record("model"));
}

/// Of two operators' orders one wins, and the other one is told so.
#[test]
fn second_order_for_a_service_is_refused() {
    let mut ledger = ordered("v2");
    let second = order("v3", ORDERED + 1);
    assert!(matches!(
        ledger.relate(&second),
        Err(OrderError::InProgress { .. })
    ));
    ledger.apply(&RolloutChange {
        order: Some(second),
        step: None,
    });
    assert_eq!(ledger.record("model").unwrap().order.target, "v2");
}

#[test]
fn order_for_the_current_version_is_refused() {
    let mut ledger = ordered("v2");
    end(&mut ledger, RolloutPhase::Completed);
    let again = order("v2", ORDERED + 60_000);
    assert!(matches!(
        ledger.relate(&again),
        Err(OrderError::CurrentVersion { .. })
    ));
    let back = order("v1", ORDERED + 60_000);
    assert_eq!(ledger.relate(&back), Ok(OrderRelation::New));
}

#[test]
fn version_that_was_rolled_back_may_be_ordered_again() {
    let mut ledger = ordered("v2");
    end(&mut ledger, RolloutPhase::RolledBack);
    let again = order("v2", ORDERED + 60_000);
    assert_eq!(ledger.relate(&again), Ok(OrderRelation::New));
}

#[test_case("v2", 0, false; "no period")]
#[test_case("v2", u64::MAX, false; "absurd period")]
#[test_case("", 12_000, false; "no version")]
#[test_case("v2", 12_000, true; "proper")]
fn values_of_an_order_are_checked(target: &str, period_millis: u64, accepted: bool) {
    let order = RolloutOrder {
        period_millis,
        ..order(target, ORDERED)
    };
    assert_eq!(order.check().is_ok(), accepted);
}

/// A step of an order that has ended, or of an earlier one, comes from a leader that was replaced.
#[test]
fn step_of_an_ended_order_has_no_effect() {
    let mut ledger = ordered("v2");
    end(&mut ledger, RolloutPhase::RolledBack);
    end(&mut ledger, RolloutPhase::Completed);
    let record = ledger.record("model").unwrap();
    assert_eq!(record.phase(), RolloutPhase::RolledBack);
}

#[test]
fn snapshot_keeps_all_roll_outs() {
    let mut ledger = ordered("v2");
    end(&mut ledger, RolloutPhase::Completed);
    let restored = RolloutLedger::from_snapshot(&ledger.to_snapshot()).unwrap();
    assert_eq!(restored, ledger);
}
