//! Encoding of the frames in a log segment: a header with length and checksums, then the payload.
//!
//! The header checksum also covers the segment number and the frame's offset, so that bytes of
//! another segment, or a frame embedded in a command's payload, are never mistaken for a frame.
//!
//! Damage to the last frame of the log can't be told from an interrupted write. The frame is
//! truncated, and the leader sends its entries again. Damage anywhere else is an error.

/// The magic bytes at the start of every frame.
const MAGIC: [u8; 4] = *b"WXLG";

/// Length of a frame header in bytes: magic bytes, payload length, payload checksum and header
/// checksum, 4 bytes each.
pub const HEADER_BYTES: usize = 16;

/// The fields of a header whose own checksum matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FrameHeader {
    payload_length: usize,
    payload_checksum: u32,
}

/// What [`scan`] finds at an offset of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameScan<'a> {
    /// An intact frame.
    Frame {
        /// The payload.
        payload: &'a [u8],
        /// The offset of the next frame.
        next: usize,
    },
    /// The end of the segment.
    End,
    /// No intact frame here and no valid header later: an interrupted write.
    Torn,
    /// No intact frame here, but a valid header later: synced bytes were damaged.
    Damaged,
}

fn header_checksum(fields: &[u8], segment: u64, offset: u64) -> u32 {
    let checksum = crc32c::crc32c(fields);
    let checksum = crc32c::crc32c_append(checksum, &segment.to_le_bytes());
    crc32c::crc32c_append(checksum, &offset.to_le_bytes())
}

fn read_u32(bytes: &[u8], field_offset: usize) -> Option<u32> {
    let field = bytes.get(field_offset..field_offset.checked_add(4)?)?;
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
        payload_length: usize::try_from(read_u32(fields, 0)?).ok()?,
        payload_checksum: read_u32(fields, 4)?,
    })
}

fn read_frame(content: &[u8], segment: u64, offset: usize) -> Option<(&[u8], usize)> {
    let header = read_header(content, segment, offset)?;
    let start = offset + HEADER_BYTES;
    let next = start.checked_add(header.payload_length)?;
    let payload = content.get(start..next)?;
    (crc32c::crc32c(payload) == header.payload_checksum).then_some((payload, next))
}

/// Encodes `payload` as the frame at byte `offset` of segment number `segment`.
///
/// # Panics
/// Panics if the payload is longer than 4 GiB; the node's limits keep batches far below that.
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

/// Reads the frame at `offset` of a segment. Batches are synced one by one, so only the last frame
/// of a segment can be incomplete; a valid header after a damaged frame proves that the damaged
/// frame had been synced.
#[must_use]
pub fn scan(content: &[u8], segment: u64, offset: usize) -> FrameScan<'_> {
    if offset >= content.len() {
        return FrameScan::End;
    }
    if let Some((payload, next)) = read_frame(content, segment, offset) {
        return FrameScan::Frame { payload, next };
    }
    let later = (offset + 1)..content.len();
    let mut candidates = later.filter(|position| content[*position] == MAGIC[0]);
    if candidates.any(|position| read_header(content, segment, position).is_some()) {
        FrameScan::Damaged
    } else {
        FrameScan::Torn
    }
}
