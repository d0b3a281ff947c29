//! Protobuf messages between members and records of the log.
//!
//! Field numbers never change, and the number of a removed field is not reused.

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};
use waxwing_core::ids;

use crate::{errors, members, units};

/// The encoding of a [`members::MemberIdentity`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct IdentityRecord {
    /// The member id.
    #[prost(uint64, tag = "1")]
    pub member: u64,
    /// The 16 bytes of the store id.
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

/// A member in a [`MemberList`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberRecord {
    /// The identity of the member.
    #[prost(message, optional, tag = "1")]
    pub identity: Option<IdentityRecord>,
    /// Whether the member is a voter or a learner.
    #[prost(bool, tag = "2")]
    pub voter: bool,
}

/// The encoding of a [`members::Membership`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberList {
    /// The voters and learners.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberRecord>,
}

/// The type of an entry's payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// An empty payload. A leader starts its term with such an entry, whose commit also commits all
    /// earlier entries.
    Noop = 0,
    /// A command that the caller applies to its state.
    Command = 1,
    /// A [`MemberList`], the membership from the append of this entry on.
    Members = 2,
}

/// An entry of the replicated log.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LogEntry {
    /// The index of the entry.
    #[prost(uint64, tag = "1")]
    pub index: units::LogIndex,
    /// The term of the leader that appended it.
    #[prost(uint64, tag = "2")]
    pub term: units::Term,
    /// The [`EntryKind`] of the payload.
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    /// The command, the encoded member list, or nothing.
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: Bytes,
}

/// The term and vote, which a member must sync before it sends messages that depend on them, so
/// that they survive a restart.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HardState {
    /// The highest term that the member has seen.
    #[prost(uint64, tag = "1")]
    pub term: units::Term,
    /// The candidate that received the member's vote in this term.
    #[prost(message, optional, tag = "2")]
    pub vote: Option<IdentityRecord>,
}

/// Asks for a vote or, in a pre-vote, whether the receiver would grant one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VoteRequest {
    /// The index of the candidate's last entry.
    #[prost(uint64, tag = "1")]
    pub last_index: units::LogIndex,
    /// The term of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_term: units::Term,
    /// Whether this is a pre-vote, for which neither candidate nor receiver changes its term.
    #[prost(bool, tag = "3")]
    pub pre_vote: bool,
    /// Whether this election is part of a leadership transfer; voters then don't wait for the leader
    /// to fall silent.
    #[prost(bool, tag = "4")]
    pub transfer: bool,
}

/// The response to a [`VoteRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VoteResponse {
    /// The term of the request.
    #[prost(uint64, tag = "1")]
    pub request_term: units::Term,
    /// Whether the vote is granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Whether this is the response to a pre-vote.
    #[prost(bool, tag = "3")]
    pub pre_vote: bool,
}

/// Replicates entries; without entries it is a heartbeat or probe.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AppendRequest {
    /// The index of the entry that precedes `entries`.
    #[prost(uint64, tag = "1")]
    pub previous_index: units::LogIndex,
    /// The term of the entry at `previous_index`.
    #[prost(uint64, tag = "2")]
    pub previous_term: units::Term,
    /// The leader's commit index.
    #[prost(uint64, tag = "3")]
    pub commit: units::LogIndex,
    /// The leader's heartbeat round when it sent the request; the response returns it.
    #[prost(uint64, tag = "4")]
    pub round: u64,
    /// Entries with consecutive indexes.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<LogEntry>,
}

/// The response to an [`AppendRequest`]. It acknowledges only entries that are synced.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AppendResponse {
    /// The heartbeat round of the request.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// Whether the request was rejected because of its term or because the follower's log has no
    /// entry that matches `previous_index` and `previous_term`.
    #[prost(bool, tag = "2")]
    pub rejected: bool,
    /// If accepted, the last index known to match the leader's log; if rejected, the last index
    /// that may match.
    #[prost(uint64, tag = "3")]
    pub index: units::LogIndex,
    /// If rejected, the follower's term at `index`, which lets the leader skip all entries of a
    /// conflicting term.
    #[prost(uint64, tag = "4")]
    pub conflict_term: units::Term,
    /// If rejected, the `previous_index` of the request, which identifies outdated responses.
    #[prost(uint64, tag = "5")]
    pub rejected_index: units::LogIndex,
}

/// A part of a snapshot that the leader sends to a follower.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SnapshotChunk {
    /// The index of the last entry that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: units::LogIndex,
    /// The term of the entry at `index`.
    #[prost(uint64, tag = "2")]
    pub term: units::Term,
    /// The membership at `index`.
    #[prost(message, optional, tag = "3")]
    pub members: Option<MemberList>,
    /// The size of the whole snapshot in bytes.
    #[prost(uint64, tag = "4")]
    pub total: u64,
    /// The byte offset of `data` in the snapshot.
    #[prost(uint64, tag = "5")]
    pub offset: u64,
    /// The bytes of the chunk.
    #[prost(bytes = "bytes", tag = "6")]
    pub data: Bytes,
    /// The heartbeat round, as in [`AppendRequest::round`].
    #[prost(uint64, tag = "7")]
    pub round: u64,
}

/// The response to a [`SnapshotChunk`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SnapshotResponse {
    /// The index of the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: units::LogIndex,
    /// The byte offset of the next chunk that the follower needs.
    #[prost(uint64, tag = "2")]
    pub next_offset: u64,
    /// Whether the follower has synced the snapshot, so that its log matches up to `index`.
    #[prost(bool, tag = "3")]
    pub installed: bool,
    /// The heartbeat round of the chunk.
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

/// Makes the receiver start an election immediately, as the target of a leadership transfer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TimeoutNow {}

/// The body of a [`PeerMessage`].
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum PeerBody {
    /// A request for a vote or pre-vote.
    #[prost(message, tag = "10")]
    VoteRequest(VoteRequest),
    /// The response to a vote request.
    #[prost(message, tag = "11")]
    VoteResponse(VoteResponse),
    /// Entries, a heartbeat or a probe.
    #[prost(message, tag = "12")]
    AppendRequest(AppendRequest),
    /// The response to an append request.
    #[prost(message, tag = "13")]
    AppendResponse(AppendResponse),
    /// A part of a snapshot.
    #[prost(message, tag = "14")]
    SnapshotChunk(SnapshotChunk),
    /// The response to a snapshot chunk.
    #[prost(message, tag = "15")]
    SnapshotResponse(SnapshotResponse),
    /// The last step of a leadership transfer.
    #[prost(message, tag = "16")]
    TimeoutNow(TimeoutNow),
}

/// A message from one member to another.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerMessage {
    /// The sender's term, or in a pre-vote request the term of the election that would follow.
    #[prost(uint64, tag = "1")]
    pub term: units::Term,
    /// The identity of the sender.
    #[prost(message, optional, tag = "2")]
    pub sender: Option<IdentityRecord>,
    /// The identity of the recipient; with another store id, the recipient ignores the message.
    #[prost(message, optional, tag = "3")]
    pub recipient: Option<IdentityRecord>,
    /// The body; a message without one is malformed.
    #[prost(oneof = "PeerBody", tags = "10,11,12,13,14,15,16")]
    pub body: Option<PeerBody>,
}

/// Encodes a message for transmission to a peer.
#[must_use]
pub fn encode(message: &PeerMessage) -> Bytes {
    message.encode_to_vec().into()
}

/// Decodes a message from a peer. The allocated memory is bounded by the length of `payload`.
///
/// # Errors
/// Fails if the bytes are malformed.
pub fn decode(payload: Bytes) -> Result<PeerMessage, errors::DecodeError> {
    Ok(PeerMessage::decode(payload)?)
}
