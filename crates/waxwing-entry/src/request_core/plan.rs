//! Description of an accepted request. It is fixed at acceptance, so that a request keeps the
//! settings version that it was accepted under.

use std::time::Instant;

use bytes::Bytes;
use waxwing_core::{ids, units};
use waxwing_policy::{choice, prefixes};
use waxwing_wire::messages;

/// The durable claim that a request with an idempotency key needs before its handover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimPlan {
    /// Account, service and idempotency key.
    pub name: messages::ClaimName,
    /// SHA-256 of method, path and body; distinguishes a retry from another request with the same
    /// key.
    pub digest: Vec<u8>,
    /// The consensus group that stores the claim.
    pub group: ids::GroupId,
}

/// Limits on the number of concurrent offers of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferLimits {
    /// Number of offers sent at first.
    pub initial: usize,
    /// Maximum number of open offers.
    pub max_open: usize,
    /// Whether agents grant at once instead of queueing the offer (baseline policies).
    pub immediate: bool,
}

/// Everything needed to offer, hand over and route an accepted request.
#[derive(Debug, Clone)]
pub struct RequestPlan {
    /// The request id.
    pub request: ids::RequestId,
    /// The client account.
    pub account: ids::AccountName,
    /// The fair-share weight of the account in thousandths.
    pub weight_millis: u32,
    /// The rank of the tier; lower is more urgent.
    pub rank: ids::TierRank,
    /// The model; `None` for a plain service.
    pub model: Option<ids::ModelName>,
    /// The service.
    pub service: ids::ServiceName,
    /// Estimated number of prompt tokens.
    pub prompt: units::TokenCount,
    /// Expected number of output tokens.
    pub output: units::TokenCount,
    /// Hashes of prompt prefixes, the longest last.
    pub prefixes: Vec<prefixes::PrefixHash>,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Whether the caller wants the answer streamed as it is generated.
    pub stream: bool,
    /// When the request was accepted.
    pub accepted: Instant,
    /// When the caller no longer needs the answer.
    pub deadline: Instant,
    /// The HTTP method.
    pub method: String,
    /// The path and query sent to the endpoint.
    pub path: String,
    /// The headers forwarded to the endpoint.
    pub headers: Vec<messages::HeaderField>,
    /// The body; emptied once an agent has accepted the handover.
    pub body: Bytes,
    /// The claim to make; `None` without an idempotency key.
    pub claim: Option<ClaimPlan>,
    /// Limits of the request's offers.
    pub offers: OfferLimits,
}

fn millis_between(now: Instant, later: Instant) -> u64 {
    let remaining = later.saturating_duration_since(now);
    u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
}

impl RequestPlan {
    /// Returns the request id as encoded in messages.
    #[must_use]
    pub fn request_bytes(&self) -> Vec<u8> {
        self.request.to_bytes().to_vec()
    }

    /// Builds the offer message as of `now`.
    #[must_use]
    pub fn offer(&self, now: Instant) -> messages::Offer {
        messages::Offer {
            request: self.request_bytes(),
            rank: u32::from(self.rank.0),
            account: self.account.to_string(),
            weight_millis: self.weight_millis,
            model: self
                .model
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            service: self.service.to_string(),
            prompt_tokens: self.prompt.0,
            output_tokens: self.output.0,
            prefix_hashes: self.prefixes.iter().map(|prefix| prefix.hash).collect(),
            deadline_millis: millis_between(now, self.deadline),
            idempotent: self.idempotent,
            waited_millis: millis_between(self.accepted, now),
            immediate: self.offers.immediate,
            body_bytes: self.body.len() as u64,
        }
    }

    /// Builds the handover message for a grant as of `now`.
    #[must_use]
    pub fn handover(&self, now: Instant, grant: u64) -> messages::Handover {
        messages::Handover {
            request: self.request_bytes(),
            grant,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            deadline_millis: millis_between(now, self.deadline),
            claim: self.claim.as_ref().map(|claim| claim.name.clone()),
        }
    }

    /// Builds the input of a routing policy: how many endpoints to choose, which to leave out, and
    /// which have a prefix cached.
    #[must_use]
    pub fn demand<'a>(
        &self,
        affinity: &'a [choice::AffinityHint],
        excluded: &'a [choice::EndpointId],
        count: usize,
    ) -> choice::ChoiceDemand<'a> {
        choice::ChoiceDemand {
            rank: self.rank,
            prompt: self.prompt,
            affinity,
            excluded,
            count,
        }
    }
}
