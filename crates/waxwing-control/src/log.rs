//! The handle through which the tasks of a control host use the replicated log.

use std::sync::{Arc, RwLock, RwLockReadGuard};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot, watch};
use waxwing_core::ids;
use xxhash_rust::xxh3;

use crate::{commands, errors, machine};

/// Requests that may wait for the log's task.
pub(crate) const QUEUE_LENGTH: usize = 4_096;

/// The result of a command with its place in the log.
pub(crate) type AppliedResult = Result<(u64, commands::CommandResult), errors::SubmitError>;

/// A `LogRequest` is a request to the log's task.
#[derive(Debug)]
pub(crate) enum LogRequest {
    /// Run an encoded submission.
    Submit {
        submission: Bytes,
        answer: oneshot::Sender<AppliedResult>,
    },
    /// Confirm that a read of the state up to the returned index misses nothing acknowledged.
    Confirm {
        answer: oneshot::Sender<Result<u64, errors::SubmitError>>,
    },
    /// Take a message of the log that came over the link of a member.
    Peer { from: ids::MemberId, payload: Bytes },
}

/// A `LogStatus` is what the log's task publishes about its role.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct LogStatus {
    /// Whether this host leads.
    pub(crate) leads: bool,
    /// The name of the leader, if it is known.
    pub(crate) leader: Option<String>,
    /// The term.
    pub(crate) term: u64,
    /// The members, and whether each votes.
    pub(crate) members: Vec<(u64, bool)>,
    /// Whether this host is a member with its present data folder.
    pub(crate) listed: bool,
}

/// Derives the member id of a host from its name, so that a host keeps it when its disk is
/// replaced; the store id tells the two lives apart.
pub(crate) fn member_id(name: &str) -> ids::MemberId {
    ids::MemberId(xxh3::xxh3_64(name.as_bytes()))
}

/// A `LogShared` is the state that the log's task changes and all others read.
#[derive(Debug, Default)]
pub(crate) struct LogShared {
    machine: RwLock<machine::StateMachine>,
    pub(crate) applied: watch::Sender<u64>,
    pub(crate) version: watch::Sender<ids::SettingsVersion>,
    pub(crate) status: watch::Sender<LogStatus>,
}

impl LogShared {
    /// Reads the state; the guard is never held across an await.
    pub(crate) fn read(&self) -> RwLockReadGuard<'_, machine::StateMachine> {
        // A poisoned lock means that applying panicked; the process can't go on with that state.
        self.machine
            .read()
            .expect("the state machine never panics while it applies a command")
    }

    /// Changes the state and publishes its new marks.
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
        self.version.send_if_modified(|known| {
            let grown = *known != version;
            *known = version;
            grown
        });
        output
    }
}

/// A `LogHandle` sends requests to the log's task; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct LogHandle {
    pub(crate) requests: mpsc::Sender<LogRequest>,
    pub(crate) shared: Arc<LogShared>,
}

impl LogHandle {
    /// Runs a submission if this host leads.
    pub(crate) async fn submit(&self, submission: Bytes) -> AppliedResult {
        let (answer, receiver) = oneshot::channel();
        let request = LogRequest::Submit { submission, answer };
        self.send(request).await?;
        receiver.await.map_err(|_| errors::SubmitError::Closed)?
    }

    /// Confirms a read if this host leads.
    pub(crate) async fn confirm(&self) -> Result<u64, errors::SubmitError> {
        let (answer, receiver) = oneshot::channel();
        self.send(LogRequest::Confirm { answer }).await?;
        receiver.await.map_err(|_| errors::SubmitError::Closed)?
    }

    /// Waits until the state holds the entry at `index`.
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
