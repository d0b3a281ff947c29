//! Fair sharing of the slots of a service among entries.
//!
//! The entry whose request ends sees the free slot first. Without a rule it would keep its slots
//! forever, and an entry that has just started or whose traffic has grown would get none while all
//! slots are taken. So an entry leaves a free slot to another one that has a more urgent request
//! queued, or an equally urgent one and less than its share. The share of an entry is proportional
//! to the requests that it receives.
//!
//! Equally entitled entries see the same slot become free. An entry takes the slots that its own
//! requests released; rendezvous hashing assigns the others.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use waxwing_core::units;
use waxwing_wire::messages;
use xxhash_rust::xxh3;

use crate::{endpoints::to_float, options};

/// Time constant of the moving sum: without requests it decays to 37 % in this time.
const DECAY_TIME: Duration = Duration::from_millis(700);

/// Scale of the moving sum in messages.
const THOUSANDTHS: f64 = 1_000.0;

/// Exponentially decaying sum of requests.
#[derive(Debug, Clone, Copy)]
pub struct RecentRequests {
    sum: f64,
    updated: Instant,
}

impl RecentRequests {
    /// Builds a sum of zero.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            sum: 0.0,
            updated: now,
        }
    }

    /// Adds a request to the sum.
    pub fn count(&mut self, now: Instant) {
        self.sum = self.at(now) + 1.0;
        self.updated = now;
    }

    /// Returns the decayed sum at a time.
    #[must_use]
    pub fn at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.sum * (-elapsed / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns the sum in thousandths, as it is sent to other entries.
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

/// Demand of another entry for a service.
#[derive(Debug, Clone)]
pub struct PeerDemand {
    /// Demand that the entry reported.
    pub demand: messages::ServiceDemand,
    /// When the report was received.
    pub received: Instant,
}

/// Demands of the other entries for one service, by their addresses.
pub type PeerDemands = HashMap<SocketAddr, PeerDemand>;

/// Demand of this entry for a service.
#[derive(Debug, Clone, Copy)]
pub struct OwnDemand {
    /// Moving sum of the requests of callers.
    pub recent: f64,
    /// Requests in flight at endpoints.
    pub running: u32,
    /// Tier of the request that would start.
    pub rank: (u32, u32),
}

/// Free slots of a service that an entry may take, given the other entries with queued requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotEntitlement {
    /// No other entry has an equal or more urgent request queued; any free slot may be taken.
    Uncontested,
    /// The listed entries are equally entitled; there are none if only this entry is below its
    /// share. All of them see a slot become free, and only one of them may take it.
    Shared(Vec<SocketAddr>),
    /// Another entry is below its share and this one near its own: only slots that requests of this
    /// entry released may be taken.
    ReleasedOnly,
    /// Another entry has a more urgent request, or is below its share while this one is above; no
    /// slot may be taken.
    Yield,
}

impl SlotEntitlement {
    /// Tells whether the free slots of an endpoint are assigned to `own`. All entries find the same
    /// owner by rendezvous hashing, in whatever order updates arrive.
    #[must_use]
    pub fn includes(&self, own: SocketAddr, endpoint: &str) -> bool {
        match self {
            Self::Uncontested => true,
            Self::ReleasedOnly | Self::Yield => false,
            Self::Shared(others) => {
                let weight = |entry: &SocketAddr| rendezvous_weight(*entry, endpoint);
                let own = (weight(&own), own);
                others.iter().all(|other| (weight(other), *other) < own)
            }
        }
    }
}

/// Returns the rendezvous weight of an entry for an endpoint; the entry with the largest one owns
/// it.
pub(crate) fn rendezvous_weight(entry: SocketAddr, endpoint: &str) -> u64 {
    let seed = match entry.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => xxh3::xxh3_64(&ip.octets()),
    };
    let seed = seed << 16 | u64::from(entry.port());
    xxh3::xxh3_64_with_seed(endpoint.as_bytes(), seed)
}

/// Free slots of a service that an entry may take, by the pace of the endpoint. The most urgent
/// request of an entry may decline slow endpoints and wait for a faster one; then it must not keep
/// their slots from the requests of other entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotClaims {
    /// Slots that all entries claim.
    common: SlotEntitlement,
    /// Slots of endpoints at this pace in percent or slower, which the declining entries don't
    /// claim; `None` if no entry declines any.
    declined: Option<(u32, SlotEntitlement)>,
}

impl SlotClaims {
    /// Returns claims that no other entry contests.
    #[must_use]
    pub const fn uncontested() -> Self {
        Self {
            common: SlotEntitlement::Uncontested,
            declined: None,
        }
    }

    /// Returns which free slots this entry may take.
    #[must_use]
    pub fn new(
        now: Instant,
        own: OwnDemand,
        peers: &PeerDemands,
        slots: u32,
        options: &options::GateOptions,
    ) -> Self {
        let is_claimant = |peer: &&PeerDemand| peer.demand.waiting > 0;
        let declined = peers.values().filter(is_claimant);
        // Only what all declining entries decline is left to the others.
        let percent = declined.map(|peer| peer.demand.declined_percent).max();
        let percent = percent.filter(|percent| *percent > 0);
        let claimants = |all: bool| entitlement(now, own, peers, slots, options, all);
        Self {
            common: claimants(true),
            declined: percent.map(|percent| (percent, claimants(false))),
        }
    }

    /// Returns which slots of endpoints at a pace may be taken.
    #[must_use]
    pub fn at_pace(&self, pace: Option<units::HostPace>) -> &SlotEntitlement {
        match &self.declined {
            Some((percent, entitlement)) if pace.is_some_and(|pace| pace.percent() >= *percent) => {
                entitlement
            }
            _ => &self.common,
        }
    }

    /// Tells whether no slot at all may be taken.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let declined = self.declined.as_ref();
        self.common == SlotEntitlement::Yield
            && declined.is_none_or(|(_, entitlement)| *entitlement == SlotEntitlement::Yield)
    }

    /// Tells whether other entries claim slots too.
    #[must_use]
    pub fn is_contested(&self) -> bool {
        self.common != SlotEntitlement::Uncontested
    }
}

/// Returns which free slots this entry may take; without `all`, the claims of entries that decline
/// endpoints are left out.
#[must_use]
fn entitlement(
    now: Instant,
    own: OwnDemand,
    peers: &PeerDemands,
    slots: u32,
    options: &options::GateOptions,
    all: bool,
) -> SlotEntitlement {
    let is_current =
        |peer: &&PeerDemand| now.saturating_duration_since(peer.received) < options.demand_lifetime;
    let recent = |peer: &PeerDemand| to_float(peer.demand.recent_thousandths) / THOUSANDTHS;
    let others: f64 = peers.values().filter(is_current).map(recent).sum();
    let total = (own.recent + others).max(f64::MIN_POSITIVE);
    let level = |running: u32, recent: f64| {
        ShareLevel::classify(f64::from(running), f64::from(slots) * recent / total)
    };
    let own_level = level(own.running, own.recent);
    let mut contenders = Vec::new();
    for (address, peer) in peers.iter().filter(|(_, peer)| is_current(peer)) {
        let rank = (peer.demand.account_rank, peer.demand.route_rank);
        let declines = !all && peer.demand.declined_percent > 0;
        if peer.demand.waiting == 0 || rank > own.rank || declines {
            continue;
        }
        if rank < own.rank {
            return SlotEntitlement::Yield;
        }
        contenders.push((*address, level(peer.demand.running, recent(peer))));
    }
    let is_below = |(_, level): &(SocketAddr, ShareLevel)| *level == ShareLevel::Below;
    let peer_below = contenders.iter().any(is_below);
    match own_level {
        _ if contenders.is_empty() => return SlotEntitlement::Uncontested,
        ShareLevel::Above if peer_below => return SlotEntitlement::Yield,
        ShareLevel::Near if peer_below => return SlotEntitlement::ReleasedOnly,
        ShareLevel::Below => contenders.retain(is_below),
        ShareLevel::Near | ShareLevel::Above => {}
    }
    SlotEntitlement::Shared(contenders.into_iter().map(|(address, _)| address).collect())
}

/// How the slots in use by an entry compare with its share. Less than a slot below the share counts
/// as `Near`, so that slots don't move back and forth for fractions of a slot. An entry without any
/// slot is always `Below`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShareLevel {
    Below,
    Near,
    Above,
}

impl ShareLevel {
    fn classify(running: f64, share: f64) -> Self {
        if running < 1.0 || running + 1.0 <= share {
            Self::Below
        } else if running >= share {
            Self::Above
        } else {
            Self::Near
        }
    }
}
