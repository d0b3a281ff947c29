//! Errors of the replicated log.

use waxwing_core::{errors as core_errors, ids, units as core_units};

use crate::{members, units};

/// An `OptionsError` names the rule that a set of options breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum OptionsError {
    /// The shortest election timeout is above the longest.
    #[error("election_timeout_min is above election_timeout_max")]
    ElectionTimeoutRange,
    /// A lease could outlive the promise of the voters.
    #[error("leader_lease is not below election_timeout_min")]
    LeaseTooLong,
    /// Two heartbeats don't fit into a lease.
    #[error("heartbeat_interval is zero or above half of leader_lease")]
    HeartbeatInterval,
    /// A bound that must be positive is zero.
    #[error("max_inflight_batches or snapshot_chunk_bytes is zero")]
    ZeroLimit,
}

/// A `RestoreError` tells why a node can't start from the state that storage returned.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    /// The options are wrong.
    #[error(transparent)]
    Options(#[from] OptionsError),
    /// The log has a gap.
    #[error("expected log entry {expected}, found {found}")]
    LogGap {
        /// The index that should have come next.
        expected: units::LogIndex,
        /// The index that came.
        found: units::LogIndex,
    },
    /// A membership in the log or the snapshot can't be read.
    #[error("membership can't be read: {0}")]
    MalformedRecord(#[from] DecodeError),
}

/// A `DecodeError` tells why bytes are not a message, a membership or a snapshot header.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes don't follow the encoding.
    #[error("malformed message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A required part is missing.
    #[error("message lacks {0}")]
    MissingField(&'static str),
    /// An id has the wrong form.
    #[error(transparent)]
    Id(#[from] core_errors::ParseError),
    /// A number has no meaning.
    #[error("{0} has the unknown value {1}")]
    UnknownValue(&'static str, i32),
    /// A term or index is beyond what any log reaches.
    #[error("{0} is out of range for a term or an index")]
    OutOfRange(u64),
    /// The entries of a message don't follow each other.
    #[error("log entry {0} is out of order")]
    OutOfOrder(units::LogIndex),
}

/// A `ReceiveError` tells why a message was ignored.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReceiveError {
    /// The message can't be read.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The link belongs to another member than the message says.
    #[error("message of member {claimed} came over the link of member {link}")]
    SenderMismatch {
        /// The member that the link belongs to.
        link: ids::MemberId,
        /// The member that the message names as its sender.
        claimed: ids::MemberId,
    },
    /// The message is for another member or for a former life of this data folder.
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
    /// Another member claims to lead in the term that this node leads in.
    #[error("{leader} claims to lead in term {term}, which this node leads in")]
    ConflictingLeader {
        /// The other leader.
        leader: members::MemberIdentity,
        /// The term.
        term: units::Term,
    },
    /// The leader's snapshot is above the bound.
    #[error("snapshot of {found} is above the limit of {allowed}")]
    SnapshotTooLong {
        /// The length that was announced.
        found: core_units::ByteCount,
        /// The bound.
        allowed: core_units::ByteCount,
    },
    /// Storage failed earlier; the node takes no further part.
    #[error("storage failed; the node is halted")]
    Halted,
}

/// A `ProposeError` tells why a command was not taken; it is certain that it will never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another node leads, or none is known.
    #[error("not the leader")]
    NotLeader {
        /// The leader, if one is known.
        leader: Option<members::MemberIdentity>,
    },
    /// A leadership transfer is in progress.
    #[error("leadership is being transferred to member {0}")]
    Transferring(ids::MemberId),
    /// Too many bytes wait for their commit.
    #[error("{waiting} wait for commit; at most {allowed} may")]
    Overloaded {
        /// The uncommitted bytes.
        waiting: core_units::ByteCount,
        /// The bound.
        allowed: core_units::ByteCount,
    },
    /// The command is too long.
    #[error("command of {found} is above the limit of {allowed}")]
    TooLong {
        /// The length of the command.
        found: core_units::ByteCount,
        /// The bound.
        allowed: core_units::ByteCount,
    },
    /// Storage failed earlier; the node takes no further part.
    #[error("storage failed; the node is halted")]
    Halted,
}

/// A `ReadError` tells why a read can't be confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// Another node leads, or none is known.
    #[error("not the leader")]
    NotLeader {
        /// The leader, if one is known.
        leader: Option<members::MemberIdentity>,
    },
    /// Too many reads wait already.
    #[error("{0} reads wait for confirmation already")]
    TooMany(usize),
    /// Storage failed earlier; the node takes no further part.
    #[error("storage failed; the node is halted")]
    Halted,
}

/// A `ChangeError` tells why a membership change was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The change can't be proposed now.
    #[error(transparent)]
    Propose(#[from] ProposeError),
    /// An earlier change, or the first entry of this term, is not committed yet.
    #[error("an earlier change is not committed yet")]
    Pending,
    /// The member id is taken.
    #[error("member {0} is listed already")]
    AlreadyMember(ids::MemberId),
    /// The member is not listed with this store id.
    #[error("{0} is not listed")]
    NotMember(members::MemberIdentity),
    /// The member is a voter already.
    #[error("member {0} is a voter already")]
    AlreadyVoter(ids::MemberId),
    /// The learner lacks too many entries or wasn't heard lately.
    #[error("learner {member} lacks {lag} entries or is silent; at most {allowed} may lack")]
    NotCaughtUp {
        /// The learner.
        member: ids::MemberId,
        /// The number of entries it lacks.
        lag: u64,
        /// The number it may lack.
        allowed: u64,
    },
    /// The change would leave voters of which too few were heard within the election timeout, so
    /// that nothing could be committed after it.
    #[error("only {heard} voters of the new membership were heard lately; {needed} are needed")]
    NoQuorum {
        /// The voters heard, with the leader.
        heard: usize,
        /// The quorum of the new membership.
        needed: usize,
    },
    /// The leader would remove itself; leadership must be transferred first.
    #[error("the leader can't remove itself; transfer leadership first")]
    RemovesLeader,
}

/// A `TransferError` tells why leadership is not transferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TransferError {
    /// Another node leads, or none is known.
    #[error("not the leader")]
    NotLeader,
    /// The target is not another voter.
    #[error("member {0} is not another voter")]
    NotVoter(ids::MemberId),
}

/// A `CompactError` tells why a snapshot was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CompactError {
    /// The index is above what the caller was given to apply.
    #[error("index {index} is above the last applied index {applied}")]
    NotApplied {
        /// The index asked for.
        index: units::LogIndex,
        /// The last index given out in `Ready::committed`.
        applied: units::LogIndex,
    },
    /// A snapshot at or above this index exists.
    #[error("a snapshot at index {0} exists already")]
    AlreadyCompacted(units::LogIndex),
    /// Storage failed earlier; the node takes no further part.
    #[error("storage failed; the node is halted")]
    Halted,
}
