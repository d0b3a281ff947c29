//! The handle through which the tasks of a control host use the replicated log.

use std::net::SocketAddr;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot, watch};
use waxwing_wire::messages as wire;

use crate::{documents, errors};

/// Requests that may wait for the task.
const REQUEST_QUEUE: usize = 1_024;

/// A `GroupRequest` is a request to the task.
#[derive(Debug)]
pub(crate) enum GroupRequest {
    /// Put a document in force unless a version as high is held.
    Put {
        document: documents::StoredDocument,
        answer: oneshot::Sender<Result<u64, errors::ChangeFailure>>,
    },
    /// Confirm that the held document is the newest.
    Read {
        answer: oneshot::Sender<Result<documents::StoredDocument, errors::ChangeFailure>>,
    },
    /// Take a message of the log.
    Peer { from: SocketAddr, payload: Bytes },
    /// Take a request of a host to join.
    Join(wire::JoinGroup),
}

/// A `GroupView` is what the task publishes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct GroupView {
    /// Whether this host leads.
    pub(crate) leads: bool,
    /// Whether this host votes.
    pub(crate) votes: bool,
    /// How many hosts vote.
    pub(crate) voters: usize,
    /// Where the leader accepts links.
    pub(crate) leader: Option<SocketAddr>,
    /// Where all members accept links.
    pub(crate) members: Vec<SocketAddr>,
    /// The document in force.
    pub(crate) document: documents::StoredDocument,
}

/// A `GroupHandle` sends requests to the task; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct GroupHandle {
    pub(crate) requests: mpsc::Sender<GroupRequest>,
    pub(crate) view: watch::Receiver<GroupView>,
}

impl GroupHandle {
    /// Puts a document in force; returns the version that is held then.
    pub(crate) async fn put(
        &self,
        document: documents::StoredDocument,
    ) -> Result<u64, errors::ChangeFailure> {
        let (answer, receiver) = oneshot::channel();
        self.ask(GroupRequest::Put { document, answer }).await?;
        receiver
            .await
            .map_err(|_| errors::ChangeFailure::Unavailable)?
    }

    /// Reads the document, confirmed by a quorum.
    pub(crate) async fn read(&self) -> Result<documents::StoredDocument, errors::ChangeFailure> {
        let (answer, receiver) = oneshot::channel();
        self.ask(GroupRequest::Read { answer }).await?;
        receiver
            .await
            .map_err(|_| errors::ChangeFailure::Unavailable)?
    }

    async fn ask(&self, request: GroupRequest) -> Result<(), errors::ChangeFailure> {
        let sent = self.requests.send(request).await;
        sent.map_err(|_| errors::ChangeFailure::Unavailable)
    }
}

/// The ends of a task's channels, which outlive a failure of storage.
pub(crate) struct GroupChannels {
    pub(crate) requests: mpsc::Receiver<GroupRequest>,
    pub(crate) view: watch::Sender<GroupView>,
}

/// Builds the channels of a task.
pub(crate) fn channels() -> (GroupHandle, GroupChannels) {
    let (sender, requests) = mpsc::channel(REQUEST_QUEUE);
    let (view, watched) = watch::channel(GroupView::default());
    let handle = GroupHandle {
        requests: sender,
        view: watched,
    };
    (handle, GroupChannels { requests, view })
}

/// Drops what waits for a log that is lost; the callers get no answer from it.
pub(crate) fn abandon(channels: &mut GroupChannels) {
    while channels.requests.try_recv().is_ok() {}
    channels.view.send_modify(|view| {
        view.leads = false;
        view.leader = None;
    });
}
