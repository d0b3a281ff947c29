//! Each checker must catch a planted violation and pass a record that is right; a checker that
//! can't fail would prove nothing.

use std::time::Duration;

use test_case::test_case;
use waxwing_core::{ids, reasons};
use waxwing_proof::{checkers, events};

use checkers::SystemPromise;
use events::RunEvent;

const REQUEST: ids::RequestId = ids::RequestId(1);
const RESEND: ids::RequestId = ids::RequestId(2);
const FIRST: ids::ChangeId = ids::ChangeId(10);
const SECOND: ids::ChangeId = ids::ChangeId(11);

fn asked(request: ids::RequestId, idempotent: bool, key: Option<&str>) -> RunEvent {
    let key = key.map(Into::into);
    RunEvent::Asked {
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

/// Builds a record whose events lie one second apart, from which one reachable entry is expected
/// to have every accepted change in force.
fn record(events: Vec<RunEvent>) -> events::RunRecord {
    let mut record = events::RunRecord::default();
    for (second, event) in events.into_iter().enumerate() {
        record.push(Duration::from_secs(second as u64), event);
    }
    record.reachable.push("entry-1".into());
    record.end += Duration::from_secs(60);
    record
}

#[test_case(SystemPromise::DispatchedOnce, vec![dispatched(REQUEST), dispatched(REQUEST)])]
#[test_case(SystemPromise::TierOrder, vec![shed(1, Some(2))])]
#[test_case(SystemPromise::WholeAnswer, vec![RunEvent::Answered { request: REQUEST, found: 1, expected: 2 }])]
#[test_case(SystemPromise::TrueRefusal, vec![refused(reasons::Outcome::NotRun), RunEvent::Ran { request: REQUEST }]; "run after the refusal")]
#[test_case(SystemPromise::TrueRefusal, vec![RunEvent::Ran { request: REQUEST }, refused(reasons::Outcome::NotRun)]; "run before the refusal")]
#[test_case(SystemPromise::RunsOnce, vec![asked(REQUEST, false, None), RunEvent::Ran { request: REQUEST }, RunEvent::Ran { request: REQUEST }]; "same request")]
#[test_case(SystemPromise::RunsOnce, vec![asked(REQUEST, false, Some("k")), asked(RESEND, false, Some("k")), RunEvent::Ran { request: REQUEST }, RunEvent::Ran { request: RESEND }]; "resend of a key")]
#[test_case(SystemPromise::LeavingIdle, vec![RunEvent::Leaving { endpoint: "runner-1".into() }, shed(0, None), shed(0, None), shed(0, None), shed(0, None), dispatched(REQUEST)])]
#[test_case(SystemPromise::ShutdownWhole, vec![RunEvent::CutByShutdown { request: REQUEST }])]
#[test_case(SystemPromise::SettingsForward, vec![in_force(2, &[FIRST]), in_force(1, &[])]; "version goes back")]
#[test_case(SystemPromise::SettingsForward, vec![in_force(2, &[FIRST]), in_force(3, &[SECOND])]; "change lost")]
#[test_case(SystemPromise::SettingsForward, vec![accepted(FIRST, 2), in_force(3, &[SECOND])]; "accepted change never in force")]
#[test_case(SystemPromise::SettingsForward, vec![accepted(FIRST, 2), shed(0, None), shed(0, None), shed(0, None), shed(0, None), shed(0, None), shed(0, None), shed(0, None), shed(0, None), in_force(2, &[FIRST])]; "in force after nine seconds")]
fn planted_violation_is_caught(promise: SystemPromise, events: Vec<RunEvent>) {
    let violation = promise
        .check(&record(events))
        .expect_err("the violation was planted");
    assert_eq!(violation.promise, promise);
}

/// Guards against a checker that refuses what the promises allow.
#[test]
fn allowed_record_passes() {
    let events = vec![
        asked(REQUEST, false, Some("k")),
        dispatched(REQUEST),
        RunEvent::Ran { request: REQUEST },
        refused(reasons::Outcome::Unknown),
        asked(RESEND, false, Some("k")),
        RunEvent::Answered {
            request: RESEND,
            found: 5,
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
    checkers::check_all(&record(events)).expect("nothing is broken");
}
