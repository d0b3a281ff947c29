//! The KV cache memory of a simulated engine. Blocks are pinned while running requests use them;
//! unused cached blocks are evicted in least-recently-used order.

use std::collections::{BTreeMap, HashMap};

/// A change of the set of cached blocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block with this chained hash was cached.
    Stored(u64),
    /// The block with this chained hash was evicted.
    Evicted(u64),
}

#[derive(Debug)]
struct CacheBlock {
    ref_count: u32,
    /// Logical time of the last release, a key of [`PrefixCache::evictable`].
    last_released: u64,
}

/// The block memory of one engine.
#[derive(Debug)]
pub struct PrefixCache {
    /// Blocks of memory.
    capacity: u64,
    /// Blocks that are in use without being cached.
    reserved: u64,
    /// Cached blocks by chained hash.
    blocks: HashMap<u64, CacheBlock>,
    /// Hashes of cached blocks that nobody uses, by logical time of their release.
    evictable: BTreeMap<u64, u64>,
    next_release: u64,
    changes: Vec<CacheChange>,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` blocks.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            reserved: 0,
            blocks: HashMap::new(),
            evictable: BTreeMap::new(),
            next_release: 0,
            changes: Vec::new(),
        }
    }

    /// Returns the size of the memory in blocks.
    #[must_use]
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the number of cached blocks, in use or not.
    #[must_use]
    pub fn cached(&self) -> u64 {
        self.blocks.len() as u64
    }

    /// Returns the number of blocks in use by running requests; shared blocks count once.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.reserved + self.cached() - self.evictable.len() as u64
    }

    /// Returns the length of the longest cached prefix of `hashes`, in blocks.
    #[must_use]
    pub fn matching_prefix(&self, hashes: &[u64]) -> usize {
        let cached = |hash: &&u64| self.blocks.contains_key(hash);
        hashes.iter().take_while(cached).count()
    }

    /// Pins the cached blocks `shared` and reserves `reserved` more blocks, evicting unused ones as
    /// needed. Returns false without any change if there is not enough memory.
    #[must_use]
    pub fn reserve(&mut self, shared: &[u64], reserved: u64) -> bool {
        let unpinned = shared
            .iter()
            .filter(|hash| self.is_evictable(**hash))
            .count() as u64;
        if self.used() + unpinned + reserved > self.capacity {
            return false;
        }
        for hash in shared {
            self.pin(*hash);
        }
        self.reserved += reserved;
        self.evict();
        true
    }

    /// Turns a reserved block into a cached one that stays in use.
    pub fn store(&mut self, hash: u64) {
        self.reserved = self.reserved.saturating_sub(1);
        if self.blocks.contains_key(&hash) {
            self.pin(hash);
            return;
        }
        let block = CacheBlock {
            ref_count: 1,
            last_released: 0,
        };
        self.blocks.insert(hash, block);
        self.changes.push(CacheChange::Stored(hash));
    }

    /// Caches a block that was imported from another engine and that nobody uses yet, evicting an
    /// unused block if needed. Returns false if all memory is in use.
    pub fn import(&mut self, hash: u64) -> bool {
        if !self.reserve(&[], 1) {
            return false;
        }
        self.store(hash);
        self.release(&[hash], 0);
        true
    }

    /// Unpins the blocks `shared` and frees `reserved` blocks. The last block of a prefix becomes
    /// the least recently used one of them, so that a prefix is evicted from its end and its start
    /// stays usable.
    pub fn release(&mut self, shared: &[u64], reserved: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
        for hash in shared.iter().rev() {
            let released = self.next_release;
            self.next_release += 1;
            let Some(block) = self.blocks.get_mut(hash) else {
                continue;
            };
            block.ref_count = block.ref_count.saturating_sub(1);
            block.last_released = released;
            if block.ref_count == 0 {
                self.evictable.insert(released, *hash);
            }
        }
    }

    /// Returns and clears the changes since the last call.
    pub fn drain_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    fn is_evictable(&self, hash: u64) -> bool {
        self.blocks
            .get(&hash)
            .is_some_and(|block| block.ref_count == 0)
    }

    fn pin(&mut self, hash: u64) {
        if let Some(block) = self.blocks.get_mut(&hash) {
            if block.ref_count == 0 {
                self.evictable.remove(&block.last_released);
            }
            block.ref_count += 1;
        }
    }

    /// Evicts unused blocks until the memory is within its capacity.
    fn evict(&mut self) {
        while self.reserved + self.cached() > self.capacity {
            let Some((_, hash)) = self.evictable.pop_first() else {
                return;
            };
            self.blocks.remove(&hash);
            self.changes.push(CacheChange::Evicted(hash));
        }
    }
}
