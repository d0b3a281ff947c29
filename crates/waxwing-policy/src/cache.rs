//! What the prefix cache of an engine probably holds: derived from the prompts that were sent to
//! it, from the cached tokens that its answers tell, and from cache events that come late and
//! with gaps; see `docs/design.md`, section 5.

use std::collections::{BTreeMap, HashMap};

use waxwing_core::{prompts, units};

/// A `CacheKnowledge` says what is known about one prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CacheKnowledge {
    /// The engine holds it.
    Known,
    /// It was held before a gap in the events, and may have been evicted since.
    Unknown,
    /// Nothing says that the engine holds it.
    Absent,
}

/// A `CacheBlock` is what is known about one block; the hash of a block names the whole prefix
/// that ends with it.
#[derive(Debug, Clone, Copy)]
struct CacheBlock {
    /// Blocks in the prefix, this one included; zero where only an event told the hash.
    depth: u64,
    /// The epoch of the last confirmation; an older one than the current makes it unknown.
    epoch: u64,
    /// The place in the order of use.
    used: u64,
    /// Whether entries name this prefix in offers, and so are told when it is evicted.
    watched: bool,
}

/// `CacheDeltas` are the prefixes that became cached or evicted since they were last taken.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheDeltas {
    /// Prefixes that became cached.
    pub cached: Vec<u64>,
    /// Prefixes that were evicted.
    pub evicted: Vec<u64>,
}

/// The most deltas of one kind that are kept until they are taken; further ones are dropped,
/// since they only make a choice better and never make it wrong.
const MAX_DELTAS: usize = 64;

/// The most deltas of one kind that are taken at a time. A report goes out every second to every
/// entry that watches the endpoint, and an entry watches up to 160: 16 hashes are 20 KB/s there.
const TAKEN_DELTAS: usize = 16;

/// A `CacheView` is the agent's view of the prefix cache of its engine.
#[derive(Debug)]
pub struct CacheView {
    capacity: usize,
    blocks: HashMap<u64, CacheBlock>,
    order: BTreeMap<u64, u64>,
    next_use: u64,
    epoch: u64,
    next_event: Option<u64>,
    deltas: CacheDeltas,
}

impl CacheView {
    /// Builds the view of an empty cache that holds `capacity` tokens.
    #[must_use]
    pub fn new(capacity: units::TokenCount) -> Self {
        Self {
            capacity: (capacity.0 / prompts::BLOCK_TOKENS as u64) as usize,
            blocks: HashMap::new(),
            order: BTreeMap::new(),
            next_use: 0,
            epoch: 0,
            next_event: None,
            deltas: CacheDeltas::default(),
        }
    }

    /// Notes that the engine computed or reused the prompt with these block hashes.
    pub fn sent(&mut self, hashes: &[u64]) {
        // Deep blocks are touched first, so that eviction takes them before their own prefix.
        for (index, hash) in hashes.iter().enumerate().rev() {
            self.store(*hash, index as u64 + 1);
        }
        self.trim();
    }

    /// Corrects the view by what an answer told: of the prompt with these block hashes,
    /// `cached_tokens` were found. Deeper blocks that the view held for cached were not; it
    /// returns true in that case. All of them are cached now, since the prompt was computed.
    pub fn observed(&mut self, hashes: &[u64], cached_tokens: u64) -> bool {
        let found = (cached_tokens / prompts::BLOCK_TOKENS as u64) as usize;
        let missed = hashes.get(found).copied();
        let wrong = missed.is_some_and(|hash| self.knowledge(hash) == CacheKnowledge::Known);
        self.sent(hashes);
        wrong
    }

    /// Takes a cache event. Returns true if events before it were lost: what was known until now
    /// becomes unknown, since some of it may have been evicted by a lost event.
    pub fn event(&mut self, number: u64, stored: bool, hashes: &[u64]) -> bool {
        let gap = self.next_event.is_some_and(|next| number > next);
        let old = self.next_event.is_some_and(|next| number < next);
        if old {
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
        self.trim();
        gap
    }

    /// Forgets everything, since the engine was started again.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
        self.next_event = None;
    }

    /// Says what is known about a prefix.
    #[must_use]
    pub fn knowledge(&self, hash: u64) -> CacheKnowledge {
        match self.blocks.get(&hash) {
            Some(block) if block.epoch == self.epoch => CacheKnowledge::Known,
            Some(_) => CacheKnowledge::Unknown,
            None => CacheKnowledge::Absent,
        }
    }

    /// Returns the prompt tokens that are expected to be cached, for a prompt with these prefix
    /// hashes, longest last. An unknown prefix counts with probability one half.
    #[must_use]
    pub fn expected_tokens(&self, prefixes: &[u64]) -> units::TokenCount {
        let mut certain = 0;
        let mut possible = 0;
        for hash in prefixes.iter().rev() {
            let Some(block) = self.blocks.get(hash) else {
                continue;
            };
            if block.epoch == self.epoch {
                certain = certain.max(block.depth);
                break;
            }
            possible = possible.max(block.depth);
        }
        let more = possible.saturating_sub(certain) / 2;
        units::TokenCount((certain + more) * prompts::BLOCK_TOKENS as u64)
    }

    /// Marks the prefixes that an offer named. Entries know prefixes only at some lengths, and
    /// hear of no others.
    pub fn watch(&mut self, prefixes: &[u64]) {
        for hash in prefixes {
            let Some(block) = self.blocks.get_mut(hash).filter(|block| !block.watched) else {
                continue;
            };
            block.watched = true;
            if self.deltas.cached.len() < MAX_DELTAS {
                self.deltas.cached.push(*hash);
            }
        }
    }

    /// Takes some of what became cached or evicted and was not taken yet.
    pub fn take_deltas(&mut self) -> CacheDeltas {
        let take = |hashes: &mut Vec<u64>| {
            let count = hashes.len().min(TAKEN_DELTAS);
            hashes.drain(..count).collect()
        };
        CacheDeltas {
            cached: take(&mut self.deltas.cached),
            evicted: take(&mut self.deltas.evicted),
        }
    }

    /// Returns the number of blocks that are held for cached.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Tells whether nothing is held for cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    fn store(&mut self, hash: u64, depth: u64) {
        if self.capacity == 0 {
            return;
        }
        let used = self.next_use;
        self.next_use += 1;
        let epoch = self.epoch;
        let former = self.blocks.get(&hash);
        let watched = former.is_some_and(|former| former.watched);
        let block = CacheBlock {
            depth,
            epoch,
            used,
            watched,
        };
        if let Some(former) = self.blocks.insert(hash, block) {
            self.order.remove(&former.used);
        }
        self.order.insert(used, hash);
    }

    fn evict(&mut self, hash: u64) {
        let Some(block) = self.blocks.remove(&hash) else {
            return;
        };
        self.order.remove(&block.used);
        self.deltas.cached.retain(|cached| *cached != hash);
        if block.watched && self.deltas.evicted.len() < MAX_DELTAS {
            self.deltas.evicted.push(hash);
        }
    }

    /// Drops the blocks that were used longest ago, as the engine does when its memory is full.
    fn trim(&mut self) {
        while self.blocks.len() > self.capacity {
            let Some((_, hash)) = self.order.pop_first() else {
                return;
            };
            self.evict(hash);
        }
    }
}
