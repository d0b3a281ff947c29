//! What a run is held against. The bounds come from `docs/design.md`, section 11, and never from
//! measured figures.

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::reports::VariantReport;

/// A `RunTarget` is one bound from an experiment file.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunTarget {
    /// Goodput of the highest tier.
    TopGoodputAtLeast(f64),
    /// Goodput of each tier.
    EveryGoodputAtLeast(f64),
    /// Good answers over those of the best baseline.
    GoodOverBaselineAtLeast(f64),
    /// 95th percentile of the first token over that of the variant `idle`, in each tier.
    FirstTokenOverIdleAtMost(f64),
    /// Wasted prefill as a share of all prefill.
    WastedShareAtMost(f64),
    /// Wasted prefill over that of the best baseline.
    WastedOverBaselineAtMost(f64),
    /// Computed prefill over the ideal.
    PrefillOverIdealAtMost(f64),
    /// Tier inversions in shedding.
    InversionsAtMost(f64),
    /// Double runs and double dispatches.
    DoubleRunsAtMost(f64),
    /// Wrong or truncated answers that were presented as whole, and lost records.
    WrongAtMost(f64),
    /// Refusals as `not-run` of calls that ran.
    FalseNotRunAtMost(f64),
    /// Median first token in milliseconds above that of the variant `direct`, in each tier.
    AddedMillisAtMost(f64),
}

/// A `TargetResult` is the comparison of one bound with the measured value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetResult {
    /// The bound.
    pub target: RunTarget,
    /// The measured value; absent if a variant that it needs is missing.
    pub measured: Option<f64>,
    /// Whether the bound is met.
    pub met: bool,
    /// The tier or variant that decides.
    pub decided_by: SmolStr,
}

/// Holds the variants against the targets. The first variant that is neither a baseline nor a
/// reference (`idle`, `direct`) is the measured one.
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

type Measured = Option<(f64, SmolStr)>;

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

    fn value(&self, measured: &VariantReport, variants: &[VariantReport]) -> Measured {
        let runs = &measured.runs;
        let count = |count: u64| Some((count as f64, measured.name.clone()));
        match self {
            Self::TopGoodputAtLeast(_) => {
                let top = measured.tiers.first()?;
                Some((top.goodput(), top.tier.clone()))
            }
            Self::EveryGoodputAtLeast(_) => winner(
                measured
                    .tiers
                    .iter()
                    .map(|tier| (tier.goodput(), tier.tier.clone())),
                f64::lt,
            ),
            Self::GoodOverBaselineAtLeast(_) => {
                let good = baselines(variants).map(|base| (base.good() as f64, base.name.clone()));
                let (best, name) = winner(good, f64::gt)?;
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
                let (best, name) = winner(shares, f64::lt)?;
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

    /// Returns the target as one line of text.
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

/// Returns the value that wins every comparison.
fn winner(values: impl Iterator<Item = (f64, SmolStr)>, wins: fn(&f64, &f64) -> bool) -> Measured {
    values.reduce(|one, other| if wins(&other.0, &one.0) { other } else { one })
}

fn compare_tiers(
    measured: &VariantReport,
    variants: &[VariantReport],
    reference: &str,
    value: fn(&crate::reports::TierReport, &crate::reports::TierReport) -> f64,
) -> Measured {
    let reference = variants.iter().find(|variant| variant.name == reference)?;
    let pairs = measured.tiers.iter().filter_map(|tier| {
        let mut references = reference.tiers.iter();
        let base = references.find(|base| base.tier == tier.tier)?;
        Some((value(tier, base), tier.tier.clone()))
    });
    winner(pairs, f64::gt)
}
