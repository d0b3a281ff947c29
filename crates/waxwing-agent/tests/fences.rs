//! Fencing by grants: a request is dispatched at most once, and nothing that may have run is
//! reported as not run.

mod support;

use support::{CoreHarness, INCARNATION, handover, offer, request_bytes};
use waxwing_agent::events::{AgentInput, EndpointEvent};
use waxwing_wire::messages::{self, Body, SettledState};

/// Guards against a duplicate handover that dispatches a request twice, or that is refused as if
/// nothing had run.
#[test]
fn duplicate_handover_runs_once() {
    let mut harness = CoreHarness::new();
    let grant = harness.offer_granted(offer(1, 0));
    harness.receive(Body::Handover(handover(1, grant)));
    harness.receive(Body::Handover(handover(1, grant)));
    harness.receive(Body::Handover(handover(1, grant + 1)));
    assert_eq!(harness.starts().len(), 1);
    let acks = harness.take_acks();
    assert!(
        acks.iter().all(|ack| ack.taken),
        "an acknowledgement says `not-run`"
    );
    // The same holds after the retention of the answer.
    let (run, _) = harness.last_start().expect("a run");
    harness.send_head(run);
    harness.finish_stream(run, 100, 0);
    harness.advance(61_000);
    harness.receive(Body::Handover(handover(1, grant)));
    harness.receive(Body::Offer(offer(1, 0)));
    assert_eq!(harness.starts().len(), 1);
    assert!(harness.take_acks().iter().all(|ack| ack.taken));
    assert!(harness.take_refusals().is_empty() && harness.take_grants().is_empty());
}

/// Guards against running a request on an expired grant, whose capacity may be granted again.
#[test]
fn expired_grant_is_refused() {
    let mut harness = CoreHarness::new();
    let grant = harness.offer_granted(offer(1, 0));
    harness.advance(2_020);
    harness.receive(Body::Handover(handover(1, grant)));
    let acks = harness.take_acks();
    assert!(!acks[0].taken);
    assert_eq!(acks[0].reason, "grant-expired");
    assert!(harness.starts().is_empty());
}

/// Guards against accepting a handover after its grant has expired but before a tick removes it.
#[test]
fn expired_grant_is_refused_before_the_next_tick() {
    let mut harness = CoreHarness::new();
    let grant = harness.offer_granted(offer(1, 0));
    harness.now += std::time::Duration::from_millis(2_000);
    harness.receive(Body::Handover(handover(1, grant)));
    assert!(!harness.take_acks()[0].taken);
}

/// Guards against a handover that is delayed in the network and arrives after its entry was told
/// that it was never received: the request may run elsewhere by then.
#[test]
fn settlement_fences_a_late_handover() {
    let mut harness = CoreHarness::new();
    let grant = harness.offer_granted(offer(1, 0));
    assert_eq!(
        harness.settle(1, grant, INCARNATION),
        SettledState::NeverReceived
    );
    harness.receive(Body::Handover(handover(1, grant)));
    assert!(!harness.take_acks()[0].taken);
    assert!(harness.starts().is_empty());
}

/// Guards against a late handover that runs although an entry that doesn't know the grant was told
/// that the request was never received.
#[test]
fn settlement_without_grant_fences_too() {
    let mut harness = CoreHarness::new();
    let grant = harness.offer_granted(offer(1, 0));
    assert_eq!(
        harness.settle(1, 0, INCARNATION),
        SettledState::NeverReceived
    );
    harness.receive(Body::Handover(handover(1, grant)));
    assert!(!harness.take_acks()[0].taken);
}

/// Guards against a settlement query that is answered with the wrong state.
#[test]
fn settlement_reports_each_state() {
    let mut harness = CoreHarness::new();
    let grant = harness.offer_granted(offer(1, 0));
    assert_eq!(
        harness.settle(1, grant, INCARNATION + 1),
        SettledState::OtherIncarnation
    );
    harness.receive(Body::Handover(handover(1, grant)));
    assert_eq!(harness.settle(1, grant, INCARNATION), SettledState::Running);
    let (run, _) = harness.last_start().expect("a run");
    harness.send_head(run);
    harness.finish_stream(run, 100, 0);
    assert_eq!(
        harness.settle(1, grant, INCARNATION),
        SettledState::Finished
    );
    harness.advance(61_000);
    assert_eq!(
        harness.settle(1, grant, INCARNATION),
        SettledState::Forgotten
    );
    // Once the tombstone has expired, the agent can't prove that the request never ran.
    harness.advance(601_000);
    assert_eq!(
        harness.settle(1, grant, INCARNATION),
        SettledState::Forgotten
    );
    assert_eq!(harness.settle(1, 0, INCARNATION), SettledState::Forgotten);
}

/// Guards against reporting a request as forgotten because the first bytes of its answer were
/// acknowledged and freed.
#[test]
fn acknowledged_request_is_not_reported_as_forgotten() {
    let mut harness = CoreHarness::new();
    let run = harness.start_request(offer(1, 0));
    harness.send_head(run);
    harness.send_tokens(run, 0..3);
    let offset = harness.answer(1).0.len() as u64;
    let request = request_bytes(1);
    harness.receive(Body::AnswerAck(messages::AnswerAck { request, offset }));
    assert_eq!(harness.settle(1, 0, INCARNATION), SettledState::Running);
    harness.finish_stream(run, 100, 0);
    assert_eq!(harness.settle(1, 0, INCARNATION), SettledState::Finished);
}

/// Guards against capacity that stays reserved after its grant was declined or withdrawn.
#[test]
fn declined_and_withdrawn_grants_free_their_capacity() {
    let mut harness = CoreHarness::new();
    let big = |request| messages::Offer {
        prompt_tokens: 60_000,
        output_tokens: 100,
        ..offer(request, 0)
    };
    let grant = harness.offer_granted(big(1));
    harness.receive(Body::Offer(big(2)));
    assert!(
        harness.take_grants().is_empty(),
        "the same capacity was granted twice"
    );
    let request = request_bytes(1);
    harness.receive(Body::Decline(messages::Decline { request, grant }));
    assert_eq!(harness.take_grants()[0].request, request_bytes(2));
    harness.receive(Body::Offer(big(3)));
    let request = request_bytes(2);
    harness.receive(Body::Withdraw(messages::Withdraw { request }));
    assert_eq!(harness.take_grants()[0].request, request_bytes(3));
}

/// Guards against `not-run` for a call that may have reached the endpoint.
#[test]
fn only_a_failed_connect_is_reported_as_not_run() {
    for (event, outcome) in [
        (EndpointEvent::NotSent, "not-run"),
        (EndpointEvent::Failed, "unknown"),
    ] {
        let mut harness = CoreHarness::new();
        let run = harness.start_request(offer(1, 0));
        harness.step(AgentInput::Endpoint { run, event });
        let (_, end) = harness.answer(1);
        let end = end.expect("an end");
        assert!(!end.whole);
        assert_eq!(
            (end.reason.as_str(), end.outcome.as_str()),
            ("endpoint-failed", outcome)
        );
    }
}

/// Guards against a truncated stream that is reported as complete.
#[test]
fn stream_without_its_end_marker_is_incomplete() {
    let mut harness = CoreHarness::new();
    let run = harness.start_request(offer(1, 0));
    harness.send_head(run);
    harness.send_tokens(run, 0..3);
    harness.event(run, EndpointEvent::Ended);
    let (_, end) = harness.answer(1);
    assert!(!end.expect("an end").whole);
}
