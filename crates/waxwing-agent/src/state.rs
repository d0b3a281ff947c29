//! The agent as a state machine without I/O: inputs are messages, events of the endpoint and the
//! time; outputs are messages and actions for the driver.
//!
//! `docs/design.md`, section 5, gives the rules. The parts of the machine are laid out by step of
//! the request path: offers, hand-overs, runs, answers; and orders, claims and reports beside it.

mod claims;
mod deliveries;
mod handovers;
mod offers;
mod orders;
mod reports;
mod runs;
mod suspensions;
mod sweeps;

use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

use waxwing_core::{counters, ids, reasons, units};
use waxwing_policy::{admission, cache, queue};
use waxwing_wire::messages;

use crate::{events, jobs, options, pace};

/// Requests that wait inside the engine from which on they count as a queue.
const QUEUED_INSIDE: u32 = 4;

/// An `EndpointHealth` tells whether the endpoint takes calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndpointHealth {
    /// It answers.
    Up,
    /// A call failed; nothing is granted until the endpoint has described itself again.
    Suspect,
    /// It does not answer; offers are refused.
    Down,
}

/// A `StallGuard` keeps an endpoint that answers but makes no progress from taking much work.
#[derive(Debug, Clone, Copy, Default)]
struct StallGuard {
    until: Option<Instant>,
    stalls: u32,
}

/// `DrainCauses` are the independent reasons for refusing new offers.
#[derive(Debug, Clone, Copy, Default)]
struct DrainCauses {
    leaving: bool,
    order: bool,
    settings: bool,
}

/// An `AgentCore` is the state of one incarnation of an agent.
#[derive(Debug)]
pub struct AgentCore {
    incarnation: ids::Incarnation,
    limits: options::AgentLimits,
    counters: counters::CounterSet,
    info: messages::EndpointInfo,
    health: EndpointHealth,
    stall: StallGuard,
    drains: DrainCauses,
    links: BTreeMap<events::LinkId, ()>,
    queue: queue::OfferQueue<jobs::OfferNote>,
    grants: BTreeMap<ids::RequestId, jobs::LiveGrant>,
    next_grant: u64,
    /// When an offer of each tier last had to wait, or a request of it missed its deadline.
    pressed: BTreeMap<ids::TierRank, Instant>,
    /// The lowest tier of which an offer came lately, and when.
    lowest: (ids::TierRank, Instant),
    jobs: jobs::JobTable,
    runs: HashMap<events::RunId, ids::RequestId>,
    stopping: HashMap<events::RunId, ids::RequestId>,
    next_run: u64,
    tombstones: jobs::TombstoneList,
    admission: admission::AdmissionLimit,
    admission_options: admission::AdmissionOptions,
    pace: pace::EndpointPace,
    cache: cache::CacheView,
    claims: claims::ClaimBook,
    orders: orders::OrderGate,
    reports: reports::ReportClock,
    reported_requests: u32,
    last_sweep: Instant,
    now: Instant,
    outputs: Vec<events::AgentOutput>,
}

impl AgentCore {
    /// Builds an agent that has no links and doesn't know its endpoint yet.
    #[must_use]
    pub fn new(
        incarnation: ids::Incarnation,
        limits: options::AgentLimits,
        counters: counters::CounterSet,
        now: Instant,
    ) -> Self {
        let admission_options = admission::AdmissionOptions::default();
        let max_offers = limits.waiting_offers;
        Self {
            incarnation,
            limits,
            counters,
            info: messages::EndpointInfo::default(),
            health: EndpointHealth::Down,
            stall: StallGuard::default(),
            drains: DrainCauses::default(),
            links: BTreeMap::new(),
            queue: queue::OfferQueue::new(queue::QueueOptions { max_offers }),
            grants: BTreeMap::new(),
            next_grant: 1,
            pressed: BTreeMap::new(),
            lowest: (ids::TierRank(0), now),
            jobs: jobs::JobTable::default(),
            runs: HashMap::new(),
            stopping: HashMap::new(),
            next_run: 1,
            tombstones: jobs::TombstoneList::default(),
            admission: admission::AdmissionLimit::new(admission_options.clone(), now),
            admission_options,
            pace: pace::EndpointPace::new(0.0, 0.0, now),
            cache: cache::CacheView::new(units::TokenCount::ZERO),
            claims: claims::ClaimBook::default(),
            orders: orders::OrderGate::default(),
            reports: reports::ReportClock::new(now),
            reported_requests: 0,
            last_sweep: now,
            now,
            outputs: Vec::new(),
        }
    }

    /// Takes an input that happened at `now` and returns what is to be done.
    pub fn handle(&mut self, now: Instant, input: events::AgentInput) -> Vec<events::AgentOutput> {
        self.now = self.now.max(now);
        self.take(input);
        self.schedule();
        self.report_if_due();
        std::mem::take(&mut self.outputs)
    }

    fn take(&mut self, input: events::AgentInput) {
        match input {
            events::AgentInput::LinkOpened { link } => self.link_opened(link),
            events::AgentInput::LinkClosed { link } => self.link_closed(link),
            events::AgentInput::Message {
                link,
                correlation,
                body,
            } => self.message(link, correlation, body),
            events::AgentInput::Control { correlation, body } => self.control(correlation, body),
            events::AgentInput::Endpoint { run, event } => self.endpoint_event(run, event),
            events::AgentInput::Info(info) => self.endpoint_info(info),
            events::AgentInput::EndpointDown => self.endpoint_down(),
            events::AgentInput::Load { running, waiting } => self.load(running, waiting),
            events::AgentInput::CacheChanges(changes) => self.cache_changes(&changes),
            events::AgentInput::OrderEnded { order, outcome } => self.order_ended(order, outcome),
            events::AgentInput::Stopped { run, kv } => self.run_stopped(run, kv),
            events::AgentInput::Policy(policy) => self.policy(&policy),
            events::AgentInput::Leave => self.change_drains(|drains| drains.leaving = true),
            events::AgentInput::Tick => self.sweep(),
        }
    }

    fn message(&mut self, link: events::LinkId, correlation: u64, body: messages::Body) {
        match body {
            messages::Body::Offer(offer) => self.offer(link, offer),
            messages::Body::Withdraw(withdraw) => self.withdraw(&withdraw),
            messages::Body::Decline(decline) => self.decline(&decline),
            messages::Body::Handover(handover) => self.handover(link, correlation, handover),
            messages::Body::Settle(settle) => self.settle(link, correlation, &settle),
            messages::Body::AnswerAck(ack) => self.answer_ack(&ack),
            messages::Body::Resume(resume) => self.resume_answer(link, &resume),
            messages::Body::Cancel(cancel) => self.cancel(&cancel),
            // Other messages concern the link itself, or come from a peer of a later version.
            _ => {}
        }
    }

    fn control(&mut self, correlation: u64, body: messages::Body) {
        match body {
            messages::Body::ClaimCompleted(_) => self.claim_completed(correlation),
            messages::Body::Fencing(fencing) => self.fencing_known(fencing.number),
            messages::Body::Order(order) => self.order(correlation, order),
            _ => {}
        }
    }

    fn link_opened(&mut self, link: events::LinkId) {
        self.links.insert(link, ());
        let report = self.build_report(&[], &[]);
        self.send(link, 0, messages::Body::Report(report));
        if self.is_draining() {
            self.send(link, 0, messages::Body::Leaving(messages::Leaving {}));
        }
    }

    fn link_closed(&mut self, link: events::LinkId) {
        self.links.remove(&link);
        // A grant can't be delivered any more; the entry offers again over its next link.
        self.queue.remove_where(|offer| offer.payload.link == link);
        let now = self.now;
        for job in self.jobs.all_mut() {
            if job.link == Some(link) {
                job.link = None;
                job.detached = Some(now);
            }
        }
    }

    fn endpoint_info(&mut self, info: messages::EndpointInfo) {
        let first = self.health == EndpointHealth::Down;
        if info != self.info {
            let new_engine = info.cache_tokens != self.info.cache_tokens
                || info.prefill_rate != self.info.prefill_rate
                || info.token_millis != self.info.token_millis
                || info.kind != self.info.kind;
            self.info = info;
            if new_engine {
                self.adopt_engine();
            }
            self.reports.mark();
        }
        if first && self.runs.is_empty() {
            // An engine that was started again has an empty cache.
            self.cache.clear();
        }
        if self.health != EndpointHealth::Up {
            self.health = EndpointHealth::Up;
            self.reports.mark();
        }
    }

    fn adopt_engine(&mut self) {
        let cap = units::TokenCount(self.info.cache_tokens);
        let max_running = match self.is_engine() {
            true => self.limits.engine_running,
            false => self.limits.plain_running,
        };
        self.admission_options.cap = cap;
        self.admission_options.max_running = max_running;
        let idle = self.runs.is_empty() && self.grants.is_empty();
        match idle {
            true => {
                let options = self.admission_options.clone();
                self.admission = admission::AdmissionLimit::new(options, self.now);
            }
            false => self.admission.set_options(self.admission_options.clone()),
        }
        let (rate, millis) = (self.info.prefill_rate, self.info.token_millis);
        self.pace = pace::EndpointPace::new(rate, millis, self.now);
        self.cache = cache::CacheView::new(cap);
    }

    fn load(&mut self, running: u32, waiting: u32) {
        self.reported_requests = running.saturating_add(waiting);
        // What waits inside the engine is out of the agent's order. A few that wait for the end of
        // the step in progress are no queue.
        if waiting >= QUEUED_INSIDE && waiting * 4 >= running {
            self.admission.cap_slots(running as usize);
        }
    }

    fn endpoint_down(&mut self) {
        if self.health == EndpointHealth::Down {
            return;
        }
        self.health = EndpointHealth::Down;
        self.refuse_waiting(reasons::RefusalReason::EndpointFailed);
        self.reports.mark();
    }

    fn cache_changes(&mut self, changes: &[events::CacheChange]) {
        for change in changes {
            if self
                .cache
                .apply_event(change.number, change.stored, &change.hashes)
            {
                self.counters.count(counters::CounterEvent::CacheEventGaps);
            }
        }
    }

    fn policy(&mut self, policy: &events::PolicyUpdate) {
        self.admission_options.first_token_target = policy.first_token_target;
        self.admission_options.token_target = policy.token_target;
        self.admission.set_options(self.admission_options.clone());
        self.limits.grant_ms = u64::try_from(policy.grant.as_millis()).unwrap_or(u64::MAX);
        self.change_drains(|drains| drains.settings = policy.draining);
    }

    fn change_drains(&mut self, change: impl FnOnce(&mut DrainCauses)) {
        let before = self.is_draining();
        change(&mut self.drains);
        let after = self.is_draining();
        if before == after {
            return;
        }
        self.reports.mark();
        if !after {
            return;
        }
        self.refuse_waiting(reasons::RefusalReason::Draining);
        let links: Vec<_> = self.links.keys().copied().collect();
        for link in links {
            self.send(link, 0, messages::Body::Leaving(messages::Leaving {}));
        }
    }

    /// Tells whether new offers are refused.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.drains.leaving || self.drains.order || self.drains.settings
    }

    /// Tells whether nothing is left to do: no grant is live, nothing runs, every answer has
    /// reached its entry or has lost it, and every completion is durable.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let grace = self.limits.entry_loss();
        let waits = |job: &jobs::Job| match job.stage {
            jobs::JobStage::Ended(ended) => {
                let over = self.now.saturating_duration_since(ended) >= grace;
                job.answer.unacknowledged() > 0 && !over
            }
            _ => true,
        };
        let claimed = self.claims.is_settled(self.now);
        self.grants.is_empty() && claimed && !self.jobs.all().any(waits)
    }

    /// Returns the description of the endpoint, once it is known.
    #[must_use]
    pub fn info(&self) -> &messages::EndpointInfo {
        &self.info
    }

    /// Returns the admission limit: context tokens, and requests.
    #[must_use]
    pub fn limit(&self) -> (units::TokenCount, usize) {
        (self.admission.limit(), self.admission.slots())
    }

    /// Returns the requests whose calls run at the endpoint now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns the bytes of answers that are kept.
    #[must_use]
    pub fn kept_bytes(&self) -> units::ByteCount {
        let kept = self.jobs.all().map(|job| job.answer.kept_bytes());
        units::ByteCount(kept.sum())
    }

    fn is_engine(&self) -> bool {
        self.info.kind == messages::EndpointKind::Engine as i32
    }

    fn send(&mut self, link: events::LinkId, correlation: u64, body: messages::Body) {
        if self.links.contains_key(&link) {
            self.outputs.push(events::AgentOutput::Send {
                link,
                correlation,
                body,
            });
        }
    }

    fn refuse_offer(
        &mut self,
        link: events::LinkId,
        request: ids::RequestId,
        reason: reasons::RefusalReason,
    ) {
        self.counters.refuse(reason);
        let refused = messages::OfferRefused {
            request: request.to_bytes().to_vec(),
            reason: reason.as_str().to_owned(),
            retry_after_millis: 0,
        };
        self.send(link, 0, messages::Body::OfferRefused(refused));
    }

    fn refuse_waiting(&mut self, reason: reasons::RefusalReason) {
        for offer in self.queue.remove_where(|_| true) {
            self.refuse_offer(offer.payload.link, offer.request, reason);
        }
    }
}
