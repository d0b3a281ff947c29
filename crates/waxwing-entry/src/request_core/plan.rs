//! What is known of a request when it is accepted. It doesn't change afterwards, so that a request
//! keeps the settings version it was accepted under.

use std::time::Instant;

use bytes::Bytes;
use waxwing_core::{ids, units};
use waxwing_policy::{choice, prefixes};
use waxwing_wire::messages;

/// A `ClaimPlan` is the durable claim that a keyed request needs before its hand-over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimPlan {
    /// Account, service and key.
    pub name: messages::ClaimName,
    /// SHA-256 of method, path and body.
    pub digest: Vec<u8>,
    /// The replicated group that holds the claim.
    pub group: ids::GroupId,
}

/// `OfferLimits` bound the offers of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferLimits {
    /// Agents that get an offer at first.
    pub initial: usize,
    /// Agents that may hold an offer at one time.
    pub max_open: usize,
    /// Whether agents grant at once (baseline policies).
    pub immediate: bool,
}

/// A `RequestPlan` describes an accepted request.
#[derive(Debug, Clone)]
pub struct RequestPlan {
    /// The request.
    pub request: ids::RequestId,
    /// The client account.
    pub account: ids::AccountName,
    /// The weight of the account in thousandths.
    pub weight_millis: u32,
    /// The rank of the tier.
    pub rank: ids::TierRank,
    /// The model; `None` for a plain service.
    pub model: Option<ids::ModelName>,
    /// The service.
    pub service: ids::ServiceName,
    /// Prompt tokens.
    pub prompt: units::TokenCount,
    /// Expected output tokens.
    pub output: units::TokenCount,
    /// Prefixes of the prompt, the longest last.
    pub prefixes: Vec<prefixes::PrefixHash>,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Whether the caller wants the answer as it is made.
    pub stream: bool,
    /// When the request was accepted.
    pub accepted: Instant,
    /// When the answer is not needed any more.
    pub deadline: Instant,
    /// The HTTP method.
    pub method: String,
    /// The path and query, as the endpoint sees them.
    pub path: String,
    /// The headers that are passed through.
    pub headers: Vec<messages::HeaderField>,
    /// The body; emptied once the request can't be handed over again.
    pub body: Bytes,
    /// The claim of a keyed request.
    pub claim: Option<ClaimPlan>,
    /// The bounds of its offers.
    pub offers: OfferLimits,
}

fn millis_between(now: Instant, later: Instant) -> u64 {
    let left = later.saturating_duration_since(now);
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}

impl RequestPlan {
    /// Returns the request id as messages carry it.
    #[must_use]
    pub fn request_bytes(&self) -> Vec<u8> {
        self.request.to_bytes().to_vec()
    }

    /// Builds the offer.
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

    /// Builds the hand-over for a grant.
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

    /// Builds the demand for a choice of endpoints.
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
