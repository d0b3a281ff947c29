//! The gate: the queue of waiting requests and the choice of endpoints.
//!
//! Tiers are strict. Within a tier, requests that can still be answered on time come before those
//! that are late already, and each group is served in order of arrival. An endpoint gets no more
//! requests than it serves at once, so that what waits does so here, where a more urgent request
//! can still overtake it.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_fleet::registry;
use waxwing_wire::messages;

use crate::{budgets, endpoints, models, options, quotas, shares, tickets};

/// The place of a ticket in the queue of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePlace {
    /// Requests that go on elsewhere come first: their callers have a part of the answer.
    fresh: bool,
    rank: (u32, u32),
    late: bool,
    order: Instant,
    ticket: tickets::TicketId,
}

/// A `QueuedTicket` is a ticket with its place.
#[derive(Debug)]
struct QueuedTicket {
    ticket: tickets::WaitingTicket,
    place: QueuePlace,
}

/// A `GateCore` is the state of the gate of one entry.
#[derive(Debug)]
pub struct GateCore {
    options: options::GateOptions,
    registry: registry::EndpointRegistry,
    endpoints: HashMap<SmolStr, endpoints::EndpointView>,
    waiting: HashMap<tickets::TicketId, QueuedTicket>,
    queues: HashMap<SmolStr, BTreeSet<QueuePlace>>,
    next_ticket: u64,
    models: HashMap<SmolStr, models::ServiceModel>,
    /// The model of a service of which nothing is known.
    initial_model: models::ServiceModel,
    budgets: HashMap<SmolStr, budgets::RetryBudget>,
    /// The quotas of client accounts.
    pub quotas: quotas::QuotaTable,
    peers: HashMap<SocketAddr, PeerBook>,
    /// Entries whose link was lost, and when. They may still run.
    lost_peers: HashMap<SocketAddr, Instant>,
    /// Requests of callers by service.
    recent: HashMap<SmolStr, shares::RecentRequests>,
    /// What the other entries are asked, by service.
    demands: HashMap<SmolStr, shares::PeerDemands>,
    /// When requests of this entry left slots that it has not taken again, by service.
    vacated: HashMap<SmolStr, VecDeque<Instant>>,
    /// Since when free slots of a service are left to other entries.
    yielding: HashMap<SmolStr, Instant>,
    /// Endpoints whose use changed since the last book.
    changed: Vec<SmolStr>,
    /// Whether what waits has changed since the last book.
    demand_changed: bool,
}

/// A `ServiceOutlook` is what the endpoints of a service can take.
#[derive(Debug, Clone, Copy)]
struct ServiceOutlook {
    /// Whether any endpoint is usable.
    usable: bool,
    /// Whether the books of other entries count.
    counted: bool,
    /// All slots.
    slots: u32,
    /// Free slots.
    free: u32,
    /// Time between two slots that get free for this entry while all are taken.
    slot_interval: Duration,
}

/// A `ServiceLoad` is the load of a service as one entry sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLoad {
    /// The service.
    pub service: SmolStr,
    /// Endpoints that are known.
    pub endpoints: usize,
    /// Endpoints that may get work.
    pub usable: usize,
    /// Slots of those.
    pub slots: u32,
    /// Requests of all entries at those.
    pub running: u32,
    /// Requests of this entry.
    pub own: u32,
    /// Requests that wait here.
    pub waiting: usize,
}

/// A `PeerBook` is what another entry has told so far.
#[derive(Debug, Default)]
struct PeerBook {
    accounts: HashMap<SmolStr, u64>,
}

impl GateCore {
    /// Builds an empty gate.
    #[must_use]
    pub fn new(options: options::GateOptions, started: Instant) -> Self {
        Self {
            options,
            registry: registry::EndpointRegistry::default(),
            endpoints: HashMap::new(),
            waiting: HashMap::new(),
            queues: HashMap::new(),
            next_ticket: 0,
            models: HashMap::new(),
            initial_model: models::ServiceModel::default(),
            budgets: HashMap::new(),
            quotas: quotas::QuotaTable::new(started),
            peers: HashMap::new(),
            lost_peers: HashMap::new(),
            recent: HashMap::new(),
            demands: HashMap::new(),
            vacated: HashMap::new(),
            yielding: HashMap::new(),
            changed: Vec::new(),
            demand_changed: false,
        }
    }

    /// Returns the options.
    #[must_use]
    pub const fn options(&self) -> &options::GateOptions {
        &self.options
    }

    /// Takes what an endpoint said.
    pub fn observe_notice(&mut self, notice: messages::EndpointNotice, heard: Instant) {
        let id = SmolStr::new(&notice.id);
        let Ok(address) = notice.address.parse() else {
            // A goodbye of an endpoint that was never heard of carries no address.
            self.registry.observe(notice, heard);
            self.endpoints.remove(&id);
            return;
        };
        match self.registry.observe(notice.clone(), heard) {
            registry::NoticeEffect::Stale => return,
            registry::NoticeEffect::Refreshed => {}
            registry::NoticeEffect::Changed => self.replace_endpoint(&notice, address, heard),
        }
        if let Some(view) = self.endpoints.get_mut(&id) {
            view.heard = view.heard.max(heard);
        }
        self.registry.expire(heard);
    }

    fn replace_endpoint(
        &mut self,
        notice: &messages::EndpointNotice,
        address: SocketAddr,
        heard: Instant,
    ) {
        let id = SmolStr::new(&notice.id);
        if notice.phase() == messages::EndpointPhase::Gone {
            self.endpoints.remove(&id);
            return;
        }
        self.endpoints
            .retain(|other, view| view.address != address || *other == id);
        let mut view = endpoints::EndpointView::new(notice, address, heard);
        if let Some(former) = self
            .endpoints
            .remove(&id)
            .filter(|former| former.address == address)
        {
            let ready = view.ready;
            view = former;
            view.ready = ready;
            view.slots = notice.slots;
            view.service = SmolStr::new(&notice.service);
        }
        self.endpoints.insert(id, view);
    }

    /// Returns an endpoint.
    #[must_use]
    pub fn endpoint(&self, id: &str) -> Option<&endpoints::EndpointView> {
        self.endpoints.get(id)
    }

    /// Returns the ids of all endpoints.
    pub fn endpoint_ids(&self) -> impl Iterator<Item = &SmolStr> {
        self.endpoints.keys()
    }

    /// Takes the book of another entry.
    pub fn observe_book(&mut self, now: Instant, peer: SocketAddr, book: messages::EntryBook) {
        for used in book.endpoints {
            if let Some(view) = self.endpoints.get_mut(used.id.as_str()) {
                let other = endpoints::EndpointUse {
                    running: used.running,
                    pending_prefill: used.pending_prefill,
                    memory: used.memory,
                };
                match used.running {
                    0 => view.others.remove(&peer),
                    _ => view.others.insert(peer, other),
                };
            }
        }
        self.lost_peers.remove(&peer);
        for demand in book.demands {
            let demands = self
                .demands
                .entry(SmolStr::new(&demand.service))
                .or_default();
            demands.insert(peer, shares::PeerDemand { demand, told: now });
        }
        let first = !self.peers.contains_key(&peer);
        if first && !book.whole {
            // Sums without the base that the first book gives say nothing.
            return;
        }
        let known = self.peers.entry(peer).or_default();
        for used in book.accounts {
            let account = SmolStr::new(&used.name);
            // What a peer had admitted before it was first heard lies in the past.
            let base = if first { used.admitted } else { 0 };
            let former = known.accounts.insert(account.clone(), used.admitted);
            let former = former.unwrap_or(base);
            let cost = endpoints::to_float(used.admitted) - endpoints::to_float(former);
            self.quotas.observe(now, &account, cost);
        }
    }

    /// Forgets what an entry that can't be reached had under way.
    pub fn forget_peer(&mut self, now: Instant, peer: SocketAddr) {
        self.peers.remove(&peer);
        self.lost_peers.insert(peer, now);
        for demands in self.demands.values_mut() {
            demands.remove(&peer);
        }
        for view in self.endpoints.values_mut() {
            view.others.remove(&peer);
        }
    }

    /// Returns what changed since the last book, or everything.
    pub fn take_book(&mut self, now: Instant, all: bool) -> messages::EntryBook {
        self.demand_changed = false;
        let changed = std::mem::take(&mut self.changed);
        let ids: Vec<_> = match all {
            true => self.endpoints.keys().cloned().collect(),
            false => changed,
        };
        let endpoints = ids.into_iter().map(|id| {
            let own = self.endpoints.get(&id).map(|view| view.own);
            let own = own.unwrap_or_default();
            messages::EndpointUse {
                id: id.to_string(),
                running: own.running,
                pending_prefill: own.pending_prefill,
                memory: own.memory,
            }
        });
        let endpoints = endpoints.collect();
        let changed = self.quotas.take_changes();
        let accounts = if all { self.quotas.all() } else { changed };
        let account = |(name, admitted): (SmolStr, u64)| messages::AccountUse {
            name: name.to_string(),
            admitted,
        };
        messages::EntryBook {
            endpoints,
            accounts: accounts.into_iter().map(account).collect(),
            whole: all,
            demands: self.own_demands(now),
        }
    }

    fn own_demands(&self, now: Instant) -> Vec<messages::ServiceDemand> {
        let demands = self.recent.iter().map(|(service, recent)| {
            let queue = self.queues.get(service);
            let waiting = queue.map_or(0, BTreeSet::len);
            let first = queue.and_then(|queue| queue.iter().next());
            let (account_rank, route_rank) = first.map_or((0, 0), |place| place.rank);
            messages::ServiceDemand {
                service: service.to_string(),
                recent_thousandths: recent.thousandths(now),
                running: self.own_running(service),
                waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
                account_rank,
                route_rank,
            }
        });
        demands.collect()
    }

    fn own_running(&self, service: &SmolStr) -> u32 {
        let views = self.endpoints.values();
        let views = views.filter(|view| view.service == *service);
        views.map(|view| view.own.running).sum()
    }

    /// Tells whether there is something for the next book.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        self.demand_changed || !self.changed.is_empty()
    }

    fn note_change(&mut self, id: &SmolStr) {
        if !self.changed.contains(id) {
            self.changed.push(id.clone());
        }
    }

    /// Returns the load of each service.
    #[must_use]
    pub fn loads(&self, now: Instant) -> Vec<ServiceLoad> {
        let mut loads: HashMap<&SmolStr, ServiceLoad> = HashMap::new();
        for view in self.endpoints.values() {
            let load = loads.entry(&view.service).or_insert_with(|| ServiceLoad {
                service: view.service.clone(),
                endpoints: 0,
                usable: 0,
                slots: 0,
                running: 0,
                own: 0,
                waiting: self.queues.get(&view.service).map_or(0, BTreeSet::len),
            });
            load.endpoints += 1;
            load.own += view.own.running;
            if view.is_usable(now, &self.options) {
                load.usable += 1;
                load.slots += view.slots;
                load.running += view.total().running;
            }
        }
        loads.into_values().collect()
    }

    /// Counts a request of a caller for the retry budget of its service.
    pub fn count_request(&mut self, now: Instant, service: &SmolStr) {
        self.budget(service).count_request(now);
        self.recent
            .entry(service.clone())
            .or_insert_with(|| shares::RecentRequests::new(now))
            .count(now);
    }

    /// Returns the number of entries whose books arrive, this one included, and of all entries
    /// that may be running.
    fn entries(&mut self, now: Instant) -> (u32, u32) {
        let retention = self.options.lost_peer_retention;
        self.lost_peers
            .retain(|_, lost| now.saturating_duration_since(*lost) < retention);
        let reached = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let lost = u32::try_from(self.lost_peers.len()).unwrap_or(u32::MAX);
        (reached, reached.saturating_add(lost))
    }

    /// Takes a request from the quota of its client account, or returns the time after which there
    /// is room for it.
    ///
    /// # Errors
    /// Fails with that time if the quota is used up.
    pub fn admit(&mut self, now: Instant, claim: quotas::QuotaClaim<'_>) -> Result<(), Duration> {
        let (reached, all) = self.entries(now);
        let reach = quotas::QuotaReach {
            share: f64::from(reached) / f64::from(all),
            slack: self.options.quota_slack,
        };
        self.quotas.admit(now, claim, reach)
    }

    /// Takes a repeat from the retry budget, if there is one left.
    pub fn take_repeat(&mut self, now: Instant, service: &SmolStr) -> bool {
        let (_, entries) = self.entries(now);
        let ratio = self.options.retry_ratio;
        let extra = self.options.retry_extra / f64::from(entries);
        self.budget(service).take_repeat(now, ratio, extra)
    }

    fn budget(&mut self, service: &SmolStr) -> &mut budgets::RetryBudget {
        let window = self.options.budget_window;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| budgets::RetryBudget::new(window))
    }

    /// Puts a request in the queue.
    pub fn offer(&mut self, ticket: tickets::WaitingTicket) -> tickets::TicketId {
        self.next_ticket += 1;
        let id = tickets::TicketId(self.next_ticket);
        let model = self.model(&ticket.service);
        let run = model.run(ticket.size);
        let place = QueuePlace {
            fresh: !ticket.resumed,
            rank: ticket.rank,
            late: ticket.returned,
            order: ticket.queued + run.mul_f64(self.options.short_first),
            ticket: id,
        };
        self.queues
            .entry(ticket.service.clone())
            .or_default()
            .insert(place);
        self.waiting.insert(id, QueuedTicket { ticket, place });
        id
    }

    /// Takes a request out of the queue, as when its caller has left.
    pub fn withdraw(&mut self, id: tickets::TicketId) {
        if let Some(place) = self.waiting.get(&id).map(|queued| queued.place) {
            self.remove(place);
        }
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

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
        let mut free = outlook.free;
        let mut running = self.own_running(service);
        let mut yielded = false;
        let mut ahead = 0;
        for place in places {
            let Some(QueuedTicket { ticket, .. }) = self.waiting.get(&place.ticket) else {
                continue;
            };
            let claim = match free > 0 && outlook.counted {
                true => self.claim(now, service, place.rank, running, outlook.slots),
                false => shares::SlotClaim::Alone,
            };
            let left_to_others = match claim {
                shares::SlotClaim::Alone | shares::SlotClaim::First => false,
                shares::SlotClaim::OwnOnly => self.vacated(now, service) == 0,
                shares::SlotClaim::Yields => true,
            };
            yielded |= left_to_others;
            let chosen = match free {
                0 => None,
                _ if left_to_others => None,
                _ => self.choose(now, ticket, outlook.counted),
            };
            if let Some((endpoint, expected)) = chosen {
                let decision = self.start(place, &endpoint, expected);
                decisions.extend(decision);
                if let Some(vacated) = self.vacated.get_mut(service) {
                    vacated.pop_front();
                }
                free -= 1;
                running += 1;
                continue;
            }
            let start = now + outlook.slot_interval * ahead;
            if now >= self.patience_end(ticket) || start >= self.latest_start(ticket) {
                let reason = match outlook.usable {
                    true => tickets::RefusalReason::NoRoom,
                    false => tickets::RefusalReason::NoEndpoint,
                };
                let retry_after = self.retry_after(now, ticket, place.ticket);
                self.remove(place);
                decisions.push(tickets::GateDecision::Refuse {
                    ticket: place.ticket,
                    reason,
                    retry_after,
                    inputs: tickets::RefusalInputs {
                        ahead,
                        slots: outlook.slots,
                        free,
                        slot_interval: outlook.slot_interval,
                    },
                });
                continue;
            }
            ahead += 1;
        }
        match yielded {
            true => {
                self.yielding.entry(service.clone()).or_insert(now);
            }
            false => {
                self.yielding.remove(service);
            }
        }
        self.demand_changed = true;
    }

    /// Returns the slots that requests of this entry left lately and that it has not taken again.
    fn vacated(&self, now: Instant, service: &SmolStr) -> usize {
        let limit = self.options.yield_limit;
        let vacated = self.vacated.get(service).into_iter().flatten();
        vacated
            .filter(|since| now.saturating_duration_since(**since) <= limit)
            .count()
    }

    /// Returns the claim of this entry on a free slot.
    fn claim(
        &self,
        now: Instant,
        service: &SmolStr,
        rank: (u32, u32),
        running: u32,
        slots: u32,
    ) -> shares::SlotClaim {
        let Some(peers) = self.demands.get(service) else {
            return shares::SlotClaim::Alone;
        };
        let since = self.yielding.get(service);
        let tired = since
            .is_some_and(|since| now.saturating_duration_since(*since) >= self.options.yield_limit);
        let own = shares::OwnDemand {
            recent: self
                .recent
                .get(service)
                .map_or(0.0, |recent| recent.at(now)),
            running,
            rank,
        };
        match tired {
            true => shares::SlotClaim::First,
            false => shares::claim(now, own, peers, slots, &self.options),
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

    fn model(&self, service: &SmolStr) -> &models::ServiceModel {
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
        if ticket.returned || ticket.resumed || ticket.size == tickets::WorkSize::Call {
            return end;
        }
        let model = self.model(&ticket.service);
        let speed = models::EngineSpeed::default();
        let first = model.first_event(&speed, endpoints::to_float(ticket.size.prompt()));
        end.checked_sub(first).unwrap_or(ticket.arrival)
    }

    /// Returns the endpoint with the least expected time that has a free slot. A request that can
    /// end in time only at endpoints that are full waits for one of those.
    fn choose(
        &self,
        now: Instant,
        ticket: &tickets::WaitingTicket,
        counted: bool,
    ) -> Option<(SmolStr, Duration)> {
        let model = self.model(&ticket.service);
        let left = ticket.deadline.saturating_duration_since(now);
        let mut best: Option<(bool, Duration, &endpoints::EndpointView)> = None;
        let mut fits_somewhere = false;
        for view in self.endpoints.values() {
            let candidate = view.service == ticket.service
                && view.is_usable(now, &self.options)
                && !ticket.excluded.contains(&view.id);
            if !candidate {
                continue;
            }
            let run = view.expected_run(ticket.size, model, &self.options);
            let fits = run.mul_f64(self.options.length_margin) <= left;
            fits_somewhere |= fits;
            if view.free_places(counted, self.options.waiting_at_door) == 0 {
                continue;
            }
            let first = view.expected(ticket.size, model, &self.options);
            let score = first
                + run.mul_f64(self.options.run_weight)
                + self.options.failure_penalty.mul_f64(view.failure_ratio());
            let better = best.is_none_or(|(best_fits, best_score, best_view)| {
                (!fits, score, &view.id) < (!best_fits, best_score, &best_view.id)
            });
            if better {
                best = Some((fits, score, view));
            }
        }
        let (fits, _, view) = best?;
        if !fits && fits_somewhere {
            return None;
        }
        let expected = view.expected(ticket.size, model, &self.options);
        Some((view.id.clone(), expected))
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
        view.own.memory += ticket.size.memory();
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

    fn remove(&mut self, place: QueuePlace) -> Option<tickets::WaitingTicket> {
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

    /// Takes the first event of a request; `backlog` is the use of the endpoint when it was sent.
    pub fn first_event(
        &mut self,
        endpoint: &SmolStr,
        size: tickets::WorkSize,
        backlog: u64,
        took: Duration,
    ) {
        let weight = self.options.smoothing;
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.own.pending_prefill = view.own.pending_prefill.saturating_sub(size.prompt());
            let model = self.models.entry(view.service.clone()).or_default();
            let backlog = endpoints::to_float(backlog);
            model.measure_first_event(&mut view.speed, backlog, took, weight);
        }
        self.note_change(endpoint);
    }

    /// Takes the end of a generation: `tokens` came in `took` behind its first event, and the run
    /// took `whole`.
    pub fn generated(&mut self, endpoint: &SmolStr, tokens: u64, took: Duration, whole: Duration) {
        let weight = self.options.smoothing;
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            let model = self.models.entry(view.service.clone()).or_default();
            let tokens = endpoints::to_float(tokens);
            model.measure_generation(&mut view.speed, tokens, took, weight);
            model.measure_run(whole);
        }
    }

    /// Takes the end of a request at an endpoint; `started` tells whether its first event was
    /// taken before.
    pub fn finish(
        &mut self,
        now: Instant,
        endpoint: &SmolStr,
        size: tickets::WorkSize,
        started: bool,
    ) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            let limit = self.options.yield_limit;
            let vacated = self.vacated.entry(view.service.clone()).or_default();
            vacated.retain(|since| now.saturating_duration_since(*since) <= limit);
            vacated.push_back(now);
            view.own.running = view.own.running.saturating_sub(1);
            view.own.memory = view.own.memory.saturating_sub(size.memory());
            if !started {
                view.own.pending_prefill = view.own.pending_prefill.saturating_sub(size.prompt());
            }
        }
        self.note_change(endpoint);
    }

    /// Takes the time of a plain call that was answered.
    pub fn call_took(&mut self, endpoint: &SmolStr, took: Duration) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.measure_call(took, &self.options);
            let model = self.models.entry(view.service.clone()).or_default();
            model.measure_run(took);
        }
    }

    /// Takes a good answer of an endpoint.
    pub fn succeed(&mut self, now: Instant, endpoint: &SmolStr) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.succeed(now, &self.options);
        }
    }

    /// Takes a failure of an endpoint.
    pub fn fail(&mut self, now: Instant, endpoint: &SmolStr) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.fail(now, &self.options);
        }
    }

    /// Takes a connection to an endpoint that could not be made.
    pub fn fail_connection(&mut self, now: Instant, endpoint: &SmolStr) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.fail_connection(now, &self.options);
        }
    }
}
