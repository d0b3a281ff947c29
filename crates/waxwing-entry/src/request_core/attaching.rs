//! Claims on idempotency keys: asking for one, following the run that an earlier request of the
//! key began, and recalling its stored result.

use std::time::{Duration, Instant};

use waxwing_core::{counters, ids, reasons};
use waxwing_wire::messages;

use super::{CoreAction, CorePhase, GrantHold, RequestContext, RequestCore, binding};

impl RequestCore {
    /// Asks control for the claim while the grant is held.
    pub(super) fn claim<H: RequestContext>(&mut self, now: Instant, hold: GrantHold, host: &mut H) {
        let place = host.agent_location(hold.agent);
        self.claimed.push((hold.agent, hold.incarnation));
        self.phase = CorePhase::Claiming {
            hold,
            place,
            ends: hold.ends.min(now + self.timing.claim_limit),
            ask_at: now,
        };
        self.ask_claim(now);
    }

    fn ask_claim(&mut self, now: Instant) {
        let (
            CorePhase::Claiming {
                hold,
                place,
                ask_at,
                ..
            },
            Some(plan),
        ) = (&mut self.phase, &self.plan.claim)
        else {
            return;
        };
        *ask_at = now + self.timing.claim_interval;
        let record = messages::ClaimRecord {
            request: self.plan.request.to_bytes().to_vec(),
            digest: plan.digest.clone(),
            agent: place.name.clone(),
            incarnation: hold.incarnation.0,
            epoch: 0,
            result: None,
            address: place.address.clone(),
        };
        self.actions.push(CoreAction::Claim(messages::ClaimKey {
            name: Some(plan.name.clone()),
            record: Some(record),
            replaces: self.claim_epoch,
            group: plan.group.0,
            lookup: false,
        }));
    }

    pub(super) fn on_claiming_timer<H: RequestContext>(&mut self, now: Instant, host: &mut H) {
        let CorePhase::Claiming { ends, ask_at, .. } = &self.phase else {
            return;
        };
        if now >= self.plan.deadline {
            self.refuse_not_run(reasons::RefusalReason::DeadlinePassed, None, host);
        } else if now >= *ends {
            let retry_after = Some(Duration::from_secs(1));
            self.refuse_not_run(reasons::RefusalReason::ClaimUnavailable, retry_after, host);
        } else if now >= *ask_at {
            self.ask_claim(now);
        }
    }

    pub(super) fn on_claimed<H: RequestContext>(
        &mut self,
        now: Instant,
        result: messages::ClaimResult,
        host: &mut H,
    ) {
        match &self.phase {
            CorePhase::Claiming { .. } => self.on_claim_answer(now, result, host),
            CorePhase::Recalling { .. } => self.on_recalled(result.record, host),
            CorePhase::Bound(run) if run.followed => self.on_followed(result.record, host),
            _ => {}
        }
    }

    fn on_claim_answer<H: RequestContext>(
        &mut self,
        now: Instant,
        result: messages::ClaimResult,
        host: &mut H,
    ) {
        let CorePhase::Claiming { hold, place, .. } = &self.phase else {
            return;
        };
        let Some(record) = result.record else {
            return;
        };
        let hold = *hold;
        let own = record.request == self.plan.request_bytes();
        if !own {
            self.count(counters::CounterEvent::ClaimsExisting);
            self.decline(hold.agent, hold.grant);
            self.attach(now, record, host);
            return;
        }
        self.claim_epoch = record.epoch;
        if record.agent != place.name || record.incarnation != hold.incarnation.0 {
            // The claim names an agent of an earlier grant; it is replaced.
            self.ask_claim(now);
        } else if now >= hold.ends {
            self.decline(hold.agent, hold.grant);
            self.count(counters::CounterEvent::GrantsExpired);
            self.offer_again(now, reasons::RetryReason::Refused, host);
        } else {
            self.count(counters::CounterEvent::ClaimsGranted);
            self.hand_over(now, hold);
        }
    }

    /// Follows the claim of another request; this request's own grant has been given back.
    fn attach<H: RequestContext>(
        &mut self,
        now: Instant,
        record: messages::ClaimRecord,
        host: &mut H,
    ) {
        let same_body = self
            .plan
            .claim
            .as_ref()
            .is_some_and(|plan| plan.digest == record.digest);
        self.phase = CorePhase::Ended;
        if !same_body {
            self.refuse_not_run(reasons::RefusalReason::KeyMismatch, None, host);
            return;
        }
        if let Some(result) = &record.result
            && (!result.whole || result.body.is_some())
        {
            self.deliver_stored(result.clone(), reasons::RefusalReason::KeyUnknown, host);
            return;
        }
        let reached = host.connect_agent(&record.agent, &record.address);
        let request = ids::RequestId::from_slice(&record.request);
        let (Some(agent), Ok(request)) = (reached, request) else {
            self.refuse_unknown(reasons::RefusalReason::KeyUnknown, host);
            return;
        };
        self.claim_epoch = record.epoch;
        let incarnation = ids::Incarnation(record.incarnation);
        let give_up_at = now + self.timing.settle_limit;
        let run = binding::BoundRun::following(agent, incarnation, request, give_up_at);
        self.phase = CorePhase::Bound(run);
    }

    /// Passes a stored result on, as far as the caller hasn't got it yet.
    fn deliver_stored<H: RequestContext>(
        &mut self,
        result: messages::ClaimOutcome,
        reason: reasons::RefusalReason,
        host: &mut H,
    ) {
        let body = result.body.unwrap_or_default();
        let rest = self.answer.tracker().rest_of(&body);
        let (true, Some(rest)) = (result.whole, rest) else {
            self.refuse_unknown(reason, host);
            return;
        };
        self.answer
            .push_head(result.status, result.headers, &mut self.actions);
        self.answer.push_data(rest, &mut self.actions);
        self.answer.finish(&mut self.actions);
        self.phase = CorePhase::Ended;
        host.release_body();
    }

    /// Ends a run whose agent is lost. A keyed run may have left its result with the claim.
    pub(super) fn lose_run<H: RequestContext>(&mut self, now: Instant, host: &mut H) {
        let CorePhase::Bound(run) = std::mem::replace(&mut self.phase, CorePhase::Ended) else {
            return;
        };
        if self.plan.claim.is_none() {
            self.refuse_unknown(reasons::RefusalReason::AgentLost, host);
            return;
        }
        self.phase = CorePhase::Recalling {
            run,
            ends: now + self.timing.claim_limit,
            ask_at: now + self.timing.claim_interval,
        };
        self.ask_result();
    }

    /// Looks the claim up.
    pub(super) fn ask_result(&mut self) {
        let Some(plan) = &self.plan.claim else {
            return;
        };
        self.actions.push(CoreAction::Claim(messages::ClaimKey {
            name: Some(plan.name.clone()),
            record: None,
            replaces: 0,
            group: plan.group.0,
            lookup: true,
        }));
    }

    pub(super) fn on_recalling_timer<H: RequestContext>(&mut self, now: Instant, host: &mut H) {
        let CorePhase::Recalling { run, ends, ask_at } = &mut self.phase else {
            return;
        };
        if now >= *ends {
            let reason = run.lost_reason();
            self.refuse_unknown(reason, host);
        } else if now >= *ask_at {
            *ask_at = now + self.timing.claim_interval;
            self.ask_result();
        }
    }

    /// Takes the looked-up claim of a followed run in. Without a result the run is settled again by
    /// its timer. A result that was too long to be stored is read at the agent.
    fn on_followed<H: RequestContext>(
        &mut self,
        record: Option<messages::ClaimRecord>,
        host: &mut H,
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
            self.deliver_stored(result, reasons::RefusalReason::KeyUnknown, host);
        } else if finished {
            self.take_run(host);
            self.resume();
        }
    }

    /// Takes the looked-up claim in. A claim without a result is asked for again until the limit,
    /// since the agent may have ended the request just before it was lost.
    fn on_recalled<H: RequestContext>(
        &mut self,
        record: Option<messages::ClaimRecord>,
        host: &mut H,
    ) {
        let CorePhase::Recalling { run, .. } = &self.phase else {
            return;
        };
        let reason = run.lost_reason();
        let wanted = run.request.to_bytes();
        let record = record.filter(|record| record.request == wanted);
        if let Some(result) = record.and_then(|record| record.result) {
            if result.whole && result.body.is_none() {
                self.refuse_unknown(reason, host);
            } else {
                self.deliver_stored(result, reason, host);
            }
        }
    }
}
