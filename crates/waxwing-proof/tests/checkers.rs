//! Each checker must detect a seeded violation and accept a valid history; a checker that can't fail
//! would test nothing.

use std::time::Duration;

use test_case::test_case;
use waxwing_core::{ids, reasons};
use waxwing_proof::{checkers, events};

use checkers::SystemGuarantee;
use events::RunEvent;

const REQUEST: ids::RequestId = ids::RequestId(1);
const RESEND: ids::RequestId = ids::RequestId(2);
const FIRST: ids::ChangeId = ids::ChangeId(10);
const SECOND: ids::ChangeId = ids::ChangeId(11);

fn requested(request: ids::RequestId, idempotent: bool, key: Option<&str>) -> RunEvent {
    let key = key.map(Into::into);
    RunEvent::Requested {
        request,
        rank: ids::TierRank(0),
        idempotent,
        key,
    }
}

fn dispatched(request: ids::RequestId) -> RunEvent {
    RunEvent::Dispatched {
        request,
        endpoint: "runner-1".into(),
    }
}

fn refused(outcome: reasons::Outcome) -> RunEvent {
    let reason = reasons::RefusalReason::AgentLost;
    RunEvent::Refused {
        request: REQUEST,
        outcome,
        reason,
    }
}

fn in_force(version: u64, changes: &[ids::ChangeId]) -> RunEvent {
    let version = ids::SettingsVersion(version);
    RunEvent::InForce {
        process: "entry-1".into(),
        version,
        changes: changes.to_vec(),
    }
}

fn accepted(change: ids::ChangeId, version: u64) -> RunEvent {
    RunEvent::ChangeAccepted {
        change,
        version: ids::SettingsVersion(version),
    }
}

fn shed(rank: u8, kept: Option<u8>) -> RunEvent {
    RunEvent::Shed {
        rank: ids::TierRank(rank),
        kept: kept.map(ids::TierRank),
    }
}

/// Builds a history whose events are one second apart and that ends with one reachable entry, which
/// must have every accepted change in force.
fn record(events: Vec<RunEvent>) -> events::RunRecord {
    let mut record = events::RunRecord::default();
    for (second, event) in events.into_iter().enumerate() {
        record.push(Duration::from_secs(second as u64), event);
    }
    record.reachable.push("entry-1".into());
    record.end += Duration::from_secs(60);
    record
}

#[test_case(SystemGuarantee::DispatchedAtMostOnce, vec![dispatched(REQUEST), dispatched(REQUEST)])]
#[test_case(SystemGuarantee::TierOrder, vec![shed(1, Some(2))])]
#[test_case(SystemGuarantee::CompleteAnswer, vec![RunEvent::Answered { request: REQUEST, actual: 1, expected: 2 }])]
#[test_case(SystemGuarantee::AccurateRefusal, vec![refused(reasons::Outcome::NotRun), RunEvent::Executed { request: REQUEST }]; "run after the refusal")]
#[test_case(SystemGuarantee::AccurateRefusal, vec![RunEvent::Executed { request: REQUEST }, refused(reasons::Outcome::NotRun)]; "run before the refusal")]
#[test_case(SystemGuarantee::RunsAtMostOnce, vec![requested(REQUEST, false, None), RunEvent::Executed { request: REQUEST }, RunEvent::Executed { request: REQUEST }]; "same request")]
#[test_case(SystemGuarantee::RunsAtMostOnce, vec![requested(REQUEST, false, Some("k")), requested(RESEND, false, Some("k")), RunEvent::Executed { request: REQUEST }, RunEvent::Executed { request: RESEND }]; "resend of a key")]
#[test_case(SystemGuarantee::NoWorkWhileLeaving, vec![RunEvent::Leaving { endpoint: "runner-1".into() }, shed(0, None), shed(0, None), shed(0, None), shed(0, None), dispatched(REQUEST)])]
#[test_case(SystemGuarantee::GracefulShutdown, vec![RunEvent::InterruptedByShutdown { request: REQUEST }])]
#[test_case(SystemGuarantee::MonotonicSettings, vec![in_force(2, &[FIRST]), in_force(1, &[])]; "version goes back")]
#[test_case(SystemGuarantee::MonotonicSettings, vec![in_force(2, &[FIRST]), in_force(3, &[SECOND])]; "change lost")]
#[test_case(SystemGuarantee::MonotonicSettings, vec![accepted(FIRST, 2), in_force(3, &[SECOND])]; "accepted change never in force")]
#[test_case(SystemGuarantee::MonotonicSettings, vec![accepted(FIRST, 2), shed(0, None), shed(0, None), shed(0, None), shed(0, None), shed(0, None), shed(0, None), shed(0, None), shed(0, None), in_force(2, &[FIRST])]; "in force after nine seconds")]
fn seeded_violation_is_detected(guarantee: SystemGuarantee, events: Vec<RunEvent>) {
    let violation = guarantee
        .check(&record(events))
        .expect_err("the history contains a violation");
    assert_eq!(violation.guarantee, guarantee);
}

/// Guards against a checker that rejects what the guarantees allow.
#[test]
fn valid_history_is_accepted() {
    let events = vec![
        requested(REQUEST, false, Some("k")),
        dispatched(REQUEST),
        RunEvent::Executed { request: REQUEST },
        refused(reasons::Outcome::Unknown),
        requested(RESEND, false, Some("k")),
        RunEvent::Answered {
            request: RESEND,
            actual: 5,
            expected: 5,
        },
        shed(2, Some(1)),
        shed(2, Some(2)),
        in_force(1, &[]),
        accepted(FIRST, 2),
        in_force(2, &[FIRST]),
        in_force(2, &[FIRST]),
        in_force(3, &[FIRST, SECOND]),
    ];
    checkers::check_all(&record(events)).expect("the history violates nothing");
}
