//! The verdict on a new version, from the answers of its endpoints and of those of other versions on
//! the same routes over the same time.
//!
//! Each route has two tests: one of failures and one of answers that take several times as long as
//! usual. A test is a sequential one (CUSUM): it adds up the logarithm of the likelihood ratio of
//! "worse by a margin" against "as good", never below zero, and condemns the version above a bound
//! that gives less than one false verdict in ten thousand requests. A sum that falls below the lower
//! bound of Wald's test clears the route. `docs/design/rollouts.md` names what was weighed.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// Number of bad answers of a new version from which no statistics are needed if they are more than
/// those of the other versions. Callers are promised that requests to a bad version end some seconds
/// after its 50th bad answer.
pub const MAX_BAD_ANSWERS: u64 = 40;

/// Part of the endpoints of either version whose answers are left out, the worst ones first. An
/// endpoint may crash or be slow for reasons of its own, which says nothing about its version.
const LEFT_OUT: f64 = 0.4;

/// Bound above which a version is condemned: the natural logarithm of 10,000.
const CONDEMNED: f64 = 9.21;

/// By how much the bound on the sums of single endpoints grows with each of them: what the sum of an
/// endpoint reaches now and then though its version is as good.
const ENDPOINT_ALLOWANCE: f64 = 0.5;

/// Part of that bound from which a version is in doubt, and doesn't take over.
const DOUBTFUL: f64 = 0.33;

/// Bound below which a route is cleared: the natural logarithm of one in a hundred.
const CLEARED: f64 = -4.6;

/// Factor by which the counts of the other versions decay at each evaluation, so that they follow
/// the state of the service over some seconds.
const DECAY: f64 = 0.98;

/// Answers without a fault that are assumed of the other versions before any are known.
const PRIOR_ANSWERS: f64 = 20.0;

/// Parameters of a test.
#[derive(Debug, Clone, Copy)]
struct TestBounds {
    /// The ratio of bad answers that counts as equal to that of the other versions: a factor and a
    /// margin.
    tolerated: (f64, f64),
    /// How much higher the ratio of a version is that the test must find.
    excess: f64,
}

/// A version whose answers fail more often by 15 in 100 must be found.
const FAILURES: TestBounds = TestBounds {
    tolerated: (1.1, 0.02),
    excess: 0.15,
};

/// Times vary more than failures do, by the speed of hosts and by load.
const SLOWNESS: TestBounds = TestBounds {
    tolerated: (1.3, 0.05),
    excess: 0.25,
};

/// The largest ratio of bad answers that a test assumes.
const MAX_RATIO: f64 = 0.95;

/// Answers of one endpoint on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Requests that ran and have ended.
    pub finished: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those that took several times as long as usual.
    pub slow: u64,
}

impl AnswerCounts {
    /// Returns the counts since `earlier`. Totals of a process that has restarted count from zero.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self {
            finished: self.finished.saturating_sub(earlier.finished),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }

    const fn add(&mut self, other: Self) {
        self.finished = self.finished.saturating_add(other.finished);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }
}

/// What is known of a new version.
#[derive(Debug, Clone, PartialEq)]
pub enum VersionVerdict {
    /// It is worse than the others. Holds the reason.
    Condemned(String),
    /// No route speaks against it, and each route with enough answers is cleared.
    Cleared,
    /// More answers are needed.
    Open {
        /// Whether the answers so far speak rather against it.
        is_doubtful: bool,
    },
}

/// Sums of one test on one route.
#[derive(Debug, Clone, Copy, Default)]
struct TestSums {
    /// Sum that never falls below zero, which condemns.
    upper: f64,
    /// Plain sum, which clears.
    total: f64,
}

/// Answers of an endpoint of the new version.
#[derive(Debug, Clone, Default)]
struct TargetEndpoint {
    /// Answers since the last evaluation.
    batch: AnswerCounts,
    /// All answers.
    total: AnswerCounts,
    /// Sums of this endpoint alone in the tests of failures and of slowness; the highest ones are
    /// left out.
    upper: [f64; 2],
}

/// Answers of an endpoint of another version: finished, failed and slow ones.
type DecayedCounts = [f64; 3];

/// The evidence on one route.
#[derive(Debug, Clone, Default)]
struct RouteEvidence {
    others: BTreeMap<SmolStr, DecayedCounts>,
    targets: BTreeMap<SmolStr, TargetEndpoint>,
    sums: [TestSums; 2],
    /// All answers of the new version.
    total: AnswerCounts,
    /// Whether other versions have answered since the last evaluation.
    others_answered: bool,
    /// Number of endpoints of the new version that are tested.
    probes: usize,
}

/// The evidence on a new version.
#[derive(Debug, Clone, Default)]
pub struct VersionEvidence {
    routes: BTreeMap<SmolStr, RouteEvidence>,
    /// Sums over all routes of the tests of failures and of slowness, which never fall below zero. A
    /// version that is bad on all routes is found sooner by them.
    upper: [f64; 2],
}

/// The evidence on one route, for operators.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct RouteSummary {
    /// The name of the route.
    pub route: SmolStr,
    /// Answers of the new version.
    pub finished: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those that took several times as long as usual.
    pub slow: u64,
    /// The ratio of failed answers of the other versions, without the worst endpoints.
    pub usual_failures: f64,
    /// The ratio of slow answers of the other versions, without the worst endpoints.
    pub usual_slow: f64,
    /// How far the tests of failures and of slowness have come to the bound that condemns; 1 is at
    /// it.
    pub doubt: [f64; 2],
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of answers are far below 2^52"
)]
fn to_float(count: u64) -> f64 {
    count as f64
}

/// Returns how many of `count` endpoints are kept, the best ones first. At least `expected` endpoints
/// will be known in time; until they are, those that are known may be the ones to leave out.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a small positive count"
)]
fn kept_endpoints(count: usize, expected: usize) -> usize {
    let all = u32::try_from(count.max(expected)).unwrap_or(u32::MAX);
    let left_out = (f64::from(all) * LEFT_OUT) as usize;
    count.saturating_sub(left_out)
}

impl RouteEvidence {
    /// Returns the usual ratio of bad answers, by the counts at `index`: that of the other versions
    /// without the endpoints with the most of them.
    fn usual_ratio(&self, index: usize) -> f64 {
        let mut ratios: Vec<_> = self
            .others
            .values()
            .filter(|counts| counts[0] > 0.0)
            .map(|counts| (counts[index] / counts[0], counts[0], counts[index]))
            .collect();
        ratios.sort_by(|left, right| left.0.total_cmp(&right.0));
        let kept = kept_endpoints(ratios.len(), 0);
        let kept = ratios.iter().take(kept);
        let (finished, bad) = kept.fold((PRIOR_ANSWERS, 0.0), |(finished, bad), ratio| {
            (finished + ratio.1, bad + ratio.2)
        });
        bad / finished
    }

    /// Adds the answers since the last evaluation to the sums of one test, and returns what they
    /// add.
    fn run_test(&mut self, index: usize, bounds: TestBounds, usual: f64) -> f64 {
        let (factor, margin) = bounds.tolerated;
        let tolerated = usual.mul_add(factor, margin).min(MAX_RATIO - bounds.excess);
        let worse = tolerated + bounds.excess;
        let bad_weight = (worse / tolerated).ln();
        let good_weight = ((1.0 - worse) / (1.0 - tolerated)).ln();
        let mut increments: Vec<_> = self
            .targets
            .values_mut()
            .map(|endpoint| {
                let batch = endpoint.batch;
                let bad = [batch.failed, batch.slow][index].min(batch.finished);
                let good = batch.finished - bad;
                let increment = to_float(bad).mul_add(bad_weight, to_float(good) * good_weight);
                let upper = &mut endpoint.upper[index];
                *upper = (*upper + increment).max(0.0);
                (*upper, increment)
            })
            .collect();
        increments.sort_by(|left, right| left.0.total_cmp(&right.0));
        let kept = kept_endpoints(increments.len(), self.probes);
        let sum: f64 = increments.iter().take(kept).map(|(_, sum)| sum).sum();
        let sums = &mut self.sums[index];
        sums.upper = (sums.upper + sum).max(0.0);
        sums.total += sum;
        sum
    }

    /// Evaluates the answers since the last evaluation, and returns what they add to the sums of the
    /// tests.
    fn evaluate(&mut self) -> [f64; 2] {
        let mut added = [0.0; 2];
        for (index, bounds) in [FAILURES, SLOWNESS].into_iter().enumerate() {
            let usual = self.usual_ratio(index + 1);
            added[index] = self.run_test(index, bounds, usual);
        }
        for endpoint in self.targets.values_mut() {
            endpoint.batch = AnswerCounts::default();
        }
        // Once the other versions get no more requests, their last answers stay the measure.
        if std::mem::take(&mut self.others_answered) {
            for count in self.others.values_mut().flatten() {
                *count *= DECAY;
            }
        }
        added
    }

    /// Returns the failed answers of the new version and all of them, without the endpoints with the
    /// highest ratio of failures.
    fn kept_failures(&self) -> (u64, u64) {
        let mut totals: Vec<_> = self.targets.values().map(|target| target.total).collect();
        totals.sort_by(|left, right| {
            let products = [
                u128::from(left.failed) * u128::from(right.finished),
                u128::from(right.failed) * u128::from(left.finished),
            ];
            products[0].cmp(&products[1])
        });
        let kept = kept_endpoints(totals.len(), self.probes);
        let kept = totals.iter().take(kept);
        kept.fold((0, 0), |(failed, finished), total| {
            (failed + total.failed, finished + total.finished)
        })
    }

    /// Tells whether the sums of single endpoints condemn the version, without the worst of them. They
    /// keep what an endpoint has shown that counted among the worst for a while.
    fn endpoints_condemn(&self, index: usize) -> bool {
        let mut uppers: Vec<_> = self
            .targets
            .values()
            .map(|target| target.upper[index])
            .collect();
        uppers.sort_by(f64::total_cmp);
        let kept = kept_endpoints(uppers.len(), self.probes);
        let allowance = ENDPOINT_ALLOWANCE * f64::from(u32::try_from(kept).unwrap_or(u32::MAX));
        uppers.iter().take(kept).sum::<f64>() >= CONDEMNED + allowance
    }

    /// Tells why the version is condemned by this route, if it is.
    fn condemnation(&self) -> Option<&'static str> {
        let [failures, slowness] = self.sums;
        let (kept_failed, kept_finished) = self.kept_failures();
        let bad_ratio = to_float(kept_failed) / to_float(kept_finished.max(1));
        let (factor, margin) = FAILURES.tolerated;
        let usual = self.usual_ratio(1).mul_add(factor, margin);
        if failures.upper >= CONDEMNED || self.endpoints_condemn(0) {
            return Some("its answers fail more often");
        }
        if self.total.failed >= MAX_BAD_ANSWERS && bad_ratio > usual + FAILURES.excess / 2.0 {
            return Some("too many of its answers failed");
        }
        let is_slow = slowness.upper >= CONDEMNED || self.endpoints_condemn(1);
        is_slow.then_some("its answers take several times as long")
    }
}

impl VersionEvidence {
    /// Adds answers of an endpoint on a route.
    pub fn add(&mut self, route: &SmolStr, endpoint: &SmolStr, is_target: bool, new: AnswerCounts) {
        let evidence = self.routes.entry(route.clone()).or_default();
        if is_target {
            evidence.total.add(new);
            let target = evidence.targets.entry(endpoint.clone()).or_default();
            target.batch.add(new);
            target.total.add(new);
        } else {
            evidence.others_answered |= new.finished > 0;
            let counts = evidence.others.entry(endpoint.clone()).or_default();
            for (count, new) in counts.iter_mut().zip([new.finished, new.failed, new.slow]) {
                *count += to_float(new);
            }
        }
    }

    /// Evaluates the answers since the last evaluation, and returns the verdict. `probes` is the number
    /// of endpoints of the new version that are tested.
    pub fn evaluate(&mut self, probes: usize) -> VersionVerdict {
        let mut added = [0.0; 2];
        for evidence in self.routes.values_mut() {
            evidence.probes = probes;
            for (sum, new) in added.iter_mut().zip(evidence.evaluate()) {
                *sum += new;
            }
        }
        for (upper, new) in self.upper.iter_mut().zip(added) {
            *upper = (*upper + new).max(0.0);
        }
        for (route, evidence) in &self.routes {
            if let Some(reason) = evidence.condemnation() {
                let AnswerCounts {
                    finished,
                    failed,
                    slow,
                } = evidence.total;
                return VersionVerdict::Condemned(format!(
                    "{reason} on route {route}: {failed} of {finished} failed, {slow} were slow"
                ));
            }
        }
        for (upper, what) in self
            .upper
            .iter()
            .zip(["fail more often", "take several times as long"])
        {
            if *upper >= CONDEMNED {
                let reason = format!("its answers {what} over all routes");
                return VersionVerdict::Condemned(reason);
            }
        }
        let mut sums = self.routes.values().flat_map(|evidence| evidence.sums);
        let mut uppers = sums.clone().map(|sums| sums.upper).chain(self.upper);
        let is_doubtful = uppers.any(|upper| upper >= CONDEMNED * DOUBTFUL);
        let cleared = !self.routes.is_empty() && sums.all(|sums| sums.total <= CLEARED);
        match cleared && !is_doubtful {
            true => VersionVerdict::Cleared,
            false => VersionVerdict::Open { is_doubtful },
        }
    }

    /// Returns the number of answers of the new version.
    #[must_use]
    pub fn answers(&self) -> u64 {
        let routes = self.routes.values();
        routes.map(|evidence| evidence.total.finished).sum()
    }

    /// Returns the evidence for operators, by route.
    #[must_use]
    pub fn summaries(&self) -> Vec<RouteSummary> {
        let summaries = self.routes.iter().map(|(route, evidence)| RouteSummary {
            route: route.clone(),
            finished: evidence.total.finished,
            failed: evidence.total.failed,
            slow: evidence.total.slow,
            usual_failures: evidence.usual_ratio(1),
            usual_slow: evidence.usual_ratio(2),
            doubt: evidence.sums.map(|sums| sums.upper / CONDEMNED),
        });
        summaries.collect()
    }
}
