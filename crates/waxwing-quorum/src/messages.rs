//! Messages between members and the records of the log, written with `prost` derive.
//!
//! Field numbers are fixed for good; a removed field keeps its number unused.

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};
use waxwing_core::ids;

use crate::{errors, members, units};

/// An `IdentityRecord` is the encoded form of a [`members::MemberIdentity`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct IdentityRecord {
    /// The member id.
    #[prost(uint64, tag = "1")]
    pub member: u64,
    /// The sixteen bytes of the store id.
    #[prost(bytes = "bytes", tag = "2")]
    pub store: Bytes,
}

impl From<members::MemberIdentity> for IdentityRecord {
    fn from(identity: members::MemberIdentity) -> Self {
        Self {
            member: identity.member.0,
            store: Bytes::copy_from_slice(&identity.store.to_bytes()),
        }
    }
}

impl TryFrom<&IdentityRecord> for members::MemberIdentity {
    type Error = errors::DecodeError;

    fn try_from(record: &IdentityRecord) -> Result<Self, Self::Error> {
        Ok(Self {
            member: ids::MemberId(record.member),
            store: ids::StoreId::from_slice(&record.store)?,
        })
    }
}

/// A `MemberRecord` is one member in a [`MemberList`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberRecord {
    /// Who it is.
    #[prost(message, optional, tag = "1")]
    pub identity: Option<IdentityRecord>,
    /// Whether it votes.
    #[prost(bool, tag = "2")]
    pub voter: bool,
}

/// A `MemberList` is the encoded form of a [`members::Membership`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberList {
    /// All members.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberRecord>,
}

/// An `EntryKind` tells what the payload of an entry is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// Nothing; a leader starts its term with it.
    Noop = 0,
    /// A command of the caller.
    Command = 1,
    /// A [`MemberList`] that takes effect when it is appended.
    Members = 2,
}

/// A `LogEntry` is one record of the log.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LogEntry {
    /// The position in the log.
    #[prost(uint64, tag = "1")]
    pub index: units::LogIndex,
    /// The term of the leader that appended it.
    #[prost(uint64, tag = "2")]
    pub term: units::Term,
    /// What the payload is.
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    /// The command or the member list.
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: Bytes,
}

/// A `HardState` is the term and vote, which a member must not forget.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HardState {
    /// The latest term the member has seen.
    #[prost(uint64, tag = "1")]
    pub term: units::Term,
    /// The candidate it voted for in this term.
    #[prost(message, optional, tag = "2")]
    pub vote: Option<IdentityRecord>,
}

/// A `VoteRequest` asks for a vote, or in a pre-vote whether a vote would be given.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VoteRequest {
    /// The index of the candidate's last entry.
    #[prost(uint64, tag = "1")]
    pub last_index: units::LogIndex,
    /// The term of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_term: units::Term,
    /// Whether this is a pre-vote; nobody changes its term for it.
    #[prost(bool, tag = "3")]
    pub pre_vote: bool,
    /// Whether the leader asked for this election; voters then don't wait for its lease to end.
    #[prost(bool, tag = "4")]
    pub transfer: bool,
}

/// A `VoteResponse` answers a [`VoteRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VoteResponse {
    /// The term that the request asked for.
    #[prost(uint64, tag = "1")]
    pub request_term: units::Term,
    /// Whether the vote is given.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Whether this answers a pre-vote.
    #[prost(bool, tag = "3")]
    pub pre_vote: bool,
}

/// An `AppendRequest` carries entries, or none as a heartbeat.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AppendRequest {
    /// The index of the entry before the first one.
    #[prost(uint64, tag = "1")]
    pub previous_index: units::LogIndex,
    /// The term of that entry.
    #[prost(uint64, tag = "2")]
    pub previous_term: units::Term,
    /// The leader's commit index.
    #[prost(uint64, tag = "3")]
    pub commit: units::LogIndex,
    /// The heartbeat round that the leader was in when it sent this; the answer repeats it.
    #[prost(uint64, tag = "4")]
    pub round: u64,
    /// The entries.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<LogEntry>,
}

/// An `AppendResponse` answers an [`AppendRequest`] once its entries are synced.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AppendResponse {
    /// The round of the request.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// Whether the entry before the first one didn't match.
    #[prost(bool, tag = "2")]
    pub rejected: bool,
    /// Accepted: the last index known to match. Rejected: the last index that can match.
    #[prost(uint64, tag = "3")]
    pub index: units::LogIndex,
    /// Rejected: the follower's term at `index`, by which the leader skips whole terms.
    #[prost(uint64, tag = "4")]
    pub conflict_term: units::Term,
    /// Rejected: the `previous_index` that was refused, by which late answers are recognised.
    #[prost(uint64, tag = "5")]
    pub rejected_index: units::LogIndex,
}

/// A `SnapshotChunk` carries a part of a snapshot.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SnapshotChunk {
    /// The last index that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: units::LogIndex,
    /// The term of that index.
    #[prost(uint64, tag = "2")]
    pub term: units::Term,
    /// The membership at that index.
    #[prost(message, optional, tag = "3")]
    pub members: Option<MemberList>,
    /// The length of the whole snapshot in bytes.
    #[prost(uint64, tag = "4")]
    pub total: u64,
    /// Where this part starts.
    #[prost(uint64, tag = "5")]
    pub offset: u64,
    /// The bytes of this part.
    #[prost(bytes = "bytes", tag = "6")]
    pub data: Bytes,
    /// The heartbeat round, as in an [`AppendRequest`].
    #[prost(uint64, tag = "7")]
    pub round: u64,
}

/// A `SnapshotResponse` answers a [`SnapshotChunk`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SnapshotResponse {
    /// The index of the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: units::LogIndex,
    /// The offset that the receiver needs next.
    #[prost(uint64, tag = "2")]
    pub next_offset: u64,
    /// Whether the snapshot is synced; the receiver's log then matches up to `index`.
    #[prost(bool, tag = "3")]
    pub installed: bool,
    /// The round of the chunk.
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

/// An `TimeoutNow` tells the receiver to start an election at once; leadership is transferred to it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TimeoutNow {}

/// A `PeerBody` is the content of a message between members.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum PeerBody {
    /// Asks for a vote.
    #[prost(message, tag = "10")]
    VoteRequest(VoteRequest),
    /// Answers a request for a vote.
    #[prost(message, tag = "11")]
    VoteResponse(VoteResponse),
    /// Carries entries.
    #[prost(message, tag = "12")]
    AppendRequest(AppendRequest),
    /// Answers entries.
    #[prost(message, tag = "13")]
    AppendResponse(AppendResponse),
    /// Carries a part of a snapshot.
    #[prost(message, tag = "14")]
    SnapshotChunk(SnapshotChunk),
    /// Answers a part of a snapshot.
    #[prost(message, tag = "15")]
    SnapshotResponse(SnapshotResponse),
    /// Transfers leadership to the receiver.
    #[prost(message, tag = "16")]
    TimeoutNow(TimeoutNow),
}

/// A `PeerMessage` is one message between members.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerMessage {
    /// The term of the sender, or the term asked for in a pre-vote.
    #[prost(uint64, tag = "1")]
    pub term: units::Term,
    /// Who sends it.
    #[prost(message, optional, tag = "2")]
    pub sender: Option<IdentityRecord>,
    /// Which life of which member it is for.
    #[prost(message, optional, tag = "3")]
    pub recipient: Option<IdentityRecord>,
    /// The content.
    #[prost(oneof = "PeerBody", tags = "10,11,12,13,14,15,16")]
    pub body: Option<PeerBody>,
}

/// Encodes a message for the link.
#[must_use]
pub fn encode(message: &PeerMessage) -> Bytes {
    message.encode_to_vec().into()
}

/// Decodes a message from a link. What it allocates is bounded by the length of `payload`.
///
/// # Errors
/// Fails if the bytes are malformed.
pub fn decode(payload: Bytes) -> Result<PeerMessage, errors::DecodeError> {
    Ok(PeerMessage::decode(payload)?)
}
