//! Work that a node passes to its caller, and the state that storage recovers at startup.

use bytes::Bytes;
use waxwing_core::ids;

use crate::{members, messages, units};

/// The role of a node in its current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeRole {
    /// Receives entries from a leader or waits for one. A learner is always a follower.
    Follower,
    /// Has sent pre-vote requests to find out whether it could win an election.
    PreCandidate,
    /// Has requested votes for its term.
    Candidate,
    /// Appends proposals to the log and replicates it.
    Leader,
    /// A write failed, so the node processes nothing until it is restarted.
    Halted,
}

/// The current role, term and leader, reported when any of them changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The role.
    pub role: NodeRole,
    /// The term.
    pub term: units::Term,
    /// The leader, if one is known.
    pub leader: Option<members::MemberIdentity>,
}

/// The state of the caller after applying the entry at `index`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The index of the last entry that the state includes.
    pub index: units::LogIndex,
    /// The term of the entry at `index`.
    pub term: units::Term,
    /// The membership at `index`.
    pub members: members::Membership,
    /// The state, encoded by the caller.
    pub data: Bytes,
}

impl Snapshot {
    /// Creates the initial snapshot of a new group, which must be the same on every initial member.
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

/// A change of the durable state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteStep {
    /// Replaces the term and vote.
    HardState(messages::HardState),
    /// Removes all entries from this index on.
    Truncate(units::LogIndex),
    /// Appends entries directly after the last one.
    Append(Vec<messages::LogEntry>),
    /// Stores a snapshot of this node's state. Entries up to its index may be removed; later ones
    /// must be kept.
    Compact(Snapshot),
    /// Stores a snapshot from the leader and removes all entries; the log continues after it.
    Install(Snapshot),
}

/// Changes to write in order and sync together. Batches must be written in the order of their
/// sequence numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteBatch {
    /// The sequence number to pass to `QuorumNode::persisted` once the whole batch is synced.
    pub sequence: units::WriteSequence,
    /// The changes, in order.
    pub steps: Vec<WriteStep>,
}

/// A message to send to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiving member.
    pub to: ids::MemberId,
    /// The message to encode and send.
    pub message: messages::PeerMessage,
}

/// A confirmed read, which is linearizable if it is served after the caller has applied `index`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// The token of the read.
    pub token: units::ReadToken,
    /// The read index: the last entry to apply before the read is served.
    pub index: units::LogIndex,
}

/// The work for the caller since the last call of `QuorumNode::take_ready`. The parts are
/// independent: messages may be sent before the writes are synced, because the node holds back a
/// message that depends on a write until `QuorumNode::persisted` reports that write.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// A batch to write and sync.
    pub writes: Option<WriteBatch>,
    /// Messages to send; delivery need not be reliable.
    pub messages: Vec<OutgoingMessage>,
    /// A synced snapshot that replaces the caller's whole state, before `committed` is applied.
    pub install: Option<Snapshot>,
    /// Committed and locally synced entries to apply, with consecutive indexes.
    pub committed: Vec<messages::LogEntry>,
    /// Reads that were confirmed.
    pub reads: Vec<ConfirmedRead>,
    /// Reads that can't be confirmed because this node is no longer the leader.
    pub failed_reads: Vec<units::ReadToken>,
    /// The current role, term and leader, if any of them changed.
    pub role: Option<RoleChange>,
}

impl Ready {
    /// Returns whether there is no work.
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

/// The state that storage recovered at startup; the default is that of an empty data folder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The term and vote.
    pub hard_state: messages::HardState,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, with consecutive indexes.
    pub entries: Vec<messages::LogEntry>,
}
