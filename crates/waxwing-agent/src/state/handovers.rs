//! Handovers, and the queries (`Settle`) by which an entry learns what became of one. The grant
//! number fences handovers, so that a request never runs twice; see `docs/design.md`, section 5.

use waxwing_core::{counters, ids, reasons, units};
use waxwing_wire::messages;

use crate::{answers, events, formats, jobs, state};

impl state::AgentCore {
    pub(super) fn handover(
        &mut self,
        link: events::LinkId,
        correlation: u64,
        handover: messages::Handover,
    ) {
        let Some(request) = events::request_id(&handover.request) else {
            return;
        };
        // A duplicate must not be refused, since a refusal states that nothing ran.
        if self.jobs.contains(request) || self.tombstones.contains(request) {
            self.acknowledge_handover(link, correlation, request, None);
            return;
        }
        let live_grant = self.grants.get(&request);
        let valid = live_grant.is_some_and(|live_grant| {
            live_grant.grant.0 == handover.grant && live_grant.expires_at > self.now
        });
        let live_grant = match valid {
            true => self.grants.remove(&request),
            false => None,
        };
        let Some(live_grant) = live_grant else {
            let reason = reasons::RefusalReason::GrantExpired;
            self.refuse_handover(link, correlation, request, reason);
            return;
        };
        // The deadline may have passed while the body was in transit.
        let deadline = self.deadline_after(handover.deadline_millis);
        if deadline <= self.now {
            self.grants.insert(request, live_grant);
            self.revoke(request);
            let reason = reasons::RefusalReason::DeadlinePassed;
            self.refuse_handover(link, correlation, request, reason);
            return;
        }
        self.acknowledge_handover(link, correlation, request, None);
        self.start_job(link, request, live_grant, handover);
    }

    fn refuse_handover(
        &mut self,
        link: events::LinkId,
        correlation: u64,
        request: ids::RequestId,
        reason: reasons::RefusalReason,
    ) {
        self.counters.count_refusal(reason);
        self.acknowledge_handover(link, correlation, request, Some(reason));
    }

    fn acknowledge_handover(
        &mut self,
        link: events::LinkId,
        correlation: u64,
        request: ids::RequestId,
        refused: Option<reasons::RefusalReason>,
    ) {
        let ack = messages::HandoverAck {
            request: request.to_bytes().to_vec(),
            taken: refused.is_none(),
            reason: refused.map_or("", |reason| reason.as_str()).to_owned(),
        };
        self.send(link, correlation, messages::Body::HandoverAck(ack));
    }

    fn start_job(
        &mut self,
        link: events::LinkId,
        request: ids::RequestId,
        live_grant: jobs::LiveGrant,
        handover: messages::Handover,
    ) {
        let format = formats::CallFormat::detect(&handover);
        let reader = match &format {
            formats::CallFormat::Chat(chat) => Some(formats::ChatReader::new(chat.wants_stream())),
            formats::CallFormat::Plain(_) => None,
        };
        let deadline = self.deadline_after(handover.deadline_millis);
        let keep_all = handover.claim.is_some();
        let job = jobs::Job {
            link: Some(link),
            detached: None,
            grant: live_grant.grant,
            terms: live_grant.terms,
            details: live_grant.details,
            claim: handover.claim,
            reservation: Some(live_grant.reservation),
            cached: live_grant.cached,
            call: Some(jobs::JobCall {
                method: handover.method,
                path: handover.path,
                headers: handover.headers,
                format,
            }),
            reader,
            // Replaced by `start_run` below; a job that isn't running yet counts as suspended.
            stage: jobs::JobStage::Suspended(self.now),
            answer: answers::AnswerBuffer::new(keep_all),
            runs: 0,
            tokens: 0,
            progress: jobs::RunProgress::idle(self.now),
            prefill_totals: jobs::PrefillTotals::default(),
            paused: false,
            kv: None,
            deadline,
        };
        self.jobs.insert(request, job);
        self.start_run(request);
    }

    pub(super) fn settle(
        &mut self,
        link: events::LinkId,
        correlation: u64,
        settle: &messages::Settle,
    ) {
        let Some(request) = events::request_id(&settle.request) else {
            return;
        };
        let state = self.settled_state(request, settle);
        let settled = messages::Settled {
            request: request.to_bytes().to_vec(),
            state: state as i32,
        };
        self.send(link, correlation, messages::Body::Settled(settled));
    }

    fn settled_state(
        &mut self,
        request: ids::RequestId,
        settle: &messages::Settle,
    ) -> messages::SettledState {
        if settle.incarnation != self.incarnation.0 {
            return messages::SettledState::OtherIncarnation;
        }
        if let Some(job) = self.jobs.get(request) {
            return match job.stage {
                _ if job.answer.is_dropped() => messages::SettledState::Forgotten,
                jobs::JobStage::Ended(_) => messages::SettledState::Finished,
                _ => messages::SettledState::Running,
            };
        }
        let grant = ids::GrantId(settle.grant);
        if self.tombstones.contains(request) || !self.tombstones.proves_absence(grant) {
            return messages::SettledState::Forgotten;
        }
        // Revoking the grant rejects a late handover, so the entry may send the request elsewhere.
        self.queue.remove(request);
        self.revoke(request);
        messages::SettledState::NeverReceived
    }

    pub(super) fn cancel(&mut self, cancel: &messages::Cancel) {
        let Some(request) = events::request_id(&cancel.request) else {
            return;
        };
        self.queue.remove(request);
        self.revoke(request);
        let Some(job) = self.jobs.get(request) else {
            return;
        };
        // A non-idempotent call runs to completion, so that its result is known.
        if job.details.idempotent {
            self.abort(request, reasons::RefusalReason::CallerGone);
        }
    }

    /// Ends a request before its answer is complete: cancels the call, counts its prefill as wasted
    /// by cause, and notifies the entry if it is still connected.
    pub(super) fn abort(&mut self, request: ids::RequestId, reason: reasons::RefusalReason) {
        if self.jobs.get(request).is_none_or(jobs::Job::is_ended) {
            return;
        }
        if reason == reasons::RefusalReason::DeadlinePassed
            && let Some(job) = self.jobs.get(request)
        {
            self.overload_signs.insert(job.terms.rank, self.now);
        }
        self.stop_run(request, false);
        let wasted = self
            .jobs
            .get(request)
            .map_or(0, |job| job.prefill_totals.computed);
        let cause = match reason {
            reasons::RefusalReason::CallerGone => counters::CounterEvent::WastedPrefillCaller,
            reasons::RefusalReason::DeadlinePassed => counters::CounterEvent::WastedPrefillDeadline,
            _ => counters::CounterEvent::WastedPrefillLost,
        };
        self.counters.add(cause, wasted);
        self.counters.count_refusal(reason);
        self.end_incomplete(request, reason, reasons::Outcome::Unknown);
        if reason == reasons::RefusalReason::CallerGone
            && let Some(job) = self.jobs.get_mut(request)
        {
            job.answer.free_all();
        }
    }

    /// Returns the tokens of a job that its next run is expected to prefill.
    pub(super) fn expected_prefill(&self, job: &jobs::Job) -> units::TokenCount {
        let context = job.terms.prompt_tokens + units::TokenCount(job.tokens);
        let cached = match job.runs {
            0 => job.cached,
            _ => self.cache.expected_tokens(Self::block_hashes(job)),
        };
        context.saturating_sub(cached)
    }

    pub(super) fn block_hashes(job: &jobs::Job) -> &[u64] {
        match job.call.as_ref().map(|call| &call.format) {
            Some(formats::CallFormat::Chat(chat)) => chat.hashes(),
            _ => &[],
        }
    }
}
