//! From acceptance to a grant: offers, their widening, refusals, retries and the hand-over.

use std::time::{Duration, Instant};

use waxwing_core::{counters, ids, reasons};
use waxwing_policy::choice;
use waxwing_wire::messages;

use super::{CoreAction, CorePhase, GrantHold, RequestContext, RequestCore, binding};

/// The longest time for which an agent's hint delays the next offer; the bound of the backoff.
const MAX_HINT: Duration = Duration::from_secs(2);

/// Agents that are asked for one request before the retry budget decides; it bounds the messages
/// of a request that nobody can serve.
const MAX_ASKED: usize = 16;

/// An `OfferSet` holds the offers of a request that waits.
#[derive(Debug)]
pub(super) struct OfferSet {
    /// Agents that hold an offer.
    pub(super) open: Vec<choice::EndpointId>,
    /// Agents that refused or were lost since the last full round.
    tried: Vec<choice::EndpointId>,
    widen_at: Instant,
    retry_at: Option<Instant>,
    /// When to look again for an endpoint, while there is none.
    poll_at: Option<Instant>,
    /// Since when there has been none.
    empty_since: Option<Instant>,
    reason: reasons::RefusalReason,
    hint: Duration,
}

impl OfferSet {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            open: Vec::new(),
            tried: Vec::new(),
            widen_at: now,
            retry_at: None,
            poll_at: None,
            empty_since: None,
            reason: reasons::RefusalReason::NoEndpoint,
            hint: Duration::ZERO,
        }
    }

    /// Moves an agent from the open offers to those that were tried.
    fn close(&mut self, agent: choice::EndpointId) -> bool {
        let Some(place) = self.open.iter().position(|other| *other == agent) else {
            return false;
        };
        self.open.swap_remove(place);
        self.tried.push(agent);
        true
    }

    fn excluded(&self) -> Vec<choice::EndpointId> {
        self.open.iter().chain(&self.tried).copied().collect()
    }
}

impl RequestCore {
    /// Brings the open offers up to their first number, or looks again later if no endpoint is
    /// known.
    pub(super) fn offer_more<H: RequestContext>(&mut self, now: Instant, host: &mut H) {
        let CorePhase::Offering(set) = &mut self.phase else {
            return;
        };
        set.poll_at = None;
        let missing = self.plan.offers.initial.saturating_sub(set.open.len());
        self.send_offers(now, missing, host);
        let CorePhase::Offering(set) = &mut self.phase else {
            return;
        };
        if !set.open.is_empty() {
            set.empty_since = None;
            return;
        }
        let since = *set.empty_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.timing.endpoint_wait {
            set.poll_at = Some(now + self.timing.endpoint_poll);
            return;
        }
        let reason = set.reason;
        self.refuse_not_run(reason, Some(Duration::from_secs(1)), host);
    }

    fn send_offers<H: RequestContext>(&mut self, now: Instant, count: usize, host: &mut H) {
        let CorePhase::Offering(set) = &mut self.phase else {
            return;
        };
        let mut picks = Vec::with_capacity(count);
        host.choose_agents(&self.plan, &set.excluded(), count, &mut picks);
        if picks.is_empty() && set.open.is_empty() && !set.tried.is_empty() {
            // All were tried, so the next round may go to any of them again.
            set.tried.clear();
            host.choose_agents(&self.plan, &[], count, &mut picks);
        }
        set.widen_at = now + self.timing.widen_after;
        set.open.extend(&picks);
        let offer = self.plan.offer(now);
        for agent in picks {
            self.send(agent, 0, messages::Body::Offer(offer.clone()));
            self.count(counters::CounterEvent::OffersSent);
        }
    }

    pub(super) fn offering_wake(&self, set: &OfferSet) -> Instant {
        let can_widen = !set.open.is_empty() && set.open.len() < self.plan.offers.max_open;
        let widen_at = can_widen.then_some(set.widen_at);
        [widen_at, set.retry_at, set.poll_at]
            .into_iter()
            .flatten()
            .fold(self.plan.deadline, Instant::min)
    }

    pub(super) fn on_offering_timer<H: RequestContext>(&mut self, now: Instant, host: &mut H) {
        if now >= self.plan.deadline {
            self.refuse_not_run(reasons::RefusalReason::DeadlinePassed, None, host);
            return;
        }
        let CorePhase::Offering(set) = &mut self.phase else {
            return;
        };
        let retry_due = set.retry_at.is_some_and(|due| now >= due);
        if retry_due {
            set.retry_at = None;
        }
        if retry_due || set.poll_at.is_some_and(|due| now >= due) {
            self.offer_more(now, host);
        } else if now >= set.widen_at
            && !set.open.is_empty()
            && set.open.len() < self.plan.offers.max_open
        {
            self.send_offers(now, 1, host);
        }
    }

    pub(super) fn on_offer_refused<H: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        refused: &messages::OfferRefused,
        host: &mut H,
    ) {
        let CorePhase::Offering(set) = &mut self.phase else {
            return;
        };
        if refused.request != self.plan.request_bytes() || !set.close(agent) {
            return;
        }
        set.reason = parse_reason(&refused.reason, reasons::RefusalReason::NoEndpoint);
        set.hint = Duration::from_millis(refused.retry_after_millis).min(MAX_HINT);
        if !self.offer_untried(now, host) {
            self.plan_retry(now, reasons::RetryReason::Refused, host);
        }
    }

    /// Offers the request to an agent that has not refused it yet; returns whether there was one.
    /// Asking another agent repeats no work, so it takes nothing from the retry budget; without
    /// it, a request was shed while an agent that was never asked served a lower tier.
    fn offer_untried<H: RequestContext>(&mut self, now: Instant, host: &mut H) -> bool {
        let CorePhase::Offering(set) = &mut self.phase else {
            return false;
        };
        let excluded = set.excluded();
        if set.retry_at.is_some() || excluded.len() >= MAX_ASKED {
            return false;
        }
        let mut picks = Vec::with_capacity(1);
        host.choose_agents(&self.plan, &excluded, 1, &mut picks);
        let Some(agent) = picks.pop() else {
            return false;
        };
        set.open.push(agent);
        let offer = self.plan.offer(now);
        self.send(agent, 0, messages::Body::Offer(offer));
        self.count(counters::CounterEvent::OffersSent);
        true
    }

    pub(super) fn on_offer_lost<H: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        host: &mut H,
    ) {
        if let CorePhase::Offering(set) = &mut self.phase
            && set.close(agent)
        {
            self.plan_retry(now, reasons::RetryReason::LinkLost, host);
        }
    }

    /// Schedules the next offers within the budget. Offers that are still open go on without one.
    fn plan_retry<H: RequestContext>(
        &mut self,
        now: Instant,
        reason: reasons::RetryReason,
        host: &mut H,
    ) {
        let CorePhase::Offering(set) = &mut self.phase else {
            return;
        };
        if set.retry_at.is_some() {
            return;
        }
        if let Some(delay) = host.allow_retry(&self.plan, self.attempts) {
            self.attempts += 1;
            set.retry_at = Some(now + delay);
            self.actions.push(CoreAction::Retry(reason));
        } else if set.open.is_empty() {
            let (reason, hint) = (set.reason, set.hint.max(Duration::from_secs(1)));
            self.refuse_not_run(reason, Some(hint), host);
        }
    }

    /// Waits for another grant after a hold or a hand-over that is proved not to have run.
    pub(super) fn offer_again<H: RequestContext>(
        &mut self,
        now: Instant,
        retry: reasons::RetryReason,
        host: &mut H,
    ) {
        self.offer_after(now, retry, reasons::RefusalReason::NoEndpoint, host);
    }

    /// Waits for another grant; `reason` is what the caller learns if the budget allows none.
    pub(super) fn offer_after<H: RequestContext>(
        &mut self,
        now: Instant,
        retry: reasons::RetryReason,
        reason: reasons::RefusalReason,
        host: &mut H,
    ) {
        host.unpin_body();
        let mut set = OfferSet::new(now);
        set.reason = reason;
        self.phase = CorePhase::Offering(set);
        self.plan_retry(now, retry, host);
    }

    pub(super) fn on_grant<H: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        grant: &messages::Grant,
        host: &mut H,
    ) {
        let incarnation = ids::Incarnation(grant.incarnation);
        let key = (agent, incarnation, grant.grant);
        if grant.request != self.plan.request_bytes() || self.spent.contains(&key) {
            return;
        }
        self.spent.push(key);
        let wanted = matches!(&self.phase, CorePhase::Offering(set) if set.open.contains(&agent));
        if wanted && self.claimed.contains(&(agent, incarnation)) {
            self.decline(agent, grant.grant);
            self.skip_claimed(now, agent, host);
            return;
        }
        if !wanted || now >= self.plan.deadline || !host.pin_body() {
            self.decline(agent, grant.grant);
            return;
        }
        let others = self.other_offers(agent);
        self.withdraw(&others);
        let hold = GrantHold {
            agent,
            incarnation,
            grant: grant.grant,
            ends: now + Duration::from_millis(grant.lease_millis),
        };
        if self.plan.claim.is_some() {
            self.claim(now, hold, host);
        } else {
            self.hand_over(now, hold);
        }
    }

    /// Looks for another agent, since the claim can't name this one again.
    fn skip_claimed<H: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        host: &mut H,
    ) {
        if let CorePhase::Offering(set) = &mut self.phase
            && set.close(agent)
        {
            set.reason = reasons::RefusalReason::ClaimUnavailable;
            self.plan_retry(now, reasons::RetryReason::Refused, host);
        }
    }

    fn other_offers(&self, agent: choice::EndpointId) -> Vec<choice::EndpointId> {
        let CorePhase::Offering(set) = &self.phase else {
            return Vec::new();
        };
        let others = set.open.iter().filter(|other| **other != agent);
        others.copied().collect()
    }

    /// Gives the request to the agent of the grant. From here on it may have arrived.
    pub(super) fn hand_over(&mut self, now: Instant, hold: GrantHold) {
        let handover = self.plan.handover(now, hold.grant);
        self.send(hold.agent, hold.grant, messages::Body::Handover(handover));
        self.count(counters::CounterEvent::HandoversSent);
        self.handed.push(hold.agent);
        let settle_at = now + self.timing.settle_interval;
        let run = binding::BoundRun::handed(hold, self.plan.request, settle_at);
        self.phase = CorePhase::Bound(run);
    }
}

/// Reads a reason of a message; an unknown name comes from a newer version and is replaced.
pub(super) fn parse_reason(name: &str, default: reasons::RefusalReason) -> reasons::RefusalReason {
    name.parse().unwrap_or(default)
}
