//! Choice of the endpoint at which a queued request starts.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_core::units;

use super::{GateCore, ServiceCapacity};
use crate::{endpoints, rollouts, shares, tickets};

/// What becomes of a request at the free endpoints.
#[derive(Debug)]
pub(super) enum EndpointChoice {
    /// It starts at this endpoint, with this expected time to the first event.
    Start(SmolStr, Duration),
    /// It declines the free endpoints, the best of which has this pace, and waits for a better one.
    Declined(Option<units::HostPace>),
    /// No endpoint is free for it.
    Unavailable,
}

/// An endpoint with a free slot for a request.
#[derive(Debug, Clone, Copy)]
struct EndpointCandidate<'a> {
    /// Whether the answer is expected to end after the deadline.
    misses_deadline: bool,
    /// Whether the answer is expected to begin after its objective at an endpoint that states its
    /// pace; without a stated pace the score decides.
    misses_objective: bool,
    /// Whether the prompt would delay the streams that run there for too long.
    delays_streams: bool,
    score: Duration,
    tie_break: Reverse<u64>,
    endpoint: &'a SmolStr,
    /// Expected time to the first event.
    time_to_first: Duration,
    /// Expected pace of its host, if it states its pace.
    pace: Option<units::HostPace>,
}

impl EndpointCandidate<'_> {
    /// Returns the key by which candidates are compared; the smallest one is the best.
    fn key(&self) -> impl Ord + use<'_> {
        (
            self.misses_deadline,
            self.misses_objective,
            self.delays_streams,
            self.score,
            self.tie_break,
            self.endpoint,
        )
    }
}

impl GateCore {
    /// Returns the endpoints that may serve a request, with or without a free slot. Those whose
    /// limit is used up are left out, so that no request waits for one of them that another
    /// endpoint could run. Endpoints that failed or refused the request are left out as well, unless
    /// there is no other one and it may go back.
    pub(super) fn candidates<'a>(
        &'a self,
        now: Instant,
        ticket: &'a tickets::WaitingTicket,
        side: Option<rollouts::VersionSide>,
    ) -> impl Iterator<Item = &'a endpoints::EndpointView> {
        let is_excluded = |view: &endpoints::EndpointView| ticket.excluded.contains(&view.id);
        let goes_back = ticket.may_go_back
            && now >= ticket.queued + self.options.go_back_pause
            && self.usable_endpoints(now, &ticket.service).all(is_excluded);
        self.usable_endpoints(now, &ticket.service)
            .filter(move |view| view.limit.available() > 0 && (goes_back || !is_excluded(view)))
            .filter(move |view| side.is_none_or(|side| self.rollouts.includes(view, side)))
    }

    /// Returns the best endpoint of the version that a roll-out prefers for the request, or else of
    /// another one that it may go to.
    pub(super) fn best_endpoint(
        &self,
        now: Instant,
        ticket: &tickets::WaitingTicket,
        capacity: &ServiceCapacity,
        claims: &shares::SlotClaims,
    ) -> EndpointChoice {
        let sides = self
            .rollouts
            .sides(now, &ticket.service, ticket.prefers_target);
        let best = |side| self.best_endpoint_of(now, ticket, side, capacity, claims);
        match sides {
            None => best(None),
            Some([rollouts::VersionSide::Target])
                if !self.has_usable(now, &ticket.service, rollouts::VersionSide::Target) =>
            {
                best(Some(rollouts::VersionSide::Others))
            }
            Some(sides) => {
                let mut choice = EndpointChoice::Unavailable;
                for side in sides {
                    choice = best(Some(*side));
                    if matches!(choice, EndpointChoice::Start(..)) {
                        break;
                    }
                }
                choice
            }
        }
    }

    fn has_usable(&self, now: Instant, service: &SmolStr, side: rollouts::VersionSide) -> bool {
        let mut usable = self.usable_endpoints(now, service);
        usable.any(|view| self.rollouts.includes(view, side))
    }

    /// Returns the endpoint with a free slot and the best score. A request stays queued if it can
    /// meet its deadline only at endpoints that are full. For a part of its patience it also stays
    /// queued if only full endpoints can begin its answer in time, or without a long pause in the
    /// streams that run there.
    fn best_endpoint_of(
        &self,
        now: Instant,
        ticket: &tickets::WaitingTicket,
        side: Option<rollouts::VersionSide>,
        capacity: &ServiceCapacity,
        claims: &shares::SlotClaims,
    ) -> EndpointChoice {
        let model = self.model(&ticket.service);
        let left = ticket.deadline.saturating_duration_since(now);
        let own = self.options.address;
        let mut best: Option<EndpointCandidate<'_>> = None;
        let mut deadline_reachable = false;
        let mut objective_reachable = false;
        let mut steady_reachable = false;
        let pause_limit = self.pauses.limit(&ticket.service);
        let prices = self
            .spillover
            .prices(&ticket.service, &self.options.data_centre);
        for view in self.candidates(now, ticket, side) {
            let speed = view.speed_at(now, model);
            let time_to_first =
                view.expected_first_event(&speed, ticket.size, model, &self.options);
            let answer = endpoints::to_float(ticket.size.answer());
            let run = time_to_first + model.generation_time(&speed, answer);
            let meets_deadline = run.mul_f64(self.options.run_time_margin) <= left;
            let meets_objective = now + time_to_first <= ticket.due;
            let states_pace = view.pace.newest().is_some();
            let pace = match states_pace {
                true => units::HostPace::from_percent(speed.pace() * 100.0),
                false => None,
            };
            let delays_streams = pause_limit
                .is_some_and(|limit| view.delays_streams(&speed, ticket.size, model, limit));
            deadline_reachable |= meets_deadline;
            objective_reachable |= meets_objective;
            steady_reachable |= meets_deadline && meets_objective && !delays_streams;
            let available =
                view.available_slots(capacity.peer_usage_known, self.options.endpoint_queue_depth);
            if available == 0 || !self.may_take(view, pace, claims) {
                continue;
            }
            // A request that stays here gets the first slot of any endpoint, so this wait counts only
            // for one that is sent.
            let time_to_first = time_to_first + view.expected_slot_wait(&speed, ticket.size, model);
            let candidate = EndpointCandidate {
                misses_deadline: !meets_deadline,
                misses_objective: states_pace && now + time_to_first > ticket.due,
                delays_streams,
                score: time_to_first
                    + self.leaving_cost(ticket, prices, view)
                    + run.mul_f64(self.options.run_weight)
                    + self.options.failure_penalty.mul_f64(view.failure_ratio()),
                // Breaks ties, so that entries that see equal endpoints start with different ones.
                tie_break: Reverse(shares::rendezvous_weight(own, &view.id)),
                endpoint: &view.id,
                time_to_first,
                pace,
            };
            if best.is_none_or(|best| candidate.key() < best.key()) {
                best = Some(candidate);
            }
        }
        let Some(best) = best else {
            return EndpointChoice::Unavailable;
        };
        let misses_objective = now + best.time_to_first > ticket.due;
        let waits =
            misses_objective && objective_reachable || best.delays_streams && steady_reachable;
        let stays_queued = best.misses_deadline && deadline_reachable
            || waits && now < self.objective_wait_end(ticket, capacity.best_pace);
        match stays_queued {
            true => EndpointChoice::Declined(best.pace),
            false => EndpointChoice::Start(best.endpoint.clone(), best.time_to_first),
        }
    }

    /// Tells whether this entry may take a free slot of an endpoint.
    fn may_take(
        &self,
        view: &endpoints::EndpointView,
        pace: Option<units::HostPace>,
        claims: &shares::SlotClaims,
    ) -> bool {
        let entitlement = claims.at_pace(pace);
        entitlement.includes(self.options.address, &view.id) || self.released.contains(&view.id)
    }
}
