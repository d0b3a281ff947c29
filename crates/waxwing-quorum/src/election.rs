//! Elections: timeouts, pre-votes, votes and stepping down.

use std::time::Duration;

use rand::RngExt as _;

use crate::{errors, leader_state, members, messages, node, ready, units};

impl node::QuorumNode {
    pub(crate) fn reset_election_deadline(&mut self) {
        let min_timeout = self.options.election_timeout_min;
        let range = self
            .options
            .election_timeout_max
            .saturating_sub(min_timeout);
        let range = u64::try_from(range.as_micros()).unwrap_or(u64::MAX);
        let jitter = self.rng.random_range(0..=range);
        self.election_deadline = self.now + min_timeout + Duration::from_micros(jitter);
    }

    /// Returns whether a leader was heard from so recently that it is taken to work, so that this
    /// node helps nobody to replace it. This also holds just after startup, because the node may
    /// have heard from a leader before a restart.
    fn leader_seems_to_work(&self) -> bool {
        let timeout = self.options.election_timeout_min;
        let recent = |contact: Duration| self.now < contact + timeout;
        self.role == ready::NodeRole::Leader || self.last_leader_contact.is_some_and(recent)
    }

    pub(crate) fn tick_follower(&mut self) {
        if self.now < self.election_deadline {
            return;
        }
        self.leader = None;
        if self.members().is_voter(self.identity) {
            self.start_pre_vote();
        } else {
            self.reset_election_deadline();
        }
    }

    /// Starts a pre-vote, which doesn't increase the term. Thus a member that rejoins after a
    /// network partition doesn't depose a working leader.
    fn start_pre_vote(&mut self) {
        self.role = ready::NodeRole::PreCandidate;
        self.reset_election_deadline();
        self.votes.clear();
        self.votes.insert(self.identity);
        self.own_vote_write = None;
        if self.has_vote_quorum() {
            self.start_election(false);
            return;
        }
        self.request_votes(self.term + 1, true, false);
    }

    pub(crate) fn start_election(&mut self, transfer: bool) {
        self.term += 1;
        self.vote = Some(self.identity);
        self.role = ready::NodeRole::Candidate;
        self.leader = None;
        self.votes.clear();
        self.reset_election_deadline();
        self.write_hard_state();
        self.own_vote_write = Some(self.writes.required_sequence());
        self.request_votes(self.term, false, transfer);
    }

    fn request_votes(&mut self, term: units::Term, pre_vote: bool, transfer: bool) {
        let request = messages::VoteRequest {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            pre_vote,
            transfer,
        };
        let voters: Vec<_> = self.members().voters().collect();
        for voter in voters {
            if voter != self.identity {
                let body = messages::PeerBody::VoteRequest(request.clone());
                let message = self.message(voter, term, body);
                self.writes.send_after_writes(message);
            }
        }
    }

    pub(crate) fn message(
        &self,
        to: members::MemberIdentity,
        term: units::Term,
        body: messages::PeerBody,
    ) -> ready::OutgoingMessage {
        ready::OutgoingMessage {
            to: to.member,
            message: messages::PeerMessage {
                term,
                sender: Some(self.identity.into()),
                recipient: Some(to.into()),
                body: Some(body),
            },
        }
    }

    pub(crate) fn write_hard_state(&mut self) {
        self.writes.set_hard_state(messages::HardState {
            term: self.term,
            vote: self.vote.map(Into::into),
        });
        self.hard_state_write = self.writes.required_sequence();
    }

    /// Grants or denies a vote. This node's membership may be older than the candidate's, so a
    /// candidate that is not in it is considered if its log is ahead. Rejecting it because of an
    /// outdated membership could leave a group without a leader after a host is lost. The log of a
    /// wiped host is never ahead.
    pub(crate) fn on_vote_request(
        &mut self,
        sender: members::MemberIdentity,
        term: units::Term,
        request: &messages::VoteRequest,
    ) -> Result<(), errors::ReceiveError> {
        let candidate_log = (request.last_term, request.last_index);
        let own_log = (self.log.last_term(), self.log.last_index());
        if self.members().kind(sender).is_none() && candidate_log <= own_log {
            return Err(errors::ReceiveError::UnknownSender(sender));
        }
        let led = self.leader_seems_to_work() && !request.transfer;
        if led && !request.pre_vote {
            return Ok(());
        }
        let mut granted = !led && candidate_log >= own_log && term >= self.term;
        if request.pre_vote {
            granted &= term > self.term;
        } else {
            if term > self.term {
                self.become_follower(term, None);
            }
            let vote_available = self.vote.is_none_or(|vote| vote == sender);
            granted &= vote_available && self.leader.is_none();
            if granted {
                self.vote = Some(sender);
                self.write_hard_state();
                self.reset_election_deadline();
            }
        }
        let response = messages::VoteResponse {
            request_term: term,
            granted,
            pre_vote: request.pre_vote,
        };
        let body = messages::PeerBody::VoteResponse(response);
        let message = self.message(sender, self.term, body);
        self.writes.send_after_writes(message);
        Ok(())
    }

    pub(crate) fn on_vote_response(
        &mut self,
        sender: members::MemberIdentity,
        response: &messages::VoteResponse,
    ) {
        let expected = match self.role {
            ready::NodeRole::PreCandidate => (true, self.term + 1),
            ready::NodeRole::Candidate => (false, self.term),
            _ => return,
        };
        if !response.granted || (response.pre_vote, response.request_term) != expected {
            return;
        }
        self.votes.insert(sender);
        if !self.has_vote_quorum() {
            return;
        }
        if response.pre_vote {
            self.start_election(false);
        } else {
            self.become_leader();
        }
    }

    /// Counts the candidate's vote for itself once it is synced.
    pub(crate) fn count_own_vote(&mut self) {
        let synced = |sequence| self.writes.is_persisted(sequence);
        if self.role != ready::NodeRole::Candidate || !self.own_vote_write.is_some_and(synced) {
            return;
        }
        self.own_vote_write = None;
        self.votes.insert(self.identity);
        if self.has_vote_quorum() {
            self.become_leader();
        }
    }

    /// Returns whether a quorum of voters, matched by member id and store id, has granted its vote.
    fn has_vote_quorum(&self) -> bool {
        let members = self.members();
        let granted = members.voters().filter(|voter| self.votes.contains(voter));
        // The node's own vote must be included: a candidate's vote for itself is counted only once
        // the term of the election is synced.
        granted.count() >= members.quorum() && self.votes.contains(&self.identity)
    }

    pub(crate) fn become_follower(
        &mut self,
        term: units::Term,
        leader: Option<members::MemberIdentity>,
    ) {
        self.clear_leader_state();
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.write_hard_state();
        }
        self.role = ready::NodeRole::Follower;
        self.leader = leader;
        self.votes.clear();
        self.own_vote_write = None;
        self.reset_election_deadline();
    }

    /// Discards the leader state and fails the pending reads, which can't be confirmed any more.
    pub(crate) fn clear_leader_state(&mut self) {
        if let Some(leader_state) = self.leader_state.take() {
            let tokens = leader_state.pending_reads.iter().map(|(_, token)| *token);
            self.failed_reads.extend(tokens);
            self.last_leader_contact = None;
        }
    }

    fn become_leader(&mut self) {
        self.role = ready::NodeRole::Leader;
        self.leader = Some(self.identity);
        self.votes.clear();
        let mut leader_state = leader_state::LeaderState {
            uncommitted_bytes: self.log.bytes_after(self.commit_index),
            ..leader_state::LeaderState::default()
        };
        let next_index = self.log.last_index() + 1;
        let last_contact = Some(self.now);
        leader_state.update_peers(self.members(), self.identity, next_index, last_contact);
        self.leader_state = Some(leader_state);
        self.append_as_leader(messages::EntryKind::Noop, bytes::Bytes::new());
        self.start_heartbeat_round();
    }

    pub(crate) fn on_timeout_now(&mut self, sender: members::MemberIdentity) {
        let follows = self.role == ready::NodeRole::Follower && self.leader == Some(sender);
        if follows && self.members().is_voter(self.identity) {
            self.start_election(true);
        }
    }

    /// Steps down if no quorum of voters has responded within the minimum election timeout.
    pub(crate) fn check_quorum(&mut self) {
        let members = self.members();
        if self.count_active_voters(members) < members.quorum() {
            self.become_follower(self.term, None);
        }
    }

    /// Returns the number of voters that responded within the minimum election timeout, including
    /// this node.
    pub(crate) fn count_active_voters(&self, members: &members::Membership) -> usize {
        let timeout = self.options.election_timeout_min;
        let cutoff = self.now.saturating_sub(timeout);
        let active = |voter: &members::MemberIdentity| {
            let peers = self
                .leader_state
                .as_ref()
                .map(|leader_state| &leader_state.peers);
            let peer = peers.and_then(|peers| peers.get(&voter.member));
            let peer = peer.filter(|peer| peer.identity == *voter);
            *voter == self.identity
                || peer.is_some_and(|peer| {
                    peer.last_contact
                        .is_some_and(|last_contact| last_contact >= cutoff)
                })
        };
        members.voters().filter(active).count()
    }
}
