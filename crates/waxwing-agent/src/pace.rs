//! The measured pace of an endpoint: prefill rate, time between tokens, and the straggler factor,
//! all from what the agent itself observes; see `docs/design.md`, section 5.

use std::time::{Duration, Instant};

use waxwing_core::units;

/// The weight of a new sample in a moving average. A slowdown by five shows as half after three
/// samples, and one odd sample moves the average by a fifth.
const SAMPLE_WEIGHT: f64 = 0.2;

/// The weight of a token sample. Tokens come in hundreds a second, and the prefill of one dossier
/// lengthens all steps of a second or two by several times, so the average covers a few seconds.
const TOKEN_WEIGHT: f64 = 0.002;

/// The weight of an answer in the usual share of the offered output that is used.
const OUTPUT_WEIGHT: f64 = 0.05;

/// The margin on the usual share. Answers end between half of the limit and the limit.
const OUTPUT_MARGIN: f64 = 1.15;

/// Prompt tokens below which a prefill sample says more about overhead than about speed.
const MIN_PREFILL_SAMPLE: u64 = 256;

/// Batch sizes are grouped by powers of two; the last group holds 128 and more.
const BATCH_GROUPS: usize = 8;

/// The share of the nominal prefill speed that is normal for an engine that generates meanwhile.
const SHARED_SPEED: f64 = 0.5;

/// The steps of a lone generation for which a prefill is expected to wait.
const WAITED_STEPS: f64 = 4.0;

/// The time between tokens, in lone ones, that is normal for an engine with a full batch.
const SHARED_TOKEN: f64 = 2.0;

/// The factor by which the best known token time of a group rises with each sample, so that one
/// lucky sample does not mark the endpoint as a straggler for good.
const BEST_DRIFT: f64 = 1.002;

/// The time without progress that is normal on top of the expected time between events.
const QUIET_ALLOWANCE: Duration = Duration::from_millis(250);

fn blend(average: f64, sample: f64) -> f64 {
    average + SAMPLE_WEIGHT * (sample - average)
}

/// An `EndpointPace` compares the observed progress of an endpoint with its nominal speed.
#[derive(Debug, Clone)]
pub struct EndpointPace {
    nominal_rate: f64,
    nominal_token: f64,
    rate: f64,
    token: f64,
    batch: f64,
    output_share: f64,
    prefill_factor: f64,
    token_factor: f64,
    best: [f64; BATCH_GROUPS],
    best_speeds: [f64; BATCH_GROUPS],
    last_progress: Instant,
}

impl EndpointPace {
    /// Starts at the nominal speed; zero stands for an endpoint without tokens.
    #[must_use]
    pub fn new(nominal_rate: f64, nominal_token_millis: f64, now: Instant) -> Self {
        Self {
            nominal_rate,
            nominal_token: nominal_token_millis,
            rate: nominal_rate,
            token: nominal_token_millis,
            batch: 1.0,
            output_share: 1.0,
            prefill_factor: 1.0,
            token_factor: 1.0,
            best: [0.0; BATCH_GROUPS],
            best_speeds: [0.0; BATCH_GROUPS],
            last_progress: now,
        }
    }

    /// Notes that the endpoint did something, or that nothing was due before now.
    pub fn progress(&mut self, now: Instant) {
        self.last_progress = now;
    }

    /// Takes a sample: `tokens` of prefill, the request's own and those ahead of it, took
    /// `elapsed` until the first token, while `running` requests shared the engine.
    pub fn prefill(&mut self, tokens: units::TokenCount, elapsed: Duration, running: usize) {
        let seconds = elapsed.as_secs_f64();
        if tokens.0 < MIN_PREFILL_SAMPLE || seconds <= 0.0 || self.nominal_rate <= 0.0 {
            return;
        }
        // A cache hit that was not foreseen looks faster than the engine is.
        let observed = (tokens.0 as f64 / seconds).min(self.nominal_rate);
        self.rate = blend(self.rate, observed);
        // A request waits for the step in progress, and steps that generate tokens take a part of
        // the time; neither is a sign of a straggler.
        let steps = WAITED_STEPS * self.nominal_token / 1_000.0;
        let expected = tokens.0 as f64 / self.nominal_rate + steps;
        let speed = (expected / seconds).min(1.0);
        let best = &mut self.best_speeds[Self::group(running)];
        *best = speed.max(SHARED_SPEED).max(*best / BEST_DRIFT);
        self.prefill_factor = blend(self.prefill_factor, speed / *best);
    }

    /// Takes a sample of the time between two tokens while `running` requests shared the engine.
    /// Samples during prefill count for the expected pace, which callers live with, but say
    /// nothing about a straggler.
    pub fn token(&mut self, interval: Duration, running: usize, prefilling: bool) {
        let millis = interval.as_secs_f64() * 1_000.0;
        if self.nominal_token <= 0.0 {
            return;
        }
        self.token += TOKEN_WEIGHT * (millis - self.token);
        self.batch += TOKEN_WEIGHT * (running as f64 - self.batch);
        if prefilling || millis <= 0.0 {
            return;
        }
        let slowest = self.nominal_token * SHARED_TOKEN;
        let usual = millis.clamp(self.nominal_token, slowest);
        let best = &mut self.best[Self::group(running)];
        *best = match *best {
            0.0 => usual,
            known => (known * BEST_DRIFT).min(usual),
        };
        self.token_factor = blend(self.token_factor, (*best / millis).min(1.0));
    }

    fn group(running: usize) -> usize {
        (running.max(1).ilog2() as usize).min(BATCH_GROUPS - 1)
    }

    /// Takes a sample: an answer ended after `tokens`, and `offered` had been expected.
    pub fn output(&mut self, tokens: u64, offered: units::TokenCount) {
        if offered.0 > 0 {
            let share = (tokens as f64 / offered.0 as f64).min(1.0);
            self.output_share += OUTPUT_WEIGHT * (share - self.output_share);
        }
    }

    /// Returns the output tokens that a request is expected to need of those that were offered:
    /// the usual share and a margin.
    #[must_use]
    pub fn expected_output(&self, offered: units::TokenCount) -> units::TokenCount {
        let share = (self.output_share * OUTPUT_MARGIN).min(1.0);
        units::TokenCount((offered.0 as f64 * share).ceil() as u64)
    }

    /// Returns the prefill rate that is expected now.
    #[must_use]
    pub fn rate(&self) -> units::TokenRate {
        units::TokenRate(self.rate)
    }

    /// Returns the time between tokens in milliseconds that is expected now.
    #[must_use]
    pub fn token_millis(&self) -> f64 {
        self.token
    }

    /// Returns the time that the prefill of `tokens` takes at the expected rate.
    #[must_use]
    pub fn prefill_time(&self, tokens: units::TokenCount) -> Duration {
        Self::time(tokens, self.rate)
    }

    /// Returns the time that the prefill of `tokens` takes at the nominal rate.
    #[must_use]
    pub fn nominal_prefill(&self, tokens: units::TokenCount) -> Duration {
        Self::time(tokens, self.nominal_rate)
    }

    fn time(tokens: units::TokenCount, rate: f64) -> Duration {
        match rate > 0.0 {
            true => Duration::from_secs_f64((tokens.0 as f64 / rate).min(86_400.0)),
            false => Duration::ZERO,
        }
    }

    /// Returns the time that generating `tokens` takes at the expected pace.
    #[must_use]
    pub fn generation_time(&self, tokens: units::TokenCount) -> Duration {
        Self::generation(tokens, self.token)
    }

    /// Returns the time that generating `tokens` takes while `running` requests share the engine.
    /// The time of a step grows in a straight line with the batch, as far as was observed.
    #[must_use]
    pub fn generation_time_of(&self, tokens: units::TokenCount, running: usize) -> Duration {
        let lone = self.nominal_token / self.token_factor;
        let slope = match self.batch > 1.5 {
            true => ((self.token - lone) / (self.batch - 1.0)).max(0.0),
            false => 0.0,
        };
        let change = slope * (running as f64 - self.batch);
        Self::generation(tokens, (self.token + change).max(lone))
    }

    fn generation(tokens: units::TokenCount, millis: f64) -> Duration {
        Duration::from_secs_f64((tokens.0 as f64 * millis / 1_000.0).min(86_400.0))
    }

    /// Returns observed progress over nominal progress, at most one. `due` is the time after which
    /// the next event was expected, or `None` if nothing runs.
    #[must_use]
    pub fn factor(&self, now: Instant, due: Option<Duration>) -> f64 {
        let quiet = now.saturating_duration_since(self.last_progress);
        let stalled = due.map_or(1.0, |due| {
            let allowed = due + QUIET_ALLOWANCE;
            (allowed.as_secs_f64() / quiet.as_secs_f64().max(1e-6)).min(1.0)
        });
        let factor = self.prefill_factor.min(self.token_factor).min(stalled);
        factor.clamp(0.01, 1.0)
    }

    /// Returns how long nothing has happened.
    #[must_use]
    pub fn quiet(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_progress)
    }
}
