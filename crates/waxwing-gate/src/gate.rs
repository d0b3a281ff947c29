//! Admission queue and endpoint selection of one entry.
//!
//! Retries and resumed streams are served first. Otherwise tiers have strict priority, and within a
//! tier, requests that have not been refused before are served before those that return after a
//! refusal. Each group is ordered by arrival time and expected run time. An endpoint gets one
//! request more than it has slots; all others wait here, where a more urgent request can still
//! overtake them.

mod choice;
mod dispatch;
mod load_updates;
mod paces;
mod places;
mod statements;
mod versions;

pub use self::{load_updates::LOST_PEER_RECORD_RETENTION, statements::LimitChange};

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_core::units;
use waxwing_fleet::{dialects, registry, summaries};
use waxwing_wire::messages;

use crate::{
    baselines, budgets, crashes, endpoints, models, options, patience, pauses, quotas, rollouts,
    shares, spillover, tickets,
};

/// Sort key of a ticket in the queue of its service; the smallest key is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    /// Retries and resumed streams sort first; the caller of a resumed stream already holds a part
    /// of the answer.
    not_resumed: bool,
    rank: (u32, u32),
    after_refusal: bool,
    virtual_arrival: Instant,
    ticket: tickets::TicketId,
}

/// A ticket and its key in the queue.
#[derive(Debug)]
struct QueuedTicket {
    ticket: tickets::WaitingTicket,
    key: QueueKey,
    /// Pace of the best free endpoint that it declined when it was last decided on, if it did.
    declined: Option<units::HostPace>,
}

/// The admission queue of one entry, and what it knows of the endpoints and the other entries. It
/// does no I/O and reads no clock.
#[derive(Debug)]
pub struct GateCore {
    options: options::GateOptions,
    /// When the process started.
    started: Instant,
    registry: registry::EndpointRegistry,
    endpoints: HashMap<SmolStr, endpoints::EndpointView>,
    waiting: HashMap<tickets::TicketId, QueuedTicket>,
    queues: HashMap<SmolStr, BTreeSet<QueueKey>>,
    next_ticket: u64,
    models: HashMap<SmolStr, models::ServiceModel>,
    /// Model of services without measurements.
    initial_model: models::ServiceModel,
    budgets: HashMap<SmolStr, budgets::RetryBudget>,
    /// Longest recent patience of the callers of each route.
    pub patience: patience::PatienceTable,
    /// Pauses that the streams of each service allow.
    pauses: pauses::PauseTable,
    /// Prompt parts that crash endpoints.
    pub crashes: crashes::CrashLedger,
    /// Quotas of client accounts.
    pub quotas: quotas::QuotaTable,
    /// Roll-outs of new versions.
    pub rollouts: rollouts::RolloutTable,
    peers: HashMap<SocketAddr, PeerState>,
    /// Entries without a connection that may still be running.
    lost_peers: HashMap<SocketAddr, LostPeer>,
    /// How short of slots the data centres are.
    spillover: spillover::SpilloverTable,
    /// Recent requests of callers, by service.
    recent: HashMap<SmolStr, shares::RecentRequests>,
    /// Latest demand reported by the other entries, by service.
    demands: HashMap<SmolStr, shares::PeerDemands>,
    /// Endpoints with slots that requests of this entry released since its last update. The other
    /// entries have not learned of these slots yet.
    released: Vec<SmolStr>,
    /// Replaces the endpoint selection of the gate by a baseline policy; `None` unless a baseline
    /// is being measured.
    baselines: Option<baselines::BaselineChoice>,
    /// Since when this entry has left free slots of a service to other entries.
    yielding: HashMap<SmolStr, Instant>,
    /// Endpoints whose use changed since the last update.
    changed: Vec<SmolStr>,
    /// Whether the queue has changed since the last update.
    demand_changed: bool,
    /// Limits of endpoints that changed and were not logged yet.
    limit_changes: Vec<LimitChange>,
}

/// Capacity of the endpoints of a service.
#[derive(Debug, Clone, Copy)]
struct ServiceCapacity {
    /// Whether any endpoint is usable.
    usable: bool,
    /// Whether runs are long enough for the usage that other entries report to be current.
    peer_usage_known: bool,
    /// Slots of all usable endpoints.
    slots: u32,
    /// Requests that the usable endpoints can take now.
    free: u32,
    /// Pace of the fastest usable host; 1 where none states its pace.
    best_pace: f64,
    /// Expected interval at which this entry gets a slot while all slots are taken.
    slot_interval: Duration,
}

/// State of one pass over the queue of a service.
#[derive(Debug)]
struct DispatchRound {
    capacity: ServiceCapacity,
    /// Requests that the usable endpoints can still take.
    free: u32,
    /// Requests of this entry at endpoints of the service.
    running: u32,
    /// Requests ahead in the queue that stay queued.
    ahead: u32,
    /// Whether a free slot may have been left to another entry.
    yielded: bool,
    /// Whether free slots were left to others for so long that one may be taken regardless of the
    /// shares.
    yield_expired: bool,
}

/// Load of a service as seen by one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: SmolStr,
    /// Number of known endpoints.
    pub endpoints: usize,
    /// Number of endpoints that accept new requests.
    pub usable: usize,
    /// Slots of the usable endpoints.
    pub slots: u32,
    /// Requests of all entries at the usable endpoints.
    pub running: u32,
    /// Requests of this entry at all known endpoints.
    pub own: u32,
    /// Requests queued at this entry.
    pub waiting: usize,
    /// Number of endpoints that name a limit.
    pub limited: usize,
    /// How short of slots the data centre of this entry is, from 0 to 1.
    pub shortage: f64,
}

/// State reported by another entry.
#[derive(Debug)]
struct PeerState {
    /// Start time of its process, from the age that it reports.
    start_time: Instant,
    /// Its data centre.
    data_centre: SmolStr,
    /// Units that it has admitted since its start, by client account.
    accounts: HashMap<SmolStr, u64>,
}

impl PeerState {
    fn new(start_time: Instant) -> Self {
        Self {
            start_time,
            data_centre: SmolStr::default(),
            accounts: HashMap::new(),
        }
    }
}

/// An entry without a connection that may still be running.
#[derive(Debug)]
struct LostPeer {
    /// When the connection was lost, or the entry was last listed.
    since: Instant,
    /// Last known state; `None` if the entry was never connected.
    state: Option<PeerState>,
}

impl GateCore {
    /// Builds a gate without endpoints or requests; `started` is the start time of the process.
    #[must_use]
    pub fn new(options: options::GateOptions, started: Instant) -> Self {
        Self {
            baselines: baselines::BaselineChoice::new(options.routing, options.routing_seed),
            options,
            started,
            registry: registry::EndpointRegistry::default(),
            endpoints: HashMap::new(),
            waiting: HashMap::new(),
            queues: HashMap::new(),
            next_ticket: 0,
            models: HashMap::new(),
            initial_model: models::ServiceModel::default(),
            budgets: HashMap::new(),
            patience: patience::PatienceTable::default(),
            pauses: pauses::PauseTable::default(),
            crashes: crashes::CrashLedger::default(),
            quotas: quotas::QuotaTable::new(started),
            rollouts: rollouts::RolloutTable::default(),
            peers: HashMap::new(),
            lost_peers: HashMap::new(),
            spillover: spillover::SpilloverTable::default(),
            recent: HashMap::new(),
            demands: HashMap::new(),
            released: Vec::new(),
            yielding: HashMap::new(),
            changed: Vec::new(),
            demand_changed: false,
            limit_changes: Vec::new(),
        }
    }

    /// Returns the options that the gate was built with.
    #[must_use]
    pub const fn options(&self) -> &options::GateOptions {
        &self.options
    }

    /// Applies a notice about an endpoint.
    pub fn observe_notice(&mut self, notice: messages::EndpointNotice, received: Instant) {
        let id = SmolStr::new(&notice.id);
        let Ok(address) = notice.address.parse() else {
            // A control host that doesn't know the endpoint tells of its departure without an address.
            if self.registry.observe(notice, received) == registry::NoticeEffect::Changed {
                self.endpoints.remove(&id);
            }
            return;
        };
        match self.registry.observe(notice.clone(), received) {
            registry::NoticeEffect::Stale => return,
            registry::NoticeEffect::Refreshed => {}
            registry::NoticeEffect::Changed => self.replace_endpoint(&notice, address, received),
        }
        if let Some(view) = self.endpoints.get_mut(&id) {
            view.last_seen = view.last_seen.max(received);
        }
        self.registry.expire(received);
    }

    /// Records that the endpoints with these notices were alive at `received`. Returns the digests
    /// of which no notice is known here.
    pub fn observe_refreshes(
        &mut self,
        digests: impl IntoIterator<Item = summaries::NoticeDigest>,
        received: Instant,
    ) -> Vec<summaries::NoticeDigest> {
        let mut unknown = Vec::new();
        for digest in digests {
            let Some(id) = self.registry.refresh(digest, received) else {
                unknown.push(digest);
                continue;
            };
            if let Some(view) = self.endpoints.get_mut(id) {
                view.last_seen = view.last_seen.max(received);
            }
        }
        self.registry.expire(received);
        unknown
    }

    /// Returns the latest notices of all endpoints.
    #[must_use]
    pub const fn registry(&self) -> &registry::EndpointRegistry {
        &self.registry
    }

    fn replace_endpoint(
        &mut self,
        notice: &messages::EndpointNotice,
        address: SocketAddr,
        received: Instant,
    ) {
        let id = SmolStr::new(&notice.id);
        if notice.phase() == messages::EndpointPhase::Gone {
            self.endpoints.remove(&id);
            return;
        }
        self.endpoints
            .retain(|other, view| view.address != address || *other == id);
        let mut view = endpoints::EndpointView::new(notice, address, received);
        if let Some(previous) = self
            .endpoints
            .remove(&id)
            .filter(|previous| previous.address == address)
        {
            let ready = view.ready;
            view = previous;
            view.ready = ready;
            view.slots = notice.slots;
            view.service = SmolStr::new(&notice.service);
            view.version = SmolStr::new(&notice.version);
            if notice.born > view.born {
                view.restart(notice.born);
            }
        }
        self.endpoints.insert(id, view);
    }

    /// Returns an endpoint by its id.
    #[must_use]
    pub fn endpoint(&self, id: &str) -> Option<&endpoints::EndpointView> {
        self.endpoints.get(id)
    }

    /// Returns the ids of all known endpoints.
    pub fn endpoint_ids(&self) -> impl Iterator<Item = &SmolStr> {
        self.endpoints.keys()
    }

    /// Returns the load of every service with a known endpoint.
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
                limited: 0,
                shortage: self
                    .spillover
                    .shortage(&view.service, &self.options.data_centre),
            });
            load.endpoints += 1;
            load.own += view.own.running;
            load.limited += usize::from(view.limit.limit().is_some());
            if view.is_usable(now, &self.options) {
                load.usable += 1;
                load.slots = load.slots.saturating_add(view.slots);
                load.running = load.running.saturating_add(view.total().running);
            }
        }
        loads.into_values().collect()
    }

    /// Counts a request of a caller towards the retry budget of its service and the demand of this
    /// entry.
    pub fn count_request(&mut self, now: Instant, service: &SmolStr) {
        self.budget(service).count_request(now);
        self.recent
            .entry(service.clone())
            .or_insert_with(|| shares::RecentRequests::new(now))
            .count(now);
    }

    /// Charges a request to the quota of its client account.
    ///
    /// # Errors
    /// Returns the time after which the quota has room for the request if it has none now.
    pub fn admit(
        &mut self,
        now: Instant,
        request: quotas::QuotaRequest<'_>,
    ) -> Result<(), Duration> {
        let (connected, all_entries) = self.entry_counts(now);
        let allowance = quotas::QuotaAllowance {
            share: f64::from(connected) / f64::from(all_entries),
            slack: self.options.quota_slack,
        };
        self.quotas.admit(now, request, allowance)
    }

    /// Takes a retry from the retry budget; returns whether one was left.
    pub fn take_retry(&mut self, now: Instant, service: &SmolStr) -> bool {
        let (_, entries) = self.entry_counts(now);
        let ratio = self.options.retry_ratio;
        let extra = self.options.retry_extra / f64::from(entries);
        self.budget(service).take_retry(now, ratio, extra)
    }

    fn budget(&mut self, service: &SmolStr) -> &mut budgets::RetryBudget {
        let (started, window) = (self.started, self.options.budget_window);
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| budgets::RetryBudget::new(started, window))
    }

    /// Adds a request to the queue.
    pub fn enqueue(&mut self, ticket: tickets::WaitingTicket) -> tickets::TicketId {
        self.next_ticket += 1;
        let id = tickets::TicketId(self.next_ticket);
        if let Some(pause) = ticket.pause {
            self.pauses.observe(ticket.queued, &ticket.service, pause);
        }
        let model = self.model(&ticket.service);
        let run = model.idle_run_time(ticket.size);
        let key = QueueKey {
            not_resumed: !ticket.resumed,
            rank: ticket.rank,
            after_refusal: ticket.returned,
            virtual_arrival: ticket.queued + run.mul_f64(self.options.short_run_bias),
            ticket: id,
        };
        self.queues
            .entry(ticket.service.clone())
            .or_default()
            .insert(key);
        self.waiting.insert(
            id,
            QueuedTicket {
                ticket,
                key,
                declined: None,
            },
        );
        id
    }

    /// Removes a request from the queue, for example when its caller has disconnected.
    pub fn withdraw(&mut self, id: tickets::TicketId) {
        if let Some(key) = self.waiting.get(&id).map(|queued| queued.key) {
            self.remove(key);
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Records the first event of a request, `elapsed` after it was sent; `backlog` is the number
    /// of prompt tokens pending at the endpoint at that time, its own included.
    pub fn record_first_event(
        &mut self,
        now: Instant,
        endpoint: &SmolStr,
        size: tickets::WorkSize,
        backlog: u64,
        elapsed: Duration,
    ) {
        let weight = self.options.smoothing;
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.own.pending_prefill = view.own.pending_prefill.saturating_sub(size.prompt());
            let model = self.models.entry(view.service.clone()).or_default();
            let backlog = endpoints::to_float(backlog);
            view.speed = view.speed_at(now, model);
            model.measure_first_event(&mut view.speed, backlog, elapsed, weight);
        }
        self.mark_changed(endpoint);
    }

    /// Records a finished generation: `tokens` arrived in `generation_time` after the first event,
    /// and the run took `run_time` in total.
    pub fn record_generation(
        &mut self,
        now: Instant,
        endpoint: &SmolStr,
        tokens: u64,
        generation_time: Duration,
        run_time: Duration,
    ) {
        let weight = self.options.smoothing;
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            let model = self.models.entry(view.service.clone()).or_default();
            let tokens = endpoints::to_float(tokens);
            view.speed = view.speed_at(now, model);
            model.measure_generation(&mut view.speed, tokens, generation_time, weight);
            model.measure_run(run_time);
        }
    }

    /// Records the end of a request at an endpoint and frees its slot; `started` tells whether its
    /// first event was recorded before.
    pub fn finish(&mut self, endpoint: &SmolStr, size: tickets::WorkSize, started: bool) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            self.released.push(endpoint.clone());
            view.own.running = view.own.running.saturating_sub(1);
            if !started {
                view.own.pending_prefill = view.own.pending_prefill.saturating_sub(size.prompt());
            }
        }
        self.mark_changed(endpoint);
    }

    /// Records the duration of a plain call that was answered.
    pub fn record_call(&mut self, now: Instant, endpoint: &SmolStr, elapsed: Duration) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            let model = self.models.entry(view.service.clone()).or_default();
            let pace = view.pace.expected(now, &model.pace);
            view.measure_call(elapsed, pace, &self.options);
            model.measure_run(elapsed);
        }
    }

    /// Records the load that an endpoint reported with an answer.
    pub fn record_load(&mut self, now: Instant, endpoint: &SmolStr, load: dialects::LoadFacts) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.observe_load(now, load, &self.options);
        }
        if let dialects::PaceStatement::Stated(pace) = load.pace {
            self.record_pace(now, endpoint, pace);
        }
    }

    /// Records a successful answer of an endpoint.
    pub fn record_success(&mut self, now: Instant, endpoint: &SmolStr) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.record_success(now, &self.options);
        }
    }

    /// Records a failed answer or broken connection of an endpoint.
    pub fn record_failure(&mut self, now: Instant, endpoint: &SmolStr) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.record_failure(now, &self.options);
        }
    }

    /// Records a failed attempt to connect to an endpoint.
    pub fn record_connect_failure(&mut self, now: Instant, endpoint: &SmolStr) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.record_connect_failure(now, &self.options);
        }
    }
}
