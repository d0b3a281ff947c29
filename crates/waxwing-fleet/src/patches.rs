//! Patches, which turn one version of a document into another.
//!
//! A change touches a small part of a deployment document, so entries receive the difference from
//! the version that they hold. A patch from an empty base is a compressed whole document.

use std::io::{Read as _, Write as _};

use bytes::Bytes;
use xxhash_rust::xxh3;
use zstd::stream::{read, write};

use crate::errors;

/// Maximum size of a document in bytes. It bounds the memory that a damaged patch can claim.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// Compression level; 1 is the fastest regular one, since control hosts have a part of a core.
const LEVEL: i32 = 1;

/// Range of the window, as the binary logarithm of bytes; the upper end holds the largest base and
/// the largest document together.
const WINDOW_LOGS: std::ops::RangeInclusive<u32> = 16..=25;

/// Returns the digest by which both sides recognise the same document or patch.
#[must_use]
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3::xxh3_64(bytes)
}

/// Creates the patch that turns `base` into `target`. The same input gives the same patch.
///
/// # Errors
/// Fails if the compressor can't allocate its memory.
pub fn create(base: &[u8], target: &[u8]) -> Result<Bytes, errors::PatchError> {
    // The window must reach from the end of the document back to the start of the base.
    let window = (base.len() + target.len()).max(1).ilog2() + 1;
    let mut encoder = write::Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.window_log(window.clamp(*WINDOW_LOGS.start(), *WINDOW_LOGS.end()))?;
    encoder.long_distance_matching(true)?;
    encoder.set_pledged_src_size(Some(target.len() as u64))?;
    encoder.write_all(target)?;
    Ok(encoder.finish()?.into())
}

/// Applies a patch to `base`, and returns the document if it has the expected length and digest.
///
/// # Errors
/// Fails if the patch is damaged, belongs to another base, or the document is too long.
pub fn apply(
    base: &[u8],
    patch: &[u8],
    length: usize,
    expected_digest: u64,
) -> Result<Bytes, errors::PatchError> {
    if length > MAX_DOCUMENT_BYTES {
        return Err(errors::PatchError::TooLong {
            found: length,
            allowed: MAX_DOCUMENT_BYTES,
        });
    }
    let mut decoder = read::Decoder::with_ref_prefix(patch, base)?;
    decoder.window_log_max(*WINDOW_LOGS.end())?;
    let mut document = Vec::with_capacity(length);
    // One byte more than expected shows a document that is too long.
    let limit = length as u64 + 1;
    decoder.take(limit).read_to_end(&mut document)?;
    if document.len() != length || digest(&document) != expected_digest {
        return Err(errors::PatchError::Mismatch);
    }
    Ok(document.into())
}
