//! The nominal capacity of a fleet for a mix of requests, so that experiments can name the load as
//! a share of it.

use waxwing_standin::options;

use crate::experiments::{CallPlan, Experiment, FleetPlan};

/// The target between tokens in milliseconds; a batch that is slower gives no useful capacity.
const TOKEN_TARGET_MILLIS: f64 = 58.0;

/// The mean of a model request: its uncached prompt tokens and its output tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MeanRequest {
    /// The share of model requests among all requests.
    pub model_share: f64,
    /// Uncached prompt tokens of a model request.
    pub prompt_tokens: f64,
    /// Output tokens of a model request.
    pub output_tokens: f64,
}

/// The mean of a number drawn evenly on a logarithmic scale.
fn log_mean(range: [u64; 2]) -> f64 {
    let [low, high] = range.map(|bound| bound as f64);
    if high <= low {
        return low;
    }
    (high - low) / (high / low).ln()
}

/// Returns the mean request of an experiment. Shared texts count as cached; an answer has three
/// quarters of its limit on average.
#[must_use]
pub fn mean_request(experiment: &Experiment) -> MeanRequest {
    let all: f64 = experiment.classes.iter().map(|class| class.share).sum();
    let mut mean = MeanRequest::default();
    for class in &experiment.classes {
        if let CallPlan::Chat(chat) = &class.call {
            mean.model_share += class.share / all;
            mean.prompt_tokens += class.share / all * log_mean(chat.prompt_tokens);
            mean.output_tokens += class.share / all * 0.75 * log_mean(chat.output_tokens);
        }
    }
    if mean.model_share > 0.0 {
        mean.prompt_tokens /= mean.model_share;
        mean.output_tokens /= mean.model_share;
    }
    mean
}

/// Returns the requests per second that one engine serves with the largest batch whose steps stay
/// within the target between tokens.
#[must_use]
pub fn engine_rate(options: &options::EngineOptions, mean: &MeanRequest) -> f64 {
    let step =
        |batch: usize| options.token_millis * (1.0 + options.batch_slowdown * (batch as f64 - 1.0));
    let fits = |batch: &usize| step(*batch) <= TOKEN_TARGET_MILLIS;
    let batch = (1..=options.max_batch).rev().find(fits).unwrap_or(1);
    let decode = mean.output_tokens * step(batch) / 1_000.0 / batch as f64;
    let prefill = mean.prompt_tokens / options.prefill_rate.0;
    1.0 / (decode + prefill)
}

/// Returns the requests per second, plain ones included, that a fleet serves.
#[must_use]
pub fn fleet_rate(fleet: &FleetPlan, mean: &MeanRequest) -> f64 {
    if mean.model_share <= 0.0 {
        return 0.0;
    }
    let runners = fleet.runners.iter().map(|runner| {
        let options = options::EngineOptions::of_speed(runner.speed);
        f64::from(runner.count) * engine_rate(&options, mean)
    });
    runners.sum::<f64>() * fleet.time_scale / mean.model_share
}
