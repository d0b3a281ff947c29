//! The simulated engine: it runs the steps of the batch in time, streams the output of requests,
//! executes engine orders, and publishes cache events and load reports with the delays and losses
//! of real engines.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, prompts};

use crate::{caches, errors, faults, options, simulation};

/// Maximum number of cache events that are kept for readers. Older ones are dropped, which a reader
/// sees as a gap.
const MAX_KEPT_EVENTS: usize = 65_536;

/// A change of the prefix cache in the answer to `GET /events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that an event was lost.
    pub number: u64,
    /// `stored` or `evicted`.
    pub kind: SmolStr,
    /// Chained hashes of the changed blocks.
    pub hashes: Vec<u64>,
}

/// The answer to `GET /events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// Number of the last event, to be passed as `after` in the next request.
    pub next: u64,
    /// The events after the requested number, in order.
    pub events: Vec<CacheEvent>,
}

/// The answer to `GET /load`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests in the batch.
    pub running: u64,
    /// Number of requests that wait for admission.
    pub waiting: u64,
    /// Prompt tokens of all requests that are still to be computed.
    pub pending_prefill_tokens: u64,
    /// Number of tokens in the prefix cache.
    pub cached_tokens: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// The body of `POST /orders`, a command to the engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the placement controller that issued the order.
    pub fencing: u64,
    /// Id of the order, by which a resend is recognised.
    pub order: u64,
    /// `load-model`, `unload-model`, `load-adapter` or `change-role`.
    pub kind: SmolStr,
    /// Name of the model, adapter or role.
    pub target: SmolStr,
    /// Version of the model or adapter.
    #[serde(default)]
    pub version: SmolStr,
}

/// Result of an engine order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The order was executed, now or when it was first received.
    Done,
    /// The order was refused, since its fencing number is below the highest one seen.
    Fenced {
        /// The highest fencing number seen.
        highest: u64,
    },
    /// The kind of order is unknown.
    Unknown,
}

#[derive(Debug)]
struct EngineState {
    batch: simulation::BatchSimulation,
    streams: HashMap<simulation::SequenceKey, mpsc::UnboundedSender<simulation::StepProgress>>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
    random: ChaCha8Rng,
    report: Option<(Instant, LoadReport)>,
    models: BTreeSet<SmolStr>,
    adapters: BTreeSet<SmolStr>,
    engine_role: SmolStr,
    highest_fencing: u64,
    done_orders: BTreeSet<u64>,
}

/// A simulated engine; clones share its state.
#[derive(Debug, Clone)]
pub struct StandinEngine<C> {
    options: Arc<options::EngineOptions>,
    state: Arc<Mutex<EngineState>>,
    wake: Arc<Notify>,
    faults: faults::FaultSwitch,
    clock: C,
    time_scale: f64,
}

/// Receives the output of one request. Dropping it cancels the request.
#[derive(Debug)]
pub struct SequenceStream<C: Clock> {
    engine: StandinEngine<C>,
    key: simulation::SequenceKey,
    /// Progress of the request, in order.
    pub progress: mpsc::UnboundedReceiver<simulation::StepProgress>,
}

impl<C: Clock> Drop for SequenceStream<C> {
    fn drop(&mut self) {
        self.engine.cancel(self.key);
    }
}

impl<C: Clock> StandinEngine<C> {
    /// Creates an idle engine that is `time_scale` times as fast as `options` say.
    #[must_use]
    pub fn new(
        options: options::EngineOptions,
        time_scale: f64,
        faults: faults::FaultSwitch,
        clock: C,
    ) -> Self {
        let models = options.models.iter();
        let state = EngineState {
            batch: simulation::BatchSimulation::new(options.clone()),
            streams: HashMap::new(),
            events: VecDeque::new(),
            next_event: 1,
            random: ChaCha8Rng::seed_from_u64(options.seed),
            report: None,
            models: models.map(|model| SmolStr::new(model.as_str())).collect(),
            adapters: BTreeSet::new(),
            engine_role: SmolStr::default(),
            highest_fencing: 0,
            done_orders: BTreeSet::new(),
        };
        Self {
            options: Arc::new(options),
            state: Arc::new(Mutex::new(state)),
            wake: Arc::new(Notify::new()),
            faults,
            clock,
            time_scale,
        }
    }

    /// Returns the options of the engine.
    #[must_use]
    pub fn options(&self) -> &options::EngineOptions {
        &self.options
    }

    /// Returns the factor by which the engine is faster than its options say.
    #[must_use]
    pub fn time_scale(&self) -> f64 {
        self.time_scale
    }

    /// Returns the switch for faults of the engine.
    #[must_use]
    pub fn faults(&self) -> &faults::FaultSwitch {
        &self.faults
    }

    /// Returns the models that are loaded.
    #[must_use]
    pub fn models(&self) -> BTreeSet<SmolStr> {
        self.lock().models.clone()
    }

    /// Returns the counts of the engine's work.
    #[must_use]
    pub fn counts(&self) -> simulation::EngineCounts {
        self.lock().batch.counts()
    }

    /// Returns the number of submissions by request id.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<SmolStr, simulation::RunCount> {
        self.lock().batch.runs().clone()
    }

    /// Submits a request for a model.
    ///
    /// # Errors
    /// Fails if the model is not loaded or the request needs more cache memory than the engine has.
    pub fn submit(
        &self,
        model: &str,
        spec: simulation::SequenceSpec,
    ) -> Result<SequenceStream<C>, errors::ChatError> {
        let (sender, progress) = mpsc::unbounded_channel();
        let mut state = self.lock();
        if !state.models.contains(model) {
            return Err(errors::ChatError::UnknownModel(SmolStr::new(model)));
        }
        // One block of slack covers the rounding of prompt and output to whole blocks.
        let slack = prompts::BLOCK_TOKENS as u64;
        let needed = prompts::estimate_tokens(&spec.prompt).0 + spec.output_tokens + slack;
        let allowed = state.batch.cache().capacity() * prompts::BLOCK_TOKENS as u64;
        if needed > allowed {
            return Err(errors::ChatError::TooLong { needed, allowed });
        }
        let key = state.batch.submit(spec);
        state.streams.insert(key, sender);
        drop(state);
        self.wake.notify_one();
        Ok(SequenceStream {
            engine: self.clone(),
            key,
            progress,
        })
    }

    /// Cancels all requests with the id; returns false if there is none.
    #[must_use]
    pub fn cancel_id(&self, id: &str) -> bool {
        let keys = self.lock().batch.keys_of(id);
        keys.iter().for_each(|key| self.cancel(*key));
        !keys.is_empty()
    }

    /// Returns the last load report, or a new one if that is older than `load_lag_ms`. Readers thus
    /// see outdated load, as with real engines.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let now = self.clock.now();
        let lag = self.scaled(Duration::from_millis(self.options.load_lag_ms));
        let mut state = self.lock();
        let last_report = state.report.take();
        let (since, mut report) = last_report
            .filter(|(since, _)| now.saturating_duration_since(*since) < lag)
            .unwrap_or_else(|| (now, state.current_load()));
        state.report = Some((since, report.clone()));
        let age = now.saturating_duration_since(since).as_millis();
        report.age_ms = u64::try_from(age).unwrap_or(u64::MAX);
        report
    }

    /// Returns the cache events after the number `after`, except those younger than
    /// `event_delay_ms`.
    #[must_use]
    pub fn events(&self, after: u64) -> CacheEventPage {
        let delay = self.scaled(Duration::from_millis(self.options.event_delay_ms));
        let now = self.clock.now();
        let state = self.lock();
        let visible = |(since, _): &&(Instant, CacheEvent)| *since + delay <= now;
        let events = state.events.iter().take_while(visible);
        let events = events.filter(|(_, event)| event.number > after);
        let events: Vec<_> = events.map(|(_, event)| event.clone()).collect();
        let next = events.last().map_or(after, |event| event.number);
        CacheEventPage { next, events }
    }

    /// Executes an engine order, after checking its fencing number if the options say so.
    #[must_use]
    pub fn order(&self, order: &EngineOrder) -> OrderResult {
        let mut state = self.lock();
        let highest = state.highest_fencing;
        if self.options.checks_fencing && order.fencing < highest {
            return OrderResult::Fenced { highest };
        }
        state.highest_fencing = highest.max(order.fencing);
        if state.done_orders.contains(&order.order) {
            return OrderResult::Done;
        }
        let target = order.target.clone();
        match order.kind.as_str() {
            "load-model" => _ = state.models.insert(target),
            "unload-model" => _ = state.models.remove(&target),
            "load-adapter" => _ = state.adapters.insert(target),
            "change-role" => state.engine_role = target,
            _ => return OrderResult::Unknown,
        }
        state.done_orders.insert(order.order);
        OrderResult::Done
    }

    /// Returns the hashes of the cached prefix of a request's prompt, or of `hashes` if there is no
    /// such request.
    #[must_use]
    pub fn export(&self, id: Option<&str>, hashes: &[u64]) -> Vec<u64> {
        let mut state = self.lock();
        let wanted = id.and_then(|id| state.batch.hashes(id));
        let mut wanted = wanted.unwrap_or_else(|| hashes.to_vec());
        let matching = state.batch.cache().matching_prefix(&wanted);
        wanted.truncate(matching);
        wanted
    }

    /// Caches exported blocks as far as memory allows. Returns the number of leading `hashes` that
    /// are cached.
    #[must_use]
    pub fn import(&self, hashes: &[u64]) -> usize {
        let now = self.clock.now();
        let mut state = self.lock();
        let known = state.batch.cache().matching_prefix(hashes);
        let added = hashes[known..].iter();
        let added = added
            .take_while(|hash| state.batch.cache().import(**hash))
            .count();
        state.record_changes(&self.options, now);
        known + added
    }

    /// Runs the batch until `shutdown` or until a fault kills the engine.
    pub async fn run(&self, shutdown: CancellationToken) {
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = self.faults.kill_token().cancelled() => {}
            () = self.run_steps() => {}
        }
        let mut state = self.lock();
        state.batch.abort_all();
        state.streams.clear();
    }

    async fn run_steps(&self) {
        let mut due = self.clock.now();
        loop {
            self.faults.wait_unstalled().await;
            let length = self.lock().batch.begin_step();
            let Some(length) = length else {
                self.wake.notified().await;
                due = self.clock.now();
                continue;
            };
            // A step starts when the one before it was due, so that late wake-ups of the timer do
            // not slow the engine down.
            due += self.scaled(length.mul_f64(self.faults.slow_factor()));
            let now = self.clock.now();
            if let Some(wait) = due.checked_duration_since(now) {
                self.clock.sleep(wait).await;
            } else {
                // Limits how much lost time is made up on a machine too slow for the engine.
                due = due.max(now - Duration::from_millis(50));
            }
            // A manual clock does not wait, so this lets the other tasks of the thread run.
            tokio::task::yield_now().await;
            self.finish_step();
        }
    }

    fn finish_step(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        for (key, progress) in state.batch.end_step() {
            let done = matches!(progress, simulation::StepProgress::Done(_));
            if let Some(stream) = state.streams.get(&key) {
                // Sending fails if the receiver was dropped, which cancels the request.
                let _ = stream.send(progress);
            }
            if done {
                state.streams.remove(&key);
            }
        }
        state.record_changes(&self.options, now);
    }

    fn cancel(&self, key: simulation::SequenceKey) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.streams.remove(&key);
        state.batch.cancel(key);
        state.record_changes(&self.options, now);
    }

    fn scaled(&self, length: Duration) -> Duration {
        length.div_f64(self.time_scale)
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EngineState {
    fn current_load(&mut self) -> LoadReport {
        LoadReport {
            running: self.batch.running() as u64,
            waiting: self.batch.waiting() as u64,
            pending_prefill_tokens: self.batch.pending_prefill(),
            cached_tokens: self.batch.cache().cached() * prompts::BLOCK_TOKENS as u64,
            age_ms: 0,
        }
    }

    fn record_changes(&mut self, options: &options::EngineOptions, now: Instant) {
        let changes = self.batch.cache().drain_changes();
        for group in changes.chunk_by(|one, other| event_kind(one) == event_kind(other)) {
            let number = self.next_event;
            self.next_event += 1;
            if self.random.random::<f64>() < options.event_loss {
                continue;
            }
            let event = CacheEvent {
                number,
                kind: SmolStr::new_static(event_kind(&group[0])),
                hashes: group.iter().map(event_hash).collect(),
            };
            self.events.push_back((now, event));
        }
        while self.events.len() > MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}

fn event_kind(change: &caches::CacheChange) -> &'static str {
    match change {
        caches::CacheChange::Stored(_) => "stored",
        caches::CacheChange::Evicted(_) => "evicted",
    }
}

fn event_hash(change: &caches::CacheChange) -> u64 {
    match change {
        caches::CacheChange::Stored(hash) | caches::CacheChange::Evicted(hash) => *hash,
    }
}
