//! What the agent holds for one request, from the grant to the end of its retention.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use bytes::Bytes;
use waxwing_core::{ids, units};
use waxwing_policy::{admission, queue, suspension};
use waxwing_wire::messages;

use crate::{answers, events, formats};

/// An `OfferNote` is what the agent keeps with a waiting offer.
#[derive(Debug, Clone)]
pub(crate) struct OfferNote {
    pub(crate) link: events::LinkId,
    pub(crate) idempotent: bool,
    pub(crate) prefixes: Vec<u64>,
    /// Granted at once for a baseline policy; such work takes no part in suspension.
    pub(crate) immediate: bool,
}

/// A `LiveGrant` is a promise of room that ends by itself.
#[derive(Debug, Clone)]
pub(crate) struct LiveGrant {
    pub(crate) grant: ids::GrantId,
    pub(crate) ends: Instant,
    pub(crate) terms: queue::OfferTerms,
    pub(crate) note: OfferNote,
    pub(crate) cached: units::TokenCount,
    pub(crate) share: admission::Reservation,
}

/// A `JobStage` tells how far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobStage {
    /// A call to the endpoint runs.
    Running(events::RunId),
    /// The generation was stopped for a higher tier and goes on later.
    Suspended(Instant),
    /// The answer is complete, or never will be.
    Ended(Instant),
}

/// A `JobCall` is what is needed to call the endpoint, again for a resumed generation.
#[derive(Debug)]
pub(crate) struct JobCall {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<messages::HeaderField>,
    pub(crate) format: formats::CallFormat,
}

/// A `RunProgress` measures one run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunProgress {
    pub(crate) started: Instant,
    /// Prompt tokens that were ahead in the engine at the start, the own ones included.
    pub(crate) ahead: units::TokenCount,
    /// Own prompt tokens that were expected to be computed.
    pub(crate) own: units::TokenCount,
    pub(crate) first_token: Option<Instant>,
    pub(crate) last_token: Option<Instant>,
    pub(crate) usage: Option<formats::ChatUsage>,
}

impl RunProgress {
    pub(crate) fn idle(now: Instant) -> Self {
        Self {
            started: now,
            ahead: units::TokenCount::ZERO,
            own: units::TokenCount::ZERO,
            first_token: None,
            last_token: None,
            usage: None,
        }
    }
}

/// A `PrefillTally` adds up the prompt tokens that the runs of one request computed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PrefillTally {
    /// Tokens computed by all runs.
    pub(crate) computed: u64,
    /// Tokens that the first run needed.
    pub(crate) needed: u64,
}

/// A `Job` is a request that was handed over.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) link: Option<events::LinkId>,
    pub(crate) grant: ids::GrantId,
    pub(crate) detached: Option<Instant>,
    pub(crate) terms: queue::OfferTerms,
    pub(crate) note: OfferNote,
    pub(crate) claim: Option<messages::ClaimName>,
    pub(crate) share: Option<admission::Reservation>,
    pub(crate) cached: units::TokenCount,
    pub(crate) call: Option<JobCall>,
    pub(crate) reader: Option<formats::ChatReader>,
    pub(crate) stage: JobStage,
    pub(crate) answer: answers::AnswerBuffer,
    pub(crate) runs: u32,
    pub(crate) tokens: u64,
    pub(crate) progress: RunProgress,
    pub(crate) tally: PrefillTally,
    pub(crate) paused: bool,
    /// Exported KV cache of the stopped run.
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
        let reads = self.reader.is_some() && !self.note.immediate;
        self.note.idempotent && reads && format.is_some_and(formats::CallFormat::can_resume)
    }

    /// Returns what the choice of a suspension needs to know.
    pub(crate) fn running_work(&self, request: ids::RequestId) -> Option<suspension::RunningWork> {
        self.run()?;
        let share = self.share?;
        Some(suspension::RunningWork {
            request,
            rank: self.terms.rank,
            // Before its first token a call can't be continued but only sent again, which would
            // dispatch the request twice and repeat its prefill. A resumed call may still be on
            // its way to the engine, where a cancellation could overtake it.
            can_suspend: self.can_resume() && self.progress.first_token.is_some(),
            context: share.context,
            started: self.progress.started,
        })
    }

    /// Returns the output tokens that are still to come where all of the request's are expected
    /// to be `expected`; a request that ran past that is expected to end soon.
    pub(crate) fn remaining_output(&self, expected: units::TokenCount) -> units::TokenCount {
        units::TokenCount(expected.0.saturating_sub(self.tokens).max(1))
    }
}

/// The most ended requests that are remembered.
const MAX_TOMBSTONES: usize = 65_536;

/// The time for which an ended request is remembered; ten minutes, longer than any settlement.
const TOMBSTONE_LIFE: Duration = Duration::from_secs(600);

/// A `TombstoneList` remembers requests that were taken and whose answers are no longer kept, so
/// that a late settlement is never told that nothing ran.
#[derive(Debug, Default)]
pub(crate) struct TombstoneList {
    requests: HashMap<ids::RequestId, ids::GrantId>,
    order: VecDeque<(Instant, ids::RequestId)>,
    /// The highest grant whose request is forgotten; nothing can be proved up to here.
    floor: ids::GrantId,
}

impl TombstoneList {
    pub(crate) fn add(&mut self, request: ids::RequestId, grant: ids::GrantId, now: Instant) {
        if self.requests.insert(request, grant).is_none() {
            self.order.push_back((now, request));
        }
        while self.order.len() > MAX_TOMBSTONES {
            self.forget_first();
        }
    }

    pub(crate) fn contains(&self, request: ids::RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// Tells whether a request that is not remembered can be proved never to have been taken.
    /// A grant of zero is one that the asker doesn't know.
    pub(crate) fn proves_absence(&self, grant: ids::GrantId) -> bool {
        self.floor == ids::GrantId(0) || grant > self.floor
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((added, _)) = self.order.front() {
            if now.saturating_duration_since(*added) < TOMBSTONE_LIFE {
                return;
            }
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some((_, request)) = self.order.pop_front() else {
            return;
        };
        if let Some(grant) = self.requests.remove(&request) {
            self.floor = self.floor.max(grant);
        }
    }
}

/// A `JobTable` holds the requests that were handed over. Ended ones are kept apart: there are far
/// more of them, and decisions look only at open ones. Both are ordered, so that a decision which
/// walks over them is the same in every run of a test.
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

    /// Moves a request to the ended ones.
    pub(crate) fn close(&mut self, request: ids::RequestId) {
        if let Some(job) = self.open.remove(&request) {
            self.ended.insert(request, job);
        }
    }

    pub(crate) fn forget(&mut self, request: ids::RequestId) {
        self.ended.remove(&request);
    }

    /// Returns the requests that run or are suspended.
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
