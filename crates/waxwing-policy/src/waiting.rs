//! The requests that wait at an entry, bounded by the bytes of their bodies. Room for a request is
//! made by evicting less urgent tiers only: the lowest tier first, in it the newest first.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use waxwing_core::{ids, units};

/// A `RoomFull` error says that work of this tier or above fills the room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{needed} needed, {limit} in all, and no less urgent work to evict")]
pub struct RoomFull {
    /// Bytes that were asked for.
    pub needed: units::ByteCount,
    /// The size of the room.
    pub limit: units::ByteCount,
}

/// The order of eviction: the greatest rank, then the greatest arrival number, comes first.
type EvictionKey = Reverse<(ids::TierRank, u64)>;

#[derive(Debug)]
struct WaitingEntry {
    rank: ids::TierRank,
    arrival: u64,
    bytes: units::ByteCount,
    pinned: bool,
}

impl WaitingEntry {
    fn key(&self) -> EvictionKey {
        Reverse((self.rank, self.arrival))
    }
}

/// A `WaitingRoom` accounts for the bodies that an entry holds.
#[derive(Debug)]
pub struct WaitingRoom {
    limit: units::ByteCount,
    used: units::ByteCount,
    arrivals: u64,
    entries: HashMap<ids::RequestId, WaitingEntry>,
    evictable: BTreeMap<EvictionKey, ids::RequestId>,
}

impl WaitingRoom {
    /// Builds an empty room.
    #[must_use]
    pub fn new(limit: units::ByteCount) -> Self {
        Self {
            limit,
            used: units::ByteCount::ZERO,
            arrivals: 0,
            entries: HashMap::new(),
            evictable: BTreeMap::new(),
        }
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn used(&self) -> units::ByteCount {
        self.used
    }

    /// Returns the number of requests in the room.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether the room is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tells whether a request is in the room; one that was evicted is not.
    #[must_use]
    pub fn contains(&self, request: ids::RequestId) -> bool {
        self.entries.contains_key(&request)
    }

    /// Takes a request in, or changes the rank and size of one that is there, and returns the
    /// requests that were evicted for it, in order.
    ///
    /// # Errors
    /// Fails if the less urgent work would not make enough room; nothing is evicted then, and a
    /// request that was there stays with its former rank and size.
    pub fn admit(
        &mut self,
        request: ids::RequestId,
        rank: ids::TierRank,
        bytes: units::ByteCount,
    ) -> Result<Vec<ids::RequestId>, RoomFull> {
        let former = self.detach(request);
        let arrival = former.as_ref().map_or(self.arrivals, |entry| entry.arrival);
        let Some(evicted) = self.plan(rank, bytes) else {
            if let Some(entry) = former {
                self.attach(request, entry);
            }
            return Err(RoomFull {
                needed: bytes,
                limit: self.limit,
            });
        };
        for other in &evicted {
            self.detach(*other);
        }
        self.arrivals += 1;
        let entry = WaitingEntry {
            rank,
            arrival,
            bytes,
            pinned: false,
        };
        self.attach(request, entry);
        Ok(evicted)
    }

    /// Keeps a request from eviction, since it is about to be handed over; tells whether it was
    /// still there.
    pub fn pin(&mut self, request: ids::RequestId) -> bool {
        let Some(entry) = self.entries.get_mut(&request) else {
            return false;
        };
        entry.pinned = true;
        self.evictable.remove(&entry.key());
        true
    }

    /// Allows eviction again, since the request waits again.
    pub fn unpin(&mut self, request: ids::RequestId) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.pinned = false;
            self.evictable.insert(entry.key(), request);
        }
    }

    /// Lets a request go; tells whether it was still there.
    pub fn remove(&mut self, request: ids::RequestId) -> bool {
        self.detach(request).is_some()
    }

    /// Lists what must go to fit `bytes` of `rank`, or `None` if they can't fit.
    fn plan(&self, rank: ids::TierRank, bytes: units::ByteCount) -> Option<Vec<ids::RequestId>> {
        let wanted = self.used + bytes;
        let mut missing = wanted.saturating_sub(self.limit);
        let mut evicted = Vec::new();
        for (Reverse((other, _)), request) in &self.evictable {
            if missing == units::ByteCount::ZERO || *other <= rank {
                break;
            }
            missing = missing.saturating_sub(self.entries[request].bytes);
            evicted.push(*request);
        }
        (missing == units::ByteCount::ZERO).then_some(evicted)
    }

    fn attach(&mut self, request: ids::RequestId, entry: WaitingEntry) {
        self.used += entry.bytes;
        if !entry.pinned {
            self.evictable.insert(entry.key(), request);
        }
        self.entries.insert(request, entry);
    }

    fn detach(&mut self, request: ids::RequestId) -> Option<WaitingEntry> {
        let entry = self.entries.remove(&request)?;
        self.evictable.remove(&entry.key());
        self.used = self.used.saturating_sub(entry.bytes);
        Some(entry)
    }
}
