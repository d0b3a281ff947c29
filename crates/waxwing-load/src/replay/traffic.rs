//! Seeded arrivals of three kinds of generations, and of callers that return after a refusal.

use std::{collections::BTreeMap, time::Duration};

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use super::ReplayPlan;

/// Spread of the lengths of prompts and answers around their medians, as the standard deviation of
/// their logarithm.
const LENGTH_SPREAD: f64 = 0.7;

/// Times that a refused caller comes back.
const RETURNS: u32 = 1;

/// A time during which more requests arrive.
#[derive(Debug, Clone, Copy)]
pub struct LoadBurst {
    /// Start of the burst.
    pub at: Duration,
    /// Its length.
    pub length: Duration,
    /// Multiple of the usual rate.
    pub factor: f64,
}

/// A kind of request; its number is its tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestKind {
    /// A long text from a long prompt.
    Draft,
    /// A text of medium length from a short prompt.
    Question,
    /// A few words on a prompt of medium length.
    Tag,
}

/// What all requests of a kind have in common.
#[derive(Debug, Clone, Copy)]
pub(super) struct KindProfile {
    /// Share of all requests.
    share: f64,
    /// Median of the prompt tokens.
    prompt: f64,
    /// Median of the answer tokens.
    answer: f64,
    pub(super) objective: Duration,
    pub(super) deadline: Duration,
    /// Worth of an answer that begins within the objective, and of a later one.
    pub(super) worth: (f64, f64),
}

impl RequestKind {
    /// All kinds, the most urgent one first.
    pub const ALL: [Self; 3] = [Self::Draft, Self::Question, Self::Tag];

    /// Returns the tier.
    #[must_use]
    pub const fn rank(self) -> u32 {
        match self {
            Self::Draft => 0,
            Self::Question => 1,
            Self::Tag => 2,
        }
    }

    pub(super) const fn profile(self) -> KindProfile {
        match self {
            Self::Draft => KindProfile {
                share: 0.24,
                prompt: 5_000.0,
                answer: 300.0,
                objective: Duration::from_millis(800),
                deadline: Duration::from_secs(12),
                worth: (6.6, 2.0),
            },
            Self::Question => KindProfile {
                share: 0.23,
                prompt: 500.0,
                answer: 230.0,
                objective: Duration::from_millis(400),
                deadline: Duration::from_secs(10),
                worth: (2.6, 0.8),
            },
            Self::Tag => KindProfile {
                share: 0.53,
                prompt: 1_500.0,
                answer: 20.0,
                objective: Duration::from_millis(400),
                deadline: Duration::from_millis(2_500),
                worth: (0.24, 0.07),
            },
        }
    }
}

/// Returns the longest time that a caller waits.
pub(super) fn longest_deadline() -> Duration {
    let deadlines = RequestKind::ALL.map(|kind| kind.profile().deadline);
    deadlines.into_iter().max().unwrap_or_default()
}

/// A request of a caller that arrives.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestArrival {
    pub(super) kind: RequestKind,
    pub(super) prompt: u64,
    pub(super) answer: u64,
    /// Time that the caller still waits.
    pub(super) patience: Duration,
    /// Time since its first attempt.
    pub(super) elapsed: Duration,
    /// How often it was refused before.
    pub(super) refusals: u32,
}

impl RequestArrival {
    /// Tells whether an answer that begins `waited` after the last arrival is on time.
    pub(super) fn is_on_time(&self, waited: Duration) -> bool {
        self.elapsed + waited <= self.kind.profile().objective
    }

    /// Returns the request as it comes back `after` a refusal, if its caller does.
    pub(super) fn returning(&self, waited: Duration, after: Duration) -> Option<Self> {
        let passed = waited + after;
        let patience = self.patience.checked_sub(passed)?;
        (self.refusals < RETURNS).then_some(Self {
            patience,
            elapsed: self.elapsed + passed,
            refusals: self.refusals + 1,
            ..*self
        })
    }
}

/// A request that comes back after a delay.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReturningRequest {
    pub(super) arrival: RequestArrival,
    pub(super) delay: Duration,
}

/// New and returning requests, by the step at which they arrive.
#[derive(Debug)]
pub(super) struct ArrivalQueue {
    rate: f64,
    bursts: Vec<LoadBurst>,
    returning: BTreeMap<u64, Vec<RequestArrival>>,
    random: ChaCha8Rng,
}

impl ArrivalQueue {
    pub(super) fn new(plan: &ReplayPlan, random: ChaCha8Rng) -> Self {
        Self {
            rate: plan.rate,
            bursts: plan.bursts.clone(),
            returning: BTreeMap::new(),
            random,
        }
    }

    /// Returns the requests that arrive in a step; new ones only if `open`.
    pub(super) fn advance(&mut self, step: u64, open: bool) -> Vec<RequestArrival> {
        let mut arrivals = self.returning.remove(&step).unwrap_or_default();
        if !open {
            return arrivals;
        }
        let now = super::STEP * u32::try_from(step).unwrap_or(u32::MAX);
        let in_burst = |burst: &&LoadBurst| now >= burst.at && now < burst.at + burst.length;
        let factor = self.bursts.iter().find(in_burst);
        let factor = factor.map_or(1.0, |burst| burst.factor);
        let mut expected = self.rate * factor * super::STEP.as_secs_f64();
        // A Poisson count, by the gaps between the arrivals.
        loop {
            expected += (1.0 - self.random.random::<f64>()).ln();
            if expected < 0.0 {
                return arrivals;
            }
            arrivals.push(draw_request(&mut self.random));
        }
    }

    pub(super) fn schedule(&mut self, step: u64, returning: ReturningRequest) {
        let due = step + super::steps_in(returning.delay).max(1);
        self.returning
            .entry(due)
            .or_default()
            .push(returning.arrival);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.returning.is_empty()
    }
}

fn draw_request(random: &mut ChaCha8Rng) -> RequestArrival {
    let draw = random.random::<f64>();
    let kind = match draw {
        _ if draw < RequestKind::Draft.profile().share => RequestKind::Draft,
        _ if draw > 1.0 - RequestKind::Tag.profile().share => RequestKind::Tag,
        _ => RequestKind::Question,
    };
    let profile = kind.profile();
    RequestArrival {
        kind,
        prompt: draw_length(profile.prompt, random),
        answer: draw_length(profile.answer, random),
        patience: profile.deadline.mul_f64(random.random_range(0.85..1.0)),
        elapsed: Duration::ZERO,
        refusals: 0,
    }
}

/// Draws a length from a log-normal distribution.
fn draw_length(median: f64, random: &mut ChaCha8Rng) -> u64 {
    let (first, second) = (1.0 - random.random::<f64>(), random.random::<f64>());
    let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "lengths are positive and far below 2^52"
    )]
    let length = (median * (normal * LENGTH_SPREAD).exp()).ceil() as u64;
    length
}
