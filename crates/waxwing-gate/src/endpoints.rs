//! What an entry knows of one endpoint: what it said, what runs there, and how fast it was.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_fleet::dialects;
use waxwing_wire::messages;

use crate::{models, options, tickets};

/// An `EndpointUse` is what is under way at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointUse {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens of those that have not produced anything yet.
    pub pending_prefill: u64,
}

/// An `EndpointView` is one endpoint as this entry sees it.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// The id.
    pub id: SmolStr,
    /// The service.
    pub service: SmolStr,
    /// The address.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: SmolStr,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub ready: bool,
    /// When it last told that it is there, or answered.
    pub heard: Instant,
    /// What this entry has under way there.
    pub own: EndpointUse,
    /// What each other entry has under way there.
    pub others: HashMap<SocketAddr, EndpointUse>,
    /// The requests that it told to hold in its last answer.
    pub reported: u32,
    /// Its speed as an engine.
    pub speed: models::EngineSpeed,
    /// Milliseconds that a plain call takes, once measured.
    call_millis: Option<f64>,
    /// Calls that this entry sends there at once, once its load was told.
    call_limit: Option<f64>,
    /// When that was last lowered.
    limit_cut: Option<Instant>,
    /// Until when it is left alone.
    suspected_until: Option<Instant>,
    failures: u32,
    failure_ratio: f64,
}

impl EndpointView {
    /// Builds the view of an endpoint that has just been heard of.
    #[must_use]
    pub fn new(notice: &messages::EndpointNotice, address: SocketAddr, heard: Instant) -> Self {
        Self {
            id: SmolStr::new(&notice.id),
            service: SmolStr::new(&notice.service),
            address,
            data_centre: SmolStr::new(&notice.data_centre),
            slots: notice.slots,
            ready: notice.phase() == messages::EndpointPhase::Ready,
            heard,
            own: EndpointUse::default(),
            others: HashMap::new(),
            reported: 0,
            speed: models::EngineSpeed::default(),
            call_millis: None,
            call_limit: None,
            limit_cut: None,
            suspected_until: None,
            failures: 0,
            failure_ratio: 0.0,
        }
    }

    /// Returns what all entries have under way.
    #[must_use]
    pub fn total(&self) -> EndpointUse {
        self.others
            .values()
            .fold(self.own, |sum, other| EndpointUse {
                running: sum.running + other.running,
                pending_prefill: sum.pending_prefill + other.pending_prefill,
            })
    }

    /// Tells whether it may get new work at all.
    #[must_use]
    pub fn is_usable(&self, now: Instant, options: &options::GateOptions) -> bool {
        self.ready
            && now.saturating_duration_since(self.heard) < options.silence_limit
            && self.suspected_until.is_none_or(|until| now >= until)
    }

    /// Returns the requests that it may get now: its free slots, and `door` requests that wait there
    /// so that no slot stays empty between two runs. What other entries run counts only where
    /// `books` can be relied on; elsewhere the queue that it tells limits this entry.
    #[must_use]
    pub fn free_places(&self, books: bool, door: u32) -> u32 {
        let places = self.slots.saturating_add(door);
        if books {
            return places.saturating_sub(self.total().running);
        }
        let running = f64::from(self.own.running);
        match self.call_limit {
            Some(limit) if running + 1.0 > limit => 0,
            _ => places.saturating_sub(self.own.running),
        }
    }

    /// Returns the time to the first event, or to the answer of a plain call, that is expected if
    /// the request is sent now.
    #[must_use]
    pub fn expected(
        &self,
        size: tickets::WorkSize,
        model: &models::ServiceModel,
        options: &options::GateOptions,
    ) -> Duration {
        let total = self.total();
        let crowding = f64::from(total.running) / f64::from(self.slots.max(1));
        let time = match size {
            tickets::WorkSize::Call => {
                let initial = models::to_millis(options.initial_call_time);
                let millis = self.call_millis.unwrap_or(initial);
                models::from_millis(millis).mul_f64(1.0 + crowding)
            }
            tickets::WorkSize::Generation { prompt, .. } => {
                let backlog = to_float(total.pending_prefill + prompt);
                model.first_event(&self.speed, backlog)
                    + options.crowding_penalty.mul_f64(crowding * crowding)
            }
        };
        let distance = match self.data_centre == options.data_centre {
            true => Duration::ZERO,
            false => options.distance_penalty,
        };
        time + distance
    }

    /// Returns the time that is expected from the first event to the end of the answer.
    #[must_use]
    pub fn expected_rest(&self, size: tickets::WorkSize, model: &models::ServiceModel) -> Duration {
        model.generation(&self.speed, to_float(size.answer()))
    }

    /// Takes the load that it tells in an answer. A queue there that is longer than a part of its
    /// slots lowers the calls that this entry sends at once; a shorter one raises them again.
    pub fn observe_load(
        &mut self,
        now: Instant,
        load: dialects::LoadFacts,
        options: &options::GateOptions,
    ) {
        self.reported = load.running.saturating_add(load.waiting);
        let most = f64::from(self.slots.saturating_add(options.waiting_at_door));
        let limit = self.call_limit.unwrap_or(most);
        let longest = f64::from(self.slots) * options.queue_share;
        if f64::from(load.waiting) <= longest {
            self.call_limit = Some((limit + options.limit_step / limit).min(most));
            return;
        }
        // The calls that are under way were sent under the former limit.
        let pause = models::from_millis(self.call_millis.unwrap_or_default());
        let just_cut = |since| now.saturating_duration_since(since) < pause;
        if !self.limit_cut.is_some_and(just_cut) {
            self.call_limit = Some((limit * options.limit_cut).max(1.0));
            self.limit_cut = Some(now);
        }
    }

    /// Takes the time of a plain call.
    pub fn measure_call(&mut self, took: Duration, options: &options::GateOptions) {
        let millis = models::to_millis(took);
        self.call_millis = Some(models::smooth(self.call_millis, millis, options.smoothing));
    }

    /// Takes a sign of life from an answer.
    pub fn succeed(&mut self, now: Instant, options: &options::GateOptions) {
        self.heard = self.heard.max(now);
        self.failures = 0;
        self.failure_ratio -= self.failure_ratio * options.smoothing;
        self.suspected_until = None;
    }

    /// Takes a failed answer, or a connection that broke. After some in a row the endpoint is left
    /// alone for a while that doubles with each further one.
    pub fn fail(&mut self, now: Instant, options: &options::GateOptions) {
        self.failures = self.failures.saturating_add(1);
        self.failure_ratio += (1.0 - self.failure_ratio) * options.smoothing;
        if let Some(extra) = self.failures.checked_sub(options.suspicious_failures) {
            self.suspect(now, extra, options);
        }
    }

    /// Takes a connection that could not be made: the endpoint is left alone at once.
    pub fn fail_connection(&mut self, now: Instant, options: &options::GateOptions) {
        self.failures = self.failures.saturating_add(1);
        self.suspect(now, self.failures - 1, options);
    }

    fn suspect(&mut self, now: Instant, extra: u32, options: &options::GateOptions) {
        let doubled = options.suspicion * 2_u32.saturating_pow(extra.min(8));
        self.suspected_until = Some(now + doubled.min(options.max_suspicion));
    }

    /// Returns the part of its requests that it failed lately.
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
