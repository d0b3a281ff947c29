//! Volatile state of a leader, which lasts for one term.

use std::{collections::BTreeMap, collections::VecDeque, time::Duration};

use waxwing_core::ids;

use crate::{members, ready, units};

/// A snapshot that is being sent to a follower, one chunk at a time.
#[derive(Debug)]
pub(crate) struct OutgoingSnapshot {
    pub(crate) snapshot: ready::Snapshot,
    pub(crate) offset: u64,
    /// When the chunk at `offset` was sent; `None` if it has not been sent yet.
    pub(crate) sent_at: Option<Duration>,
}

/// How the log is replicated to a follower.
#[derive(Debug)]
pub(crate) enum ProgressState {
    /// The last matching entry is unknown. Only empty append requests are sent until one is
    /// accepted.
    Probe,
    /// Append requests are pipelined, up to the limit of unacknowledged requests.
    Replicate,
    /// The follower needs entries that are compacted away, so it is sent a snapshot.
    Snapshot(OutgoingSnapshot),
}

/// The replication progress of one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) identity: members::MemberIdentity,
    pub(crate) match_index: units::LogIndex,
    pub(crate) next_index: units::LogIndex,
    pub(crate) state: ProgressState,
    /// The last index of each unacknowledged append request that carries entries.
    pub(crate) inflight: VecDeque<units::LogIndex>,
    pub(crate) acked_round: u64,
    /// When the follower last responded in this term. It starts as the time at which the leader
    /// began to track the follower.
    pub(crate) last_contact: Option<Duration>,
    /// Whether an empty append request must be sent, as a heartbeat or probe.
    pub(crate) heartbeat_due: bool,
}

impl Progress {
    pub(crate) fn new(
        identity: members::MemberIdentity,
        next_index: units::LogIndex,
        last_contact: Option<Duration>,
    ) -> Self {
        Self {
            identity,
            match_index: 0,
            next_index,
            state: ProgressState::Probe,
            inflight: VecDeque::new(),
            acked_round: 0,
            last_contact,
            heartbeat_due: true,
        }
    }

    pub(crate) fn probe_from(&mut self, next_index: units::LogIndex) {
        self.next_index = next_index;
        self.state = ProgressState::Probe;
        self.inflight.clear();
        self.heartbeat_due = true;
    }

    /// Records that the follower's synced log matches the leader's up to `index`.
    pub(crate) fn record_match(&mut self, index: units::LogIndex) {
        self.match_index = self.match_index.max(index);
        while self
            .inflight
            .front()
            .is_some_and(|last| *last <= self.match_index)
        {
            self.inflight.pop_front();
        }
        match self.state {
            ProgressState::Probe => {
                self.next_index = self.match_index + 1;
                self.state = ProgressState::Replicate;
            }
            ProgressState::Replicate => self.next_index = self.next_index.max(self.match_index + 1),
            ProgressState::Snapshot(_) => {}
        }
    }
}

/// A leadership transfer in progress.
#[derive(Debug)]
pub(crate) struct LeaderTransfer {
    pub(crate) target: members::MemberIdentity,
    pub(crate) deadline: Duration,
    pub(crate) timeout_now_due: bool,
}

/// The volatile state of a leader during its term.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    pub(crate) peers: BTreeMap<ids::MemberId, Progress>,
    pub(crate) next_heartbeat: Duration,
    /// The number of the latest heartbeat round.
    pub(crate) round: u64,
    /// The latest heartbeat round that a quorum has acknowledged.
    pub(crate) confirmed_round: u64,
    /// Unconfirmed reads, each with the heartbeat round whose acknowledgement confirms it.
    pub(crate) pending_reads: VecDeque<(u64, units::ReadToken)>,
    pub(crate) round_requested: bool,
    pub(crate) transfer: Option<LeaderTransfer>,
    pub(crate) uncommitted_bytes: u64,
}

impl LeaderState {
    /// Returns the largest value that a quorum of voters has reached. `own` is the identity and the
    /// value of this node.
    pub(crate) fn quorum_value(
        &self,
        membership: &members::Membership,
        own: (members::MemberIdentity, u64),
        value: impl Fn(&Progress) -> u64,
    ) -> u64 {
        let mut values: Vec<u64> = membership
            .voters()
            .map(|voter| {
                if voter == own.0 {
                    return own.1;
                }
                let peer = self.peers.get(&voter.member);
                peer.filter(|peer| peer.identity == voter).map_or(0, &value)
            })
            .collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(membership.quorum() - 1).copied().unwrap_or(0)
    }

    /// Starts a round of heartbeats to all followers, at which a pending transfer also sends
    /// `TimeoutNow` again.
    pub(crate) fn start_heartbeat_round(&mut self, next_heartbeat: Duration) {
        self.round += 1;
        self.round_requested = false;
        self.next_heartbeat = next_heartbeat;
        for peer in self.peers.values_mut() {
            peer.heartbeat_due = true;
        }
        if let Some(transfer) = &mut self.transfer {
            transfer.timeout_now_due = true;
        }
    }

    /// Removes followers that left the membership and adds new ones.
    pub(crate) fn update_peers(
        &mut self,
        membership: &members::Membership,
        own: members::MemberIdentity,
        next_index: units::LogIndex,
        last_contact: Option<Duration>,
    ) {
        self.peers
            .retain(|_, peer| membership.kind(peer.identity).is_some());
        for (identity, _) in membership.iter() {
            if identity != own {
                self.peers
                    .entry(identity.member)
                    .or_insert_with(|| Progress::new(identity, next_index, last_contact));
            }
        }
    }
}
