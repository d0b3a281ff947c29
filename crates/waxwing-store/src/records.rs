//! The payloads of frames and of the identity file, written with `prost` derive.
//!
//! Field numbers are fixed for good; a removed field keeps its number unused.

use prost::{Message, Oneof};
use waxwing_quorum::messages;

/// The version of the segments' format.
pub const SEGMENT_VERSION: u32 = 1;

/// A `SegmentStart` is the first step of every segment. It repeats the term and vote, so that
/// earlier segments can be removed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SegmentStart {
    /// The version of the format.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The number of the segment.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The term and vote when the segment was started.
    #[prost(message, optional, tag = "3")]
    pub hard: Option<messages::HardState>,
}

/// A `LogReset` removes all entries; the log continues behind `index`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LogReset {
    /// The last index of the snapshot that replaces the entries.
    #[prost(uint64, tag = "1")]
    pub index: u64,
}

/// An `EntryList` holds entries that follow the last one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EntryList {
    /// The entries.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<messages::LogEntry>,
}

/// A `StepBody` is one change of the durable state.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum StepBody {
    /// Starts a segment.
    #[prost(message, tag = "1")]
    Start(SegmentStart),
    /// Replaces the term and vote.
    #[prost(message, tag = "2")]
    Hard(messages::HardState),
    /// Removes the entries at this index and above.
    #[prost(uint64, tag = "3")]
    Truncate(u64),
    /// Appends entries.
    #[prost(message, tag = "4")]
    Append(EntryList),
    /// Removes all entries in favour of a snapshot.
    #[prost(message, tag = "5")]
    Reset(LogReset),
}

/// A `StepRecord` wraps one change.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StepRecord {
    /// The change.
    #[prost(oneof = "StepBody", tags = "1,2,3,4,5")]
    pub body: Option<StepBody>,
}

/// A `BatchRecord` is the payload of one frame: the changes of one write batch.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BatchRecord {
    /// The changes in their order.
    #[prost(message, repeated, tag = "1")]
    pub steps: Vec<StepRecord>,
}

impl BatchRecord {
    /// Adds a change.
    pub fn push(&mut self, body: StepBody) {
        self.steps.push(StepRecord { body: Some(body) });
    }
}
