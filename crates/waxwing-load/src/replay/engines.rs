//! Simulated engines: they run a number of requests at a time, prefill prompts one after the other,
//! and decode more slowly the more requests they run.

use std::collections::VecDeque;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::{HostNoise, ReplayPlan, entries::StartedRequest};

/// Prompt tokens that the fastest engine prefills in a step.
const PREFILL_TOKENS: f64 = 130.0;

/// Steps that the fastest engine takes for a token of a request that runs alone.
const DECODE_STEPS: f64 = 2.0;

/// By how much decoding slows down when all slots are taken.
const BATCH_SLOWDOWN: f64 = 0.8;

/// Tokens of an event of an answer.
pub(super) const EVENT_TOKENS: u32 = 8;

/// Share of its decode speed that an engine keeps while it reads prompts: a step of a few
/// milliseconds takes some twenty when it holds a chunk of a prompt.
const READING_SHARE: f64 = 0.15;

/// Requests that an engine queues beyond its slots.
const MAX_QUEUE: usize = 36;

/// What happened to a request at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EngineEvent {
    /// The first event of its answer.
    Begun,
    /// The end of its answer.
    Ended,
}

/// A report of an engine on one of its requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineReport {
    pub(super) event: EngineEvent,
    pub(super) request: StartedRequest,
    pub(super) sent: u64,
    pub(super) begun: u64,
    /// Longest time between two events of the answer so far, in steps.
    pub(super) longest_pause: u64,
    /// Pace of the host in percent, if the engine states it.
    pub(super) pace: Option<f64>,
}

/// A request that an engine runs.
#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    request: StartedRequest,
    sent: u64,
    prompt_left: f64,
    answer_left: f64,
    /// The step of its first event.
    begun: Option<u64>,
    /// Tokens since its last event, and the step of that event.
    event_tokens: f64,
    last_event: u64,
    longest_pause: u64,
}

/// One engine.
#[derive(Debug)]
struct SimulatedEngine {
    /// How many times slower than the fastest one it is.
    slowness: f64,
    /// How many times slower its host is at the moment.
    noise: f64,
    running: Vec<RunningRequest>,
    queue: VecDeque<RunningRequest>,
}

/// What all engines have in common.
#[derive(Debug, Clone, Copy)]
struct EngineRules {
    slots: usize,
    /// Whether reading prompts delays the answers beside them.
    has_pauses: bool,
    /// Whether an engine states the pace of its host.
    states_pace: bool,
}

/// All engines.
#[derive(Debug)]
pub(super) struct EngineFleet {
    rules: EngineRules,
    noise: Option<HostNoise>,
    /// Draws the hosts that are slower.
    random: ChaCha8Rng,
    engines: Vec<SimulatedEngine>,
}

/// Slots in use and requests that queue at engines.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineUsage {
    pub(super) slots: usize,
    pub(super) running: usize,
    pub(super) queued: usize,
}

impl EngineFleet {
    pub(super) fn new(plan: &ReplayPlan, random: &mut ChaCha8Rng) -> Self {
        let engines = (0..plan.endpoints).map(|_| SimulatedEngine {
            slowness: plan.speed_ratio.powf(random.random::<f64>()),
            noise: 1.0,
            running: Vec::new(),
            queue: VecDeque::new(),
        });
        Self {
            rules: EngineRules {
                slots: usize::try_from(plan.slots).unwrap_or(usize::MAX),
                has_pauses: plan.max_pause.is_some(),
                states_pace: plan.noise.is_some_and(|noise| noise.is_stated),
            },
            engines: engines.collect(),
            noise: plan.noise,
            random: ChaCha8Rng::seed_from_u64(plan.seed),
        }
    }

    /// Takes a request; returns `false` if the queue of its engine is full.
    pub(super) fn accept(&mut self, step: u64, request: &StartedRequest) -> bool {
        let engine = &mut self.engines[usize::from(request.endpoint)];
        if engine.queue.len() >= MAX_QUEUE {
            return false;
        }
        engine.queue.push_back(RunningRequest {
            request: *request,
            sent: step,
            prompt_left: to_float(request.arrival.prompt),
            answer_left: to_float(request.arrival.answer),
            begun: None,
            event_tokens: 0.0,
            last_event: step,
            longest_pause: 0,
        });
        true
    }

    /// Plays one step.
    pub(super) fn advance(&mut self, step: u64) -> Vec<EngineReport> {
        let mut reports = Vec::new();
        if let Some(noise) = self.noise
            && step.is_multiple_of(super::steps_in(noise.period))
        {
            for engine in &mut self.engines {
                let is_slower = self.random.random::<f64>() < noise.share;
                engine.noise = if is_slower { noise.factor } else { 1.0 };
            }
        }
        for engine in &mut self.engines {
            engine.advance(step, self.rules, &mut reports);
        }
        reports
    }

    pub(super) fn usage(&self) -> EngineUsage {
        EngineUsage {
            slots: self.rules.slots * self.engines.len(),
            running: self.engines.iter().map(|engine| engine.running.len()).sum(),
            queued: self.engines.iter().map(|engine| engine.queue.len()).sum(),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        let usage = self.usage();
        usage.running + usage.queued == 0
    }
}

impl SimulatedEngine {
    fn advance(&mut self, step: u64, rules: EngineRules, reports: &mut Vec<EngineReport>) {
        let slots = rules.slots;
        while self.running.len() < slots {
            let Some(next) = self.queue.pop_front() else {
                break;
            };
            self.running.push(next);
        }
        if self.running.is_empty() {
            return;
        }
        let slowness = self.slowness * self.noise;
        let pace = rules.states_pace.then_some(slowness * 100.0);
        let mut prefill = PREFILL_TOKENS / slowness;
        let load = ratio(self.running.len(), slots);
        let tokens = 1.0 / (DECODE_STEPS * slowness * (1.0 + BATCH_SLOWDOWN * load));
        let is_reading = self.running.iter().any(|running| running.prompt_left > 0.0);
        let tokens = match is_reading && rules.has_pauses {
            true => tokens * READING_SHARE,
            false => tokens,
        };
        for running in &mut self.running {
            if running.prompt_left > 0.0 {
                let part = running.prompt_left.min(prefill);
                running.prompt_left -= part;
                prefill -= part;
                continue;
            }
            if running.begun.is_none() {
                running.begun = Some(step);
                running.last_event = step;
                reports.push(running.report(EngineEvent::Begun, step, pace));
            }
            running.answer_left -= tokens;
            running.event_tokens += tokens;
            if running.event_tokens >= f64::from(EVENT_TOKENS) {
                running.event_tokens = 0.0;
                running.longest_pause = running.longest_pause.max(step - running.last_event);
                running.last_event = step;
            }
        }
        let ended =
            |running: &RunningRequest| running.begun.is_some() && running.answer_left <= 0.0;
        for running in self.running.iter().filter(|running| ended(running)) {
            reports.push(running.report(EngineEvent::Ended, step, pace));
        }
        self.running.retain(|running| !ended(running));
    }
}

impl RunningRequest {
    fn report(&self, event: EngineEvent, step: u64, pace: Option<f64>) -> EngineReport {
        EngineReport {
            event,
            request: self.request,
            sent: self.sent,
            begun: self.begun.unwrap_or(step),
            longest_pause: self.longest_pause,
            pace,
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of slots are small")]
pub(super) fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

#[expect(clippy::cast_precision_loss, reason = "lengths are far below 2^52")]
fn to_float(count: u64) -> f64 {
    count as f64
}
