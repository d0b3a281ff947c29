//! Log replication: append requests and responses, commits, heartbeats and linearizable reads.

use std::time::Duration;

use bytes::Bytes;

use crate::{entry_log, errors, leader_state, members, messages, node, ready, units};

impl node::QuorumNode {
    /// Appends an entry of the current term. The caller must have checked that this node is the
    /// leader.
    pub(crate) fn append_as_leader(
        &mut self,
        kind: messages::EntryKind,
        payload: Bytes,
    ) -> units::ProposalId {
        let entry = messages::LogEntry {
            index: self.log.last_index() + 1,
            term: self.term,
            kind: kind as i32,
            payload,
        };
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.uncommitted_bytes += entry_log::entry_bytes(&entry);
        }
        let (term, index) = (entry.term, entry.index);
        self.log.push(entry.clone());
        self.writes.append(entry);
        units::ProposalId { term, index }
    }

    pub(crate) fn tick_leader(&mut self) {
        self.check_quorum();
        let now = self.now;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if leader_state
            .transfer
            .as_ref()
            .is_some_and(|transfer| now >= transfer.deadline)
        {
            leader_state.transfer = None;
        }
        if now >= leader_state.next_heartbeat {
            self.start_heartbeat_round();
        }
    }

    pub(crate) fn start_heartbeat_round(&mut self) {
        let next_heartbeat = self.now + self.options.heartbeat_interval;
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.start_heartbeat_round(next_heartbeat);
        }
        self.advance_confirmed_round();
    }

    /// Becomes or remains a follower of the leader of `term`. A leader that is not in the
    /// membership is accepted only while this log has no entry of its term or a later one: the
    /// entry that added the leader may not have arrived yet.
    pub(crate) fn accept_leader(
        &mut self,
        leader: members::MemberIdentity,
        term: units::Term,
    ) -> Result<(), errors::ReceiveError> {
        let listed = self.members().kind(leader).is_some();
        if !listed && term <= self.log.last_term() {
            return Err(errors::ReceiveError::UnknownSender(leader));
        }
        if term == self.term && self.role == ready::NodeRole::Leader {
            return Err(errors::ReceiveError::ConflictingLeader { leader, term });
        }
        let known = self.leader == Some(leader) && self.role == ready::NodeRole::Follower;
        if term > self.term || !known {
            self.become_follower(term, Some(leader));
        }
        self.last_leader_contact = Some(self.now);
        self.reset_election_deadline();
        Ok(())
    }

    pub(crate) fn on_append_request(
        &mut self,
        sender: members::MemberIdentity,
        term: units::Term,
        request: messages::AppendRequest,
    ) -> Result<(), errors::ReceiveError> {
        check_entries(term, &request)?;
        if term < self.term {
            self.reject_older_term(sender);
            return Ok(());
        }
        self.accept_leader(sender, term)?;
        let (mut previous, mut previous_term) = (request.previous_index, request.previous_term);
        if previous < self.commit_index {
            // The committed entries match the log of every later leader.
            previous = self.commit_index;
            previous_term = self.log.term_at(previous).unwrap_or(previous_term);
        }
        if self.log.term_at(previous) != Some(previous_term) {
            let index = self.log.find_conflict_by_term(previous, previous_term);
            let conflict_term = self.log.term_at(index).unwrap_or(0);
            self.send_append_response(sender, rejection(&request, index, conflict_term));
            return Ok(());
        }
        let (round, commit) = (request.round, request.commit);
        let heartbeat = request.entries.is_empty();
        let last = self.append_entries(previous, request.entries)?;
        self.commit_index = self.commit_index.max(commit.min(last));
        let response = messages::AppendResponse {
            round,
            rejected: false,
            index: last,
            conflict_term: 0,
            rejected_index: 0,
        };
        if heartbeat && self.writes.is_persisted(self.hard_state_write) {
            self.send_heartbeat_response(sender, response);
        } else {
            self.send_append_response(sender, response);
        }
        Ok(())
    }

    /// Answers a request of an older term. The response carries the newer term, which makes the old
    /// leader step down. It must not repeat the request's round: the sender may lead again in the
    /// newer term, where it would take that for an acknowledgement of one of its current rounds.
    pub(crate) fn reject_older_term(&mut self, sender: members::MemberIdentity) {
        let response = messages::AppendResponse {
            rejected: true,
            ..messages::AppendResponse::default()
        };
        self.send_append_response(sender, response);
    }

    /// Appends the entries after `previous`, truncating conflicting ones, and returns the last
    /// index that matches the leader.
    fn append_entries(
        &mut self,
        previous: units::LogIndex,
        entries: Vec<messages::LogEntry>,
    ) -> Result<units::LogIndex, errors::ReceiveError> {
        let mut last = previous;
        for entry in entries {
            if entry.index <= previous {
                continue;
            }
            last = entry.index;
            if self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.truncate(entry.index);
            }
            if entry.kind() == messages::EntryKind::Members {
                let membership = members::Membership::decode(&entry.payload)?;
                self.membership_history.push(entry.index, membership);
            }
            self.log.push(entry.clone());
            self.writes.append(entry);
        }
        Ok(last)
    }

    fn truncate(&mut self, from: units::LogIndex) {
        self.log.truncate(from);
        self.membership_history.truncate(from);
        self.writes.truncate(from);
    }

    /// Responds to a heartbeat immediately and acknowledges only synced entries. Waiting for
    /// pending writes could make a leader step down for lack of responses when disks are briefly
    /// slow.
    fn send_heartbeat_response(
        &mut self,
        leader: members::MemberIdentity,
        response: messages::AppendResponse,
    ) {
        let index = response.index.min(self.writes.durable_index());
        let response = messages::AppendResponse { index, ..response };
        let body = messages::PeerBody::AppendResponse(response);
        let message = self.message(leader, self.term, body);
        self.writes.send_now(message);
    }

    pub(crate) fn send_append_response(
        &mut self,
        leader: members::MemberIdentity,
        response: messages::AppendResponse,
    ) {
        let body = messages::PeerBody::AppendResponse(response);
        let message = self.message(leader, self.term, body);
        self.writes.send_after_writes(message);
    }

    pub(crate) fn on_append_response(
        &mut self,
        sender: members::MemberIdentity,
        response: &messages::AppendResponse,
    ) {
        let now = self.now;
        let last = self.log.last_index();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let Some(peer) = leader_state.peers.get_mut(&sender.member) else {
            return;
        };
        peer.last_contact = Some(now);
        peer.acked_round = peer.acked_round.max(response.round.min(leader_state.round));
        if response.rejected {
            let last_possible_match = self
                .log
                .find_conflict_by_term(response.index, response.conflict_term);
            backtrack(peer, response, last_possible_match);
        } else if response.index <= last {
            peer.record_match(response.index);
            let resumable = self.log.term_at(peer.match_index).is_some();
            if resumable && matches!(peer.state, leader_state::ProgressState::Snapshot(_)) {
                peer.probe_from(peer.match_index + 1);
            }
        }
        self.advance_commit();
        self.advance_confirmed_round();
    }

    /// Advances the commit index to the last index that a quorum has synced, if that entry is of
    /// the current term. An entry of an older term may still be overwritten although a quorum has
    /// it.
    pub(crate) fn advance_commit(&mut self) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let own = (self.identity, self.writes.durable_index());
        let index = leader_state.quorum_value(self.members(), own, |peer| peer.match_index);
        if index <= self.commit_index || self.log.term_at(index) != Some(self.term) {
            return;
        }
        let newly_committed = self.log.range(self.commit_index + 1, index);
        let bytes: u64 = newly_committed.map(entry_log::entry_bytes).sum();
        self.commit_index = index;
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.uncommitted_bytes = leader_state.uncommitted_bytes.saturating_sub(bytes);
        }
        self.confirm_reads();
    }

    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit_index) == Some(self.term)
    }

    /// Finds the latest heartbeat round that a quorum has acknowledged, which confirms reads.
    pub(crate) fn advance_confirmed_round(&mut self) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let own = (self.identity, leader_state.round);
        let round = leader_state.quorum_value(self.members(), own, |peer| peer.acked_round);
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.confirmed_round = leader_state.confirmed_round.max(round);
        }
        self.confirm_reads();
    }

    fn confirm_reads(&mut self) {
        if !self.has_committed_in_term() {
            return;
        }
        let index = self.commit_index;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        while let Some((round, token)) = leader_state.pending_reads.front() {
            if *round > leader_state.confirmed_round {
                break;
            }
            let token = *token;
            self.confirmed_reads
                .push(ready::ConfirmedRead { token, index });
            leader_state.pending_reads.pop_front();
        }
    }

    /// Requests confirmation that this node is still the leader, so that the caller can serve a
    /// linearizable read, one that observes all acknowledged commands. The token is returned in
    /// `Ready::reads` or `Ready::failed_reads`.
    ///
    /// Each read waits for a quorum to acknowledge a heartbeat that was sent after it. A lease would
    /// save that round trip, but it trusts the clock of the leader, and the monotonic clock of a
    /// machine that was suspended has not counted that time.
    ///
    /// # Errors
    /// Fails if this node isn't the leader, too many reads are pending or the node is halted.
    pub fn read_index(
        &mut self,
        now: Duration,
        token: units::ReadToken,
    ) -> Result<(), errors::ReadError> {
        if self.role == ready::NodeRole::Halted {
            return Err(errors::ReadError::Halted);
        }
        self.now = self.now.max(now);
        let leader = self.leader;
        let Some(leader_state) = &mut self.leader_state else {
            return Err(errors::ReadError::NotLeader { leader });
        };
        if leader_state.pending_reads.len() >= self.options.max_pending_reads {
            return Err(errors::ReadError::TooMany(leader_state.pending_reads.len()));
        }
        // Only a round that starts after the read arrived proves that no later leader had
        // acknowledged a command before the read.
        leader_state
            .pending_reads
            .push_back((leader_state.round + 1, token));
        leader_state.round_requested = true;
        Ok(())
    }

    /// Queues the messages that are due to followers.
    pub(crate) fn replicate_to_followers(&mut self) {
        if self
            .leader_state
            .as_ref()
            .is_some_and(|leader_state| leader_state.round_requested)
        {
            self.start_heartbeat_round();
        }
        let Some(mut leader_state) = self.leader_state.take() else {
            return;
        };
        self.advance_transfer(&mut leader_state);
        let round = leader_state.round;
        for peer in leader_state.peers.values_mut() {
            self.replicate_to(peer, round);
        }
        self.leader_state = Some(leader_state);
    }

    fn replicate_to(&mut self, peer: &mut leader_state::Progress, round: u64) {
        // A follower whose next entry is compacted away needs the snapshot.
        let streaming = !matches!(peer.state, leader_state::ProgressState::Snapshot(_));
        if streaming && self.log.term_at(peer.next_index - 1).is_none() {
            self.begin_snapshot(peer);
        }
        match peer.state {
            leader_state::ProgressState::Snapshot(_) => self.send_snapshot_chunk(peer, round),
            leader_state::ProgressState::Replicate => self.send_entries(peer, round),
            leader_state::ProgressState::Probe => {}
        }
        if peer.heartbeat_due {
            peer.heartbeat_due = false;
            let snapshot = matches!(peer.state, leader_state::ProgressState::Snapshot(_));
            // Index 0 always matches, so a follower that is receiving a snapshot accepts this
            // heartbeat too.
            let previous = if snapshot { 0 } else { peer.next_index - 1 };
            self.send_append(peer, previous, round, Vec::new());
        }
    }

    fn send_entries(&mut self, peer: &mut leader_state::Progress, round: u64) {
        let max_bytes = self.options.max_batch_bytes.0;
        while peer.next_index <= self.log.last_index()
            && peer.inflight.len() < self.options.max_inflight_batches
        {
            let entries = self.log.batch(peer.next_index, max_bytes);
            let Some(last) = entries.last().map(|entry| entry.index) else {
                return;
            };
            self.send_append(peer, peer.next_index - 1, round, entries);
            peer.heartbeat_due = false;
            peer.inflight.push_back(last);
            peer.next_index = last + 1;
        }
    }

    fn send_append(
        &mut self,
        peer: &leader_state::Progress,
        previous_index: units::LogIndex,
        round: u64,
        entries: Vec<messages::LogEntry>,
    ) {
        let request = messages::AppendRequest {
            previous_index,
            previous_term: self.log.term_at(previous_index).unwrap_or(0),
            commit: self.commit_index,
            round,
            entries,
        };
        let body = messages::PeerBody::AppendRequest(request);
        let message = self.message(peer.identity, self.term, body);
        self.writes.send_now(message);
    }
}

/// Decreases the follower's next index after a rejection, unless the response is outdated.
fn backtrack(
    peer: &mut leader_state::Progress,
    response: &messages::AppendResponse,
    last_possible_match: units::LogIndex,
) {
    let is_current = match peer.state {
        leader_state::ProgressState::Probe => response.rejected_index == peer.next_index - 1,
        leader_state::ProgressState::Replicate => response.rejected_index < peer.next_index,
        leader_state::ProgressState::Snapshot(_) => false,
    };
    if is_current && response.rejected_index > peer.match_index {
        let next = (last_possible_match + 1).min(response.rejected_index);
        peer.probe_from(next.max(peer.match_index + 1));
    }
}

const fn rejection(
    request: &messages::AppendRequest,
    index: units::LogIndex,
    conflict_term: units::Term,
) -> messages::AppendResponse {
    messages::AppendResponse {
        round: request.round,
        rejected: true,
        index,
        conflict_term,
        rejected_index: request.previous_index,
    }
}

/// Checks that the entries are consecutive and decodable before any of them is appended.
fn check_entries(
    term: units::Term,
    request: &messages::AppendRequest,
) -> Result<(), errors::DecodeError> {
    units::check_range(request.previous_index)?;
    let mut index = request.previous_index;
    let mut previous_term = request.previous_term;
    for entry in &request.entries {
        index += 1;
        if entry.index != index || entry.term < previous_term || entry.term > term {
            return Err(errors::DecodeError::OutOfOrder(entry.index));
        }
        previous_term = entry.term;
        let kind = messages::EntryKind::try_from(entry.kind)
            .map_err(|_| errors::DecodeError::UnknownValue("the entry kind", entry.kind))?;
        if kind == messages::EntryKind::Members {
            members::Membership::decode(&entry.payload)?;
        }
    }
    Ok(())
}
