//! Which endpoints probably have which prompt prefix cached.

use std::collections::{HashMap, VecDeque};

use waxwing_core::{prompts, units};

use crate::choice;

/// Hashes that an offer carries at most, so that it stays under 512 bytes.
pub const MAX_HASHES: usize = 32;

/// Endpoints that are remembered for one prefix.
const MAX_HOLDERS: usize = 4;

/// Endpoints that one look-up returns at most, those with the longest prefix first; it bounds the
/// time of a decision.
pub const MAX_HINTS: usize = 32;

/// A `PrefixHash` is the chained hash of a prefix together with its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixHash {
    /// The length in blocks.
    pub blocks: u32,
    /// The chained hash of the last block.
    pub hash: u64,
}

impl PrefixHash {
    /// Returns the length in tokens.
    #[must_use]
    pub fn tokens(&self) -> units::TokenCount {
        units::TokenCount(u64::from(self.blocks) * prompts::BLOCK_TOKENS as u64)
    }
}

/// Picks at most [`MAX_HASHES`] prefixes, the longest last. The lengths come from one fixed grid of
/// four per octave, so that two prompts of different lengths name a shared prefix by the same hash.
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
struct PrefixHolders {
    /// The endpoint that was seen last comes last.
    endpoints: Vec<choice::EndpointId>,
    /// Whether the prefix was used since the eviction hand passed it.
    used: bool,
}

/// A `PrefixMap` is a bounded map from prefix hash to the endpoints that probably have it cached.
#[derive(Debug)]
pub struct PrefixMap {
    capacity: usize,
    holders: HashMap<u64, PrefixHolders>,
    order: VecDeque<u64>,
}

impl PrefixMap {
    /// Builds a map of at most `capacity` prefixes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            holders: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Returns the number of prefixes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Tells whether no prefix is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Remembers that an endpoint has a prefix.
    pub fn insert(&mut self, hash: u64, endpoint: choice::EndpointId) {
        if !self.holders.contains_key(&hash) {
            self.make_room();
            self.order.push_back(hash);
        }
        let holders = self.holders.entry(hash).or_default();
        holders.endpoints.retain(|other| *other != endpoint);
        if holders.endpoints.len() == MAX_HOLDERS {
            holders.endpoints.remove(0);
        }
        holders.endpoints.push(endpoint);
    }

    /// Forgets that an endpoint has a prefix.
    pub fn remove(&mut self, hash: u64, endpoint: choice::EndpointId) {
        if let Some(holders) = self.holders.get_mut(&hash) {
            holders.endpoints.retain(|other| *other != endpoint);
        }
    }

    /// Forgets an endpoint that is gone or has restarted.
    pub fn forget(&mut self, endpoint: choice::EndpointId) {
        for holders in self.holders.values_mut() {
            holders.endpoints.retain(|other| *other != endpoint);
        }
    }

    /// Lists the endpoints with a prefix of the prompt, each with its longest one.
    pub fn affinities(&mut self, prompt: &[PrefixHash], hints: &mut Vec<choice::AffinityHint>) {
        for prefix in prompt.iter().rev() {
            let Some(holders) = self.holders.get_mut(&prefix.hash) else {
                continue;
            };
            holders.used = true;
            for endpoint in &holders.endpoints {
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

    /// Evicts by second chance: a prefix that was used since the last pass is kept once more.
    fn make_room(&mut self) {
        while self.holders.len() >= self.capacity {
            let Some(hash) = self.order.pop_front() else {
                return;
            };
            match self.holders.get_mut(&hash) {
                Some(holders) if holders.used && !holders.endpoints.is_empty() => {
                    holders.used = false;
                    self.order.push_back(hash);
                }
                _ => {
                    self.holders.remove(&hash);
                }
            }
        }
    }
}
