//! Orders and states of roll-outs in the operators' interface of a fleet without agents.

use std::time::Duration;

use comfy_table::Table;
use serde::{Deserialize, Serialize};

use crate::output;

/// An order to move a service to another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RolloutOrder {
    service: String,
    target: String,
    period_millis: u64,
}

impl RolloutOrder {
    /// Builds an order; `period` is the time until the version must have taken over.
    #[must_use]
    pub fn new(service: &str, target: &str, period: Duration) -> Self {
        Self {
            service: service.to_owned(),
            target: target.to_owned(),
            period_millis: u64::try_from(period.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// The last roll-outs of all services.
#[derive(Debug, Serialize, Deserialize)]
pub struct RolloutList {
    /// The roll-outs, by service.
    pub rollouts: Vec<RolloutStatus>,
}

/// The last roll-out of a service.
#[derive(Debug, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The service.
    pub service: String,
    /// The version that was ordered.
    pub target: String,
    /// `active`, `completed` or `rolled-back`.
    pub state: String,
    /// Why the last step was decided.
    pub reason: String,
    /// Milliseconds from the order to its deadline.
    pub period_millis: u64,
    /// When it was ordered, in Unix milliseconds.
    pub ordered_millis: u64,
    /// The versions that were replaced.
    pub replaced: Vec<String>,
    /// The progress of a roll-out that has not ended.
    pub progress: Option<RolloutProgress>,
}

/// The state of a roll-out in progress.
#[derive(Debug, Serialize, Deserialize)]
pub struct RolloutProgress {
    /// `canary`, `shift` or `drain`.
    pub stage: String,
    /// The part of the requests that the new version gets.
    pub share: f64,
    /// Milliseconds until the deadline.
    pub left_millis: u64,
    /// Endpoints of the new version and of others.
    pub endpoints: [usize; 2],
    /// Requests in flight at the new version and at others.
    pub running: [u32; 2],
    /// The evidence by route.
    pub evidence: Vec<RouteEvidence>,
}

/// The evidence on one route.
#[derive(Debug, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The route.
    pub route: String,
    /// Answers of the new version.
    pub finished: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those that took several times as long as usual.
    pub slow: u64,
    /// The ratio of failed answers of the other versions.
    pub usual_failures: f64,
    /// The ratio of slow answers of the other versions.
    pub usual_slow: f64,
    /// How far the tests of failures and of slowness have come to the bound; 1 condemns.
    pub doubt: [f64; 2],
}

/// Builds the table of roll-outs, one row a service.
#[must_use]
pub fn table(rollouts: &[RolloutStatus]) -> Table {
    let mut table = output::new_table(&["service", "version", "state", "stage", "share", "reason"]);
    for rollout in rollouts {
        let progress = rollout.progress.as_ref();
        table.add_row([
            rollout.service.clone(),
            rollout.target.clone(),
            rollout.state.clone(),
            progress.map_or_else(String::new, |progress| progress.stage.clone()),
            progress.map_or_else(String::new, |progress| format!("{:.3}", progress.share)),
            rollout.reason.clone(),
        ]);
    }
    table
}

/// Describes a roll-out and its evidence.
#[must_use]
pub fn describe(rollout: &RolloutStatus) -> String {
    let mut text = table(std::slice::from_ref(rollout)).to_string();
    let Some(progress) = &rollout.progress else {
        return text;
    };
    text += &format!(
        "\n{} ms left; endpoints of the version {}, of others {}; requests in flight {} and {}\n",
        progress.left_millis,
        progress.endpoints[0],
        progress.endpoints[1],
        progress.running[0],
        progress.running[1]
    );
    let mut evidence = output::new_table(&[
        "route",
        "answers",
        "failed",
        "slow",
        "usually failed",
        "usually slow",
        "doubt",
    ]);
    for route in &progress.evidence {
        evidence.add_row([
            route.route.clone(),
            route.finished.to_string(),
            route.failed.to_string(),
            route.slow.to_string(),
            format!("{:.3}", route.usual_failures),
            format!("{:.3}", route.usual_slow),
            format!("{:.2}", route.doubt[0].max(route.doubt[1])),
        ]);
    }
    text + &evidence.to_string()
}
