//! The send buffer of one answer: bytes are addressed by offset, sent within a window, and freed
//! once the entry has acknowledged them.

use std::collections::VecDeque;

use bytes::{Buf as _, Bytes};
use waxwing_wire::messages;

/// Maximum chunk size in bytes. Several answers share a link, and none may occupy it for long.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Buffers what is needed to send an answer, or to resend it.
#[derive(Debug, Default)]
pub struct AnswerBuffer {
    /// HTTP status and headers.
    head: Option<(u32, Vec<messages::HeaderField>)>,
    head_sent: bool,
    /// The offset of the first buffered byte.
    base_offset: u64,
    buffered: VecDeque<Bytes>,
    total: u64,
    sent: u64,
    acknowledged: u64,
    checksum: u32,
    end: Option<messages::AnswerEnd>,
    end_sent: bool,
    /// Whether unacknowledged bytes were freed.
    dropped: bool,
    /// Whether acknowledged bytes are kept too, so that a retry with the same idempotency key gets
    /// the complete answer.
    keep_all: bool,
}

/// The next message to send for an answer.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerPart {
    /// HTTP status and headers.
    Head(u32, Vec<messages::HeaderField>),
    /// Offset, bytes from there on, and the end of the answer if nothing follows.
    Chunk(u64, Bytes, Option<messages::AnswerEnd>),
}

impl AnswerBuffer {
    /// Creates the buffer of an answer that has not started. With `keep_all`, acknowledged bytes
    /// are kept as well.
    #[must_use]
    pub fn new(keep_all: bool) -> Self {
        Self {
            keep_all,
            ..Self::default()
        }
    }

    /// Sets status and headers; later calls have no effect.
    pub fn set_head(&mut self, status: u32, headers: Vec<messages::HeaderField>) {
        if self.head.is_none() {
            self.head = Some((status, headers));
        }
    }

    /// Returns status and headers, once they are known.
    #[must_use]
    pub fn head(&self) -> Option<(u32, &[messages::HeaderField])> {
        let (status, headers) = self.head.as_ref()?;
        Some((*status, headers))
    }

    /// Appends bytes; they are ignored once the answer has ended.
    pub fn push(&mut self, data: Bytes) {
        if data.is_empty() || self.end.is_some() {
            return;
        }
        self.checksum = crc32c::crc32c_append(self.checksum, &data);
        self.total += data.len() as u64;
        self.buffered.push_back(data);
    }

    /// Ends an answer that is complete.
    pub fn finish_complete(&mut self) {
        self.finish(true, "", "");
    }

    /// Ends an incomplete answer, with the names of a refusal reason and an outcome.
    pub fn finish_incomplete(&mut self, reason: &str, outcome: &str) {
        self.finish(false, reason, outcome);
    }

    fn finish(&mut self, whole: bool, reason: &str, outcome: &str) {
        if self.end.is_none() {
            self.end = Some(messages::AnswerEnd {
                whole,
                total_bytes: self.total,
                checksum: self.checksum,
                reason: reason.to_owned(),
                outcome: outcome.to_owned(),
            });
        }
    }

    /// Returns how the answer ended, if it has.
    #[must_use]
    pub fn end(&self) -> Option<&messages::AnswerEnd> {
        self.end.as_ref()
    }

    /// Returns the number of buffered bytes.
    #[must_use]
    pub fn kept_bytes(&self) -> u64 {
        self.total - self.base_offset
    }

    /// Returns the number of bytes that the entry has not acknowledged.
    #[must_use]
    pub fn unacknowledged(&self) -> u64 {
        self.total - self.acknowledged
    }

    /// Returns whether unacknowledged bytes were freed, so that the answer can't be completed.
    #[must_use]
    pub fn is_dropped(&self) -> bool {
        self.dropped
    }

    /// Returns all bytes so far, unless some were freed or there are more than `limit`.
    #[must_use]
    pub fn complete_body(&self, limit: usize) -> Option<Bytes> {
        if self.base_offset > 0 || self.total > limit as u64 {
            return None;
        }
        let mut body = Vec::with_capacity(limit.min(self.total as usize));
        self.buffered
            .iter()
            .for_each(|part| body.extend_from_slice(part));
        Some(Bytes::from(body))
    }

    /// Marks bytes below `offset` as received and frees them unless all are kept. The offset is
    /// limited to what was sent, so that a faulty peer can't make the agent lose bytes.
    pub fn acknowledge(&mut self, offset: u64) {
        self.acknowledged = self.acknowledged.max(offset.min(self.sent));
        if !self.keep_all {
            self.free_below(self.acknowledged);
        }
    }

    /// Frees acknowledged bytes, even if the buffer was to keep all.
    pub fn free_acknowledged(&mut self) {
        self.keep_all = false;
        self.free_below(self.acknowledged);
    }

    /// Frees everything; unacknowledged bytes are lost.
    pub fn free_all(&mut self) {
        self.keep_all = false;
        self.dropped |= self.acknowledged < self.total;
        self.free_below(self.total);
    }

    fn free_below(&mut self, offset: u64) {
        while let Some(first) = self.buffered.front_mut() {
            let length = first.len() as u64;
            let to_free = offset.saturating_sub(self.base_offset);
            if to_free == 0 {
                return;
            }
            if to_free < length {
                first.advance(to_free as usize);
                self.base_offset += to_free;
                return;
            }
            self.base_offset += length;
            self.buffered.pop_front();
        }
    }

    /// Resumes sending at `offset`, after the link was replaced or another entry took over.
    /// Returns false if those bytes are no longer buffered.
    pub fn rewind(&mut self, offset: u64) -> bool {
        if offset < self.base_offset || offset > self.total {
            return false;
        }
        self.sent = offset;
        self.acknowledged = offset;
        self.head_sent = self.head_sent && offset > 0;
        self.end_sent = false;
        true
    }

    /// Returns the next message, if the window of `window` unacknowledged bytes has space for one.
    pub fn next_part(&mut self, window: u64) -> Option<AnswerPart> {
        if let Some((status, headers)) = self.head.as_ref().filter(|_| !self.head_sent) {
            self.head_sent = true;
            return Some(AnswerPart::Head(*status, headers.clone()));
        }
        let available = window.saturating_sub(self.sent - self.acknowledged);
        let length = available
            .min(self.total - self.sent)
            .min(MAX_CHUNK_BYTES as u64) as usize;
        let last = self.sent + length as u64 == self.total;
        let end = self.end.clone().filter(|_| last && !self.end_sent);
        if length == 0 && end.is_none() {
            return None;
        }
        let offset = self.sent;
        let data = self.read_range(offset, length);
        self.sent += length as u64;
        self.end_sent |= end.is_some();
        Some(AnswerPart::Chunk(offset, data, end))
    }

    fn read_range(&self, offset: u64, length: usize) -> Bytes {
        let mut skip = (offset - self.base_offset) as usize;
        let mut data = Vec::new();
        for part in &self.buffered {
            if skip >= part.len() {
                skip -= part.len();
                continue;
            }
            let rest = &part[skip..];
            // Usually the range lies within one buffered part, which is shared without copying.
            if data.is_empty() && rest.len() >= length {
                return part.slice(skip..skip + length);
            }
            let wanted = (length - data.len()).min(rest.len());
            data.extend_from_slice(&rest[..wanted]);
            skip = 0;
            if data.len() == length {
                break;
            }
        }
        Bytes::from(data)
    }
}
