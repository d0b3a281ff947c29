//! Claims on idempotency keys: making a claim, following the run of an earlier request with the
//! same key, and recovering its stored result.

use std::time::{Duration, Instant};

use waxwing_core::{counters, ids, reasons};
use waxwing_wire::messages;

use super::{CoreAction, CorePhase, HeldGrant, RequestContext, RequestCore, binding};

impl RequestCore {
    /// Requests the claim from the control plane while the grant is held.
    pub(super) fn begin_claim<C: RequestContext>(
        &mut self,
        now: Instant,
        held: HeldGrant,
        context: &mut C,
    ) {
        let location = context.agent_location(held.agent);
        self.claimed_agents.push((held.agent, held.incarnation));
        self.phase = CorePhase::Claiming {
            held,
            location,
            timeout_at: held.expires_at.min(now + self.timing.claim_timeout),
            retry_at: now,
        };
        self.send_claim(now);
    }

    fn send_claim(&mut self, now: Instant) {
        let (
            CorePhase::Claiming {
                held,
                location,
                retry_at,
                ..
            },
            Some(claim_plan),
        ) = (&mut self.phase, &self.plan.claim)
        else {
            return;
        };
        *retry_at = now + self.timing.claim_retry_interval;
        let record = messages::ClaimRecord {
            request: self.plan.request.to_bytes().to_vec(),
            digest: claim_plan.digest.clone(),
            agent: location.name.clone(),
            incarnation: held.incarnation.0,
            epoch: 0,
            result: None,
            address: location.address.clone(),
        };
        self.actions.push(CoreAction::Claim(messages::ClaimKey {
            name: Some(claim_plan.name.clone()),
            record: Some(record),
            replaces: self.claim_epoch,
            group: claim_plan.group.0,
            lookup: false,
        }));
    }

    pub(super) fn on_claiming_timer<C: RequestContext>(&mut self, now: Instant, context: &mut C) {
        let CorePhase::Claiming {
            timeout_at,
            retry_at,
            ..
        } = &self.phase
        else {
            return;
        };
        if now >= self.plan.deadline {
            self.refuse_not_run(reasons::RefusalReason::DeadlinePassed, None, context);
        } else if now >= *timeout_at {
            let retry_after = Some(Duration::from_secs(1));
            self.refuse_not_run(
                reasons::RefusalReason::ClaimUnavailable,
                retry_after,
                context,
            );
        } else if now >= *retry_at {
            self.send_claim(now);
        }
    }

    pub(super) fn on_claimed<C: RequestContext>(
        &mut self,
        now: Instant,
        result: messages::ClaimResult,
        context: &mut C,
    ) {
        match &self.phase {
            CorePhase::Claiming { .. } => self.on_claim_reply(now, result, context),
            CorePhase::Recovering { .. } => self.on_recovered_claim(result.record, context),
            CorePhase::Bound(run) if run.followed => self.on_followed_claim(result.record, context),
            _ => {}
        }
    }

    fn on_claim_reply<C: RequestContext>(
        &mut self,
        now: Instant,
        result: messages::ClaimResult,
        context: &mut C,
    ) {
        let CorePhase::Claiming { held, location, .. } = &self.phase else {
            return;
        };
        let Some(record) = result.record else {
            return;
        };
        let held = *held;
        let own = record.request == self.plan.request_bytes();
        if !own {
            self.count(counters::CounterEvent::ClaimsExisting);
            self.decline(held.agent, held.grant);
            self.attach(now, record, context);
            return;
        }
        self.claim_epoch = record.epoch;
        if record.agent != location.name || record.incarnation != held.incarnation.0 {
            // The claim names the agent of an earlier grant and must be replaced.
            self.send_claim(now);
        } else if now >= held.expires_at {
            self.decline(held.agent, held.grant);
            self.count(counters::CounterEvent::GrantsExpired);
            self.restart_offers(now, reasons::RetryReason::Refused, context);
        } else {
            self.count(counters::CounterEvent::ClaimsGranted);
            self.hand_over(now, held);
        }
    }

    /// Follows the claim of an earlier request. The own grant was already declined.
    fn attach<C: RequestContext>(
        &mut self,
        now: Instant,
        record: messages::ClaimRecord,
        context: &mut C,
    ) {
        let same_body = self
            .plan
            .claim
            .as_ref()
            .is_some_and(|claim_plan| claim_plan.digest == record.digest);
        self.phase = CorePhase::Ended;
        if !same_body {
            self.refuse_not_run(reasons::RefusalReason::KeyMismatch, None, context);
            return;
        }
        if let Some(result) = &record.result
            && (!result.whole || result.body.is_some())
        {
            self.deliver_stored_result(result.clone(), reasons::RefusalReason::KeyUnknown, context);
            return;
        }
        let connected = context.connect_agent(&record.agent, &record.address);
        let request = ids::RequestId::from_slice(&record.request);
        let (Some(agent), Ok(request)) = (connected, request) else {
            self.refuse_unknown(reasons::RefusalReason::KeyUnknown, context);
            return;
        };
        self.claim_epoch = record.epoch;
        let incarnation = ids::Incarnation(record.incarnation);
        let give_up_at = now + self.timing.settle_timeout;
        let run = binding::BoundRun::follow(agent, incarnation, request, give_up_at);
        self.phase = CorePhase::Bound(run);
    }

    /// Sends the caller the part of a stored result that it has not received yet.
    fn deliver_stored_result<C: RequestContext>(
        &mut self,
        result: messages::ClaimOutcome,
        reason: reasons::RefusalReason,
        context: &mut C,
    ) {
        let body = result.body.unwrap_or_default();
        let rest = self.answer.tracker().strip_received(&body);
        let (true, Some(rest)) = (result.whole, rest) else {
            self.refuse_unknown(reason, context);
            return;
        };
        self.answer
            .push_head(result.status, result.headers, &mut self.actions);
        self.answer.push_data(rest, &mut self.actions);
        self.answer.finish(&mut self.actions);
        self.phase = CorePhase::Ended;
        context.release_body();
    }

    /// Handles the loss of the agent that runs the request. With an idempotency key, the result may
    /// be stored with the claim.
    pub(super) fn on_run_lost<C: RequestContext>(&mut self, now: Instant, context: &mut C) {
        let CorePhase::Bound(run) = std::mem::replace(&mut self.phase, CorePhase::Ended) else {
            return;
        };
        if self.plan.claim.is_none() {
            self.refuse_unknown(reasons::RefusalReason::AgentLost, context);
            return;
        }
        self.phase = CorePhase::Recovering {
            run,
            timeout_at: now + self.timing.claim_timeout,
            retry_at: now + self.timing.claim_retry_interval,
        };
        self.look_up_result();
    }

    /// Looks up the claim and the result stored with it.
    pub(super) fn look_up_result(&mut self) {
        let Some(claim_plan) = &self.plan.claim else {
            return;
        };
        self.actions.push(CoreAction::Claim(messages::ClaimKey {
            name: Some(claim_plan.name.clone()),
            record: None,
            replaces: 0,
            group: claim_plan.group.0,
            lookup: true,
        }));
    }

    pub(super) fn on_recovering_timer<C: RequestContext>(&mut self, now: Instant, context: &mut C) {
        let CorePhase::Recovering {
            run,
            timeout_at,
            retry_at,
        } = &mut self.phase
        else {
            return;
        };
        if now >= *timeout_at {
            let reason = run.lost_reason();
            self.refuse_unknown(reason, context);
        } else if now >= *retry_at {
            *retry_at = now + self.timing.claim_retry_interval;
            self.look_up_result();
        }
    }

    /// Handles the lookup of a followed run's claim. Without a result, the timer asks the agent
    /// again. A result too large to be stored is read from the agent.
    fn on_followed_claim<C: RequestContext>(
        &mut self,
        record: Option<messages::ClaimRecord>,
        context: &mut C,
    ) {
        let CorePhase::Bound(run) = &self.phase else {
            return;
        };
        let (wanted, finished) = (run.request.to_bytes(), run.finished);
        let record = record.filter(|record| record.request == wanted);
        let Some(result) = record.and_then(|record| record.result) else {
            return;
        };
        if !result.whole || result.body.is_some() {
            self.deliver_stored_result(result, reasons::RefusalReason::KeyUnknown, context);
        } else if finished {
            self.mark_run_accepted(context);
            self.resume();
        }
    }

    /// Handles the lookup of a lost run's claim. A claim without a result is looked up again until
    /// the timeout, since the agent may have completed the request just before it was lost.
    fn on_recovered_claim<C: RequestContext>(
        &mut self,
        record: Option<messages::ClaimRecord>,
        context: &mut C,
    ) {
        let CorePhase::Recovering { run, .. } = &self.phase else {
            return;
        };
        let reason = run.lost_reason();
        let wanted = run.request.to_bytes();
        let record = record.filter(|record| record.request == wanted);
        if let Some(result) = record.and_then(|record| record.result) {
            if result.whole && result.body.is_none() {
                self.refuse_unknown(reason, context);
            } else {
                self.deliver_stored_result(result, reason, context);
            }
        }
    }
}
