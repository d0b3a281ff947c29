//! The handle through which the tasks of a control host use the replicated log.

use std::sync::{Arc, RwLock, RwLockReadGuard};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot, watch};
use waxwing_core::ids;
use xxhash_rust::xxh3;

use crate::{commands, errors, machine};

/// Capacity of the request queue of the log's task.
pub(crate) const QUEUE_LENGTH: usize = 4_096;

/// The result of a command with its log index.
pub(crate) type AppliedResult = Result<(u64, commands::CommandResult), errors::SubmitError>;

/// A request to the log's task.
#[derive(Debug)]
pub(crate) enum LogRequest {
    /// Propose an encoded [`commands::Submission`].
    Submit {
        submission: Bytes,
        reply: oneshot::Sender<AppliedResult>,
    },
    /// Return an index that covers every acknowledged command, so that a read of the state up to it
    /// is linearizable.
    ReadIndex {
        reply: oneshot::Sender<Result<u64, errors::SubmitError>>,
    },
    /// Process a message of the replicated log received from a member.
    Peer { from: ids::MemberId, payload: Bytes },
}

/// The role and membership of this host, as published by the log's task.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct LogStatus {
    /// Whether this host is the leader.
    pub(crate) leads: bool,
    /// The name of the leader, if it is known.
    pub(crate) leader: Option<String>,
    /// The current term.
    pub(crate) term: u64,
    /// The ids of the members, and whether each is a voter.
    pub(crate) members: Vec<(u64, bool)>,
    /// Whether this host is a member under the store id of its current data folder.
    pub(crate) is_member: bool,
}

/// Derives the member id of a host from its name, so that the host keeps it when its disk is
/// replaced. The store id distinguishes the old disk from the new one.
pub(crate) fn member_id(name: &str) -> ids::MemberId {
    ids::MemberId(xxh3::xxh3_64(name.as_bytes()))
}

/// The replicated state, written by the log's task and read by all others.
#[derive(Debug, Default)]
pub(crate) struct LogShared {
    machine: RwLock<machine::StateMachine>,
    pub(crate) applied: watch::Sender<u64>,
    pub(crate) version: watch::Sender<ids::SettingsVersion>,
    pub(crate) status: watch::Sender<LogStatus>,
}

impl LogShared {
    /// Locks the state for reading. The guard must not be held across an await.
    pub(crate) fn read(&self) -> RwLockReadGuard<'_, machine::StateMachine> {
        // A poisoned lock means that applying a command panicked; the process can't continue with
        // that state.
        self.machine
            .read()
            .expect("the state machine never panics while it applies a command")
    }

    /// Changes the state and publishes its new applied index and settings version.
    pub(crate) fn write<T>(&self, change: impl FnOnce(&mut machine::StateMachine) -> T) -> T {
        let mut machine = self
            .machine
            .write()
            .expect("the state machine never panics while it applies a command");
        let output = change(&mut machine);
        let applied = machine.applied();
        let version = machine.settings().version();
        drop(machine);
        self.applied.send_replace(applied);
        self.version.send_if_modified(|current| {
            let changed = *current != version;
            *current = version;
            changed
        });
        output
    }
}

/// Sends requests to the log's task. Clones send to the same task.
#[derive(Debug, Clone)]
pub(crate) struct LogHandle {
    pub(crate) requests: mpsc::Sender<LogRequest>,
    pub(crate) shared: Arc<LogShared>,
}

impl LogHandle {
    /// Runs an encoded submission if this host is the leader.
    pub(crate) async fn submit(&self, submission: Bytes) -> AppliedResult {
        let (reply, receiver) = oneshot::channel();
        let request = LogRequest::Submit { submission, reply };
        self.send(request).await?;
        receiver.await.map_err(|_| errors::SubmitError::Closed)?
    }

    /// Returns an index for a linearizable read if this host is the leader; see
    /// [`LogRequest::ReadIndex`].
    pub(crate) async fn read_index(&self) -> Result<u64, errors::SubmitError> {
        let (reply, receiver) = oneshot::channel();
        self.send(LogRequest::ReadIndex { reply }).await?;
        receiver.await.map_err(|_| errors::SubmitError::Closed)?
    }

    /// Waits until the entry at `index` has been applied.
    pub(crate) async fn wait_applied(&self, index: u64) -> Result<(), errors::SubmitError> {
        let mut applied = self.shared.applied.subscribe();
        applied
            .wait_for(|applied| *applied >= index)
            .await
            .map_err(|_| errors::SubmitError::Closed)?;
        Ok(())
    }

    async fn send(&self, request: LogRequest) -> Result<(), errors::SubmitError> {
        self.requests
            .send(request)
            .await
            .map_err(|_| errors::SubmitError::Closed)
    }
}
