//! From the hand-over to the end of the answer: acknowledgement, settlement, resumption by offset.

use std::time::{Duration, Instant};

use waxwing_core::{counters, ids, reasons};
use waxwing_policy::choice;
use waxwing_wire::messages;

use super::{
    CorePhase, CoreRefusal, GrantHold, RequestContext, RequestCore, answers, offering::parse_reason,
};

/// Bytes after which an acknowledgement is sent; an eighth of what an agent sends without one.
const ACK_BYTES: u64 = 32 * 1024;

/// A `BoundRun` is the one run of a request at an agent.
#[derive(Debug, Clone)]
pub(super) struct BoundRun {
    pub(super) agent: choice::EndpointId,
    pub(super) incarnation: ids::Incarnation,
    grant: u64,
    /// The request that runs; the first one of the key where this request only follows.
    pub(super) request: ids::RequestId,
    /// Whether the run belongs to an earlier request of the same key.
    pub(super) followed: bool,
    /// Whether the agent is known to have taken the request.
    taken: bool,
    /// Whether a settlement was asked for.
    settling: bool,
    /// Whether the answer was asked for again and nothing of it has come.
    resuming: bool,
    /// Whether the followed run has ended, by its agent.
    pub(super) finished: bool,
    settle_at: Option<Instant>,
    give_up_at: Option<Instant>,
    /// When the answer is asked for again, while the caller waits for more of it.
    stalled_at: Option<Instant>,
    acked: u64,
}

impl BoundRun {
    pub(super) fn handed(hold: GrantHold, request: ids::RequestId, settle_at: Instant) -> Self {
        Self {
            agent: hold.agent,
            incarnation: hold.incarnation,
            grant: hold.grant,
            request,
            followed: false,
            taken: false,
            settling: false,
            resuming: false,
            finished: false,
            settle_at: Some(settle_at),
            give_up_at: None,
            stalled_at: None,
            acked: 0,
        }
    }

    /// Follows the run of an earlier request; it is settled once the link is up.
    pub(super) fn following(
        agent: choice::EndpointId,
        incarnation: ids::Incarnation,
        request: ids::RequestId,
        give_up_at: Instant,
    ) -> Self {
        Self {
            agent,
            incarnation,
            grant: 0,
            request,
            followed: true,
            taken: false,
            settling: false,
            resuming: false,
            finished: false,
            settle_at: None,
            give_up_at: Some(give_up_at),
            stalled_at: None,
            acked: 0,
        }
    }

    /// Stops asking, since there is no link, and sets the time at which the agent counts as lost.
    pub(super) fn lose_link(&mut self, now: Instant, limit: Duration) {
        self.settle_at = None;
        self.stalled_at = None;
        self.give_up_at = Some(self.give_up_at.unwrap_or(now + limit));
    }

    /// Returns the reason with which a caller learns that the run is lost.
    pub(super) fn lost_reason(&self) -> reasons::RefusalReason {
        if self.followed {
            reasons::RefusalReason::KeyUnknown
        } else {
            reasons::RefusalReason::AgentLost
        }
    }

    fn request_bytes(&self) -> Vec<u8> {
        self.request.to_bytes().to_vec()
    }

    pub(super) fn ack_message(&self, offset: u64) -> messages::Body {
        let request = self.request_bytes();
        messages::Body::AnswerAck(messages::AnswerAck { request, offset })
    }

    pub(super) fn cancel_message(&self) -> messages::Body {
        let request = self.request_bytes();
        messages::Body::Cancel(messages::Cancel { request })
    }

    fn settle_message(&self) -> messages::Body {
        messages::Body::Settle(messages::Settle {
            request: self.request_bytes(),
            grant: self.grant,
            incarnation: self.incarnation.0,
        })
    }

    fn resume_message(&self, offset: u64) -> messages::Body {
        let request = self.request_bytes();
        messages::Body::Resume(messages::Resume { request, offset })
    }

    /// Notes that the agent has the request.
    fn take(&mut self) {
        self.taken = true;
        self.settle_at = None;
        self.give_up_at = None;
    }
}

impl RequestCore {
    pub(super) fn bound_wake(&self, run: &BoundRun) -> Instant {
        [run.settle_at, run.give_up_at, run.stalled_at]
            .into_iter()
            .flatten()
            .fold(
                self.plan.deadline + self.timing.deadline_grace,
                Instant::min,
            )
    }

    pub(super) fn on_bound_timer<H: RequestContext>(&mut self, now: Instant, host: &mut H) {
        let CorePhase::Bound(run) = &self.phase else {
            return;
        };
        if now >= self.plan.deadline + self.timing.deadline_grace {
            if self.plan.claim.is_none() {
                let (agent, body) = (run.agent, run.cancel_message());
                self.send(agent, 0, body);
            }
            self.refuse_unknown(reasons::RefusalReason::DeadlinePassed, host);
        } else if run.give_up_at.is_some_and(|due| now >= due) {
            self.lose_run(now, host);
        } else if run.settle_at.is_some_and(|due| now >= due) {
            self.ask_settlement(now);
        } else if run.stalled_at.is_some_and(|due| now >= due) {
            self.ask_stalled(now);
        }
    }

    /// Asks again for an answer of which nothing has come for a while: an agent sends an answer to
    /// one reader, and another entry may have asked for it. A caller that is slow itself has no
    /// need of more.
    fn ask_stalled(&mut self, now: Instant) {
        self.expect_more(now);
        if self.delivered >= self.answer.received() {
            self.resume();
        }
    }

    /// Sets the time at which an answer that doesn't go on counts as stalled.
    fn expect_more(&mut self, now: Instant) {
        let due = now + self.timing.stall_interval;
        if let CorePhase::Bound(run) = &mut self.phase {
            run.stalled_at = Some(due);
        }
    }

    pub(super) fn on_bound_link_up(&mut self, now: Instant, incarnation: ids::Incarnation) {
        let CorePhase::Bound(run) = &mut self.phase else {
            return;
        };
        if incarnation != run.incarnation {
            // Another incarnation can't know, so the run is lost; the timer ends it at once.
            run.give_up_at = Some(now);
        } else if run.taken {
            run.give_up_at = None;
            self.resume();
            self.expect_more(now);
        } else {
            self.ask_settlement(now);
        }
    }

    fn ask_settlement(&mut self, now: Instant) {
        let CorePhase::Bound(run) = &mut self.phase else {
            return;
        };
        run.settling = true;
        run.settle_at = Some(now + self.timing.settle_interval);
        run.give_up_at.get_or_insert(now + self.timing.settle_limit);
        let (agent, grant, body) = (run.agent, run.grant, run.settle_message());
        self.send(agent, grant, body);
    }

    /// Waits for the stored result of a run that another entry reads. An agent sends an answer to
    /// the reader that asked last, so asking for it now would take it from the first caller.
    fn wait_for_result(&mut self, now: Instant, finished: bool) {
        let CorePhase::Bound(run) = &mut self.phase else {
            return;
        };
        run.finished = finished;
        run.give_up_at = Some(now + self.timing.settle_limit);
        self.ask_result();
    }

    /// Asks for the rest of the answer.
    pub(super) fn resume(&mut self) {
        let offset = if self.answer.has_head() {
            self.answer.received()
        } else {
            0
        };
        let CorePhase::Bound(run) = &mut self.phase else {
            return;
        };
        run.resuming = true;
        run.acked = self.delivered;
        // An acknowledgement may have been lost with the former link.
        let (agent, ack) = (run.agent, run.ack_message(self.delivered));
        let body = run.resume_message(offset);
        self.send(agent, 0, ack);
        self.send(agent, 0, body);
        self.count(counters::CounterEvent::AnswersResumed);
    }

    /// Notes that the agent has the request, so that the body isn't needed any more.
    pub(super) fn take_run<H: RequestContext>(&mut self, host: &mut H) {
        let CorePhase::Bound(run) = &mut self.phase else {
            return;
        };
        if !run.taken {
            run.take();
            self.plan.body = bytes::Bytes::new();
            host.release_body();
        }
    }

    /// Tells whether an answer belongs to the present hand-over. An agent that sends no
    /// correlation number is believed only while it got the request just once.
    fn is_current(&self, run: &BoundRun, correlation: u64) -> bool {
        let times = self.handed.iter().filter(|agent| **agent == run.agent);
        correlation == run.grant || (correlation == 0 && times.count() == 1)
    }

    pub(super) fn on_handover_ack<H: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        correlation: u64,
        ack: &messages::HandoverAck,
        host: &mut H,
    ) {
        let CorePhase::Bound(run) = &self.phase else {
            return;
        };
        let own = !run.followed && run.agent == agent && run.request_bytes() == ack.request;
        if !own || run.taken || !self.is_current(run, correlation) {
            return;
        }
        if ack.taken {
            self.take_run(host);
            self.expect_more(now);
        } else {
            let reason = parse_reason(&ack.reason, reasons::RefusalReason::GrantExpired);
            self.offer_after(now, reasons::RetryReason::Refused, reason, host);
        }
    }

    pub(super) fn on_unsent<H: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        grant: u64,
        host: &mut H,
    ) {
        let CorePhase::Bound(run) = &self.phase else {
            return;
        };
        if run.agent == agent && run.grant == grant && !run.taken && !run.followed {
            self.handed.pop();
            self.offer_again(now, reasons::RetryReason::LinkLost, host);
        }
    }

    pub(super) fn on_settled<H: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        correlation: u64,
        settled: &messages::Settled,
        host: &mut H,
    ) {
        let CorePhase::Bound(run) = &self.phase else {
            return;
        };
        let asked = run.settling && run.agent == agent && run.request_bytes() == settled.request;
        if !asked || run.taken || !(run.followed || self.is_current(run, correlation)) {
            return;
        }
        match settled.state() {
            messages::SettledState::NeverReceived => {
                self.count(counters::CounterEvent::HandoversSettled);
                self.offer_again(now, reasons::RetryReason::NeverReceived, host);
            }
            messages::SettledState::Running | messages::SettledState::Finished => {
                let finished = settled.state() == messages::SettledState::Finished;
                let shared = !run.followed || host.is_local(run.request);
                self.count(counters::CounterEvent::HandoversSettled);
                if shared {
                    self.take_run(host);
                    self.resume();
                    self.expect_more(now);
                } else {
                    self.wait_for_result(now, finished);
                }
            }
            messages::SettledState::Forgotten | messages::SettledState::OtherIncarnation => {
                self.lose_run(now, host);
            }
            messages::SettledState::Unspecified => {}
        }
    }

    /// Tells whether a part of an answer belongs to this run.
    fn is_answer(&self, agent: choice::EndpointId, request: &[u8]) -> bool {
        matches!(&self.phase, CorePhase::Bound(run)
            if run.agent == agent && run.request_bytes() == request)
    }

    pub(super) fn on_head<H: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        head: messages::AnswerHead,
        host: &mut H,
    ) {
        if self.is_answer(agent, &head.request) {
            self.take_run(host);
            self.expect_more(now);
            let actions = &mut self.actions;
            self.answer.push_head(head.status, head.headers, actions);
        }
    }

    pub(super) fn on_chunk<H: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        chunk: messages::AnswerChunk,
        host: &mut H,
    ) {
        if !self.is_answer(agent, &chunk.request) {
            return;
        }
        self.take_run(host);
        self.expect_more(now);
        // An agent that has nothing of the answer ends it without a head.
        if let Some(end) = chunk.end.as_ref().filter(|end| !end.whole) {
            let not_kept = end.reason == reasons::RefusalReason::UnknownRequest.as_str();
            if not_kept && self.plan.claim.is_some() {
                self.lose_run(now, host);
            } else {
                self.fail_answer(end, host);
            }
            return;
        }
        if !self.answer.has_head() {
            self.resume_once();
            return;
        }
        match self.answer.tracker().accept(chunk.offset, chunk.data) {
            answers::ChunkCheck::Gap => self.resume_once(),
            answers::ChunkCheck::Fresh(data) => {
                if let CorePhase::Bound(run) = &mut self.phase {
                    run.resuming &= data.is_empty();
                }
                self.answer.push_data(data, &mut self.actions);
                if let Some(end) = chunk.end {
                    self.end_answer(&end, host);
                }
            }
        }
    }

    fn resume_once(&mut self) {
        if matches!(&self.phase, CorePhase::Bound(run) if !run.resuming) {
            self.resume();
        }
    }

    fn end_answer<H: RequestContext>(&mut self, end: &messages::AnswerEnd, host: &mut H) {
        match self.answer.tracker().check(end) {
            answers::EndCheck::Whole => self.finish(),
            answers::EndCheck::Gap => self.resume_once(),
            answers::EndCheck::Corrupt | answers::EndCheck::Failed => {
                self.refuse_unknown(reasons::RefusalReason::EndpointFailed, host);
            }
        }
    }

    /// Ends the request as the agent says. `not-run` is believed only while no byte of an answer
    /// was seen.
    fn fail_answer<H: RequestContext>(&mut self, end: &messages::AnswerEnd, host: &mut H) {
        let said_not_run = end.outcome == reasons::Outcome::NotRun.as_str();
        let outcome = if said_not_run && !self.answer.has_head() && end.total_bytes == 0 {
            reasons::Outcome::NotRun
        } else {
            reasons::Outcome::Unknown
        };
        let refusal = CoreRefusal {
            reason: parse_reason(&end.reason, reasons::RefusalReason::EndpointFailed),
            outcome,
            retry_after: None,
        };
        self.refuse(refusal, host);
    }

    fn finish(&mut self) {
        self.answer.finish(&mut self.actions);
        if let CorePhase::Bound(run) = std::mem::replace(&mut self.phase, CorePhase::Ended) {
            self.phase = CorePhase::Delivering(run);
            self.on_delivered(self.delivered);
        }
    }

    /// Acknowledges what the caller's connection has taken, so that the agent may forget it and
    /// send more.
    pub(super) fn on_delivered(&mut self, bytes: u64) {
        self.delivered = self.delivered.max(bytes);
        let (delivered, received) = (self.delivered, self.answer.received());
        let ending = matches!(self.phase, CorePhase::Delivering(_)) && delivered >= received;
        let (CorePhase::Bound(run) | CorePhase::Delivering(run)) = &mut self.phase else {
            return;
        };
        if ending || delivered.saturating_sub(run.acked) >= ACK_BYTES {
            run.acked = delivered;
            let (agent, body) = (run.agent, run.ack_message(delivered));
            self.send(agent, 0, body);
        }
        if ending {
            self.phase = CorePhase::Ended;
        }
    }
}
