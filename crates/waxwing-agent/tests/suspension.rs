//! Suspension of lower tiers: which requests are suspended, and that callers receive complete
//! answers.

mod support;

use support::{CoreHarness, chat_body, offer, token_event};
use waxwing_agent::{
    events::{AgentInput, EndpointEvent, RunId},
    options,
};
use waxwing_core::counters::CounterEvent;
use waxwing_wire::messages::{self, Body};

/// A bulk generation that takes up most of the admission limit.
fn bulk(request: u128) -> messages::Offer {
    messages::Offer {
        prompt_tokens: 40_000,
        output_tokens: 20_000,
        deadline_millis: 3_000_000,
        ..offer(request, 3)
    }
}

/// An urgent request that doesn't fit next to the bulk one.
fn urgent(request: u128) -> messages::Offer {
    messages::Offer {
        prompt_tokens: 8_000,
        output_tokens: 50,
        ..offer(request, 0)
    }
}

fn start_bulk(harness: &mut CoreHarness, stream: bool) -> RunId {
    harness.start_request_with(bulk(1), |handover| {
        handover.body = chat_body("write much", stream);
        handover.deadline_millis = 3_000_000;
    })
}

/// Runs an urgent request to completion while the bulk one, which has five tokens and receives a
/// sixth after its cancellation, is suspended; returns the resumed run of the bulk one.
fn interrupt(harness: &mut CoreHarness, run: RunId, late: &str) -> RunId {
    let urgent_run = harness.start_request(urgent(2));
    assert_eq!(harness.stops(), vec![run]);
    // Bytes of the stopped run may still be in transit.
    harness.send_data(run, late);
    harness.send_data(run, &token_event(6)[..20]);
    harness.event(run, EndpointEvent::Failed);
    harness.advance(1_000);
    harness.send_head(urgent_run);
    harness.finish_stream(urgent_run, 8_000, 0);
    harness.advance(100);
    // A cancellation still in transit would cancel the resumed run, which has the same id.
    assert_eq!(
        harness.starts().len(),
        2,
        "resumed before the engine confirmed the cancellation"
    );
    let kv = Some(bytes::Bytes::from_static(b"cache"));
    harness.step(AgentInput::Stopped { run, kv });
    let (resumed, call) = harness.last_start().expect("a run");
    assert_ne!(resumed, urgent_run, "the bulk request was not resumed");
    assert_eq!(
        call.import.as_deref(),
        Some(&b"cache"[..]),
        "the exported cache is lost"
    );
    let body: serde_json::Value = serde_json::from_slice(&call.body).expect("a body");
    assert_eq!(body["resume_tokens"], 6);
    harness.send_data(run, &token_event(99));
    resumed
}

/// Guards against missing, repeated or reordered tokens in a stream that was suspended.
#[test]
fn suspended_stream_is_complete() {
    let mut harness = CoreHarness::new();
    let run = start_bulk(&mut harness, true);
    harness.send_head(run);
    harness.send_tokens(run, 0..5);
    // Part of an event arrives before the run is stopped.
    harness.send_data(run, &token_event(5)[..20]);
    let resumed = interrupt(&mut harness, run, &token_event(5)[20..]);
    harness.send_head(resumed);
    let role = r#"data: {"choices":[{"index":0,"delta":{"role":"assistant"}}]}"#;
    harness.send_data(resumed, &format!("{role}\n\n"));
    harness.send_tokens(resumed, 6..9);
    harness.finish_stream(resumed, 40_000, 39_000);
    let (received, end) = harness.answer(1);
    assert!(end.expect("an end").whole);
    let text = String::from_utf8(received).expect("text");
    let expected: String = (0..9).map(token_event).collect();
    assert!(text.starts_with(&expected), "unexpected stream: {text}");
    assert_eq!(text.matches("content").count(), 9);
    assert!(text.ends_with("data: [DONE]\n\n"));
    assert_eq!(harness.counters.event(CounterEvent::Suspensions), 1);
    assert_eq!(harness.counters.event(CounterEvent::Resumptions), 1);
}

/// Guards against a single-object answer that contains only the tokens of the last run.
#[test]
fn suspended_object_is_complete() {
    let mut harness = CoreHarness::new();
    let run = start_bulk(&mut harness, false);
    harness.send_head(run);
    harness.send_tokens(run, 0..5);
    let resumed = interrupt(&mut harness, run, &token_event(5));
    harness.send_head(resumed);
    harness.send_tokens(resumed, 6..9);
    harness.finish_stream(resumed, 40_000, 39_000);
    let (received, end) = harness.answer(1);
    assert!(end.expect("an end").whole);
    let object: serde_json::Value = serde_json::from_slice(&received).expect("an object");
    let content = object["choices"][0]["message"]["content"].as_str();
    assert_eq!(content, Some("t0 t1 t2 t3 t4 t5 t6 t7 t8 "));
}

/// Guards against repeated prefill that is not counted as wasted, or useful prefill that is.
#[test]
fn repeated_prefill_is_counted() {
    let mut harness = CoreHarness::new();
    let run = start_bulk(&mut harness, true);
    harness.send_head(run);
    harness.send_tokens(run, 0..5);
    let resumed = interrupt(&mut harness, run, &token_event(5));
    harness.send_head(resumed);
    harness.send_tokens(resumed, 6..7);
    harness.finish_stream(resumed, 40_000, 39_000);
    assert_eq!(
        harness.counters.event(CounterEvent::WastedPrefillSuspended),
        1_000
    );
    assert_eq!(harness.counters.event(CounterEvent::PrefillTokens), 49_000);
}

/// Guards against suspending a call that is not idempotent or can't be resumed at a token.
#[test]
fn non_resumable_call_is_never_suspended() {
    let tools = br#"{"model":"m","messages":[],"tools":[{"type":"function"}]}"#;
    for idempotent in [false, true] {
        let mut harness = CoreHarness::new();
        let run = harness.start_request_with(
            messages::Offer {
                idempotent,
                ..bulk(1)
            },
            |handover| {
                if idempotent {
                    handover.body = bytes::Bytes::from_static(tools);
                }
            },
        );
        harness.send_head(run);
        harness.send_tokens(run, 0..5);
        harness.receive(Body::Offer(urgent(2)));
        harness.advance(3_000);
        assert!(harness.stops().is_empty(), "idempotent: {idempotent}");
        assert!(harness.take_grants().is_empty());
    }
}

/// Guards against a second dispatch: before its first token a call could only be sent again, which
/// would repeat its prefill.
#[test]
fn call_without_a_token_is_not_suspended() {
    let mut harness = CoreHarness::new();
    let run = harness.start_request(bulk(1));
    harness.receive(Body::Offer(urgent(2)));
    harness.advance(3_000);
    assert!(harness.stops().is_empty());
    harness.send_head(run);
    harness.advance(1_000);
    assert!(harness.stops().is_empty());
    harness.send_tokens(run, 0..1);
    assert_eq!(harness.stops(), vec![run]);
}

/// Guards against resuming a generation that completed just before its cancellation.
#[test]
fn generation_completed_before_its_cancellation_is_not_resumed() {
    let mut harness = CoreHarness::new();
    let run = start_bulk(&mut harness, true);
    harness.send_head(run);
    harness.send_tokens(run, 0..5);
    harness.offer_granted(urgent(2));
    assert_eq!(harness.stops(), vec![run]);
    harness.send_data(run, &token_event(5));
    harness.finish_stream(run, 40_000, 0);
    harness.step(AgentInput::Stopped { run, kv: None });
    harness.advance(3_000);
    assert_eq!(
        harness.starts().len(),
        1,
        "a complete answer was started again"
    );
    let (received, end) = harness.answer(1);
    assert!(end.expect("an end").whole);
    let text = String::from_utf8(received).expect("text");
    assert_eq!(text.matches("content").count(), 6);
}

/// Guards against treating an error response of the engine as a token stream and resuming it.
#[test]
fn error_answer_is_not_suspended() {
    let mut harness = CoreHarness::new();
    let run = harness.start_request(bulk(1));
    let (status, headers) = (400, Vec::new());
    harness.event(run, EndpointEvent::Head { status, headers });
    harness.send_data(run, "no such");
    harness.receive(Body::Offer(urgent(2)));
    harness.advance(3_000);
    assert!(harness.stops().is_empty());
    harness.send_data(run, " field");
    harness.event(run, EndpointEvent::Ended);
    let (received, end) = harness.answer(1);
    assert_eq!(received, b"no such field");
    assert!(end.expect("an end").whole);
}

/// Guards against a cancellation that overtakes a resumed call in transit to the engine.
#[test]
fn resumed_call_is_not_suspended_before_a_token() {
    let mut harness = CoreHarness::new();
    let run = start_bulk(&mut harness, true);
    harness.send_head(run);
    harness.send_tokens(run, 0..5);
    let resumed = interrupt(&mut harness, run, &token_event(5));
    harness.receive(Body::Offer(urgent(3)));
    harness.advance(3_000);
    assert_eq!(harness.stops(), vec![run]);
    harness.send_head(resumed);
    harness.send_tokens(resumed, 6..7);
    assert_eq!(harness.stops(), vec![run, resumed]);
}

/// Guards against suspending an equal or higher tier.
#[test]
fn only_lower_tiers_are_suspended() {
    let mut harness = CoreHarness::new();
    let run = harness.start_request(messages::Offer { rank: 0, ..bulk(1) });
    harness.send_head(run);
    harness.send_tokens(run, 0..5);
    harness.receive(Body::Offer(urgent(2)));
    harness.advance(3_000);
    assert!(harness.stops().is_empty());
}

/// Guards against suspending requests that free no capacity, or more requests than needed.
#[test]
fn no_more_requests_are_suspended_than_needed() {
    let mut harness = CoreHarness::new();
    let small = |request| messages::Offer {
        prompt_tokens: 18_000,
        output_tokens: 2_000,
        deadline_millis: 3_000_000,
        ..offer(request, 3)
    };
    let mut runs = Vec::new();
    for request in 1..=3 {
        let run = harness.start_request(small(request));
        harness.send_head(run);
        harness.send_tokens(run, 0..2);
        runs.push(run);
    }
    harness.offer_granted(urgent(9));
    assert_eq!(
        harness.stops(),
        vec![runs[2]],
        "suspending the newest request frees enough capacity"
    );
}

/// Guards against a suspended request whose answer does not end at the deadline.
#[test]
fn suspended_request_ends_at_its_deadline() {
    let mut harness = CoreHarness::new();
    let run = harness.start_request_with(
        messages::Offer {
            output_tokens: 19_000,
            ..bulk(1)
        },
        |handover| handover.deadline_millis = 5_000,
    );
    harness.send_head(run);
    harness.send_tokens(run, 0..5);
    let urgent_run = harness.start_request(urgent(2));
    harness.step(AgentInput::Stopped { run, kv: None });
    harness.send_head(urgent_run);
    harness.send_tokens(urgent_run, 0..140);
    let (_, end) = harness.answer(1);
    let end = end.expect("an end");
    assert_eq!(
        (end.reason.as_str(), end.outcome.as_str()),
        ("deadline-passed", "unknown")
    );
    assert_eq!(
        harness.counters.event(CounterEvent::WastedPrefillDeadline),
        40_000
    );
}

/// Guards against sending work to an engine that responds but makes no progress.
#[test]
fn stalled_engine_gets_one_request_at_a_time() {
    let limits = options::AgentLimits {
        progress_limit_ms: 3_000,
        ..options::AgentLimits::default()
    };
    let mut harness = CoreHarness::with(limits, support::engine_info());
    harness.start_request(offer(1, 0));
    harness.start_request(offer(2, 0));
    harness.advance(3_200);
    for request in 1..=2 {
        let (_, end) = harness.answer(request);
        let end = end.expect("an end");
        assert_eq!(
            (end.reason.as_str(), end.outcome.as_str()),
            ("endpoint-failed", "unknown")
        );
    }
    harness.receive(Body::Offer(offer(3, 0)));
    assert_eq!(harness.take_refusals()[0].reason, "endpoint-failed");
    harness.advance(2_100);
    let run = harness.start_request(offer(4, 0));
    harness.receive(Body::Offer(offer(5, 0)));
    assert!(
        harness.take_grants().is_empty(),
        "more than one probe request"
    );
    harness.send_head(run);
    harness.send_tokens(run, 0..1);
    assert_eq!(harness.take_grants().len(), 1);
}
