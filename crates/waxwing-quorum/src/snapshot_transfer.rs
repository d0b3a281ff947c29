//! Snapshot transfer from the leader to a follower, in chunks of bounded size.

use bytes::Bytes;
use waxwing_core::units as core_units;

use crate::{entry_log, errors, leader_state, members, messages, node, ready, units};

/// The part of a snapshot that a follower has received so far.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    index: units::LogIndex,
    term: units::Term,
    total: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    const fn for_chunk(chunk: &messages::SnapshotChunk) -> Self {
        Self {
            index: chunk.index,
            term: chunk.term,
            total: chunk.total,
            data: Vec::new(),
        }
    }

    fn is_for(&self, chunk: &messages::SnapshotChunk) -> bool {
        (self.index, self.term, self.total) == (chunk.index, chunk.term, chunk.total)
    }
}

impl node::QuorumNode {
    pub(crate) fn begin_snapshot(&self, peer: &mut leader_state::Progress) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        peer.inflight.clear();
        peer.state = leader_state::ProgressState::Snapshot(leader_state::OutgoingSnapshot {
            snapshot,
            offset: 0,
            sent_at: None,
        });
    }

    /// Sends the next chunk. A chunk without a response is sent again after two heartbeat
    /// intervals, but only if the follower has responded to something else since.
    pub(crate) fn send_snapshot_chunk(&mut self, peer: &mut leader_state::Progress, round: u64) {
        let (now, resend_after) = (self.now, self.options.heartbeat_interval * 2);
        let newest = self.snapshot_index();
        let last_contact = peer.last_contact;
        let late =
            |sent| now >= sent + resend_after && last_contact.is_some_and(|contact| contact > sent);
        let leader_state::ProgressState::Snapshot(outgoing) = &mut peer.state else {
            return;
        };
        if outgoing.sent_at.is_some_and(|sent| !late(sent)) {
            return;
        }
        if outgoing.sent_at.is_some() && outgoing.snapshot.index < newest {
            // Restart with the newest snapshot, for a follower that was away for a long time.
            self.begin_snapshot(peer);
        }
        let leader_state::ProgressState::Snapshot(outgoing) = &mut peer.state else {
            return;
        };
        outgoing.sent_at = Some(now);
        let data = &outgoing.snapshot.data;
        let start = usize::try_from(outgoing.offset).unwrap_or(usize::MAX);
        let start = start.min(data.len());
        let length = usize::try_from(self.options.snapshot_chunk_bytes.0).unwrap_or(usize::MAX);
        let end = start.saturating_add(length).min(data.len());
        let chunk = messages::SnapshotChunk {
            index: outgoing.snapshot.index,
            term: outgoing.snapshot.term,
            members: Some(outgoing.snapshot.members.to_message()),
            total: data.len() as u64,
            offset: start as u64,
            data: data.slice(start..end),
            round,
        };
        let body = messages::PeerBody::SnapshotChunk(chunk);
        let message = self.message(peer.identity, self.term, body);
        self.writes.send_now(message);
    }

    pub(crate) fn on_snapshot_chunk(
        &mut self,
        sender: members::MemberIdentity,
        term: units::Term,
        chunk: messages::SnapshotChunk,
    ) -> Result<(), errors::ReceiveError> {
        units::check_range(chunk.index)?;
        units::check_range(chunk.term)?;
        let members = chunk.members.as_ref();
        let members = members.ok_or(errors::DecodeError::MissingField("the membership"))?;
        let members = members::Membership::from_message(members)?;
        let allowed = self.options.max_snapshot_bytes;
        if chunk.total > allowed.0 {
            let found = core_units::ByteCount(chunk.total);
            return Err(errors::ReceiveError::SnapshotTooLong { found, allowed });
        }
        if term < self.term {
            self.reject_older_term(sender);
            return Ok(());
        }
        self.accept_leader(sender, term)?;
        let (index, round) = (chunk.index, chunk.round);
        if index <= self.commit_index || self.log.term_at(index) == Some(chunk.term) {
            // The log already has every entry that the snapshot covers.
            self.commit_index = self.commit_index.max(index);
            self.incoming_snapshot = None;
            self.send_snapshot_response(sender, index, 0, true, round);
            return Ok(());
        }
        let next_offset = self.append_chunk(&chunk);
        let installed = next_offset == chunk.total;
        if installed {
            let data = self.incoming_snapshot.take().map(|incoming| incoming.data);
            self.install(ready::Snapshot {
                index,
                term: chunk.term,
                members,
                data: Bytes::from(data.unwrap_or_default()),
            });
        }
        self.send_snapshot_response(sender, index, next_offset, installed, round);
        Ok(())
    }

    /// Appends a chunk if it is the next one and returns the next offset that is needed. The buffer
    /// grows with the received data; the announced total is not reserved.
    fn append_chunk(&mut self, chunk: &messages::SnapshotChunk) -> u64 {
        let incoming = match self.incoming_snapshot.take() {
            Some(incoming) if incoming.is_for(chunk) => incoming,
            _ => IncomingSnapshot::for_chunk(chunk),
        };
        let incoming = self.incoming_snapshot.insert(incoming);
        let held = incoming.data.len() as u64;
        if chunk.offset == held && held + chunk.data.len() as u64 <= chunk.total {
            incoming.data.extend_from_slice(&chunk.data);
        }
        incoming.data.len() as u64
    }

    fn install(&mut self, snapshot: ready::Snapshot) {
        self.log = entry_log::EntryLog::with_base(snapshot.index, snapshot.term);
        self.membership_history =
            members::MembershipHistory::with_base(snapshot.index, snapshot.members.clone());
        self.commit_index = snapshot.index;
        self.writes.install(snapshot.clone());
        self.pending_install = Some((self.writes.required_sequence(), snapshot.clone()));
        self.snapshot = Some(snapshot);
    }

    fn send_snapshot_response(
        &mut self,
        leader: members::MemberIdentity,
        index: units::LogIndex,
        next_offset: u64,
        installed: bool,
        round: u64,
    ) {
        let body = messages::PeerBody::SnapshotResponse(messages::SnapshotResponse {
            index,
            next_offset,
            installed,
            round,
        });
        let message = self.message(leader, self.term, body);
        self.writes.send_after_writes(message);
    }

    pub(crate) fn on_snapshot_response(
        &mut self,
        sender: members::MemberIdentity,
        response: &messages::SnapshotResponse,
    ) {
        let now = self.now;
        let last = self.log.last_index();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let round = response.round.min(leader_state.round);
        let Some(peer) = leader_state.peers.get_mut(&sender.member) else {
            return;
        };
        peer.last_contact = Some(now);
        peer.acked_round = peer.acked_round.max(round);
        if let leader_state::ProgressState::Snapshot(outgoing) = &mut peer.state
            && outgoing.snapshot.index == response.index
        {
            if response.installed && response.index <= last {
                peer.record_match(response.index);
                peer.probe_from(peer.match_index + 1);
            } else if response.next_offset != outgoing.offset {
                outgoing.offset = response.next_offset;
                outgoing.sent_at = None;
            }
        }
        self.advance_commit();
        self.advance_confirmed_round();
    }
}
