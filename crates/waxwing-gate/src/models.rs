//! Latency model of the engines of a service, learned from measurements: the time to the first
//! event by prompt length, the speed of each engine relative to the others, and the run time.

use std::time::Duration;

use crate::{endpoints::to_float, pace, tickets};

/// Initial estimate of the time to the first event of a short prompt in milliseconds; a few
/// decode steps of a large model.
const INITIAL_FIRST_EVENT_MILLIS: f64 = 60.0;

/// Initial estimate of the prefill time per prompt token in milliseconds; 100 tokens per
/// millisecond.
const INITIAL_PROMPT_TOKEN_MILLIS: f64 = 0.01;

/// Initial estimate of the decode time per answer token in milliseconds.
const INITIAL_ANSWER_TOKEN_MILLIS: f64 = 4.0;

/// Initial estimate of a run time in milliseconds; a generation of medium length.
const INITIAL_RUN_MILLIS: f64 = 1_000.0;

/// Factor by which the weight of each sample decays with every new one, so that the last few
/// hundred samples dominate.
const SAMPLE_DECAY: f64 = 0.995;

/// Weight of the initial estimates against samples, each of which has weight 1.
const INITIAL_WEIGHT: f64 = 10.0;

/// Prompt length in tokens of the second point of the initial line; the first one is at zero.
const INITIAL_PROMPT_TOKENS: f64 = 4_000.0;

/// Smallest and largest factor of one sample, relative to the expected time of its service.
const SPEED_FACTOR_RANGE: (f64, f64) = (0.1, 20.0);

/// Weight of the newest sample in the mean run time.
const RUN_WEIGHT: f64 = 0.02;

/// Weighted least-squares fit of a line.
#[derive(Debug, Clone, Copy)]
struct LinearFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LinearFit {
    fn with_prior(intercept: f64, slope: f64) -> Self {
        let mut line = Self {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        for x in [0.0, INITIAL_PROMPT_TOKENS] {
            line.add(x, slope.mul_add(x, intercept), INITIAL_WEIGHT / 2.0);
        }
        line
    }

    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    fn decay(&mut self) {
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= SAMPLE_DECAY;
        }
    }

    /// Returns the intercept and the slope, neither of them negative.
    fn coefficients(&self) -> (f64, f64) {
        let mean_x = self.x / self.weight;
        let mean_y = self.y / self.weight;
        let variance = self.xx / self.weight - mean_x * mean_x;
        let covariance = self.xy / self.weight - mean_x * mean_y;
        let slope = if variance > 1.0 {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        ((mean_y - slope * mean_x).max(0.0), slope)
    }
}

/// Latency model common to the engines of a service.
#[derive(Debug, Clone)]
pub struct ServiceModel {
    first_event: LinearFit,
    token_millis: Option<f64>,
    run_millis: Option<f64>,
    /// How the pace of the hosts behaves, where endpoints state it.
    pub pace: pace::PaceModel,
}

impl Default for ServiceModel {
    fn default() -> Self {
        Self {
            first_event: LinearFit::with_prior(
                INITIAL_FIRST_EVENT_MILLIS,
                INITIAL_PROMPT_TOKEN_MILLIS,
            ),
            token_millis: None,
            run_millis: None,
            pace: pace::PaceModel::default(),
        }
    }
}

/// Speed of one engine relative to the others of its service. What is learned holds for a host at
/// its usual pace.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpeed {
    /// Time to the first event relative to that of the service; 2 is twice as slow.
    first_event_factor: f64,
    /// Moving average of the decode time per token in milliseconds; `None` before the first sample.
    token_millis: Option<f64>,
    /// Pace of the host for which times are expected or measured; 1 is usual.
    pace: f64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            first_event_factor: 1.0,
            token_millis: None,
            pace: 1.0,
        }
    }
}

impl EngineSpeed {
    /// Returns the pace of the host for which times are expected.
    #[must_use]
    pub const fn pace(&self) -> f64 {
        self.pace
    }

    /// Returns the speed of the same engine while its host has this pace.
    #[must_use]
    pub const fn at_pace(self, pace: f64) -> Self {
        Self { pace, ..self }
    }
}

impl ServiceModel {
    /// Returns the expected time to the first event at an engine with `backlog` prompt tokens to
    /// prefill.
    #[must_use]
    pub fn first_event(&self, speed: &EngineSpeed, backlog: f64) -> Duration {
        let (intercept, slope) = self.first_event.coefficients();
        from_millis(slope.mul_add(backlog, intercept) * speed.first_event_factor * speed.pace)
    }

    /// Returns the expected time for which an engine reads prompts of `tokens`.
    #[must_use]
    pub fn prefill_time(&self, speed: &EngineSpeed, tokens: f64) -> Duration {
        let (_, slope) = self.first_event.coefficients();
        from_millis(slope * tokens * speed.first_event_factor * speed.pace)
    }

    /// Returns the speed of a typical engine at the mean pace of the hosts.
    #[must_use]
    pub fn typical_speed(&self) -> EngineSpeed {
        EngineSpeed::default().at_pace(self.pace.mean())
    }

    /// Returns the expected time to decode `tokens` at an engine.
    #[must_use]
    pub fn generation_time(&self, speed: &EngineSpeed, tokens: f64) -> Duration {
        let typical = self.token_millis.unwrap_or(INITIAL_ANSWER_TOKEN_MILLIS);
        from_millis(speed.token_millis.unwrap_or(typical) * speed.pace * tokens)
    }

    /// Returns the expected run time of a request at a typical idle engine.
    #[must_use]
    pub fn idle_run_time(&self, size: tickets::WorkSize) -> Duration {
        if size == tickets::WorkSize::Call {
            return self.mean_run_time();
        }
        let speed = self.typical_speed();
        let time_to_first = self.first_event(&speed, to_float(size.prompt()));
        time_to_first + self.generation_time(&speed, to_float(size.answer()))
    }

    /// Returns the moving average of the run time.
    #[must_use]
    pub fn mean_run_time(&self) -> Duration {
        from_millis(self.run_millis.unwrap_or(INITIAL_RUN_MILLIS))
    }

    /// Returns the mean run time at an engine, by how fast it decodes.
    #[must_use]
    pub fn run_time_at(&self, speed: &EngineSpeed) -> Duration {
        let ratio = speed.token_millis.zip(self.token_millis);
        let ratio = ratio.map_or(1.0, |(own, typical)| own / typical.max(f64::MIN_POSITIVE));
        let ratio = ratio * speed.pace / self.pace.mean();
        let (least, most) = SPEED_FACTOR_RANGE;
        self.mean_run_time().mul_f64(ratio.clamp(least, most))
    }

    /// Records the time to a first event. `weight` is the weight of this sample in the engine's own
    /// average.
    pub fn measure_first_event(
        &mut self,
        speed: &mut EngineSpeed,
        backlog: f64,
        elapsed: Duration,
        weight: f64,
    ) {
        let millis = to_millis(elapsed) / speed.pace;
        let (intercept, slope) = self.first_event.coefficients();
        let expected = slope.mul_add(backlog, intercept).max(1.0);
        let factor = (millis / expected).clamp(SPEED_FACTOR_RANGE.0, SPEED_FACTOR_RANGE.1);
        speed.first_event_factor += (factor - speed.first_event_factor) * weight;
        self.first_event.decay();
        self.first_event
            .add(backlog, millis / speed.first_event_factor, 1.0);
    }

    /// Records the time from the first event to the end of a generation.
    pub fn measure_generation(
        &mut self,
        speed: &mut EngineSpeed,
        tokens: f64,
        elapsed: Duration,
        weight: f64,
    ) {
        if tokens < 1.0 {
            return;
        }
        let millis = to_millis(elapsed) / tokens / speed.pace;
        speed.token_millis = Some(smooth(speed.token_millis, millis, weight));
        self.token_millis = Some(smooth(self.token_millis, millis, weight / 4.0));
    }

    /// Records the total time of a run.
    pub fn measure_run(&mut self, elapsed: Duration) {
        self.run_millis = Some(smooth(self.run_millis, to_millis(elapsed), RUN_WEIGHT));
    }
}

/// Returns an exponentially weighted moving average after a new sample.
pub(crate) fn smooth(average: Option<f64>, sample: f64, weight: f64) -> f64 {
    average.map_or(sample, |average| average + (sample - average) * weight)
}

pub(crate) fn to_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

pub(crate) fn from_millis(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1e3).unwrap_or(Duration::MAX)
}
