//! The report of a run as it is written to JSON.

use std::{collections::BTreeMap, fs, path};

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr as _};

use crate::{errors::LoadError, targets};

/// A `RunReport` is the result of one experiment.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunReport {
    /// The experiment.
    pub experiment: SmolStr,
    /// The seed.
    pub seed: u64,
    /// The mean arrival rate in requests per second.
    pub rate: f64,
    /// The results by variant, in the order of the file.
    pub variants: Vec<VariantReport>,
    /// What the results were held against.
    pub targets: Vec<targets::TargetResult>,
}

/// A `VariantReport` is the result of one variant.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct VariantReport {
    /// The name.
    pub name: SmolStr,
    /// Whether the variant is a baseline.
    pub baseline: bool,
    /// Results by tier, the highest tier first.
    pub tiers: Vec<TierReport>,
    /// Prefill work.
    pub prefill: PrefillReport,
    /// Dispatches and runs.
    pub runs: RunsReport,
    /// Good answers per second of the run, by the second in which they ended.
    pub good_by_second: Vec<u64>,
    /// Growth of the counters of entries during the run, where not zero.
    pub counters: BTreeMap<SmolStr, u64>,
}

/// A `TierReport` is the result of one tier.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TierReport {
    /// The tier.
    pub tier: SmolStr,
    /// Its rank.
    pub rank: u8,
    /// Calls that were sent.
    pub offered: u64,
    /// Whole, right answers in time.
    pub good: u64,
    /// Whole, right answers after the deadline.
    pub late: u64,
    /// Answers that were presented as whole and are not right.
    pub wrong: u64,
    /// Answers that ended early and said so.
    pub cut: u64,
    /// Callers that went away at their deadline.
    pub gave_up: u64,
    /// Connections that failed.
    pub failed: u64,
    /// Refusals `not-run` by reason.
    pub not_run: BTreeMap<SmolStr, u64>,
    /// Outcomes `unknown` by reason.
    pub unknown: BTreeMap<SmolStr, u64>,
    /// Time to the first token.
    pub first_token: QuantileReport,
    /// Time between tokens.
    pub between_tokens: QuantileReport,
}

impl TierReport {
    /// Returns the share of calls that were answered whole and in time.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        if self.offered == 0 {
            return 1.0;
        }
        self.good as f64 / self.offered as f64
    }
}

/// A `QuantileReport` holds quantiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct QuantileReport {
    /// Samples.
    pub count: u64,
    /// Half of the samples are at most this.
    pub p50_ms: f64,
    /// 95 in 100 samples are at most this.
    pub p95_ms: f64,
    /// 99 in 100 samples are at most this.
    pub p99_ms: f64,
}

/// A `PrefillReport` tells how much prompt processing was done and wasted, in tokens.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct PrefillReport {
    /// Tokens computed.
    pub computed: u64,
    /// Tokens found in prefix caches.
    pub cached: u64,
    /// Wasted on requests that were cancelled and not resumed.
    pub wasted_cancelled: u64,
    /// Wasted on repetition after a suspension.
    pub wasted_repeated: u64,
    /// Wasted with engines that died.
    pub wasted_lost: u64,
    /// Wasted on answers that came after their deadline.
    pub wasted_late: u64,
    /// Tokens that one cache with perfect knowledge and enough memory would have computed.
    pub ideal: u64,
}

impl PrefillReport {
    /// Returns the wasted tokens of all causes.
    #[must_use]
    pub fn wasted(&self) -> u64 {
        self.wasted_cancelled + self.wasted_repeated + self.wasted_lost + self.wasted_late
    }

    /// Returns the wasted share of all prefill.
    #[must_use]
    pub fn wasted_share(&self) -> f64 {
        if self.computed == 0 {
            return 0.0;
        }
        self.wasted() as f64 / self.computed as f64
    }
}

/// A `RunsReport` counts dispatches and runs, and every breach of a promise that was seen.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RunsReport {
    /// Requests that reached an engine.
    pub engine_requests: u64,
    /// Continuations of suspended requests.
    pub engine_resumptions: u64,
    /// Request ids that were dispatched more than once.
    pub double_dispatches: u64,
    /// Bodies that a register recorded.
    pub records: u64,
    /// Bodies that a register recorded more than once.
    pub double_runs: u64,
    /// Records confirmed to a caller that no register holds.
    pub lost_records: u64,
    /// Calls refused as `not-run` that ran.
    pub false_not_run: u64,
    /// Calls of a higher tier that were shed while a later call of a lower tier for the same
    /// model or service was served.
    pub inversions: u64,
    /// The first breaches in words, for the reader of the report.
    pub examples: Vec<String>,
}

impl VariantReport {
    /// Returns the good answers of all tiers.
    #[must_use]
    pub fn good(&self) -> u64 {
        self.tiers.iter().map(|tier| tier.good).sum()
    }

    /// Returns the calls of all tiers.
    #[must_use]
    pub fn offered(&self) -> u64 {
        self.tiers.iter().map(|tier| tier.offered).sum()
    }

    /// Returns the wrong answers of all tiers.
    #[must_use]
    pub fn wrong(&self) -> u64 {
        self.tiers.iter().map(|tier| tier.wrong).sum()
    }
}

/// Reads a report.
///
/// # Errors
/// Fails if the file is not a report.
pub fn load(file: &path::Path) -> Result<RunReport, LoadError> {
    Ok(waxwing_settings::files::load(file)?)
}

/// Writes a text file and the folder that it lies in.
///
/// # Errors
/// Fails if the file can't be written.
pub fn write(file: &path::Path, text: &str) -> Result<(), LoadError> {
    let written = file
        .parent()
        .map_or(Ok(()), fs::create_dir_all)
        .and_then(|()| fs::write(file, text));
    written.map_err(|error| LoadError::Write {
        file: file.to_string_lossy().to_smolstr(),
        error,
    })
}
