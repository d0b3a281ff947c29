//! The open-loop driver: sends every planned call at its scheduled time on its own connection,
//! regardless of the outcome of earlier calls.

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

/// Time beyond the deadline after which a caller closes its connection.
const CALLER_GRACE: Duration = Duration::from_millis(500);

/// Delay before a caller resends a call.
const RESEND_DELAY: Duration = Duration::from_millis(500);

/// Addresses to which calls are sent, in turn, as a load balancer in front of them would.
#[derive(Debug, Clone, Default)]
pub struct CallTargets {
    /// Addresses that serve chats.
    pub chats: Vec<SocketAddr>,
    /// Addresses that serve records.
    pub records: Vec<SocketAddr>,
}

/// The result of one planned call with all its attempts.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The planned call.
    pub call: PlannedCall,
    /// The verdict on the last attempt.
    pub verdict: CallVerdict,
    /// Time from sending to the first output of the last answered attempt, or to its end if the
    /// answer is not streamed.
    pub first_token: Option<Duration>,
    /// Times between the received parts of a streamed answer.
    pub gaps: Vec<Duration>,
    /// Time from sending the last attempt to its end.
    pub total: Duration,
    /// Request ids of all attempts that got a response.
    pub request_ids: Vec<SmolStr>,
    /// Prompt tokens computed for the answer, without those found in the prefix cache.
    pub computed_tokens: u64,
    /// Name under which a register counts the record; none for chats.
    pub record_name: Option<SmolStr>,
    /// Whether every attempt was refused as `not-run`.
    pub all_not_run: bool,
}

/// Sends the traffic of one variant.
#[derive(Debug)]
pub struct LoadDriver<C> {
    /// The experiment to which the calls belong.
    pub experiment: Arc<Experiment>,
    /// Addresses to which calls are sent.
    pub targets: CallTargets,
    /// Distinguishes the record bodies and idempotency keys of this run from those of other runs.
    pub run_id: SmolStr,
    /// The clock that schedules the calls and times the answers.
    pub clock: C,
}

impl<C: Clock> LoadDriver<C> {
    /// Sends all calls and returns their results, in order of arrival.
    pub async fn drive(self, calls: Vec<PlannedCall>) -> Vec<CallRecord> {
        let driver = Arc::new(self);
        let started = driver.clock.now();
        let mut tasks = JoinSet::new();
        let mut records = Vec::with_capacity(calls.len());
        for call in calls {
            let elapsed = driver.clock.now().saturating_duration_since(started);
            if let Some(wait) = call.at.checked_sub(elapsed) {
                driver.clock.sleep(wait).await;
            }
            let driver = driver.clone();
            tasks.spawn(async move { driver.execute(call).await });
            while let Some(Ok(record)) = tasks.try_join_next() {
                records.push(record);
            }
        }
        while let Some(joined) = tasks.join_next().await {
            records.extend(joined);
        }
        records.sort_by_key(|record: &CallRecord| record.call.index);
        records
    }

    async fn execute(&self, call: PlannedCall) -> CallRecord {
        let built = calls::build(&self.experiment, &call, &self.run_id);
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
                self.clock.sleep(RESEND_DELAY).await;
            }
            self.send_attempt(&mut record, &built, deadline, attempt)
                .await;
            let not_run = matches!(record.verdict, CallVerdict::NotRun { .. });
            record.all_not_run &= not_run;
            let may_resend = matches!(
                record.verdict,
                CallVerdict::Unknown { .. } | CallVerdict::Failed | CallVerdict::Cut { .. }
            );
            if !may_resend {
                break;
            }
        }
        record
    }

    async fn send_attempt(
        &self,
        record: &mut CallRecord,
        built: &calls::BuiltCall,
        deadline: Duration,
        attempt: u32,
    ) {
        let started = self.clock.now();
        let first_target = record.call.index.wrapping_add(u64::from(attempt));
        let answer = tokio::select! {
            answer = self.call_reachable(built, first_target) => Some(answer),
            () = self.clock.sleep(deadline + CALLER_GRACE) => None,
        };
        record.total = self.clock.now().saturating_duration_since(started);
        match answer {
            None => record.verdict = CallVerdict::GaveUp,
            Some(Err(_)) => record.verdict = CallVerdict::Failed,
            Some(Ok(answer)) => record_answer(record, &built.expected, &answer, deadline),
        }
    }

    /// Calls the first reachable target, starting at `first_target`, as a load balancer would.
    async fn call_reachable(
        &self,
        built: &calls::BuiltCall,
        first_target: u64,
    ) -> Result<callers::CallAnswer, CallError> {
        let targets = match built.expected {
            ExpectedAnswer::Chat { .. } => &self.targets.chats,
            ExpectedAnswer::Record { .. } => &self.targets.records,
        };
        let mut last_error = None;
        for offset in 0..targets.len() {
            let target = targets[(first_target as usize + offset) % targets.len()];
            match callers::call(target, built.spec.clone(), &self.clock, None).await {
                Err(CallError::Connect(error)) => last_error = Some(CallError::Connect(error)),
                answer => return answer,
            }
        }
        Err(last_error
            .unwrap_or_else(|| CallError::Connect(std::io::ErrorKind::AddrNotAvailable.into())))
    }
}

fn record_answer(
    record: &mut CallRecord,
    expected: &ExpectedAnswer,
    answer: &callers::CallAnswer,
    deadline: Duration,
) {
    let checked = verdicts::check(expected, answer, deadline);
    record.verdict = checked.verdict;
    record.computed_tokens = checked.computed_tokens;
    record.request_ids.push(answer.request_id.clone());
    let streamed = matches!(expected, ExpectedAnswer::Chat { stream: true, .. });
    if streamed && callers::is_success_status(answer.status) {
        record.first_token = answer.first_token();
        let pairs = answer.parts.windows(2);
        record.gaps = pairs
            .map(|pair| pair[1].at.saturating_sub(pair[0].at))
            .collect();
    } else if callers::is_success_status(answer.status) {
        record.first_token = Some(answer.total);
    }
}
