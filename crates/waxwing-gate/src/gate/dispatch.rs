//! Dispatch of queued requests: which one starts next and at which endpoint, and which are refused.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::{
    DispatchRound, GateCore, QueueKey, QueuedTicket, ServiceCapacity, choice::EndpointChoice,
};
use crate::{endpoints, models, shares, tickets};

/// Lower bound of the slots that are divided among entries, which keeps the expected wait finite
/// where limits leave next to nothing.
const MIN_SUSTAINED_SLOTS: f64 = 1e-3;

impl GateCore {
    /// Starts and refuses queued requests, and returns these decisions.
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
        let keys: Vec<_> = queue.iter().copied().collect();
        self.refill_limits(now, service);
        self.estimate_shortages(now, service);
        let capacity = self.capacity(now, service);
        let yield_expired = self
            .yielding
            .get(service)
            .is_some_and(|since| now.saturating_duration_since(*since) >= self.max_yield_time());
        let mut round = DispatchRound {
            capacity,
            yield_expired,
            free: capacity.free,
            running: self.own_running(service),
            ahead: 0,
            yielded: false,
        };
        for key in keys {
            let Some(QueuedTicket { ticket, .. }) = self.waiting.get(&key.ticket) else {
                continue;
            };
            let choice = self.select_endpoint(now, key.ticket, ticket, &mut round);
            let declined = match &choice {
                EndpointChoice::Declined(pace) => *pace,
                _ => None,
            };
            if let EndpointChoice::Start(endpoint, expected) = choice {
                let decision = self.start(now, key, &endpoint, expected);
                decisions.extend(decision);
                self.consume_released(&endpoint);
                round.free = round.free.saturating_sub(1);
                round.running += 1;
            } else if self.cannot_start_in_time(now, ticket, &round) {
                decisions.push(self.refusal(now, key, ticket, &round));
                self.remove(key);
            } else {
                round.ahead += 1;
                if let Some(queued) = self.waiting.get_mut(&key.ticket) {
                    queued.declined = declined;
                }
            }
        }
        if !round.yielded || yield_expired != round.yield_expired {
            self.yielding.remove(service);
        }
        if round.yielded {
            self.yielding.entry(service.clone()).or_insert(now);
        }
        self.demand_changed = true;
    }

    /// Returns the endpoint at which a request starts now, or why it stays queued.
    fn select_endpoint(
        &self,
        now: Instant,
        id: tickets::TicketId,
        ticket: &tickets::WaitingTicket,
        round: &mut DispatchRound,
    ) -> EndpointChoice {
        if let Some(baselines) = &self.baselines {
            let sides = self
                .rollouts
                .sides(now, &ticket.service, ticket.prefers_target);
            let side = sides.and_then(|sides| sides.first().copied());
            let views = self.candidates(now, ticket, side);
            let Some(view) = baselines.choose(views, id) else {
                return EndpointChoice::Unavailable;
            };
            let model = self.model(&ticket.service);
            let expected = view.expected_first_event(
                &view.speed_at(now, model),
                ticket.size,
                model,
                &self.options,
            );
            return EndpointChoice::Start(view.id.clone(), expected);
        }
        if round.free == 0 {
            return EndpointChoice::Unavailable;
        }
        let claims = self.claims(now, ticket, round);
        let chosen = match claims.is_empty() {
            true => EndpointChoice::Unavailable,
            false => self.best_endpoint(now, ticket, &round.capacity, &claims),
        };
        match chosen {
            // Only one slot is taken out of turn; the next free ones are left to other entries
            // again.
            EndpointChoice::Start(..) => round.yield_expired = false,
            _ => round.yielded |= claims.is_contested(),
        }
        chosen
    }

    /// Tells whether a queued request can't start early enough to be of use to its caller.
    fn cannot_start_in_time(
        &self,
        now: Instant,
        ticket: &tickets::WaitingTicket,
        round: &DispatchRound,
    ) -> bool {
        let start = now + round.capacity.slot_interval * round.ahead;
        let latest = match round.capacity.usable {
            true => self.latest_start(ticket, round.capacity.best_pace),
            false => self.patience_end(ticket),
        };
        now >= self.patience_end(ticket) || start >= latest || self.has_nowhere_to_go(now, ticket)
    }

    /// Tells whether endpoints are usable, but none of them for this request now or later.
    fn has_nowhere_to_go(&self, now: Instant, ticket: &tickets::WaitingTicket) -> bool {
        if ticket.excluded.is_empty() || ticket.may_go_back {
            return false;
        }
        let mut usable = self.usable_endpoints(now, &ticket.service).peekable();
        usable.peek().is_some() && usable.all(|view| ticket.excluded.contains(&view.id))
    }

    pub(super) fn usable_endpoints<'a>(
        &'a self,
        now: Instant,
        service: &'a SmolStr,
    ) -> impl Iterator<Item = &'a endpoints::EndpointView> {
        self.endpoints
            .values()
            .filter(move |view| view.service == *service && view.is_usable(now, &self.options))
            .filter(move |view| self.rollouts.is_open(now, view))
    }

    fn refusal(
        &self,
        now: Instant,
        key: QueueKey,
        ticket: &tickets::WaitingTicket,
        round: &DispatchRound,
    ) -> tickets::GateDecision {
        tickets::GateDecision::Refuse {
            ticket: key.ticket,
            reason: match round.capacity.usable {
                false => tickets::RefusalReason::NoEndpoint,
                true if self.has_nowhere_to_go(now, ticket) => {
                    tickets::RefusalReason::NoOtherEndpoint
                }
                true if now >= self.patience_end(ticket) => tickets::RefusalReason::WaitedOut,
                true => tickets::RefusalReason::NoRoom,
            },
            retry_after: self.retry_after(now, ticket, key.ticket),
            inputs: tickets::RefusalInputs {
                rank: ticket.rank,
                returned: ticket.returned,
                ahead: round.ahead,
                slots: round.capacity.slots,
                free: round.free,
                slot_interval: round.capacity.slot_interval,
            },
        }
    }

    /// Removes one released slot of an endpoint at which a request starts, if there is any.
    fn consume_released(&mut self, endpoint: &SmolStr) {
        if let Some(index) = self
            .released
            .iter()
            .position(|released_id| released_id == endpoint)
        {
            self.released.swap_remove(index);
        }
    }

    /// Returns the time after which this entry takes a free slot although others are entitled to
    /// it, in case they don't use it. It grows with the number of entries, so that they don't all
    /// take the same slot.
    fn max_yield_time(&self) -> Duration {
        let others = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        self.options.max_yield_time * others.max(1)
    }

    /// Returns which free slots this entry may take.
    fn claims(
        &self,
        now: Instant,
        ticket: &tickets::WaitingTicket,
        round: &DispatchRound,
    ) -> shares::SlotClaims {
        let service = &ticket.service;
        let Some(peers) = self
            .demands
            .get(service)
            .filter(|_| round.capacity.peer_usage_known)
        else {
            return shares::SlotClaims::uncontested();
        };
        let own = shares::OwnDemand {
            recent: self
                .recent
                .get(service)
                .map_or(0.0, |recent| recent.at(now)),
            running: round.running,
            rank: ticket.rank,
        };
        match round.yield_expired {
            true => shares::SlotClaims::uncontested(),
            false => shares::SlotClaims::new(now, own, peers, round.capacity.slots, &self.options),
        }
    }

    /// Returns the present capacity of a service.
    fn capacity(&self, now: Instant, service: &SmolStr) -> ServiceCapacity {
        let usable = self.usable_endpoints(now, service);
        let run_time = self.model(service).mean_run_time();
        let peer_usage_known = run_time >= self.options.min_run_for_peer_usage;
        let (mut slots, mut free, mut any_usable) = (0_u32, 0_u32, false);
        let mut sustained = 0.0;
        let mut best_pace = f64::INFINITY;
        for view in usable {
            any_usable = true;
            slots = slots.saturating_add(view.slots);
            let available =
                view.available_slots(peer_usage_known, self.options.endpoint_queue_depth);
            free = free.saturating_add(available);
            sustained += view.sustained_slots(run_time);
            best_pace = best_pace.min(view.pace.expected(now, &self.model(service).pace));
        }
        // The slots that become free are divided among all connected entries.
        let entries = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        ServiceCapacity {
            usable: any_usable,
            peer_usage_known,
            slots,
            free,
            best_pace: if any_usable { best_pace } else { 1.0 },
            slot_interval: match slots {
                0 => run_time * entries,
                _ => (run_time * entries).div_f64(sustained.max(MIN_SUSTAINED_SLOTS)),
            },
        }
    }

    pub(super) fn model(&self, service: &SmolStr) -> &models::ServiceModel {
        self.models.get(service).unwrap_or(&self.initial_model)
    }

    /// Returns the expected run time of a request at a typical idle engine.
    #[must_use]
    pub fn expected_run(&self, service: &SmolStr, size: tickets::WorkSize) -> Duration {
        self.model(service).idle_run_time(size)
    }

    /// Returns the latest time at which a request may start and still be of use to its caller.
    /// An engine at `best_pace` reads its prompt fastest.
    fn latest_start(&self, ticket: &tickets::WaitingTicket, best_pace: f64) -> Instant {
        let end = self.patience_end(ticket);
        if ticket.returned || ticket.resumed {
            return end;
        }
        let model = self.model(&ticket.service);
        if ticket.size == tickets::WorkSize::Call {
            // A call that can only be late would take the slot of one that can still be on time.
            let latest = ticket.due.checked_sub(model.mean_run_time());
            return latest.map_or(ticket.arrival, |latest| latest.min(end));
        }
        let speed = models::EngineSpeed::default().at_pace(best_pace);
        let time_to_first = model.first_event(&speed, endpoints::to_float(ticket.size.prompt()));
        end.checked_sub(time_to_first).unwrap_or(ticket.arrival)
    }

    /// Returns until when a request waits for an endpoint at which it can meet its objective.
    pub(super) fn objective_wait_end(
        &self,
        ticket: &tickets::WaitingTicket,
        best_pace: f64,
    ) -> Instant {
        if ticket.returned || ticket.resumed {
            return ticket.arrival;
        }
        let latest = self.latest_start(ticket, best_pace);
        let patience = latest.saturating_duration_since(ticket.arrival);
        ticket.arrival + patience.mul_f64(self.options.objective_wait_share)
    }

    fn start(
        &mut self,
        now: Instant,
        key: QueueKey,
        endpoint: &SmolStr,
        expected: Duration,
    ) -> Option<tickets::GateDecision> {
        let ticket = self.remove(key)?;
        let view = self.endpoints.get_mut(endpoint)?;
        view.own.running += 1;
        view.limit.take();
        let pending = &mut view.own.pending_prefill;
        *pending = pending.saturating_add(ticket.size.prompt());
        let address = view.address;
        let total = view.total();
        let model = self
            .models
            .get(&view.service)
            .unwrap_or(&self.initial_model);
        let pace = view.pace.newest().map(|newest| {
            let age = now.saturating_duration_since(newest.at);
            (view.pace.expected(now, &model.pace), age)
        });
        let inputs = tickets::GrantInputs {
            running: total.running,
            backlog: total.pending_prefill,
            pace,
            is_remote: view.data_centre != self.options.data_centre,
            shortage: self
                .spillover
                .shortage(&view.service, &self.options.data_centre),
        };
        self.mark_changed(endpoint);
        Some(tickets::GateDecision::Grant {
            ticket: key.ticket,
            endpoint: endpoint.clone(),
            address,
            expected,
            size: ticket.size,
            inputs,
        })
    }

    pub(super) fn remove(&mut self, key: QueueKey) -> Option<tickets::WaitingTicket> {
        let QueuedTicket { ticket, .. } = self.waiting.remove(&key.ticket)?;
        if let Some(queue) = self.queues.get_mut(&ticket.service) {
            queue.remove(&key);
        }
        Some(ticket)
    }

    /// Returns when a request stops waiting and is refused.
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
                let end = ticket.arrival + objective.mul_f64(self.options.new_request_patience);
                end.min(ticket.deadline)
            }
        }
    }

    /// Returns the delay after which a refused caller should retry. The delays are spread over the
    /// time that callers are willing to wait, so that refused callers don't return together.
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
        // Consecutive tickets get delays that are far apart.
        let bucket = u32::try_from(id.0 * 7 % 16).unwrap_or_default();
        let spread = longest.mul_f64(self.options.retry_after_spread) * bucket / 16;
        Some((longest - spread).max(shortest))
    }
}
