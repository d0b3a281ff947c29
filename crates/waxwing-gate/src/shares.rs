//! Shares of the entries in the slots of a service.
//!
//! A slot that gets free is seen first by the entry whose request ended. Without a rule it would
//! keep its slots for ever, and an entry that has just started, or whose callers have become more,
//! would get none while all slots are taken. So an entry leaves a free slot to another one that
//! has a more urgent request waiting, or an equally urgent one and less than its share. The share
//! follows from the requests that each entry gets.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use waxwing_wire::messages;

use crate::{endpoints::to_float, options};

/// The time in which the moving sum of requests falls to 37 in 100.
const RECENT_WINDOW: Duration = Duration::from_millis(700);

/// Thousandths in one request.
const THOUSANDTHS: f64 = 1_000.0;

/// A `RecentRequests` is a moving sum of requests.
#[derive(Debug, Clone, Copy)]
pub struct RecentRequests {
    sum: f64,
    updated: Instant,
}

impl RecentRequests {
    /// Builds an empty sum.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            sum: 0.0,
            updated: now,
        }
    }

    /// Counts a request.
    pub fn count(&mut self, now: Instant) {
        self.sum = self.at(now) + 1.0;
        self.updated = now;
    }

    /// Returns the sum at a time.
    #[must_use]
    pub fn at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.sum * (-elapsed / RECENT_WINDOW.as_secs_f64()).exp()
    }

    /// Returns the sum as books carry it.
    #[must_use]
    pub fn thousandths(&self, now: Instant) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the sum is never negative and far below 2^52"
        )]
        let rounded = (self.at(now) * THOUSANDTHS) as u64;
        rounded
    }
}

/// A `PeerDemand` is what another entry is asked for a service.
#[derive(Debug, Clone)]
pub struct PeerDemand {
    /// What it told.
    pub demand: messages::ServiceDemand,
    /// When.
    pub told: Instant,
}

/// The demands of the other entries for one service.
pub type PeerDemands = HashMap<SocketAddr, PeerDemand>;

/// An `OwnDemand` is what this entry is asked for a service.
#[derive(Debug, Clone, Copy)]
pub struct OwnDemand {
    /// The moving sum of requests.
    pub recent: f64,
    /// Requests at endpoints.
    pub running: u32,
    /// The tier of the request that would start.
    pub rank: (u32, u32),
}

/// A `SlotClaim` is how an entry stands against the others that wait for a slot of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotClaim {
    /// Nobody else waits; any free slot may be taken.
    Alone,
    /// No other entry that waits has a better claim; any free slot may be taken.
    First,
    /// The entry may take slots that its own requests have left, and no others: several entries
    /// see the same free slot, and only the one with the best claim takes it.
    OwnOnly,
    /// Another entry has a more urgent request, or less than its share while this one has more.
    Yields,
}

/// Returns the claim of an entry on a free slot.
#[must_use]
pub fn claim(
    now: Instant,
    own: OwnDemand,
    peers: &PeerDemands,
    slots: u32,
    options: &options::GateOptions,
) -> SlotClaim {
    let fresh =
        |peer: &&PeerDemand| now.saturating_duration_since(peer.told) < options.demand_lifetime;
    let recent = |peer: &PeerDemand| to_float(peer.demand.recent_thousandths) / THOUSANDTHS;
    let others: f64 = peers.values().filter(fresh).map(recent).sum();
    let all = (own.recent + others).max(f64::MIN_POSITIVE);
    let share = |recent: f64| f64::from(slots) * recent / all;
    let use_of =
        |running: u32, recent: f64| f64::from(running) / share(recent).max(f64::MIN_POSITIVE);
    let own_use = use_of(own.running, own.recent);
    let mut claim = SlotClaim::Alone;
    for peer in peers.values().filter(fresh) {
        if peer.demand.waiting == 0 {
            continue;
        }
        let rank = (peer.demand.account_rank, peer.demand.route_rank);
        let peer_use = use_of(peer.demand.running, recent(peer));
        if rank < own.rank || (rank == own.rank && own_use >= 1.0 && peer_use < 1.0) {
            return SlotClaim::Yields;
        }
        let better = rank == own.rank && peer_use < own_use;
        claim = match (claim, better) {
            (SlotClaim::OwnOnly, _) | (_, true) => SlotClaim::OwnOnly,
            _ => SlotClaim::First,
        };
    }
    claim
}
