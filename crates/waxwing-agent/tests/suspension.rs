//! Suspension of lower tiers: who is suspended, and that a caller never notices.

mod support;

use support::{Bench, chat_body, offer, token_event};
use waxwing_agent::{
    events::{AgentInput, EndpointEvent, RunId},
    options,
};
use waxwing_core::counters::CounterEvent;
use waxwing_wire::messages::{self, Body};

/// A bulk generation that fills the limit.
fn bulk(request: u128) -> messages::Offer {
    messages::Offer {
        prompt_tokens: 40_000,
        output_tokens: 20_000,
        deadline_millis: 3_000_000,
        ..offer(request, 3)
    }
}

/// An urgent request that doesn't fit beside the bulk one.
fn urgent(request: u128) -> messages::Offer {
    messages::Offer {
        prompt_tokens: 8_000,
        output_tokens: 50,
        ..offer(request, 0)
    }
}

fn admit_bulk(bench: &mut Bench, stream: bool) -> RunId {
    bench.admit_with(bulk(1), |handover| {
        handover.body = chat_body("write much", stream);
        handover.deadline_millis = 3_000_000;
    })
}

/// Runs the urgent request to its end and lets the bulk one go on, after five tokens and one that
/// arrives late; returns its new run.
fn interrupt(bench: &mut Bench, run: RunId, late: &str) -> RunId {
    let urgent_run = bench.admit(urgent(2));
    assert_eq!(bench.stops(), vec![run]);
    // Bytes of the stopped run may still be on their way.
    bench.data(run, late);
    bench.data(run, &token_event(6)[..20]);
    bench.event(run, EndpointEvent::Failed);
    bench.wait(1_000);
    bench.head(urgent_run);
    bench.finish(urgent_run, 8_000, 0);
    bench.wait(100);
    // A cancellation that is still on its way would hit the resumed run, which has the same id.
    assert_eq!(
        bench.starts().len(),
        2,
        "went on before the engine confirmed the cancellation"
    );
    let kv = Some(bytes::Bytes::from_static(b"cache"));
    bench.step(AgentInput::Stopped { run, kv });
    let (resumed, call) = bench.last_start().expect("a run");
    assert_ne!(resumed, urgent_run, "the bulk request did not go on");
    assert_eq!(
        call.import.as_deref(),
        Some(&b"cache"[..]),
        "the exported cache is lost"
    );
    let body: serde_json::Value = serde_json::from_slice(&call.body).expect("a body");
    assert_eq!(body["resume_tokens"], 6);
    bench.data(run, &token_event(99));
    resumed
}

/// Guards against a suspended answer that lacks, repeats or reorders tokens.
#[test]
fn suspended_stream_is_whole() {
    let mut bench = Bench::new();
    let run = admit_bulk(&mut bench, true);
    bench.head(run);
    bench.tokens(run, 0..5);
    // Half an event arrives before the run is stopped.
    bench.data(run, &token_event(5)[..20]);
    let resumed = interrupt(&mut bench, run, &token_event(5)[20..]);
    bench.head(resumed);
    let role = r#"data: {"choices":[{"index":0,"delta":{"role":"assistant"}}]}"#;
    bench.data(resumed, &format!("{role}\n\n"));
    bench.tokens(resumed, 6..9);
    bench.finish(resumed, 40_000, 39_000);
    let (received, end) = bench.answer(1);
    assert!(end.expect("an end").whole);
    let text = String::from_utf8(received).expect("text");
    let expected: String = (0..9).map(token_event).collect();
    assert!(text.starts_with(&expected), "unexpected stream: {text}");
    assert_eq!(text.matches("content").count(), 9);
    assert!(text.ends_with("data: [DONE]\n\n"));
    assert_eq!(bench.counters.event(CounterEvent::Suspensions), 1);
    assert_eq!(bench.counters.event(CounterEvent::Resumptions), 1);
}

/// Guards against an object that holds only the tokens of the last run.
#[test]
fn suspended_object_is_whole() {
    let mut bench = Bench::new();
    let run = admit_bulk(&mut bench, false);
    bench.head(run);
    bench.tokens(run, 0..5);
    let resumed = interrupt(&mut bench, run, &token_event(5));
    bench.head(resumed);
    bench.tokens(resumed, 6..9);
    bench.finish(resumed, 40_000, 39_000);
    let (received, end) = bench.answer(1);
    assert!(end.expect("an end").whole);
    let object: serde_json::Value = serde_json::from_slice(&received).expect("an object");
    let content = object["choices"][0]["message"]["content"].as_str();
    assert_eq!(content, Some("t0 t1 t2 t3 t4 t5 t6 t7 t8 "));
}

/// Guards against repeated prefill that is not counted, or useful prefill that is counted as
/// wasted.
#[test]
fn repeated_prefill_is_counted() {
    let mut bench = Bench::new();
    let run = admit_bulk(&mut bench, true);
    bench.head(run);
    bench.tokens(run, 0..5);
    let resumed = interrupt(&mut bench, run, &token_event(5));
    bench.head(resumed);
    bench.tokens(resumed, 6..7);
    bench.finish(resumed, 40_000, 39_000);
    assert_eq!(
        bench.counters.event(CounterEvent::WastedPrefillSuspended),
        1_000
    );
    assert_eq!(bench.counters.event(CounterEvent::PrefillTokens), 49_000);
}

/// Guards against a call that is stopped although it must not run twice, or can't go on at a
/// token.
#[test]
fn what_cannot_go_on_is_never_suspended() {
    let tools = br#"{"model":"m","messages":[],"tools":[{"type":"function"}]}"#;
    for idempotent in [false, true] {
        let mut bench = Bench::new();
        let run = bench.admit_with(
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
        bench.head(run);
        bench.tokens(run, 0..5);
        bench.say(Body::Offer(urgent(2)));
        bench.wait(3_000);
        assert!(bench.stops().is_empty(), "idempotent: {idempotent}");
        assert!(bench.take_grants().is_empty());
    }
}

/// Guards against a second dispatch: before its first token a call could only be sent again, and
/// its prefill would be repeated.
#[test]
fn call_without_a_token_is_not_suspended() {
    let mut bench = Bench::new();
    let run = bench.admit(bulk(1));
    bench.say(Body::Offer(urgent(2)));
    bench.wait(3_000);
    assert!(bench.stops().is_empty());
    bench.head(run);
    bench.wait(1_000);
    assert!(bench.stops().is_empty());
    bench.tokens(run, 0..1);
    assert_eq!(bench.stops(), vec![run]);
}

/// Guards against a generation that completes just before its cancellation and is run again, in
/// full view of the engine, for nothing.
#[test]
fn completion_overtakes_the_cancellation() {
    let mut bench = Bench::new();
    let run = admit_bulk(&mut bench, true);
    bench.head(run);
    bench.tokens(run, 0..5);
    bench.granted(urgent(2));
    assert_eq!(bench.stops(), vec![run]);
    bench.data(run, &token_event(5));
    bench.finish(run, 40_000, 0);
    bench.step(AgentInput::Stopped { run, kv: None });
    bench.wait(3_000);
    assert_eq!(
        bench.starts().len(),
        1,
        "a complete answer was started again"
    );
    let (received, end) = bench.answer(1);
    assert!(end.expect("an end").whole);
    let text = String::from_utf8(received).expect("text");
    assert_eq!(text.matches("content").count(), 6);
}

/// Guards against an error of the engine that is taken for a stream and started again.
#[test]
fn error_answer_is_not_suspended() {
    let mut bench = Bench::new();
    let run = bench.admit(bulk(1));
    let (status, headers) = (400, Vec::new());
    bench.event(run, EndpointEvent::Head { status, headers });
    bench.data(run, "no such");
    bench.say(Body::Offer(urgent(2)));
    bench.wait(3_000);
    assert!(bench.stops().is_empty());
    bench.data(run, " field");
    bench.event(run, EndpointEvent::Ended);
    let (received, end) = bench.answer(1);
    assert_eq!(received, b"no such field");
    assert!(end.expect("an end").whole);
}

/// Guards against a cancellation that overtakes a resumed call on its way to the engine.
#[test]
fn resumed_call_is_not_suspended_before_a_token() {
    let mut bench = Bench::new();
    let run = admit_bulk(&mut bench, true);
    bench.head(run);
    bench.tokens(run, 0..5);
    let resumed = interrupt(&mut bench, run, &token_event(5));
    bench.say(Body::Offer(urgent(3)));
    bench.wait(3_000);
    assert_eq!(bench.stops(), vec![run]);
    bench.head(resumed);
    bench.tokens(resumed, 6..7);
    assert_eq!(bench.stops(), vec![run, resumed]);
}

/// Guards against suspension of an equal or higher tier.
#[test]
fn only_lower_tiers_are_suspended() {
    let mut bench = Bench::new();
    let run = bench.admit(messages::Offer { rank: 0, ..bulk(1) });
    bench.head(run);
    bench.tokens(run, 0..5);
    bench.say(Body::Offer(urgent(2)));
    bench.wait(3_000);
    assert!(bench.stops().is_empty());
}

/// Guards against suspending work that makes no room, or more of it than needed.
#[test]
fn one_victim_is_enough() {
    let mut bench = Bench::new();
    let small = |request| messages::Offer {
        prompt_tokens: 18_000,
        output_tokens: 2_000,
        deadline_millis: 3_000_000,
        ..offer(request, 3)
    };
    let mut runs = Vec::new();
    for request in 1..=3 {
        let run = bench.admit(small(request));
        bench.head(run);
        bench.tokens(run, 0..2);
        runs.push(run);
    }
    bench.granted(urgent(9));
    assert_eq!(bench.stops(), vec![runs[2]], "the newest makes enough room");
}

/// Guards against a suspended request whose caller waits beyond the deadline without an end.
#[test]
fn suspended_request_ends_at_its_deadline() {
    let mut bench = Bench::new();
    let run = bench.admit_with(
        messages::Offer {
            output_tokens: 19_000,
            ..bulk(1)
        },
        |handover| handover.deadline_millis = 5_000,
    );
    bench.head(run);
    bench.tokens(run, 0..5);
    let urgent_run = bench.admit(urgent(2));
    bench.step(AgentInput::Stopped { run, kv: None });
    bench.head(urgent_run);
    bench.tokens(urgent_run, 0..140);
    let (_, end) = bench.answer(1);
    let end = end.expect("an end");
    assert_eq!(
        (end.reason.as_str(), end.outcome.as_str()),
        ("deadline-passed", "unknown")
    );
    assert_eq!(
        bench.counters.event(CounterEvent::WastedPrefillDeadline),
        40_000
    );
}

/// Guards against an engine that answers but stands still and goes on getting work.
#[test]
fn stalled_engine_gets_one_request_at_a_time() {
    let limits = options::AgentLimits {
        progress_limit_ms: 3_000,
        ..options::AgentLimits::default()
    };
    let mut bench = Bench::with(limits, support::engine_info());
    bench.admit(offer(1, 0));
    bench.admit(offer(2, 0));
    bench.wait(3_200);
    for request in 1..=2 {
        let (_, end) = bench.answer(request);
        let end = end.expect("an end");
        assert_eq!(
            (end.reason.as_str(), end.outcome.as_str()),
            ("endpoint-failed", "unknown")
        );
    }
    bench.say(Body::Offer(offer(3, 0)));
    assert_eq!(bench.take_refusals()[0].reason, "endpoint-failed");
    bench.wait(2_100);
    let run = bench.admit(offer(4, 0));
    bench.say(Body::Offer(offer(5, 0)));
    assert!(bench.take_grants().is_empty(), "more than one probe");
    bench.head(run);
    bench.tokens(run, 0..1);
    assert_eq!(bench.take_grants().len(), 1);
}
