//! Delivery of answers: flow-control windows, memory limits, lost entries, disconnected callers,
//! and claim completions.

mod support;

use bytes::Bytes;
use support::{
    CoreHarness, LINK, non_idempotent_offer, offer, plain_info, request_bytes, token_event,
};
use waxwing_agent::{
    events::{AgentInput, AgentOutput, EndpointEvent, LinkId, RunId},
    options,
};
use waxwing_core::{counters::CounterEvent, units};
use waxwing_wire::messages::{self, Body};

fn plain_harness(limits: options::AgentLimits) -> CoreHarness {
    CoreHarness::with(limits, plain_info())
}

/// Starts a non-idempotent call of a plain endpoint, with a claim if wanted.
fn start_plain(harness: &mut CoreHarness, request: u128, claim: bool) -> RunId {
    let run = harness.start_request_with(non_idempotent_offer(request), |handover| {
        handover.path = "/orders-book".to_owned();
        handover.claim = claim.then(|| messages::ClaimName {
            account: "shop".to_owned(),
            service: "register".to_owned(),
            key: "k1".to_owned(),
        });
    });
    harness.send_head(run);
    run
}

fn block(bytes: usize) -> EndpointEvent {
    EndpointEvent::Data(Bytes::from(vec![7; bytes]))
}

fn ack(request: u128, offset: u64) -> Body {
    let request = request_bytes(request);
    Body::AnswerAck(messages::AnswerAck { request, offset })
}

fn resume(harness: &mut CoreHarness, link: LinkId, request: u128, offset: u64) {
    let request = request_bytes(request);
    let body = Body::Resume(messages::Resume { request, offset });
    harness.step(AgentInput::Message {
        link,
        correlation: 0,
        body,
    });
}

fn pause_outputs(harness: &CoreHarness) -> Vec<AgentOutput> {
    let outputs = harness.log.iter();
    let pauses = outputs.filter(|output| {
        matches!(
            output,
            AgentOutput::PauseReading(_) | AgentOutput::ResumeReading(_)
        )
    });
    pauses.cloned().collect()
}

/// Guards against one slow caller that fills the agent's memory or delays other answers.
#[test]
fn slow_caller_pauses_only_its_own_call() {
    let mut harness = plain_harness(options::AgentLimits::default());
    let slow = start_plain(&mut harness, 1, false);
    let fast = start_plain(&mut harness, 2, false);
    for part in 1..=8 {
        harness.event(slow, block(64 * 1024));
        harness.event(fast, block(64 * 1024));
        harness.receive(ack(2, part * 64 * 1024));
    }
    let window = 256 * 1024;
    assert_eq!(
        harness.answer(1).0.len(),
        window,
        "more than a window is unacknowledged"
    );
    assert_eq!(harness.answer(2).0.len(), 2 * window);
    assert_eq!(
        pause_outputs(&harness),
        vec![AgentOutput::PauseReading(slow)]
    );
    harness.event(slow, EndpointEvent::Ended);
    harness.receive(ack(1, window as u64));
    assert_eq!(harness.answer(1).0.len(), 2 * window);
    assert!(harness.answer(1).1.expect("an end").whole);
}

/// Guards against a call that stays paused after its caller has caught up.
#[test]
fn paused_call_continues_when_the_caller_catches_up() {
    let mut harness = plain_harness(options::AgentLimits::default());
    let run = start_plain(&mut harness, 1, false);
    harness.event(run, block(300 * 1024));
    harness.receive(ack(1, 256 * 1024));
    assert_eq!(
        pause_outputs(&harness),
        vec![
            AgentOutput::PauseReading(run),
            AgentOutput::ResumeReading(run)
        ]
    );
}

/// Guards against an acknowledgement beyond the bytes sent, which would free unsent bytes.
#[test]
fn acknowledgement_is_limited_to_the_sent_bytes() {
    let mut harness = plain_harness(options::AgentLimits::default());
    let run = start_plain(&mut harness, 1, false);
    harness.event(run, block(300 * 1024));
    harness.receive(ack(1, u64::MAX));
    harness.event(run, EndpointEvent::Ended);
    let (received, end) = harness.answer(1);
    assert_eq!(received.len(), 300 * 1024);
    assert!(end.expect("an end").whole);
}

/// Guards against unbounded memory for answers that callers don't fetch.
#[test]
fn kept_bytes_are_bounded() {
    let kept_bytes = units::ByteCount(300_000);
    let mut harness = plain_harness(options::AgentLimits {
        kept_bytes,
        ..options::AgentLimits::default()
    });
    for request in 1..=5 {
        let run = start_plain(&mut harness, request, true);
        harness.event(run, block(100_000));
        harness.event(run, EndpointEvent::Ended);
        harness.advance(200);
    }
    assert!(
        harness.core.kept_bytes() <= kept_bytes,
        "kept {}",
        harness.core.kept_bytes()
    );
    // The newest answer is still available; the oldest is reported as gone.
    harness.log.clear();
    resume(&mut harness, LINK, 5, 0);
    assert!(harness.answer(5).1.expect("an end").whole);
    resume(&mut harness, LINK, 1, 0);
    let end = harness.answer(1).1.expect("an end");
    assert_eq!((end.whole, end.outcome.as_str()), (false, "unknown"));
}

/// Guards against idempotent work that continues after its entry is gone.
#[test]
fn lost_entry_cancels_idempotent_work() {
    let mut harness = CoreHarness::new();
    let run = harness.start_request(offer(1, 0));
    harness.send_head(run);
    harness.send_tokens(run, 0..3);
    harness.step(AgentInput::LinkClosed { link: LINK });
    harness.advance(4_900);
    assert!(harness.stops().is_empty(), "cancelled before 5 s");
    harness.advance(300);
    assert_eq!(harness.stops(), vec![run]);
    assert_eq!(
        harness.counters.event(CounterEvent::WastedPrefillCaller),
        100
    );
}

/// Guards against a non-idempotent call that is cancelled with its entry, or whose answer is lost.
#[test]
fn lost_entry_keeps_non_idempotent_work_and_its_answer() {
    let mut harness = plain_harness(options::AgentLimits::default());
    let run = start_plain(&mut harness, 1, true);
    harness.step(AgentInput::LinkClosed { link: LINK });
    harness.advance(10_000);
    // More than a window, without an entry to acknowledge it.
    harness.event(run, block(600_000));
    harness.event(run, EndpointEvent::Ended);
    assert!(harness.stops().is_empty());
    assert!(
        pause_outputs(&harness).is_empty(),
        "paused for a link that is closed"
    );
    let other = LinkId(2);
    harness.step(AgentInput::LinkOpened { link: other });
    resume(&mut harness, other, 1, 0);
    for part in 1..=3 {
        harness.step(AgentInput::Message {
            link: other,
            correlation: 0,
            body: ack(1, part * 256 * 1024),
        });
    }
    let (received, end) = harness.answer(1);
    assert_eq!(received.len(), 600_000);
    assert!(end.expect("an end").whole);
}

/// Guards against bytes that are lost or duplicated when an entry changes its link.
#[test]
fn answer_resumes_at_its_offset() {
    let mut harness = CoreHarness::new();
    let run = harness.start_request(offer(1, 0));
    harness.send_head(run);
    harness.send_tokens(run, 0..4);
    harness.step(AgentInput::LinkClosed { link: LINK });
    harness.send_tokens(run, 4..6);
    let received = token_event(0).len() * 3;
    harness.log.clear();
    let other = LinkId(2);
    harness.step(AgentInput::LinkOpened { link: other });
    resume(&mut harness, other, 1, received as u64);
    harness.finish_stream(run, 100, 0);
    let chunks = harness.take_messages(|body| match body {
        Body::AnswerChunk(chunk) => Some(chunk.clone()),
        _ => None,
    });
    assert_eq!(chunks[0].offset, received as u64);
    let text: Vec<u8> = chunks
        .iter()
        .flat_map(|chunk| chunk.data.to_vec())
        .collect();
    let expected: String = (3..6).map(token_event).collect();
    assert!(text.starts_with(expected.as_bytes()));
}

/// Guards against discarding an answer once all its bytes are acknowledged, although the message
/// with its end was lost with the link.
#[test]
fn end_of_an_acknowledged_answer_can_be_resent() {
    let mut harness = CoreHarness::new();
    let run = harness.start_request(offer(1, 0));
    harness.send_head(run);
    harness.finish_stream(run, 100, 0);
    let total = harness.answer(1).0.len() as u64;
    harness.receive(ack(1, total));
    harness.step(AgentInput::LinkClosed { link: LINK });
    harness.log.clear();
    harness.step(AgentInput::LinkOpened { link: LinkId(2) });
    resume(&mut harness, LinkId(2), 1, total);
    let ends = harness.take_messages(|body| match body {
        Body::AnswerChunk(chunk) => chunk.end.clone(),
        _ => None,
    });
    assert!(ends[0].whole && ends[0].total_bytes == total);
}

/// Guards against an engine that continues to compute for a disconnected caller, and against wasted
/// prefill that is not counted.
#[test]
fn disconnected_caller_is_cancelled_at_once_and_counted() {
    let mut harness = CoreHarness::new();
    let long = |request| messages::Offer {
        prompt_tokens: 8_000,
        ..offer(request, 0)
    };
    let run = harness.start_request(long(1));
    harness.advance(1_000);
    let request = request_bytes(1);
    harness.receive(Body::Cancel(messages::Cancel { request }));
    assert_eq!(harness.stops(), vec![run]);
    // 1 s of prefill at 4,000 tokens/s, of 8,000 tokens.
    assert_eq!(
        harness.counters.event(CounterEvent::WastedPrefillCaller),
        4_000
    );
    assert_eq!(harness.core.running(), 0);
    // A cancellation before the handover wastes no prefill and revokes the grant.
    let grant = harness.offer_granted(long(2));
    let request = request_bytes(2);
    harness.receive(Body::Cancel(messages::Cancel { request }));
    harness.receive(Body::Handover(support::handover(2, grant)));
    assert_eq!(harness.starts().len(), 1);
    assert_eq!(
        harness.counters.event(CounterEvent::WastedPrefillCaller),
        4_000
    );
}

/// Guards against a non-idempotent call that is cancelled because its caller has disconnected, so
/// that its result stays unknown.
#[test]
fn disconnected_caller_does_not_cancel_non_idempotent_work() {
    let mut harness = plain_harness(options::AgentLimits::default());
    start_plain(&mut harness, 1, true);
    let request = request_bytes(1);
    harness.receive(Body::Cancel(messages::Cancel { request }));
    assert!(harness.stops().is_empty());
}

/// Guards against a result that is lost with a control host, or that prevents an agent from
/// shutting down.
#[test]
fn completion_is_retried_until_it_is_durable() {
    let mut harness = plain_harness(options::AgentLimits::default());
    let run = start_plain(&mut harness, 1, true);
    harness.event(run, block(10));
    harness.event(run, EndpointEvent::Ended);
    harness.receive(ack(1, 10));
    harness.advance(30_000);
    let completions: Vec<_> = harness.log.iter().filter_map(completion).collect();
    assert!(completions.len() > 1, "the completion was not retried");
    assert!(completions.iter().all(|other| *other == completions[0]));
    let (correlation, completion) = completions[0].clone();
    let result = completion.result.expect("a result");
    assert_eq!((result.whole, result.status), (true, 200));
    assert_eq!(result.body.expect("a body").len(), 10);
    harness.step(AgentInput::Control {
        correlation,
        body: Body::ClaimCompleted(messages::ClaimCompleted {}),
    });
    harness.log.clear();
    harness.advance(60_000);
    assert!(
        harness
            .log
            .iter()
            .all(|output| completion_message(output).is_none())
    );
    assert!(harness.core.is_drained());
}

fn completion(output: &AgentOutput) -> Option<(u64, messages::CompleteClaim)> {
    let (correlation, body) = completion_message(output)?;
    Some((correlation, body.clone()))
}

fn completion_message(output: &AgentOutput) -> Option<(u64, &messages::CompleteClaim)> {
    match output {
        AgentOutput::Control {
            correlation,
            body: Body::CompleteClaim(completion),
        } => Some((*correlation, completion)),
        _ => None,
    }
}
