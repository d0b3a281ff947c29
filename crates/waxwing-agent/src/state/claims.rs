//! Completion of claims: the result of a keyed request is told to control until it is durable.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use waxwing_core::ids;
use waxwing_wire::messages;

use crate::{events, state};

/// The longest body that is stored with a claim, in bytes.
const STORED_BODY_BYTES: usize = 64 * 1024;

/// The time after which a completion without an answer is sent again; longer than the client of
/// the control hosts tries by itself.
const FIRST_RETRY: Duration = Duration::from_secs(7);

/// The longest time between two sendings.
const LONGEST_RETRY: Duration = Duration::from_secs(30);

/// The time for which a leaving agent waits for a completion to become durable. Without a control
/// quorum it may never be, and the claim then stands without a result, which is `unknown`.
const LEAVING_PATIENCE: Duration = Duration::from_secs(30);

/// An `OpenCompletion` is a result that is not yet known to be durable.
#[derive(Debug)]
struct OpenCompletion {
    since: Instant,
    message: messages::CompleteClaim,
    next: Instant,
    pause: Duration,
}

/// A `ClaimBook` holds the open completions by correlation.
#[derive(Debug, Default)]
pub(super) struct ClaimBook {
    open: BTreeMap<u64, OpenCompletion>,
    next: u64,
}

impl ClaimBook {
    /// Tells whether nothing is open, or only what control has not taken for a long time.
    pub(super) fn is_settled(&self, now: Instant) -> bool {
        let mut open = self.open.values();
        open.all(|completion| now.saturating_duration_since(completion.since) >= LEAVING_PATIENCE)
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
        let body = job.answer.whole_body(STORED_BODY_BYTES);
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
        self.claims.next += 1;
        let completion = OpenCompletion {
            since: self.now,
            message,
            next: self.now,
            pause: FIRST_RETRY,
        };
        self.claims.open.insert(self.claims.next, completion);
        self.retry_claims();
    }

    pub(super) fn retry_claims(&mut self) {
        let now = self.now;
        for (correlation, completion) in &mut self.claims.open {
            if completion.next > now {
                continue;
            }
            completion.next = now + completion.pause;
            completion.pause = (completion.pause * 2).min(LONGEST_RETRY);
            self.outputs.push(events::AgentOutput::Control {
                correlation: *correlation,
                body: messages::Body::CompleteClaim(completion.message.clone()),
            });
        }
    }

    pub(super) fn claim_completed(&mut self, correlation: u64) {
        self.claims.open.remove(&correlation);
    }
}
