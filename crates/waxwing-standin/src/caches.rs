//! The KV cache memory of a stand-in engine: blocks held by running requests, and cached prefixes
//! that are evicted in least-recently-used order.

use std::collections::{BTreeMap, HashMap};

/// A `CacheChange` is one change of the set of cached blocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block with this chained hash is now cached.
    Stored(u64),
    /// The block with this chained hash was evicted.
    Evicted(u64),
}

#[derive(Debug)]
struct CacheBlock {
    users: u32,
    stamp: u64,
}

/// A `PrefixCache` is the block memory of one engine.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: u64,
    private: u64,
    blocks: HashMap<u64, CacheBlock>,
    idle: BTreeMap<u64, u64>,
    next_stamp: u64,
    changes: Vec<CacheChange>,
}

impl PrefixCache {
    /// Builds an empty cache of `capacity` blocks.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            private: 0,
            blocks: HashMap::new(),
            idle: BTreeMap::new(),
            next_stamp: 0,
            changes: Vec::new(),
        }
    }

    /// Returns the memory in blocks.
    #[must_use]
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the number of cached blocks, in use or not.
    #[must_use]
    pub fn cached(&self) -> u64 {
        self.blocks.len() as u64
    }

    /// Returns the blocks that running requests hold, shared ones once.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.private + self.cached() - self.idle.len() as u64
    }

    /// Returns how many blocks at the front of `hashes` are cached.
    #[must_use]
    pub fn matching(&self, hashes: &[u64]) -> usize {
        let cached = |hash: &&u64| self.blocks.contains_key(hash);
        hashes.iter().take_while(cached).count()
    }

    /// Takes `shared` cached blocks into use and reserves `private` blocks besides. Idle blocks are
    /// evicted to make room. Returns false, and changes nothing, if there is not enough room.
    #[must_use]
    pub fn reserve(&mut self, shared: &[u64], private: u64) -> bool {
        let idle_shared = shared.iter().filter(|hash| self.is_idle(**hash)).count() as u64;
        if self.held() + idle_shared + private > self.capacity {
            return false;
        }
        for hash in shared {
            self.take(*hash);
        }
        self.private += private;
        self.shrink();
        true
    }

    /// Turns one reserved block into a cached one that stays in use.
    pub fn store(&mut self, hash: u64) {
        self.private = self.private.saturating_sub(1);
        if self.blocks.contains_key(&hash) {
            self.take(hash);
            return;
        }
        let block = CacheBlock { users: 1, stamp: 0 };
        self.blocks.insert(hash, block);
        self.changes.push(CacheChange::Stored(hash));
    }

    /// Caches a block that nobody uses, as after an import; false if there is no idle room.
    pub fn import(&mut self, hash: u64) -> bool {
        if !self.reserve(&[], 1) {
            return false;
        }
        self.store(hash);
        self.release(&[hash], 0);
        true
    }

    /// Gives blocks back. The last block of a prefix becomes the oldest, so that a prefix is
    /// evicted from its end and its front stays usable.
    pub fn release(&mut self, shared: &[u64], private: u64) {
        self.private = self.private.saturating_sub(private);
        for hash in shared.iter().rev() {
            let stamp = self.next_stamp;
            self.next_stamp += 1;
            let Some(block) = self.blocks.get_mut(hash) else {
                continue;
            };
            block.users = block.users.saturating_sub(1);
            block.stamp = stamp;
            if block.users == 0 {
                self.idle.insert(stamp, *hash);
            }
        }
    }

    /// Returns the changes since the last call.
    pub fn drain_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    fn is_idle(&self, hash: u64) -> bool {
        self.blocks.get(&hash).is_some_and(|block| block.users == 0)
    }

    fn take(&mut self, hash: u64) {
        if let Some(block) = self.blocks.get_mut(&hash) {
            if block.users == 0 {
                self.idle.remove(&block.stamp);
            }
            block.users += 1;
        }
    }

    fn shrink(&mut self) {
        while self.private + self.cached() > self.capacity {
            let Some((_, hash)) = self.idle.pop_first() else {
                return;
            };
            self.blocks.remove(&hash);
            self.changes.push(CacheChange::Evicted(hash));
        }
    }
}
