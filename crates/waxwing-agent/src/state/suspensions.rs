//! Suspension and resumption of generations; the caller sees one answer without a break.

use waxwing_core::{counters, ids};
use waxwing_policy::admission;

use crate::{jobs, state, state::offers};

impl state::AgentCore {
    /// Stops the generation of a request and keeps the tokens so far.
    pub(super) fn suspend(&mut self, request: ids::RequestId) {
        if !self.jobs.get(&request).is_some_and(jobs::Job::can_resume) {
            return;
        }
        self.stop_run(request);
        if let Some(job) = self.jobs.get_mut(&request) {
            job.stage = jobs::JobStage::Suspended(self.now);
        }
        self.counters.count(counters::CounterEvent::Suspensions);
    }

    /// Returns the suspended request that goes on next: the highest tier, then the longest
    /// suspended.
    pub(super) fn next_suspended(&self) -> Option<(ids::RequestId, ids::TierRank)> {
        let suspended = self
            .jobs
            .iter()
            .filter_map(|(request, job)| match job.stage {
                jobs::JobStage::Suspended(since) => Some((job.terms.rank, since, *request)),
                _ => None,
            });
        let stopping = |request| self.stopping.values().any(|other| *other == request);
        let suspended = suspended.filter(|(_, _, request)| !stopping(*request));
        let (rank, _, request) = suspended.min()?;
        Some((request, rank))
    }

    /// Returns the share of the limit that a suspended request needs to go on.
    pub(super) fn resume_share(&self, job: &jobs::Job) -> admission::Reservation {
        admission::Reservation {
            context: offers::whole_blocks(job.terms.context_tokens()),
            prefill: self.expected_prefill(job),
        }
    }

    pub(super) fn resume_run(&mut self, request: ids::RequestId, share: admission::Reservation) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        job.share = Some(share);
        self.admission.admit(share);
        self.counters.count(counters::CounterEvent::Resumptions);
        self.start_run(request);
    }
}
