//! Simulated engines: they run a number of requests at a time, prefill prompts one after the other,
//! and decode more slowly the more requests they run.

use std::collections::VecDeque;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use super::{ReplayPlan, entries::StartedRequest};

/// Prompt tokens that the fastest engine prefills in a step.
const PREFILL_TOKENS: f64 = 130.0;

/// Steps that the fastest engine takes for a token of a request that runs alone.
const DECODE_STEPS: f64 = 2.0;

/// By how much decoding slows down when all slots are taken.
const BATCH_SLOWDOWN: f64 = 0.8;

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
}

/// One engine.
#[derive(Debug)]
struct SimulatedEngine {
    /// How many times slower than the fastest one it is.
    slowness: f64,
    running: Vec<RunningRequest>,
    queue: VecDeque<RunningRequest>,
}

/// All engines.
#[derive(Debug)]
pub(super) struct EngineFleet {
    slots: usize,
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
            running: Vec::new(),
            queue: VecDeque::new(),
        });
        Self {
            slots: usize::try_from(plan.slots).unwrap_or(usize::MAX),
            engines: engines.collect(),
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
        });
        true
    }

    /// Plays one step.
    pub(super) fn advance(&mut self, step: u64) -> Vec<EngineReport> {
        let mut reports = Vec::new();
        for engine in &mut self.engines {
            engine.advance(step, self.slots, &mut reports);
        }
        reports
    }

    pub(super) fn usage(&self) -> EngineUsage {
        EngineUsage {
            slots: self.slots * self.engines.len(),
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
    fn advance(&mut self, step: u64, slots: usize, reports: &mut Vec<EngineReport>) {
        while self.running.len() < slots {
            let Some(next) = self.queue.pop_front() else {
                break;
            };
            self.running.push(next);
        }
        if self.running.is_empty() {
            return;
        }
        let mut prefill = PREFILL_TOKENS / self.slowness;
        let load = ratio(self.running.len(), slots);
        let tokens = 1.0 / (DECODE_STEPS * self.slowness * (1.0 + BATCH_SLOWDOWN * load));
        for running in &mut self.running {
            if running.prompt_left > 0.0 {
                let part = running.prompt_left.min(prefill);
                running.prompt_left -= part;
                prefill -= part;
                continue;
            }
            if running.begun.is_none() {
                running.begun = Some(step);
                reports.push(running.report(EngineEvent::Begun, step));
            }
            running.answer_left -= tokens;
        }
        let ended =
            |running: &RunningRequest| running.begun.is_some() && running.answer_left <= 0.0;
        for running in self.running.iter().filter(|running| ended(running)) {
            reports.push(running.report(EngineEvent::Ended, step));
        }
        self.running.retain(|running| !ended(running));
    }
}

impl RunningRequest {
    fn report(&self, event: EngineEvent, step: u64) -> EngineReport {
        EngineReport {
            event,
            request: self.request,
            sent: self.sent,
            begun: self.begun.unwrap_or(step),
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
