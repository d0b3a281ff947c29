//! Estimate of the contents of an engine's prefix cache. It is derived from the prompts that were
//! sent to the engine, from the cached tokens that its answers report, and from cache events, which
//! may arrive late or with gaps; see `docs/design.md`, section 5.

use std::collections::{BTreeMap, HashMap};

use waxwing_core::{prompts, units};

/// Whether a prefix is expected to be in the engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PrefixState {
    /// The prefix is cached.
    Cached,
    /// The prefix was cached before a gap in the cache events and may have been evicted since.
    Stale,
    /// Nothing indicates that the prefix is cached.
    Absent,
}

/// A block that is expected to be cached. The hash of a block identifies the whole prefix that ends
/// with it.
#[derive(Debug, Clone, Copy)]
struct CacheBlock {
    /// Number of blocks in the prefix, including this one; zero if only a cache event named the
    /// hash, since events carry no depth.
    depth: u64,
    /// Epoch of the last confirmation; the block is stale if the current epoch is later.
    epoch: u64,
    /// Sequence number of the last use; key in the LRU order.
    last_used: u64,
    /// Whether entries name this prefix in offers and are therefore told when it is evicted.
    watched: bool,
}

/// Changes of the prefix cache that entries are told about.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheDeltas {
    /// Hashes of prefixes that became cached.
    pub cached: Vec<u64>,
    /// Hashes of prefixes that were evicted.
    pub evicted: Vec<u64>,
}

/// Maximum number of unreported deltas of one kind. Further ones are dropped: deltas improve the
/// choice of an endpoint, and losing one never makes a choice incorrect.
const MAX_PENDING_DELTAS: usize = 64;

/// Maximum number of deltas of one kind in one report. A report goes out every second to every
/// entry that watches the endpoint, and an entry watches up to 160 endpoints: 16 hashes in each
/// report make 20 KB/s at the entry.
const MAX_REPORTED_DELTAS: usize = 16;

/// The agent's estimate of its engine's prefix cache, with LRU eviction at the engine's capacity.
#[derive(Debug)]
pub struct CacheView {
    capacity: usize,
    blocks: HashMap<u64, CacheBlock>,
    lru_order: BTreeMap<u64, u64>,
    next_use: u64,
    epoch: u64,
    next_event: Option<u64>,
    deltas: CacheDeltas,
}

impl CacheView {
    /// Creates the view of an empty cache with a capacity of `capacity` tokens.
    #[must_use]
    pub fn new(capacity: units::TokenCount) -> Self {
        Self {
            capacity: (capacity.0 / prompts::BLOCK_TOKENS as u64) as usize,
            blocks: HashMap::new(),
            lru_order: BTreeMap::new(),
            next_use: 0,
            epoch: 0,
            next_event: None,
            deltas: CacheDeltas::default(),
        }
    }

    /// Records that the engine computed or reused the prompt with these block hashes.
    pub fn record_prompt(&mut self, hashes: &[u64]) {
        // Touch the deepest blocks first, so that they are evicted before the prefix that they
        // extend.
        for (index, hash) in hashes.iter().enumerate().rev() {
            self.store(*hash, index as u64 + 1);
        }
        self.evict_excess();
    }

    /// Reconciles the view with the usage in an answer: the engine found `cached_tokens` of the
    /// prompt with these block hashes in its cache. Returns `true` if the view wrongly expected the
    /// next block to be cached. All blocks are cached now, since the engine has computed the
    /// prompt.
    pub fn record_cached_tokens(&mut self, hashes: &[u64], cached_tokens: u64) -> bool {
        let found = (cached_tokens / prompts::BLOCK_TOKENS as u64) as usize;
        let missed = hashes.get(found).copied();
        let wrong = missed.is_some_and(|hash| self.prefix_state(hash) == PrefixState::Cached);
        self.record_prompt(hashes);
        wrong
    }

    /// Applies the cache event with the sequence number `number`; one that is not newer than the
    /// last is ignored. Returns `true` if events before it were lost: all blocks become stale then,
    /// since a lost event may have evicted them.
    pub fn apply_event(&mut self, number: u64, stored: bool, hashes: &[u64]) -> bool {
        let gap = self.next_event.is_some_and(|next| number > next);
        let outdated = self.next_event.is_some_and(|next| number < next);
        if outdated {
            return false;
        }
        self.next_event = Some(number + 1);
        self.epoch += u64::from(gap);
        for hash in hashes {
            match stored {
                true => {
                    let depth = self.blocks.get(hash).map_or(0, |block| block.depth);
                    self.store(*hash, depth);
                }
                false => self.evict(*hash),
            }
        }
        self.evict_excess();
        gap
    }

    /// Removes all blocks; called after the engine has restarted with an empty cache.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.lru_order.clear();
        self.next_event = None;
    }

    /// Returns whether a prefix is expected to be cached.
    #[must_use]
    pub fn prefix_state(&self, hash: u64) -> PrefixState {
        match self.blocks.get(&hash) {
            Some(block) if block.epoch == self.epoch => PrefixState::Cached,
            Some(_) => PrefixState::Stale,
            None => PrefixState::Absent,
        }
    }

    /// Returns the expected number of cached prompt tokens for a prompt with these prefix hashes,
    /// longest last. A stale prefix counts with probability one half.
    #[must_use]
    pub fn expected_tokens(&self, prefixes: &[u64]) -> units::TokenCount {
        let mut cached_depth = 0;
        let mut stale_depth = 0;
        for hash in prefixes.iter().rev() {
            let Some(block) = self.blocks.get(hash) else {
                continue;
            };
            if block.epoch == self.epoch {
                cached_depth = cached_depth.max(block.depth);
                break;
            }
            stale_depth = stale_depth.max(block.depth);
        }
        let likely_depth = stale_depth.saturating_sub(cached_depth) / 2;
        units::TokenCount((cached_depth + likely_depth) * prompts::BLOCK_TOKENS as u64)
    }

    /// Marks the prefixes that an offer named, so that entries are told about them. Offers name
    /// prefixes only at some lengths, and deltas of other blocks would be of no use to an entry.
    pub fn watch(&mut self, prefixes: &[u64]) {
        for hash in prefixes {
            let Some(block) = self.blocks.get_mut(hash).filter(|block| !block.watched) else {
                continue;
            };
            block.watched = true;
            if self.deltas.cached.len() < MAX_PENDING_DELTAS {
                self.deltas.cached.push(*hash);
            }
        }
    }

    /// Removes and returns the oldest unreported deltas, up to the limit of one report.
    pub fn take_deltas(&mut self) -> CacheDeltas {
        let take = |hashes: &mut Vec<u64>| {
            let count = hashes.len().min(MAX_REPORTED_DELTAS);
            hashes.drain(..count).collect()
        };
        CacheDeltas {
            cached: take(&mut self.deltas.cached),
            evicted: take(&mut self.deltas.evicted),
        }
    }

    /// Returns the number of blocks in the view, stale ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the view has no blocks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    fn store(&mut self, hash: u64, depth: u64) {
        if self.capacity == 0 {
            return;
        }
        let last_used = self.next_use;
        self.next_use += 1;
        let epoch = self.epoch;
        let previous = self.blocks.get(&hash);
        let watched = previous.is_some_and(|previous| previous.watched);
        let block = CacheBlock {
            depth,
            epoch,
            last_used,
            watched,
        };
        if let Some(previous) = self.blocks.insert(hash, block) {
            self.lru_order.remove(&previous.last_used);
        }
        self.lru_order.insert(last_used, hash);
    }

    fn evict(&mut self, hash: u64) {
        let Some(block) = self.blocks.remove(&hash) else {
            return;
        };
        self.lru_order.remove(&block.last_used);
        self.deltas.cached.retain(|cached| *cached != hash);
        if block.watched && self.deltas.evicted.len() < MAX_PENDING_DELTAS {
            self.deltas.evicted.push(hash);
        }
    }

    /// Evicts the least recently used blocks beyond the capacity, as the engine does.
    fn evict_excess(&mut self) {
        while self.blocks.len() > self.capacity {
            let Some((_, hash)) = self.lru_order.pop_first() else {
                return;
            };
            self.evict(hash);
        }
    }
}
