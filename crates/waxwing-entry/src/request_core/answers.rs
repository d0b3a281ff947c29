//! The bytes of an answer: their order, their completeness, and what the caller may see of them.

use bytes::Bytes;
use waxwing_wire::messages;

use super::CoreAction;

/// Bytes of an answer that is not streamed which are held back until the answer is known to be
/// whole, so that a failure can still become a proper refusal. Must stay below the 256 KiB that an
/// agent sends without acknowledgement.
const HOLD_BYTES: usize = 64 * 1024;

/// A `ChunkCheck` tells how a chunk fits what was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkCheck {
    /// These bytes are new and in order; they may be empty.
    Fresh(Bytes),
    /// Bytes before this chunk are missing.
    Gap,
}

/// An `EndCheck` tells how an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCheck {
    /// Every byte was received and the checksum is right.
    Whole,
    /// Bytes are missing.
    Gap,
    /// Length or checksum are wrong.
    Corrupt,
    /// The agent says that the answer is not whole.
    Failed,
}

/// An `AnswerTracker` puts the chunks of an answer in order and checks the whole.
#[derive(Debug, Default)]
pub struct AnswerTracker {
    next: u64,
    checksum: u32,
}

impl AnswerTracker {
    /// Returns the offset of the next byte.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Takes a chunk in and cuts off what was received before.
    pub fn accept(&mut self, offset: u64, mut data: Bytes) -> ChunkCheck {
        let Some(known) = self.next.checked_sub(offset) else {
            return ChunkCheck::Gap;
        };
        let known = usize::try_from(known).unwrap_or(usize::MAX).min(data.len());
        let fresh = data.split_off(known);
        self.next += fresh.len() as u64;
        self.checksum = crc32c::crc32c_append(self.checksum, &fresh);
        ChunkCheck::Fresh(fresh)
    }

    /// Checks the end of an answer against the bytes.
    #[must_use]
    pub fn check(&self, end: &messages::AnswerEnd) -> EndCheck {
        if !end.whole {
            EndCheck::Failed
        } else if end.total_bytes > self.next {
            EndCheck::Gap
        } else if end.total_bytes < self.next || end.checksum != self.checksum {
            EndCheck::Corrupt
        } else {
            EndCheck::Whole
        }
    }

    /// Cuts the part that is already known from a stored body; `None` if the body doesn't begin
    /// with the bytes that were received.
    #[must_use]
    pub fn rest_of(&self, body: &Bytes) -> Option<Bytes> {
        let next = usize::try_from(self.next).ok()?;
        let begin = body.get(..next)?;
        (crc32c::crc32c(begin) == self.checksum).then(|| body.slice(next..))
    }
}

/// An `AnswerBuffer` holds an answer back until it may be passed to the caller.
#[derive(Debug)]
pub struct AnswerBuffer {
    tracker: AnswerTracker,
    stream: bool,
    has_head: bool,
    passed: bool,
    held: Vec<CoreAction>,
    held_bytes: usize,
}

impl AnswerBuffer {
    /// Builds an empty buffer.
    #[must_use]
    pub fn new(stream: bool) -> Self {
        Self {
            tracker: AnswerTracker::default(),
            stream,
            has_head: false,
            passed: false,
            held: Vec::new(),
            held_bytes: 0,
        }
    }

    /// Tells whether status and headers were received.
    #[must_use]
    pub fn has_head(&self) -> bool {
        self.has_head
    }

    /// Tells whether the caller has got anything.
    #[must_use]
    pub fn is_passed(&self) -> bool {
        self.passed
    }

    /// Returns the number of bytes that were received in order.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.tracker.next()
    }

    /// Returns the order and completeness of the bytes.
    pub fn tracker(&mut self) -> &mut AnswerTracker {
        &mut self.tracker
    }

    /// Takes status and headers in; a repeated head changes nothing.
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
            self.pass(actions);
        }
    }

    /// Takes bytes in that are in order.
    pub fn push_data(&mut self, data: Bytes, actions: &mut Vec<CoreAction>) {
        if data.is_empty() {
            return;
        }
        self.held_bytes += data.len();
        self.held.push(CoreAction::Data(data));
        if self.passed || self.held_bytes > HOLD_BYTES {
            self.pass(actions);
        }
    }

    /// Passes everything on, since the answer is whole.
    pub fn finish(&mut self, actions: &mut Vec<CoreAction>) {
        self.pass(actions);
        actions.push(CoreAction::Finish);
    }

    fn pass(&mut self, actions: &mut Vec<CoreAction>) {
        self.passed = true;
        actions.append(&mut self.held);
    }
}
