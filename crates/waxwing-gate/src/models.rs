//! What is learned of the engines of a service: how the time to the first event depends on the
//! prompt, how fast each engine is against the others, and how long runs take.

use std::time::Duration;

use crate::{endpoints::to_float, tickets};

/// Milliseconds to the first event of a short prompt, before anything was measured: some decode
/// steps of a large model.
const INITIAL_BASE_MILLIS: f64 = 60.0;

/// Milliseconds for each prompt token before anything was measured: 100 tokens in a millisecond.
const INITIAL_TOKEN_MILLIS: f64 = 0.01;

/// Milliseconds for each token of an answer before anything was measured.
const INITIAL_STEP_MILLIS: f64 = 4.0;

/// Milliseconds of a run before anything was measured; a generation of middle length.
const INITIAL_RUN_MILLIS: f64 = 1_000.0;

/// The weight of a measurement after each further one; the last few hundred count.
const RETENTION: f64 = 0.995;

/// Weight that the initial values have against measurements.
const INITIAL_WEIGHT: f64 = 10.0;

/// Prompt tokens over which the initial line is laid.
const INITIAL_SPAN: f64 = 4_000.0;

/// The smallest and largest factor of an engine against the others of its service.
const FACTOR_RANGE: (f64, f64) = (0.1, 20.0);

/// Weight of the newest run in the mean time of runs.
const RUN_WEIGHT: f64 = 0.02;

/// A `LineFit` is a weighted least-squares line.
#[derive(Debug, Clone, Copy)]
struct LineFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LineFit {
    fn starting_at(base: f64, slope: f64) -> Self {
        let mut line = Self {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        for x in [0.0, INITIAL_SPAN] {
            line.add(x, slope.mul_add(x, base), INITIAL_WEIGHT / 2.0);
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
            *sum *= RETENTION;
        }
    }

    /// Returns the base and the slope; neither is negative.
    fn line(&self) -> (f64, f64) {
        let mean_x = self.x / self.weight;
        let mean_y = self.y / self.weight;
        let spread = self.xx / self.weight - mean_x * mean_x;
        let shared = self.xy / self.weight - mean_x * mean_y;
        let slope = if spread > 1.0 {
            (shared / spread).max(0.0)
        } else {
            0.0
        };
        ((mean_y - slope * mean_x).max(0.0), slope)
    }
}

/// A `ServiceModel` is what is common to the engines of a service.
#[derive(Debug, Clone)]
pub struct ServiceModel {
    first_event: LineFit,
    step_millis: Option<f64>,
    run_millis: Option<f64>,
}

impl Default for ServiceModel {
    fn default() -> Self {
        Self {
            first_event: LineFit::starting_at(INITIAL_BASE_MILLIS, INITIAL_TOKEN_MILLIS),
            step_millis: None,
            run_millis: None,
        }
    }
}

/// An `EngineSpeed` is how one engine compares with the others of its service.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpeed {
    /// Time to the first event against the service's; 2 is twice as slow.
    first_factor: f64,
    /// Milliseconds for each token of an answer, once measured.
    step_millis: Option<f64>,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            first_factor: 1.0,
            step_millis: None,
        }
    }
}

impl ServiceModel {
    /// Returns the time to the first event at an engine that has `backlog` prompt tokens to read.
    #[must_use]
    pub fn first_event(&self, speed: &EngineSpeed, backlog: f64) -> Duration {
        let (base, slope) = self.first_event.line();
        from_millis(slope.mul_add(backlog, base) * speed.first_factor)
    }

    /// Returns the time that `tokens` of an answer take at an engine.
    #[must_use]
    pub fn generation(&self, speed: &EngineSpeed, tokens: f64) -> Duration {
        let typical = self.step_millis.unwrap_or(INITIAL_STEP_MILLIS);
        from_millis(speed.step_millis.unwrap_or(typical) * tokens)
    }

    /// Returns the time of a run at a typical engine that is idle.
    #[must_use]
    pub fn run(&self, size: tickets::WorkSize) -> Duration {
        if size == tickets::WorkSize::Call {
            return self.run_time();
        }
        let speed = EngineSpeed::default();
        let first = self.first_event(&speed, to_float(size.prompt()));
        first + self.generation(&speed, to_float(size.answer()))
    }

    /// Returns the mean time of a run.
    #[must_use]
    pub fn run_time(&self) -> Duration {
        from_millis(self.run_millis.unwrap_or(INITIAL_RUN_MILLIS))
    }

    /// Takes the time to a first event. `weight` is that of the newest measurement in the
    /// engine's own average.
    pub fn measure_first_event(
        &mut self,
        speed: &mut EngineSpeed,
        backlog: f64,
        took: Duration,
        weight: f64,
    ) {
        let millis = to_millis(took);
        let (base, slope) = self.first_event.line();
        let expected = slope.mul_add(backlog, base).max(1.0);
        let factor = (millis / expected).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
        speed.first_factor += (factor - speed.first_factor) * weight;
        self.first_event.decay();
        self.first_event
            .add(backlog, millis / speed.first_factor, 1.0);
    }

    /// Takes the time of a generation behind its first event.
    pub fn measure_generation(
        &mut self,
        speed: &mut EngineSpeed,
        tokens: f64,
        took: Duration,
        weight: f64,
    ) {
        if tokens < 1.0 {
            return;
        }
        let millis = to_millis(took) / tokens;
        speed.step_millis = Some(smooth(speed.step_millis, millis, weight));
        self.step_millis = Some(smooth(self.step_millis, millis, weight / 4.0));
    }

    /// Takes the time of a whole run.
    pub fn measure_run(&mut self, took: Duration) {
        self.run_millis = Some(smooth(self.run_millis, to_millis(took), RUN_WEIGHT));
    }
}

/// Moves an average toward the newest measurement.
pub(crate) fn smooth(known: Option<f64>, newest: f64, weight: f64) -> f64 {
    known.map_or(newest, |known| known + (newest - known) * weight)
}

pub(crate) fn to_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

pub(crate) fn from_millis(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1e3).unwrap_or(Duration::MAX)
}
