//! State of one endpoint as known to an entry: what it announced, what runs there, and how fast and
//! reliable it has been.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_fleet::dialects;
use waxwing_wire::messages;

use crate::{limits, models, options, pace, pauses, tickets};

/// The longest time for which an endpoint's refusal is heeded, which keeps times in range.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 60 * 60);

/// Share of the longest allowed pause up to which a prompt alone is taken as harmless: ten of them
/// at once still fit.
const HARMLESS_PAUSE_SHARE: f64 = 0.1;

/// Share of the longest allowed pause that a single prompt may take. A stream lasts for seconds and
/// meets several prompts, some of them at once.
const MAX_PROMPT_SHARE: f64 = 0.33;

/// Share of the longest allowed pause that the prompts known here may take. The rest is for prompts
/// that other entries send meanwhile and for a host that becomes slower.
const MAX_PAUSE_SHARE: f64 = 0.75;

/// Requests in flight at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointUse {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens of the requests that have not produced an event yet.
    pub pending_prefill: u64,
}

impl EndpointUse {
    /// Returns the sum; it saturates, since other entries may tell absurd counts.
    const fn plus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            pending_prefill: self.pending_prefill.saturating_add(other.pending_prefill),
        }
    }
}

/// An endpoint as seen by this entry.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// Unique id of the endpoint.
    pub id: SmolStr,
    /// Service to which the endpoint belongs.
    pub service: SmolStr,
    /// Version of its software; empty if it was not reported.
    pub version: SmolStr,
    /// Address to which requests are sent.
    pub address: SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: SmolStr,
    /// When it started, in Unix milliseconds, if that was reported.
    pub born: Option<u64>,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// Whether its notices say that it accepts new requests.
    pub ready: bool,
    /// Whether it has stated in an answer that it leaves. Notices may be late, so only a new start
    /// takes this back.
    pub leaving: bool,
    /// When it last sent a notice or answered a request.
    pub last_seen: Instant,
    /// Requests of this entry in flight there.
    pub own: EndpointUse,
    /// Requests of each other entry in flight there.
    others: HashMap<SocketAddr, EndpointUse>,
    /// Their sum, which each decision needs for each endpoint.
    others_total: EndpointUse,
    /// Requests, running and queued, that it reported with its last answer.
    pub reported_load: u32,
    /// The limit that it names on the requests of all entries together.
    pub limit: limits::EndpointLimit,
    /// What it has stated of the pace of its host.
    pub pace: pace::PaceEstimate,
    /// Learned speed of its engine.
    pub speed: models::EngineSpeed,
    /// Moving average of the time of a plain call at the usual pace in milliseconds; `None` before
    /// the first one.
    call_millis: Option<f64>,
    /// Concurrent calls that this entry may send; `None` until the endpoint has reported its load.
    call_limit: Option<f64>,
    /// When the call limit was last lowered.
    last_decrease: Option<Instant>,
    /// Until when it wants no requests from this entry.
    paused_until: Option<Instant>,
    /// Until when it is ejected, that is, gets no requests.
    ejected_until: Option<Instant>,
    /// Consecutive failures.
    failures: u32,
    failure_ratio: f64,
}

impl EndpointView {
    /// Builds the state of an endpoint from its first notice.
    #[must_use]
    pub fn new(notice: &messages::EndpointNotice, address: SocketAddr, last_seen: Instant) -> Self {
        Self {
            id: SmolStr::new(&notice.id),
            service: SmolStr::new(&notice.service),
            version: SmolStr::new(&notice.version),
            address,
            data_centre: SmolStr::new(&notice.data_centre),
            born: notice.born,
            slots: notice.slots,
            ready: notice.phase() == messages::EndpointPhase::Ready,
            leaving: false,
            last_seen,
            own: EndpointUse::default(),
            others: HashMap::new(),
            others_total: EndpointUse::default(),
            reported_load: 0,
            limit: limits::EndpointLimit::default(),
            pace: pace::PaceEstimate::default(),
            speed: models::EngineSpeed::default(),
            call_millis: None,
            call_limit: None,
            last_decrease: None,
            paused_until: None,
            ejected_until: None,
            failures: 0,
            failure_ratio: 0.0,
        }
    }

    /// Returns the requests of all entries in flight there.
    #[must_use]
    pub const fn total(&self) -> EndpointUse {
        self.own.plus(self.others_total)
    }

    /// Records the requests of another entry in flight there; `None` if it has none.
    pub fn set_peer_use(&mut self, peer: SocketAddr, used: Option<EndpointUse>) {
        let before = match used {
            Some(used) => self.others.insert(peer, used),
            None => self.others.remove(&peer),
        };
        if before != used {
            let others = self.others.values();
            self.others_total = others.fold(EndpointUse::default(), |sum, other| sum.plus(*other));
        }
    }

    /// Tells whether it accepts new requests, as far as it has said.
    #[must_use]
    pub const fn is_serving(&self) -> bool {
        self.ready && !self.leaving
    }

    /// Tells whether it may get new requests, with or without a free slot.
    #[must_use]
    pub fn is_usable(&self, now: Instant, options: &options::GateOptions) -> bool {
        self.is_serving()
            && now.saturating_duration_since(self.last_seen) < options.liveness_timeout
            && self.ejected_until.is_none_or(|until| now >= until)
            && self.paused_until.is_none_or(|until| now >= until)
    }

    /// Returns the number of requests that it may get now: its free slots, and `queue_depth` more
    /// that queue there so that no slot stays empty between two runs. Requests of other entries
    /// count only with `use_peer_usage`; otherwise the call limit, which follows its reported
    /// queue, applies. A limit that the endpoint names holds beside these.
    #[must_use]
    pub fn available_slots(&self, use_peer_usage: bool, queue_depth: u32) -> u32 {
        let capacity = self.slots.saturating_add(queue_depth);
        let running = f64::from(self.own.running);
        let free = match self.call_limit {
            _ if use_peer_usage => capacity.saturating_sub(self.total().running),
            Some(limit) if running + 1.0 > limit => 0,
            _ => capacity.saturating_sub(self.own.running),
        };
        free.min(self.limit.available())
    }

    /// Returns how many requests run there on average while work waits: all its slots, or what its
    /// limit allows if that is less.
    #[must_use]
    pub fn sustained_slots(&self, run_time: Duration) -> f64 {
        let slots = f64::from(self.slots);
        let limit = self.limit.limit();
        limit.map_or(slots, |limit| slots.min(limit.0 * run_time.as_secs_f64()))
    }

    /// Returns the speed of its engine at the pace that is expected of its host.
    #[must_use]
    pub fn speed_at(&self, now: Instant, model: &models::ServiceModel) -> models::EngineSpeed {
        self.speed.at_pace(self.pace.expected(now, &model.pace))
    }

    /// Returns the expected time to the first event, or to the answer of a plain call, if the
    /// request is sent now.
    #[must_use]
    pub fn expected_first_event(
        &self,
        speed: &models::EngineSpeed,
        size: tickets::WorkSize,
        model: &models::ServiceModel,
        options: &options::GateOptions,
    ) -> Duration {
        let total = self.total();
        let utilization = f64::from(total.running) / f64::from(self.slots.max(1));
        let time = match size {
            tickets::WorkSize::Call => {
                let initial = models::to_millis(options.initial_call_time);
                let millis = self.call_millis.unwrap_or(initial);
                let millis = millis * speed.pace();
                models::from_millis(millis).mul_f64(1.0 + utilization)
            }
            tickets::WorkSize::Generation { prompt, .. } => {
                let backlog = to_float(total.pending_prefill.saturating_add(prompt));
                model.first_event(speed, backlog)
                    + options
                        .contention_penalty
                        .mul_f64(utilization * utilization)
            }
        };
        let distance = match self.data_centre == options.data_centre {
            true => Duration::ZERO,
            false => options.distance_penalty,
        };
        time + distance
    }

    /// Returns the expected time for which a generation that is sent now queues there until one of
    /// the slots becomes free.
    #[must_use]
    pub fn expected_slot_wait(
        &self,
        speed: &models::EngineSpeed,
        size: tickets::WorkSize,
        model: &models::ServiceModel,
    ) -> Duration {
        if size == tickets::WorkSize::Call {
            return Duration::ZERO;
        }
        let running = self.total().running.saturating_add(1);
        let ahead = running.saturating_sub(self.slots);
        let run = model.run_time_at(speed);
        run.mul_f64(f64::from(ahead) / f64::from(self.slots.max(1)))
    }

    /// Tells whether the prompt of a request that is sent now would delay the streams that run
    /// there by more than `limit` allows. Without a stated pace the delay can't be told, and the
    /// endpoint is used as any other.
    #[must_use]
    pub fn delays_streams(
        &self,
        speed: &models::EngineSpeed,
        size: tickets::WorkSize,
        model: &models::ServiceModel,
        limit: pauses::StreamPause,
    ) -> bool {
        let total = self.total();
        if self.pace.newest().is_none() || total.running == 0 {
            return false;
        }
        let own = model.prefill_time(speed, to_float(size.prompt()));
        if own <= limit.longest.mul_f64(HARMLESS_PAUSE_SHARE) {
            return false;
        }
        if own > limit.longest.mul_f64(MAX_PROMPT_SHARE) {
            return true;
        }
        let pending = model.prefill_time(speed, to_float(total.pending_prefill));
        let event = model.generation_time(speed, f64::from(limit.event_tokens));
        own + pending + event > limit.longest.mul_f64(MAX_PAUSE_SHARE)
    }

    /// Records the load that it reported with an answer. A queue longer than a share of its slots
    /// lowers the call limit of this entry; a shorter one raises it again.
    pub fn observe_load(
        &mut self,
        now: Instant,
        load: dialects::LoadFacts,
        options: &options::GateOptions,
    ) {
        self.reported_load = load.running.saturating_add(load.waiting);
        let max_limit = f64::from(self.slots.saturating_add(options.endpoint_queue_depth));
        let limit = self.call_limit.unwrap_or(max_limit);
        let max_queue = f64::from(self.slots) * options.max_queue_share;
        if f64::from(load.waiting) <= max_queue {
            self.call_limit = Some((limit + options.limit_increase / limit).min(max_limit));
            return;
        }
        // Calls in flight were sent under the previous limit, so their load reports don't lower it
        // again.
        let cooldown = models::from_millis(self.call_millis.unwrap_or_default());
        let recently_decreased = |since| now.saturating_duration_since(since) < cooldown;
        if !self.last_decrease.is_some_and(recently_decreased) {
            self.call_limit = Some((limit * options.limit_decrease).max(1.0));
            self.last_decrease = Some(now);
        }
    }

    /// Records a refusal that gives the time after which the endpoint takes requests of this entry
    /// again.
    pub fn pause(&mut self, now: Instant, time: Duration) {
        let until = now + time.min(MAX_PAUSE);
        self.paused_until = Some(self.paused_until.map_or(until, |before| before.max(until)));
    }

    /// Records the duration of a plain call at the expected pace of its host.
    pub fn measure_call(&mut self, elapsed: Duration, pace: f64, options: &options::GateOptions) {
        let millis = models::to_millis(elapsed) / pace;
        self.call_millis = Some(models::smooth(self.call_millis, millis, options.smoothing));
    }

    /// Records a successful answer, which refreshes `last_seen` and ends an ejection.
    pub fn record_success(&mut self, now: Instant, options: &options::GateOptions) {
        self.last_seen = self.last_seen.max(now);
        self.failures = 0;
        self.failure_ratio -= self.failure_ratio * options.smoothing;
        self.ejected_until = None;
    }

    /// Records a failed answer or a broken connection. After several in a row the endpoint is
    /// ejected for a time that doubles with each further one.
    pub fn record_failure(&mut self, now: Instant, options: &options::GateOptions) {
        self.failures = self.failures.saturating_add(1);
        self.failure_ratio += (1.0 - self.failure_ratio) * options.smoothing;
        if let Some(doublings) = self.failures.checked_sub(options.ejection_failures) {
            self.eject(now, doublings, options);
        }
    }

    /// Records a failed attempt to connect, which ejects the endpoint at once.
    pub fn record_connect_failure(&mut self, now: Instant, options: &options::GateOptions) {
        self.failures = self.failures.saturating_add(1);
        self.eject(now, self.failures - 1, options);
    }

    /// Forgets the failures and statements of a former life after the endpoint has started again.
    pub fn restart(&mut self, born: Option<u64>) {
        self.born = born;
        self.failures = 0;
        self.failure_ratio = 0.0;
        self.ejected_until = None;
        self.limit = limits::EndpointLimit::default();
        self.leaving = false;
        self.paused_until = None;
        self.pace = pace::PaceEstimate::default();
    }

    fn eject(&mut self, now: Instant, doublings: u32, options: &options::GateOptions) {
        let backoff = options.ejection_time * 2_u32.saturating_pow(doublings.min(8));
        self.ejected_until = Some(now + backoff.min(options.max_ejection_time));
    }

    /// Returns the moving average of the share of its requests that failed.
    #[must_use]
    pub const fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of tokens are far below 2^52"
)]
pub(crate) fn to_float(count: u64) -> f64 {
    count as f64
}
