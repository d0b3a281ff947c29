//! Per-request state, from the grant to the end of its retention.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use bytes::Bytes;
use waxwing_core::{ids, units};
use waxwing_policy::{admission, queue, suspension};
use waxwing_wire::messages;

use crate::{answers, events, formats};

/// The data of an offer that the queue itself doesn't need.
#[derive(Debug, Clone)]
pub(crate) struct OfferDetails {
    pub(crate) link: events::LinkId,
    pub(crate) idempotent: bool,
    pub(crate) prefixes: Vec<u64>,
    /// Granted immediately, for a baseline policy; excluded from suspension.
    pub(crate) immediate: bool,
}

/// A time-limited grant: capacity reserved for a request until it is handed over.
#[derive(Debug, Clone)]
pub(crate) struct LiveGrant {
    pub(crate) grant: ids::GrantId,
    pub(crate) expires_at: Instant,
    pub(crate) terms: queue::OfferTerms,
    pub(crate) details: OfferDetails,
    pub(crate) cached: units::TokenCount,
    pub(crate) reservation: admission::Reservation,
}

/// The state of a request that was handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobStage {
    /// A call to the endpoint is in progress.
    Running(events::RunId),
    /// The generation was stopped in favour of a higher tier and resumes later.
    Suspended(Instant),
    /// The answer is complete, or failed.
    Ended(Instant),
}

/// The data of the call to the endpoint, kept so that a suspended generation can be resumed.
#[derive(Debug)]
pub(crate) struct JobCall {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<messages::HeaderField>,
    pub(crate) format: formats::CallFormat,
}

/// Progress measurements of one run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunProgress {
    pub(crate) started: Instant,
    /// Prompt tokens that the engine had to compute before the first token of this run, its own
    /// included.
    pub(crate) prefill_ahead: units::TokenCount,
    /// Tokens of this request that the run was expected to prefill.
    pub(crate) own_prefill: units::TokenCount,
    pub(crate) first_token: Option<Instant>,
    pub(crate) last_token: Option<Instant>,
    pub(crate) usage: Option<formats::ChatUsage>,
}

impl RunProgress {
    pub(crate) fn idle(now: Instant) -> Self {
        Self {
            started: now,
            prefill_ahead: units::TokenCount::ZERO,
            own_prefill: units::TokenCount::ZERO,
            first_token: None,
            last_token: None,
            usage: None,
        }
    }
}

/// Prefill totals of all runs of one request, in tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PrefillTotals {
    /// Tokens that all runs together computed.
    pub(crate) computed: u64,
    /// Tokens that the first run needed.
    pub(crate) needed: u64,
}

/// A request that was handed over.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) link: Option<events::LinkId>,
    pub(crate) grant: ids::GrantId,
    /// When the link to the entry was lost.
    pub(crate) detached: Option<Instant>,
    pub(crate) terms: queue::OfferTerms,
    pub(crate) details: OfferDetails,
    pub(crate) claim: Option<messages::ClaimName>,
    pub(crate) reservation: Option<admission::Reservation>,
    pub(crate) cached: units::TokenCount,
    pub(crate) call: Option<JobCall>,
    pub(crate) reader: Option<formats::ChatReader>,
    pub(crate) stage: JobStage,
    pub(crate) answer: answers::AnswerBuffer,
    pub(crate) runs: u32,
    /// Output tokens received from all runs.
    pub(crate) tokens: u64,
    pub(crate) progress: RunProgress,
    pub(crate) prefill_totals: PrefillTotals,
    /// Whether reading from the endpoint is paused until the entry acknowledges more.
    pub(crate) paused: bool,
    /// Exported KV cache of the suspended run.
    pub(crate) kv: Option<Bytes>,
    pub(crate) deadline: Instant,
}

impl Job {
    pub(crate) fn is_ended(&self) -> bool {
        matches!(self.stage, JobStage::Ended(_))
    }

    pub(crate) fn run(&self) -> Option<events::RunId> {
        match self.stage {
            JobStage::Running(run) => Some(run),
            _ => None,
        }
    }

    pub(crate) fn can_resume(&self) -> bool {
        let format = self.call.as_ref().map(|call| &call.format);
        let suspendable = self.reader.is_some() && !self.details.immediate;
        self.details.idempotent
            && suspendable
            && format.is_some_and(formats::CallFormat::can_resume)
    }

    /// Returns the job as a candidate for suspension; `None` if it isn't running.
    pub(crate) fn running_request(
        &self,
        request: ids::RequestId,
    ) -> Option<suspension::RunningRequest> {
        self.run()?;
        let reservation = self.reservation?;
        Some(suspension::RunningRequest {
            request,
            rank: self.terms.rank,
            // Before its first token a call can only be sent again, which would dispatch the
            // request twice and repeat its prefill. A resumed call without a token may still be in
            // transit to the engine, and the cancellation could overtake it.
            can_suspend: self.can_resume() && self.progress.first_token.is_some(),
            context: reservation.context,
            started: self.progress.started,
        })
    }

    /// Returns the output tokens still to come if `expected` are expected in total. The result is
    /// at least one: a request that exceeded the estimate is expected to end soon.
    pub(crate) fn remaining_output(&self, expected: units::TokenCount) -> units::TokenCount {
        units::TokenCount(expected.0.saturating_sub(self.tokens).max(1))
    }
}

/// Limit of remembered requests.
const MAX_TOMBSTONES: usize = 65_536;

/// How long a removed request is remembered: ten minutes, longer than an entry takes to settle a
/// handover.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

/// Remembers requests that were handed over and whose answers are no longer kept, so that a late
/// settlement query is never told that nothing ran.
#[derive(Debug, Default)]
pub(crate) struct TombstoneList {
    requests: HashMap<ids::RequestId, ids::GrantId>,
    order: VecDeque<(Instant, ids::RequestId)>,
    /// The highest grant among evicted tombstones. For grants up to this one, the absence of a
    /// tombstone proves nothing.
    evicted_up_to: ids::GrantId,
}

impl TombstoneList {
    pub(crate) fn add(&mut self, request: ids::RequestId, grant: ids::GrantId, now: Instant) {
        if self.requests.insert(request, grant).is_none() {
            self.order.push_back((now, request));
        }
        while self.order.len() > MAX_TOMBSTONES {
            self.evict_oldest();
        }
    }

    pub(crate) fn contains(&self, request: ids::RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// Returns whether the absence of a tombstone proves that a request was never handed over. A
    /// `grant` of zero means that the peer doesn't know its grant.
    pub(crate) fn proves_absence(&self, grant: ids::GrantId) -> bool {
        self.evicted_up_to == ids::GrantId(0) || grant > self.evicted_up_to
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((added, _)) = self.order.front() {
            if now.saturating_duration_since(*added) < TOMBSTONE_RETENTION {
                return;
            }
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((_, request)) = self.order.pop_front() else {
            return;
        };
        if let Some(grant) = self.requests.remove(&request) {
            self.evicted_up_to = self.evicted_up_to.max(grant);
        }
    }
}

/// The requests that were handed over. Ended ones are stored separately: there are far more of
/// them, and scheduling looks only at open ones. Both maps are ordered, so that decisions which
/// iterate over them are deterministic in tests.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    open: BTreeMap<ids::RequestId, Job>,
    ended: BTreeMap<ids::RequestId, Job>,
}

impl JobTable {
    pub(crate) fn insert(&mut self, request: ids::RequestId, job: Job) {
        self.open.insert(request, job);
    }

    pub(crate) fn contains(&self, request: ids::RequestId) -> bool {
        self.get(request).is_some()
    }

    pub(crate) fn get(&self, request: ids::RequestId) -> Option<&Job> {
        self.open.get(&request).or_else(|| self.ended.get(&request))
    }

    pub(crate) fn get_mut(&mut self, request: ids::RequestId) -> Option<&mut Job> {
        match self.open.get_mut(&request) {
            Some(job) => Some(job),
            None => self.ended.get_mut(&request),
        }
    }

    /// Moves a request from the open to the ended ones.
    pub(crate) fn close(&mut self, request: ids::RequestId) {
        if let Some(job) = self.open.remove(&request) {
            self.ended.insert(request, job);
        }
    }

    pub(crate) fn drop_ended(&mut self, request: ids::RequestId) {
        self.ended.remove(&request);
    }

    /// Returns the running and suspended requests.
    pub(crate) fn open(&self) -> impl Iterator<Item = (ids::RequestId, &Job)> + Clone {
        self.open.iter().map(|(request, job)| (*request, job))
    }

    pub(crate) fn ended(&self) -> impl Iterator<Item = (ids::RequestId, &Job)> {
        self.ended.iter().map(|(request, job)| (*request, job))
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &Job> {
        self.open.values().chain(self.ended.values())
    }

    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.open.values_mut().chain(self.ended.values_mut())
    }
}
