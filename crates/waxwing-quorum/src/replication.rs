//! Replication: appends, their answers, commits, reads and heartbeats.

use std::time::Duration;

use bytes::Bytes;

use crate::{entries, errors, leading, members, messages, node, ready, units};

impl node::QuorumNode {
    /// Appends an entry of the current term; the caller has checked that this node leads.
    pub(crate) fn append_own(
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
        if let Some(leading) = &mut self.leading {
            leading.uncommitted_bytes += entries::entry_bytes(&entry);
        }
        let (term, index) = (entry.term, entry.index);
        self.log.push(entry.clone());
        self.writes.append(entry);
        units::ProposalId { term, index }
    }

    pub(crate) fn tick_leader(&mut self) {
        self.check_quorum();
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        if leading
            .transfer
            .as_ref()
            .is_some_and(|transfer| now >= transfer.deadline)
        {
            leading.transfer = None;
        }
        if now >= leading.next_heartbeat {
            self.begin_round();
        }
    }

    pub(crate) fn begin_round(&mut self) {
        let (now, interval) = (self.now, self.options.heartbeat_interval);
        if let Some(leading) = &mut self.leading {
            leading.begin_round(now, interval);
        }
        self.advance_rounds();
    }

    /// Follows the leader of `term`. A leader that the membership doesn't list is believed only
    /// while this log lacks all entries of its term: the entry that lists it may be missing here.
    pub(crate) fn follow(
        &mut self,
        leader: members::MemberIdentity,
        term: units::Term,
    ) -> Result<(), errors::ReceiveError> {
        let listed = self.members().kind(leader).is_some();
        if !listed && term <= self.log.last_term() {
            return Err(errors::ReceiveError::UnknownSender(leader));
        }
        if term == self.term && self.role == ready::NodeRole::Leader {
            return Err(errors::ReceiveError::SecondLeader { leader, term });
        }
        let known = self.leader == Some(leader) && self.role == ready::NodeRole::Follower;
        if term > self.term || !known {
            self.become_follower(term, Some(leader));
        }
        self.contact = Some(self.now);
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
            // The answer carries the newer term, which makes the old leader step down.
            self.answer_append(sender, reject(&request, 0, 0));
            return Ok(());
        }
        self.follow(sender, term)?;
        let (mut previous, mut previous_term) = (request.previous_index, request.previous_term);
        if previous < self.commit {
            // Committed entries match those of every later leader.
            previous = self.commit;
            previous_term = self.log.term_at(previous).unwrap_or(previous_term);
        }
        if self.log.term_at(previous) != Some(previous_term) {
            let index = self.log.last_up_to(previous, previous_term);
            let conflict_term = self.log.term_at(index).unwrap_or(0);
            self.answer_append(sender, reject(&request, index, conflict_term));
            return Ok(());
        }
        let (round, commit) = (request.round, request.commit);
        let heartbeat = request.entries.is_empty();
        let last = self.append_entries(previous, request.entries)?;
        self.commit = self.commit.max(commit.min(last));
        let answer = messages::AppendResponse {
            round,
            rejected: false,
            index: last,
            conflict_term: 0,
            rejected_index: 0,
        };
        if heartbeat && self.writes.is_persisted(self.term_write) {
            self.answer_heartbeat(sender, answer);
        } else {
            self.answer_append(sender, answer);
        }
        Ok(())
    }

    /// Appends the entries behind `previous` and returns the last index that matches the leader.
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
                self.history.push(entry.index, membership);
            }
            self.log.push(entry.clone());
            self.writes.append(entry);
        }
        Ok(last)
    }

    fn truncate(&mut self, from: units::LogIndex) {
        self.log.truncate(from);
        self.history.truncate(from);
        self.writes.truncate(from);
    }

    /// Answers a heartbeat at once with what is synced already: a disk that is slow for a moment
    /// must not make a leader step down for lack of answers.
    fn answer_heartbeat(
        &mut self,
        leader: members::MemberIdentity,
        answer: messages::AppendResponse,
    ) {
        let index = answer.index.min(self.writes.durable());
        let answer = messages::AppendResponse { index, ..answer };
        let body = messages::PeerBody::AppendResponse(answer);
        let message = self.message(leader, self.term, body);
        self.writes.send_now(message);
    }

    pub(crate) fn answer_append(
        &mut self,
        leader: members::MemberIdentity,
        answer: messages::AppendResponse,
    ) {
        let body = messages::PeerBody::AppendResponse(answer);
        let message = self.message(leader, self.term, body);
        self.writes.send_after_writes(message);
    }

    pub(crate) fn on_append_answer(
        &mut self,
        sender: members::MemberIdentity,
        answer: &messages::AppendResponse,
    ) {
        let now = self.now;
        let last = self.log.last_index();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(peer) = leading.peers.get_mut(&sender.member) else {
            return;
        };
        peer.heard = Some(now);
        peer.acked_round = peer.acked_round.max(answer.round.min(leading.round));
        if answer.rejected {
            let candidate = self.log.last_up_to(answer.index, answer.conflict_term);
            backtrack(peer, answer, candidate);
        } else if answer.index <= last {
            peer.accept(answer.index);
            let resumable = self.log.term_at(peer.matched).is_some();
            if resumable && matches!(peer.state, leading::ProgressState::Snapshot(_)) {
                peer.probe_from(peer.matched + 1);
            }
        }
        self.advance_commit();
        self.advance_rounds();
    }

    /// Commits what a quorum has synced. Only an entry of the own term is counted, since an older
    /// one may still be replaced although a quorum holds it.
    pub(crate) fn advance_commit(&mut self) {
        let Some(leading) = &self.leading else {
            return;
        };
        let own = (self.identity, self.writes.durable());
        let index = leading.quorum_value(self.members(), own, |peer| peer.matched);
        if index <= self.commit || self.log.term_at(index) != Some(self.term) {
            return;
        }
        let newly = self.log.range(self.commit + 1, index);
        let bytes: u64 = newly.map(entries::entry_bytes).sum();
        self.commit = index;
        if let Some(leading) = &mut self.leading {
            leading.uncommitted_bytes = leading.uncommitted_bytes.saturating_sub(bytes);
        }
        self.confirm_reads();
    }

    pub(crate) fn commits_own_term(&self) -> bool {
        self.log.term_at(self.commit) == Some(self.term)
    }

    /// Finds the latest round that a quorum answered, which renews the lease and confirms reads.
    pub(crate) fn advance_rounds(&mut self) {
        let Some(leading) = &self.leading else {
            return;
        };
        let own = (self.identity, leading.round);
        let round = leading.quorum_value(self.members(), own, |peer| peer.acked_round);
        if let Some(leading) = &mut self.leading {
            leading.confirm_round(round);
        }
        self.confirm_reads();
    }

    fn confirm_reads(&mut self) {
        if !self.commits_own_term() {
            return;
        }
        let index = self.commit;
        let Some(leading) = &mut self.leading else {
            return;
        };
        while let Some((round, token)) = leading.reads.front() {
            if *round > leading.confirmed_round {
                break;
            }
            let token = *token;
            self.reads.push(ready::ConfirmedRead { token, index });
            leading.reads.pop_front();
        }
    }

    /// Asks to confirm that this node still leads, so that a read of the state that contains all
    /// acknowledged commands can be served; `Ready::reads` or `Ready::failed_reads` answers it.
    /// Within the lease the answer needs no message.
    ///
    /// # Errors
    /// Fails if this node doesn't lead or too many reads wait.
    pub fn read_index(
        &mut self,
        now: Duration,
        token: units::ReadToken,
    ) -> Result<(), errors::ReadError> {
        if self.role == ready::NodeRole::Halted {
            return Err(errors::ReadError::Halted);
        }
        self.now = self.now.max(now);
        let current = self.commits_own_term();
        let (lease, index, now) = (self.options.leader_lease, self.commit, self.now);
        let leader = self.leader;
        let Some(leading) = &mut self.leading else {
            return Err(errors::ReadError::NotLeader { leader });
        };
        let leased = leading.lease_start.is_some_and(|start| now < start + lease);
        if current && leased && !leading.lease_given_up {
            self.reads.push(ready::ConfirmedRead { token, index });
            return Ok(());
        }
        if leading.reads.len() >= self.options.max_pending_reads {
            return Err(errors::ReadError::TooMany(leading.reads.len()));
        }
        // Only a round that starts after the read arrived proves that no later leader had
        // acknowledged anything before it.
        leading.reads.push_back((leading.round + 1, token));
        leading.round_wanted = true;
        Ok(())
    }

    /// Queues the messages that the followers need now.
    pub(crate) fn pump_followers(&mut self) {
        if self
            .leading
            .as_ref()
            .is_some_and(|leading| leading.round_wanted)
        {
            self.begin_round();
        }
        let Some(mut leading) = self.leading.take() else {
            return;
        };
        self.pump_transfer(&mut leading);
        let round = leading.round;
        for peer in leading.peers.values_mut() {
            self.pump_follower(peer, round);
        }
        self.leading = Some(leading);
    }

    fn pump_follower(&mut self, peer: &mut leading::Progress, round: u64) {
        // A follower whose next entry is compacted away needs the snapshot.
        let streaming = !matches!(peer.state, leading::ProgressState::Snapshot(_));
        if streaming && self.log.term_at(peer.next - 1).is_none() {
            self.start_snapshot(peer);
        }
        match peer.state {
            leading::ProgressState::Snapshot(_) => self.pump_snapshot(peer, round),
            leading::ProgressState::Replicate => self.pump_entries(peer, round),
            leading::ProgressState::Probe => {}
        }
        if peer.ping_due {
            peer.ping_due = false;
            let snapshot = matches!(peer.state, leading::ProgressState::Snapshot(_));
            // The start of the log always matches, so this reaches a follower that waits for a
            // snapshot as well.
            let previous = if snapshot { 0 } else { peer.next - 1 };
            self.send_append(peer, previous, round, Vec::new());
        }
    }

    fn pump_entries(&mut self, peer: &mut leading::Progress, round: u64) {
        let max_bytes = self.options.max_batch_bytes.0;
        while peer.next <= self.log.last_index()
            && peer.inflight.len() < self.options.max_inflight_batches
        {
            let entries = self.log.batch(peer.next, max_bytes);
            let Some(last) = entries.last().map(|entry| entry.index) else {
                return;
            };
            self.send_append(peer, peer.next - 1, round, entries);
            peer.ping_due = false;
            peer.inflight.push_back(last);
            peer.next = last + 1;
        }
    }

    fn send_append(
        &mut self,
        peer: &leading::Progress,
        previous_index: units::LogIndex,
        round: u64,
        entries: Vec<messages::LogEntry>,
    ) {
        let request = messages::AppendRequest {
            previous_index,
            previous_term: self.log.term_at(previous_index).unwrap_or(0),
            commit: self.commit,
            round,
            entries,
        };
        let body = messages::PeerBody::AppendRequest(request);
        let message = self.message(peer.identity, self.term, body);
        self.writes.send_now(message);
    }
}

/// Goes back after a refusal, unless the refusal is older than what is known by now.
fn backtrack(
    peer: &mut leading::Progress,
    answer: &messages::AppendResponse,
    candidate: units::LogIndex,
) {
    let current = match peer.state {
        leading::ProgressState::Probe => answer.rejected_index == peer.next - 1,
        leading::ProgressState::Replicate => answer.rejected_index < peer.next,
        leading::ProgressState::Snapshot(_) => false,
    };
    if current && answer.rejected_index > peer.matched {
        let next = (candidate + 1).min(answer.rejected_index);
        peer.probe_from(next.max(peer.matched + 1));
    }
}

const fn reject(
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

/// Checks that the entries follow each other and can be read before any of them is appended.
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
            return Err(errors::DecodeError::Order(entry.index));
        }
        previous_term = entry.term;
        let kind = messages::EntryKind::try_from(entry.kind)
            .map_err(|_| errors::DecodeError::Unknown("the entry kind", entry.kind))?;
        if kind == messages::EntryKind::Members {
            members::Membership::decode(&entry.payload)?;
        }
    }
    Ok(())
}
