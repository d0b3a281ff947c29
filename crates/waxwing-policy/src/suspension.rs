//! Preemption: which running generations are suspended to admit a request of a higher tier; see
//! `docs/design.md`, section 5.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use waxwing_core::{ids, units};

/// A running request as a candidate for suspension.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRequest {
    /// The request.
    pub request: ids::RequestId,
    /// The rank of its tier.
    pub rank: ids::TierRank,
    /// Whether the request is idempotent and can be resumed after the last token received.
    pub can_suspend: bool,
    /// Context tokens that are reserved for the request.
    pub context: units::TokenCount,
    /// When its current run started.
    pub started: Instant,
}

/// Capacity that a waiting request needs before it can be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapacityNeeded {
    /// This many context tokens.
    Tokens(units::TokenCount),
    /// One slot among the concurrent requests.
    Slot,
}

/// Returns whether a request that waits for capacity would miss its first-token target: the time
/// waited so far (`waited`), the expected time until a running request ends (`release`) and its own
/// prefill time (`prefill`) add up to more than `target`.
#[must_use]
pub fn would_miss_target(
    waited: Duration,
    release: Duration,
    prefill: Duration,
    target: Duration,
) -> bool {
    waited + release + prefill > target
}

/// Chooses the requests to suspend for a request of `rank`: lowest tier first, and within a tier
/// the most recently started first, since its context is the cheapest to rebuild. Returns an empty
/// list if suspending all candidates would not free enough capacity, since those suspensions would
/// be wasted.
#[must_use]
pub fn choose_victims(
    running: impl IntoIterator<Item = RunningRequest>,
    rank: ids::TierRank,
    wanted: CapacityNeeded,
) -> Vec<ids::RequestId> {
    let candidates = running.into_iter();
    let mut candidates: Vec<_> = candidates
        .filter(|candidate| {
            candidate.can_suspend && candidate.rank > rank && freed_capacity(candidate, wanted) > 0
        })
        .collect();
    candidates.sort_by_key(|candidate| {
        let newest_first = Reverse((candidate.rank, candidate.started));
        (newest_first, candidate.request)
    });
    let needed = match wanted {
        CapacityNeeded::Tokens(tokens) => tokens.0,
        CapacityNeeded::Slot => 1,
    };
    let mut freed = 0;
    let mut victims = Vec::new();
    for candidate in candidates {
        if freed >= needed {
            break;
        }
        freed += freed_capacity(&candidate, wanted);
        victims.push(candidate.request);
    }
    if freed < needed {
        victims.clear();
    }
    victims
}

fn freed_capacity(candidate: &RunningRequest, wanted: CapacityNeeded) -> u64 {
    match wanted {
        CapacityNeeded::Tokens(_) => candidate.context.0,
        CapacityNeeded::Slot => 1,
    }
}
