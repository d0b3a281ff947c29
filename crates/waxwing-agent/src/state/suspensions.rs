//! Suspension and resumption of generations; the caller sees one answer without a break.

use bytes::Bytes;
use waxwing_core::{counters, ids, units};
use waxwing_policy::admission;

use crate::{events, jobs, state, state::offers};

/// Prompt tokens below which computing again is cheaper than two calls for export and import.
const MIN_EXPORT_TOKENS: units::TokenCount = units::TokenCount(512);

impl state::AgentCore {
    /// Stops the generation of a request and keeps the tokens so far.
    pub(super) fn suspend(&mut self, request: ids::RequestId) {
        let can_suspend = |job: &&jobs::Job| {
            job.running_work(request)
                .is_some_and(|work| work.can_suspend)
        };
        let Some(job) = self.jobs.get(request).filter(can_suspend) else {
            return;
        };
        let computed = job.progress.first_token.is_some();
        let export = computed && job.terms.prompt_tokens >= MIN_EXPORT_TOKENS;
        self.stop_run(request, export);
        if let Some(job) = self.jobs.get_mut(request) {
            job.stage = jobs::JobStage::Suspended(self.now);
        }
        self.counters.count(counters::CounterEvent::Suspensions);
    }

    /// Notes that the endpoint has answered a cancellation; the request may run again.
    pub(super) fn run_stopped(&mut self, run: events::RunId, kv: Option<Bytes>) {
        let Some(request) = self.stopping.remove(&run) else {
            return;
        };
        let held = self.jobs.open().filter_map(|(_, job)| job.kv.as_ref());
        let held: usize = held.map(Bytes::len).sum();
        let bound = self.limits.kept_bytes.0;
        let kv = kv.filter(|kv| (held + kv.len()) as u64 <= bound);
        if let Some(job) = self.jobs.get_mut(request)
            && matches!(job.stage, jobs::JobStage::Suspended(_))
        {
            job.kv = kv;
        }
    }

    /// Returns the suspended request that goes on next: the highest tier, then the longest
    /// suspended.
    pub(super) fn next_suspended(&self) -> Option<(ids::RequestId, ids::TierRank)> {
        let suspended = self
            .jobs
            .open()
            .filter_map(|(request, job)| match job.stage {
                jobs::JobStage::Suspended(since) => Some((job.terms.rank, since, request)),
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
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        job.share = Some(share);
        self.admission.admit(share);
        self.counters.count(counters::CounterEvent::Resumptions);
        self.start_run(request);
    }
}
