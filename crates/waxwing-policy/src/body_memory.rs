//! Memory limit for the bodies of the requests that wait at an entry. A new request evicts requests
//! of less urgent tiers only: lowest tier first, and within a tier the newest first.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use waxwing_core::{ids, units};

/// The body memory is full, and evicting all less urgent requests would not free enough of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("evicting less urgent requests can't free {needed} within the limit of {limit}")]
pub struct MemoryFull {
    /// Size of the refused body.
    pub needed: units::ByteCount,
    /// Limit of the body memory.
    pub limit: units::ByteCount,
}

/// Order of eviction: highest rank number (the least urgent tier) first, then the latest arrival.
type EvictionKey = Reverse<(ids::TierRank, u64)>;

#[derive(Debug)]
struct WaitingBody {
    rank: ids::TierRank,
    arrival: u64,
    bytes: units::ByteCount,
    pinned: bool,
}

impl WaitingBody {
    fn eviction_key(&self) -> EvictionKey {
        Reverse((self.rank, self.arrival))
    }
}

/// Accounting of the memory for the bodies that an entry holds.
#[derive(Debug)]
pub struct BodyMemory {
    limit: units::ByteCount,
    used: units::ByteCount,
    next_arrival: u64,
    bodies: HashMap<ids::RequestId, WaitingBody>,
    evictable: BTreeMap<EvictionKey, ids::RequestId>,
}

impl BodyMemory {
    /// Creates an account of `limit` bytes without requests.
    #[must_use]
    pub fn new(limit: units::ByteCount) -> Self {
        Self {
            limit,
            used: units::ByteCount::ZERO,
            next_arrival: 0,
            bodies: HashMap::new(),
            evictable: BTreeMap::new(),
        }
    }

    /// Returns the total size of the admitted bodies.
    #[must_use]
    pub fn used(&self) -> units::ByteCount {
        self.used
    }

    /// Returns the number of admitted requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bodies.len()
    }

    /// Returns whether no request is admitted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bodies.is_empty()
    }

    /// Returns whether a request is still admitted, that is, neither removed nor evicted.
    #[must_use]
    pub fn contains(&self, request: ids::RequestId) -> bool {
        self.bodies.contains_key(&request)
    }

    /// Admits a request, or changes the rank and size of an admitted one, and returns the requests
    /// that were evicted for it, in order of eviction. A pinned request becomes evictable again.
    ///
    /// # Errors
    /// Fails if evicting all less urgent requests would not free enough memory. Nothing is evicted
    /// in that case, and a request that was already admitted keeps its rank and size.
    pub fn admit(
        &mut self,
        request: ids::RequestId,
        rank: ids::TierRank,
        bytes: units::ByteCount,
    ) -> Result<Vec<ids::RequestId>, MemoryFull> {
        let previous = self.detach(request);
        let arrival = previous
            .as_ref()
            .map_or(self.next_arrival, |body| body.arrival);
        let Some(evicted) = self.select_evictions(rank, bytes) else {
            if let Some(body) = previous {
                self.attach(request, body);
            }
            return Err(MemoryFull {
                needed: bytes,
                limit: self.limit,
            });
        };
        for other in &evicted {
            self.detach(*other);
        }
        self.next_arrival += 1;
        let body = WaitingBody {
            rank,
            arrival,
            bytes,
            pinned: false,
        };
        self.attach(request, body);
        Ok(evicted)
    }

    /// Protects a request from eviction while it is handed over to an agent; returns whether it was
    /// still admitted.
    pub fn pin(&mut self, request: ids::RequestId) -> bool {
        let Some(body) = self.bodies.get_mut(&request) else {
            return false;
        };
        body.pinned = true;
        self.evictable.remove(&body.eviction_key());
        true
    }

    /// Makes a request evictable again when it returns to waiting.
    pub fn unpin(&mut self, request: ids::RequestId) {
        if let Some(body) = self.bodies.get_mut(&request) {
            body.pinned = false;
            self.evictable.insert(body.eviction_key(), request);
        }
    }

    /// Removes a request; returns whether it was still admitted.
    pub fn remove(&mut self, request: ids::RequestId) -> bool {
        self.detach(request).is_some()
    }

    /// Selects the requests to evict for a body of `bytes` in tier `rank`; `None` if evicting all
    /// candidates would not free enough memory.
    fn select_evictions(
        &self,
        rank: ids::TierRank,
        bytes: units::ByteCount,
    ) -> Option<Vec<ids::RequestId>> {
        let required = self.used + bytes;
        let mut missing = required.saturating_sub(self.limit);
        let mut evicted = Vec::new();
        for (Reverse((other, _)), request) in &self.evictable {
            if missing == units::ByteCount::ZERO || *other <= rank {
                break;
            }
            missing = missing.saturating_sub(self.bodies[request].bytes);
            evicted.push(*request);
        }
        (missing == units::ByteCount::ZERO).then_some(evicted)
    }

    fn attach(&mut self, request: ids::RequestId, body: WaitingBody) {
        self.used += body.bytes;
        if !body.pinned {
            self.evictable.insert(body.eviction_key(), request);
        }
        self.bodies.insert(request, body);
    }

    fn detach(&mut self, request: ids::RequestId) -> Option<WaitingBody> {
        let body = self.bodies.remove(&request)?;
        self.evictable.remove(&body.eviction_key());
        self.used = self.used.saturating_sub(body.bytes);
        Some(body)
    }
}
