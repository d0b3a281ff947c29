//! Scenario tests of the request state machine, with a manual clock and without sockets.

mod support;

use std::time::Duration;

use support::{CoreHarness, INCARNATION};
use test_case::test_case;
use waxwing_core::{ids, reasons};
use waxwing_entry::request_core::{CoreAction, CoreEvent};
use waxwing_policy::choice;
use waxwing_wire::messages::{self, Body, SettledState};

const AGENT: choice::EndpointId = choice::EndpointId(0);

fn link_up(incarnation: u64) -> CoreEvent {
    CoreEvent::LinkUp {
        agent: AGENT,
        incarnation: ids::Incarnation(incarnation),
    }
}

fn is_handover(body: &Body) -> bool {
    matches!(body, Body::Handover(_))
}

fn is_offer(body: &Body) -> bool {
    matches!(body, Body::Offer(_))
}

fn reason_of(actions: &[CoreAction]) -> Option<(reasons::RefusalReason, reasons::Outcome)> {
    support::refusal(actions).map(|refusal| (refusal.reason, refusal.outcome))
}

/// A request that was handed over to agent 0 under grant 9.
fn handed_over() -> CoreHarness {
    let mut harness = CoreHarness::start(None, |_| {});
    harness.grant(0, 9);
    assert_eq!(support::sent_to(&harness.actions, is_handover), [0]);
    harness.actions.clear();
    harness
}

/// Guards against grants that are kept unused: the first one is used, all others are declined and
/// open offers are withdrawn.
#[test]
fn first_grant_wins_and_others_are_declined() {
    let mut harness = CoreHarness::start(None, |_| {});
    assert_eq!(support::sent_to(&harness.actions, is_offer), [0, 1]);
    let first = harness.grant(1, 4);
    assert_eq!(support::sent_to(&first, is_handover), [1]);
    let withdrawn = support::sent_to(&first, |body| matches!(body, Body::Withdraw(_)));
    assert_eq!(withdrawn, [0]);
    let second = harness.grant(0, 9);
    let declined = support::sent_to(&second, |body| matches!(body, Body::Decline(_)));
    assert_eq!(declined, [0]);
    assert!(
        harness.grant(1, 4).is_empty(),
        "a duplicate of the used grant must not be declined"
    );
}

/// Guards against unanswered offers that are never sent to more agents, or to more than the
/// maximum.
#[test]
fn unanswered_offers_go_to_more_agents() {
    let mut harness = CoreHarness::start(None, |_| {});
    harness.run_for(Duration::from_millis(99));
    assert_eq!(support::sent_to(&harness.actions, is_offer), [0, 1]);
    harness.run_for(Duration::from_secs(5));
    assert_eq!(support::sent_to(&harness.actions, is_offer), [0, 1, 2]);
}

/// Guards against a request that waits forever once refusals have exhausted the retry budget, or
/// that reports a different reason than the agents.
#[test]
fn refused_offers_are_retried_within_the_budget() {
    let mut harness = CoreHarness::start(None, |plan| plan.offers.max_open = 2);
    harness.context.retries = 1;
    // Offering to an agent that was not asked before costs no retry.
    let asked = harness.message(0, 0, support::refused_message("draining"));
    assert_eq!(support::sent_to(&asked, is_offer), [2]);
    assert_eq!(harness.context.retries, 1);
    harness.message(1, 0, support::refused_message("draining"));
    harness.message(2, 0, support::refused_message("draining"));
    let retried = harness.run_for(Duration::from_millis(50));
    assert_eq!(support::sent_to(&retried, is_offer), [0, 1]);
    assert_eq!(harness.context.retries, 0);
    for agent in [0, 1, 2] {
        harness.message(agent, 0, support::refused_message("deadline-unreachable"));
    }
    let expected = (
        reasons::RefusalReason::DeadlineUnreachable,
        reasons::Outcome::NotRun,
    );
    assert_eq!(reason_of(&harness.actions), Some(expected));
    assert!(harness.context.released);
}

/// Guards against a request that waits forever for an endpoint, or not at all.
#[test]
fn requests_wait_a_limited_time_for_an_endpoint() {
    let mut harness = CoreHarness::start(None, |_| {});
    harness.feed(CoreEvent::LinkDown { agent: AGENT });
    harness.context.agents.clear();
    harness.feed(CoreEvent::LinkDown {
        agent: choice::EndpointId(1),
    });
    harness.run_for(Duration::from_secs(1));
    assert_eq!(reason_of(&harness.actions), None);
    harness.context.agents = vec![2];
    let found = harness.run_for(Duration::from_millis(200));
    assert_eq!(support::sent_to(&found, is_offer), [2]);
    harness.context.agents.clear();
    harness.feed(CoreEvent::LinkDown {
        agent: choice::EndpointId(2),
    });
    harness.run_for(Duration::from_secs(4));
    let expected = (reasons::RefusalReason::NoEndpoint, reasons::Outcome::NotRun);
    assert_eq!(reason_of(&harness.actions), Some(expected));
}

/// Guards against a second handover while the first may have arrived, and against waiting forever
/// for a lost agent.
#[test_case(None, None, reasons::Outcome::Unknown; "agent never comes back")]
#[test_case(Some(INCARNATION + 1), None, reasons::Outcome::Unknown; "another incarnation answers")]
#[test_case(Some(INCARNATION), Some(SettledState::Forgotten), reasons::Outcome::Unknown; "answer is not kept")]
#[test_case(Some(INCARNATION), Some(SettledState::OtherIncarnation), reasons::Outcome::Unknown; "agent can not know")]
#[test_case(Some(INCARNATION), None, reasons::Outcome::Unknown; "no settlement comes")]
fn lost_handover_is_settled_or_unknown(
    incarnation: Option<u64>,
    state: Option<SettledState>,
    outcome: reasons::Outcome,
) {
    let mut harness = handed_over();
    harness.feed(CoreEvent::LinkDown { agent: AGENT });
    if let Some(incarnation) = incarnation {
        harness.feed(link_up(incarnation));
    }
    if let Some(state) = state {
        harness.message(0, 9, support::settled_message(1, state));
    }
    harness.run_for(Duration::from_secs(11));
    assert_eq!(support::sent_to(&harness.actions, is_offer), [0_u32; 0]);
    let expected = (reasons::RefusalReason::AgentLost, outcome);
    assert_eq!(reason_of(&harness.actions), Some(expected));
}

/// Guards against refusing a request although the agent confirmed that it never received it.
#[test]
fn unreceived_handover_is_offered_again() {
    let mut harness = handed_over();
    let asked = harness.run_for(Duration::from_secs(1));
    let settles = support::sent_to(&asked, |body| matches!(body, Body::Settle(_)));
    assert_eq!(settles, [0], "a missing acknowledgement is settled");
    harness.message(
        0,
        9,
        support::settled_message(1, SettledState::NeverReceived),
    );
    harness.run_for(Duration::from_millis(50));
    harness.grant(1, 2);
    assert_eq!(support::sent_to(&harness.actions, is_handover), [1]);
}

/// Guards against trusting a settlement or refusal that belongs to an earlier handover.
#[test_case(support::settled_message(1, SettledState::NeverReceived); "settlement")]
#[test_case(support::ack_message(false); "refusal")]
fn late_reply_to_an_earlier_handover_is_ignored(late: Body) {
    let mut harness = handed_over();
    harness.message(0, 9, support::ack_message(false));
    harness.context.agents = vec![0];
    harness.run_for(Duration::from_millis(50));
    harness.grant(0, 10);
    assert_eq!(harness.core.handovers(), 2);
    harness.run_for(Duration::from_secs(1));
    harness.actions.clear();
    for correlation in [9, 0] {
        harness.message(0, correlation, late.clone());
    }
    harness.run_for(Duration::from_secs(1));
    assert_eq!(support::sent_to(&harness.actions, is_offer), [0_u32; 0]);
}

/// Guards against truncated, duplicated or mixed-up answer bytes after a reconnect.
#[test]
fn answer_resumes_at_the_offset() {
    let mut harness = handed_over();
    harness.message(0, 9, support::ack_message(true));
    harness.message(0, 0, support::head_message(1));
    harness.message(0, 0, support::chunk_message(1, 0, b"abc", None));
    harness.feed(CoreEvent::LinkDown { agent: AGENT });
    let resumed = harness.feed(link_up(INCARNATION));
    let offsets: Vec<_> = support::sent(&resumed)
        .into_iter()
        .filter_map(|(_, body)| match body {
            Body::Resume(resume) => Some(resume.offset),
            _ => None,
        })
        .collect();
    assert_eq!(offsets, [3]);
    harness.message(0, 0, support::chunk_message(1, 1, b"bcde", None));
    let end = support::complete_end(b"abcdefg");
    harness.message(0, 0, support::chunk_message(1, 6, b"g", Some(end.clone())));
    assert!(!support::is_finished(&harness.actions), "bytes are missing");
    harness.message(0, 0, support::chunk_message(1, 5, b"fg", Some(end)));
    assert_eq!(support::data(&harness.actions), b"abcdefg");
    assert!(support::is_finished(&harness.actions));
}

/// Guards against an incomplete or corrupt answer that is delivered as complete.
#[test_case(|end| end.checksum ^= 1; "checksum")]
#[test_case(|end| end.total_bytes = 2; "too long")]
#[test_case(|end| { end.whole = false; end.outcome = "not-run".into(); }; "not whole")]
fn corrupt_answers_end_with_unknown_outcome(corrupt: fn(&mut messages::AnswerEnd)) {
    let mut harness = handed_over();
    let mut end = support::complete_end(b"abc");
    corrupt(&mut end);
    harness.message(0, 0, support::head_message(1));
    harness.message(0, 0, support::chunk_message(1, 0, b"abc", Some(end)));
    assert!(!support::is_finished(&harness.actions));
    let expected = (
        reasons::RefusalReason::EndpointFailed,
        reasons::Outcome::Unknown,
    );
    assert_eq!(reason_of(&harness.actions), Some(expected));
    assert!(matches!(harness.actions.last(), Some(CoreAction::Abort(_))));
}

/// Guards against aborting an unstreamed answer that failed early enough for a proper refusal.
#[test]
fn short_unstreamed_answers_are_held_until_complete() {
    let mut harness = CoreHarness::start(None, |plan| plan.stream = false);
    harness.grant(0, 9);
    harness.message(0, 0, support::head_message(1));
    harness.message(0, 0, support::chunk_message(1, 0, b"abc", None));
    assert_eq!(support::data(&harness.actions), b"");
    let mut end = support::complete_end(b"abc");
    end.checksum ^= 1;
    let failed = harness.message(0, 0, support::chunk_message(1, 3, b"", Some(end)));
    assert!(matches!(failed.last(), Some(CoreAction::Refuse(_))));
}

fn acknowledged(actions: &[CoreAction]) -> Vec<u64> {
    let acks = support::sent(actions).into_iter();
    acks.filter_map(|(_, body)| match body {
        Body::AnswerAck(ack) => Some(ack.offset),
        _ => None,
    })
    .collect()
}

/// Guards against unbounded buffering for a slow caller: only delivered bytes are acknowledged, and
/// all of them at the end.
#[test]
fn only_delivered_bytes_are_acknowledged() {
    static ANSWER: [u8; 100_000] = [b'x'; 100_000];
    let mut harness = handed_over();
    harness.message(0, 0, support::head_message(1));
    let end = support::complete_end(&ANSWER);
    harness.message(0, 0, support::chunk_message(1, 0, &ANSWER, Some(end)));
    assert_eq!(acknowledged(&harness.actions), [0_u64; 0]);
    assert_eq!(
        acknowledged(&harness.feed(CoreEvent::Delivered(10))),
        [0_u64; 0]
    );
    assert_eq!(
        acknowledged(&harness.feed(CoreEvent::Delivered(60_000))),
        [60_000]
    );
    assert!(!harness.core.is_ended());
    assert_eq!(
        acknowledged(&harness.feed(CoreEvent::Delivered(100_000))),
        [100_000]
    );
    assert!(harness.core.is_ended());
}

/// Guards against work that continues after its caller disconnected.
#[test]
fn requests_of_disconnected_callers_are_cancelled() {
    let mut waiting = CoreHarness::start(None, |_| {});
    let actions = waiting.feed(CoreEvent::CallerGone);
    let withdrawn = support::sent_to(&actions, |body| matches!(body, Body::Withdraw(_)));
    assert_eq!(withdrawn, [0, 1]);
    let expected = (reasons::RefusalReason::CallerGone, reasons::Outcome::NotRun);
    assert_eq!(reason_of(&actions), Some(expected));
    let mut running = handed_over();
    let actions = running.feed(CoreEvent::CallerGone);
    let cancelled = support::sent_to(&actions, |body| matches!(body, Body::Cancel(_)));
    assert_eq!(cancelled, [0]);
    let expected = (
        reasons::RefusalReason::CallerGone,
        reasons::Outcome::Unknown,
    );
    assert_eq!(reason_of(&actions), Some(expected));
    assert!(running.core.is_ended());
}

/// Guards against evicting a request that was handed over, against an eviction that leaves its
/// offers open, and against handing over a request whose body was evicted.
#[test]
fn eviction_ends_waiting_requests_only() {
    let mut waiting = CoreHarness::start(None, |_| {});
    let actions = waiting.feed(CoreEvent::Evicted);
    let expected = (reasons::RefusalReason::Evicted, reasons::Outcome::NotRun);
    assert_eq!(reason_of(&actions), Some(expected));
    assert_eq!(
        support::sent(&actions).len(),
        2,
        "both offers are withdrawn"
    );
    let mut running = handed_over();
    assert!(running.feed(CoreEvent::Evicted).is_empty());
    let mut evicted = CoreHarness::start(None, |_| {});
    evicted.context.body_present = false;
    let actions = evicted.grant(0, 9);
    assert_eq!(support::sent_to(&actions, is_handover), [0_u32; 0]);
}

/// Guards against work that starts after its deadline, or is awaited long after it.
#[test]
fn deadlines_end_requests() {
    let mut waiting = CoreHarness::start(None, |_| {});
    waiting.run_for(Duration::from_secs(30));
    let expected = (
        reasons::RefusalReason::DeadlinePassed,
        reasons::Outcome::NotRun,
    );
    assert_eq!(reason_of(&waiting.actions), Some(expected));
    let mut running = handed_over();
    running.message(0, 9, support::ack_message(true));
    running.run_for(Duration::from_secs(36));
    let expected = (
        reasons::RefusalReason::DeadlinePassed,
        reasons::Outcome::Unknown,
    );
    assert_eq!(reason_of(&running.actions), Some(expected));
}

/// Guards against a stream that hangs because another entry requested it, and against requesting
/// more for a caller that doesn't read.
#[test_case(3, true; "caller has read all")]
#[test_case(1, false; "caller is slow")]
fn stalled_answers_are_resumed(delivered: u64, resumes: bool) {
    let mut harness = handed_over();
    harness.message(0, 0, support::head_message(1));
    harness.message(0, 0, support::chunk_message(1, 0, b"abc", None));
    harness.feed(CoreEvent::Delivered(delivered));
    harness.run_for(Duration::from_secs(9));
    assert!(harness.run_for(Duration::ZERO).is_empty());
    let asked = harness.run_for(Duration::from_secs(2));
    let resumed = support::sent_to(&asked, |body| matches!(body, Body::Resume(_)));
    assert_eq!(resumed.len(), usize::from(resumes));
}

/// Guards against a refusal that doesn't report why the agent refused the handover.
#[test]
fn refused_handover_keeps_its_reason() {
    let mut harness = handed_over();
    harness.context.retries = 0;
    let ack = messages::HandoverAck {
        request: support::id_bytes(1),
        taken: false,
        reason: "draining".into(),
    };
    let actions = harness.message(0, 9, Body::HandoverAck(ack));
    let expected = (reasons::RefusalReason::Draining, reasons::Outcome::NotRun);
    assert_eq!(reason_of(&actions), Some(expected));
}
