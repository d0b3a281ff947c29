//! Completion of idempotency-key claims: the result of a request that has a claim is sent to
//! the control hosts until they confirm that it is durable.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use waxwing_core::ids;
use waxwing_wire::messages;

use crate::{events, state};

/// Size limit of a response body stored with a claim, in bytes; a larger body is left out.
const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Delay before the first retry of an unconfirmed completion; longer than the control client's own
/// retries.
const INITIAL_RETRY_DELAY: Duration = Duration::from_secs(7);

/// Upper bound of the delay between two sends of a completion.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// How long an agent that shuts down waits for a completion to become durable. Without a control
/// quorum it never may, and the claim then keeps no result, which reads as `unknown`.
const SHUTDOWN_WAIT: Duration = Duration::from_secs(30);

/// A result that is not yet known to be durable.
#[derive(Debug)]
struct PendingCompletion {
    started_at: Instant,
    message: messages::CompleteClaim,
    next_attempt: Instant,
    retry_delay: Duration,
}

/// The pending completions by correlation number.
#[derive(Debug, Default)]
pub(super) struct CompletionTable {
    pending: BTreeMap<u64, PendingCompletion>,
    last_correlation: u64,
}

impl CompletionTable {
    /// Returns whether no completion is pending, apart from those that control has left unconfirmed
    /// for [`SHUTDOWN_WAIT`].
    pub(super) fn is_settled(&self, now: Instant) -> bool {
        let mut pending = self.pending.values();
        pending
            .all(|completion| now.saturating_duration_since(completion.started_at) >= SHUTDOWN_WAIT)
    }
}

impl state::AgentCore {
    pub(super) fn complete_claim(&mut self, request: ids::RequestId) {
        let Some(job) = self.jobs.get(request) else {
            return;
        };
        let (Some(name), Some(end)) = (job.claim.clone(), job.answer.end()) else {
            return;
        };
        let (status, headers) = job.answer.head().unwrap_or((0, &[]));
        let body = job.answer.complete_body(MAX_STORED_BODY_BYTES);
        let result = messages::ClaimOutcome {
            whole: end.whole,
            status,
            headers: headers.to_vec(),
            body: body.filter(|_| end.whole),
        };
        let message = messages::CompleteClaim {
            name: Some(name),
            request: request.to_bytes().to_vec(),
            result: Some(result),
            group: 0,
        };
        self.completions.last_correlation += 1;
        let completion = PendingCompletion {
            started_at: self.now,
            message,
            next_attempt: self.now,
            retry_delay: INITIAL_RETRY_DELAY,
        };
        self.completions
            .pending
            .insert(self.completions.last_correlation, completion);
        self.retry_completions();
    }

    pub(super) fn retry_completions(&mut self) {
        let now = self.now;
        for (correlation, completion) in &mut self.completions.pending {
            if completion.next_attempt > now {
                continue;
            }
            completion.next_attempt = now + completion.retry_delay;
            completion.retry_delay = (completion.retry_delay * 2).min(MAX_RETRY_DELAY);
            self.outputs.push(events::AgentOutput::Control {
                correlation: *correlation,
                body: messages::Body::CompleteClaim(completion.message.clone()),
            });
        }
    }

    pub(super) fn claim_completed(&mut self, correlation: u64) {
        self.completions.pending.remove(&correlation);
    }
}
