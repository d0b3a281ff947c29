//! Splits an event stream into events, so that a truncated event never reaches a caller.

use bytes::{Bytes, BytesMut};

/// Size limit of a buffered incomplete event; a longer one aborts the stream.
pub const MAX_EVENT_BYTES: usize = 128 * 1024;

/// Buffers the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of the incomplete event at the end.
    pending: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Builds a splitter for a stream whose caller already has all events up to the id `last_id`.
    #[must_use]
    pub fn starting_after(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
        }
    }

    /// Adds received bytes and returns all events that are now complete, concatenated. Events that
    /// the caller already has, for example after a resumption, are left out.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let mut kept = Vec::new();
        let mut complete = 0;
        while let Some(end) = event_end(&self.pending[complete..]) {
            let event = &self.pending[complete..complete + end];
            complete += end;
            match event_id(event) {
                Some(id) if self.last_id.is_some_and(|last| id <= last) => continue,
                Some(id) => self.last_id = Some(id),
                None => {}
            }
            kept.extend_from_slice(event);
        }
        // Both may be held for long until the caller reads, so they take no more than their size.
        self.pending = BytesMut::from(&self.pending[complete..]);
        kept.shrink_to_fit();
        kept.into()
    }

    /// Discards a truncated event.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Tells whether an incomplete event is buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Tells whether the buffered incomplete event exceeds [`MAX_EVENT_BYTES`].
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Returns the id of the last event that was returned, or that the caller had at the start.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the end of the first event, after the blank line that terminates it.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..position];
        if line.is_empty() || line == b"\r" {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}

/// Returns the value of the `id` field of an event if it is numeric.
#[must_use]
pub fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
