//! Reassembly and verification of an answer, and when its bytes may be sent to the caller.

use bytes::Bytes;
use waxwing_wire::messages;

use super::CoreAction;

/// How many bytes of an answer that is not streamed are held back until the answer is complete, so
/// that a failure can still be reported as a refusal. Must stay below the 256 KiB that an agent
/// sends without acknowledgement.
const MAX_HELD_BYTES: usize = 64 * 1024;

/// Result of [`AnswerTracker::accept`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkCheck {
    /// The bytes of the chunk that were not received before; empty for a duplicate.
    New(Bytes),
    /// Bytes before the chunk are missing.
    Gap,
}

/// Result of [`AnswerTracker::check`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCheck {
    /// Every byte was received and the checksum matches.
    Complete,
    /// Bytes are missing.
    Gap,
    /// The length or the checksum doesn't match.
    Corrupt,
    /// The agent reported that the answer is incomplete.
    Failed,
}

/// Drops duplicate bytes of an answer, detects gaps and verifies the complete answer.
#[derive(Debug, Default)]
pub struct AnswerTracker {
    next_offset: u64,
    checksum: u32,
}

impl AnswerTracker {
    /// Returns the offset of the next expected byte.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Accepts a chunk and removes the bytes that were received before.
    pub fn accept(&mut self, offset: u64, mut data: Bytes) -> ChunkCheck {
        let Some(duplicate) = self.next_offset.checked_sub(offset) else {
            return ChunkCheck::Gap;
        };
        let duplicate = usize::try_from(duplicate)
            .unwrap_or(usize::MAX)
            .min(data.len());
        let new_data = data.split_off(duplicate);
        self.next_offset += new_data.len() as u64;
        self.checksum = crc32c::crc32c_append(self.checksum, &new_data);
        ChunkCheck::New(new_data)
    }

    /// Compares the end of an answer with the received bytes.
    #[must_use]
    pub fn check(&self, end: &messages::AnswerEnd) -> EndCheck {
        if !end.whole {
            EndCheck::Failed
        } else if end.total_bytes > self.next_offset {
            EndCheck::Gap
        } else if end.total_bytes < self.next_offset || end.checksum != self.checksum {
            EndCheck::Corrupt
        } else {
            EndCheck::Complete
        }
    }

    /// Returns the part of a stored body that was not received yet; `None` if the body doesn't
    /// start with the received bytes.
    #[must_use]
    pub fn strip_received(&self, body: &Bytes) -> Option<Bytes> {
        let prefix_len = usize::try_from(self.next_offset).ok()?;
        let prefix = body.get(..prefix_len)?;
        (crc32c::crc32c(prefix) == self.checksum).then(|| body.slice(prefix_len..))
    }
}

/// Holds an answer back until it may be sent to the caller: a streamed one until its headers, any
/// other until it is complete or exceeds the limit.
#[derive(Debug)]
pub struct AnswerBuffer {
    tracker: AnswerTracker,
    stream: bool,
    has_head: bool,
    started: bool,
    held: Vec<CoreAction>,
    held_bytes: usize,
}

impl AnswerBuffer {
    /// Creates an empty buffer; `stream` sends the answer as it arrives.
    #[must_use]
    pub fn new(stream: bool) -> Self {
        Self {
            tracker: AnswerTracker::default(),
            stream,
            has_head: false,
            started: false,
            held: Vec::new(),
            held_bytes: 0,
        }
    }

    /// Returns whether the status and headers were received.
    #[must_use]
    pub fn has_head(&self) -> bool {
        self.has_head
    }

    /// Returns whether any part was sent to the caller.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Returns the number of contiguous bytes received.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.tracker.next_offset()
    }

    /// Returns the tracker of the received bytes.
    pub fn tracker(&mut self) -> &mut AnswerTracker {
        &mut self.tracker
    }

    /// Adds the status and headers; a duplicate is ignored.
    pub fn push_head(
        &mut self,
        status: u32,
        headers: Vec<messages::HeaderField>,
        actions: &mut Vec<CoreAction>,
    ) {
        if self.has_head {
            return;
        }
        self.has_head = true;
        let status = u16::try_from(status).unwrap_or(502);
        self.held.push(CoreAction::Head { status, headers });
        if self.stream {
            self.flush(actions);
        }
    }

    /// Adds new contiguous bytes.
    pub fn push_data(&mut self, data: Bytes, actions: &mut Vec<CoreAction>) {
        if data.is_empty() {
            return;
        }
        self.held_bytes += data.len();
        self.held.push(CoreAction::Data(data));
        if self.started || self.held_bytes > MAX_HELD_BYTES {
            self.flush(actions);
        }
    }

    /// Sends everything that is held back and completes the response.
    pub fn finish(&mut self, actions: &mut Vec<CoreAction>) {
        self.flush(actions);
        actions.push(CoreAction::Finish);
    }

    fn flush(&mut self, actions: &mut Vec<CoreAction>) {
        self.started = true;
        actions.append(&mut self.held);
    }
}
