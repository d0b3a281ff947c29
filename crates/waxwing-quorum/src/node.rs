//! The Raft state machine of one member.

use std::{collections::BTreeSet, time::Duration};

use bytes::Bytes;
use rand::SeedableRng as _;
use waxwing_core::{ids, units as core_units};

use crate::{
    entry_log, errors, leader_state, members, messages, options, ready, snapshot_transfer, units,
    write_queue,
};

/// A summary of a node's state for operators and tests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeStatus {
    /// The current role.
    pub role: ready::NodeRole,
    /// The current term.
    pub term: units::Term,
    /// The leader, if one is known.
    pub leader: Option<members::MemberIdentity>,
    /// The index of the last entry known to be committed.
    pub commit_index: units::LogIndex,
    /// The index of the last entry returned to the caller for applying.
    pub applied_index: units::LogIndex,
    /// The index of the last entry of the log.
    pub last_index: units::LogIndex,
    /// The index of the latest snapshot.
    pub snapshot_index: units::LogIndex,
    /// The size in bytes of the entries after the latest snapshot, by which callers decide when to
    /// compact.
    pub log_bytes: u64,
    /// The size in bytes of the uncommitted entries; zero unless this node is the leader.
    pub uncommitted_bytes: u64,
}

/// A leader's view of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// The identity of the member.
    pub identity: members::MemberIdentity,
    /// The last index up to which the member's synced log is known to match the leader's.
    pub match_index: units::LogIndex,
    /// When the member last responded, or when the leader began to track it.
    pub last_contact: Option<Duration>,
}

/// A member of a replicated group. All times are durations since the start of the process on a
/// monotonic clock. No answer rests on them: a clock that stands still or runs fast costs only
/// elections.
#[derive(Debug)]
pub struct QuorumNode {
    pub(crate) identity: members::MemberIdentity,
    pub(crate) options: options::NodeOptions,
    pub(crate) rng: rand_chacha::ChaCha8Rng,
    pub(crate) now: Duration,
    pub(crate) term: units::Term,
    pub(crate) vote: Option<members::MemberIdentity>,
    pub(crate) role: ready::NodeRole,
    pub(crate) leader: Option<members::MemberIdentity>,
    pub(crate) log: entry_log::EntryLog,
    pub(crate) membership_history: members::MembershipHistory,
    pub(crate) snapshot: Option<ready::Snapshot>,
    pub(crate) commit_index: units::LogIndex,
    pub(crate) applied_index: units::LogIndex,
    pub(crate) writes: write_queue::WriteQueue,
    /// The write that makes the current term and vote durable.
    pub(crate) hard_state_write: units::WriteSequence,
    /// When to start an election unless a leader makes contact first.
    pub(crate) election_deadline: Duration,
    /// When a message of a leader last arrived. It is initially the startup time, since the node
    /// may have heard from a working leader just before the restart.
    pub(crate) last_leader_contact: Option<Duration>,
    /// The members that granted their vote, or in a pre-vote would grant it.
    pub(crate) votes: BTreeSet<members::MemberIdentity>,
    /// The write that makes this candidate's vote for itself durable; `None` once it is counted.
    pub(crate) own_vote_write: Option<units::WriteSequence>,
    pub(crate) leader_state: Option<leader_state::LeaderState>,
    pub(crate) incoming_snapshot: Option<snapshot_transfer::IncomingSnapshot>,
    /// A snapshot from the leader that the caller has not received yet, and the write that makes it
    /// durable.
    pub(crate) pending_install: Option<(units::WriteSequence, ready::Snapshot)>,
    pub(crate) confirmed_reads: Vec<ready::ConfirmedRead>,
    pub(crate) failed_reads: Vec<units::ReadToken>,
    reported_role: Option<ready::RoleChange>,
}

impl QuorumNode {
    /// Creates a node from the recovered state. `seed` seeds the random election timeouts and
    /// should differ between members.
    ///
    /// # Errors
    /// Fails if the options or the recovered state are invalid.
    pub fn new(
        identity: members::MemberIdentity,
        options: options::NodeOptions,
        recovered: ready::RecoveredState,
        seed: u64,
        now: Duration,
    ) -> Result<Self, errors::RestoreError> {
        options.check()?;
        let (log, membership_history) = restore_log(&recovered)?;
        let base = recovered
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.index);
        let term = recovered.hard_state.term.max(log.last_term());
        let vote = match &recovered.hard_state.vote {
            Some(record) if term == recovered.hard_state.term => Some(record.try_into()?),
            _ => None,
        };
        let mut node = Self {
            identity,
            options,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            now,
            term,
            vote,
            role: ready::NodeRole::Follower,
            leader: None,
            writes: write_queue::WriteQueue::starting_at(log.last_index()),
            log,
            membership_history,
            snapshot: recovered.snapshot,
            commit_index: base,
            applied_index: base,
            hard_state_write: 0,
            election_deadline: now,
            last_leader_contact: Some(now),
            votes: BTreeSet::new(),
            own_vote_write: None,
            leader_state: None,
            incoming_snapshot: None,
            pending_install: None,
            confirmed_reads: Vec::new(),
            failed_reads: Vec::new(),
            reported_role: None,
        };
        node.reset_election_deadline();
        if node.is_only_voter() {
            // No other member can be the leader, so start an election without waiting.
            node.election_deadline = now;
        }
        Ok(node)
    }

    /// Advances the time to `now`: starts elections, sends heartbeats, expires leadership transfers,
    /// and makes a leader without a quorum step down.
    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
        match self.role {
            ready::NodeRole::Halted => {}
            ready::NodeRole::Leader => self.tick_leader(),
            _ => self.tick_follower(),
        }
    }

    /// Processes a message that arrived on the link of member `from`.
    ///
    /// # Errors
    /// Fails if the message was ignored; the node remains usable.
    pub fn receive(
        &mut self,
        now: Duration,
        from: ids::MemberId,
        message: messages::PeerMessage,
    ) -> Result<(), errors::ReceiveError> {
        if self.role == ready::NodeRole::Halted {
            return Err(errors::ReceiveError::Halted);
        }
        self.now = self.now.max(now);
        let sender = self.check_addresses(from, message.sender, message.recipient)?;
        let missing = errors::DecodeError::MissingField("the body");
        let body = message.body.ok_or(missing)?;
        units::check_range(message.term)?;
        self.dispatch(sender, message.term, body)
    }

    fn check_addresses(
        &self,
        from: ids::MemberId,
        sender: Option<messages::IdentityRecord>,
        recipient: Option<messages::IdentityRecord>,
    ) -> Result<members::MemberIdentity, errors::ReceiveError> {
        let sender = sender.ok_or(errors::DecodeError::MissingField("the sender"))?;
        let sender = members::MemberIdentity::try_from(&sender)?;
        let recipient = recipient.ok_or(errors::DecodeError::MissingField("the recipient"))?;
        let recipient = members::MemberIdentity::try_from(&recipient)?;
        if sender.member != from {
            return Err(errors::ReceiveError::SenderMismatch {
                link: from,
                claimed: sender.member,
            });
        }
        if recipient != self.identity {
            return Err(errors::ReceiveError::WrongRecipient {
                intended: recipient,
                actual: self.identity,
            });
        }
        Ok(sender)
    }

    fn dispatch(
        &mut self,
        sender: members::MemberIdentity,
        term: units::Term,
        body: messages::PeerBody,
    ) -> Result<(), errors::ReceiveError> {
        match body {
            messages::PeerBody::VoteRequest(request) => {
                return self.on_vote_request(sender, term, &request);
            }
            messages::PeerBody::AppendRequest(request) => {
                return self.on_append_request(sender, term, request);
            }
            messages::PeerBody::SnapshotChunk(chunk) => {
                return self.on_snapshot_chunk(sender, term, chunk);
            }
            _ => {}
        }
        // Responses count towards a quorum, so the sender must be in the membership.
        if self.members().kind(sender).is_none() {
            return Err(errors::ReceiveError::UnknownSender(sender));
        }
        if term > self.term {
            self.become_follower(term, None);
        }
        match body {
            messages::PeerBody::VoteResponse(response) => self.on_vote_response(sender, &response),
            _ if term < self.term => {}
            messages::PeerBody::AppendResponse(response) => {
                self.on_append_response(sender, &response)
            }
            messages::PeerBody::SnapshotResponse(response) => {
                self.on_snapshot_response(sender, &response)
            }
            messages::PeerBody::TimeoutNow(_) => self.on_timeout_now(sender),
            _ => {}
        }
        Ok(())
    }

    /// Appends a command to the log if this node is the leader. Proposals between two calls of
    /// `take_ready` are batched into one write and, up to the limits of `NodeOptions`, one message
    /// per follower.
    ///
    /// # Errors
    /// Fails if the command was rejected; it will then never be applied.
    pub fn propose(&mut self, command: Bytes) -> Result<units::ProposalId, errors::ProposeError> {
        self.check_accepts_proposals()?;
        let found = core_units::ByteCount(command.len() as u64);
        if found > self.options.max_command_bytes {
            return Err(errors::ProposeError::TooLong {
                found,
                allowed: self.options.max_command_bytes,
            });
        }
        let waiting = self
            .leader_state
            .as_ref()
            .map_or(0, |leader_state| leader_state.uncommitted_bytes);
        let waiting = core_units::ByteCount(waiting);
        let allowed = self.options.max_uncommitted_bytes;
        if waiting + found > allowed {
            return Err(errors::ProposeError::Overloaded { waiting, allowed });
        }
        Ok(self.append_as_leader(messages::EntryKind::Command, command))
    }

    /// Checks that this node is the leader and no leadership transfer is in progress.
    pub(crate) fn check_accepts_proposals(&self) -> Result<(), errors::ProposeError> {
        if self.role == ready::NodeRole::Halted {
            return Err(errors::ProposeError::Halted);
        }
        let leader = self.leader;
        let Some(leader_state) = &self.leader_state else {
            return Err(errors::ProposeError::NotLeader { leader });
        };
        leader_state.transfer.as_ref().map_or(Ok(()), |transfer| {
            let target = transfer.target.member;
            Err(errors::ProposeError::Transferring(target))
        })
    }

    /// Reports that all write batches up to `sequence` are synced.
    pub fn persisted(&mut self, sequence: units::WriteSequence) {
        if self.role == ready::NodeRole::Halted {
            return;
        }
        self.writes.persisted(sequence);
        self.count_own_vote();
        self.advance_commit();
    }

    /// Reports that a write or sync failed. The node halts: the content of the disk is unknown, so
    /// no message may assert durable state any more.
    pub fn storage_failed(&mut self) {
        self.clear_leader_state();
        self.role = ready::NodeRole::Halted;
        self.leader = None;
        self.writes.clear();
    }

    /// Stores `data`, a snapshot of the caller's state after applying the entry at `index`, and
    /// compacts the log up to there. Some of the covered entries are retained in memory for
    /// lagging followers.
    ///
    /// # Errors
    /// Fails if the index is not applied yet, a snapshot covers it already or the node is halted.
    pub fn compact(
        &mut self,
        index: units::LogIndex,
        data: Bytes,
    ) -> Result<(), errors::CompactError> {
        if self.role == ready::NodeRole::Halted {
            return Err(errors::CompactError::Halted);
        }
        let applied = self.applied_index;
        let latest_snapshot = self.snapshot_index();
        if index <= latest_snapshot {
            return Err(errors::CompactError::AlreadyCompacted(latest_snapshot));
        }
        let term = self.log.term_at(index).filter(|_| index <= applied);
        let term = term.ok_or(errors::CompactError::NotApplied { index, applied })?;
        let snapshot = ready::Snapshot {
            index,
            term,
            members: self.membership_history.at(index).clone(),
            data,
        };
        self.writes.compact(snapshot.clone());
        self.snapshot = Some(snapshot);
        self.membership_history.compact(index);
        self.log.set_snapshot_index(index);
        let (count, bytes) = (self.options.retained_entries, self.options.retained_bytes.0);
        let base = self.log.compaction_base(index, count, bytes);
        self.log.compact(base);
        Ok(())
    }

    /// Returns the work that has become due for the caller since the last call.
    pub fn take_ready(&mut self) -> ready::Ready {
        self.replicate_to_followers();
        let writes = self.writes.take_batch(self.log.last_index());
        let install = self.take_install();
        ready::Ready {
            writes,
            messages: self.writes.take_messages(),
            install,
            committed: self.take_committed(),
            reads: std::mem::take(&mut self.confirmed_reads),
            failed_reads: std::mem::take(&mut self.failed_reads),
            role: self.take_role_change(),
        }
    }

    fn take_install(&mut self) -> Option<ready::Snapshot> {
        let (sequence, _) = self.pending_install.as_ref()?;
        if !self.writes.is_persisted(*sequence) {
            return None;
        }
        let (_, snapshot) = self.pending_install.take()?;
        self.applied_index = snapshot.index;
        Some(snapshot)
    }

    /// Returns the committed entries that are also synced locally, so that a snapshot of the
    /// applied state never covers entries that are missing from the local log.
    fn take_committed(&mut self) -> Vec<messages::LogEntry> {
        if self.pending_install.is_some() || self.role == ready::NodeRole::Halted {
            return Vec::new();
        }
        let end = self.commit_index.min(self.writes.durable_index());
        if end <= self.applied_index {
            return Vec::new();
        }
        let entries = self
            .log
            .range(self.applied_index + 1, end)
            .cloned()
            .collect();
        self.applied_index = end;
        entries
    }

    fn take_role_change(&mut self) -> Option<ready::RoleChange> {
        let current = Some(ready::RoleChange {
            role: self.role,
            term: self.term,
            leader: self.leader,
        });
        if self.reported_role == current {
            return None;
        }
        self.reported_role = current;
        current
    }

    pub(crate) fn snapshot_index(&self) -> units::LogIndex {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    pub(crate) fn is_only_voter(&self) -> bool {
        self.members().is_voter(self.identity) && self.members().voters().count() == 1
    }

    /// Returns the identity of this node.
    #[must_use]
    pub const fn identity(&self) -> members::MemberIdentity {
        self.identity
    }

    /// Returns the latest membership in the log, whether it is committed or not.
    #[must_use]
    pub fn members(&self) -> &members::Membership {
        self.membership_history.latest()
    }

    /// Returns the status of all other members if this node is the leader, otherwise nothing.
    #[must_use]
    pub fn peers(&self) -> Vec<PeerStatus> {
        let peers = self
            .leader_state
            .iter()
            .flat_map(|leader_state| leader_state.peers.values());
        let status = |peer: &leader_state::Progress| PeerStatus {
            identity: peer.identity,
            match_index: peer.match_index,
            last_contact: peer.last_contact,
        };
        peers.map(status).collect()
    }

    /// Returns the current state of the node.
    #[must_use]
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            role: self.role,
            term: self.term,
            leader: self.leader,
            commit_index: self.commit_index,
            applied_index: self.applied_index,
            last_index: self.log.last_index(),
            snapshot_index: self.snapshot_index(),
            log_bytes: self.log.bytes_after_snapshot(),
            uncommitted_bytes: self
                .leader_state
                .as_ref()
                .map_or(0, |leader_state| leader_state.uncommitted_bytes),
        }
    }
}

fn restore_log(
    recovered: &ready::RecoveredState,
) -> Result<(entry_log::EntryLog, members::MembershipHistory), errors::RestoreError> {
    let (mut log, mut history) = match &recovered.snapshot {
        None => (
            entry_log::EntryLog::default(),
            members::MembershipHistory::with_base(0, members::Membership::default()),
        ),
        Some(snapshot) => (
            entry_log::EntryLog::with_base(snapshot.index, snapshot.term),
            members::MembershipHistory::with_base(snapshot.index, snapshot.members.clone()),
        ),
    };
    for entry in &recovered.entries {
        let expected = log.last_index() + 1;
        if entry.index != expected {
            return Err(errors::RestoreError::LogGap {
                expected,
                found: entry.index,
            });
        }
        if entry.kind() == messages::EntryKind::Members {
            history.push(entry.index, members::Membership::decode(&entry.payload)?);
        }
        log.push(entry.clone());
    }
    Ok((log, history))
}
