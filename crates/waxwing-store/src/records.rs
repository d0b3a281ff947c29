//! Protobuf messages in the payload of a frame.
//!
//! Field numbers must never change, and the number of a removed field must not be reused.

use prost::{Message, Oneof};
use waxwing_quorum::messages;

/// The version of the segment format.
pub const SEGMENT_VERSION: u32 = 1;

/// The first record of every segment. It repeats the current term and vote, so that older segments
/// can be deleted.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SegmentStart {
    /// The format version, [`SEGMENT_VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The segment number, as in the file name.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The term and vote at the start of the segment.
    #[prost(message, optional, tag = "3")]
    pub hard_state: Option<messages::HardState>,
}

/// Removes all entries; the log continues after `index`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LogReset {
    /// The last index covered by the snapshot that replaces the entries.
    #[prost(uint64, tag = "1")]
    pub index: u64,
}

/// Entries to append to the log.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EntryList {
    /// The entries, with consecutive indexes.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<messages::LogEntry>,
}

/// One change of the durable state.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum StepBody {
    /// Starts a segment.
    #[prost(message, tag = "1")]
    Start(SegmentStart),
    /// Replaces the term and vote.
    #[prost(message, tag = "2")]
    HardState(messages::HardState),
    /// Removes the entries from this index on.
    #[prost(uint64, tag = "3")]
    Truncate(u64),
    /// Appends entries.
    #[prost(message, tag = "4")]
    Append(EntryList),
    /// Removes all entries, which a snapshot replaces.
    #[prost(message, tag = "5")]
    Reset(LogReset),
}

/// Wraps a [`StepBody`], since protobuf has no repeated `oneof`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StepRecord {
    /// The change; `None` if it is of an unknown kind.
    #[prost(oneof = "StepBody", tags = "1,2,3,4,5")]
    pub body: Option<StepBody>,
}

/// The payload of one frame: changes that become durable together.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BatchRecord {
    /// The changes, in the order in which they apply.
    #[prost(message, repeated, tag = "1")]
    pub steps: Vec<StepRecord>,
}

impl BatchRecord {
    /// Appends a change to the batch.
    pub fn push(&mut self, body: StepBody) {
        self.steps.push(StepRecord { body: Some(body) });
    }
}
