//! Offers and grants: which waiting request gets the next room of the endpoint.

use std::time::{Duration, Instant};

use smol_str::SmolStr;
use waxwing_core::{counters, ids, prompts, reasons, units};
use waxwing_policy::{admission, queue, suspension};
use waxwing_wire::messages;

use crate::{events, jobs, state};

/// The longest time that counts for a deadline or for waiting; it bounds sums with the clock.
const LONGEST: Duration = Duration::from_secs(86_400);

/// The multiple of its own time that the lowest tier needs until its deadline while a higher one
/// is at work, since it will be suspended meanwhile; with less, half of it was cut off.
const LOWEST_SLACK: u32 = 2;

/// The wait of an offer from which on the endpoint counts as under pressure of its tier.
const NOTICED_WAIT: Duration = Duration::from_millis(250);

/// The time for which such a wait or a missed deadline counts.
const PRESSURE_TIME: Duration = Duration::from_secs(10);

/// The time for which the lowest tier is remembered after its last offer.
const TIER_MEMORY: Duration = Duration::from_secs(60);

/// The most prefix hashes of an offer that are looked at.
const MAX_PREFIXES: usize = 32;

/// A `NextTurn` is what gets the next room.
enum NextTurn {
    Resume(ids::RequestId, ids::TierRank),
    Grant(ids::TierRank),
}

fn bounded(millis: u64) -> Duration {
    Duration::from_millis(millis).min(LONGEST)
}

/// Rounds up to whole blocks, which is what the engine sets aside.
pub(super) fn whole_blocks(tokens: units::TokenCount) -> units::TokenCount {
    let block = prompts::BLOCK_TOKENS as u64;
    units::TokenCount(tokens.0.div_ceil(block).saturating_mul(block))
}

fn rank_of(rank: u32) -> ids::TierRank {
    ids::TierRank(u8::try_from(rank).unwrap_or(u8::MAX))
}

impl state::AgentCore {
    pub(super) fn offer(&mut self, link: events::LinkId, offer: messages::Offer) {
        let Some(request) = events::request_id(&offer.request) else {
            return;
        };
        // A refusal would say that nothing ran, which is not true of a request that was taken.
        if self.jobs.contains(request) || self.tombstones.contains(request) {
            return;
        }
        // A second offer of a request replaces the first: its link was replaced.
        self.queue.remove(request);
        self.revoke(request);
        let terms = self.terms(&offer);
        self.note_tier(terms.rank);
        if let Some(reason) = self.refusal(&offer, &terms) {
            self.refuse_offer(link, request, reason);
            return;
        }
        let mut prefixes = offer.prefix_hashes;
        prefixes.truncate(MAX_PREFIXES);
        let note = jobs::OfferNote {
            link,
            idempotent: offer.idempotent,
            prefixes,
            immediate: offer.immediate,
        };
        match offer.immediate {
            true => self.grant(request, terms, note),
            false => self.enqueue(request, terms, note),
        }
        self.reports.mark();
    }

    fn note_tier(&mut self, rank: ids::TierRank) {
        let (lowest, last) = self.lowest;
        let forgotten = self.now.saturating_duration_since(last) >= TIER_MEMORY;
        if rank >= lowest || forgotten {
            self.lowest = (rank, self.now);
        }
    }

    fn terms(&self, offer: &messages::Offer) -> queue::OfferTerms {
        let waited = bounded(offer.waited_millis);
        queue::OfferTerms {
            rank: rank_of(offer.rank),
            account: SmolStr::new(&offer.account),
            weight_millis: offer.weight_millis,
            prompt_tokens: units::TokenCount(offer.prompt_tokens),
            output_tokens: units::TokenCount(offer.output_tokens),
            deadline: self.now + bounded(offer.deadline_millis),
            waiting_since: self.now.checked_sub(waited).unwrap_or(self.now),
        }
    }

    fn refusal(
        &self,
        offer: &messages::Offer,
        terms: &queue::OfferTerms,
    ) -> Option<reasons::RefusalReason> {
        if self.is_draining() {
            return Some(reasons::RefusalReason::Draining);
        }
        if !self.takes_offers() {
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

    /// Refuses what can't end by its deadline. The queue ahead counts only where no lower tier
    /// waits or could be suspended, and generations that could be suspended don't count for the
    /// pace, since a higher tier is never shed before a lower one.
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
        let lower = self.lower_generations(terms.rank);
        let waits = self.queue.loads().any(|(other, _)| other > terms.rank);
        let ahead = match lower > 0 || waits {
            true => units::TokenCount::ZERO,
            false => self.queue.tokens_above(terms.rank),
        };
        let prefill = ahead + terms.prompt_tokens.saturating_sub(cached);
        let beside = self.runs.len() + self.grants.len() - lower;
        let output = self.pace.expected_output(terms.output_tokens);
        let service =
            self.pace.prefill_time(prefill) + self.pace.generation_time_of(output, beside + 1);
        let higher = self.jobs.open().any(|(_, job)| job.terms.rank < terms.rank);
        let lowest = lower == 0 && !waits && terms.rank >= self.lowest.0;
        let pressed = self.is_pressed_above(terms.rank);
        let slack = if higher && lowest && pressed {
            LOWEST_SLACK
        } else {
            1
        };
        let end = self.now + service * slack;
        (end > terms.deadline).then_some(reasons::RefusalReason::DeadlineUnreachable)
    }

    /// Returns how many generations of lower tiers run that could be suspended.
    pub(super) fn lower_generations(&self, rank: ids::TierRank) -> usize {
        let running = self.jobs.open().filter(|(_, job)| job.run().is_some());
        let lower = |job: &jobs::Job| job.terms.rank > rank && job.can_resume();
        running.filter(|(_, job)| lower(job)).count()
    }

    fn enqueue(
        &mut self,
        request: ids::RequestId,
        terms: queue::OfferTerms,
        note: jobs::OfferNote,
    ) {
        match self.queue.push(request, terms, note) {
            queue::PushResult::Queued => {}
            queue::PushResult::Evicted(offer)
            | queue::PushResult::Full(offer)
            | queue::PushResult::Duplicate(offer) => {
                let reason = reasons::RefusalReason::Evicted;
                self.refuse_offer(offer.payload.link, offer.request, reason);
            }
        }
    }

    /// Gives room away as long as there is some: strictly by tier, and inside a tier to suspended
    /// generations before waiting offers, since their callers have seen the beginning.
    pub(super) fn schedule(&mut self) {
        while self.schedule_next() {}
    }

    fn schedule_next(&mut self) -> bool {
        if self.health != state::EndpointHealth::Up || self.is_held_back() {
            return false;
        }
        match self.next_turn() {
            Some(NextTurn::Resume(request, rank)) => self.try_resume(request, rank),
            Some(NextTurn::Grant(rank)) => self.try_grant(rank),
            None => false,
        }
    }

    fn next_turn(&self) -> Option<NextTurn> {
        let waiting = self.queue.head().map(|offer| offer.terms.rank);
        let suspended = self.next_suspended();
        match (suspended, waiting) {
            (Some((request, rank)), Some(head)) if rank <= head => {
                Some(NextTurn::Resume(request, rank))
            }
            (_, Some(head)) => Some(NextTurn::Grant(head)),
            (Some((request, rank)), None) => Some(NextTurn::Resume(request, rank)),
            (None, None) => None,
        }
    }

    fn try_resume(&mut self, request: ids::RequestId, rank: ids::TierRank) -> bool {
        let Some(job) = self.jobs.get(request) else {
            return false;
        };
        let share = self.resume_share(job);
        if self.would_endanger(rank, share.prefill) {
            return false;
        }
        let waited = self.now.saturating_duration_since(job.terms.waiting_since);
        match self.admission.decide(share, self.pace.rate()) {
            admission::AdmissionDecision::Fits => {
                self.resume_run(request, share);
                true
            }
            lacking => self.make_room(rank, lacking, share, waited),
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
        let share = self.share(&head.terms, cached);
        if self.would_endanger(rank, share.prefill) {
            return false;
        }
        let waited = self.now.saturating_duration_since(head.terms.waiting_since);
        match self.admission.decide(share, self.pace.rate()) {
            admission::AdmissionDecision::Fits => {
                if let Some(offer) = self.queue.take_head() {
                    self.grant(offer.request, offer.terms, offer.payload);
                }
                true
            }
            lacking => self.make_room(rank, lacking, share, waited),
        }
    }

    pub(super) fn share(
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
    /// target. Returns whether room was made.
    fn make_room(
        &mut self,
        rank: ids::TierRank,
        lacking: admission::AdmissionDecision,
        share: admission::Reservation,
        waited: Duration,
    ) -> bool {
        let target = self.admission.first_token_target();
        let prefill = self.pace.prefill_time(share.prefill);
        if !suspension::would_miss_target(waited, self.next_release(), prefill, target) {
            return false;
        }
        let wanted = match lacking {
            admission::AdmissionDecision::Fits => return true,
            admission::AdmissionDecision::LacksTokens(tokens) => {
                suspension::CapacityNeeded::Tokens(tokens)
            }
            admission::AdmissionDecision::LacksSlot => suspension::CapacityNeeded::Slot,
            // Prefill is never stopped; what is ahead is bounded by the admission limit.
            admission::AdmissionDecision::LacksPrefill => return false,
        };
        self.suspend_for(rank, wanted)
    }

    /// Suspends generations below `rank` until there is enough room; returns whether it did.
    pub(super) fn suspend_for(
        &mut self,
        rank: ids::TierRank,
        wanted: suspension::CapacityNeeded,
    ) -> bool {
        let open = self.jobs.open();
        let running = open.filter_map(|(request, job)| job.running_work(request));
        let victims = suspension::choose_victims(running, rank, wanted);
        victims.iter().for_each(|victim| self.suspend(*victim));
        !victims.is_empty()
    }

    /// Returns the time until the first running request is expected to end by itself.
    fn next_release(&self) -> Duration {
        let running = self.jobs.open().filter(|(_, job)| job.run().is_some());
        let remaining = running.map(|(_, job)| {
            let expected = self.pace.expected_output(job.terms.output_tokens);
            self.pace.generation_time(job.remaining_output(expected))
        });
        remaining.min().unwrap_or_default()
    }

    fn grant(&mut self, request: ids::RequestId, terms: queue::OfferTerms, note: jobs::OfferNote) {
        let cached = self.cache.expected_tokens(&note.prefixes);
        let share = self.share(&terms, cached);
        self.admission.admit(share);
        if self.now.saturating_duration_since(terms.waiting_since) >= NOTICED_WAIT {
            self.pressed.insert(terms.rank, self.now);
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
        self.send(note.link, 0, messages::Body::Grant(message));
        let live = jobs::LiveGrant {
            grant,
            ends: self.now + self.limits.grant(),
            terms,
            note,
            cached,
            share,
        };
        self.grants.insert(request, live);
        self.reports.mark();
    }

    /// Ends a grant that was not used; its room and the account's charge are given back.
    pub(super) fn revoke(&mut self, request: ids::RequestId) -> bool {
        let Some(live) = self.grants.remove(&request) else {
            return false;
        };
        self.admission.release(live.share);
        if !live.note.immediate {
            self.queue.refund(&live.terms);
        }
        self.reports.mark();
        true
    }

    pub(super) fn withdraw(&mut self, withdraw: &messages::Withdraw) {
        if let Some(request) = events::request_id(&withdraw.request) {
            self.queue.remove(request);
            self.revoke(request);
            self.reports.mark();
        }
    }

    pub(super) fn decline(&mut self, decline: &messages::Decline) {
        let Some(request) = events::request_id(&decline.request) else {
            return;
        };
        let live = self.grants.get(&request);
        if live.is_some_and(|live| live.grant.0 == decline.grant) {
            self.revoke(request);
        }
    }

    pub(super) fn expire_grants(&mut self) {
        let now = self.now;
        let ended = self.grants.iter().filter(|(_, live)| live.ends <= now);
        let ended: Vec<_> = ended.map(|(request, _)| *request).collect();
        for request in ended {
            self.revoke(request);
            self.counters.count(counters::CounterEvent::GrantsExpired);
        }
    }

    /// Refuses waiting offers whose deadline can't be met any more.
    pub(super) fn refuse_unreachable(&mut self) {
        let check = |offer: &queue::WaitingOffer<jobs::OfferNote>| {
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

    /// Tells whether an offer of a tier above `rank` had to wait lately, or missed its deadline.
    pub(super) fn is_pressed_above(&self, rank: ids::TierRank) -> bool {
        let mut higher = self.pressed.range(..rank);
        higher.any(|(_, last)| self.now.saturating_duration_since(*last) < PRESSURE_TIME)
    }

    pub(super) fn deadline_after(&self, millis: u64) -> Instant {
        self.now + bounded(millis)
    }
}
