//! Frames of a log segment: a header with length and checksums, then the payload.
//!
//! The checksum of the header also covers the segment's number and the frame's offset, so that
//! bytes of another segment, or a frame inside a command's payload, are never taken for a frame.
//!
//! Damage to the very last frame of the log looks like a write that never finished, and is
//! truncated; the frame then comes back from the leader. Damage anywhere else is refused.

/// The first bytes of every frame.
const MAGIC: [u8; 4] = *b"WXLG";

/// The length of a frame's header in bytes.
pub const HEADER_BYTES: usize = 16;

/// A `FrameHeader` is a header whose own checksum matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FrameHeader {
    length: usize,
    checksum: u32,
}

/// A `FrameScan` is what lies at one offset of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameScan<'a> {
    /// An intact frame with its payload and the offset behind it.
    Frame {
        /// The payload.
        payload: &'a [u8],
        /// Where the next frame starts.
        next: usize,
    },
    /// The end of the segment.
    End,
    /// No intact frame, and none behind it: a write that never finished.
    Torn,
    /// No intact frame, but one starts further on: synced bytes were damaged.
    Damaged,
}

fn header_checksum(fields: &[u8], segment: u64, offset: u64) -> u32 {
    let checksum = crc32c::crc32c(fields);
    let checksum = crc32c::crc32c_append(checksum, &segment.to_le_bytes());
    crc32c::crc32c_append(checksum, &offset.to_le_bytes())
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at.checked_add(4)?)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

fn read_header(content: &[u8], segment: u64, offset: usize) -> Option<FrameHeader> {
    let header = content.get(offset..offset.checked_add(HEADER_BYTES)?)?;
    let fields = header.strip_prefix(&MAGIC)?;
    let expected = header_checksum(&header[..12], segment, offset as u64);
    if read_u32(fields, 8)? != expected {
        return None;
    }
    Some(FrameHeader {
        length: usize::try_from(read_u32(fields, 0)?).ok()?,
        checksum: read_u32(fields, 4)?,
    })
}

fn read_frame(content: &[u8], segment: u64, offset: usize) -> Option<(&[u8], usize)> {
    let header = read_header(content, segment, offset)?;
    let start = offset + HEADER_BYTES;
    let next = start.checked_add(header.length)?;
    let payload = content.get(start..next)?;
    (crc32c::crc32c(payload) == header.checksum).then_some((payload, next))
}

/// Returns the frame of `payload` for its place.
///
/// # Panics
/// Panics if the payload is longer than 4 GiB; the node's bounds keep batches far below that.
#[must_use]
pub fn encode(payload: &[u8], segment: u64, offset: u64) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("a batch is shorter than 4 GiB");
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&crc32c::crc32c(payload).to_le_bytes());
    let checksum = header_checksum(&frame, segment, offset);
    frame.extend_from_slice(&checksum.to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// Reads what lies at `offset` of a segment. Batches are synced one by one, so at most the last
/// frame of a segment can be unfinished; an intact header behind a damaged frame proves that the
/// damaged one was synced.
#[must_use]
pub fn scan(content: &[u8], segment: u64, offset: usize) -> FrameScan<'_> {
    if offset >= content.len() {
        return FrameScan::End;
    }
    if let Some((payload, next)) = read_frame(content, segment, offset) {
        return FrameScan::Frame { payload, next };
    }
    let later = (offset + 1)..content.len();
    let mut later = later.filter(|at| content[*at] == MAGIC[0]);
    if later.any(|at| read_header(content, segment, at).is_some()) {
        FrameScan::Damaged
    } else {
        FrameScan::Torn
    }
}
