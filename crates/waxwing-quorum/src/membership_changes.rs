//! Membership changes and leadership transfer.

use std::time::Duration;

use waxwing_core::ids;

use crate::{errors, leader_state, members, messages, node, units};

impl node::QuorumNode {
    /// Proposes a change of one member. The new membership takes effect when it is appended, and
    /// the change is durable once its entry is committed; until then further changes are rejected.
    ///
    /// # Errors
    /// Fails if this node isn't the leader or the change is not allowed now; nothing was appended.
    pub fn change_members(
        &mut self,
        change: members::MemberChange,
    ) -> Result<units::ProposalId, errors::ChangeError> {
        self.check_accepts_proposals()?;
        // Before the first commit of its term, a leader may not know whether the membership change
        // of an earlier leader is committed; the quorums of the two changes might not overlap.
        if self.membership_history.latest_index() > self.commit_index
            || !self.has_committed_in_term()
        {
            return Err(errors::ChangeError::Pending);
        }
        let next = self.members().with_change(change)?;
        match change {
            members::MemberChange::Promote(identity) => self.check_caught_up(identity)?,
            members::MemberChange::Remove(identity) if identity == self.identity => {
                return Err(errors::ChangeError::RemovesLeader);
            }
            _ => {}
        }
        let (heard, needed) = (self.count_active_voters(&next), next.quorum());
        if heard < needed {
            return Err(errors::ChangeError::NoQuorum { heard, needed });
        }
        let id = self.append_as_leader(messages::EntryKind::Members, next.encode());
        self.membership_history.push(id.index, next);
        let (own, last_contact) = (self.identity, Some(self.now));
        if let Some(leader_state) = &mut self.leader_state {
            let members = self.membership_history.latest();
            leader_state.update_peers(members, own, id.index, last_contact);
        }
        self.advance_commit();
        Ok(id)
    }

    /// Checks that a learner has nearly all entries, so that the new quorum can commit without
    /// delay.
    fn check_caught_up(
        &self,
        identity: members::MemberIdentity,
    ) -> Result<(), errors::ChangeError> {
        let last = self.log.last_index();
        let peer = self.leader_state.as_ref();
        let peer = peer.and_then(|leader_state| leader_state.peers.get(&identity.member));
        let peer = peer.ok_or(errors::ChangeError::NotMember(identity))?;
        let cutoff = self.now.saturating_sub(self.options.election_timeout_min);
        let lag = last.saturating_sub(peer.match_index);
        let allowed = self.options.promotion_lag;
        // A new learner counts as in contact although it may never have started, so it must also
        // have acknowledged part of the log.
        let active =
            peer.match_index > 0 && peer.last_contact.is_some_and(|contact| contact >= cutoff);
        if lag > allowed || !active {
            return Err(errors::ChangeError::NotCaughtUp {
                member: identity.member,
                lag,
                allowed,
            });
        }
        Ok(())
    }

    /// Transfers leadership to another voter once that voter has all entries. Proposals are
    /// rejected during the transfer, which is aborted after the minimum election timeout.
    ///
    /// # Errors
    /// Fails if this node isn't the leader or the target isn't another voter.
    pub fn transfer_leadership(
        &mut self,
        now: Duration,
        target: ids::MemberId,
    ) -> Result<(), errors::TransferError> {
        self.now = self.now.max(now);
        let deadline = self.now + self.options.election_timeout_min;
        let identity = self.members().find(target);
        let identity = identity
            .filter(|found| self.members().is_voter(*found) && *found != self.identity)
            .ok_or(errors::TransferError::NotVoter(target))?;
        let leader_state = self
            .leader_state
            .as_mut()
            .ok_or(errors::TransferError::NotLeader)?;
        leader_state.transfer = Some(leader_state::LeaderTransfer {
            target: identity,
            deadline,
            timeout_now_due: true,
        });
        Ok(())
    }

    /// Sends `TimeoutNow` to the target of a transfer once the target has all entries.
    pub(crate) fn advance_transfer(&mut self, leader_state: &mut leader_state::LeaderState) {
        let Some(transfer) = &mut leader_state.transfer else {
            return;
        };
        let target = transfer.target;
        let match_index = leader_state
            .peers
            .get(&target.member)
            .map_or(0, |peer| peer.match_index);
        if !transfer.timeout_now_due || match_index < self.log.last_index() {
            return;
        }
        transfer.timeout_now_due = false;
        let body = messages::PeerBody::TimeoutNow(messages::TimeoutNow {});
        let message = self.message(target, self.term, body);
        self.writes.send_now(message);
    }
}
