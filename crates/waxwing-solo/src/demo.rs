//! The demo: the request files of both deployments through a whole fleet, with every answer
//! compared and every record counted.

use std::{
    collections::BTreeMap,
    io::{self, Write as _},
    path::Path,
    time::Duration,
};

use bytes::Bytes;
use tokio::{sync::mpsc, task::JoinSet};
use waxwing_core::{
    clock::{Clock as _, SystemClock},
    ids,
};
use waxwing_standin::{callers, servers::StandinService, simulation};

use crate::{
    deployments::Deployment,
    errors::SoloError,
    fleets::SoloFleet,
    requests::{SampleAnswer, SampleCall},
};

/// The time after which a call of the demo counts as lost.
const CALL_LIMIT: Duration = Duration::from_secs(20);

/// Runners of each speed in the demo's fleets.
const RUNNERS_EACH: u32 = 2;

/// A `DemoResult` is what became of one deployment's requests.
#[derive(Debug, Clone, Default)]
pub struct DemoResult {
    /// Calls and whole answers by tier.
    pub tiers: BTreeMap<ids::TierName, (u64, u64)>,
    /// Records that were not made exactly once.
    pub miscounted: u64,
    /// Faults in words.
    pub faults: Vec<String>,
    /// Prefill of all engines.
    pub prefill: simulation::EngineCounts,
}

impl DemoResult {
    /// Tells whether every answer was whole and every record made exactly once.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        let whole = self.tiers.values().all(|(sent, whole)| sent == whole);
        whole && self.miscounted == 0 && self.faults.is_empty()
    }
}

/// Runs the demo of all deployments and tells whether everything was whole.
///
/// # Errors
/// Fails if a fleet can't be started.
pub async fn run_all(data: &Path) -> Result<bool, SoloError> {
    let mut whole = true;
    for deployment in Deployment::ALL {
        println!("== {} ==", deployment.title());
        let result = run(deployment, &data.join(deployment.title())).await?;
        print_result(&result);
        whole &= result.is_whole();
    }
    println!(
        "{}",
        if whole {
            "all answers whole"
        } else {
            "FAULTS were seen"
        }
    );
    Ok(whole)
}

/// Runs the requests of one deployment.
///
/// # Errors
/// Fails if the fleet can't be started.
pub async fn run(deployment: Deployment, data: &Path) -> Result<DemoResult, SoloError> {
    let started = SystemClock.now();
    let fleet = SoloFleet::start(deployment.fleet(data, RUNNERS_EACH)?).await?;
    let ready = SystemClock.now().saturating_duration_since(started);
    println!(
        "{} entries, {} agents, {} control hosts, ready after {:.1} s",
        fleet.entries.len(),
        fleet.agents.len(),
        fleet.controls.len(),
        ready.as_secs_f64(),
    );
    let calls = deployment
        .requests()?
        .calls(&SystemClock.wall_millis().to_string());
    let mut result = DemoResult::default();
    let shown = calls
        .iter()
        .position(|call| matches!(call.expected, SampleAnswer::Stream(_)));
    if let Some(shown) = shown {
        let met = show(&fleet, &calls[shown]).await;
        note(&mut result, &calls[shown], met);
    }
    let mut tasks = JoinSet::new();
    for (index, call) in calls.iter().enumerate() {
        if Some(index) != shown {
            let entries = fleet.entry_addresses.clone();
            let call = call.clone();
            tasks.spawn(async move {
                let met = send(&entries, &call, index).await;
                (call, met)
            });
        }
    }
    while let Some(ended) = tasks.join_next().await {
        match ended {
            Ok((call, met)) => note(&mut result, &call, met),
            Err(error) => result.faults.push(error.to_string()),
        }
    }
    count_records(&fleet, &calls, &mut result);
    sum_prefill(&fleet, &mut result);
    fleet.stop().await;
    Ok(result)
}

fn note(result: &mut DemoResult, call: &SampleCall, met: Result<(), String>) {
    let (sent, whole) = result.tiers.entry(call.tier.clone()).or_default();
    *sent += 1;
    match met {
        Ok(()) => *whole += 1,
        Err(fault) => result.faults.push(format!("{}: {fault}", call.name)),
    }
}

/// Sends a call, and once more over another entry if its sample says so.
async fn send(
    entries: &[std::net::SocketAddr],
    call: &SampleCall,
    index: usize,
) -> Result<(), String> {
    for attempt in 0..=usize::from(call.resend) {
        let entry = entries[(index + attempt) % entries.len()];
        let answer = tokio::select! {
            answer = callers::call(entry, call.spec.clone(), &SystemClock, None) => answer,
            () = SystemClock.sleep(CALL_LIMIT) => return Err("no answer in time".to_owned()),
        };
        check(call, answer)?;
    }
    Ok(())
}

fn check(
    call: &SampleCall,
    answer: Result<callers::CallAnswer, waxwing_standin::errors::CallError>,
) -> Result<(), String> {
    let answer = answer.map_err(|error| error.to_string())?;
    if call.expected.is_met(&answer) {
        return Ok(());
    }
    let body = String::from_utf8_lossy(&answer.body);
    let end = body.floor_char_boundary(300);
    Err(format!("status {}, {}", answer.status, &body[..end]))
}

/// Sends a call and prints its text while it arrives.
async fn show(fleet: &SoloFleet, call: &SampleCall) -> Result<(), String> {
    println!("{}:", call.name);
    let (watcher, mut parts) = mpsc::unbounded_channel::<Bytes>();
    let printer = tokio::spawn(async move {
        let mut count = 0;
        while let Some(part) = parts.recv().await {
            let text = callers::ParsedChat::of_stream(&part).text;
            count += text.split_whitespace().count();
            print!("{text}");
            let _ = io::stdout().flush();
        }
        count
    });
    let entry = fleet.entry_addresses[0];
    let answer = tokio::select! {
        answer = callers::call(entry, call.spec.clone(), &SystemClock, Some(watcher)) => answer,
        () = SystemClock.sleep(CALL_LIMIT) => return Err("no answer in time".to_owned()),
    };
    let count = printer.await.unwrap_or(0);
    if let Ok(answer) = &answer {
        let first = answer.first_token().unwrap_or_default().as_millis();
        let total = answer.total.as_millis();
        println!("\n[{count} tokens, first after {first} ms, all after {total} ms]");
    }
    check(call, answer)
}

fn count_records(fleet: &SoloFleet, calls: &[SampleCall], result: &mut DemoResult) {
    let counts = fleet.records.counts();
    for call in calls {
        if let SampleAnswer::Record(_, name) = &call.expected {
            let count = counts.bodies.get(name).copied().unwrap_or(0);
            if count != 1 {
                result.miscounted += 1;
                result
                    .faults
                    .push(format!("{}: recorded {count} times", call.name));
            }
        }
    }
}

fn sum_prefill(fleet: &SoloFleet, result: &mut DemoResult) {
    for runner in &fleet.runners {
        if let StandinService::Engine(engine) = &runner.service {
            let counts = engine.counts();
            result.prefill.computed += counts.computed;
            result.prefill.cached += counts.cached;
            result.prefill.wasted_cancelled += counts.wasted_cancelled;
            result.prefill.wasted_repeated += counts.wasted_repeated;
            result.prefill.wasted_lost += counts.wasted_lost;
        }
    }
}

fn print_result(result: &DemoResult) {
    println!(
        "{:<12} {:>6} {:>6} {:>9}",
        "tier", "calls", "whole", "goodput"
    );
    for (tier, (sent, whole)) in &result.tiers {
        let share = 100.0 * *whole as f64 / (*sent).max(1) as f64;
        println!("{:<12} {sent:>6} {whole:>6} {share:>8.1}%", tier.as_str());
    }
    let prefill = &result.prefill;
    let wasted = prefill.wasted();
    let share = 100.0 * wasted as f64 / prefill.computed.max(1) as f64;
    println!(
        "prefill: {} tokens computed, {} from cache, {wasted} wasted ({share:.1}%)",
        prefill.computed, prefill.cached,
    );
    println!("records not made exactly once: {}", result.miscounted);
    for fault in &result.faults {
        println!("fault: {fault}");
    }
}
