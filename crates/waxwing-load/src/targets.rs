//! Targets that a run must meet. Their bounds come from `docs/design.md`, section 11, and never from
//! measurements.

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::reports::VariantReport;

/// A target of an experiment file: a metric of the measured variant with its bound.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunTarget {
    /// Goodput of the highest tier is at least this.
    TopGoodputAtLeast(f64),
    /// Goodput of each tier is at least this.
    EveryGoodputAtLeast(f64),
    /// Ratio of good answers to those of the best baseline is at least this.
    GoodOverBaselineAtLeast(f64),
    /// Ratio of the 95th percentile of time to first token to that of the variant `idle`, in each
    /// tier, is at most this.
    FirstTokenOverIdleAtMost(f64),
    /// Wasted share of the computed prefill tokens is at most this.
    WastedShareAtMost(f64),
    /// Ratio of the wasted share to that of the best baseline is at most this.
    WastedOverBaselineAtMost(f64),
    /// Ratio of computed prefill tokens to the ideal is at most this.
    PrefillOverIdealAtMost(f64),
    /// Number of priority inversions in shedding is at most this.
    InversionsAtMost(f64),
    /// Number of bodies recorded and requests dispatched more than once is at most this.
    DoubleRunsAtMost(f64),
    /// Number of wrong or truncated answers that were presented as complete, and of lost records,
    /// is at most this.
    WrongAtMost(f64),
    /// Number of calls that were refused with outcome `not-run` but executed is at most this.
    FalseNotRunAtMost(f64),
    /// Median time to first token minus that of the variant `direct`, in milliseconds, is at most
    /// this in each tier.
    AddedMillisAtMost(f64),
}

/// Comparison of a target with the measured value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetResult {
    /// The target.
    pub target: RunTarget,
    /// The measured value; none if a variant that it needs is missing.
    pub measured: Option<f64>,
    /// Whether the value is within the bound; false without a value.
    pub met: bool,
    /// The tier or variant that determines the value.
    pub decided_by: SmolStr,
}

/// Compares the variants with the targets. The measured variant is the first one that is neither a
/// baseline nor a reference (`idle`, `direct`).
#[must_use]
pub fn evaluate(targets: &[RunTarget], variants: &[VariantReport]) -> Vec<TargetResult> {
    let measured = variants.iter().find(|variant| is_measured(variant));
    let evaluate = |target: &RunTarget| {
        let value = measured.and_then(|measured| target.value(measured, variants));
        let met = value
            .as_ref()
            .is_some_and(|(value, _)| target.is_met(*value));
        TargetResult {
            target: *target,
            measured: value.as_ref().map(|(value, _)| *value),
            met,
            decided_by: value.map_or_else(SmolStr::default, |(_, name)| name),
        }
    };
    targets.iter().map(evaluate).collect()
}

fn is_measured(variant: &VariantReport) -> bool {
    !variant.baseline && variant.name != "idle" && variant.name != "direct"
}

fn ratio(value: f64, base: f64) -> f64 {
    if base == 0.0 {
        return if value == 0.0 { 0.0 } else { f64::INFINITY };
    }
    value / base
}

/// A measured value with the tier or variant that determines it.
type MeasuredValue = Option<(f64, SmolStr)>;

impl RunTarget {
    fn is_met(&self, value: f64) -> bool {
        match *self {
            Self::TopGoodputAtLeast(bound)
            | Self::EveryGoodputAtLeast(bound)
            | Self::GoodOverBaselineAtLeast(bound) => value >= bound,
            Self::FirstTokenOverIdleAtMost(bound)
            | Self::WastedShareAtMost(bound)
            | Self::WastedOverBaselineAtMost(bound)
            | Self::PrefillOverIdealAtMost(bound)
            | Self::InversionsAtMost(bound)
            | Self::DoubleRunsAtMost(bound)
            | Self::WrongAtMost(bound)
            | Self::FalseNotRunAtMost(bound)
            | Self::AddedMillisAtMost(bound) => value <= bound,
        }
    }

    fn value(&self, measured: &VariantReport, variants: &[VariantReport]) -> MeasuredValue {
        let runs = &measured.runs;
        let count = |count: u64| Some((count as f64, measured.name.clone()));
        match self {
            Self::TopGoodputAtLeast(_) => {
                let top = measured.tiers.first()?;
                Some((top.goodput(), top.tier.clone()))
            }
            Self::EveryGoodputAtLeast(_) => extreme_of(
                measured
                    .tiers
                    .iter()
                    .map(|tier| (tier.goodput(), tier.tier.clone())),
                f64::lt,
            ),
            Self::GoodOverBaselineAtLeast(_) => {
                let good = baselines(variants).map(|base| (base.good() as f64, base.name.clone()));
                let (best, name) = extreme_of(good, f64::gt)?;
                Some((ratio(measured.good() as f64, best), name))
            }
            Self::FirstTokenOverIdleAtMost(_) => {
                compare_tiers(measured, variants, "idle", |tier, idle| {
                    ratio(tier.first_token.p95_ms, idle.first_token.p95_ms)
                })
            }
            Self::AddedMillisAtMost(_) => {
                compare_tiers(measured, variants, "direct", |tier, direct| {
                    tier.first_token.p50_ms - direct.first_token.p50_ms
                })
            }
            Self::WastedShareAtMost(_) => {
                Some((measured.prefill.wasted_share(), measured.name.clone()))
            }
            Self::WastedOverBaselineAtMost(_) => {
                let shares = baselines(variants);
                let shares = shares.map(|base| (base.prefill.wasted_share(), base.name.clone()));
                let (best, name) = extreme_of(shares, f64::lt)?;
                Some((ratio(measured.prefill.wasted_share(), best), name))
            }
            Self::PrefillOverIdealAtMost(_) => {
                let prefill = &measured.prefill;
                let ratio = ratio(prefill.computed as f64, prefill.ideal as f64);
                Some((ratio, measured.name.clone()))
            }
            Self::InversionsAtMost(_) => count(runs.inversions),
            Self::DoubleRunsAtMost(_) => count(runs.double_runs + runs.double_dispatches),
            Self::WrongAtMost(_) => count(measured.wrong() + runs.lost_records),
            Self::FalseNotRunAtMost(_) => count(runs.false_not_run),
        }
    }

    /// Returns the name and bound of the target as in an experiment file.
    #[must_use]
    pub fn label(&self) -> SmolStr {
        serde_json::to_value(self)
            .ok()
            .and_then(|value| {
                let (name, bound) = value.as_object()?.iter().next()?;
                Some(format_smolstr!("{name} {bound}"))
            })
            .unwrap_or_default()
    }
}

fn baselines(variants: &[VariantReport]) -> impl Iterator<Item = &VariantReport> {
    variants.iter().filter(|variant| variant.baseline)
}

/// Returns the most extreme value, the first one if several are equal; `exceeds(a, b)` tells whether
/// `a` is more extreme than `b`.
fn extreme_of(
    values: impl Iterator<Item = (f64, SmolStr)>,
    exceeds: fn(&f64, &f64) -> bool,
) -> MeasuredValue {
    values.reduce(|one, other| {
        if exceeds(&other.0, &one.0) {
            other
        } else {
            one
        }
    })
}

/// Returns the largest value among the tiers that both the measured and the reference variant have.
fn compare_tiers(
    measured: &VariantReport,
    variants: &[VariantReport],
    reference: &str,
    value: fn(&crate::reports::TierReport, &crate::reports::TierReport) -> f64,
) -> MeasuredValue {
    let reference = variants.iter().find(|variant| variant.name == reference)?;
    let pairs = measured.tiers.iter().filter_map(|tier| {
        let mut references = reference.tiers.iter();
        let base = references.find(|base| base.tier == tier.tier)?;
        Some((value(tier, base), tier.tier.clone()))
    });
    extreme_of(pairs, f64::gt)
}
