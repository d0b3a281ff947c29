//! Holds back the end marker of an event stream until the answer is verified to be complete.

use bytes::{Bytes, BytesMut};

/// Filter that forwards the bytes of an event stream, except a line that is or may become the end
/// marker, and everything after it. To a caller, the marker means that the answer is complete, so
/// it must not be sent before length and checksum are verified.
#[derive(Debug)]
pub struct StreamGate {
    marker: &'static [u8],
    held: BytesMut,
    /// Whether the next forwarded byte starts a line.
    at_line_start: bool,
}

impl StreamGate {
    /// Creates a gate for a marker at the start of a line.
    #[must_use]
    pub fn new(marker: &'static [u8]) -> Self {
        Self {
            marker,
            held: BytesMut::new(),
            at_line_start: true,
        }
    }

    /// Adds bytes and returns those that may be forwarded, possibly none.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        let forwarded = if self.held.is_empty() && self.find_marker(&data) == data.len() {
            data
        } else {
            self.held.extend_from_slice(&data);
            let end = self.find_marker(&self.held);
            self.held.split_to(end).freeze()
        };
        if let Some(last) = forwarded.last() {
            self.at_line_start = *last == b'\n';
        }
        forwarded
    }

    /// Returns the bytes held back; called once the answer is complete.
    pub fn release(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// Returns the offset of the first line that matches the marker as far as both go, or the
    /// length of `data`.
    fn find_marker(&self, data: &[u8]) -> usize {
        let mut start = 0;
        let mut at_line_start = self.at_line_start;
        loop {
            let rest = &data[start..];
            let compared = rest.len().min(self.marker.len());
            if at_line_start && compared > 0 && rest[..compared] == self.marker[..compared] {
                return start;
            }
            at_line_start = true;
            match rest.iter().position(|byte| *byte == b'\n') {
                Some(newline) => start += newline + 1,
                None => return data.len(),
            }
        }
    }
}
