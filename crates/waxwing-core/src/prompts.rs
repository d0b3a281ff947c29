//! The canonical text of a prompt, its estimated tokens and its chained block hashes. Entries,
//! agents and engines must agree on these hashes, so that a prefix cached by an engine is
//! recognised by its hash alone; see `docs/design.md`, section 10.

use xxhash_rust::xxh3;

use crate::units;

/// Bytes of canonical text that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// Bytes in one block of the prefix cache.
pub const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS;

/// Appends one message of a chat to the canonical text.
pub fn push_message(text: &mut String, role: &str, content: &str) {
    text.push_str(role);
    text.push('\n');
    text.push_str(content);
    text.push('\n');
}

/// Estimates the tokens of a canonical text; at least one.
#[must_use]
pub fn estimate_tokens(text: &str) -> units::TokenCount {
    units::TokenCount(text.len().div_ceil(TOKEN_BYTES).max(1) as u64)
}

/// Returns the chained hash of every whole block, the first block first. The hash of a block
/// covers all blocks before it, so one hash names a whole prefix.
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
