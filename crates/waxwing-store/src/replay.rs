//! Replays the segments of a log into the state that a node starts from.

use prost::Message as _;
use waxwing_quorum::{messages, ready};

use crate::{errors, frames, records};

/// A `LogReplay` is the state that the steps read so far have built.
#[derive(Debug, Default)]
pub(crate) struct LogReplay {
    pub(crate) hard: messages::HardState,
    entries: Vec<messages::LogEntry>,
    /// The index that has to come next, once one is known.
    expected: Option<u64>,
    /// Whether anything but starts of segments was read.
    pub(crate) used: bool,
}

/// A `SegmentReplay` is the result of one segment.
#[derive(Debug)]
pub(crate) struct SegmentReplay {
    /// The length of the intact frames.
    pub(crate) intact: usize,
    /// Whether an unfinished frame follows them.
    pub(crate) torn: bool,
    /// The highest index of an entry in the segment.
    pub(crate) highest: u64,
}

impl LogReplay {
    /// Reads one segment.
    ///
    /// # Errors
    /// Fails with the offset and the reason if synced bytes are damaged.
    pub(crate) fn read_segment(
        &mut self,
        number: u64,
        content: &[u8],
    ) -> Result<SegmentReplay, (u64, errors::CorruptReason)> {
        let mut segment = SegmentReplay {
            intact: 0,
            torn: false,
            highest: 0,
        };
        loop {
            let offset = segment.intact;
            match frames::scan(content, number, offset) {
                frames::FrameScan::End => return Ok(segment),
                frames::FrameScan::Torn => {
                    segment.torn = true;
                    return Ok(segment);
                }
                frames::FrameScan::Damaged => {
                    return Err((offset as u64, errors::CorruptReason::Middle));
                }
                frames::FrameScan::Frame { payload, next } => {
                    self.read_batch(number, offset, payload, &mut segment.highest)
                        .map_err(|reason| (offset as u64, reason))?;
                    segment.intact = next;
                }
            }
        }
    }

    fn read_batch(
        &mut self,
        number: u64,
        offset: usize,
        payload: &[u8],
        highest: &mut u64,
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
                self.hard = start.hard.unwrap_or_default();
                continue;
            }
            self.used = true;
            self.apply(body, highest)?;
        }
        Ok(())
    }

    fn apply(
        &mut self,
        body: records::StepBody,
        highest: &mut u64,
    ) -> Result<(), errors::CorruptReason> {
        match body {
            records::StepBody::Start(_) => {}
            records::StepBody::Hard(hard) => self.hard = hard,
            records::StepBody::Truncate(from) => {
                let kept = self.entries.partition_point(|entry| entry.index < from);
                self.entries.truncate(kept);
                self.expected = Some(from);
            }
            records::StepBody::Reset(reset) => {
                self.entries.clear();
                self.expected = Some(reset.index.saturating_add(1));
            }
            records::StepBody::Append(list) => {
                for entry in list.entries {
                    self.append(entry)?;
                    *highest = self.expected.map_or(0, |next| next - 1).max(*highest);
                }
            }
        }
        Ok(())
    }

    fn append(&mut self, entry: messages::LogEntry) -> Result<(), errors::CorruptReason> {
        let found = entry.index;
        let expected = self.expected.unwrap_or(found);
        if expected != found || found == u64::MAX {
            return Err(errors::CorruptReason::Gap { expected, found });
        }
        self.expected = Some(found + 1);
        self.entries.push(entry);
        Ok(())
    }

    /// Joins the log with the latest snapshot. Also tells whether the log on disk has to be reset
    /// before it can go on, because its end doesn't meet the snapshot.
    ///
    /// # Errors
    /// Fails if entries between the snapshot and the log are missing.
    pub(crate) fn finish(
        self,
        snapshot: Option<ready::Snapshot>,
    ) -> Result<(ready::RecoveredState, bool), errors::CorruptReason> {
        let mut entries = self.entries;
        let (base, term) = snapshot
            .as_ref()
            .map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        // A snapshot from the leader is stored before the log is reset. After a crash between the
        // two the log is the former one, which ends before the snapshot or conflicts with it.
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
        let reset = self.expected.is_some_and(|expected| expected != next);
        let recovered = ready::RecoveredState {
            hard_state: self.hard,
            snapshot,
            entries,
        };
        Ok((recovered, reset))
    }
}
