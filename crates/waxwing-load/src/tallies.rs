//! Aggregates the results of the calls and the counts of the stand-ins into the report of a variant.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    time::Duration,
};

use hdrhistogram::Histogram;
use smol_str::SmolStr;
use waxwing_core::{ids, prompts};
use waxwing_standin::{registers, simulation};

use crate::{
    calls::{self, ExpectedAnswer},
    drivers::CallRecord,
    experiments::{CallPlan, Experiment},
    reports::{HardwareReport, PrefillReport, QuantileReport, RunsReport, TierReport},
    verdicts::CallVerdict,
};

/// Maximum number of violations that a report describes.
const MAX_EXAMPLES: usize = 10;

/// Sums of the counts of all stand-ins of a fleet.
#[derive(Debug, Clone, Default)]
pub struct StandinTotals {
    /// Work of all engines; the peaks are left out.
    pub work: simulation::EngineCounts,
    /// Work of the engines of each hardware class.
    pub hardware: BTreeMap<SmolStr, HardwareReport>,
    /// Submissions to all engines by request id.
    pub runs: BTreeMap<SmolStr, simulation::RunCount>,
    /// Number of records in all registers by record name.
    pub bodies: BTreeMap<SmolStr, u64>,
}

impl StandinTotals {
    /// Adds the counts of one engine.
    pub fn add_engine(
        &mut self,
        hardware: &str,
        counts: &simulation::EngineCounts,
        runs: &BTreeMap<SmolStr, simulation::RunCount>,
    ) {
        let work = &mut self.work;
        work.admitted += counts.admitted;
        work.finished += counts.finished;
        work.cancelled += counts.cancelled;
        work.computed += counts.computed;
        work.cached += counts.cached;
        work.wasted_cancelled += counts.wasted_cancelled;
        work.wasted_repeated += counts.wasted_repeated;
        work.wasted_lost += counts.wasted_lost;
        work.output += counts.output;
        work.output_cancelled += counts.output_cancelled;
        let class = self.hardware.entry(SmolStr::new(hardware)).or_default();
        class.runners += 1;
        class.finished += counts.finished;
        class.computed += counts.computed;
        class.output += counts.output;
        class.running_peak = class.running_peak.max(counts.running_peak);
        class.waiting_peak = class.waiting_peak.max(counts.waiting_peak);
        for (id, run) in runs {
            let sum = self.runs.entry(id.clone()).or_default();
            sum.fresh += run.fresh;
            sum.resumed += run.resumed;
            sum.late_resumed += run.late_resumed;
        }
    }

    /// Returns the growth of the counts of work since `before`, and the request ids and records that
    /// were not there before. The work by hardware class stays as it is.
    #[must_use]
    pub fn since(mut self, before: &Self) -> Self {
        let (now, old) = (&mut self.work, &before.work);
        now.admitted -= old.admitted;
        now.finished -= old.finished;
        now.cancelled -= old.cancelled;
        now.computed -= old.computed;
        now.cached -= old.cached;
        // A resumption takes back what was counted for the cancelled request, so this count and
        // `output_cancelled` can shrink.
        now.wasted_cancelled = now.wasted_cancelled.saturating_sub(old.wasted_cancelled);
        now.wasted_repeated -= old.wasted_repeated;
        now.wasted_lost -= old.wasted_lost;
        now.output -= old.output;
        now.output_cancelled = now.output_cancelled.saturating_sub(old.output_cancelled);
        self.runs.retain(|id, _| !before.runs.contains_key(id));
        self.bodies
            .retain(|name, _| !before.bodies.contains_key(name));
        self
    }

    /// Adds the counts of a record store; must be called once for registers that share one.
    pub fn add_register(&mut self, counts: &registers::RegisterCounts) {
        for (name, count) in &counts.bodies {
            *self.bodies.entry(name.clone()).or_default() += count;
        }
    }
}

#[derive(Debug)]
struct TierTally {
    report: TierReport,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are in range")
}

fn record_time(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros.max(1));
}

fn quantiles(histogram: &Histogram<u64>) -> QuantileReport {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    if histogram.is_empty() {
        return QuantileReport::default();
    }
    QuantileReport {
        count: histogram.len(),
        p50_ms: at(0.5),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
    }
}

/// Returns the results of the tiers, highest tier first.
#[must_use]
pub fn tally_tiers(
    experiment: &Experiment,
    ranks: &BTreeMap<ids::TierName, ids::TierRank>,
    records: &[CallRecord],
) -> Vec<TierReport> {
    let mut tallies: BTreeMap<(u8, SmolStr), TierTally> = BTreeMap::new();
    for record in records {
        let tier = &experiment.classes[record.call.class].tier;
        let rank = ranks.get(tier).map_or(u8::MAX, |rank| rank.0);
        let name = SmolStr::new(tier.as_str());
        let tally = tallies
            .entry((rank, name.clone()))
            .or_insert_with(|| TierTally {
                report: TierReport {
                    tier: name,
                    rank,
                    ..TierReport::default()
                },
                first_token: new_histogram(),
                between_tokens: new_histogram(),
            });
        add_record(tally, record);
    }
    tallies.into_values().map(finish_tier).collect()
}

fn add_record(tally: &mut TierTally, record: &CallRecord) {
    let report = &mut tally.report;
    report.offered += 1;
    match &record.verdict {
        CallVerdict::Good => report.good += 1,
        CallVerdict::Late => report.late += 1,
        CallVerdict::Wrong => report.wrong += 1,
        CallVerdict::Cut { reason } => *report.cut.entry(reason.clone()).or_default() += 1,
        CallVerdict::GaveUp => report.gave_up += 1,
        CallVerdict::Failed => report.failed += 1,
        CallVerdict::NotRun { reason } => *report.not_run.entry(reason.clone()).or_default() += 1,
        CallVerdict::Unknown { reason } => *report.unknown.entry(reason.clone()).or_default() += 1,
    }
    if let Some(first) = record.first_token {
        record_time(&mut tally.first_token, first);
    }
    for gap in &record.gaps {
        record_time(&mut tally.between_tokens, *gap);
    }
}

fn finish_tier(tally: TierTally) -> TierReport {
    TierReport {
        first_token: quantiles(&tally.first_token),
        between_tokens: quantiles(&tally.between_tokens),
        ..tally.report
    }
}

/// Returns the prefill work. The ideal is what would be computed if all engines shared one cache of
/// unlimited size: every distinct block once for the prompts of the calls that got an answer.
#[must_use]
pub fn tally_prefill(
    experiment: &Experiment,
    records: &[CallRecord],
    totals: &StandinTotals,
) -> PrefillReport {
    let late = records
        .iter()
        .filter(|record| record.verdict == CallVerdict::Late);
    let mut seen_blocks = HashSet::new();
    let mut ideal = 0;
    let answered = |record: &&CallRecord| {
        matches!(
            record.verdict,
            CallVerdict::Good | CallVerdict::Late | CallVerdict::Cut { .. }
        )
    };
    for record in records.iter().filter(answered) {
        let built = calls::build(experiment, &record.call, "");
        if let ExpectedAnswer::Chat { prompt, .. } = built.expected {
            let hashes = prompts::block_hashes(&prompt);
            let block_tokens = hashes.len() as u64 * prompts::BLOCK_TOKENS as u64;
            let distinct = hashes
                .into_iter()
                .filter(|hash| seen_blocks.insert(*hash))
                .count();
            ideal += distinct as u64 * prompts::BLOCK_TOKENS as u64;
            ideal += prompts::estimate_tokens(&prompt).0 - block_tokens;
        }
    }
    PrefillReport {
        computed: totals.work.computed,
        cached: totals.work.cached,
        wasted_cancelled: totals.work.wasted_cancelled,
        wasted_repeated: totals.work.wasted_repeated,
        wasted_lost: totals.work.wasted_lost,
        wasted_late: late.map(|record| record.computed_tokens).sum(),
        ideal,
    }
}

/// Returns the counts of dispatched requests and recorded bodies, and all violations of the
/// guarantees that can be observed from outside.
#[must_use]
pub fn tally_runs(
    experiment: &Experiment,
    ranks: &BTreeMap<ids::TierName, ids::TierRank>,
    records: &[CallRecord],
    totals: &StandinTotals,
) -> RunsReport {
    let mut report = RunsReport {
        engine_requests: totals.runs.values().map(|run| run.fresh).sum(),
        engine_resumptions: totals.runs.values().map(|run| run.resumed).sum(),
        engine_late_resumptions: totals.runs.values().map(|run| run.late_resumed).sum(),
        records: totals.bodies.values().sum(),
        ..RunsReport::default()
    };
    for (id, run) in totals.runs.iter().filter(|(_, run)| run.fresh > 1) {
        report.double_dispatches += 1;
        report.add_example(format!("request {id} was dispatched {} times", run.fresh));
    }
    for (name, count) in totals.bodies.iter().filter(|(_, count)| **count > 1) {
        report.double_runs += 1;
        report.add_example(format!("record {name} was made {count} times"));
    }
    for record in records {
        check_record(&mut report, record, totals);
    }
    report.inversions = count_inversions(experiment, ranks, records);
    report
}

impl RunsReport {
    fn add_example(&mut self, text: String) {
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(text);
        }
    }
}

fn check_record(report: &mut RunsReport, record: &CallRecord, totals: &StandinTotals) {
    let index = record.call.index;
    let recorded = record.record_name.as_ref();
    let recorded = recorded.map(|name| totals.bodies.get(name).copied().unwrap_or(0));
    let confirmed = matches!(record.verdict, CallVerdict::Good | CallVerdict::Late);
    if confirmed && recorded == Some(0) {
        report.lost_records += 1;
        report.add_example(format!("call {index} was confirmed and not recorded"));
    }
    if !record.all_not_run {
        return;
    }
    let ids = record.request_ids.iter();
    let dispatched = ids
        .filter(|id| !id.is_empty() && totals.runs.contains_key(*id))
        .count();
    if dispatched > 0 || recorded.is_some_and(|count| count > 0) {
        report.false_not_run += 1;
        report.add_example(format!("call {index} was refused as not-run and ran"));
    }
}

/// Reasons of refusals that shed load; other reasons are faults of the call itself.
const SHEDDING_REASONS: [&str; 5] = [
    "evicted",
    "entry-memory",
    "deadline-unreachable",
    "deadline-passed",
    "no-endpoint",
];

/// Counts the shed calls for which a call of a lower tier, for the same model or service, arrived
/// later and got its first token before the shed call was refused. This is the strictest definition
/// of an inversion that needs no knowledge of queues.
fn count_inversions(
    experiment: &Experiment,
    ranks: &BTreeMap<ids::TierName, ids::TierRank>,
    records: &[CallRecord],
) -> u64 {
    let rank_of = |record: &CallRecord| {
        let tier = &experiment.classes[record.call.class].tier;
        ranks.get(tier).map_or(u8::MAX, |rank| rank.0)
    };
    let overtook = |shed: &CallRecord, other: &CallRecord| {
        let end = shed.call.at + shed.total;
        let first = other.first_token.map(|first| other.call.at + first);
        rank_of(other) > rank_of(shed)
            && called_target(experiment, other) == called_target(experiment, shed)
            && other.call.at > shed.call.at
            && first.is_some_and(|first| first < end)
    };
    let shed = records.iter().filter(|record| match &record.verdict {
        CallVerdict::NotRun { reason } => SHEDDING_REASONS.contains(&reason.as_str()),
        _ => false,
    });
    // The records are sorted by arrival.
    let later = |record: &CallRecord| {
        let start = records.partition_point(|other| other.call.at <= record.call.at);
        &records[start..]
    };
    let inverted = shed.filter(|shed| {
        let end = shed.call.at + shed.total;
        let mut window = later(shed).iter().take_while(|other| other.call.at < end);
        window.any(|other| overtook(shed, other))
    });
    inverted.count() as u64
}

fn called_target<'a>(experiment: &'a Experiment, record: &CallRecord) -> &'a str {
    match &experiment.classes[record.call.class].call {
        CallPlan::Chat(chat) => chat.model.as_str(),
        CallPlan::Record(plan) => plan.service.as_str(),
    }
}

/// Returns the number of good answers that ended in each second of the run.
#[must_use]
pub fn good_by_second(records: &[CallRecord]) -> Vec<u64> {
    let good = records
        .iter()
        .filter(|record| record.verdict == CallVerdict::Good);
    let seconds: Vec<_> = good
        .map(|record| (record.call.at + record.total).as_secs() as usize)
        .collect();
    let length = seconds.iter().max().map_or(0, |last| last + 1);
    let mut counts = vec![0; length];
    for second in seconds {
        counts[second] += 1;
    }
    counts
}

/// Returns the tiers of the experiment's request classes.
#[must_use]
pub fn used_tiers(experiment: &Experiment) -> BTreeSet<ids::TierName> {
    let classes = experiment.classes.iter();
    classes.map(|class| class.tier.clone()).collect()
}
