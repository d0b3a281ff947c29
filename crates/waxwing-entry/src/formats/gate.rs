//! Holds the end marker of a stream back until the answer is known to be whole.

use bytes::{Bytes, BytesMut};

/// A `StreamGate` passes the bytes of an event stream on, but for a line that is or may become the
/// end marker, and all that follows it. A caller takes the marker for a complete answer, so it must
/// not be sent before length and checksum were checked.
#[derive(Debug)]
pub struct StreamGate {
    marker: &'static [u8],
    held: BytesMut,
    /// Whether the next byte that is passed on begins a line.
    at_line: bool,
}

impl StreamGate {
    /// Builds a gate for a marker that begins a line.
    #[must_use]
    pub fn new(marker: &'static [u8]) -> Self {
        Self {
            marker,
            held: BytesMut::new(),
            at_line: true,
        }
    }

    /// Takes bytes in and returns what may be passed on; it may be empty.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        let passed = if self.held.is_empty() && self.held_from(&data) == data.len() {
            data
        } else {
            self.held.extend_from_slice(&data);
            let from = self.held_from(&self.held);
            self.held.split_to(from).freeze()
        };
        if let Some(last) = passed.last() {
            self.at_line = *last == b'\n';
        }
        passed
    }

    /// Returns what was held back, since the answer is whole.
    pub fn open(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// Finds the first line that begins as the marker does.
    fn held_from(&self, data: &[u8]) -> usize {
        let mut start = 0;
        let mut at_line = self.at_line;
        loop {
            let rest = &data[start..];
            let shared = rest.len().min(self.marker.len());
            if at_line && shared > 0 && rest[..shared] == self.marker[..shared] {
                return start;
            }
            at_line = true;
            match rest.iter().position(|byte| *byte == b'\n') {
                Some(newline) => start += newline + 1,
                None => return data.len(),
            }
        }
    }
}
