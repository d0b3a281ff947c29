//! Scenario tests of requests with an idempotency key: claims, retries and stored answers.

mod support;

use std::time::Duration;

use bytes::Bytes;
use support::{CoreHarness, INCARNATION};
use test_case::test_case;
use waxwing_core::{ids, reasons};
use waxwing_entry::request_core::{CoreAction, CoreEvent};
use waxwing_policy::choice;
use waxwing_wire::messages::{self, Body, SettledState};

/// An earlier request that holds the claim.
const FIRST: u128 = 77;

fn record(request: u128, agent: u32) -> messages::ClaimRecord {
    messages::ClaimRecord {
        request: support::id_bytes(request),
        digest: vec![7; 32],
        agent: agent.to_string(),
        incarnation: INCARNATION,
        epoch: 3,
        result: None,
        address: "127.0.0.1:1".into(),
    }
}

fn stored(whole: bool, body: Option<&'static [u8]>) -> messages::ClaimOutcome {
    messages::ClaimOutcome {
        whole,
        status: 201,
        headers: Vec::new(),
        body: body.map(Bytes::from_static),
    }
}

fn claimed(granted: bool, record: messages::ClaimRecord) -> CoreEvent {
    CoreEvent::Claimed(messages::ClaimResult {
        granted,
        record: Some(record),
    })
}

fn link_up(incarnation: u64) -> CoreEvent {
    CoreEvent::LinkUp {
        agent: choice::EndpointId(0),
        incarnation: ids::Incarnation(incarnation),
    }
}

fn claims(actions: &[CoreAction]) -> Vec<&messages::ClaimKey> {
    let claims = actions.iter().filter_map(|action| match action {
        CoreAction::Claim(key) => Some(key),
        _ => None,
    });
    claims.collect()
}

fn is_handover(body: &Body) -> bool {
    matches!(body, Body::Handover(_))
}

fn handovers(harness: &CoreHarness) -> Vec<u32> {
    support::sent_to(&harness.actions, is_handover)
}

fn reason_of(harness: &CoreHarness) -> Option<(reasons::RefusalReason, reasons::Outcome)> {
    support::refusal(&harness.actions).map(|refusal| (refusal.reason, refusal.outcome))
}

/// A request that holds grant 9 of agent 0 and waits for its claim.
fn claiming() -> CoreHarness {
    let mut harness = CoreHarness::start(Some("k"), |_| {});
    harness.grant(0, 9);
    assert_eq!(claims(&harness.actions).len(), 1);
    harness
}

/// A request that follows the run of an earlier one at agent 0.
fn following() -> CoreHarness {
    let mut harness = claiming();
    harness.feed(claimed(false, record(FIRST, 0)));
    harness.feed(link_up(INCARNATION));
    harness.actions.clear();
    harness
}

/// Guards against a handover without a durable claim.
#[test]
fn handover_waits_for_the_claim() {
    let mut harness = claiming();
    assert_eq!(handovers(&harness), [0_u32; 0]);
    harness.feed(claimed(true, record(1, 0)));
    assert_eq!(handovers(&harness), [0]);
}

/// Guards against a request that runs while the control plane is unavailable, and against a grant
/// that is kept unused.
#[test]
fn unavailable_claim_refuses_the_request() {
    let mut harness = claiming();
    harness.run_for(Duration::from_secs(3));
    assert_eq!(handovers(&harness), [0_u32; 0]);
    let expected = (
        reasons::RefusalReason::ClaimUnavailable,
        reasons::Outcome::NotRun,
    );
    assert_eq!(reason_of(&harness), Some(expected));
    let declined = support::sent_to(&harness.actions, |body| matches!(body, Body::Decline(_)));
    assert_eq!(declined, [0]);
}

/// Guards against a claim that names a different agent than the one that gets the request: after
/// the loss of a grant, the own claim must be replaced, by its epoch, before the handover.
#[test]
fn own_claim_of_an_earlier_grant_is_replaced() {
    let mut harness = claiming();
    harness.feed(CoreEvent::LinkDown {
        agent: choice::EndpointId(0),
    });
    harness.run_for(Duration::from_millis(50));
    harness.grant(1, 4);
    harness.actions.clear();
    // The reply to the first claim arrives late.
    harness.feed(claimed(true, record(1, 0)));
    assert_eq!(handovers(&harness), [0_u32; 0]);
    assert_eq!(claims(&harness.actions)[0].replaces, 3);
    harness.feed(claimed(true, record(1, 1)));
    assert_eq!(handovers(&harness), [1]);
}

/// Guards against running a request with a different body under a key that is already in use.
#[test]
fn different_body_with_the_same_key_is_refused() {
    let mut harness = claiming();
    let mut other = record(FIRST, 0);
    other.digest = vec![8; 32];
    harness.feed(claimed(false, other));
    let expected = (
        reasons::RefusalReason::KeyMismatch,
        reasons::Outcome::NotRun,
    );
    assert_eq!(reason_of(&harness), Some(expected));
    assert_eq!(handovers(&harness), [0_u32; 0]);
}

/// Guards against a retry that runs again or gets only a part of the stored answer.
#[test]
fn retry_gets_the_stored_answer() {
    let mut harness = claiming();
    let mut record = record(FIRST, 0);
    record.result = Some(stored(true, Some(b"recorded")));
    harness.feed(claimed(false, record));
    assert_eq!(support::data(&harness.actions), b"recorded");
    assert!(support::is_finished(&harness.actions));
    assert_eq!(handovers(&harness), [0_u32; 0]);
    let declined = support::sent_to(&harness.actions, |body| matches!(body, Body::Decline(_)));
    assert_eq!(declined, [0], "the unused grant is declined");
}

/// Guards against a retry that takes the answer from the first caller at another entry, and against
/// one that never gets it.
#[test]
fn retry_waits_for_the_result_of_a_running_request() {
    let mut harness = following();
    harness.message(0, 0, support::settled_message(FIRST, SettledState::Running));
    let resumes = |harness: &CoreHarness| {
        support::sent_to(&harness.actions, |body| matches!(body, Body::Resume(_))).len()
    };
    assert_eq!(resumes(&harness), 0);
    assert!(claims(&harness.actions).iter().all(|key| key.lookup));
    harness.feed(claimed(false, record(FIRST, 0)));
    harness.run_for(Duration::from_secs(1));
    harness.message(
        0,
        0,
        support::settled_message(FIRST, SettledState::Finished),
    );
    let mut done = record(FIRST, 0);
    done.result = Some(stored(true, Some(b"recorded")));
    harness.feed(claimed(false, done));
    assert_eq!(support::data(&harness.actions), b"recorded");
    assert_eq!(resumes(&harness), 0);
}

/// Guards against a retry that doesn't read the answer from the agent from its first byte, either
/// because it reached the same entry or because the answer was too long to be stored.
#[test_case(true; "same entry")]
#[test_case(false; "too long to be stored")]
fn retry_reads_the_answer_from_the_agent(local: bool) {
    let mut harness = following();
    harness.context.local = local;
    harness.message(
        0,
        0,
        support::settled_message(FIRST, SettledState::Finished),
    );
    if !local {
        let mut done = record(FIRST, 0);
        done.result = Some(stored(true, None));
        harness.feed(claimed(false, done));
    }
    let answer = b"recorded";
    harness.message(0, 0, support::head_message(FIRST));
    let end = support::complete_end(answer);
    harness.message(0, 0, support::chunk_message(FIRST, 0, answer, Some(end)));
    assert_eq!(support::data(&harness.actions), answer);
    assert!(support::is_finished(&harness.actions));
    assert_eq!(handovers(&harness), [0_u32; 0]);
}

/// Guards against a second run for a key whose first run can't be settled, and against losing an
/// answer stored with the claim.
#[test_case(Some(stored(true, Some(b"recorded"))), true; "stored answer")]
#[test_case(Some(stored(false, None)), false; "stored as incomplete")]
#[test_case(None, false; "no result")]
fn stored_result_survives_an_agent_restart(result: Option<messages::ClaimOutcome>, answered: bool) {
    let mut harness = claiming();
    harness.feed(claimed(false, record(FIRST, 0)));
    harness.feed(link_up(INCARNATION + 1));
    harness.run_for(Duration::ZERO);
    let mut found = record(FIRST, 0);
    found.result = result;
    harness.feed(claimed(false, found));
    harness.run_for(Duration::from_secs(3));
    assert_eq!(support::is_finished(&harness.actions), answered);
    let expected = (
        reasons::RefusalReason::KeyUnknown,
        reasons::Outcome::Unknown,
    );
    assert_eq!(reason_of(&harness), (!answered).then_some(expected));
    assert_eq!(handovers(&harness), [0_u32; 0]);
}

/// Guards against a key that stays unusable after a claim without a handover.
#[test]
fn claim_without_a_run_is_replaced_by_its_epoch() {
    let mut harness = following();
    harness.message(
        0,
        0,
        support::settled_message(FIRST, SettledState::NeverReceived),
    );
    harness.run_for(Duration::from_millis(50));
    harness.actions.clear();
    harness.grant(1, 4);
    assert_eq!(claims(&harness.actions)[0].replaces, 3);
    harness.feed(claimed(true, record(1, 1)));
    assert_eq!(handovers(&harness), [1]);
}

/// Guards against repeating or skipping bytes when a stored answer completes a partly sent one.
#[test]
fn stored_answer_completes_a_partly_sent_one() {
    let mut harness = claiming();
    harness.feed(claimed(true, record(1, 0)));
    harness.message(0, 0, support::head_message(1));
    harness.message(0, 0, support::chunk_message(1, 0, b"reco", None));
    harness.feed(CoreEvent::LinkDown {
        agent: choice::EndpointId(0),
    });
    harness.feed(link_up(INCARNATION + 1));
    harness.run_for(Duration::ZERO);
    let mut done = record(1, 0);
    done.result = Some(stored(true, Some(b"recorded")));
    harness.feed(claimed(false, done));
    assert_eq!(support::data(&harness.actions), b"recorded");
    assert!(support::is_finished(&harness.actions));
}

/// Guards against losing the result for a retry when the first caller disconnects.
#[test]
fn requests_with_a_key_are_not_cancelled() {
    let mut harness = claiming();
    harness.feed(claimed(true, record(1, 0)));
    harness.feed(CoreEvent::CallerGone);
    let cancelled = support::sent_to(&harness.actions, |body| matches!(body, Body::Cancel(_)));
    assert_eq!(cancelled, [0_u32; 0]);
    assert!(harness.core.is_ended());
}

/// Guards against two runs of a key: another entry may have learned that the agent of the first
/// claim never received the request, and be about to replace that claim. A second claim on the same
/// agent would be equal to the first, so that the replacement would succeed in spite of the
/// handover.
#[test]
fn claim_names_an_agent_only_once() {
    let mut harness = claiming();
    harness.feed(CoreEvent::LinkDown {
        agent: choice::EndpointId(0),
    });
    harness.context.agents = vec![0];
    harness.run_for(Duration::from_millis(50));
    harness.actions.clear();
    harness.grant(0, 10);
    assert!(claims(&harness.actions).is_empty());
    let declined = support::sent_to(&harness.actions, |body| matches!(body, Body::Decline(_)));
    assert_eq!(declined, [0]);
    harness.feed(claimed(true, record(1, 0)));
    assert_eq!(handovers(&harness), [0_u32; 0]);
}
