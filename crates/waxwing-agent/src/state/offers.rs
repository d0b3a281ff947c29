//! Offers and grants: which waiting request gets the endpoint's next free capacity.

use std::time::{Duration, Instant};

use smol_str::SmolStr;
use waxwing_core::{counters, ids, prompts, reasons, units};
use waxwing_policy::{admission, queue, suspension};
use waxwing_wire::messages;

use crate::{events, jobs, state};

/// Cap on deadlines and waiting times that entries send, so that arithmetic on `Instant` can't
/// overflow.
const MAX_REQUEST_DURATION: Duration = Duration::from_secs(86_400);

/// Factor on the service time that the lowest tier must have until its deadline while a higher tier
/// runs, since it will be suspended meanwhile. With less, half of its requests were cut off.
const LOWEST_TIER_SLACK: u32 = 2;

/// Waiting time of a granted offer that counts as a sign of overload in its tier.
const OVERLOAD_WAIT: Duration = Duration::from_millis(250);

/// How long such a wait or a missed deadline counts as a sign of overload.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(10);

/// How long the lowest tier is remembered after its last offer.
const LOWEST_TIER_RETENTION: Duration = Duration::from_secs(60);

/// Limit of prefix hashes used per offer; the rest is ignored.
const MAX_PREFIXES: usize = 32;

/// What is admitted next.
enum NextAdmission {
    Resume(ids::RequestId, ids::TierRank),
    Grant(ids::TierRank),
}

fn capped_duration(millis: u64) -> Duration {
    Duration::from_millis(millis).min(MAX_REQUEST_DURATION)
}

/// Rounds up to whole KV-cache blocks, the engine's unit of allocation.
pub(super) fn whole_blocks(tokens: units::TokenCount) -> units::TokenCount {
    let block = prompts::BLOCK_TOKENS as u64;
    units::TokenCount(tokens.0.div_ceil(block).saturating_mul(block))
}

fn tier_rank(rank: u32) -> ids::TierRank {
    ids::TierRank(u8::try_from(rank).unwrap_or(u8::MAX))
}

impl state::AgentCore {
    pub(super) fn offer(&mut self, link: events::LinkId, offer: messages::Offer) {
        let Some(request) = events::request_id(&offer.request) else {
            return;
        };
        // A refusal would state that nothing ran, which is wrong for a request that was handed
        // over.
        if self.jobs.contains(request) || self.tombstones.contains(request) {
            return;
        }
        // A repeated offer replaces the first: the entry has replaced its link.
        self.queue.remove(request);
        self.revoke(request);
        let terms = self.offer_terms(&offer);
        self.record_tier(terms.rank);
        if let Some(reason) = self.offer_refusal(&offer, &terms) {
            self.refuse_offer(link, request, reason);
            return;
        }
        let mut prefixes = offer.prefix_hashes;
        prefixes.truncate(MAX_PREFIXES);
        let details = jobs::OfferDetails {
            link,
            idempotent: offer.idempotent,
            prefixes,
            immediate: offer.immediate,
        };
        match offer.immediate {
            true => self.grant(request, terms, details),
            false => self.enqueue(request, terms, details),
        }
        self.reports.mark_changed();
    }

    fn record_tier(&mut self, rank: ids::TierRank) {
        let (lowest, last) = self.lowest_tier;
        let forgotten = self.now.saturating_duration_since(last) >= LOWEST_TIER_RETENTION;
        if rank >= lowest || forgotten {
            self.lowest_tier = (rank, self.now);
        }
    }

    fn offer_terms(&self, offer: &messages::Offer) -> queue::OfferTerms {
        let waited = capped_duration(offer.waited_millis);
        queue::OfferTerms {
            rank: tier_rank(offer.rank),
            account: SmolStr::new(&offer.account),
            weight_millis: offer.weight_millis,
            prompt_tokens: units::TokenCount(offer.prompt_tokens),
            output_tokens: units::TokenCount(offer.output_tokens),
            deadline: self.now + capped_duration(offer.deadline_millis),
            waiting_since: self.now.checked_sub(waited).unwrap_or(self.now),
        }
    }

    fn offer_refusal(
        &self,
        offer: &messages::Offer,
        terms: &queue::OfferTerms,
    ) -> Option<reasons::RefusalReason> {
        if self.is_draining() {
            return Some(reasons::RefusalReason::Draining);
        }
        if !self.accepts_offers() {
            return Some(reasons::RefusalReason::EndpointFailed);
        }
        if !self.serves(offer) {
            return Some(reasons::RefusalReason::NoEndpoint);
        }
        if offer.immediate {
            return None;
        }
        let cached = self.cache.expected_tokens(&offer.prefix_hashes);
        self.deadline_refusal(terms, cached)
    }

    fn serves(&self, offer: &messages::Offer) -> bool {
        let (names, wanted) = match offer.model.is_empty() {
            true => (&self.info.services, &offer.service),
            false => (&self.info.models, &offer.model),
        };
        names.iter().any(|name| name == wanted)
    }

    /// Refuses an offer that can't finish by its deadline. The queue ahead of it counts only if no
    /// lower tier waits or can be suspended, and generations that can be suspended don't count as
    /// concurrent, since a higher tier is never shed before a lower one.
    pub(super) fn deadline_refusal(
        &self,
        terms: &queue::OfferTerms,
        cached: units::TokenCount,
    ) -> Option<reasons::RefusalReason> {
        if terms.deadline <= self.now {
            return Some(reasons::RefusalReason::DeadlinePassed);
        }
        if !self.is_engine() {
            return None;
        }
        let suspendable = self.count_suspendable_below(terms.rank);
        let lower_waiting = self.queue.loads().any(|(other, _)| other > terms.rank);
        let ahead = match suspendable > 0 || lower_waiting {
            true => units::TokenCount::ZERO,
            false => self.queue.tokens_above(terms.rank),
        };
        let prefill = ahead + terms.prompt_tokens.saturating_sub(cached);
        let concurrent = self.runs.len() + self.grants.len() - suspendable;
        let output = self.pace.expected_output(terms.output_tokens);
        let service = self.pace.prefill_time(prefill)
            + self.pace.batched_generation_time(output, concurrent + 1);
        let higher_open = self.jobs.open().any(|(_, job)| job.terms.rank < terms.rank);
        let is_lowest = suspendable == 0 && !lower_waiting && terms.rank >= self.lowest_tier.0;
        let overloaded = self.is_overloaded_above(terms.rank);
        let slack = if higher_open && is_lowest && overloaded {
            LOWEST_TIER_SLACK
        } else {
            1
        };
        let end = self.now + service * slack;
        (end > terms.deadline).then_some(reasons::RefusalReason::DeadlineUnreachable)
    }

    /// Returns the number of running generations below `rank` that can be suspended.
    pub(super) fn count_suspendable_below(&self, rank: ids::TierRank) -> usize {
        let running = self.jobs.open().filter(|(_, job)| job.run().is_some());
        let lower = |job: &jobs::Job| job.terms.rank > rank && job.can_resume();
        running.filter(|(_, job)| lower(job)).count()
    }

    fn enqueue(
        &mut self,
        request: ids::RequestId,
        terms: queue::OfferTerms,
        details: jobs::OfferDetails,
    ) {
        match self.queue.push(request, terms, details) {
            queue::PushResult::Queued => {}
            queue::PushResult::Evicted(offer)
            | queue::PushResult::Full(offer)
            | queue::PushResult::Duplicate(offer) => {
                let reason = reasons::RefusalReason::Evicted;
                self.refuse_offer(offer.payload.link, offer.request, reason);
            }
        }
    }

    /// Admits work while there is capacity: strictly by tier, and within a tier suspended
    /// generations before waiting offers, since their callers have already received part of the
    /// answer.
    pub(super) fn schedule(&mut self) {
        while self.schedule_next() {}
    }

    fn schedule_next(&mut self) -> bool {
        if self.health != state::EndpointHealth::Up || self.is_stall_limited() {
            return false;
        }
        match self.next_admission() {
            Some(NextAdmission::Resume(request, rank)) => self.try_resume(request, rank),
            Some(NextAdmission::Grant(rank)) => self.try_grant(rank),
            None => false,
        }
    }

    fn next_admission(&self) -> Option<NextAdmission> {
        let waiting = self.queue.head().map(|offer| offer.terms.rank);
        let suspended = self.next_suspended();
        match (suspended, waiting) {
            (Some((request, rank)), Some(head)) if rank <= head => {
                Some(NextAdmission::Resume(request, rank))
            }
            (_, Some(head)) => Some(NextAdmission::Grant(head)),
            (Some((request, rank)), None) => Some(NextAdmission::Resume(request, rank)),
            (None, None) => None,
        }
    }

    fn try_resume(&mut self, request: ids::RequestId, rank: ids::TierRank) -> bool {
        let Some(job) = self.jobs.get(request) else {
            return false;
        };
        let reservation = self.resume_reservation(job);
        if self.would_endanger_higher_tier(rank, reservation.prefill) {
            return false;
        }
        let waited = self.now.saturating_duration_since(job.terms.waiting_since);
        match self
            .admission
            .decide(reservation, self.pace.expected_prefill_rate())
        {
            admission::AdmissionDecision::Fits => {
                self.resume_run(request, reservation);
                true
            }
            shortfall => self.free_capacity(rank, shortfall, reservation, waited),
        }
    }

    fn try_grant(&mut self, rank: ids::TierRank) -> bool {
        let Some(head) = self.queue.head() else {
            return false;
        };
        let cached = self.cache.expected_tokens(&head.payload.prefixes);
        if let Some(reason) = self.deadline_refusal(&head.terms, cached) {
            let (link, request) = (head.payload.link, head.request);
            self.queue.remove(request);
            self.refuse_offer(link, request, reason);
            return true;
        }
        let reservation = self.reservation(&head.terms, cached);
        if self.would_endanger_higher_tier(rank, reservation.prefill) {
            return false;
        }
        let waited = self.now.saturating_duration_since(head.terms.waiting_since);
        match self
            .admission
            .decide(reservation, self.pace.expected_prefill_rate())
        {
            admission::AdmissionDecision::Fits => {
                if let Some(offer) = self.queue.take_head() {
                    self.grant(offer.request, offer.terms, offer.payload);
                }
                true
            }
            shortfall => self.free_capacity(rank, shortfall, reservation, waited),
        }
    }

    pub(super) fn reservation(
        &self,
        terms: &queue::OfferTerms,
        cached: units::TokenCount,
    ) -> admission::Reservation {
        if !self.is_engine() {
            return admission::Reservation::default();
        }
        admission::Reservation {
            context: whole_blocks(terms.context_tokens()),
            prefill: terms.prompt_tokens.saturating_sub(cached),
        }
    }

    /// Suspends lower-tier generations for a request that would otherwise miss its first-token
    /// target. Returns whether capacity was freed.
    fn free_capacity(
        &mut self,
        rank: ids::TierRank,
        shortfall: admission::AdmissionDecision,
        reservation: admission::Reservation,
        waited: Duration,
    ) -> bool {
        let target = self.admission.first_token_target();
        let prefill = self.pace.prefill_time(reservation.prefill);
        if !suspension::would_miss_target(waited, self.next_release(), prefill, target) {
            return false;
        }
        let wanted = match shortfall {
            admission::AdmissionDecision::Fits => return true,
            admission::AdmissionDecision::LacksTokens(tokens) => {
                suspension::CapacityNeeded::Tokens(tokens)
            }
            admission::AdmissionDecision::LacksSlot => suspension::CapacityNeeded::Slot,
            // Prefill is never interrupted; the admission limit bounds how much is pending.
            admission::AdmissionDecision::LacksPrefill => return false,
        };
        self.suspend_for(rank, wanted)
    }

    /// Suspends generations below `rank` to free what `wanted` asks for; returns whether any was
    /// suspended.
    pub(super) fn suspend_for(
        &mut self,
        rank: ids::TierRank,
        wanted: suspension::CapacityNeeded,
    ) -> bool {
        let open = self.jobs.open();
        let running = open.filter_map(|(request, job)| job.running_request(request));
        let victims = suspension::choose_victims(running, rank, wanted);
        victims.iter().for_each(|victim| self.suspend(*victim));
        !victims.is_empty()
    }

    /// Returns the time until the first running request is expected to finish.
    fn next_release(&self) -> Duration {
        let running = self.jobs.open().filter(|(_, job)| job.run().is_some());
        let remaining = running.map(|(_, job)| {
            let expected = self.pace.expected_output(job.terms.output_tokens);
            self.pace.generation_time(job.remaining_output(expected))
        });
        remaining.min().unwrap_or_default()
    }

    fn grant(
        &mut self,
        request: ids::RequestId,
        terms: queue::OfferTerms,
        details: jobs::OfferDetails,
    ) {
        let cached = self.cache.expected_tokens(&details.prefixes);
        let reservation = self.reservation(&terms, cached);
        self.admission.admit(reservation);
        if self.now.saturating_duration_since(terms.waiting_since) >= OVERLOAD_WAIT {
            self.overload_signs.insert(terms.rank, self.now);
        }
        let grant = ids::GrantId(self.next_grant);
        self.next_grant += 1;
        let message = messages::Grant {
            request: request.to_bytes().to_vec(),
            grant: grant.0,
            incarnation: self.incarnation.0,
            lease_millis: self.limits.grant_ms,
            cached_tokens: cached.0,
        };
        self.send(details.link, 0, messages::Body::Grant(message));
        let live_grant = jobs::LiveGrant {
            grant,
            expires_at: self.now + self.limits.grant(),
            terms,
            details,
            cached,
            reservation,
        };
        self.grants.insert(request, live_grant);
        self.reports.mark_changed();
    }

    /// Ends an unused grant: releases its reservation and refunds the account's charge.
    pub(super) fn revoke(&mut self, request: ids::RequestId) -> bool {
        let Some(live_grant) = self.grants.remove(&request) else {
            return false;
        };
        self.admission.release(live_grant.reservation);
        if !live_grant.details.immediate {
            self.queue.refund(&live_grant.terms);
        }
        self.reports.mark_changed();
        true
    }

    pub(super) fn withdraw(&mut self, withdraw: &messages::Withdraw) {
        if let Some(request) = events::request_id(&withdraw.request) {
            self.queue.remove(request);
            self.revoke(request);
            self.reports.mark_changed();
        }
    }

    pub(super) fn decline(&mut self, decline: &messages::Decline) {
        let Some(request) = events::request_id(&decline.request) else {
            return;
        };
        let live_grant = self.grants.get(&request);
        if live_grant.is_some_and(|live_grant| live_grant.grant.0 == decline.grant) {
            self.revoke(request);
        }
    }

    pub(super) fn expire_grants(&mut self) {
        let now = self.now;
        let ended = self
            .grants
            .iter()
            .filter(|(_, live_grant)| live_grant.expires_at <= now);
        let ended: Vec<_> = ended.map(|(request, _)| *request).collect();
        for request in ended {
            self.revoke(request);
            self.counters.count(counters::CounterEvent::GrantsExpired);
        }
    }

    /// Refuses waiting offers whose deadline can no longer be met.
    pub(super) fn refuse_unreachable(&mut self) {
        let check = |offer: &queue::WaitingOffer<jobs::OfferDetails>| {
            let cached = self.cache.expected_tokens(&offer.payload.prefixes);
            let reason = self.deadline_refusal(&offer.terms, cached)?;
            Some((offer.payload.link, offer.request, reason))
        };
        let refused: Vec<_> = self.queue.iter().filter_map(check).collect();
        for (link, request, reason) in refused {
            self.queue.remove(request);
            self.refuse_offer(link, request, reason);
        }
    }

    /// Returns whether a tier above `rank` recently showed overload: an offer of it waited
    /// noticeably or a request of it missed its deadline.
    pub(super) fn is_overloaded_above(&self, rank: ids::TierRank) -> bool {
        let mut higher = self.overload_signs.range(..rank);
        higher.any(|(_, last)| self.now.saturating_duration_since(*last) < OVERLOAD_WINDOW)
    }

    pub(super) fn deadline_after(&self, millis: u64) -> Instant {
        self.now + capped_duration(millis)
    }
}
