//! The arrival schedule: open-loop Poisson arrivals that depend on the experiment and its seed
//! only, never on the answers, so that a slow variant gets the same traffic as a fast one.

use std::time::Duration;

use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{
    capacity,
    experiments::{AccountPlan, ArrivalRate, CallPlan, Experiment},
};

/// A `PlannedCall` is one arrival. Texts are built when the call is sent, from `text_seed`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedCall {
    /// The number of the arrival, from 0.
    pub index: u64,
    /// The time since the start.
    pub at: Duration,
    /// The class.
    pub class: usize,
    /// The account.
    pub account: usize,
    /// Prompt tokens besides a shared text.
    pub prompt_tokens: u64,
    /// Output tokens at most.
    pub output_tokens: u64,
    /// The shared text with which the prompt begins.
    pub shared: Option<u64>,
    /// The seed of the text.
    pub text_seed: u64,
}

/// Returns the mean rate in requests per second, bursts left out.
#[must_use]
pub fn mean_rate(experiment: &Experiment) -> f64 {
    match experiment.rate {
        ArrivalRate::RequestsPerSecond(rate) => rate,
        ArrivalRate::CapacityShare(share) => {
            let mean = capacity::mean_request(experiment);
            share * capacity::fleet_rate(&experiment.fleet, &mean)
        }
    }
}

fn burst_factor(experiment: &Experiment, at: Duration) -> f64 {
    let now = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
    let bursts = experiment.bursts.iter();
    let active = bursts.filter(|burst| (burst.at_ms..burst.at_ms + burst.length_ms).contains(&now));
    active.map(|burst| burst.factor).product()
}

fn pick(random: &mut impl Rng, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let all: f64 = shares.clone().sum();
    let mut rest = random.random::<f64>() * all;
    let count = shares.clone().count();
    for (index, share) in shares.enumerate() {
        rest -= share;
        if rest < 0.0 {
            return index;
        }
    }
    count - 1
}

fn draw_log(random: &mut impl Rng, range: [u64; 2]) -> u64 {
    let [low, high] = range.map(|bound| (bound as f64).ln());
    let drawn = (low + (high - low) * random.random::<f64>()).exp();
    (drawn.round() as u64).clamp(range[0], range[1])
}

/// Builds the schedule. `rate_scale` thins it out: the calls that stay are the same ones at any
/// scale of the seed's run.
#[must_use]
pub fn schedule(experiment: &Experiment, rate_scale: f64) -> Vec<PlannedCall> {
    let mut random = ChaCha8Rng::seed_from_u64(experiment.seed);
    let factors = experiment.bursts.iter().map(|burst| burst.factor);
    let peak: f64 = factors.filter(|factor| *factor > 1.0).product();
    let peak_rate = mean_rate(experiment) * peak;
    let end = Duration::from_millis(experiment.duration_ms);
    let mut at = Duration::ZERO;
    let mut calls = Vec::new();
    loop {
        let gap = -(1.0 - random.random::<f64>()).ln() / peak_rate;
        at += Duration::from_secs_f64(gap);
        if at >= end {
            return calls;
        }
        let kept = random.random::<f64>() * peak < burst_factor(experiment, at);
        let thinned = random.random::<f64>() >= rate_scale;
        let call = draw_call(experiment, &mut random, at);
        if kept && !thinned {
            calls.push(PlannedCall {
                index: calls.len() as u64,
                ..call
            });
        }
    }
}

fn draw_call(experiment: &Experiment, random: &mut ChaCha8Rng, at: Duration) -> PlannedCall {
    let class = pick(random, experiment.classes.iter().map(|class| class.share));
    let senders = &experiment.classes[class].accounts;
    let share = |account: &AccountPlan| {
        let sends = senders.is_empty() || senders.contains(&account.name);
        if sends { account.share } else { 0.0 }
    };
    let account = pick(random, experiment.accounts.iter().map(share));
    let mut call = PlannedCall {
        index: 0,
        at,
        class,
        account,
        prompt_tokens: 0,
        output_tokens: 0,
        shared: None,
        text_seed: random.random(),
    };
    if let CallPlan::Chat(chat) = &experiment.classes[class].call {
        call.prompt_tokens = draw_log(random, chat.prompt_tokens);
        call.output_tokens = draw_log(random, chat.output_tokens);
        call.shared = chat
            .shared
            .map(|shared| random.random_range(0..shared.texts.max(1)));
    }
    call
}
