//! The measured speed of an endpoint: prefill rate, time between tokens, and the speed factor that
//! reveals a straggler, all from the agent's own observations; see `docs/design.md`, section 5.

use std::time::{Duration, Instant};

use waxwing_core::units;

/// Weight of a new sample in an exponential moving average. A fivefold slowdown roughly halves the
/// average within four samples, while one outlier moves it by only a fifth of its deviation.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Weight of a token sample. Hundreds of tokens arrive per second, and a single long prompt slows
/// all batch steps severalfold for a second or two, so the average covers a few seconds.
const TOKEN_SAMPLE_WEIGHT: f64 = 0.002;

/// Weight of an answer in the average share of the offered output tokens that answers use.
const OUTPUT_SHARE_WEIGHT: f64 = 0.05;

/// Safety factor on that average share. Answers end between half of their limit and the limit.
const OUTPUT_SHARE_MARGIN: f64 = 1.15;

/// Prompt tokens below which overhead dominates a prefill sample.
const MIN_PREFILL_SAMPLE_TOKENS: u64 = 256;

/// Number of batch-size groups, by powers of two; the last group holds 128 and more.
const BATCH_GROUPS: usize = 8;

/// Fraction of the nominal prefill speed that is normal while the engine also generates.
const SHARED_PREFILL_FRACTION: f64 = 0.5;

/// Number of unbatched decode steps for which a prefill is expected to wait.
const PREFILL_WAIT_STEPS: f64 = 4.0;

/// Normal time between tokens with a full batch, as a multiple of the nominal time.
const FULL_BATCH_SLOWDOWN: f64 = 2.0;

/// Factor by which the best known value of a group worsens with each sample, so that one
/// exceptionally fast sample does not mark the endpoint as a straggler for good.
const BEST_DRIFT: f64 = 1.002;

/// Time without progress that is tolerated on top of the expected time between events.
const IDLE_ALLOWANCE: Duration = Duration::from_millis(250);

fn moving_average(average: f64, sample: f64) -> f64 {
    average + SAMPLE_WEIGHT * (sample - average)
}

/// Compares the observed speed of an endpoint with its nominal speed.
#[derive(Debug, Clone)]
pub struct EndpointPace {
    nominal_rate: f64,
    nominal_interval_millis: f64,
    prefill_rate: f64,
    token_interval_millis: f64,
    batch_size: f64,
    output_share: f64,
    prefill_factor: f64,
    token_factor: f64,
    best_interval_millis: [f64; BATCH_GROUPS],
    best_prefill_speeds: [f64; BATCH_GROUPS],
    last_progress: Instant,
}

impl EndpointPace {
    /// Starts at the nominal speed: prefill in tokens per second, and milliseconds between tokens.
    /// Zero stands for an endpoint that does not generate tokens.
    #[must_use]
    pub fn new(nominal_rate: f64, nominal_token_millis: f64, now: Instant) -> Self {
        Self {
            nominal_rate,
            nominal_interval_millis: nominal_token_millis,
            prefill_rate: nominal_rate,
            token_interval_millis: nominal_token_millis,
            batch_size: 1.0,
            output_share: 1.0,
            prefill_factor: 1.0,
            token_factor: 1.0,
            best_interval_millis: [0.0; BATCH_GROUPS],
            best_prefill_speeds: [0.0; BATCH_GROUPS],
            last_progress: now,
        }
    }

    /// Records that the endpoint made progress, or that none was expected before `now`.
    pub fn record_progress(&mut self, now: Instant) {
        self.last_progress = now;
    }

    /// Records a prefill sample: the first token came `elapsed` after the start, `tokens` had to be
    /// computed for it (the request's own and those ahead of it), and `running` requests shared the
    /// engine.
    pub fn record_prefill(&mut self, tokens: units::TokenCount, elapsed: Duration, running: usize) {
        let seconds = elapsed.as_secs_f64();
        if tokens.0 < MIN_PREFILL_SAMPLE_TOKENS || seconds <= 0.0 || self.nominal_rate <= 0.0 {
            return;
        }
        // An unforeseen cache hit makes the engine look faster than it is.
        let observed = (tokens.0 as f64 / seconds).min(self.nominal_rate);
        self.prefill_rate = moving_average(self.prefill_rate, observed);
        // A request waits for the current step, and decode steps take part of the time; neither is
        // a sign of a straggler.
        let steps = PREFILL_WAIT_STEPS * self.nominal_interval_millis / 1_000.0;
        let expected = tokens.0 as f64 / self.nominal_rate + steps;
        let speed = (expected / seconds).min(1.0);
        let best = &mut self.best_prefill_speeds[Self::batch_group(running)];
        *best = speed.max(SHARED_PREFILL_FRACTION).max(*best / BEST_DRIFT);
        self.prefill_factor = moving_average(self.prefill_factor, speed / *best);
    }

    /// Records the time between two tokens while `running` requests shared the engine. Samples
    /// taken during prefill count for the expected time between tokens, which callers do
    /// experience, but not for the straggler factor.
    pub fn record_token(&mut self, interval: Duration, running: usize, prefilling: bool) {
        let millis = interval.as_secs_f64() * 1_000.0;
        if self.nominal_interval_millis <= 0.0 {
            return;
        }
        self.token_interval_millis += TOKEN_SAMPLE_WEIGHT * (millis - self.token_interval_millis);
        self.batch_size += TOKEN_SAMPLE_WEIGHT * (running as f64 - self.batch_size);
        if prefilling || millis <= 0.0 {
            return;
        }
        let upper_bound = self.nominal_interval_millis * FULL_BATCH_SLOWDOWN;
        let clamped = millis.clamp(self.nominal_interval_millis, upper_bound);
        let best = &mut self.best_interval_millis[Self::batch_group(running)];
        *best = match *best {
            0.0 => clamped,
            known => (known * BEST_DRIFT).min(clamped),
        };
        self.token_factor = moving_average(self.token_factor, (*best / millis).min(1.0));
    }

    fn batch_group(running: usize) -> usize {
        (running.max(1).ilog2() as usize).min(BATCH_GROUPS - 1)
    }

    /// Records that an answer ended after `tokens`, where its offer had stated `offered`.
    pub fn record_output(&mut self, tokens: u64, offered: units::TokenCount) {
        if offered.0 > 0 {
            let share = (tokens as f64 / offered.0 as f64).min(1.0);
            self.output_share += OUTPUT_SHARE_WEIGHT * (share - self.output_share);
        }
    }

    /// Returns the expected output tokens of a request whose offer states `offered`: the average
    /// share of them with a safety margin.
    #[must_use]
    pub fn expected_output(&self, offered: units::TokenCount) -> units::TokenCount {
        let share = (self.output_share * OUTPUT_SHARE_MARGIN).min(1.0);
        units::TokenCount((offered.0 as f64 * share).ceil() as u64)
    }

    /// Returns the currently expected prefill rate.
    #[must_use]
    pub fn expected_prefill_rate(&self) -> units::TokenRate {
        units::TokenRate(self.prefill_rate)
    }

    /// Returns the currently expected time between tokens, in milliseconds.
    #[must_use]
    pub fn token_millis(&self) -> f64 {
        self.token_interval_millis
    }

    /// Returns the time to prefill `tokens` at the expected rate.
    #[must_use]
    pub fn prefill_time(&self, tokens: units::TokenCount) -> Duration {
        Self::time_at(tokens, self.prefill_rate)
    }

    /// Returns the time to prefill `tokens` at the nominal rate.
    #[must_use]
    pub fn nominal_prefill_time(&self, tokens: units::TokenCount) -> Duration {
        Self::time_at(tokens, self.nominal_rate)
    }

    fn time_at(tokens: units::TokenCount, rate: f64) -> Duration {
        match rate > 0.0 {
            true => Duration::from_secs_f64((tokens.0 as f64 / rate).min(86_400.0)),
            false => Duration::ZERO,
        }
    }

    /// Returns the time to generate `tokens` at the expected time between tokens.
    #[must_use]
    pub fn generation_time(&self, tokens: units::TokenCount) -> Duration {
        Self::generation_at(tokens, self.token_interval_millis)
    }

    /// Returns the time to generate `tokens` while `running` requests share the engine. The time of
    /// a decode step is taken to grow linearly with the batch size, as it was observed to do.
    #[must_use]
    pub fn batched_generation_time(&self, tokens: units::TokenCount, running: usize) -> Duration {
        let unbatched = self.nominal_interval_millis / self.token_factor;
        let slope = match self.batch_size > 1.5 {
            true => ((self.token_interval_millis - unbatched) / (self.batch_size - 1.0)).max(0.0),
            false => 0.0,
        };
        let change = slope * (running as f64 - self.batch_size);
        Self::generation_at(tokens, (self.token_interval_millis + change).max(unbatched))
    }

    fn generation_at(tokens: units::TokenCount, millis: f64) -> Duration {
        Duration::from_secs_f64((tokens.0 as f64 * millis / 1_000.0).min(86_400.0))
    }

    /// Returns the observed speed as a fraction of the nominal speed, from 0.01 to 1. `due` is the
    /// time within which the next event was expected, or `None` if nothing runs.
    #[must_use]
    pub fn relative_speed(&self, now: Instant, due: Option<Duration>) -> f64 {
        let since_progress = now.saturating_duration_since(self.last_progress);
        let stalled = due.map_or(1.0, |due| {
            let allowed = due + IDLE_ALLOWANCE;
            (allowed.as_secs_f64() / since_progress.as_secs_f64().max(1e-6)).min(1.0)
        });
        let factor = self.prefill_factor.min(self.token_factor).min(stalled);
        factor.clamp(0.01, 1.0)
    }

    /// Returns the time since the last progress.
    #[must_use]
    pub fn since_progress(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_progress)
    }
}
