//! The demo: sends the request files of both deployments through a whole fleet, compares every
//! answer with the expected one and counts every record.

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

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of stand-in engines of each speed.
const RUNNERS_PER_SPEED: u32 = 2;

/// The result of the requests of one deployment.
#[derive(Debug, Clone, Default)]
pub struct DemoResult {
    /// By tier, the number of calls and of complete answers.
    pub tiers: BTreeMap<ids::TierName, (u64, u64)>,
    /// Number of records that were not made exactly once.
    pub wrong_record_counts: u64,
    /// A description of each failure.
    pub failures: Vec<String>,
    /// Prefill of all engines, in tokens; the other counts stay 0.
    pub prefill: simulation::EngineCounts,
}

impl DemoResult {
    /// Tells whether every answer was complete and every record was made exactly once.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let complete = self.tiers.values().all(|(sent, complete)| sent == complete);
        complete && self.wrong_record_counts == 0 && self.failures.is_empty()
    }
}

/// Runs the demo of all deployments and tells whether all of them succeeded.
///
/// # Errors
/// Fails if a fleet can't be started.
pub async fn run_all(data: &Path) -> Result<bool, SoloError> {
    let mut complete = true;
    for deployment in Deployment::ALL {
        println!("== {} ==", deployment.title());
        let result = run(deployment, &data.join(deployment.title())).await?;
        print_result(&result);
        complete &= result.is_complete();
    }
    println!(
        "{}",
        if complete {
            "all answers whole"
        } else {
            "FAULTS were seen"
        }
    );
    Ok(complete)
}

/// Starts the fleet of one deployment, sends its requests and stops the fleet.
///
/// # Errors
/// Fails if the fleet can't be started.
pub async fn run(deployment: Deployment, data: &Path) -> Result<DemoResult, SoloError> {
    let started = SystemClock.now();
    let fleet = SoloFleet::start(deployment.fleet(data, RUNNERS_PER_SPEED)?).await?;
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
    let streamed = calls
        .iter()
        .position(|call| matches!(call.expected, SampleAnswer::Stream(_)));
    if let Some(streamed) = streamed {
        let outcome = send_and_print(&fleet, &calls[streamed]).await;
        record_outcome(&mut result, &calls[streamed], outcome);
    }
    let mut tasks = JoinSet::new();
    for (index, call) in calls.iter().enumerate() {
        if Some(index) != streamed {
            let entries = fleet.entry_addresses.clone();
            let call = call.clone();
            tasks.spawn(async move {
                let outcome = send_call(&entries, &call, index).await;
                (call, outcome)
            });
        }
    }
    while let Some(ended) = tasks.join_next().await {
        match ended {
            Ok((call, outcome)) => record_outcome(&mut result, &call, outcome),
            Err(error) => result.failures.push(error.to_string()),
        }
    }
    count_records(&fleet, &calls, &mut result);
    sum_prefill(&fleet, &mut result);
    fleet.stop().await;
    Ok(result)
}

fn record_outcome(result: &mut DemoResult, call: &SampleCall, outcome: Result<(), String>) {
    let (sent, complete) = result.tiers.entry(call.tier.clone()).or_default();
    *sent += 1;
    match outcome {
        Ok(()) => *complete += 1,
        Err(failure) => result.failures.push(format!("{}: {failure}", call.name)),
    }
}

/// Sends a call, and resends it through another entry if its sample says so.
async fn send_call(
    entries: &[std::net::SocketAddr],
    call: &SampleCall,
    index: usize,
) -> Result<(), String> {
    for attempt in 0..=usize::from(call.resend) {
        let entry = entries[(index + attempt) % entries.len()];
        let answer = tokio::select! {
            answer = callers::call(entry, call.spec.clone(), &SystemClock, None) => answer,
            () = SystemClock.sleep(CALL_TIMEOUT) => return Err("no answer in time".to_owned()),
        };
        check_answer(call, answer)?;
    }
    Ok(())
}

fn check_answer(
    call: &SampleCall,
    answer: Result<callers::CallAnswer, waxwing_standin::errors::CallError>,
) -> Result<(), String> {
    let answer = answer.map_err(|error| error.to_string())?;
    if call.expected.is_satisfied_by(&answer) {
        return Ok(());
    }
    let body = String::from_utf8_lossy(&answer.body);
    let end = body.floor_char_boundary(300);
    Err(format!("status {}, {}", answer.status, &body[..end]))
}

/// Sends a streamed call and prints its text while it arrives.
async fn send_and_print(fleet: &SoloFleet, call: &SampleCall) -> Result<(), String> {
    println!("{}:", call.name);
    let (watcher, mut chunks) = mpsc::unbounded_channel::<Bytes>();
    let printer = tokio::spawn(async move {
        let mut count = 0;
        while let Some(chunk) = chunks.recv().await {
            let text = callers::ParsedChat::from_stream(&chunk).text;
            count += text.split_whitespace().count();
            print!("{text}");
            let _ = io::stdout().flush();
        }
        count
    });
    let entry = fleet.entry_addresses[0];
    let answer = tokio::select! {
        answer = callers::call(entry, call.spec.clone(), &SystemClock, Some(watcher)) => answer,
        () = SystemClock.sleep(CALL_TIMEOUT) => return Err("no answer in time".to_owned()),
    };
    let count = printer.await.unwrap_or(0);
    if let Ok(answer) = &answer {
        let first = answer.first_token().unwrap_or_default().as_millis();
        let total = answer.total.as_millis();
        println!("\n[{count} tokens, first after {first} ms, all after {total} ms]");
    }
    check_answer(call, answer)
}

fn count_records(fleet: &SoloFleet, calls: &[SampleCall], result: &mut DemoResult) {
    let counts = fleet.records.counts();
    for call in calls {
        if let SampleAnswer::Record(_, name) = &call.expected {
            let count = counts.bodies.get(name).copied().unwrap_or(0);
            if count != 1 {
                result.wrong_record_counts += 1;
                result
                    .failures
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
    for (tier, (sent, complete)) in &result.tiers {
        let share = 100.0 * *complete as f64 / (*sent).max(1) as f64;
        println!(
            "{:<12} {sent:>6} {complete:>6} {share:>8.1}%",
            tier.as_str()
        );
    }
    let prefill = &result.prefill;
    let wasted = prefill.wasted();
    let share = 100.0 * wasted as f64 / prefill.computed.max(1) as f64;
    println!(
        "prefill: {} tokens computed, {} from cache, {wasted} wasted ({share:.1}%)",
        prefill.computed, prefill.cached,
    );
    println!(
        "records not made exactly once: {}",
        result.wrong_record_counts
    );
    for failure in &result.failures {
        println!("fault: {failure}");
    }
}
