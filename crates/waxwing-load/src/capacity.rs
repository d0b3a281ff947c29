//! Nominal capacity of a fleet for a mix of requests, so that experiments can state their load as
//! a share of it.

use waxwing_standin::options;

use crate::experiments::{CallPlan, Experiment, FleetPlan};

/// Target time between tokens in milliseconds. Batches with slower steps don't count as capacity.
const TOKEN_TARGET_MILLIS: f64 = 58.0;

/// Mean size of the model requests of an experiment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MeanRequest {
    /// Share of model requests among all requests, 0 to 1.
    pub model_share: f64,
    /// Mean number of uncached prompt tokens.
    pub prompt_tokens: f64,
    /// Mean number of output tokens.
    pub output_tokens: f64,
}

/// Returns the mean of a log-uniform distribution over the range.
fn log_uniform_mean(range: [u64; 2]) -> f64 {
    let [low, high] = range.map(|bound| bound as f64);
    if high <= low {
        return low;
    }
    (high - low) / (high / low).ln()
}

/// Returns the mean model request of an experiment. Shared prefixes count as cached. Answers have
/// three quarters of their token limit on average, since the simulated engine generates between
/// half of the limit and the limit.
#[must_use]
pub fn mean_request(experiment: &Experiment) -> MeanRequest {
    let total: f64 = experiment.classes.iter().map(|class| class.share).sum();
    let mut mean = MeanRequest::default();
    for class in &experiment.classes {
        if let CallPlan::Chat(chat) = &class.call {
            mean.model_share += class.share / total;
            mean.prompt_tokens += class.share / total * log_uniform_mean(chat.prompt_tokens);
            mean.output_tokens += class.share / total * 0.75 * log_uniform_mean(chat.output_tokens);
        }
    }
    if mean.model_share > 0.0 {
        mean.prompt_tokens /= mean.model_share;
        mean.output_tokens /= mean.model_share;
    }
    mean
}

/// Returns the model requests per second that one engine serves with the largest batch whose steps
/// stay within the target time between tokens.
#[must_use]
pub fn engine_rate(options: &options::EngineOptions, mean: &MeanRequest) -> f64 {
    let step_millis =
        |batch: usize| options.token_millis * (1.0 + options.batch_slowdown * (batch as f64 - 1.0));
    let meets_target = |batch: &usize| step_millis(*batch) <= TOKEN_TARGET_MILLIS;
    let batch = (1..=options.max_batch)
        .rev()
        .find(meets_target)
        .unwrap_or(1);
    let decode = mean.output_tokens * step_millis(batch) / 1_000.0 / batch as f64;
    let prefill = mean.prompt_tokens / options.prefill_rate.0;
    1.0 / (decode + prefill)
}

/// Returns the requests per second that a fleet serves, records included; 0 without model requests.
#[must_use]
pub fn fleet_rate(fleet: &FleetPlan, mean: &MeanRequest) -> f64 {
    if mean.model_share <= 0.0 {
        return 0.0;
    }
    let runners = fleet.runners.iter().map(|runner| {
        let options = options::EngineOptions::with_speed(runner.speed);
        f64::from(runner.count) * engine_rate(&options, mean)
    });
    runners.sum::<f64>() * fleet.time_scale / mean.model_share
}
