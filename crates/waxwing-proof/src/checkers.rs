//! One checker for each guarantee. A checker reads the history of a run and returns the first
//! violation.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use smol_str::SmolStr;
use waxwing_core::{ids, reasons};

use crate::events::{self, RunEvent};

/// Time after which a draining endpoint must receive no new work.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(4);

/// Time within which an accepted change must be in force everywhere.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(8);

/// A guarantee of the system; `docs/design.md`, section 1, lists them as promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SystemGuarantee {
    /// A request is dispatched at most once.
    DispatchedAtMostOnce,
    /// A higher tier is never shed before a lower tier.
    TierOrder,
    /// An answer reported as complete is the complete answer to the caller's own request.
    CompleteAnswer,
    /// A request that is refused as `not-run` was not executed.
    AccurateRefusal,
    /// A non-idempotent request is executed at most once, even if it is resent.
    RunsAtMostOnce,
    /// A draining endpoint receives no new work after [`LEAVING_LIMIT`].
    NoWorkWhileLeaving,
    /// A graceful shutdown interrupts no request in flight.
    GracefulShutdown,
    /// An accepted change is in force everywhere within [`IN_FORCE_LIMIT`] and is never reverted.
    MonotonicSettings,
}

impl SystemGuarantee {
    /// Every guarantee, in the order of `docs/design.md`.
    pub const ALL: &'static [Self] = &[
        Self::DispatchedAtMostOnce,
        Self::TierOrder,
        Self::CompleteAnswer,
        Self::AccurateRefusal,
        Self::RunsAtMostOnce,
        Self::NoWorkWhileLeaving,
        Self::GracefulShutdown,
        Self::MonotonicSettings,
    ];

    /// Returns the label of the guarantee in `docs/FAULTS.md`.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::DispatchedAtMostOnce => "dispatched at most once",
            Self::TierOrder => "higher tier never shed first",
            Self::CompleteAnswer => "whole answer to its own caller",
            Self::AccurateRefusal => "`not-run` is true",
            Self::RunsAtMostOnce => "non-idempotent runs at most once",
            Self::NoWorkWhileLeaving => "leaving endpoint gets no new work",
            Self::GracefulShutdown => "graceful shutdown cuts nothing off",
            Self::MonotonicSettings => "accepted settings never revert",
        }
    }

    /// Checks the guarantee against the history of a run.
    ///
    /// # Errors
    /// Returns the first violation.
    pub fn check(self, record: &events::RunRecord) -> Result<(), GuaranteeViolation> {
        let detail = match self {
            Self::DispatchedAtMostOnce => find_second_dispatch(record),
            Self::TierOrder => find_tier_inversion(record),
            Self::CompleteAnswer => find_wrong_answer(record),
            Self::AccurateRefusal => find_false_refusal(record),
            Self::RunsAtMostOnce => find_second_execution(record),
            Self::NoWorkWhileLeaving => find_work_while_leaving(record),
            Self::GracefulShutdown => find_interrupted_request(record),
            Self::MonotonicSettings => find_reverted_settings(record),
        };
        detail.map_or(Ok(()), |detail| {
            Err(GuaranteeViolation {
                guarantee: self,
                detail,
            })
        })
    }
}

/// A guarantee that a run violated, and what was observed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("violated guarantee, {}: {detail}", guarantee.label())]
pub struct GuaranteeViolation {
    /// The violated guarantee.
    pub guarantee: SystemGuarantee,
    /// The observation that violates it.
    pub detail: ViolationDetail,
}

/// The observation that violates a guarantee.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ViolationDetail {
    /// A request was dispatched more than once.
    #[error("request {0} was dispatched twice")]
    SecondDispatch(ids::RequestId),
    /// A request was shed while a request of a lower tier was kept.
    #[error("a request of rank {shed} was shed while one of rank {kept} was kept")]
    TierInversion {
        /// The tier rank of the shed request.
        shed: ids::TierRank,
        /// The tier rank of the kept request; a higher rank is a lower tier.
        kept: ids::TierRank,
    },
    /// An answer reported as complete differs from the one that belongs to the request.
    #[error("request {0} got a wrong or truncated answer that was reported as complete")]
    WrongAnswer(ids::RequestId),
    /// A request that was refused as `not-run` was executed.
    #[error("request {0} was refused as not-run but was executed")]
    ExecutedAfterNotRun(ids::RequestId),
    /// A non-idempotent request was executed more than once.
    #[error("request {0} was executed more than once")]
    SecondExecution(ids::RequestId),
    /// An endpoint received work later than [`LEAVING_LIMIT`] after it began to drain.
    #[error("endpoint {0} received new work while it was draining")]
    WorkWhileLeaving(SmolStr),
    /// A graceful shutdown interrupted a request.
    #[error("request {0} was interrupted by a graceful shutdown")]
    InterruptedRequest(ids::RequestId),
    /// A process applied an older version after a newer one.
    #[error("process {process} went from version {from} to version {to}")]
    VersionRegression {
        /// The name of the process.
        process: SmolStr,
        /// The newer version, applied first.
        from: ids::SettingsVersion,
        /// The older version, applied after it.
        to: ids::SettingsVersion,
    },
    /// A version lacks a change that an earlier version contained.
    #[error("version {version} in process {process} lost an earlier change")]
    ChangeLost {
        /// The name of the process.
        process: SmolStr,
        /// The version that lacks the change.
        version: ids::SettingsVersion,
    },
    /// An accepted change was not in force in a process within [`IN_FORCE_LIMIT`].
    #[error("change {change} was not in force in process {process} in time")]
    NotInForce {
        /// The accepted change.
        change: ids::ChangeId,
        /// The name of the process.
        process: SmolStr,
    },
}

fn find_second_dispatch(record: &events::RunRecord) -> Option<ViolationDetail> {
    let mut seen = BTreeSet::new();
    record.events.iter().find_map(|timed| match &timed.event {
        RunEvent::Dispatched { request, .. } if !seen.insert(*request) => {
            Some(ViolationDetail::SecondDispatch(*request))
        }
        _ => None,
    })
}

fn find_tier_inversion(record: &events::RunRecord) -> Option<ViolationDetail> {
    record.events.iter().find_map(|timed| match timed.event {
        RunEvent::Shed {
            rank,
            kept: Some(kept),
        } if kept > rank => Some(ViolationDetail::TierInversion { shed: rank, kept }),
        _ => None,
    })
}

fn find_wrong_answer(record: &events::RunRecord) -> Option<ViolationDetail> {
    record.events.iter().find_map(|timed| match timed.event {
        RunEvent::Answered {
            request,
            actual,
            expected,
        } if actual != expected => Some(ViolationDetail::WrongAnswer(request)),
        _ => None,
    })
}

fn count_executions(record: &events::RunRecord) -> BTreeMap<ids::RequestId, u32> {
    let mut counts = BTreeMap::new();
    for timed in &record.events {
        if let RunEvent::Executed { request } = timed.event {
            *counts.entry(request).or_default() += 1;
        }
    }
    counts
}

fn find_false_refusal(record: &events::RunRecord) -> Option<ViolationDetail> {
    let executions = count_executions(record);
    record.events.iter().find_map(|timed| match timed.event {
        RunEvent::Refused {
            request,
            outcome: reasons::Outcome::NotRun,
            ..
        } if executions.contains_key(&request) => {
            Some(ViolationDetail::ExecutedAfterNotRun(request))
        }
        _ => None,
    })
}

fn find_second_execution(record: &events::RunRecord) -> Option<ViolationDetail> {
    let executions = count_executions(record);
    let mut keys: BTreeMap<&SmolStr, u32> = BTreeMap::new();
    for timed in &record.events {
        let RunEvent::Requested {
            request,
            idempotent,
            key,
            ..
        } = &timed.event
        else {
            continue;
        };
        let count = executions.get(request).copied().unwrap_or(0);
        if !idempotent && count > 1 {
            return Some(ViolationDetail::SecondExecution(*request));
        }
        // Resends with one key are separate requests that share a single execution.
        if let Some(key) = key {
            let total = keys.entry(key).or_default();
            *total += count;
            if *total > 1 {
                return Some(ViolationDetail::SecondExecution(*request));
            }
        }
    }
    None
}

fn find_work_while_leaving(record: &events::RunRecord) -> Option<ViolationDetail> {
    let mut leaving = BTreeMap::new();
    record.events.iter().find_map(|timed| match &timed.event {
        RunEvent::Leaving { endpoint } => {
            leaving.entry(endpoint.clone()).or_insert(timed.at);
            None
        }
        RunEvent::Returned { endpoint } => {
            leaving.remove(endpoint);
            None
        }
        RunEvent::Dispatched { endpoint, .. } => leaving
            .get(endpoint)
            .filter(|since| timed.at > **since + LEAVING_LIMIT)
            .map(|_| ViolationDetail::WorkWhileLeaving(endpoint.clone())),
        _ => None,
    })
}

fn find_interrupted_request(record: &events::RunRecord) -> Option<ViolationDetail> {
    record.events.iter().find_map(|timed| match timed.event {
        RunEvent::InterruptedByShutdown { request } => {
            Some(ViolationDetail::InterruptedRequest(request))
        }
        _ => None,
    })
}

fn find_reverted_settings(record: &events::RunRecord) -> Option<ViolationDetail> {
    find_version_regression(record).or_else(|| find_missing_change(record))
}

/// Checks that in each process versions never decrease and each version keeps the changes of the
/// previous one.
fn find_version_regression(record: &events::RunRecord) -> Option<ViolationDetail> {
    let mut last: BTreeMap<&SmolStr, (ids::SettingsVersion, &[ids::ChangeId])> = BTreeMap::new();
    for timed in &record.events {
        let RunEvent::InForce {
            process,
            version,
            changes,
        } = &timed.event
        else {
            continue;
        };
        if let Some((before, kept)) = last.insert(process, (*version, changes)) {
            if *version < before {
                let (process, from, to) = (process.clone(), before, *version);
                return Some(ViolationDetail::VersionRegression { process, from, to });
            }
            if !changes.starts_with(kept) {
                let (process, version) = (process.clone(), *version);
                return Some(ViolationDetail::ChangeLost { process, version });
            }
        }
    }
    None
}

fn find_missing_change(record: &events::RunRecord) -> Option<ViolationDetail> {
    for timed in &record.events {
        let RunEvent::ChangeAccepted { change, .. } = &timed.event else {
            continue;
        };
        let due = timed.at + IN_FORCE_LIMIT;
        if due > record.end {
            continue;
        }
        for process in &record.reachable {
            if !in_force(record, process, *change, due) {
                let (change, process) = (*change, process.clone());
                return Some(ViolationDetail::NotInForce { change, process });
            }
        }
    }
    None
}

fn in_force(
    record: &events::RunRecord,
    process: &SmolStr,
    change: ids::ChangeId,
    due: Duration,
) -> bool {
    record.events.iter().any(|timed| match &timed.event {
        RunEvent::InForce {
            process: holder,
            changes,
            ..
        } => holder == process && timed.at <= due && changes.contains(&change),
        _ => false,
    })
}

/// Checks every guarantee against the history of a run.
///
/// # Errors
/// Returns the first violation.
pub fn check_all(record: &events::RunRecord) -> Result<(), GuaranteeViolation> {
    SystemGuarantee::ALL
        .iter()
        .try_for_each(|guarantee| guarantee.check(record))
}
