//! What becomes of requests that wait: which one starts next and where, and who is refused.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use smol_str::SmolStr;

use super::{GateCore, QueuePlace, QueuedTicket, ServiceOutlook, ServiceRound};
use crate::{endpoints, models, shares, tickets};

/// An `EndpointOffer` is an endpoint with a free slot for a request; the least one is best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EndpointOffer<'a> {
    /// Whether the answer would probably not end in time.
    late: bool,
    score: Duration,
    weight: Reverse<u64>,
    endpoint: &'a SmolStr,
    /// The expected time to the first event.
    first: Duration,
}

impl GateCore {
    /// Decides what can be decided now.
    pub fn decide(&mut self, now: Instant) -> Vec<tickets::GateDecision> {
        let mut decisions = Vec::new();
        let services: Vec<_> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            self.decide_service(now, &service, &mut decisions);
        }
        decisions
    }

    fn decide_service(
        &mut self,
        now: Instant,
        service: &SmolStr,
        decisions: &mut Vec<tickets::GateDecision>,
    ) {
        let Some(queue) = self.queues.get(service) else {
            return;
        };
        let places: Vec<_> = queue.iter().copied().collect();
        let outlook = self.outlook(now, service);
        let overdue = self
            .yielding
            .get(service)
            .is_some_and(|since| now.saturating_duration_since(*since) >= self.yield_limit());
        let mut round = ServiceRound {
            outlook,
            overdue,
            free: outlook.free,
            running: self.own_running(service),
            ahead: 0,
            yielded: false,
        };
        for place in places {
            let Some(QueuedTicket { ticket, .. }) = self.waiting.get(&place.ticket) else {
                continue;
            };
            if let Some((endpoint, expected)) =
                self.place_ticket(now, place.ticket, ticket, &mut round)
            {
                let decision = self.start(place, &endpoint, expected);
                decisions.extend(decision);
                self.take_vacated(&endpoint);
                round.free = round.free.saturating_sub(1);
                round.running += 1;
            } else if self.is_hopeless(now, ticket, &round) {
                decisions.push(self.refusal(now, place, ticket, &round));
                self.remove(place);
            } else {
                round.ahead += 1;
            }
        }
        if !round.yielded || overdue != round.overdue {
            self.yielding.remove(service);
        }
        if round.yielded {
            self.yielding.entry(service.clone()).or_insert(now);
        }
        self.demand_changed = true;
    }

    /// Returns the endpoint at which a request starts now and the time to its first event, or
    /// `None` if it waits.
    fn place_ticket(
        &self,
        now: Instant,
        id: tickets::TicketId,
        ticket: &tickets::WaitingTicket,
        round: &mut ServiceRound,
    ) -> Option<(SmolStr, Duration)> {
        if let Some(baselines) = &self.baselines {
            let views = self.candidates(now, ticket);
            let view = baselines.choose(views, id)?;
            let model = self.model(&ticket.service);
            let expected = view.expected(ticket.size, model, &self.options);
            return Some((view.id.clone(), expected));
        }
        if round.free == 0 {
            return None;
        }
        let claim = self.claim(now, ticket, round);
        let chosen = match claim {
            shares::SlotClaim::Yields => None,
            _ => self.choose(now, ticket, round.outlook.counted, &claim),
        };
        match chosen.is_some() {
            // After one slot that was taken without a claim the next ones are left to others again.
            true => round.overdue = false,
            false => round.yielded |= claim != shares::SlotClaim::Alone,
        }
        chosen
    }

    /// Tells whether a request that waits will not start while that is of use to its caller.
    fn is_hopeless(
        &self,
        now: Instant,
        ticket: &tickets::WaitingTicket,
        round: &ServiceRound,
    ) -> bool {
        let start = now + round.outlook.slot_interval * round.ahead;
        let latest = match round.outlook.usable {
            true => self.latest_start(ticket),
            false => self.patience_end(ticket),
        };
        now >= self.patience_end(ticket) || start >= latest
    }

    fn refusal(
        &self,
        now: Instant,
        place: QueuePlace,
        ticket: &tickets::WaitingTicket,
        round: &ServiceRound,
    ) -> tickets::GateDecision {
        tickets::GateDecision::Refuse {
            ticket: place.ticket,
            reason: match round.outlook.usable {
                true => tickets::RefusalReason::NoRoom,
                false => tickets::RefusalReason::NoEndpoint,
            },
            retry_after: self.retry_after(now, ticket, place.ticket),
            inputs: tickets::RefusalInputs {
                rank: ticket.rank,
                returned: ticket.returned,
                ahead: round.ahead,
                slots: round.outlook.slots,
                free: round.free,
                slot_interval: round.outlook.slot_interval,
            },
        }
    }

    /// Takes that a request starts in a slot that was left, there or elsewhere.
    fn take_vacated(&mut self, endpoint: &SmolStr) {
        if let Some(place) = self.vacated.iter().position(|left| left == endpoint) {
            self.vacated.swap_remove(place);
        }
    }

    /// Returns the time after which this entry takes a free slot to which others have a better
    /// claim, should they not use it. With more entries it is longer, so that they do not all take
    /// the same slot.
    fn yield_limit(&self) -> Duration {
        let others = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        self.options.yield_limit * others.max(1)
    }

    /// Returns the claim of this entry on a free slot.
    fn claim(
        &self,
        now: Instant,
        ticket: &tickets::WaitingTicket,
        round: &ServiceRound,
    ) -> shares::SlotClaim {
        let service = &ticket.service;
        let Some(peers) = self.demands.get(service).filter(|_| round.outlook.counted) else {
            return shares::SlotClaim::Alone;
        };
        let own = shares::OwnDemand {
            recent: self
                .recent
                .get(service)
                .map_or(0.0, |recent| recent.at(now)),
            running: round.running,
            rank: ticket.rank,
        };
        match round.overdue {
            true => shares::SlotClaim::Alone,
            false => shares::claim(now, own, peers, round.outlook.slots, &self.options),
        }
    }

    /// Returns what a service can take at present.
    fn outlook(&self, now: Instant, service: &SmolStr) -> ServiceOutlook {
        let usable = self
            .endpoints
            .values()
            .filter(|view| view.service == *service && view.is_usable(now, &self.options));
        let run_time = self.model(service).run_time();
        let counted = run_time >= self.options.shortest_counted_run;
        let (mut slots, mut free, mut any) = (0, 0, false);
        for view in usable {
            any = true;
            slots += view.slots;
            free += view.free_places(counted, self.options.waiting_at_door);
        }
        // The other entries take their part of the slots that get free.
        let entries = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        ServiceOutlook {
            usable: any,
            counted,
            slots,
            free,
            slot_interval: run_time * entries / slots.max(1),
        }
    }

    pub(super) fn model(&self, service: &SmolStr) -> &models::ServiceModel {
        self.models.get(service).unwrap_or(&self.initial_model)
    }

    /// Returns the time of a run at a typical engine.
    #[must_use]
    pub fn expected_run(&self, service: &SmolStr, size: tickets::WorkSize) -> Duration {
        self.model(service).run(size)
    }

    /// Returns when a request must start at the latest to be worth its wait.
    fn latest_start(&self, ticket: &tickets::WaitingTicket) -> Instant {
        let end = self.patience_end(ticket);
        if ticket.returned || ticket.resumed {
            return end;
        }
        let model = self.model(&ticket.service);
        if ticket.size == tickets::WorkSize::Call {
            // One that could only be late takes the place of one that could be in time.
            let latest = ticket.due.checked_sub(model.run_time());
            return latest.map_or(ticket.arrival, |latest| latest.min(end));
        }
        let speed = models::EngineSpeed::default();
        let first = model.first_event(&speed, endpoints::to_float(ticket.size.prompt()));
        end.checked_sub(first).unwrap_or(ticket.arrival)
    }

    /// Returns the endpoints that may get a request, whether they have a free slot or not.
    fn candidates<'a>(
        &'a self,
        now: Instant,
        ticket: &'a tickets::WaitingTicket,
    ) -> impl Iterator<Item = &'a endpoints::EndpointView> {
        self.endpoints.values().filter(move |view| {
            view.service == ticket.service
                && view.is_usable(now, &self.options)
                && !ticket.excluded.contains(&view.id)
        })
    }

    /// Returns the endpoint with the least expected time that has a free slot. A request that can
    /// end in time only at endpoints that are full waits for one of those, and for a part of its
    /// patience also one that can begin in time only there.
    fn choose(
        &self,
        now: Instant,
        ticket: &tickets::WaitingTicket,
        counted: bool,
        claim: &shares::SlotClaim,
    ) -> Option<(SmolStr, Duration)> {
        let model = self.model(&ticket.service);
        let left = ticket.deadline.saturating_duration_since(now);
        let own = self.options.address;
        let mut best: Option<EndpointOffer<'_>> = None;
        let mut fits_somewhere = false;
        let mut timely_somewhere = false;
        for view in self.candidates(now, ticket) {
            let first = view.expected(ticket.size, model, &self.options);
            let run = first + view.expected_rest(ticket.size, model);
            let fits = run.mul_f64(self.options.length_margin) <= left;
            let timely = now + first <= ticket.due;
            fits_somewhere |= fits;
            timely_somewhere |= timely;
            let free = view.free_places(counted, self.options.waiting_at_door);
            if free == 0 || !self.may_take(view, claim) {
                continue;
            }
            let offered = EndpointOffer {
                late: !fits,
                score: first
                    + run.mul_f64(self.options.run_weight)
                    + self.options.failure_penalty.mul_f64(view.failure_ratio()),
                // Entries that see equal endpoints start with different ones.
                weight: Reverse(shares::rendezvous_weight(own, &view.id)),
                endpoint: &view.id,
                first,
            };
            best = Some(best.map_or(offered, |best| best.min(offered)));
        }
        let best = best?;
        let begins_late = now + best.first > ticket.due;
        let waits = best.late && fits_somewhere
            || begins_late && timely_somewhere && now < self.matching_end(ticket);
        (!waits).then(|| (best.endpoint.clone(), best.first))
    }

    /// Returns until when a request waits for an endpoint at which it can begin in time.
    fn matching_end(&self, ticket: &tickets::WaitingTicket) -> Instant {
        if ticket.returned || ticket.resumed {
            return ticket.arrival;
        }
        let latest = self.latest_start(ticket);
        let patience = latest.saturating_duration_since(ticket.arrival);
        ticket.arrival + patience.mul_f64(self.options.matching_share)
    }

    /// Tells whether this entry may take a free slot of an endpoint.
    fn may_take(&self, view: &endpoints::EndpointView, claim: &shares::SlotClaim) -> bool {
        claim.includes(self.options.address, &view.id) || self.vacated.contains(&view.id)
    }

    fn start(
        &mut self,
        place: QueuePlace,
        endpoint: &SmolStr,
        expected: Duration,
    ) -> Option<tickets::GateDecision> {
        let ticket = self.remove(place)?;
        let view = self.endpoints.get_mut(endpoint)?;
        view.own.running += 1;
        view.own.pending_prefill += ticket.size.prompt();
        let address = view.address;
        self.note_change(endpoint);
        Some(tickets::GateDecision::Grant {
            ticket: place.ticket,
            endpoint: endpoint.clone(),
            address,
            expected,
            size: ticket.size,
        })
    }

    pub(super) fn remove(&mut self, place: QueuePlace) -> Option<tickets::WaitingTicket> {
        let QueuedTicket { ticket, .. } = self.waiting.remove(&place.ticket)?;
        if let Some(queue) = self.queues.get_mut(&ticket.service) {
            queue.remove(&place);
        }
        Some(ticket)
    }

    /// Returns until when a ticket waits.
    fn patience_end(&self, ticket: &tickets::WaitingTicket) -> Instant {
        let left = ticket.deadline.saturating_duration_since(ticket.arrival);
        let share = |share: f64| ticket.arrival + left.mul_f64(share);
        match ticket.size {
            tickets::WorkSize::Call => share(self.options.call_patience),
            tickets::WorkSize::Generation { .. } if ticket.resumed => {
                (ticket.queued + self.options.resumed_patience).min(ticket.deadline)
            }
            tickets::WorkSize::Generation { .. } if ticket.returned => {
                let objective = ticket.due.saturating_duration_since(ticket.arrival);
                let longest = objective.mul_f64(self.options.returned_objectives);
                share(self.options.returned_patience).min(ticket.queued + longest)
            }
            tickets::WorkSize::Generation { .. } => {
                let objective = ticket.due.saturating_duration_since(ticket.arrival);
                let end = ticket.arrival + objective.mul_f64(self.options.fresh_patience);
                end.min(ticket.deadline)
            }
        }
    }

    /// Returns when a refused caller should come back. Callers are spread over the time that they
    /// are willing to wait, so that they do not return together.
    fn retry_after(
        &self,
        now: Instant,
        ticket: &tickets::WaitingTicket,
        id: tickets::TicketId,
    ) -> Option<Duration> {
        let left = ticket.deadline.saturating_duration_since(now);
        let longest = left.mul_f64(self.options.retry_after_share);
        let shortest = self.options.min_retry_after;
        if longest < shortest {
            return None;
        }
        // Consecutive tickets land far from each other.
        let step = u32::try_from(id.0 * 7 % 16).unwrap_or_default();
        let spread = longest.mul_f64(self.options.retry_after_spread) * step / 16;
        Some((longest - spread).max(shortest))
    }
}
