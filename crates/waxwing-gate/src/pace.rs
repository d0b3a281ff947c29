//! Pace of the hosts on which endpoints run: how long work takes there now, relative to the usual
//! time.
//!
//! Endpoints that share their hosts with other work state the pace with their answers. It changes
//! several times a second, so a statement is neither the truth nor useless: the expected pace moves
//! from the newest statement to the level of the host as the statement ages. How fast it does so is
//! learned for each service. Entries pass statements on in their load updates, since a single entry
//! among many hears of an endpoint too rarely. `docs/design/pace.md` has the alternatives.

use std::time::{Duration, Instant};

use waxwing_core::units;

use crate::models;

/// Number of statements over which the level of a host is averaged.
const LEVEL_SAMPLES: u32 = 16;

/// Multiple of a host's level to which a statement is limited, upwards and downwards, so that one
/// odd figure neither closes nor attracts an endpoint for long.
const MAX_DEVIATION: f64 = 8.0;

/// Upper bounds of the ages between two statements for which the persistence is learned, in
/// milliseconds; older statements say what the level says.
const AGE_BOUNDS_MILLIS: [u64; 8] = [25, 50, 100, 200, 400, 800, 1_600, 3_200];

/// Age from which on a statement isn't told to an entry whose link has just opened. Before it is
/// measured, a seventh of a deviation is expected to last longer.
const CURRENT_AGE: Duration = Duration::from_millis(800);

/// Part of a deviation that is expected at these ages before it is measured: it halves in 200 ms.
const INITIAL_PERSISTENCE: [f64; AGE_BOUNDS_MILLIS.len()] =
    [0.96, 0.88, 0.77, 0.6, 0.35, 0.13, 0.02, 0.0];

/// Weight of the initial persistence, as the squared relative deviation of as many statements.
const INITIAL_WEIGHT: f64 = 1.0;

/// Factor by which older evidence decays with each pair of statements, so that some thousand pairs
/// count.
const EVIDENCE_DECAY: f64 = 0.999;

/// Weight of the newest statement in the mean pace of a service.
const SERVICE_WEIGHT: f64 = 0.01;

/// A pace that an endpoint stated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceSample {
    /// The stated pace.
    pub pace: units::HostPace,
    /// When it was stated.
    pub at: Instant,
}

/// What is known of the pace of one host.
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceEstimate {
    newest: Option<PaceSample>,
    /// Mean of the statements.
    level: f64,
    /// Number of statements that the mean covers, up to [`LEVEL_SAMPLES`].
    samples: u32,
    /// Whether the newest statement came with an answer to this entry.
    is_own: bool,
    /// Whether it did so and other entries have not been told.
    is_untold: bool,
}

/// How the pace of the hosts of a service behaves over time.
#[derive(Debug, Clone, Default)]
pub struct PaceModel {
    /// Covariance of two statements by the age of the first one, and variance of the first one.
    evidence: [(f64, f64); AGE_BOUNDS_MILLIS.len()],
    /// Mean pace of all hosts; `None` if none states its pace.
    mean: Option<f64>,
}

impl PaceEstimate {
    /// Records a statement. Older ones than the newest are ignored; returns whether it was newer.
    pub fn observe(&mut self, sample: PaceSample, model: &mut PaceModel) -> bool {
        if self.newest.is_some_and(|newest| sample.at <= newest.at) {
            return false;
        }
        let ratio = self.limited(sample.pace.ratio());
        if let Some(newest) = self.newest {
            let age = sample.at.saturating_duration_since(newest.at);
            let deviation = |ratio: f64| ratio / self.level - 1.0;
            let before = deviation(self.limited(newest.pace.ratio()));
            model.learn(age, before, deviation(ratio));
        }
        model.mean = Some(models::smooth(model.mean, ratio, SERVICE_WEIGHT));
        self.samples = (self.samples + 1).min(LEVEL_SAMPLES);
        self.level += (ratio - self.level) / f64::from(self.samples);
        self.newest = Some(sample);
        self.is_own = false;
        self.is_untold = false;
        true
    }

    /// Marks the newest statement as one that came with an answer to this entry, so that the other
    /// entries have to be told.
    pub const fn mark_own(&mut self) {
        self.is_own = true;
        self.is_untold = true;
    }

    /// Returns the newest statement if it came with an answer to this entry and still says something
    /// at `now`.
    #[must_use]
    pub fn current_own(&self, now: Instant) -> Option<PaceSample> {
        let newest = self.newest.filter(|_| self.is_own)?;
        let age = now.saturating_duration_since(newest.at);
        (age < CURRENT_AGE).then_some(newest)
    }

    /// Returns the newest statement if other entries have to be told of it, and marks it as told.
    pub fn take_untold(&mut self) -> Option<PaceSample> {
        let is_untold = std::mem::take(&mut self.is_untold);
        self.newest.filter(|_| is_untold)
    }

    /// Returns the newest statement; `None` if the endpoint has stated no pace.
    #[must_use]
    pub const fn newest(&self) -> Option<PaceSample> {
        self.newest
    }

    /// Returns the pace to expect at a time, relative to the usual one; 1 if none was stated.
    #[must_use]
    pub fn expected(&self, at: Instant, model: &PaceModel) -> f64 {
        let Some(newest) = self.newest else {
            return 1.0;
        };
        let age = at.saturating_duration_since(newest.at);
        let ratio = self.limited(newest.pace.ratio());
        self.level + (ratio - self.level) * model.persistence(age)
    }

    fn limited(&self, ratio: f64) -> f64 {
        match self.samples {
            0 => ratio,
            _ => ratio.clamp(self.level / MAX_DEVIATION, self.level * MAX_DEVIATION),
        }
    }
}

impl PaceModel {
    /// Returns the mean pace of all hosts of the service; 1 if none states its pace.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.mean.unwrap_or(1.0)
    }

    /// Returns which part of a deviation from the level is still expected after a time.
    #[must_use]
    pub fn persistence(&self, age: Duration) -> f64 {
        let Some(bin) = age_bin(age) else {
            return 0.0;
        };
        let initial = INITIAL_PERSISTENCE[bin];
        let (covariance, variance) = self.evidence[bin];
        let learned = INITIAL_WEIGHT.mul_add(initial, covariance) / (INITIAL_WEIGHT + variance);
        learned.clamp(0.0, 1.0)
    }

    fn learn(&mut self, age: Duration, before: f64, after: f64) {
        if let Some(bin) = age_bin(age) {
            let (covariance, variance) = &mut self.evidence[bin];
            *covariance = covariance.mul_add(EVIDENCE_DECAY, before * after);
            *variance = variance.mul_add(EVIDENCE_DECAY, before * before);
        }
    }
}

fn age_bin(age: Duration) -> Option<usize> {
    let millis = age.as_millis();
    AGE_BOUNDS_MILLIS
        .iter()
        .position(|bound| millis < u128::from(*bound))
}
