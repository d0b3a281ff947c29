//! The kept bytes of one answer: numbered by offset, sent inside a window, and freed when the
//! entry has them.

use std::collections::VecDeque;

use bytes::{Buf as _, Bytes};
use waxwing_wire::messages;

/// The largest chunk in bytes; several answers share a link, and none holds it for long.
const CHUNK_BYTES: usize = 64 * 1024;

/// An `AnswerBuffer` holds what is needed to send an answer, or to send it again.
#[derive(Debug, Default)]
pub struct AnswerBuffer {
    /// Status and headers.
    head: Option<(u32, Vec<messages::HeaderField>)>,
    head_sent: bool,
    /// The offset of the first byte that is kept.
    base: u64,
    kept: VecDeque<Bytes>,
    total: u64,
    sent: u64,
    acknowledged: u64,
    checksum: u32,
    end: Option<messages::AnswerEnd>,
    end_sent: bool,
    /// Whether bytes were given up that no entry had acknowledged.
    dropped: bool,
    /// Whether acknowledged bytes are kept too, so that a keyed resend gets the whole answer.
    keep_all: bool,
}

/// An `AnswerPart` is the next message of an answer.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerPart {
    /// Status and headers.
    Head(u32, Vec<messages::HeaderField>),
    /// Bytes from an offset on, and the end if nothing follows.
    Chunk(u64, Bytes, Option<messages::AnswerEnd>),
}

impl AnswerBuffer {
    /// Builds the buffer of an answer that has not begun.
    #[must_use]
    pub fn new(keep_all: bool) -> Self {
        Self {
            keep_all,
            ..Self::default()
        }
    }

    /// Sets status and headers, once.
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

    /// Appends bytes.
    pub fn push(&mut self, data: Bytes) {
        if data.is_empty() || self.end.is_some() {
            return;
        }
        self.checksum = crc32c::crc32c_append(self.checksum, &data);
        self.total += data.len() as u64;
        self.kept.push_back(data);
    }

    /// Ends an answer that the endpoint completed.
    pub fn finish_whole(&mut self) {
        self.finish(true, "", "");
    }

    /// Ends an answer that is not whole; the names are those of a reason and an outcome.
    pub fn finish_broken(&mut self, reason: &str, outcome: &str) {
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

    /// Returns the bytes that are held in memory.
    #[must_use]
    pub fn kept_bytes(&self) -> u64 {
        self.total - self.base
    }

    /// Returns the bytes that the entry has not acknowledged.
    #[must_use]
    pub fn unacknowledged(&self) -> u64 {
        self.total - self.acknowledged
    }

    /// Tells whether bytes were given up that no entry had acknowledged.
    #[must_use]
    pub fn is_dropped(&self) -> bool {
        self.dropped
    }

    /// Returns the kept bytes from the start if none is missing and they are at most `limit`.
    #[must_use]
    pub fn whole_body(&self, limit: usize) -> Option<Bytes> {
        if self.base > 0 || self.total > limit as u64 {
            return None;
        }
        let mut body = Vec::with_capacity(limit.min(self.total as usize));
        self.kept
            .iter()
            .for_each(|part| body.extend_from_slice(part));
        Some(Bytes::from(body))
    }

    /// Marks bytes below `offset` as received and frees them unless all are kept. An offset that
    /// was never sent is cut, so that a faulty peer can't make the agent lose bytes.
    pub fn acknowledge(&mut self, offset: u64) {
        self.acknowledged = self.acknowledged.max(offset.min(self.sent));
        if !self.keep_all {
            self.free_below(self.acknowledged);
        }
    }

    /// Frees what the entry has, also where all was to be kept.
    pub fn free_acknowledged(&mut self) {
        self.keep_all = false;
        self.free_below(self.acknowledged);
    }

    /// Frees everything; what was not acknowledged can't be sent any more.
    pub fn free_all(&mut self) {
        self.keep_all = false;
        self.dropped |= self.acknowledged < self.total;
        self.free_below(self.total);
    }

    fn free_below(&mut self, offset: u64) {
        while let Some(first) = self.kept.front_mut() {
            let length = first.len() as u64;
            let over = offset.saturating_sub(self.base);
            if over == 0 {
                return;
            }
            if over < length {
                first.advance(over as usize);
                self.base += over;
                return;
            }
            self.base += length;
            self.kept.pop_front();
        }
    }

    /// Sends again from `offset`, after the link was replaced or another entry attached.
    /// Returns false if those bytes are not kept.
    pub fn rewind(&mut self, offset: u64) -> bool {
        if offset < self.base || offset > self.total {
            return false;
        }
        self.sent = offset;
        self.acknowledged = offset;
        self.head_sent = self.head_sent && offset > 0;
        self.end_sent = false;
        true
    }

    /// Returns the next message inside the window of `window` unacknowledged bytes.
    pub fn next_part(&mut self, window: u64) -> Option<AnswerPart> {
        if let Some((status, headers)) = self.head.as_ref().filter(|_| !self.head_sent) {
            self.head_sent = true;
            return Some(AnswerPart::Head(*status, headers.clone()));
        }
        let room = window.saturating_sub(self.sent - self.acknowledged);
        let length = room.min(self.total - self.sent).min(CHUNK_BYTES as u64) as usize;
        let last = self.sent + length as u64 == self.total;
        let end = self.end.clone().filter(|_| last && !self.end_sent);
        if length == 0 && end.is_none() {
            return None;
        }
        let offset = self.sent;
        let data = self.read(offset, length);
        self.sent += length as u64;
        self.end_sent |= end.is_some();
        Some(AnswerPart::Chunk(offset, data, end))
    }

    fn read(&self, offset: u64, length: usize) -> Bytes {
        let mut skip = (offset - self.base) as usize;
        let mut data = Vec::new();
        for part in &self.kept {
            if skip >= part.len() {
                skip -= part.len();
                continue;
            }
            let rest = &part[skip..];
            // The usual case is one part as it came, which is shared and not copied.
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
