//! The entries of a replay: their gates, the requests that they hold, and the load updates between
//! them.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use waxwing_core::units;
use waxwing_fleet::dialects;
use waxwing_gate::{gate, pauses, tickets};
use waxwing_wire::messages;

use super::{
    ReplayPlan, build_gate,
    engines::{EVENT_TOKENS, EngineEvent, EngineReport},
    ledger::ReplayLedger,
    traffic::{RequestArrival, RequestKind, ReturningRequest},
};

/// The only service.
const SERVICE: &str = "model";

/// Part of the objective that is left for the way to the caller.
const DELIVERY_MARGIN: Duration = Duration::from_millis(15);

/// A request that an entry has sent to an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartedRequest {
    pub(super) entry: u16,
    pub(super) endpoint: u16,
    /// Whether the endpoint is in another data centre than the entry.
    pub(super) is_remote: bool,
    pub(super) arrival: RequestArrival,
    /// When it reached its entry.
    received: Instant,
    /// Prompt tokens pending at the endpoint when it was sent, its own included.
    backlog: u64,
}

/// A request that an entry has refused.
#[derive(Debug, Clone, Copy)]
pub(super) struct RefusedRequest {
    pub(super) kind: RequestKind,
    arrival: RequestArrival,
    received: Instant,
    retry_after: Option<Duration>,
}

impl RefusedRequest {
    /// Returns the request as it comes back, if its caller does.
    pub(super) fn returning(&self, now: Instant) -> Option<ReturningRequest> {
        let delay = self.retry_after?;
        let waited = now.saturating_duration_since(self.received);
        let arrival = self.arrival.returning(waited, delay)?;
        Some(ReturningRequest { arrival, delay })
    }
}

/// The decisions of all entries in one step.
#[derive(Debug, Default)]
pub(super) struct StepDecisions {
    pub(super) starts: Vec<StartedRequest>,
    pub(super) refusals: Vec<RefusedRequest>,
}

/// A load update on its way.
#[derive(Debug)]
struct UpdateInTransit {
    due: u64,
    from: u16,
    update: messages::LoadUpdate,
}

/// One entry.
#[derive(Debug)]
struct SimulatedEntry {
    core: gate::GateCore,
    held: HashMap<tickets::TicketId, (RequestArrival, Instant)>,
    /// Whether something has happened since its last decision.
    is_dirty: bool,
    /// Step of its next load update.
    next_update: u64,
    inbox: VecDeque<UpdateInTransit>,
}

/// All entries.
#[derive(Debug)]
pub(super) struct EntryFleet {
    max_pause: Option<Duration>,
    entries: Vec<SimulatedEntry>,
    endpoint_ids: Vec<SmolStr>,
    endpoint_numbers: HashMap<SmolStr, u16>,
}

/// Returns the address by which the others know an entry.
pub(super) fn entry_address(number: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 7600))
}

fn endpoint_notice(id: &SmolStr, number: u16, plan: &ReplayPlan) -> messages::EndpointNotice {
    let [high, low] = number.to_be_bytes();
    messages::EndpointNotice {
        id: id.to_string(),
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([10, 2, high, low], 8080)).to_string(),
        data_centre: super::data_centre(plan, number).to_string(),
        slots: plan.slots,
        phase: messages::EndpointPhase::Ready.into(),
        cold_millis: 0,
        born: Some(1),
        sequence: 1,
        age_millis: 0,
        version: String::new(),
    }
}

impl EntryFleet {
    pub(super) fn new(plan: &ReplayPlan, start: Instant, random: &mut ChaCha8Rng) -> Self {
        let endpoint_ids: Vec<_> = (0..plan.endpoints)
            .map(|number| format_smolstr!("endpoint-{number}"))
            .collect();
        let entries = (0..plan.entries).map(|number| {
            let mut core = build_gate(plan, number, start);
            for (endpoint, id) in (0..).zip(&endpoint_ids) {
                core.observe_notice(endpoint_notice(id, endpoint, plan), start);
            }
            SimulatedEntry {
                core,
                held: HashMap::new(),
                is_dirty: false,
                next_update: random.random_range(0..100),
                inbox: VecDeque::new(),
            }
        });
        let mut fleet = Self {
            max_pause: plan.max_pause,
            entries: entries.collect(),
            endpoint_numbers: endpoint_ids.iter().cloned().zip(0..).collect(),
            endpoint_ids,
        };
        fleet.exchange_snapshots(start);
        fleet
    }

    fn exchange_snapshots(&mut self, now: Instant) {
        for sender in 0..self.entries.len() {
            let update = self.entries[sender].core.take_update(now, true);
            let from = entry_address(u16::try_from(sender).unwrap_or(u16::MAX));
            for (receiver, entry) in self.entries.iter_mut().enumerate() {
                if receiver != sender {
                    entry.core.apply_update(now, from, update.clone());
                }
            }
        }
    }

    /// Gives a request to an entry.
    pub(super) fn accept(&mut self, now: Instant, number: u16, arrival: RequestArrival) {
        let pause = self.stream_pause();
        let entry = &mut self.entries[usize::from(number)];
        entry.core.count_request(now, &SmolStr::new_static(SERVICE));
        entry.enqueue(now, now, arrival, pause, Vec::new());
    }

    /// Handles the first event or the end of a request.
    pub(super) fn handle_report(
        &mut self,
        now: Instant,
        step: u64,
        report: &EngineReport,
        ledger: &mut ReplayLedger,
    ) {
        let request = &report.request;
        let id = self.endpoint_ids[usize::from(request.endpoint)].clone();
        let entry = &mut self.entries[usize::from(request.entry)];
        entry.is_dirty = true;
        let core = &mut entry.core;
        if let Some(pace) = report.pace.and_then(units::HostPace::from_percent) {
            let load = dialects::LoadFacts {
                running: 0,
                waiting: 0,
                slots: 0,
                pace: dialects::PaceStatement::Stated(pace),
            };
            core.record_load(now, &id, load);
        }
        match report.event {
            EngineEvent::Begun => {
                let elapsed = millis(step - report.sent);
                core.record_first_event(
                    now,
                    &id,
                    work_size(&request.arrival),
                    request.backlog,
                    elapsed,
                );
                core.record_success(now, &id);
                let waited = now.saturating_duration_since(request.received);
                ledger.count_begin(&request.arrival, waited);
            }
            EngineEvent::Ended => {
                let generated = millis(step - report.begun);
                let took = millis(step - report.sent);
                core.record_generation(now, &id, request.arrival.answer, generated, took);
                core.finish(&id, work_size(&request.arrival), true);
                let waited = now.saturating_duration_since(request.received);
                let pause = millis(report.longest_pause);
                if self.max_pause.is_some_and(|longest| pause > longest) {
                    ledger.count_long_pause(&request.arrival, waited.saturating_sub(generated));
                }
            }
        }
    }

    /// Queues a request again that an endpoint refused.
    pub(super) fn handle_rejection(
        &mut self,
        now: Instant,
        request: &StartedRequest,
        ledger: &mut ReplayLedger,
    ) {
        ledger.count_rejection(request.arrival.kind);
        let id = self.endpoint_ids[usize::from(request.endpoint)].clone();
        let pause = self.stream_pause();
        let entry = &mut self.entries[usize::from(request.entry)];
        entry.core.finish(&id, work_size(&request.arrival), false);
        entry.enqueue(now, request.received, request.arrival, pause, vec![id]);
    }

    fn stream_pause(&self) -> Option<pauses::StreamPause> {
        self.max_pause.map(|longest| pauses::StreamPause {
            longest,
            event_tokens: EVENT_TOKENS,
        })
    }

    /// Sends and delivers load updates; each entry sends one per interval.
    pub(super) fn exchange_updates(
        &mut self,
        now: Instant,
        step: u64,
        interval: Duration,
        plan: &ReplayPlan,
        random: &mut ChaCha8Rng,
    ) {
        let due = step + super::steps_in(plan.update_delay);
        for sender in 0..self.entries.len() {
            let entry = &mut self.entries[sender];
            if step < entry.next_update || !entry.core.has_changes() {
                continue;
            }
            entry.next_update = step + super::steps_in(interval);
            let update = entry.core.take_update(now, false);
            let from = u16::try_from(sender).unwrap_or(u16::MAX);
            for (receiver, entry) in self.entries.iter_mut().enumerate() {
                if receiver != sender && random.random::<f64>() >= plan.lost_updates {
                    let update = update.clone();
                    entry.inbox.push_back(UpdateInTransit { due, from, update });
                }
            }
        }
        for entry in &mut self.entries {
            while entry.inbox.front().is_some_and(|front| front.due <= step) {
                if let Some(transit) = entry.inbox.pop_front() {
                    let from = entry_address(transit.from);
                    entry.core.apply_update(now, from, transit.update);
                    entry.is_dirty = true;
                }
            }
        }
    }

    /// Lets all entries decide that have a reason to.
    pub(super) fn decide(&mut self, now: Instant, step: u64) -> StepDecisions {
        let mut decided = StepDecisions::default();
        let is_check = step.is_multiple_of(super::QUEUE_CHECK_STEPS);
        for (number, entry) in (0..).zip(&mut self.entries) {
            if entry.core.waiting() == 0 || !(entry.is_dirty || is_check) {
                continue;
            }
            entry.is_dirty = false;
            for decision in entry.core.decide(now) {
                entry.carry_out(number, &decision, &self.endpoint_numbers, &mut decided);
            }
        }
        decided
    }

    pub(super) fn waiting(&self) -> usize {
        self.entries.iter().map(|entry| entry.core.waiting()).sum()
    }
}

impl SimulatedEntry {
    fn enqueue(
        &mut self,
        now: Instant,
        received: Instant,
        arrival: RequestArrival,
        pause: Option<pauses::StreamPause>,
        excluded: Vec<SmolStr>,
    ) {
        let profile = arrival.kind.profile();
        let rank = arrival.kind.rank();
        let objective = profile.objective.saturating_sub(DELIVERY_MARGIN);
        let ticket = tickets::WaitingTicket {
            service: SmolStr::new_static(SERVICE),
            rank: (rank, rank),
            arrival: received,
            queued: now,
            due: received + objective,
            deadline: received + arrival.patience,
            size: work_size(&arrival),
            pause,
            returned: arrival.refusals > 0,
            resumed: false,
            excluded,
            may_go_back: true,
            prefers_target: false,
        };
        let id = self.core.enqueue(ticket);
        self.held.insert(id, (arrival, received));
        self.is_dirty = true;
    }

    fn carry_out(
        &mut self,
        number: u16,
        decision: &tickets::GateDecision,
        endpoint_numbers: &HashMap<SmolStr, u16>,
        decided: &mut StepDecisions,
    ) {
        match decision {
            tickets::GateDecision::Grant {
                ticket,
                endpoint,
                inputs,
                ..
            } => {
                if let Some((arrival, received)) = self.held.remove(ticket) {
                    let view = self.core.endpoint(endpoint);
                    decided.starts.push(StartedRequest {
                        entry: number,
                        endpoint: endpoint_numbers[endpoint],
                        is_remote: inputs.is_remote,
                        arrival,
                        received,
                        backlog: view.map_or(0, |view| view.total().pending_prefill),
                    });
                }
            }
            tickets::GateDecision::Refuse {
                ticket,
                retry_after,
                ..
            } => {
                if let Some((arrival, received)) = self.held.remove(ticket) {
                    decided.refusals.push(RefusedRequest {
                        kind: arrival.kind,
                        arrival,
                        received,
                        retry_after: *retry_after,
                    });
                }
            }
        }
    }
}

fn work_size(arrival: &RequestArrival) -> tickets::WorkSize {
    tickets::WorkSize::Generation {
        prompt: arrival.prompt,
        answer: arrival.answer,
    }
}

fn millis(steps: u64) -> Duration {
    super::STEP * u32::try_from(steps).unwrap_or(u32::MAX)
}
