//! Runs an experiment: starts a fleet for each variant, sends the traffic, injects the faults and
//! builds the report.

use std::{collections::BTreeMap, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use smol_str::{SmolStr, format_smolstr};
use waxwing_core::{
    clock::{Clock as _, SystemClock},
    ids,
};
use waxwing_settings::{files, view};
use waxwing_solo::{deployments::Deployment, fleets::SoloFleet};
use waxwing_standin::{options, servers::StandinService, simulation};

use crate::{
    arrivals, drivers,
    errors::LoadError,
    experiments::{Experiment, FaultTarget, PlannedFault, RunVariant},
    fleets::StandinAddresses,
    reports::{RunReport, VariantReport},
    tallies::{self, StandinTotals},
    targets,
};

/// Delay before the traffic starts. A fleet counts as started when it serves its first call; this
/// is the time in which the agents announce themselves to all entries.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Delay after the last call before the counts are read, in which the stand-ins end cancelled work.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// A fleet that is already running, outside of this process. Without entries, a fleet is started in
/// this process for each variant.
#[derive(Debug, Clone, Default)]
pub struct ExternalFleet {
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// The stand-ins behind the entries, whose counts are read.
    pub standins: StandinAddresses,
}

/// Runs the variants of an experiment one after the other. The path of the settings file is
/// relative to `folder`.
///
/// # Errors
/// Fails if the settings are invalid or a fleet can't be started.
pub async fn run(
    experiment: Experiment,
    folder: &Path,
    external: &ExternalFleet,
) -> Result<RunReport, LoadError> {
    let settings = folder.join(experiment.settings.as_str());
    let tree: serde_json::Value = files::load(&settings)?;
    let typed: view::SettingsTree = files::load(&settings)?;
    let tiers = typed.tiers.iter();
    let ranks = tiers
        .map(|(name, tier)| (name.clone(), tier.rank))
        .collect();
    let run = VariantRun {
        experiment: Arc::new(experiment),
        tree,
        ranks,
    };
    let mut variants = Vec::new();
    for variant in &run.experiment.variants {
        eprintln!("{}: running variant {}", run.experiment.name, variant.name);
        let report = if external.entries.is_empty() {
            run.run_in_process(variant).await?
        } else {
            run.run_external(variant, external).await
        };
        variants.push(report);
    }
    Ok(RunReport {
        experiment: run.experiment.name.clone(),
        seed: run.experiment.seed,
        rate: arrivals::mean_rate(&run.experiment),
        targets: targets::evaluate(&run.experiment.targets, &variants),
        variants,
    })
}

/// Runs the variants of one experiment.
struct VariantRun {
    experiment: Arc<Experiment>,
    tree: serde_json::Value,
    ranks: BTreeMap<ids::TierName, ids::TierRank>,
}

impl VariantRun {
    async fn run_in_process(&self, variant: &RunVariant) -> Result<VariantReport, LoadError> {
        let start_error =
            |error: waxwing_solo::errors::SoloError| LoadError::Fleet(error.to_string());
        let data = tempfile::tempdir().map_err(|error| LoadError::Fleet(error.to_string()))?;
        let mut tree = self.tree.clone();
        tree["policy"]["routing"] = serde_json::to_value(variant.routing)?;
        let plan = &self.experiment.fleet;
        let runners = plan.runners.iter().flat_map(|runner| {
            let options = self.runner_options(runner.speed);
            (0..runner.count).map(move |_| options.clone())
        });
        let fleet = Deployment::Atelier.fleet_of(data.path(), runners.collect(), plan.plain);
        let mut options = fleet.map_err(start_error)?;
        options.tree = tree;
        options.entries = plan.entries;
        options.controls = plan.controls;
        let mut fleet = SoloFleet::start(options).await.map_err(start_error)?;
        SystemClock.sleep(SETTLE_TIME).await;
        let before = fleet_totals(&fleet);
        let targets = call_targets(&fleet, variant);
        let driver = tokio::spawn(self.send_calls(variant, targets));
        self.inject_faults(&mut fleet).await;
        let records = driver.await.unwrap_or_default();
        SystemClock.sleep(DRAIN_TIME).await;
        let counters = entry_counters(&fleet.entry_addresses).await;
        let totals = fleet_totals(&fleet).since(&before);
        fleet.stop().await;
        Ok(self.build_report(variant, &records, &totals, counters))
    }

    async fn run_external(&self, variant: &RunVariant, external: &ExternalFleet) -> VariantReport {
        let before = external.standins.totals(&SystemClock).await;
        let targets = drivers::CallTargets {
            chats: external.entries.clone(),
            records: external.entries.clone(),
        };
        let records = self.send_calls(variant, targets).await;
        SystemClock.sleep(DRAIN_TIME).await;
        let totals = external.standins.totals(&SystemClock).await.since(&before);
        let counters = entry_counters(&external.entries).await;
        self.build_report(variant, &records, &totals, counters)
    }

    fn runner_options(&self, speed: u32) -> options::StandinOptions {
        let plan = &self.experiment.fleet;
        let mut options = Deployment::Atelier.runner(speed, plan.time_scale);
        if let options::StandinRole::Engine(engine) = &mut options.role {
            engine.cache_tokens = waxwing_core::units::TokenCount(plan.cache_tokens);
        }
        options
    }

    fn send_calls(
        &self,
        variant: &RunVariant,
        targets: drivers::CallTargets,
    ) -> impl Future<Output = Vec<drivers::CallRecord>> + Send + use<> {
        let scale = if variant.rate_scale > 0.0 {
            variant.rate_scale
        } else {
            1.0
        };
        let calls = arrivals::schedule(&self.experiment, scale);
        let load_driver = drivers::LoadDriver {
            experiment: self.experiment.clone(),
            targets,
            run_id: format_smolstr!("{}-{:08x}", variant.name, rand::random::<u32>()),
            clock: SystemClock,
        };
        load_driver.drive(calls)
    }

    async fn inject_faults(&self, fleet: &mut SoloFleet) {
        let started = SystemClock.now();
        let mut faults = self.experiment.faults.clone();
        faults.sort_by_key(|fault| fault.at_ms);
        for fault in faults {
            let elapsed = SystemClock.now().saturating_duration_since(started);
            let at = Duration::from_millis(fault.at_ms);
            if let Some(wait) = at.checked_sub(elapsed) {
                SystemClock.sleep(wait).await;
            }
            inject_fault(fleet, &fault);
        }
    }

    fn build_report(
        &self,
        variant: &RunVariant,
        records: &[drivers::CallRecord],
        totals: &StandinTotals,
        counters: BTreeMap<SmolStr, u64>,
    ) -> VariantReport {
        VariantReport {
            name: variant.name.clone(),
            baseline: variant.is_baseline(),
            tiers: tallies::tally_tiers(&self.experiment, &self.ranks, records),
            prefill: tallies::tally_prefill(&self.experiment, records, totals),
            runs: tallies::tally_runs(&self.experiment, &self.ranks, records, totals),
            output: totals.work.output,
            output_cancelled: totals.work.output_cancelled,
            hardware: totals.hardware.clone(),
            good_by_second: tallies::good_by_second(records),
            counters,
        }
    }
}

fn call_targets(fleet: &SoloFleet, variant: &RunVariant) -> drivers::CallTargets {
    if variant.direct {
        let addresses = |runtimes: &[waxwing_solo::fleets::StandinRuntime]| {
            runtimes.iter().map(|runtime| runtime.address).collect()
        };
        return drivers::CallTargets {
            chats: addresses(&fleet.runners),
            records: addresses(&fleet.registers),
        };
    }
    drivers::CallTargets {
        chats: fleet.entry_addresses.clone(),
        records: fleet.entry_addresses.clone(),
    }
}

/// Returns the sums of the counts of all stand-ins, including those that died.
fn fleet_totals(fleet: &SoloFleet) -> StandinTotals {
    let mut totals = StandinTotals::default();
    for runner in &fleet.runners {
        if let StandinService::Engine(engine) = &runner.service {
            let counts: simulation::EngineCounts = engine.counts();
            let hardware = engine.options().hardware.as_str();
            totals.add_engine(hardware, &counts, &engine.runs());
        }
    }
    totals.add_register(&fleet.records.counts());
    totals
}

fn inject_fault(fleet: &mut SoloFleet, fault: &PlannedFault) {
    let first = fault.first as usize;
    let range = first..first + fault.count as usize;
    for index in range {
        match fault.target {
            FaultTarget::Runner => {
                if let Some(standin) = fleet.runners.get(index) {
                    standin.service.faults().apply(&fault.order);
                }
            }
            FaultTarget::Register => {
                if let Some(standin) = fleet.registers.get(index) {
                    standin.service.faults().apply(&fault.order);
                }
            }
            FaultTarget::Entry => kill_process(&mut fleet.entries, index),
            FaultTarget::Agent => kill_process(&mut fleet.agents, index),
            FaultTarget::Control => kill_process(&mut fleet.controls, index),
        }
    }
}

fn kill_process(runtimes: &mut [waxwing_solo::runtimes::RoleRuntime], index: usize) {
    if let Some(runtime) = runtimes.get_mut(index) {
        runtime.kill();
    }
}

/// Returns the sums of the nonzero counters of all entries that answer.
async fn entry_counters(entries: &[SocketAddr]) -> BTreeMap<SmolStr, u64> {
    let mut sums = BTreeMap::new();
    for entry in entries {
        let text = crate::fleets::read_text(*entry, "/metrics", &SystemClock).await;
        for line in text.unwrap_or_default().lines() {
            let Some((name, value)) = line.split_once(' ') else {
                continue;
            };
            let value = value.trim().parse().unwrap_or(0);
            if value > 0 {
                *sums.entry(SmolStr::new(name)).or_default() += value;
            }
        }
    }
    sums
}
