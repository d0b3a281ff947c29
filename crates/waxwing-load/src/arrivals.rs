//! The arrival schedule: open-loop Poisson arrivals that depend only on the experiment and its
//! seed, never on the answers, so that a slow variant gets the same traffic as a fast one.

use std::time::Duration;

use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{
    capacity,
    experiments::{AccountPlan, ArrivalRate, CallPlan, Experiment},
};

/// One scheduled arrival. Its prompt or body is generated from `text_seed` when the call is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedCall {
    /// Index in the schedule, from 0.
    pub index: u64,
    /// Time of arrival since the start of the run.
    pub at: Duration,
    /// Index of the request class in the experiment.
    pub class: usize,
    /// Index of the client account in the experiment.
    pub account: usize,
    /// Prompt tokens without the shared prefix; 0 for records.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens; 0 for records.
    pub output_tokens: u64,
    /// Index of the shared prefix with which the prompt begins, if any.
    pub shared: Option<u64>,
    /// Seed of the prompt or body.
    pub text_seed: u64,
}

/// Returns the mean arrival rate in requests per second, without bursts.
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

/// Returns an index with a probability proportional to its share.
fn draw_index(random: &mut impl Rng, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = shares.clone().sum();
    let mut remaining = random.random::<f64>() * total;
    let count = shares.clone().count();
    for (index, share) in shares.enumerate() {
        remaining -= share;
        if remaining < 0.0 {
            return index;
        }
    }
    count - 1
}

fn draw_log_uniform(random: &mut impl Rng, range: [u64; 2]) -> u64 {
    let [low, high] = range.map(|bound| (bound as f64).ln());
    let sample = (low + (high - low) * random.random::<f64>()).exp();
    (sample.round() as u64).clamp(range[0], range[1])
}

/// Builds the schedule by thinning a Poisson process at the peak rate. `rate_scale` is the share
/// of the calls that remain. Every candidate draws the same random numbers whether it remains or
/// not, so that the calls at any scale are a subset of those at scale 1 with the same seed.
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
        let accepted = random.random::<f64>() * peak < burst_factor(experiment, at);
        let scaled_out = random.random::<f64>() >= rate_scale;
        let call = draw_call(experiment, &mut random, at);
        if accepted && !scaled_out {
            calls.push(PlannedCall {
                index: calls.len() as u64,
                ..call
            });
        }
    }
}

fn draw_call(experiment: &Experiment, random: &mut ChaCha8Rng, at: Duration) -> PlannedCall {
    let class = draw_index(random, experiment.classes.iter().map(|class| class.share));
    let senders = &experiment.classes[class].accounts;
    let share = |account: &AccountPlan| {
        let sends = senders.is_empty() || senders.contains(&account.name);
        if sends { account.share } else { 0.0 }
    };
    let account = draw_index(random, experiment.accounts.iter().map(share));
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
        call.prompt_tokens = draw_log_uniform(random, chat.prompt_tokens);
        call.output_tokens = draw_log_uniform(random, chat.output_tokens);
        call.shared = chat
            .shared
            .map(|shared| random.random_range(0..shared.texts.max(1)));
    }
    call
}
