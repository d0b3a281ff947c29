//! The channels between the task that runs the replicated log and the other tasks of the host.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot, watch};
use waxwing_rollout::ledger;
use waxwing_wire::messages as wire;

use crate::{departures, documents, errors, replica};

/// Capacity of the request queue of the group task, in requests.
const REQUEST_QUEUE_LEN: usize = 1_024;

/// A request to the group task.
#[derive(Debug)]
pub(crate) enum GroupRequest {
    /// Store a document, unless the current one has the same or a higher version.
    Put {
        document: documents::StoredDocument,
        reply: oneshot::Sender<replica::CallOutcome>,
    },
    /// Read the current document, after a quorum confirmed that it is the newest.
    Read {
        reply: oneshot::Sender<replica::CallOutcome>,
    },
    /// Record departures of endpoints; it is answered once they are committed.
    RecordDepartures {
        list: departures::DepartureList,
        reply: oneshot::Sender<replica::CallOutcome>,
    },
    /// Record a change of a roll-out; it is answered once it is committed.
    ChangeRollout {
        change: Box<ledger::RolloutChange>,
        reply: oneshot::Sender<replica::CallOutcome>,
    },
    /// Handle a consensus message from another member.
    Peer { from: SocketAddr, payload: Bytes },
    /// Handle the request of a host to join the group.
    Join(wire::JoinGroup),
}

/// The state of the group that the task publishes, as this host knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct GroupView {
    /// Whether this host is the leader.
    pub(crate) leads: bool,
    /// Whether this host is a voter.
    pub(crate) votes: bool,
    /// Whether the log is open and this host is no member of the group.
    pub(crate) awaits_membership: bool,
    /// The number of voters.
    pub(crate) voters: usize,
    /// The voters that this host, as the leader, has not heard for some time.
    pub(crate) silent_voters: usize,
    /// The address at which the leader accepts links.
    pub(crate) leader: Option<SocketAddr>,
    /// The addresses at which the members, voters and learners, accept links.
    pub(crate) members: Vec<SocketAddr>,
    /// The current deployment document, if there is any.
    pub(crate) document: Option<documents::StoredDocument>,
    /// The departures of endpoints that are committed.
    pub(crate) departures: Arc<departures::DepartureLedger>,
    /// The roll-outs that are committed.
    pub(crate) rollouts: Arc<ledger::RolloutLedger>,
    /// The term of the log.
    pub(crate) term: u64,
}

/// Sends requests to the group task and reads its published state; clones share both.
#[derive(Debug, Clone)]
pub(crate) struct GroupHandle {
    pub(crate) requests: mpsc::Sender<GroupRequest>,
    pub(crate) view: watch::Receiver<GroupView>,
}

impl GroupHandle {
    /// Stores a document; returns the version of the document that is current afterwards.
    pub(crate) async fn put(
        &self,
        document: documents::StoredDocument,
    ) -> Result<Option<u64>, errors::GroupError> {
        let (reply, receiver) = oneshot::channel();
        self.submit(GroupRequest::Put { document, reply }).await?;
        let current = receiver
            .await
            .map_err(|_| errors::GroupError::Unavailable)??;
        Ok(current.map(|document| document.version))
    }

    /// Reads the current document, confirmed by a quorum.
    pub(crate) async fn read(&self) -> replica::CallOutcome {
        let (reply, receiver) = oneshot::channel();
        self.submit(GroupRequest::Read { reply }).await?;
        receiver
            .await
            .map_err(|_| errors::GroupError::Unavailable)?
    }

    /// Records departures of endpoints in the log.
    pub(crate) async fn record_departures(
        &self,
        list: departures::DepartureList,
    ) -> Result<(), errors::GroupError> {
        let (reply, receiver) = oneshot::channel();
        self.submit(GroupRequest::RecordDepartures { list, reply })
            .await?;
        let outcome = receiver
            .await
            .map_err(|_| errors::GroupError::Unavailable)?;
        outcome.map(|_| ())
    }

    /// Records a change of a roll-out in the log.
    pub(crate) async fn change_rollout(
        &self,
        change: ledger::RolloutChange,
    ) -> Result<(), errors::GroupError> {
        let (reply, receiver) = oneshot::channel();
        let change = Box::new(change);
        self.submit(GroupRequest::ChangeRollout { change, reply })
            .await?;
        let outcome = receiver
            .await
            .map_err(|_| errors::GroupError::Unavailable)?;
        outcome.map(|_| ())
    }

    async fn submit(&self, request: GroupRequest) -> Result<(), errors::GroupError> {
        let sent = self.requests.send(request).await;
        sent.map_err(|_| errors::GroupError::Unavailable)
    }
}

/// The task's ends of the channels. They outlive the task, which ends when storage fails and is
/// started again.
pub(crate) struct GroupChannels {
    pub(crate) requests: mpsc::Receiver<GroupRequest>,
    pub(crate) view: watch::Sender<GroupView>,
}

/// Creates the channels of the group task.
pub(crate) fn channels() -> (GroupHandle, GroupChannels) {
    let (sender, requests) = mpsc::channel(REQUEST_QUEUE_LEN);
    let (view, view_receiver) = watch::channel(GroupView::default());
    let handle = GroupHandle {
        requests: sender,
        view: view_receiver,
    };
    (handle, GroupChannels { requests, view })
}

/// Drops the queued requests after the log failed, so that their callers get
/// [`errors::GroupError::Unavailable`], and marks the group as without a leader.
pub(crate) fn drop_requests(channels: &mut GroupChannels) {
    while channels.requests.try_recv().is_ok() {}
    channels.view.send_modify(|view| {
        view.leads = false;
        view.silent_voters = 0;
        view.leader = None;
    });
}
