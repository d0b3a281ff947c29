//! Compares the results of two runs.

use std::fmt::Write as _;

use crate::reports::{RunReport, TierReport, VariantReport};

type TierMetric = (&'static str, fn(&TierReport) -> f64);

const TIER_METRICS: [TierMetric; 4] = [
    ("goodput", TierReport::goodput),
    ("first token p50 ms", |tier| tier.first_token.p50_ms),
    ("first token p95 ms", |tier| tier.first_token.p95_ms),
    ("between tokens p95 ms", |tier| tier.between_tokens.p95_ms),
];

type VariantMetric = (&'static str, fn(&VariantReport) -> f64);

const VARIANT_METRICS: [VariantMetric; 5] = [
    ("good answers", |variant| variant.good() as f64),
    ("wasted prefill share", |variant| {
        variant.prefill.wasted_share()
    }),
    ("prefill tokens", |variant| variant.prefill.computed as f64),
    ("inversions", |variant| variant.runs.inversions as f64),
    ("double runs", |variant| {
        (variant.runs.double_runs + variant.runs.double_dispatches) as f64
    }),
];

fn push_row(text: &mut String, name: &str, one: f64, other: f64) {
    let ratio = if one == 0.0 {
        "-".to_owned()
    } else {
        format!("{:.3}", other / one)
    };
    let _ = writeln!(text, "  {name:<36} {one:>12.4} {other:>12.4} {ratio:>8}");
}

/// Returns a table of the values of both reports and their ratios, for the variants that both have.
#[must_use]
pub fn compare(one: &RunReport, other: &RunReport) -> String {
    let mut text = format!(
        "{} (seed {}) and {} (seed {}): value, value, ratio\n",
        one.experiment, one.seed, other.experiment, other.seed
    );
    for left in &one.variants {
        let Some(right) = other.variants.iter().find(|right| right.name == left.name) else {
            continue;
        };
        let _ = writeln!(text, "{}", left.name);
        for (name, value) in VARIANT_METRICS {
            push_row(&mut text, name, value(left), value(right));
        }
        for tier in &left.tiers {
            let same = right.tiers.iter().find(|same| same.tier == tier.tier);
            let Some(same) = same else { continue };
            for (name, value) in TIER_METRICS {
                let name = format!("{} {name}", tier.tier);
                push_row(&mut text, &name, value(tier), value(same));
            }
        }
    }
    text
}
