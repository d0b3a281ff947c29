//! Errors of the replicated log.

use waxwing_core::{errors as core_errors, ids, units as core_units};

use crate::{members, units};

/// The constraint that invalid options violate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum OptionsError {
    /// The minimum election timeout is longer than the maximum.
    #[error("election_timeout_min is above election_timeout_max")]
    ElectionTimeoutRange,
    /// The heartbeat interval is zero, or three heartbeats don't fit into the minimum election
    /// timeout, so that a single lost one could start an election.
    #[error("heartbeat_interval is zero or above a third of election_timeout_min")]
    HeartbeatInterval,
    /// A limit that must be positive is zero.
    #[error("max_inflight_batches or snapshot_chunk_bytes is zero")]
    ZeroLimit,
}

/// The reason why a node can't be created from the recovered state.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    /// The options are invalid.
    #[error(transparent)]
    Options(#[from] OptionsError),
    /// The indexes of the recovered entries are not consecutive.
    #[error("recovered log has a gap: expected entry {expected}, found {found}")]
    LogGap {
        /// The index that follows the preceding entry.
        expected: units::LogIndex,
        /// The index of the next recovered entry.
        found: units::LogIndex,
    },
    /// A membership entry of the log or the stored vote is malformed.
    #[error("recovered membership or vote is malformed: {0}")]
    MalformedRecord(#[from] DecodeError),
}

/// The reason why a message, membership or identity can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not a valid protobuf message.
    #[error("malformed message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A required field is missing; the value describes it.
    #[error("message lacks {0}")]
    MissingField(&'static str),
    /// A store id is malformed.
    #[error(transparent)]
    Id(#[from] core_errors::ParseError),
    /// A field, described by the first value, has an enum value that is not defined.
    #[error("{0} has the unknown value {1}")]
    UnknownValue(&'static str, i32),
    /// A term or index is too large to be valid.
    #[error("{0} is out of range for a term or an index")]
    OutOfRange(u64),
    /// The indexes of a message's entries are not consecutive, their terms decrease, or a term is
    /// above that of the message.
    #[error("log entry {0} is out of order")]
    OutOfOrder(units::LogIndex),
}

/// The reason why a received message was ignored.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReceiveError {
    /// The message can't be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The message names another sender than the member that the link belongs to.
    #[error("message from member {claimed} arrived on the link of member {link}")]
    SenderMismatch {
        /// The member that the link belongs to.
        link: ids::MemberId,
        /// The member that the message names as its sender.
        claimed: ids::MemberId,
    },
    /// The message is for another member, or for this member with another store id.
    #[error("message is for {intended}, not for {actual}")]
    WrongRecipient {
        /// The identity that the sender addressed.
        intended: members::MemberIdentity,
        /// The identity of this node.
        actual: members::MemberIdentity,
    },
    /// The membership doesn't list the sender with this store id.
    #[error("{0} is not in the membership")]
    UnknownSender(members::MemberIdentity),
    /// Another member claims to be the leader of the term in which this node is the leader.
    #[error("{leader} claims to be leader of term {term}, but this node is")]
    ConflictingLeader {
        /// The other leader.
        leader: members::MemberIdentity,
        /// The term.
        term: units::Term,
    },
    /// The snapshot of the leader exceeds `NodeOptions::max_snapshot_bytes`.
    #[error("snapshot of {found} exceeds the limit of {allowed}")]
    SnapshotTooLong {
        /// The announced size.
        found: core_units::ByteCount,
        /// The limit.
        allowed: core_units::ByteCount,
    },
    /// A write failed, so the node is halted until it is restarted.
    #[error("storage failed; the node is halted")]
    Halted,
}

/// The reason why a proposal was rejected. Nothing was appended, so the command will never be
/// applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This node isn't the leader.
    #[error("not the leader")]
    NotLeader {
        /// The leader, if one is known.
        leader: Option<members::MemberIdentity>,
    },
    /// A leadership transfer is in progress.
    #[error("leadership is being transferred to member {0}")]
    Transferring(ids::MemberId),
    /// The size of the uncommitted entries would exceed `NodeOptions::max_uncommitted_bytes`.
    #[error("{waiting} of entries are uncommitted; the limit is {allowed}")]
    Overloaded {
        /// The size of the uncommitted entries.
        waiting: core_units::ByteCount,
        /// The limit.
        allowed: core_units::ByteCount,
    },
    /// The command exceeds `NodeOptions::max_command_bytes`.
    #[error("command of {found} exceeds the limit of {allowed}")]
    TooLong {
        /// The size of the command.
        found: core_units::ByteCount,
        /// The limit.
        allowed: core_units::ByteCount,
    },
    /// A write failed, so the node is halted until it is restarted.
    #[error("storage failed; the node is halted")]
    Halted,
}

/// The reason why a read was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// This node isn't the leader.
    #[error("not the leader")]
    NotLeader {
        /// The leader, if one is known.
        leader: Option<members::MemberIdentity>,
    },
    /// The limit `NodeOptions::max_pending_reads` is reached; the value is the number of reads.
    #[error("{0} reads wait for confirmation already")]
    TooMany(usize),
    /// A write failed, so the node is halted until it is restarted.
    #[error("storage failed; the node is halted")]
    Halted,
}

/// The reason why a membership change was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// This node accepts no proposals.
    #[error(transparent)]
    Propose(#[from] ProposeError),
    /// An earlier change is not committed yet, or no entry of the current term is.
    #[error("an earlier change is not committed yet")]
    Pending,
    /// The member to add is a member already, with this or another store id.
    #[error("member {0} is listed already")]
    AlreadyMember(ids::MemberId),
    /// The membership lists no member with this member id and store id.
    #[error("{0} is not listed")]
    NotMember(members::MemberIdentity),
    /// The member to promote is a voter already.
    #[error("member {0} is a voter already")]
    AlreadyVoter(ids::MemberId),
    /// The learner lags too far behind, has acknowledged no entry yet, or has not responded within
    /// the minimum election timeout.
    #[error("learner {member} lacks {lag} entries or is silent; at most {allowed} may lack")]
    NotCaughtUp {
        /// The learner.
        member: ids::MemberId,
        /// The number of entries that it lacks.
        lag: u64,
        /// The limit, `NodeOptions::promotion_lag`.
        allowed: u64,
    },
    /// Too few voters of the new membership have responded within the minimum election timeout, so
    /// no entry could be committed after the change.
    #[error("only {heard} voters of the new membership were heard lately; {needed} are needed")]
    NoQuorum {
        /// The number of voters that responded, including the leader.
        heard: usize,
        /// The quorum size of the new membership.
        needed: usize,
    },
    /// The change would remove the leader, which must transfer leadership first.
    #[error("the leader can't remove itself; transfer leadership first")]
    RemovesLeader,
}

/// The reason why a leadership transfer was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TransferError {
    /// This node isn't the leader.
    #[error("not the leader")]
    NotLeader,
    /// The target is unknown, a learner or this node itself.
    #[error("member {0} is not another voter")]
    NotVoter(ids::MemberId),
}

/// The reason why the log was not compacted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CompactError {
    /// The index is higher than that of the last entry returned to the caller for applying.
    #[error("index {index} is above the last applied index {applied}")]
    NotApplied {
        /// The requested index.
        index: units::LogIndex,
        /// The last index that `take_ready` returned for applying.
        applied: units::LogIndex,
    },
    /// A snapshot at or after the requested index exists; the value is its index.
    #[error("a snapshot at index {0} exists already")]
    AlreadyCompacted(units::LogIndex),
    /// A write failed, so the node is halted until it is restarted.
    #[error("storage failed; the node is halted")]
    Halted,
}
