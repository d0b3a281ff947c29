//! One checker for each promise. A checker reads the record of a run and names the first violation.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use smol_str::SmolStr;
use waxwing_core::{ids, reasons};

use crate::events::{self, RunEvent};

/// Time after which a leaving endpoint must receive no new work.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(4);

/// Time within which an accepted change must be in force everywhere.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(8);

/// A `SystemPromise` is one of the promises of `docs/design.md`, section 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SystemPromise {
    /// A request is dispatched at most once.
    DispatchedOnce,
    /// A higher tier is never shed before a lower tier.
    TierOrder,
    /// A caller receives the whole answer to its own request.
    WholeAnswer,
    /// A refusal that says `not-run` is true.
    TrueRefusal,
    /// A non-idempotent request runs at most once, also when it is resent.
    RunsOnce,
    /// A leaving endpoint receives no new work once a few seconds have passed.
    LeavingIdle,
    /// A graceful shutdown cuts off no request in progress.
    ShutdownWhole,
    /// An accepted change is in force everywhere within seconds and never reverts.
    SettingsForward,
}

impl SystemPromise {
    /// Every promise, in the order of the design page.
    pub const ALL: &'static [Self] = &[
        Self::DispatchedOnce,
        Self::TierOrder,
        Self::WholeAnswer,
        Self::TrueRefusal,
        Self::RunsOnce,
        Self::LeavingIdle,
        Self::ShutdownWhole,
        Self::SettingsForward,
    ];

    /// Returns the promise in words, as `docs/FAULTS.md` prints it.
    #[must_use]
    pub fn words(self) -> &'static str {
        match self {
            Self::DispatchedOnce => "dispatched at most once",
            Self::TierOrder => "higher tier never shed first",
            Self::WholeAnswer => "whole answer to its own caller",
            Self::TrueRefusal => "`not-run` is true",
            Self::RunsOnce => "non-idempotent runs at most once",
            Self::LeavingIdle => "leaving endpoint gets no new work",
            Self::ShutdownWhole => "graceful shutdown cuts nothing off",
            Self::SettingsForward => "accepted settings never revert",
        }
    }

    /// Checks the promise over a record.
    ///
    /// # Errors
    /// Fails with the first violation.
    pub fn check(self, record: &events::RunRecord) -> Result<(), PromiseViolation> {
        let detail = match self {
            Self::DispatchedOnce => dispatched_twice(record),
            Self::TierOrder => shed_out_of_order(record),
            Self::WholeAnswer => wrong_answer(record),
            Self::TrueRefusal => false_refusal(record),
            Self::RunsOnce => ran_twice(record),
            Self::LeavingIdle => work_for_leaving(record),
            Self::ShutdownWhole => cut_by_shutdown(record),
            Self::SettingsForward => settings_reverted(record),
        };
        detail.map_or(Ok(()), |detail| {
            Err(PromiseViolation {
                promise: self,
                detail,
            })
        })
    }
}

/// A `PromiseViolation` names a promise that a run broke, and the event that broke it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("broken promise, {}: {detail}", promise.words())]
pub struct PromiseViolation {
    /// The promise.
    pub promise: SystemPromise,
    /// What was observed.
    pub detail: ViolationDetail,
}

/// A `ViolationDetail` is what was observed against a promise.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ViolationDetail {
    /// A request was dispatched again.
    #[error("request {0} was dispatched twice")]
    SecondDispatch(ids::RequestId),
    /// Work was shed while lower-tier work was kept.
    #[error("rank {shed} was shed while rank {kept} was kept")]
    TierInversion {
        /// The rank that was shed.
        shed: ids::TierRank,
        /// The lower tier's rank that was kept.
        kept: ids::TierRank,
    },
    /// An answer reported as whole is not the one that belongs to the request.
    #[error("request {0} got a wrong or cut answer that was reported as whole")]
    WrongAnswer(ids::RequestId),
    /// A request that was refused as `not-run` ran.
    #[error("request {0} was refused as not-run, but it ran")]
    FalseNotRun(ids::RequestId),
    /// A non-idempotent request ran more than once.
    #[error("request {0} ran more than once")]
    SecondRun(ids::RequestId),
    /// An endpoint got work too long after it began to leave.
    #[error("endpoint {0} got new work while it was leaving")]
    WorkWhileLeaving(SmolStr),
    /// A shutdown ended a request early.
    #[error("request {0} was cut off by a shutdown")]
    CutRequest(ids::RequestId),
    /// A process took an older version after a newer one.
    #[error("process {process} went from version {from} to version {to}")]
    VersionWentBack {
        /// The process.
        process: SmolStr,
        /// The version before.
        from: ids::SettingsVersion,
        /// The version after.
        to: ids::SettingsVersion,
    },
    /// A version lacks a change that an earlier version had.
    #[error("version {version} in process {process} lost an earlier change")]
    ChangeLost {
        /// The process.
        process: SmolStr,
        /// The version.
        version: ids::SettingsVersion,
    },
    /// An accepted change is missing from the version that should hold it, or came too late.
    #[error("change {change} is not in force in process {process} in time")]
    NotInForce {
        /// The change.
        change: ids::ChangeId,
        /// The process.
        process: SmolStr,
    },
}

fn dispatched_twice(record: &events::RunRecord) -> Option<ViolationDetail> {
    let mut seen = BTreeSet::new();
    record.events.iter().find_map(|timed| match &timed.event {
        RunEvent::Dispatched { request, .. } if !seen.insert(*request) => {
            Some(ViolationDetail::SecondDispatch(*request))
        }
        _ => None,
    })
}

fn shed_out_of_order(record: &events::RunRecord) -> Option<ViolationDetail> {
    record.events.iter().find_map(|timed| match timed.event {
        RunEvent::Shed {
            rank,
            kept: Some(kept),
        } if kept > rank => Some(ViolationDetail::TierInversion { shed: rank, kept }),
        _ => None,
    })
}

fn wrong_answer(record: &events::RunRecord) -> Option<ViolationDetail> {
    record.events.iter().find_map(|timed| match timed.event {
        RunEvent::Answered {
            request,
            found,
            expected,
        } if found != expected => Some(ViolationDetail::WrongAnswer(request)),
        _ => None,
    })
}

fn runs(record: &events::RunRecord) -> BTreeMap<ids::RequestId, u32> {
    let mut counts = BTreeMap::new();
    for timed in &record.events {
        if let RunEvent::Ran { request } = timed.event {
            *counts.entry(request).or_default() += 1;
        }
    }
    counts
}

fn false_refusal(record: &events::RunRecord) -> Option<ViolationDetail> {
    let runs = runs(record);
    record.events.iter().find_map(|timed| match timed.event {
        RunEvent::Refused {
            request,
            outcome: reasons::Outcome::NotRun,
            ..
        } if runs.contains_key(&request) => Some(ViolationDetail::FalseNotRun(request)),
        _ => None,
    })
}

fn ran_twice(record: &events::RunRecord) -> Option<ViolationDetail> {
    let runs = runs(record);
    let mut keys: BTreeMap<&SmolStr, u32> = BTreeMap::new();
    for timed in &record.events {
        let RunEvent::Asked {
            request,
            idempotent,
            key,
            ..
        } = &timed.event
        else {
            continue;
        };
        let count = runs.get(request).copied().unwrap_or(0);
        if !idempotent && count > 1 {
            return Some(ViolationDetail::SecondRun(*request));
        }
        // Resends of one key are different requests that share a single run.
        if let Some(key) = key {
            let total = keys.entry(key).or_default();
            *total += count;
            if *total > 1 {
                return Some(ViolationDetail::SecondRun(*request));
            }
        }
    }
    None
}

fn work_for_leaving(record: &events::RunRecord) -> Option<ViolationDetail> {
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

fn cut_by_shutdown(record: &events::RunRecord) -> Option<ViolationDetail> {
    record.events.iter().find_map(|timed| match timed.event {
        RunEvent::CutByShutdown { request } => Some(ViolationDetail::CutRequest(request)),
        _ => None,
    })
}

fn settings_reverted(record: &events::RunRecord) -> Option<ViolationDetail> {
    version_went_back(record).or_else(|| accepted_change_missing(record))
}

/// Versions only grow in each process, and each version keeps the changes of the one before.
fn version_went_back(record: &events::RunRecord) -> Option<ViolationDetail> {
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
                return Some(ViolationDetail::VersionWentBack { process, from, to });
            }
            if !changes.starts_with(kept) {
                let (process, version) = (process.clone(), *version);
                return Some(ViolationDetail::ChangeLost { process, version });
            }
        }
    }
    None
}

fn accepted_change_missing(record: &events::RunRecord) -> Option<ViolationDetail> {
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

/// Checks every promise over a record.
///
/// # Errors
/// Fails with the first violation.
pub fn check_all(record: &events::RunRecord) -> Result<(), PromiseViolation> {
    SystemPromise::ALL
        .iter()
        .try_for_each(|promise| promise.check(record))
}
