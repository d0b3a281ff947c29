//! The agent as a state machine without I/O: inputs are messages, endpoint events and clock ticks;
//! outputs are messages and actions for the driver.
//!
//! `docs/design.md`, section 5, gives the rules. Submodules follow the request path (offers,
//! handovers, runs, answer deliveries); orders, claim completions and reports are independent of
//! it.

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

/// Number of requests waiting inside the engine from which they count as a queue.
const MIN_ENGINE_QUEUE: u32 = 4;

/// Whether the endpoint can be called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndpointHealth {
    /// The endpoint responds.
    Up,
    /// A call failed; nothing is granted until the next successful poll of the endpoint's
    /// description.
    Suspect,
    /// The endpoint does not respond; offers are refused.
    Down,
}

/// Backoff for an endpoint that responds but makes no progress on its requests.
#[derive(Debug, Clone, Copy, Default)]
struct StallBackoff {
    paused_until: Option<Instant>,
    consecutive_stalls: u32,
}

/// Independent reasons to refuse new offers; the agent drains while any of them is set.
#[derive(Debug, Clone, Copy, Default)]
struct DrainCauses {
    leaving: bool,
    order: bool,
    settings: bool,
}

/// The state machine of one incarnation (process start) of an agent.
#[derive(Debug)]
pub struct AgentCore {
    incarnation: ids::Incarnation,
    limits: options::AgentLimits,
    counters: counters::CounterSet,
    info: messages::EndpointInfo,
    health: EndpointHealth,
    stall_backoff: StallBackoff,
    drain_causes: DrainCauses,
    links: BTreeMap<events::LinkId, ()>,
    queue: queue::OfferQueue<jobs::OfferDetails>,
    grants: BTreeMap<ids::RequestId, jobs::LiveGrant>,
    next_grant: u64,
    /// When an offer of each tier last waited noticeably, or a request of it missed its deadline.
    overload_signs: BTreeMap<ids::TierRank, Instant>,
    /// The lowest tier that recently sent an offer, and when it last did.
    lowest_tier: (ids::TierRank, Instant),
    jobs: jobs::JobTable,
    runs: HashMap<events::RunId, ids::RequestId>,
    /// Runs whose cancellation the endpoint has not confirmed yet.
    stopping: HashMap<events::RunId, ids::RequestId>,
    next_run: u64,
    tombstones: jobs::TombstoneList,
    admission: admission::AdmissionLimit,
    admission_options: admission::AdmissionOptions,
    pace: pace::EndpointPace,
    cache: cache::CacheView,
    completions: claims::CompletionTable,
    orders: orders::OrderGate,
    reports: reports::ReportSchedule,
    /// Requests running or queued in the engine, by its own last load report.
    reported_requests: u32,
    last_sweep: Instant,
    now: Instant,
    outputs: Vec<events::AgentOutput>,
}

impl AgentCore {
    /// Creates an agent that has no links and whose endpoint is still unknown.
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
            stall_backoff: StallBackoff::default(),
            drain_causes: DrainCauses::default(),
            links: BTreeMap::new(),
            queue: queue::OfferQueue::new(queue::QueueOptions { max_offers }),
            grants: BTreeMap::new(),
            next_grant: 1,
            overload_signs: BTreeMap::new(),
            lowest_tier: (ids::TierRank(0), now),
            jobs: jobs::JobTable::default(),
            runs: HashMap::new(),
            stopping: HashMap::new(),
            next_run: 1,
            tombstones: jobs::TombstoneList::default(),
            admission: admission::AdmissionLimit::new(admission_options.clone(), now),
            admission_options,
            pace: pace::EndpointPace::new(0.0, 0.0, now),
            cache: cache::CacheView::new(units::TokenCount::ZERO),
            completions: claims::CompletionTable::default(),
            orders: orders::OrderGate::default(),
            reports: reports::ReportSchedule::new(now),
            reported_requests: 0,
            last_sweep: now,
            now,
            outputs: Vec::new(),
        }
    }

    /// Processes an input that occurred at `now` and returns the resulting actions.
    pub fn handle(&mut self, now: Instant, input: events::AgentInput) -> Vec<events::AgentOutput> {
        self.now = self.now.max(now);
        self.process(input);
        self.schedule();
        self.report_if_due();
        std::mem::take(&mut self.outputs)
    }

    fn process(&mut self, input: events::AgentInput) {
        match input {
            events::AgentInput::LinkOpened { link } => self.link_opened(link),
            events::AgentInput::LinkClosed { link } => self.link_closed(link),
            events::AgentInput::Message {
                link,
                correlation,
                body,
            } => self.on_message(link, correlation, body),
            events::AgentInput::Control { correlation, body } => self.on_control(correlation, body),
            events::AgentInput::Endpoint { run, event } => self.endpoint_event(run, event),
            events::AgentInput::Info(info) => self.endpoint_info(info),
            events::AgentInput::EndpointDown => self.endpoint_down(),
            events::AgentInput::Load { running, waiting } => self.engine_load(running, waiting),
            events::AgentInput::CacheChanges(changes) => self.apply_cache_changes(&changes),
            events::AgentInput::OrderEnded { order, outcome } => self.order_ended(order, outcome),
            events::AgentInput::Stopped { run, kv } => self.run_stopped(run, kv),
            events::AgentInput::Policy(policy) => self.update_policy(&policy),
            events::AgentInput::Shutdown => {
                self.update_drain_causes(|drain_causes| drain_causes.leaving = true)
            }
            events::AgentInput::Tick => self.sweep(),
        }
    }

    fn on_message(&mut self, link: events::LinkId, correlation: u64, body: messages::Body) {
        match body {
            messages::Body::Offer(offer) => self.offer(link, offer),
            messages::Body::Withdraw(withdraw) => self.withdraw(&withdraw),
            messages::Body::Decline(decline) => self.decline(&decline),
            messages::Body::Handover(handover) => self.handover(link, correlation, handover),
            messages::Body::Settle(settle) => self.settle(link, correlation, &settle),
            messages::Body::AnswerAck(ack) => self.answer_ack(&ack),
            messages::Body::Resume(resume) => self.resume_answer(link, &resume),
            messages::Body::Cancel(cancel) => self.cancel(&cancel),
            // Other messages belong to the link layer, or come from a peer of a later version.
            _ => {}
        }
    }

    fn on_control(&mut self, correlation: u64, body: messages::Body) {
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
        // Grants can no longer be delivered on this link; the entry repeats its offers on its next
        // one.
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
        let was_down = self.health == EndpointHealth::Down;
        if info != self.info {
            let new_engine = info.cache_tokens != self.info.cache_tokens
                || info.prefill_rate != self.info.prefill_rate
                || info.token_millis != self.info.token_millis
                || info.kind != self.info.kind;
            self.info = info;
            if new_engine {
                self.reset_engine_state();
            }
            self.reports.mark_changed();
        }
        if was_down && self.runs.is_empty() {
            // The engine may have restarted, and a restarted engine has an empty cache.
            self.cache.clear();
        }
        if self.health != EndpointHealth::Up {
            self.health = EndpointHealth::Up;
            self.reports.mark_changed();
        }
    }

    fn reset_engine_state(&mut self) {
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

    fn engine_load(&mut self, running: u32, waiting: u32) {
        self.reported_requests = running.saturating_add(waiting);
        // Requests queued inside the engine are outside the agent's priority order. A few that wait
        // for the current step to end are not a queue.
        if waiting >= MIN_ENGINE_QUEUE && waiting * 4 >= running {
            self.admission.lower_request_limit(running as usize);
        }
    }

    fn endpoint_down(&mut self) {
        if self.health == EndpointHealth::Down {
            return;
        }
        self.health = EndpointHealth::Down;
        self.refuse_waiting(reasons::RefusalReason::EndpointFailed);
        self.reports.mark_changed();
    }

    fn apply_cache_changes(&mut self, changes: &[events::CacheChange]) {
        for change in changes {
            if self
                .cache
                .apply_event(change.number, change.stored, &change.hashes)
            {
                self.counters.count(counters::CounterEvent::CacheEventGaps);
            }
        }
    }

    fn update_policy(&mut self, policy: &events::PolicyUpdate) {
        self.admission_options.first_token_target = policy.first_token_target;
        self.admission_options.token_target = policy.token_target;
        self.admission.set_options(self.admission_options.clone());
        self.limits.grant_ms = u64::try_from(policy.grant.as_millis()).unwrap_or(u64::MAX);
        self.update_drain_causes(|drain_causes| drain_causes.settings = policy.draining);
    }

    fn update_drain_causes(&mut self, change: impl FnOnce(&mut DrainCauses)) {
        let before = self.is_draining();
        change(&mut self.drain_causes);
        let after = self.is_draining();
        if before == after {
            return;
        }
        self.reports.mark_changed();
        if !after {
            return;
        }
        self.refuse_waiting(reasons::RefusalReason::Draining);
        let links: Vec<_> = self.links.keys().copied().collect();
        for link in links {
            self.send(link, 0, messages::Body::Leaving(messages::Leaving {}));
        }
    }

    /// Returns whether new offers are refused.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.drain_causes.leaving || self.drain_causes.order || self.drain_causes.settings
    }

    /// Returns whether all work is finished: no grant is live, nothing runs, every answer has been
    /// acknowledged or has outlived the entry-loss timeout, and every claim completion is durable
    /// or was given up.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let grace = self.limits.entry_loss();
        let is_unfinished = |job: &jobs::Job| match job.stage {
            jobs::JobStage::Ended(ended) => {
                let over = self.now.saturating_duration_since(ended) >= grace;
                job.answer.unacknowledged() > 0 && !over
            }
            _ => true,
        };
        let completed = self.completions.is_settled(self.now);
        self.grants.is_empty() && completed && !self.jobs.all().any(is_unfinished)
    }

    /// Returns the endpoint's description; the default value until it is known.
    #[must_use]
    pub fn info(&self) -> &messages::EndpointInfo {
        &self.info
    }

    /// Returns the admission limit as context tokens and concurrent requests.
    #[must_use]
    pub fn limit(&self) -> (units::TokenCount, usize) {
        (self.admission.token_limit(), self.admission.request_limit())
    }

    /// Returns the number of calls in progress at the endpoint.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns the bytes of answers that are buffered.
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
        self.counters.count_refusal(reason);
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
