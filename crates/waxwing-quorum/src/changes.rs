//! Membership changes and leadership transfer.

use std::time::Duration;

use waxwing_core::ids;

use crate::{errors, leading, members, messages, node, units};

impl node::QuorumNode {
    /// Appends a change of one member if this node leads. It takes effect at once and is safe when
    /// it is committed; the next change waits for that.
    ///
    /// # Errors
    /// Tells why the change was not taken.
    pub fn change_members(
        &mut self,
        change: members::MemberChange,
    ) -> Result<units::ProposalId, errors::ChangeError> {
        self.check_accepts_proposals()?;
        // A change before the first commit of the term could meet one of an earlier leader that
        // is not known to be committed, and their quorums might not overlap.
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
        let (own, heard) = (self.identity, Some(self.now));
        if let Some(leader_state) = &mut self.leader_state {
            let members = self.membership_history.latest();
            leader_state.update_peers(members, own, id.index, heard);
        }
        self.advance_commit();
        Ok(id)
    }

    /// Checks that a learner holds nearly everything, so that the new quorum can commit at once.
    fn check_caught_up(
        &self,
        identity: members::MemberIdentity,
    ) -> Result<(), errors::ChangeError> {
        let last = self.log.last_index();
        let peer = self.leader_state.as_ref();
        let peer = peer.and_then(|leader_state| leader_state.peers.get(&identity.member));
        let peer = peer.ok_or(errors::ChangeError::NotMember(identity))?;
        let oldest = self.now.saturating_sub(self.options.election_timeout_min);
        let lag = last.saturating_sub(peer.match_index);
        let allowed = self.options.promotion_lag;
        // A learner that has acknowledged nothing may be a host that never started.
        let heard = peer.match_index > 0 && peer.last_contact.is_some_and(|heard| heard >= oldest);
        if lag > allowed || !heard {
            return Err(errors::ChangeError::NotCaughtUp {
                member: identity.member,
                lag,
                allowed,
            });
        }
        Ok(())
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
        leader_state.transfer = Some(leading::LeaderTransfer {
            target: identity,
            deadline,
            timeout_now_due: true,
        });
        Ok(())
    }

    /// Tells the target of a transfer to start its election once it has all entries.
    pub(crate) fn advance_transfer(&mut self, leader_state: &mut leading::LeaderState) {
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
        leader_state.lease_relinquished = true;
        let body = messages::PeerBody::TimeoutNow(messages::TimeoutNow {});
        let message = self.message(target, self.term, body);
        self.writes.send_now(message);
    }
}
