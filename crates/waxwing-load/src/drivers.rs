//! The open-loop driver: every planned call is sent at its time on a connection of its own,
//! whatever became of the earlier ones.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use smol_str::SmolStr;
use tokio::task::JoinSet;
use waxwing_core::clock::Clock;
use waxwing_standin::{callers, errors::CallError};

use crate::{
    arrivals::PlannedCall,
    calls::{self, ExpectedAnswer},
    experiments::Experiment,
    verdicts::{self, CallVerdict},
};

/// How long a caller waits beyond its deadline before it goes away.
const CALLER_PATIENCE: Duration = Duration::from_millis(500);

/// How long a caller waits before it sends a keyed call again.
const RESEND_PAUSE: Duration = Duration::from_millis(500);

/// A `CallTargets` lists where calls are sent; a platform's balancer spreads them evenly.
#[derive(Debug, Clone, Default)]
pub struct CallTargets {
    /// Addresses for chats.
    pub chats: Vec<SocketAddr>,
    /// Addresses for records.
    pub records: Vec<SocketAddr>,
}

/// A `CallRecord` is what became of one planned call.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The call.
    pub call: PlannedCall,
    /// The verdict on the last attempt.
    pub verdict: CallVerdict,
    /// Time from sending to the first output.
    pub first_token: Option<Duration>,
    /// Times between parts of the output.
    pub gaps: Vec<Duration>,
    /// Time from sending to the end.
    pub total: Duration,
    /// The request ids of all attempts.
    pub request_ids: Vec<SmolStr>,
    /// Prompt tokens that were computed for the answer.
    pub computed_tokens: u64,
    /// The record that a register counts.
    pub record_name: Option<SmolStr>,
    /// Whether every attempt was refused as `not-run`.
    pub all_not_run: bool,
}

/// A `LoadRun` is the driver of one variant's traffic.
#[derive(Debug)]
pub struct LoadRun<C> {
    /// The experiment.
    pub experiment: Arc<Experiment>,
    /// Where calls are sent.
    pub targets: CallTargets,
    /// Tells the bodies and keys of this run from those of other runs.
    pub run: SmolStr,
    /// The clock.
    pub clock: C,
}

impl<C: Clock> LoadRun<C> {
    /// Sends all calls and returns what became of them, in the order of arrival.
    pub async fn drive(self, calls: Vec<PlannedCall>) -> Vec<CallRecord> {
        let run = Arc::new(self);
        let started = run.clock.now();
        let mut tasks = JoinSet::new();
        let mut records = Vec::with_capacity(calls.len());
        for call in calls {
            let passed = run.clock.now().saturating_duration_since(started);
            if let Some(wait) = call.at.checked_sub(passed) {
                run.clock.sleep(wait).await;
            }
            let run = run.clone();
            tasks.spawn(async move { run.make(call).await });
            while let Some(Ok(record)) = tasks.try_join_next() {
                records.push(record);
            }
        }
        while let Some(ended) = tasks.join_next().await {
            records.extend(ended);
        }
        records.sort_by_key(|record: &CallRecord| record.call.index);
        records
    }

    async fn make(&self, call: PlannedCall) -> CallRecord {
        let built = calls::build(&self.experiment, &call, &self.run);
        let class = &self.experiment.classes[call.class];
        let deadline = Duration::from_millis(class.deadline_ms);
        let record_name = match &built.expected {
            ExpectedAnswer::Record { name, .. } => Some(name.clone()),
            ExpectedAnswer::Chat { .. } => None,
        };
        let resends = class.resends;
        let mut record = CallRecord {
            call,
            verdict: CallVerdict::Failed,
            first_token: None,
            gaps: Vec::new(),
            total: Duration::ZERO,
            request_ids: Vec::new(),
            computed_tokens: 0,
            record_name,
            all_not_run: true,
        };
        for attempt in 0..=resends {
            if attempt > 0 {
                self.clock.sleep(RESEND_PAUSE).await;
            }
            self.attempt(&mut record, &built, deadline, attempt).await;
            let not_run = matches!(record.verdict, CallVerdict::NotRun { .. });
            record.all_not_run &= not_run;
            let open = matches!(
                record.verdict,
                CallVerdict::Unknown { .. } | CallVerdict::Failed | CallVerdict::Cut { .. }
            );
            if !open {
                break;
            }
        }
        record
    }

    async fn attempt(
        &self,
        record: &mut CallRecord,
        built: &calls::BuiltCall,
        deadline: Duration,
        attempt: u32,
    ) {
        let started = self.clock.now();
        let first = record.call.index.wrapping_add(u64::from(attempt));
        let answer = tokio::select! {
            answer = self.call_any(built, first) => Some(answer),
            () = self.clock.sleep(deadline + CALLER_PATIENCE) => None,
        };
        record.total = self.clock.now().saturating_duration_since(started);
        match answer {
            None => record.verdict = CallVerdict::GaveUp,
            Some(Err(_)) => record.verdict = CallVerdict::Failed,
            Some(Ok(answer)) => read_answer(record, &built.expected, &answer, deadline),
        }
    }

    /// Calls one target, or the next one if it accepts no connection, as a balancer does.
    async fn call_any(
        &self,
        built: &calls::BuiltCall,
        first: u64,
    ) -> Result<callers::CallAnswer, CallError> {
        let targets = match built.expected {
            ExpectedAnswer::Chat { .. } => &self.targets.chats,
            ExpectedAnswer::Record { .. } => &self.targets.records,
        };
        let mut last = None;
        for offset in 0..targets.len() {
            let target = targets[(first as usize + offset) % targets.len()];
            match callers::call(target, built.spec.clone(), &self.clock, None).await {
                Err(CallError::Connect(error)) => last = Some(CallError::Connect(error)),
                answer => return answer,
            }
        }
        Err(last.unwrap_or_else(|| CallError::Connect(std::io::ErrorKind::AddrNotAvailable.into())))
    }
}

fn read_answer(
    record: &mut CallRecord,
    expected: &ExpectedAnswer,
    answer: &callers::CallAnswer,
    deadline: Duration,
) {
    let reading = verdicts::judge(expected, answer, deadline);
    record.verdict = reading.verdict;
    record.computed_tokens = reading.computed_tokens;
    record.request_ids.push(answer.request_id.clone());
    let stream = matches!(expected, ExpectedAnswer::Chat { stream: true, .. });
    if stream && callers::is_answer(answer.status) {
        record.first_token = answer.first_token();
        let pairs = answer.parts.windows(2);
        record.gaps = pairs
            .map(|pair| pair[1].at.saturating_sub(pair[0].at))
            .collect();
    } else if callers::is_answer(answer.status) {
        record.first_token = Some(answer.total);
    }
}
