//! The canonical text of a prompt, the estimate of its token count, and its chained block hashes.
//! Entries, agents and engines must compute the same hashes, since a prefix in an engine's cache is
//! identified by its hash alone; see `docs/design.md`, section 10.

use xxhash_rust::xxh3;

use crate::units;

/// Bytes of canonical text that are estimated as one token.
pub const TOKEN_BYTES: usize = 4;

/// Size of a prefix cache block in tokens.
pub const BLOCK_TOKENS: usize = 16;

/// Size of a prefix cache block in bytes of canonical text.
pub const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS;

/// Appends a chat message to the canonical text.
pub fn push_message(text: &mut String, role: &str, content: &str) {
    text.push_str(role);
    text.push('\n');
    text.push_str(content);
    text.push('\n');
}

/// Estimates the token count of a canonical text; at least one.
#[must_use]
pub fn estimate_tokens(text: &str) -> units::TokenCount {
    units::TokenCount(text.len().div_ceil(TOKEN_BYTES).max(1) as u64)
}

/// Returns the chained hash of each complete block, in order. The hash of a block also covers all
/// blocks before it, so that it identifies the whole prefix.
#[must_use]
pub fn block_hashes(text: &str) -> Vec<u64> {
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .scan(0, |hash, block| {
            *hash = xxh3::xxh3_64_with_seed(block, *hash);
            Some(*hash)
        })
        .collect()
}
