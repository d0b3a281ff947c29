//! Which running generations are suspended for a higher tier, and in which order suspended ones
//! go on; see `docs/design.md`, section 5.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use waxwing_core::{ids, units};

/// A `RunningWork` is what the choice of a victim needs to know about a running request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningWork {
    /// The request.
    pub request: ids::RequestId,
    /// The rank of its tier.
    pub rank: ids::TierRank,
    /// Whether it is idempotent and can go on at a token that has arrived.
    pub can_suspend: bool,
    /// Context tokens that it holds.
    pub context: units::TokenCount,
    /// When it started.
    pub started: Instant,
}

/// A `RoomWanted` is what a waiting request lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomWanted {
    /// Context tokens.
    Tokens(units::TokenCount),
    /// One place among the running requests.
    Slot,
}

/// Tells whether waiting longer would miss the first-token target: the time waited so far, the
/// time until room comes by itself and the own prefill are longer than the target.
#[must_use]
pub fn is_due(waited: Duration, release: Duration, prefill: Duration, target: Duration) -> bool {
    waited + release + prefill > target
}

/// Chooses the requests that are suspended for a request of `rank`: the lowest tier first, inside
/// a tier the newest first since its context is the cheapest to rebuild. Returns nothing if all of
/// them together would not make enough room, since a suspension that helps nobody is waste.
#[must_use]
pub fn choose_victims(
    running: impl IntoIterator<Item = RunningWork>,
    rank: ids::TierRank,
    wanted: RoomWanted,
) -> Vec<ids::RequestId> {
    let lower = running.into_iter();
    let mut lower: Vec<_> = lower
        .filter(|work| work.can_suspend && work.rank > rank && gain(work, wanted) > 0)
        .collect();
    lower.sort_by_key(|work| {
        let newest = Reverse((work.rank, work.started));
        (newest, work.request)
    });
    let needed = match wanted {
        RoomWanted::Tokens(tokens) => tokens.0,
        RoomWanted::Slot => 1,
    };
    let mut gained = 0;
    let mut victims = Vec::new();
    for work in lower {
        if gained >= needed {
            break;
        }
        gained += gain(&work, wanted);
        victims.push(work.request);
    }
    if gained < needed {
        victims.clear();
    }
    victims
}

fn gain(work: &RunningWork, wanted: RoomWanted) -> u64 {
    match wanted {
        RoomWanted::Tokens(_) => work.context.0,
        RoomWanted::Slot => 1,
    }
}
