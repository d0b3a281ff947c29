//! What time alone brings about: ended grants, missed deadlines, lost entries and endpoints
//! without progress.

use std::time::Duration;

use waxwing_core::{ids, reasons, units};
use waxwing_policy::suspension;

use crate::{jobs, state};

/// The time between looks at every waiting and running request.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// The time for which a call that must not run twice may go on after its deadline.
const OVERRUN: Duration = Duration::from_secs(60);

/// The margin on the time that a higher tier needs before a lower one starts beside it. Without
/// one, the same generation is started and suspended in turn.
const START_MARGIN: f64 = 1.15;

/// The first time without new work after a stall; it doubles with each further stall.
const STALL_PAUSE: Duration = Duration::from_secs(2);

/// The longest time without new work after stalls.
const LONGEST_STALL_PAUSE: Duration = Duration::from_secs(60);

impl state::AgentCore {
    pub(super) fn sweep(&mut self) {
        self.expire_grants();
        if self.admission.adjust(self.now) {
            self.reports.mark();
        }
        self.retry_claims();
        if self.now.saturating_duration_since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = self.now;
        self.refuse_unreachable();
        self.end_overdue();
        self.protect_deadlines();
        self.end_detached();
        self.detect_stall();
        self.forget_ended();
        self.bound_kept_bytes();
    }

    fn select(&self, chosen: impl Fn(&jobs::Job) -> bool) -> Vec<ids::RequestId> {
        let open = self.jobs.open().filter(|(_, job)| chosen(job));
        open.map(|(request, _)| request).collect()
    }

    fn end_overdue(&mut self) {
        let now = self.now;
        let overdue = self.select(|job| match job.note.idempotent {
            true => job.deadline <= now,
            false => job.deadline + OVERRUN <= now,
        });
        for request in overdue {
            self.abandon(request, reasons::RefusalReason::DeadlinePassed);
        }
    }

    /// Suspends one generation of a lower tier if a running one would miss its deadline with it
    /// and meets it without the lower tiers. One at a time, since each changes the pace.
    fn protect_deadlines(&mut self) {
        let running = self.runs.len();
        let mut open = self.jobs.open().map(|(_, job)| job);
        let saved = open.find(|job| self.lower_would_save(job, running, 1.0, Duration::ZERO));
        let rank = saved.map(|job| job.terms.rank);
        drop(open);
        if let Some(rank) = rank {
            self.suspend_for(rank, suspension::CapacityNeeded::Slot);
        }
    }

    /// Tells whether a job misses its deadline if `running` requests share the engine after a
    /// `delay`, and meets it if the generations of lower tiers are suspended instead.
    fn lower_would_save(
        &self,
        job: &jobs::Job,
        running: usize,
        margin: f64,
        delay: Duration,
    ) -> bool {
        if job.run().is_none() || job.progress.first_token.is_none() || job.note.immediate {
            return false;
        }
        let left = job.deadline.saturating_duration_since(self.now);
        let expected = self.pace.expected_output(job.terms.output_tokens);
        let output = job.remaining_output(expected);
        let needed = self
            .pace
            .generation_time_of(output, running)
            .mul_f64(margin);
        if delay + needed <= left {
            return false;
        }
        let lower = self.lower_generations(job.terms.rank);
        let beside = self.runs.len() - lower;
        self.pace.generation_time_of(output, beside) <= left
    }

    /// Tells whether one more request of `rank` with so much prefill would make a running one of
    /// a higher tier miss its deadline; it would only be suspended again.
    pub(super) fn would_endanger(&self, rank: ids::TierRank, prefill: units::TokenCount) -> bool {
        // Estimates are cautious; without a sign of overload they would keep room empty.
        if !self.is_pressed_above(rank) {
            return false;
        }
        let delay = self.pace.prefill_time(prefill);
        let running = self.runs.len() + self.grants.len() + 1;
        let higher = self.jobs.open().map(|(_, job)| job);
        let mut higher = higher.filter(|job| job.terms.rank < rank);
        higher.any(|job| self.lower_would_save(job, running, START_MARGIN, delay))
    }

    /// Cancels idempotent work whose entry has been gone for too long. Other work goes on, and
    /// its answer is kept for a resend.
    fn end_detached(&mut self) {
        let limit = self.limits.entry_loss();
        let now = self.now;
        let lost = self.select(|job| {
            let gone = job
                .detached
                .map(|since| now.saturating_duration_since(since));
            job.note.idempotent && job.claim.is_none() && gone.is_some_and(|gone| gone >= limit)
        });
        for request in lost {
            self.abandon(request, reasons::RefusalReason::CallerGone);
        }
    }

    /// Ends the runs of an engine that makes no progress, and pauses before it gets new work.
    fn detect_stall(&mut self) {
        let Some(due) = self.event_due() else {
            return;
        };
        let limit = self.limits.progress_limit().max(due * 5);
        if self.pace.quiet(self.now) < limit {
            return;
        }
        let stalls = self.stall.stalls.min(8);
        let pause = (STALL_PAUSE * 2_u32.pow(stalls)).min(LONGEST_STALL_PAUSE);
        self.stall = state::StallGuard {
            until: Some(self.now + pause),
            stalls: self.stall.stalls + 1,
        };
        let reading = |job: &jobs::Job| job.run().is_some() && job.reader.is_some();
        for request in self.select(reading) {
            self.abandon(request, reasons::RefusalReason::EndpointFailed);
        }
        self.refuse_waiting(reasons::RefusalReason::EndpointFailed);
    }

    /// Tells whether the endpoint can be expected to serve new work.
    pub(super) fn takes_offers(&self) -> bool {
        let paused = self.stall.until.is_some_and(|until| self.now < until);
        self.health != state::EndpointHealth::Down && !paused
    }

    /// Tells whether an endpoint that stalled gets no work now: none during the pause, and after
    /// it one request at a time until a token arrives.
    pub(super) fn is_held_back(&self) -> bool {
        let Some(until) = self.stall.until else {
            return false;
        };
        self.now < until || !self.runs.is_empty() || !self.grants.is_empty()
    }

    /// Returns the time until the next input of time alone is useful.
    #[must_use]
    pub fn tick_interval(&self) -> Duration {
        let idle = self.queue.is_empty() && self.grants.is_empty() && self.runs.is_empty();
        match idle {
            true => SWEEP_INTERVAL,
            false => Duration::from_millis(20),
        }
    }
}
