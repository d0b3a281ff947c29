//! Answers on their way: windows, bounds, lost entries, callers that leave, and claims.

mod support;

use bytes::Bytes;
use support::{Bench, LINK, bytes_of, offer, order_offer, plain_info, token_event};
use waxwing_agent::{
    events::{AgentInput, AgentOutput, EndpointEvent, LinkId, RunId},
    options,
};
use waxwing_core::{counters::CounterEvent, units};
use waxwing_wire::messages::{self, Body};

fn plain_bench(limits: options::AgentLimits) -> Bench {
    Bench::with(limits, plain_info())
}

/// Brings a plain call to the endpoint that must not run twice.
fn admit_plain(bench: &mut Bench, request: u128, claim: bool) -> RunId {
    let run = bench.admit_with(order_offer(request), |handover| {
        handover.path = "/orders-book".to_owned();
        handover.claim = claim.then(|| messages::ClaimName {
            account: "shop".to_owned(),
            service: "register".to_owned(),
            key: "k1".to_owned(),
        });
    });
    bench.head(run);
    run
}

fn block(bytes: usize) -> EndpointEvent {
    EndpointEvent::Data(Bytes::from(vec![7; bytes]))
}

fn ack(request: u128, offset: u64) -> Body {
    let request = bytes_of(request);
    Body::AnswerAck(messages::AnswerAck { request, offset })
}

fn resume(bench: &mut Bench, link: LinkId, request: u128, offset: u64) {
    let request = bytes_of(request);
    let body = Body::Resume(messages::Resume { request, offset });
    bench.step(AgentInput::Message {
        link,
        correlation: 0,
        body,
    });
}

fn pauses(bench: &Bench) -> Vec<AgentOutput> {
    let outputs = bench.log.iter();
    let pauses =
        outputs.filter(|output| matches!(output, AgentOutput::Pause(_) | AgentOutput::Proceed(_)));
    pauses.cloned().collect()
}

/// Guards against one slow caller that fills the agent or holds other answers back.
#[test]
fn slow_caller_holds_back_only_itself() {
    let mut bench = plain_bench(options::AgentLimits::default());
    let slow = admit_plain(&mut bench, 1, false);
    let fast = admit_plain(&mut bench, 2, false);
    for part in 1..=8 {
        bench.event(slow, block(64 * 1024));
        bench.event(fast, block(64 * 1024));
        bench.say(ack(2, part * 64 * 1024));
    }
    let window = 256 * 1024;
    assert_eq!(
        bench.answer(1).0.len(),
        window,
        "more than a window is in flight"
    );
    assert_eq!(bench.answer(2).0.len(), 2 * window);
    assert_eq!(pauses(&bench), vec![AgentOutput::Pause(slow)]);
    bench.event(slow, EndpointEvent::Ended);
    bench.say(ack(1, window as u64));
    assert_eq!(bench.answer(1).0.len(), 2 * window);
    assert!(bench.answer(1).1.expect("an end").whole);
}

/// Guards against an endpoint that stays held back after the caller has caught up.
#[test]
fn caller_that_catches_up_gets_on() {
    let mut bench = plain_bench(options::AgentLimits::default());
    let run = admit_plain(&mut bench, 1, false);
    bench.event(run, block(300 * 1024));
    bench.say(ack(1, 256 * 1024));
    assert_eq!(
        pauses(&bench),
        vec![AgentOutput::Pause(run), AgentOutput::Proceed(run)]
    );
}

/// Guards against an acknowledgement of bytes that were never sent, which would free them.
#[test]
fn acknowledgement_beyond_the_sent_bytes_frees_nothing_else() {
    let mut bench = plain_bench(options::AgentLimits::default());
    let run = admit_plain(&mut bench, 1, false);
    bench.event(run, block(300 * 1024));
    bench.say(ack(1, u64::MAX));
    bench.event(run, EndpointEvent::Ended);
    let (received, end) = bench.answer(1);
    assert_eq!(received.len(), 300 * 1024);
    assert!(end.expect("an end").whole);
}

/// Guards against answers that grow without bound when callers don't fetch them.
#[test]
fn kept_bytes_are_bounded() {
    let kept_bytes = units::ByteCount(300_000);
    let mut bench = plain_bench(options::AgentLimits {
        kept_bytes,
        ..options::AgentLimits::default()
    });
    for request in 1..=5 {
        let run = admit_plain(&mut bench, request, true);
        bench.event(run, block(100_000));
        bench.event(run, EndpointEvent::Ended);
        bench.wait(200);
    }
    assert!(
        bench.core.kept_bytes() <= kept_bytes,
        "kept {}",
        bench.core.kept_bytes()
    );
    // The newest is still there, the oldest is told to be gone.
    bench.log.clear();
    resume(&mut bench, LINK, 5, 0);
    assert!(bench.answer(5).1.expect("an end").whole);
    resume(&mut bench, LINK, 1, 0);
    let end = bench.answer(1).1.expect("an end");
    assert_eq!((end.whole, end.outcome.as_str()), (false, "unknown"));
}

/// Guards against idempotent work that goes on for an entry that is gone.
#[test]
fn lost_entry_cancels_idempotent_work() {
    let mut bench = Bench::new();
    let run = bench.admit(offer(1, 0));
    bench.head(run);
    bench.tokens(run, 0..3);
    bench.step(AgentInput::LinkClosed { link: LINK });
    bench.wait(4_900);
    assert!(bench.stops().is_empty(), "cancelled before 5 s");
    bench.wait(300);
    assert_eq!(bench.stops(), vec![run]);
    assert_eq!(bench.counters.event(CounterEvent::WastedPrefillCaller), 100);
}

/// Guards against an order that is cut off with its entry, or whose answer is lost.
#[test]
fn lost_entry_leaves_other_work_and_its_answer() {
    let mut bench = plain_bench(options::AgentLimits::default());
    let run = admit_plain(&mut bench, 1, true);
    bench.step(AgentInput::LinkClosed { link: LINK });
    bench.wait(10_000);
    // More than a window, with nobody to acknowledge it.
    bench.event(run, block(600_000));
    bench.event(run, EndpointEvent::Ended);
    assert!(bench.stops().is_empty());
    assert!(
        pauses(&bench).is_empty(),
        "held back by a link that is gone"
    );
    let other = LinkId(2);
    bench.step(AgentInput::LinkOpened { link: other });
    resume(&mut bench, other, 1, 0);
    for part in 1..=3 {
        bench.step(AgentInput::Message {
            link: other,
            correlation: 0,
            body: ack(1, part * 256 * 1024),
        });
    }
    let (received, end) = bench.answer(1);
    assert_eq!(received.len(), 600_000);
    assert!(end.expect("an end").whole);
}

/// Guards against bytes that are lost or doubled when an entry changes its link.
#[test]
fn answer_resumes_at_its_offset() {
    let mut bench = Bench::new();
    let run = bench.admit(offer(1, 0));
    bench.head(run);
    bench.tokens(run, 0..4);
    bench.step(AgentInput::LinkClosed { link: LINK });
    bench.tokens(run, 4..6);
    let received = token_event(0).len() * 3;
    bench.log.clear();
    let other = LinkId(2);
    bench.step(AgentInput::LinkOpened { link: other });
    resume(&mut bench, other, 1, received as u64);
    bench.finish(run, 100, 0);
    let chunks = bench.take(|body| match body {
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

/// Guards against an answer that is forgotten with its last bytes while the message that says
/// where it ends is lost with the link.
#[test]
fn end_can_be_had_again() {
    let mut bench = Bench::new();
    let run = bench.admit(offer(1, 0));
    bench.head(run);
    bench.finish(run, 100, 0);
    let total = bench.answer(1).0.len() as u64;
    bench.say(ack(1, total));
    bench.step(AgentInput::LinkClosed { link: LINK });
    bench.log.clear();
    bench.step(AgentInput::LinkOpened { link: LinkId(2) });
    resume(&mut bench, LinkId(2), 1, total);
    let ends = bench.take(|body| match body {
        Body::AnswerChunk(chunk) => chunk.end.clone(),
        _ => None,
    });
    assert!(ends[0].whole && ends[0].total_bytes == total);
}

/// Guards against an engine that computes on for a caller that is gone, and prefill that is lost
/// without being counted.
#[test]
fn gone_caller_is_cancelled_at_once_and_counted() {
    let mut bench = Bench::new();
    let long = |request| messages::Offer {
        prompt_tokens: 8_000,
        ..offer(request, 0)
    };
    let run = bench.admit(long(1));
    bench.wait(1_000);
    let request = bytes_of(1);
    bench.say(Body::Cancel(messages::Cancel { request }));
    assert_eq!(bench.stops(), vec![run]);
    // 4,000 tokens/s for 1 s, of 8,000.
    assert_eq!(
        bench.counters.event(CounterEvent::WastedPrefillCaller),
        4_000
    );
    assert_eq!(bench.core.running(), 0);
    // A caller that leaves before the hand-over wastes nothing, and its grant is gone.
    let grant = bench.granted(long(2));
    let request = bytes_of(2);
    bench.say(Body::Cancel(messages::Cancel { request }));
    bench.say(Body::Handover(support::handover(2, grant)));
    assert_eq!(bench.starts().len(), 1);
    assert_eq!(
        bench.counters.event(CounterEvent::WastedPrefillCaller),
        4_000
    );
}

/// Guards against an order that is cut off since its caller is gone, with a result nobody knows.
#[test]
fn gone_caller_leaves_other_work() {
    let mut bench = plain_bench(options::AgentLimits::default());
    admit_plain(&mut bench, 1, true);
    let request = bytes_of(1);
    bench.say(Body::Cancel(messages::Cancel { request }));
    assert!(bench.stops().is_empty());
}

/// Guards against a result that is lost with a control host, or that holds back a leaving agent
/// for ever.
#[test]
fn completion_is_repeated_until_it_is_durable() {
    let mut bench = plain_bench(options::AgentLimits::default());
    let run = admit_plain(&mut bench, 1, true);
    bench.event(run, block(10));
    bench.event(run, EndpointEvent::Ended);
    bench.say(ack(1, 10));
    bench.wait(30_000);
    let completions: Vec<_> = bench.log.iter().filter_map(completion).collect();
    assert!(completions.len() > 1, "not repeated");
    assert!(completions.iter().all(|other| *other == completions[0]));
    let (correlation, completion) = completions[0].clone();
    let result = completion.result.expect("a result");
    assert_eq!((result.whole, result.status), (true, 200));
    assert_eq!(result.body.expect("a body").len(), 10);
    bench.step(AgentInput::Control {
        correlation,
        body: Body::ClaimCompleted(messages::ClaimCompleted {}),
    });
    bench.log.clear();
    bench.wait(60_000);
    assert!(
        bench
            .log
            .iter()
            .all(|output| completion_of(output).is_none())
    );
    assert!(bench.core.is_drained());
}

fn completion(output: &AgentOutput) -> Option<(u64, messages::CompleteClaim)> {
    let (correlation, body) = completion_of(output)?;
    Some((correlation, body.clone()))
}

fn completion_of(output: &AgentOutput) -> Option<(u64, &messages::CompleteClaim)> {
    match output {
        AgentOutput::Control {
            correlation,
            body: Body::CompleteClaim(completion),
        } => Some((*correlation, completion)),
        _ => None,
    }
}
