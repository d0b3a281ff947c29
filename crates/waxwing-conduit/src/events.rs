//! Splitting a stream into events, so that an event that was cut off never reaches a caller.

use bytes::{Bytes, BytesMut};

/// The longest event that is held back until it is complete; a longer one breaks the stream off.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An `EventSplitter` gathers bytes of a stream and gives out complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last: Option<u64>,
}

impl EventSplitter {
    /// Builds a splitter for a stream of which the caller has all events up to `last`.
    #[must_use]
    pub fn starting_after(last: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last,
        }
    }

    /// Takes bytes and returns the complete events that they end, in one piece. Events that the
    /// caller has already, as after a resumption, are left out.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let mut kept = BytesMut::new();
        while let Some(end) = event_end(&self.pending) {
            let event = self.pending.split_to(end);
            match event_id(&event) {
                Some(id) if self.last.is_some_and(|last| id <= last) => continue,
                Some(id) => self.last = Some(id),
                None => {}
            }
            if kept.is_empty() {
                kept = event;
            } else {
                kept.extend_from_slice(&event);
            }
        }
        kept.freeze()
    }

    /// Drops what is left of an event that was cut off.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Tells whether the stream stopped inside an event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Tells whether an event is too long.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Returns the id of the last event that was given out.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }
}

/// Returns the end of the first event, behind its blank line.
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

/// Returns the id of an event, if it has a numeric one.
#[must_use]
pub fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
