//! Map of prompt prefixes to the endpoints that probably have them cached.

use std::collections::{HashMap, VecDeque};

use waxwing_core::{prompts, units};

use crate::choice;

/// Maximum number of prefix hashes in an offer; it keeps the offer under 512 bytes.
pub const MAX_HASHES: usize = 32;

/// Maximum number of endpoints that are kept for one prefix.
const MAX_ENDPOINTS_PER_PREFIX: usize = 4;

/// Maximum number of endpoints that one lookup returns, those with the longest prefix first; it
/// bounds the time of a routing decision.
pub const MAX_HINTS: usize = 32;

/// Chained hash and length of a prompt prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixHash {
    /// Length of the prefix in blocks.
    pub blocks: u32,
    /// The chained hash of the last block.
    pub hash: u64,
}

impl PrefixHash {
    /// Returns the length of the prefix in tokens.
    #[must_use]
    pub fn tokens(&self) -> units::TokenCount {
        units::TokenCount(u64::from(self.blocks) * prompts::BLOCK_TOKENS as u64)
    }
}

/// Samples at most [`MAX_HASHES`] prefixes of a prompt from its block hashes, longest last. The
/// lengths are taken from a fixed grid with four steps per power of two, so that prompts of
/// different lengths name a shared prefix by the same hash.
#[must_use]
pub fn sample_hashes(hashes: &[u64]) -> Vec<PrefixHash> {
    let mut lengths: Vec<usize> = (1..8).collect();
    let mut octave = 8;
    while octave <= hashes.len() {
        lengths.extend((4..8).map(|quarter| octave * quarter / 4));
        octave *= 2;
    }
    lengths.retain(|length| *length <= hashes.len());
    let skipped = lengths.len().saturating_sub(MAX_HASHES);
    let kept = lengths.into_iter().skip(skipped);
    kept.map(|length| PrefixHash {
        blocks: u32::try_from(length).unwrap_or(u32::MAX),
        hash: hashes[length - 1],
    })
    .collect()
}

#[derive(Debug, Default)]
struct PrefixRecord {
    /// Endpoints in the order in which they were last inserted, most recent last.
    endpoints: Vec<choice::EndpointId>,
    /// Whether the prefix was looked up since eviction last skipped it (the reference bit of the
    /// second-chance algorithm).
    referenced: bool,
}

/// Bounded map from prefix hashes to endpoints, with second-chance eviction.
#[derive(Debug)]
pub struct PrefixMap {
    capacity: usize,
    prefixes: HashMap<u64, PrefixRecord>,
    order: VecDeque<u64>,
}

impl PrefixMap {
    /// Creates a map that holds at most `capacity` prefixes, and at least one.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            prefixes: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Returns the number of prefixes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether the map holds no prefixes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Records that an endpoint has a prefix cached. If the prefix already has the maximum number
    /// of endpoints, the least recently inserted one is replaced.
    pub fn insert(&mut self, hash: u64, endpoint: choice::EndpointId) {
        if !self.prefixes.contains_key(&hash) {
            self.evict_for_insert();
            self.order.push_back(hash);
        }
        let record = self.prefixes.entry(hash).or_default();
        record.endpoints.retain(|other| *other != endpoint);
        if record.endpoints.len() == MAX_ENDPOINTS_PER_PREFIX {
            record.endpoints.remove(0);
        }
        record.endpoints.push(endpoint);
    }

    /// Removes an endpoint that has evicted a prefix.
    pub fn remove(&mut self, hash: u64, endpoint: choice::EndpointId) {
        if let Some(record) = self.prefixes.get_mut(&hash) {
            record.endpoints.retain(|other| *other != endpoint);
        }
    }

    /// Removes an endpoint from all prefixes after it has left or restarted.
    pub fn forget(&mut self, endpoint: choice::EndpointId) {
        for record in self.prefixes.values_mut() {
            record.endpoints.retain(|other| *other != endpoint);
        }
    }

    /// Appends the endpoints that have a prefix of the prompt cached, each with its longest prefix,
    /// to `hints`, up to [`MAX_HINTS`].
    pub fn affinities(&mut self, prompt: &[PrefixHash], hints: &mut Vec<choice::AffinityHint>) {
        for prefix in prompt.iter().rev() {
            let Some(record) = self.prefixes.get_mut(&prefix.hash) else {
                continue;
            };
            record.referenced = true;
            for endpoint in &record.endpoints {
                if hints.len() == MAX_HINTS {
                    return;
                }
                if hints.iter().all(|hint| hint.endpoint != *endpoint) {
                    hints.push(choice::AffinityHint {
                        endpoint: *endpoint,
                        cached: prefix.tokens(),
                    });
                }
            }
        }
    }

    /// Evicts prefixes until there is space for one more. A prefix that was looked up since
    /// eviction last skipped it gets a second chance.
    fn evict_for_insert(&mut self) {
        while self.prefixes.len() >= self.capacity {
            let Some(hash) = self.order.pop_front() else {
                return;
            };
            match self.prefixes.get_mut(&hash) {
                Some(record) if record.referenced && !record.endpoints.is_empty() => {
                    record.referenced = false;
                    self.order.push_back(hash);
                }
                _ => {
                    self.prefixes.remove(&hash);
                }
            }
        }
    }
}
