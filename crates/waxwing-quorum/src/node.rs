//! The state machine of one member.

use std::time::Duration;

use bytes::Bytes;
use waxwing_core::ids;

use crate::{errors, members, messages, options, ready, units};

/// A `NodeStatus` is a view of a node for operators and tests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeStatus {
    /// The role.
    pub role: ready::NodeRole,
    /// The term.
    pub term: units::Term,
    /// The leader, if one is known.
    pub leader: Option<members::MemberIdentity>,
    /// The last index that is committed.
    pub commit: units::LogIndex,
    /// The last index that was given out to apply.
    pub applied: units::LogIndex,
    /// The last index of the log.
    pub last: units::LogIndex,
    /// The index of the latest snapshot.
    pub snapshot: units::LogIndex,
    /// The bytes of entries behind the latest snapshot; callers compact by it.
    pub log_bytes: u64,
    /// The bytes that are proposed and not yet committed.
    pub uncommitted_bytes: u64,
}

/// A `QuorumNode` is one member of a replicated group. All times are since the start of the
/// process by a clock that never runs backwards, and are read after the input has arrived.
#[derive(Debug)]
pub struct QuorumNode {
    identity: members::MemberIdentity,
    options: options::NodeOptions,
    members: members::Membership,
    status: NodeStatus,
}

impl QuorumNode {
    /// Builds a node from what storage found. `seed` draws the election timeouts and should differ
    /// between members.
    ///
    /// # Errors
    /// Fails if the options or the recovered state are wrong.
    pub fn new(
        identity: members::MemberIdentity,
        options: options::NodeOptions,
        recovered: ready::RecoveredState,
        seed: u64,
        now: Duration,
    ) -> Result<Self, errors::RestoreError> {
        let _ = (&recovered, seed, now);
        options.check()?;
        Ok(Self {
            identity,
            options,
            members: members::Membership::default(),
            status: NodeStatus {
                role: ready::NodeRole::Follower,
                term: 0,
                leader: None,
                commit: 0,
                applied: 0,
                last: 0,
                snapshot: 0,
                log_bytes: 0,
                uncommitted_bytes: 0,
            },
        })
    }

    /// Moves the time forward: starts elections, sends heartbeats, ends leases.
    pub fn tick(&mut self, now: Duration) {
        let _ = now;
    }

    /// Takes a message that came over the link of member `from`.
    ///
    /// # Errors
    /// Tells why the message was ignored; the node goes on.
    pub fn receive(
        &mut self,
        now: Duration,
        from: ids::MemberId,
        message: messages::PeerMessage,
    ) -> Result<(), errors::ReceiveError> {
        let _ = (now, from, message);
        Ok(())
    }

    /// Appends a command if this node leads. Proposals between two calls of `take_ready` share one
    /// write and one message to each follower.
    ///
    /// # Errors
    /// Tells why the command was not taken; it will then never run.
    pub fn propose(&mut self, command: Bytes) -> Result<units::ProposalId, errors::ProposeError> {
        let _ = command;
        Err(errors::ProposeError::NotLeader {
            leader: self.status.leader,
        })
    }

    /// Asks to confirm that this node still leads, so that a read of the state that contains all
    /// acknowledged commands can be served; `Ready::reads` or `Ready::failed_reads` answers it.
    ///
    /// # Errors
    /// Fails if this node doesn't lead or too many reads wait.
    pub fn read_index(
        &mut self,
        now: Duration,
        token: units::ReadToken,
    ) -> Result<(), errors::ReadError> {
        let _ = (now, token);
        Err(errors::ReadError::NotLeader {
            leader: self.status.leader,
        })
    }

    /// Appends a change of one member if this node leads.
    ///
    /// # Errors
    /// Tells why the change was not taken.
    pub fn change_members(
        &mut self,
        change: members::MemberChange,
    ) -> Result<units::ProposalId, errors::ChangeError> {
        self.members.with(change)?;
        Err(errors::ChangeError::Pending)
    }

    /// Hands leadership to another voter once it has all entries. Proposals are refused meanwhile;
    /// after an election timeout the transfer is given up.
    ///
    /// # Errors
    /// Fails if this node doesn't lead or the target is not another voter.
    pub fn transfer_leadership(
        &mut self,
        now: Duration,
        target: ids::MemberId,
    ) -> Result<(), errors::TransferError> {
        let _ = (now, target);
        Err(errors::TransferError::NotLeader)
    }

    /// Takes the report that all write batches up to `sequence` are synced.
    pub fn persisted(&mut self, sequence: units::WriteSequence) {
        let _ = sequence;
    }

    /// Takes the report that a write or sync failed. The node halts: what the disk holds is
    /// unknown, so nothing more may be promised on it.
    pub fn storage_failed(&mut self) {
        self.status.role = ready::NodeRole::Halted;
    }

    /// Takes a snapshot of the caller's state after `index`, so that the log before it may go.
    ///
    /// # Errors
    /// Fails if the index is not applied yet or is covered by a snapshot.
    pub fn compact(
        &mut self,
        index: units::LogIndex,
        data: Bytes,
    ) -> Result<(), errors::CompactError> {
        let _ = data;
        Err(errors::CompactError::NotApplied { index, applied: 0 })
    }

    /// Returns what the caller has to do since the last call.
    pub fn take_ready(&mut self) -> ready::Ready {
        let _ = &self.options;
        ready::Ready::default()
    }

    /// Returns the identity of this node.
    #[must_use]
    pub fn identity(&self) -> members::MemberIdentity {
        self.identity
    }

    /// Returns the latest membership in the log, committed or not.
    #[must_use]
    pub fn members(&self) -> &members::Membership {
        &self.members
    }

    /// Returns a view of the node.
    #[must_use]
    pub fn status(&self) -> NodeStatus {
        self.status.clone()
    }
}
