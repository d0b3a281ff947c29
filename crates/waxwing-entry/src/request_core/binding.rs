//! From the handover to the end of the answer: acknowledgements, settlement of handovers whose
//! arrival is uncertain (the entry asks the agent what became of them), and resumption at an
//! offset.

use std::time::{Duration, Instant};

use waxwing_core::{counters, ids, reasons};
use waxwing_policy::choice;
use waxwing_wire::messages;

use super::{
    CorePhase, CoreRefusal, HeldGrant, RequestContext, RequestCore, answers, offering::parse_reason,
};

/// Delivered bytes per acknowledgement; an eighth of what an agent sends without one.
const ACK_INTERVAL_BYTES: u64 = 32 * 1024;

/// The run of a request at the agent that it is bound to.
#[derive(Debug, Clone)]
pub(super) struct BoundRun {
    pub(super) agent: choice::EndpointId,
    pub(super) incarnation: ids::Incarnation,
    /// The grant that the handover used; zero for a followed run.
    grant: u64,
    /// The request that runs: an earlier one with the same idempotency key if `followed` is set.
    pub(super) request: ids::RequestId,
    /// Whether the run belongs to an earlier request with the same key.
    pub(super) followed: bool,
    /// Whether the agent is known to have accepted the request.
    accepted: bool,
    /// Whether a settlement was requested.
    settle_requested: bool,
    /// Whether a resumption was requested and no new byte has arrived since.
    resuming: bool,
    /// Whether the agent reported that the followed run has finished.
    pub(super) finished: bool,
    /// When a settlement is requested next.
    settle_at: Option<Instant>,
    /// When the run counts as lost.
    give_up_at: Option<Instant>,
    /// When the answer counts as stalled and is resumed if the caller waits for more of it.
    stall_at: Option<Instant>,
    /// Answer bytes acknowledged to the agent.
    acked_bytes: u64,
}

impl BoundRun {
    pub(super) fn from_handover(
        held: HeldGrant,
        request: ids::RequestId,
        settle_at: Instant,
    ) -> Self {
        Self {
            agent: held.agent,
            incarnation: held.incarnation,
            grant: held.grant,
            request,
            followed: false,
            accepted: false,
            settle_requested: false,
            resuming: false,
            finished: false,
            settle_at: Some(settle_at),
            give_up_at: None,
            stall_at: None,
            acked_bytes: 0,
        }
    }

    /// Follows the run of an earlier request. A settlement is requested once the link is up.
    pub(super) fn follow(
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
            accepted: false,
            settle_requested: false,
            resuming: false,
            finished: false,
            settle_at: None,
            give_up_at: Some(give_up_at),
            stall_at: None,
            acked_bytes: 0,
        }
    }

    /// Stops the settlement and stall timers, since there is no link to ask on, and sets when the
    /// agent counts as lost.
    pub(super) fn on_link_lost(&mut self, now: Instant, limit: Duration) {
        self.settle_at = None;
        self.stall_at = None;
        self.give_up_at = Some(self.give_up_at.unwrap_or(now + limit));
    }

    /// Returns the refusal reason for a caller whose run is lost.
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

    /// Records that the agent has accepted the request.
    fn mark_accepted(&mut self) {
        self.accepted = true;
        self.settle_at = None;
        self.give_up_at = None;
    }
}

impl RequestCore {
    pub(super) fn next_run_timer(&self, run: &BoundRun) -> Instant {
        [run.settle_at, run.give_up_at, run.stall_at]
            .into_iter()
            .flatten()
            .fold(
                self.plan.deadline + self.timing.deadline_grace,
                Instant::min,
            )
    }

    pub(super) fn on_bound_timer<C: RequestContext>(&mut self, now: Instant, context: &mut C) {
        let CorePhase::Bound(run) = &self.phase else {
            return;
        };
        if now >= self.plan.deadline + self.timing.deadline_grace {
            if self.plan.claim.is_none() {
                let (agent, body) = (run.agent, run.cancel_message());
                self.send(agent, 0, body);
            }
            self.refuse_unknown(reasons::RefusalReason::DeadlinePassed, context);
        } else if run.give_up_at.is_some_and(|due| now >= due) {
            self.on_run_lost(now, context);
        } else if run.settle_at.is_some_and(|due| now >= due) {
            self.request_settlement(now);
        } else if run.stall_at.is_some_and(|due| now >= due) {
            self.on_stalled(now);
        }
    }

    /// Resumes an answer without recent progress: an agent sends an answer to one reader only, and
    /// another entry may have requested it. A caller that hasn't read what was received needs no
    /// more.
    fn on_stalled(&mut self, now: Instant) {
        self.reset_stall_timer(now);
        if self.delivered >= self.answer.received() {
            self.resume();
        }
    }

    /// Restarts the timer after which an answer without progress counts as stalled.
    fn reset_stall_timer(&mut self, now: Instant) {
        let due = now + self.timing.stall_timeout;
        if let CorePhase::Bound(run) = &mut self.phase {
            run.stall_at = Some(due);
        }
    }

    pub(super) fn on_bound_link_up(&mut self, now: Instant, incarnation: ids::Incarnation) {
        let CorePhase::Bound(run) = &mut self.phase else {
            return;
        };
        if incarnation != run.incarnation {
            // A restarted agent knows nothing of the run, so it is lost; the timer fires at once.
            run.give_up_at = Some(now);
        } else if run.accepted {
            run.give_up_at = None;
            self.resume();
            self.reset_stall_timer(now);
        } else {
            self.request_settlement(now);
        }
    }

    fn request_settlement(&mut self, now: Instant) {
        let CorePhase::Bound(run) = &mut self.phase else {
            return;
        };
        run.settle_requested = true;
        run.settle_at = Some(now + self.timing.settle_interval);
        run.give_up_at
            .get_or_insert(now + self.timing.settle_timeout);
        let (agent, grant, body) = (run.agent, run.grant, run.settle_message());
        self.send(agent, grant, body);
    }

    /// Waits for the stored result of a run whose answer another entry reads. An agent sends an
    /// answer to the reader that asked last, so asking now would take it from the first caller.
    fn wait_for_result(&mut self, now: Instant, finished: bool) {
        let CorePhase::Bound(run) = &mut self.phase else {
            return;
        };
        run.finished = finished;
        run.give_up_at = Some(now + self.timing.settle_timeout);
        self.look_up_result();
    }

    /// Requests the rest of the answer.
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
        run.acked_bytes = self.delivered;
        // An acknowledgement may have been lost with the previous link.
        let (agent, ack) = (run.agent, run.ack_message(self.delivered));
        let body = run.resume_message(offset);
        self.send(agent, 0, ack);
        self.send(agent, 0, body);
        self.count(counters::CounterEvent::AnswersResumed);
    }

    /// Records that the agent has accepted the request and frees the body, which is no longer
    /// needed.
    pub(super) fn mark_run_accepted<C: RequestContext>(&mut self, context: &mut C) {
        let CorePhase::Bound(run) = &mut self.phase else {
            return;
        };
        if !run.accepted {
            run.mark_accepted();
            self.plan.body = bytes::Bytes::new();
            context.release_body();
        }
    }

    /// Returns whether a reply belongs to the current handover. A reply without a correlation id is
    /// trusted only if the agent got the request exactly once.
    fn is_current_handover(&self, run: &BoundRun, correlation: u64) -> bool {
        let handovers = self
            .handover_agents
            .iter()
            .filter(|agent| **agent == run.agent);
        correlation == run.grant || (correlation == 0 && handovers.count() == 1)
    }

    pub(super) fn on_handover_ack<C: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        correlation: u64,
        ack: &messages::HandoverAck,
        context: &mut C,
    ) {
        let CorePhase::Bound(run) = &self.phase else {
            return;
        };
        let expected = !run.followed && run.agent == agent && run.request_bytes() == ack.request;
        if !expected || run.accepted || !self.is_current_handover(run, correlation) {
            return;
        }
        if ack.taken {
            self.mark_run_accepted(context);
            self.reset_stall_timer(now);
        } else {
            let reason = parse_reason(&ack.reason, reasons::RefusalReason::GrantExpired);
            self.restart_offers_with(now, reasons::RetryReason::Refused, reason, context);
        }
    }

    pub(super) fn on_unsent<C: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        grant: u64,
        context: &mut C,
    ) {
        let CorePhase::Bound(run) = &self.phase else {
            return;
        };
        if run.agent == agent && run.grant == grant && !run.accepted && !run.followed {
            self.handover_agents.pop();
            self.restart_offers(now, reasons::RetryReason::LinkLost, context);
        }
    }

    pub(super) fn on_settled<C: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        correlation: u64,
        settled: &messages::Settled,
        context: &mut C,
    ) {
        let CorePhase::Bound(run) = &self.phase else {
            return;
        };
        let expected =
            run.settle_requested && run.agent == agent && run.request_bytes() == settled.request;
        if !expected
            || run.accepted
            || !(run.followed || self.is_current_handover(run, correlation))
        {
            return;
        }
        match settled.state() {
            messages::SettledState::NeverReceived => {
                self.count(counters::CounterEvent::HandoversSettled);
                self.restart_offers(now, reasons::RetryReason::NeverReceived, context);
            }
            messages::SettledState::Running | messages::SettledState::Finished => {
                let finished = settled.state() == messages::SettledState::Finished;
                // Messages of a followed run of this entry reach all its followers, so resuming it
                // takes the answer from no other reader.
                let may_resume = !run.followed || context.is_local(run.request);
                self.count(counters::CounterEvent::HandoversSettled);
                if may_resume {
                    self.mark_run_accepted(context);
                    self.resume();
                    self.reset_stall_timer(now);
                } else {
                    self.wait_for_result(now, finished);
                }
            }
            messages::SettledState::Forgotten | messages::SettledState::OtherIncarnation => {
                self.on_run_lost(now, context);
            }
            messages::SettledState::Unspecified => {}
        }
    }

    /// Returns whether part of an answer belongs to the current run.
    fn is_answer_of_run(&self, agent: choice::EndpointId, request: &[u8]) -> bool {
        matches!(&self.phase, CorePhase::Bound(run)
            if run.agent == agent && run.request_bytes() == request)
    }

    pub(super) fn on_answer_head<C: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        head: messages::AnswerHead,
        context: &mut C,
    ) {
        if self.is_answer_of_run(agent, &head.request) {
            self.mark_run_accepted(context);
            self.reset_stall_timer(now);
            let actions = &mut self.actions;
            self.answer.push_head(head.status, head.headers, actions);
        }
    }

    pub(super) fn on_answer_chunk<C: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        chunk: messages::AnswerChunk,
        context: &mut C,
    ) {
        if !self.is_answer_of_run(agent, &chunk.request) {
            return;
        }
        self.mark_run_accepted(context);
        self.reset_stall_timer(now);
        // An agent that has no part of the answer ends it without a head.
        if let Some(end) = chunk.end.as_ref().filter(|end| !end.whole) {
            let is_unknown = end.reason == reasons::RefusalReason::UnknownRequest.as_str();
            if is_unknown && self.plan.claim.is_some() {
                self.on_run_lost(now, context);
            } else {
                self.fail_answer(end, context);
            }
            return;
        }
        if !self.answer.has_head() {
            self.resume_unless_pending();
            return;
        }
        match self.answer.tracker().accept(chunk.offset, chunk.data) {
            answers::ChunkCheck::Gap => self.resume_unless_pending(),
            answers::ChunkCheck::New(data) => {
                if let CorePhase::Bound(run) = &mut self.phase {
                    run.resuming &= data.is_empty();
                }
                self.answer.push_data(data, &mut self.actions);
                if let Some(end) = chunk.end {
                    self.end_answer(&end, context);
                }
            }
        }
    }

    fn resume_unless_pending(&mut self) {
        if matches!(&self.phase, CorePhase::Bound(run) if !run.resuming) {
            self.resume();
        }
    }

    fn end_answer<C: RequestContext>(&mut self, end: &messages::AnswerEnd, context: &mut C) {
        match self.answer.tracker().check(end) {
            answers::EndCheck::Complete => self.finish(),
            answers::EndCheck::Gap => self.resume_unless_pending(),
            answers::EndCheck::Corrupt | answers::EndCheck::Failed => {
                self.refuse_unknown(reasons::RefusalReason::EndpointFailed, context);
            }
        }
    }

    /// Ends the request with the outcome reported by the agent. `not-run` is trusted only if no
    /// part of an answer was received.
    fn fail_answer<C: RequestContext>(&mut self, end: &messages::AnswerEnd, context: &mut C) {
        let reported_not_run = end.outcome == reasons::Outcome::NotRun.as_str();
        let outcome = if reported_not_run && !self.answer.has_head() && end.total_bytes == 0 {
            reasons::Outcome::NotRun
        } else {
            reasons::Outcome::Unknown
        };
        let refusal = CoreRefusal {
            reason: parse_reason(&end.reason, reasons::RefusalReason::EndpointFailed),
            outcome,
            retry_after: None,
        };
        self.refuse(refusal, context);
    }

    fn finish(&mut self) {
        self.answer.finish(&mut self.actions);
        if let CorePhase::Bound(run) = std::mem::replace(&mut self.phase, CorePhase::Ended) {
            self.phase = CorePhase::Delivering(run);
            self.on_delivered(self.delivered);
        }
    }

    /// Acknowledges what was consumed by the caller's connection, so that the agent can drop it and
    /// send more.
    pub(super) fn on_delivered(&mut self, bytes: u64) {
        self.delivered = self.delivered.max(bytes);
        let (delivered, received) = (self.delivered, self.answer.received());
        let ending = matches!(self.phase, CorePhase::Delivering(_)) && delivered >= received;
        let (CorePhase::Bound(run) | CorePhase::Delivering(run)) = &mut self.phase else {
            return;
        };
        if ending || delivered.saturating_sub(run.acked_bytes) >= ACK_INTERVAL_BYTES {
            run.acked_bytes = delivered;
            let (agent, body) = (run.agent, run.ack_message(delivered));
            self.send(agent, 0, body);
        }
        if ending {
            self.phase = CorePhase::Ended;
        }
    }
}
