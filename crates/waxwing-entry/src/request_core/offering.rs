//! From acceptance to the handover: offers to agents, additional offers, refusals and retries.

use std::time::{Duration, Instant};

use waxwing_core::{counters, ids, reasons};
use waxwing_policy::choice;
use waxwing_wire::messages;

use super::{CoreAction, CorePhase, HeldGrant, RequestContext, RequestCore, binding};

/// Upper bound of an agent's retry-after hint; the same as that of the backoff.
const MAX_RETRY_HINT: Duration = Duration::from_secs(2);

/// Agents that are offered one request before each further offer takes from the retry budget;
/// bounds the messages for a request that no agent can serve.
const MAX_AGENTS_ASKED: usize = 16;

/// Offers of a request that waits for a grant.
#[derive(Debug)]
pub(super) struct OfferSet {
    /// Agents with an open offer.
    pub(super) open: Vec<choice::EndpointId>,
    /// Agents that refused or were lost in the current round.
    tried: Vec<choice::EndpointId>,
    /// When one more agent gets an offer.
    extra_offer_at: Instant,
    /// When the next retry is due.
    retry_at: Option<Instant>,
    /// When to look for a usable agent again, while there is none.
    poll_at: Option<Instant>,
    /// Since when there has been no usable agent.
    no_agent_since: Option<Instant>,
    /// The latest refusal reason, reported to the caller if the request is refused.
    reason: reasons::RefusalReason,
    /// The latest retry-after hint of an agent, likewise reported.
    retry_hint: Duration,
}

impl OfferSet {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            open: Vec::new(),
            tried: Vec::new(),
            extra_offer_at: now,
            retry_at: None,
            poll_at: None,
            no_agent_since: None,
            reason: reasons::RefusalReason::NoEndpoint,
            retry_hint: Duration::ZERO,
        }
    }

    /// Moves an agent from `open` to `tried`; returns whether it had an open offer.
    fn mark_tried(&mut self, agent: choice::EndpointId) -> bool {
        let Some(index) = self.open.iter().position(|other| *other == agent) else {
            return false;
        };
        self.open.swap_remove(index);
        self.tried.push(agent);
        true
    }

    fn excluded(&self) -> Vec<choice::EndpointId> {
        self.open.iter().chain(&self.tried).copied().collect()
    }
}

impl RequestCore {
    /// Sends offers until the initial number is open. Without a usable agent, looks again later or,
    /// after the wait limit, refuses the request.
    pub(super) fn fill_offers<C: RequestContext>(&mut self, now: Instant, context: &mut C) {
        let CorePhase::Offering(set) = &mut self.phase else {
            return;
        };
        set.poll_at = None;
        let missing = self.plan.offers.initial.saturating_sub(set.open.len());
        self.send_offers(now, missing, context);
        let CorePhase::Offering(set) = &mut self.phase else {
            return;
        };
        if !set.open.is_empty() {
            set.no_agent_since = None;
            return;
        }
        let since = *set.no_agent_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.timing.endpoint_wait {
            set.poll_at = Some(now + self.timing.endpoint_poll_interval);
            return;
        }
        let reason = set.reason;
        self.refuse_not_run(reason, Some(Duration::from_secs(1)), context);
    }

    fn send_offers<C: RequestContext>(&mut self, now: Instant, count: usize, context: &mut C) {
        let CorePhase::Offering(set) = &mut self.phase else {
            return;
        };
        let mut picks = Vec::with_capacity(count);
        context.choose_agents(&self.plan, &set.excluded(), count, &mut picks);
        if picks.is_empty() && set.open.is_empty() && !set.tried.is_empty() {
            // Every agent was tried, so a new round starts with all of them.
            set.tried.clear();
            context.choose_agents(&self.plan, &[], count, &mut picks);
        }
        set.extra_offer_at = now + self.timing.extra_offer_delay;
        set.open.extend(&picks);
        let offer = self.plan.offer(now);
        for agent in picks {
            self.send(agent, 0, messages::Body::Offer(offer.clone()));
            self.count(counters::CounterEvent::OffersSent);
        }
    }

    pub(super) fn next_offer_timer(&self, set: &OfferSet) -> Instant {
        let can_add = !set.open.is_empty() && set.open.len() < self.plan.offers.max_open;
        let extra_offer_at = can_add.then_some(set.extra_offer_at);
        [extra_offer_at, set.retry_at, set.poll_at]
            .into_iter()
            .flatten()
            .fold(self.plan.deadline, Instant::min)
    }

    pub(super) fn on_offering_timer<C: RequestContext>(&mut self, now: Instant, context: &mut C) {
        if now >= self.plan.deadline {
            self.refuse_not_run(reasons::RefusalReason::DeadlinePassed, None, context);
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
            self.fill_offers(now, context);
        } else if now >= set.extra_offer_at
            && !set.open.is_empty()
            && set.open.len() < self.plan.offers.max_open
        {
            self.send_offers(now, 1, context);
        }
    }

    pub(super) fn on_offer_refused<C: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        refused: &messages::OfferRefused,
        context: &mut C,
    ) {
        let CorePhase::Offering(set) = &mut self.phase else {
            return;
        };
        if refused.request != self.plan.request_bytes() || !set.mark_tried(agent) {
            return;
        }
        set.reason = parse_reason(&refused.reason, reasons::RefusalReason::NoEndpoint);
        set.retry_hint = Duration::from_millis(refused.retry_after_millis).min(MAX_RETRY_HINT);
        if !self.offer_untried(now, context) {
            self.schedule_retry(now, reasons::RetryReason::Refused, context);
        }
    }

    /// Offers the request to an agent that has not refused it yet; returns whether there was one.
    /// Asking another agent repeats no work, so it takes nothing from the retry budget. Without
    /// this, requests were shed while an agent that was never asked served a lower tier.
    fn offer_untried<C: RequestContext>(&mut self, now: Instant, context: &mut C) -> bool {
        let CorePhase::Offering(set) = &mut self.phase else {
            return false;
        };
        let excluded = set.excluded();
        if set.retry_at.is_some() || excluded.len() >= MAX_AGENTS_ASKED {
            return false;
        }
        let mut picks = Vec::with_capacity(1);
        context.choose_agents(&self.plan, &excluded, 1, &mut picks);
        let Some(agent) = picks.pop() else {
            return false;
        };
        set.open.push(agent);
        let offer = self.plan.offer(now);
        self.send(agent, 0, messages::Body::Offer(offer));
        self.count(counters::CounterEvent::OffersSent);
        true
    }

    pub(super) fn on_offer_lost<C: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        context: &mut C,
    ) {
        if let CorePhase::Offering(set) = &mut self.phase
            && set.mark_tried(agent)
        {
            self.schedule_retry(now, reasons::RetryReason::LinkLost, context);
        }
    }

    /// Schedules the next offers within the retry budget. If the budget is exhausted, offers that
    /// are still open continue.
    fn schedule_retry<C: RequestContext>(
        &mut self,
        now: Instant,
        reason: reasons::RetryReason,
        context: &mut C,
    ) {
        let CorePhase::Offering(set) = &mut self.phase else {
            return;
        };
        if set.retry_at.is_some() {
            return;
        }
        if let Some(delay) = context.allow_retry(&self.plan, self.attempts) {
            self.attempts += 1;
            set.retry_at = Some(now + delay);
            self.actions.push(CoreAction::Retry(reason));
        } else if set.open.is_empty() {
            let (reason, hint) = (set.reason, set.retry_hint.max(Duration::from_secs(1)));
            self.refuse_not_run(reason, Some(hint), context);
        }
    }

    /// Waits for another grant after a grant was lost or a handover is confirmed not to have run.
    pub(super) fn restart_offers<C: RequestContext>(
        &mut self,
        now: Instant,
        retry: reasons::RetryReason,
        context: &mut C,
    ) {
        self.restart_offers_with(now, retry, reasons::RefusalReason::NoEndpoint, context);
    }

    /// Waits for another grant; `reason` is reported to the caller if the retry budget is
    /// exhausted.
    pub(super) fn restart_offers_with<C: RequestContext>(
        &mut self,
        now: Instant,
        retry: reasons::RetryReason,
        reason: reasons::RefusalReason,
        context: &mut C,
    ) {
        context.unpin_body();
        let mut set = OfferSet::new(now);
        set.reason = reason;
        self.phase = CorePhase::Offering(set);
        self.schedule_retry(now, retry, context);
    }

    pub(super) fn on_grant<C: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        grant: &messages::Grant,
        context: &mut C,
    ) {
        let incarnation = ids::Incarnation(grant.incarnation);
        let key = (agent, incarnation, grant.grant);
        if grant.request != self.plan.request_bytes() || self.used_grants.contains(&key) {
            return;
        }
        self.used_grants.push(key);
        let is_open = matches!(&self.phase, CorePhase::Offering(set) if set.open.contains(&agent));
        if is_open && self.claimed_agents.contains(&(agent, incarnation)) {
            self.decline(agent, grant.grant);
            self.skip_claimed_agent(now, agent, context);
            return;
        }
        if !is_open || now >= self.plan.deadline || !context.pin_body() {
            self.decline(agent, grant.grant);
            return;
        }
        let others = self.other_offers(agent);
        self.withdraw(&others);
        let held = HeldGrant {
            agent,
            incarnation,
            grant: grant.grant,
            expires_at: now + Duration::from_millis(grant.lease_millis),
        };
        if self.plan.claim.is_some() {
            self.begin_claim(now, held, context);
        } else {
            self.hand_over(now, held);
        }
    }

    /// Looks for another agent, since a claim can't name this one again.
    fn skip_claimed_agent<C: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        context: &mut C,
    ) {
        if let CorePhase::Offering(set) = &mut self.phase
            && set.mark_tried(agent)
        {
            set.reason = reasons::RefusalReason::ClaimUnavailable;
            self.schedule_retry(now, reasons::RetryReason::Refused, context);
        }
    }

    fn other_offers(&self, agent: choice::EndpointId) -> Vec<choice::EndpointId> {
        let CorePhase::Offering(set) = &self.phase else {
            return Vec::new();
        };
        let others = set.open.iter().filter(|other| **other != agent);
        others.copied().collect()
    }

    /// Sends the request to the agent of the grant. From here on it may have arrived.
    pub(super) fn hand_over(&mut self, now: Instant, held: HeldGrant) {
        let handover = self.plan.handover(now, held.grant);
        self.send(held.agent, held.grant, messages::Body::Handover(handover));
        self.count(counters::CounterEvent::HandoversSent);
        self.handover_agents.push(held.agent);
        let settle_at = now + self.timing.settle_interval;
        let run = binding::BoundRun::from_handover(held, self.plan.request, settle_at);
        self.phase = CorePhase::Bound(run);
    }
}

/// Parses the refusal reason of a message. An unknown name, sent by a newer version, yields
/// `default`.
pub(super) fn parse_reason(name: &str, default: reasons::RefusalReason) -> reasons::RefusalReason {
    name.parse().unwrap_or(default)
}
