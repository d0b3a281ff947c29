//! Replays the log segments to recover the state that a node starts from.

use prost::Message as _;
use waxwing_quorum::{messages, ready};

use crate::{errors, frames, records};

/// The state recovered from the segments read so far.
#[derive(Debug, Default)]
pub(crate) struct LogReplay {
    pub(crate) hard_state: messages::HardState,
    entries: Vec<messages::LogEntry>,
    /// The index of the next entry; `None` before the first record that determines it.
    next_index: Option<u64>,
    /// Whether any record other than a segment start was read.
    pub(crate) has_records: bool,
}

/// What was found in one segment.
#[derive(Debug)]
pub(crate) struct SegmentReplay {
    /// Length of the intact frames in bytes.
    pub(crate) intact_bytes: usize,
    /// Whether the intact frames are followed by an incomplete one.
    pub(crate) torn: bool,
    /// The highest index of an entry in the segment.
    pub(crate) highest_index: u64,
}

impl LogReplay {
    /// Replays segment `number` from its content.
    ///
    /// # Errors
    /// Returns the byte offset and the reason if synced bytes are damaged.
    pub(crate) fn read_segment(
        &mut self,
        number: u64,
        content: &[u8],
    ) -> Result<SegmentReplay, (u64, errors::CorruptReason)> {
        let mut segment = SegmentReplay {
            intact_bytes: 0,
            torn: false,
            highest_index: 0,
        };
        loop {
            let offset = segment.intact_bytes;
            match frames::scan(content, number, offset) {
                frames::FrameScan::End => return Ok(segment),
                frames::FrameScan::Torn => {
                    segment.torn = true;
                    return Ok(segment);
                }
                frames::FrameScan::Damaged => {
                    return Err((offset as u64, errors::CorruptReason::DamagedFrame));
                }
                frames::FrameScan::Frame { payload, next } => {
                    self.read_batch(number, offset, payload, &mut segment.highest_index)
                        .map_err(|reason| (offset as u64, reason))?;
                    segment.intact_bytes = next;
                }
            }
        }
    }

    fn read_batch(
        &mut self,
        number: u64,
        offset: usize,
        payload: &[u8],
        highest_index: &mut u64,
    ) -> Result<(), errors::CorruptReason> {
        let batch = records::BatchRecord::decode(payload)?;
        for body in batch.steps.into_iter().filter_map(|step| step.body) {
            if let records::StepBody::Start(start) = body {
                if offset != 0
                    || start.version != records::SEGMENT_VERSION
                    || start.number != number
                {
                    return Err(errors::CorruptReason::Header {
                        version: start.version,
                        number: start.number,
                    });
                }
                self.hard_state = start.hard_state.unwrap_or_default();
                continue;
            }
            self.has_records = true;
            self.apply(body, highest_index)?;
        }
        Ok(())
    }

    fn apply(
        &mut self,
        body: records::StepBody,
        highest_index: &mut u64,
    ) -> Result<(), errors::CorruptReason> {
        match body {
            records::StepBody::Start(_) => {}
            records::StepBody::HardState(hard_state) => self.hard_state = hard_state,
            records::StepBody::Truncate(from) => {
                let kept = self.entries.partition_point(|entry| entry.index < from);
                self.entries.truncate(kept);
                self.next_index = Some(from);
            }
            records::StepBody::Reset(reset) => {
                self.entries.clear();
                self.next_index = Some(reset.index.saturating_add(1));
            }
            records::StepBody::Append(list) => {
                for entry in list.entries {
                    self.append(entry)?;
                    *highest_index = self
                        .next_index
                        .map_or(0, |next| next - 1)
                        .max(*highest_index);
                }
            }
        }
        Ok(())
    }

    fn append(&mut self, entry: messages::LogEntry) -> Result<(), errors::CorruptReason> {
        let found = entry.index;
        let expected = self.next_index.unwrap_or(found);
        if expected != found || found == u64::MAX {
            return Err(errors::CorruptReason::Gap { expected, found });
        }
        self.next_index = Some(found + 1);
        self.entries.push(entry);
        Ok(())
    }

    /// Combines the log with the latest snapshot. The flag tells whether the log on disk must be
    /// reset to the snapshot's index before entries are appended, because its next index differs
    /// from the recovered one.
    ///
    /// # Errors
    /// Fails if entries between the snapshot and the first entry of the log are missing.
    pub(crate) fn finish(
        self,
        snapshot: Option<ready::Snapshot>,
    ) -> Result<(ready::RecoveredState, bool), errors::CorruptReason> {
        let mut entries = self.entries;
        let (base, term) = snapshot
            .as_ref()
            .map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        // An installed snapshot is written before the log is reset. After a crash between the two,
        // the log is still the old one, which ends before the snapshot or conflicts with it.
        let at_base = entries.iter().find(|entry| entry.index == base);
        let conflicts = at_base.is_some_and(|entry| entry.term != term);
        if conflicts || entries.last().is_some_and(|entry| entry.index < base) {
            entries.clear();
        }
        entries.retain(|entry| entry.index > base);
        if let Some(first) = entries.first().filter(|first| first.index != base + 1) {
            return Err(errors::CorruptReason::Gap {
                expected: base + 1,
                found: first.index,
            });
        }
        let next = entries.last().map_or(base, |entry| entry.index) + 1;
        let needs_reset = self.next_index.is_some_and(|expected| expected != next);
        let recovered = ready::RecoveredState {
            hard_state: self.hard_state,
            snapshot,
            entries,
        };
        Ok((recovered, needs_reset))
    }
}
