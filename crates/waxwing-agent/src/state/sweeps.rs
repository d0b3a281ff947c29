//! Periodic checks: expired grants, missed deadlines, lost entries and stalled endpoints.

use std::time::Duration;

use waxwing_core::{ids, reasons, units};
use waxwing_policy::suspension;

use crate::{jobs, state};

/// Interval between checks of all waiting and running requests.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// How long a non-idempotent call may continue after its deadline.
const NON_IDEMPOTENT_OVERRUN: Duration = Duration::from_secs(60);

/// Safety factor on the time that a higher tier needs, applied before a lower one starts beside it.
/// Without it, the same generation is started and suspended over and over.
const START_SAFETY_FACTOR: f64 = 1.15;

/// Backoff after the first stall; it doubles with each further one.
const INITIAL_STALL_BACKOFF: Duration = Duration::from_secs(2);

/// Upper bound of the backoff after stalls.
const MAX_STALL_BACKOFF: Duration = Duration::from_secs(60);

impl state::AgentCore {
    pub(super) fn sweep(&mut self) {
        self.expire_grants();
        if self.admission.adjust(self.now) {
            self.reports.mark_changed();
        }
        self.retry_completions();
        if self.now.saturating_duration_since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = self.now;
        self.refuse_unreachable();
        self.abort_overdue();
        self.protect_deadlines();
        self.cancel_detached();
        self.detect_stall();
        self.expire_ended();
        self.limit_kept_bytes();
    }

    fn select_open(&self, predicate: impl Fn(&jobs::Job) -> bool) -> Vec<ids::RequestId> {
        let open = self.jobs.open().filter(|(_, job)| predicate(job));
        open.map(|(request, _)| request).collect()
    }

    fn abort_overdue(&mut self) {
        let now = self.now;
        let overdue = self.select_open(|job| match job.details.idempotent {
            true => job.deadline <= now,
            false => job.deadline + NON_IDEMPOTENT_OVERRUN <= now,
        });
        for request in overdue {
            self.abort(request, reasons::RefusalReason::DeadlinePassed);
        }
    }

    /// Suspends a generation of a lower tier if a running one would miss its deadline otherwise and
    /// meets it without the lower tiers. Only one per check, since each changes the token rate.
    fn protect_deadlines(&mut self) {
        let running = self.runs.len();
        let mut open = self.jobs.open().map(|(_, job)| job);
        let endangered =
            open.find(|job| self.suspension_would_save(job, running, 1.0, Duration::ZERO));
        let rank = endangered.map(|job| job.terms.rank);
        drop(open);
        if let Some(rank) = rank {
            self.suspend_for(rank, suspension::CapacityNeeded::Slot);
        }
    }

    /// Returns whether a job would miss its deadline if `running` requests shared the engine after
    /// a `delay`, but meet it if the generations of lower tiers were suspended. `margin` scales the
    /// time that the job still needs.
    fn suspension_would_save(
        &self,
        job: &jobs::Job,
        running: usize,
        margin: f64,
        delay: Duration,
    ) -> bool {
        if job.run().is_none() || job.progress.first_token.is_none() || job.details.immediate {
            return false;
        }
        let left = job.deadline.saturating_duration_since(self.now);
        let expected = self.pace.expected_output(job.terms.output_tokens);
        let output = job.remaining_output(expected);
        let needed = self
            .pace
            .batched_generation_time(output, running)
            .mul_f64(margin);
        if delay + needed <= left {
            return false;
        }
        let lower = self.count_suspendable_below(job.terms.rank);
        let concurrent = self.runs.len() - lower;
        self.pace.batched_generation_time(output, concurrent) <= left
    }

    /// Returns whether admitting a request of `rank` with `prefill` tokens would make a running one
    /// of a higher tier miss its deadline; the new one would only be suspended again.
    pub(super) fn would_endanger_higher_tier(
        &self,
        rank: ids::TierRank,
        prefill: units::TokenCount,
    ) -> bool {
        // The estimates are conservative and would leave capacity unused without overload.
        if !self.is_overloaded_above(rank) {
            return false;
        }
        let delay = self.pace.prefill_time(prefill);
        let running = self.runs.len() + self.grants.len() + 1;
        let higher = self.jobs.open().map(|(_, job)| job);
        let mut higher = higher.filter(|job| job.terms.rank < rank);
        higher.any(|job| self.suspension_would_save(job, running, START_SAFETY_FACTOR, delay))
    }

    /// Cancels idempotent requests without a claim whose entry has been disconnected for too long.
    /// Others continue, and their answers are kept for an entry that reconnects or for a retry.
    fn cancel_detached(&mut self) {
        let limit = self.limits.entry_loss();
        let now = self.now;
        let orphaned = self.select_open(|job| {
            let gone = job
                .detached
                .map(|since| now.saturating_duration_since(since));
            job.details.idempotent && job.claim.is_none() && gone.is_some_and(|gone| gone >= limit)
        });
        for request in orphaned {
            self.abort(request, reasons::RefusalReason::CallerGone);
        }
    }

    /// Aborts the runs of an engine that makes no progress, and backs off before sending new work.
    fn detect_stall(&mut self) {
        let Some(due) = self.expected_event_interval() else {
            return;
        };
        let limit = self.limits.progress_limit().max(due * 5);
        if self.pace.since_progress(self.now) < limit {
            return;
        }
        let doublings = self.stall_backoff.consecutive_stalls.min(8);
        let backoff = (INITIAL_STALL_BACKOFF * 2_u32.pow(doublings)).min(MAX_STALL_BACKOFF);
        self.stall_backoff = state::StallBackoff {
            paused_until: Some(self.now + backoff),
            consecutive_stalls: self.stall_backoff.consecutive_stalls + 1,
        };
        let streaming = |job: &jobs::Job| job.run().is_some() && job.reader.is_some();
        for request in self.select_open(streaming) {
            self.abort(request, reasons::RefusalReason::EndpointFailed);
        }
        self.refuse_waiting(reasons::RefusalReason::EndpointFailed);
    }

    /// Returns whether new offers are accepted: the endpoint is not down and not in a stall
    /// backoff.
    pub(super) fn accepts_offers(&self) -> bool {
        let paused = self
            .stall_backoff
            .paused_until
            .is_some_and(|paused_until| self.now < paused_until);
        self.health != state::EndpointHealth::Down && !paused
    }

    /// Returns whether a stall currently blocks admission: entirely during the backoff, and after
    /// it while one probe request is granted or running, until a token arrives.
    pub(super) fn is_stall_limited(&self) -> bool {
        let Some(paused_until) = self.stall_backoff.paused_until else {
            return false;
        };
        self.now < paused_until || !self.runs.is_empty() || !self.grants.is_empty()
    }

    /// Returns the time until the next [`AgentInput::Tick`](crate::events::AgentInput::Tick) is
    /// due.
    #[must_use]
    pub fn tick_interval(&self) -> Duration {
        let idle = self.queue.is_empty() && self.grants.is_empty() && self.runs.is_empty();
        match idle {
            true => SWEEP_INTERVAL,
            false => Duration::from_millis(20),
        }
    }
}
