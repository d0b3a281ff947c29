//! What a node asks its caller to do, and what storage gives back at a start.

use bytes::Bytes;
use waxwing_core::ids;

use crate::{members, messages, units};

/// A `NodeRole` is the part a node plays in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeRole {
    /// Follows a leader or waits for one; learners always follow.
    Follower,
    /// Asks whether an election could succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
    /// Storage failed; the node takes no further part until it is restarted.
    Halted,
}

/// A `RoleChange` tells the current role, term and leader after any of them changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The role.
    pub role: NodeRole,
    /// The term.
    pub term: units::Term,
    /// The leader, if one is known.
    pub leader: Option<members::MemberIdentity>,
}

/// A `Snapshot` is the state of the caller after the entry at `index`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The last index that the state covers.
    pub index: units::LogIndex,
    /// The term of that index.
    pub term: units::Term,
    /// The membership at that index.
    pub members: members::Membership,
    /// The state, encoded by the caller.
    pub data: Bytes,
}

impl Snapshot {
    /// Builds the snapshot that founds a group: every founding member starts from the same one.
    #[must_use]
    pub const fn founding(members: members::Membership, data: Bytes) -> Self {
        Self {
            index: 1,
            term: 1,
            members,
            data,
        }
    }
}

/// A `WriteStep` is one change of the durable state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteStep {
    /// Replaces the term and vote.
    HardState(messages::HardState),
    /// Removes all entries at this index and above.
    Truncate(units::LogIndex),
    /// Appends entries that follow the last one.
    Append(Vec<messages::LogEntry>),
    /// Stores a snapshot of this node's own state; entries up to its index may be removed, later
    /// ones stay.
    Compact(Snapshot),
    /// Stores a snapshot from the leader and removes all entries; the log continues behind it.
    Install(Snapshot),
}

/// A `WriteBatch` is a list of changes to carry out in order and to sync as a whole. Batches are
/// carried out in the order of their numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteBatch {
    /// The number to report to `QuorumNode::persisted` once everything is synced.
    pub sequence: units::WriteSequence,
    /// The changes.
    pub steps: Vec<WriteStep>,
}

/// An `OutgoingMessage` is a message with the member it goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The member whose link takes the message.
    pub to: ids::MemberId,
    /// The message.
    pub message: messages::PeerMessage,
}

/// A `ConfirmedRead` tells that a read is linearizable once the caller has applied `index`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// The token of the read.
    pub token: units::ReadToken,
    /// The index to apply first.
    pub index: units::LogIndex,
}

/// A `Ready` is what the caller has to do now. The parts are independent: messages may be sent
/// before the writes are synced, because a message that depends on a write is held back until
/// `QuorumNode::persisted` reports it.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Changes to write and sync, if there are any.
    pub writes: Option<WriteBatch>,
    /// Messages to send; they may be lost.
    pub messages: Vec<OutgoingMessage>,
    /// A snapshot that replaces the caller's whole state; it comes before `committed`.
    pub install: Option<Snapshot>,
    /// Entries to apply, in order and without gaps.
    pub committed: Vec<messages::LogEntry>,
    /// Reads that are confirmed.
    pub reads: Vec<ConfirmedRead>,
    /// Reads that can't be confirmed because leadership ended.
    pub failed_reads: Vec<units::ReadToken>,
    /// The role, term and leader, if any of them changed.
    pub role: Option<RoleChange>,
}

impl Ready {
    /// Tells whether there is nothing to do.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.writes.is_none()
            && self.messages.is_empty()
            && self.install.is_none()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.failed_reads.is_empty()
            && self.role.is_none()
    }
}

/// A `RecoveredState` is what storage found at a start; the default is an empty data folder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The term and vote.
    pub hard_state: messages::HardState,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries behind the snapshot, without gaps.
    pub entries: Vec<messages::LogEntry>,
}
