//! The pace of a roll-out: when the test of the new version ends, and how its part of the traffic
//! grows afterwards. All times follow from the period of the order.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;
use waxwing_wire::messages;

use crate::options;

/// Part of the period after which a version that has passed its test takes over at the earliest. A
/// version may turn bad some time after its start.
const TEST_PART: f64 = 0.45;

/// Part of the period after which the test ends with what is known. The rest is needed for the
/// growth of the traffic and for the requests at the version before to end.
const DECISION_PART: f64 = 0.6;

/// Part of the period that each step of the growth lasts.
const STEP_PART: f64 = 0.08;

/// The shortest time of a step: some exchanges with the entries, so that its effect is seen.
const MIN_STEP: Duration = Duration::from_millis(800);

/// The parts of the traffic during the growth. Each one at most doubles the one before, so that
/// queues and caches of the new endpoints fill gradually.
const SHIFT_SHARES: [f64; 2] = [0.25, 0.5];

/// The largest part of a route's requests that a version under test gets.
const MAX_CANARY_SHARE: f64 = 0.5;

/// The part of the requests of a route without known traffic.
const INITIAL_SHARE: f64 = 0.02;

/// Number of endpoints that a version under test uses. With five, the verdict can leave out two
/// that fail for reasons of their own.
pub const PROBES: usize = 5;

/// The stage of an active roll-out, and the part of the traffic in it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlannedStage {
    /// The new version is tested; the part depends on the route.
    Canary,
    /// The new version gets this part of the requests of each route.
    Shift(f64),
    /// The new version gets all new requests.
    Drain,
}

impl PlannedStage {
    /// Returns the stage as entries are told it.
    #[must_use]
    pub const fn wire(self) -> messages::RolloutStage {
        match self {
            Self::Canary => messages::RolloutStage::Canary,
            Self::Shift(_) => messages::RolloutStage::Shift,
            Self::Drain => messages::RolloutStage::Drain,
        }
    }
}

/// Returns whether a version that has passed its test may take over, `elapsed` after the order.
#[must_use]
pub fn may_promote(elapsed: Duration, period: Duration) -> bool {
    elapsed >= period.mul_f64(TEST_PART)
}

/// Returns whether the test must end with what is known.
#[must_use]
pub fn must_decide(elapsed: Duration, period: Duration) -> bool {
    elapsed >= period.mul_f64(DECISION_PART)
}

/// Returns the stage `since` the new version has passed its test.
#[must_use]
pub fn stage_after_promotion(since: Duration, period: Duration) -> PlannedStage {
    let step = period.mul_f64(STEP_PART).max(MIN_STEP);
    let mut end = step;
    for share in SHIFT_SHARES {
        if since < end {
            return PlannedStage::Shift(share);
        }
        end += step;
    }
    PlannedStage::Drain
}

/// The traffic of a service since its order.
#[derive(Debug, Clone, Default)]
pub struct ObservedTraffic {
    /// Requests by route.
    pub requests: BTreeMap<SmolStr, u64>,
    /// Time over which they were counted.
    pub time: Duration,
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of requests are far below 2^52"
)]
fn to_float(count: u64) -> f64 {
    count as f64
}

/// Returns the part of each route's requests that a version under test gets. Each route with
/// traffic gets the same number of requests where it can, since a version may be bad on a single
/// one.
#[must_use]
pub fn canary_shares(
    traffic: &ObservedTraffic,
    period: Duration,
    options: &options::RolloutOptions,
) -> BTreeMap<SmolStr, f64> {
    let seconds = traffic.time.as_secs_f64().max(MIN_STEP.as_secs_f64());
    let test_seconds = period.mul_f64(DECISION_PART).as_secs_f64();
    let rates = traffic.requests.iter().filter(|(_, count)| **count > 0);
    let rates: Vec<_> = rates
        .map(|(route, count)| (route, to_float(*count) / seconds))
        .collect();
    let total_rate: f64 = rates.iter().map(|(_, rate)| rate).sum();
    let mut budget = options.canary_budget(total_rate * period.as_secs_f64());
    let mut open = rates.len();
    let mut shares = BTreeMap::new();
    // The rarest routes come first: what they can't use is left for the others.
    let mut sorted = rates;
    sorted.sort_by(|left, right| left.1.total_cmp(&right.1));
    for (route, rate) in sorted {
        let expected = rate * test_seconds;
        let part = budget / f64::from(u32::try_from(open).unwrap_or(u32::MAX));
        let share = (part / expected.max(f64::MIN_POSITIVE)).min(MAX_CANARY_SHARE);
        budget -= share * expected;
        open -= 1;
        shares.insert(route.clone(), share);
    }
    shares
}

/// Returns the part of the requests of routes without known traffic.
#[must_use]
pub const fn initial_share() -> f64 {
    INITIAL_SHARE
}

/// Part of the period for which the same endpoints are used during the test.
const ROTATION_PART: f64 = 0.05;

/// The load of a service while a new version is tested.
#[derive(Debug, Clone, Copy)]
pub struct CanaryLoad {
    /// The part of the requests that the new version gets.
    pub share: f64,
    /// Requests in flight at the new version and at others.
    pub running: [u32; 2],
    /// Number of endpoints of other versions.
    pub others: usize,
}

/// Returns the endpoints of the new version that get requests at this time of the test. They are so
/// few that each has about the load of the other endpoints, since a version may be bad only under
/// load, and they take turns, so that the verdict rests on several.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small positive counts"
)]
pub fn probes(
    targets: &[SmolStr],
    elapsed: Duration,
    period: Duration,
    load: CanaryLoad,
) -> Vec<SmolStr> {
    let used = &targets[..targets.len().min(PROBES)];
    if used.is_empty() {
        return Vec::new();
    }
    let others = f64::from(u32::try_from(load.others).unwrap_or(u32::MAX));
    let usual_load = f64::from(load.running[1]) / others.max(1.0);
    let running: f64 = load.running.iter().copied().map(f64::from).sum();
    let needed = load.share * running / usual_load.max(1.0);
    let count = (needed.round() as usize).clamp(1, used.len());
    let rotation = period.mul_f64(ROTATION_PART).max(MIN_STEP);
    let turn = (elapsed.as_secs_f64() / rotation.as_secs_f64()) as usize;
    let first = turn * count;
    let picked = (first..first + count).map(|number| used[number % used.len()].clone());
    picked.collect()
}

/// Returns the endpoints of the new version that share `part` of the traffic. Each gets about the
/// load that it has in the end.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a small count"
)]
pub fn shift_endpoints(targets: &[SmolStr], part: f64) -> &[SmolStr] {
    let all = f64::from(u32::try_from(targets.len()).unwrap_or(u32::MAX));
    let count = ((all * part).ceil() as usize).max(PROBES);
    &targets[..count.min(targets.len())]
}
