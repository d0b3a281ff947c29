//! Suspension and resumption of generations; the caller still receives one continuous answer.

use bytes::Bytes;
use waxwing_core::{counters, ids, units};
use waxwing_policy::admission;

use crate::{events, jobs, state, state::offers};

/// Prompt length below which recomputing the KV cache is cheaper than one call to export it and one
/// to import it.
const MIN_EXPORT_TOKENS: units::TokenCount = units::TokenCount(512);

impl state::AgentCore {
    /// Suspends the generation of a request, if that is possible; the tokens so far are kept.
    pub(super) fn suspend(&mut self, request: ids::RequestId) {
        let can_suspend = |job: &&jobs::Job| {
            job.running_request(request)
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

    /// Records that the cancellation of a run is over, confirmed or given up, so that the request
    /// may run again. The exported KV cache is kept if it fits into the limit on buffered bytes.
    pub(super) fn run_stopped(&mut self, run: events::RunId, kv: Option<Bytes>) {
        let Some(request) = self.stopping.remove(&run) else {
            return;
        };
        let exported_bytes = self.jobs.open().filter_map(|(_, job)| job.kv.as_ref());
        let exported_bytes: usize = exported_bytes.map(Bytes::len).sum();
        let limit = self.limits.kept_bytes.0;
        let kv = kv.filter(|kv| (exported_bytes + kv.len()) as u64 <= limit);
        if let Some(job) = self.jobs.get_mut(request)
            && matches!(job.stage, jobs::JobStage::Suspended(_))
        {
            job.kv = kv;
        }
    }

    /// Returns the suspended request to resume next: the highest tier, then the longest suspended.
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

    /// Returns the reservation that a suspended request needs to resume.
    pub(super) fn resume_reservation(&self, job: &jobs::Job) -> admission::Reservation {
        admission::Reservation {
            context: offers::whole_blocks(job.terms.context_tokens()),
            prefill: self.expected_prefill(job),
        }
    }

    pub(super) fn resume_run(
        &mut self,
        request: ids::RequestId,
        reservation: admission::Reservation,
    ) {
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        job.reservation = Some(reservation);
        self.admission.admit(reservation);
        self.counters.count(counters::CounterEvent::Resumptions);
        self.start_run(request);
    }
}
