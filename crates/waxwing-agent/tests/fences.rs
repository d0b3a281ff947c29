//! The grant as the fence: a request is dispatched at most once, and no answer says that nothing
//! ran where something may have.

mod support;

use support::{Bench, INCARNATION, bytes_of, handover, offer};
use waxwing_agent::events::{AgentInput, EndpointEvent};
use waxwing_wire::messages::{self, Body, SettledState};

/// Guards against a doubled message that dispatches a request twice, or that is answered as if
/// nothing had run.
#[test]
fn doubled_handover_runs_once() {
    let mut bench = Bench::new();
    let grant = bench.granted(offer(1, 0));
    bench.say(Body::Handover(handover(1, grant)));
    bench.say(Body::Handover(handover(1, grant)));
    bench.say(Body::Handover(handover(1, grant + 1)));
    assert_eq!(bench.starts().len(), 1);
    let acks = bench.take_acks();
    assert!(
        acks.iter().all(|ack| ack.taken),
        "an acknowledgement says `not-run`"
    );
    // Also after the answer is no longer kept.
    let (run, _) = bench.last_start().expect("a run");
    bench.head(run);
    bench.finish(run, 100, 0);
    bench.wait(61_000);
    bench.say(Body::Handover(handover(1, grant)));
    bench.say(Body::Offer(offer(1, 0)));
    assert_eq!(bench.starts().len(), 1);
    assert!(bench.take_acks().iter().all(|ack| ack.taken));
    assert!(bench.take_refusals().is_empty() && bench.take_grants().is_empty());
}

/// Guards against a request that runs on a grant whose room was given away.
#[test]
fn expired_grant_is_refused() {
    let mut bench = Bench::new();
    let grant = bench.granted(offer(1, 0));
    bench.wait(2_020);
    bench.say(Body::Handover(handover(1, grant)));
    let acks = bench.take_acks();
    assert!(!acks[0].taken);
    assert_eq!(acks[0].reason, "grant-expired");
    assert!(bench.starts().is_empty());
}

/// Guards against a hand-over in the last moment, before the tick that removes the grant.
#[test]
fn grant_ends_by_the_clock_and_not_by_the_tick() {
    let mut bench = Bench::new();
    let grant = bench.granted(offer(1, 0));
    bench.now += std::time::Duration::from_millis(2_000);
    bench.say(Body::Handover(handover(1, grant)));
    assert!(!bench.take_acks()[0].taken);
}

/// Guards against a hand-over that was delayed in the network and arrives after its entry was
/// told that it never will: the request may run elsewhere by then.
#[test]
fn settlement_fences_a_late_handover() {
    let mut bench = Bench::new();
    let grant = bench.granted(offer(1, 0));
    assert_eq!(
        bench.settle(1, grant, INCARNATION),
        SettledState::NeverReceived
    );
    bench.say(Body::Handover(handover(1, grant)));
    assert!(!bench.take_acks()[0].taken);
    assert!(bench.starts().is_empty());
}

/// Guards against an asker that doesn't know the grant and gets a wrong proof.
#[test]
fn settlement_without_grant_fences_too() {
    let mut bench = Bench::new();
    let grant = bench.granted(offer(1, 0));
    assert_eq!(bench.settle(1, 0, INCARNATION), SettledState::NeverReceived);
    bench.say(Body::Handover(handover(1, grant)));
    assert!(!bench.take_acks()[0].taken);
}

/// Guards against a settlement that misjudges how far a request has come.
#[test]
fn settlement_tells_each_state() {
    let mut bench = Bench::new();
    let grant = bench.granted(offer(1, 0));
    assert_eq!(
        bench.settle(1, grant, INCARNATION + 1),
        SettledState::OtherIncarnation
    );
    bench.say(Body::Handover(handover(1, grant)));
    assert_eq!(bench.settle(1, grant, INCARNATION), SettledState::Running);
    let (run, _) = bench.last_start().expect("a run");
    bench.head(run);
    bench.finish(run, 100, 0);
    assert_eq!(bench.settle(1, grant, INCARNATION), SettledState::Finished);
    bench.wait(61_000);
    assert_eq!(bench.settle(1, grant, INCARNATION), SettledState::Forgotten);
    // Long after, nothing is remembered and so nothing can be proved.
    bench.wait(601_000);
    assert_eq!(bench.settle(1, grant, INCARNATION), SettledState::Forgotten);
    assert_eq!(bench.settle(1, 0, INCARNATION), SettledState::Forgotten);
}

/// Guards against an asker that is told to give up on a running answer, of which it has
/// acknowledged the beginning.
#[test]
fn acknowledged_bytes_are_not_forgotten_work() {
    let mut bench = Bench::new();
    let run = bench.admit(offer(1, 0));
    bench.head(run);
    bench.tokens(run, 0..3);
    let offset = bench.answer(1).0.len() as u64;
    let request = bytes_of(1);
    bench.say(Body::AnswerAck(messages::AnswerAck { request, offset }));
    assert_eq!(bench.settle(1, 0, INCARNATION), SettledState::Running);
    bench.finish(run, 100, 0);
    assert_eq!(bench.settle(1, 0, INCARNATION), SettledState::Finished);
}

/// Guards against room that stays reserved after its grant was given back.
#[test]
fn declined_and_withdrawn_grants_free_their_room() {
    let mut bench = Bench::new();
    let big = |request| messages::Offer {
        prompt_tokens: 60_000,
        output_tokens: 100,
        ..offer(request, 0)
    };
    let grant = bench.granted(big(1));
    bench.say(Body::Offer(big(2)));
    assert!(bench.take_grants().is_empty(), "two grants share one room");
    let request = bytes_of(1);
    bench.say(Body::Decline(messages::Decline { request, grant }));
    assert_eq!(bench.take_grants()[0].request, bytes_of(2));
    bench.say(Body::Offer(big(3)));
    let request = bytes_of(2);
    bench.say(Body::Withdraw(messages::Withdraw { request }));
    assert_eq!(bench.take_grants()[0].request, bytes_of(3));
}

/// Guards against `not-run` for a call that may have reached the endpoint.
#[test]
fn only_a_failed_connect_is_not_run() {
    for (event, outcome) in [
        (EndpointEvent::NotSent, "not-run"),
        (EndpointEvent::Failed, "unknown"),
    ] {
        let mut bench = Bench::new();
        let run = bench.admit(offer(1, 0));
        bench.step(AgentInput::Endpoint { run, event });
        let (_, end) = bench.answer(1);
        let end = end.expect("an end");
        assert!(!end.whole);
        assert_eq!(
            (end.reason.as_str(), end.outcome.as_str()),
            ("endpoint-failed", outcome)
        );
    }
}

/// Guards against a stream that was cut off and is reported as whole.
#[test]
fn stream_without_its_end_mark_is_not_whole() {
    let mut bench = Bench::new();
    let run = bench.admit(offer(1, 0));
    bench.head(run);
    bench.tokens(run, 0..3);
    bench.event(run, EndpointEvent::Ended);
    let (_, end) = bench.answer(1);
    assert!(!end.expect("an end").whole);
}
