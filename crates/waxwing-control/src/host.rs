//! State shared by all tasks of a control host.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use prost::Message as _;
use tokio::sync::{broadcast, watch};
use waxwing_core::{clock::Clock, counters, ids};
use waxwing_wire::messages;

use crate::{commands, directory, errors, log, options, peers};

/// Timeout of a command or a read barrier, after which the caller is told to retry. It is longer
/// than the longest election, so that most callers needn't.
pub(crate) const SUBMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of a request to the leader, after which the leader is looked up again.
const LEADER_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before the leader is looked up again.
const LEADER_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time between two read barriers that confirm the settings version to watching processes, and the
/// timeout of a request to join the group.
pub(crate) const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// Time between sweeps of the directory. Changes within one interval reach watchers together.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the start during which the directory is rebuilt from announcements: one lease. Until
/// then watchers are sent additions only.
pub(crate) const DIRECTORY_REBUILD_TIME: Duration = Duration::from_secs(6);

/// The shared state of a control host.
#[derive(Debug)]
pub(crate) struct HostState<C> {
    pub(crate) options: options::ControlOptions,
    pub(crate) clock: C,
    pub(crate) counters: counters::CounterSet,
    pub(crate) started: Instant,
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) log: log::LogHandle,
    pub(crate) network: Arc<peers::PeerNetwork>,
    pub(crate) directory: Mutex<directory::DirectoryState>,
    /// Counts directory changes; a new value notifies watchers.
    pub(crate) directory_changes: watch::Sender<u64>,
    /// Counts successful read barriers, which confirm the current settings.
    pub(crate) confirmations: watch::Sender<u64>,
    /// Engine orders for agents that may have a link to this host.
    pub(crate) orders: broadcast::Sender<messages::RelayOrder>,
    /// Results of engine orders with the agent's name, for the placement controller.
    pub(crate) order_results: broadcast::Sender<(String, messages::OrderResult)>,
    /// Link addresses of the control hosts, sent with the directory.
    pub(crate) control_addresses: watch::Sender<Vec<String>>,
}

/// A shared [`HostState`].
pub(crate) type HostHandle<C> = Arc<HostState<C>>;

impl<C: Clock> HostState<C> {
    /// Locks the directory. The guard must not be held across an await.
    pub(crate) fn directory(&self) -> MutexGuard<'_, directory::DirectoryState> {
        self.directory
            .lock()
            .expect("the directory lock is not poisoned, since no directory method panics")
    }

    /// Notifies watchers of the directory.
    pub(crate) fn publish_directory(&self) {
        self.directory_changes.send_modify(|count| *count += 1);
    }

    /// Returns whether the directory has been rebuilt since the start.
    pub(crate) fn is_directory_rebuilt(&self) -> bool {
        self.clock.now().saturating_duration_since(self.started) >= DIRECTORY_REBUILD_TIME
    }

    /// Runs an action and returns the leader's result. This host may apply the command later, so
    /// reads of its state go through [`Self::read_barrier`] first.
    pub(crate) async fn submit(
        &self,
        action: commands::LogAction,
    ) -> Result<commands::ResultKind, errors::SubmitError> {
        let submission = commands::Submission {
            action: Some(action),
            member: None,
        };
        self.run_submission(submission).await
    }

    /// Runs a membership change and returns the leader's result.
    pub(crate) async fn change_member(
        &self,
        member: commands::MemberRequest,
    ) -> Result<commands::ResultKind, errors::SubmitError> {
        let submission = commands::Submission {
            action: None,
            member: Some(member),
        };
        self.run_submission(submission).await
    }

    async fn run_submission(
        &self,
        submission: commands::Submission,
    ) -> Result<commands::ResultKind, errors::SubmitError> {
        let submission = Bytes::from(submission.encode_to_vec());
        let operation = async {
            let (_, result) = self.submit_via_leader(&submission).await?;
            result.kind.ok_or(errors::SubmitError::Unavailable)
        };
        self.with_timeout(operation).await
    }

    /// Waits until this host has applied everything that was acknowledged before the call, as
    /// confirmed by a quorum.
    pub(crate) async fn read_barrier(&self) -> Result<(), errors::SubmitError> {
        let operation = async {
            let index = self.read_index_via_leader().await?;
            self.log.wait_applied(index).await
        };
        self.with_timeout(operation).await
    }

    /// Runs a submission on this host or on the leader. Commands are idempotent by their ids, so it
    /// is retried until the caller's timeout.
    async fn submit_via_leader(&self, submission: &Bytes) -> log::AppliedResult {
        loop {
            match self.log.submit(submission.clone()).await {
                Err(errors::SubmitError::NotLeader { leader }) => {
                    let response = self.request_leader(leader, submission.clone()).await;
                    if let Some(submitted) = response
                        && let Ok(result) = commands::CommandResult::decode(submitted.result)
                    {
                        return Ok((submitted.index, result));
                    }
                }
                Err(errors::SubmitError::Unavailable) => {}
                other => return other,
            }
            self.clock.sleep(LEADER_RETRY_PAUSE).await;
        }
    }

    async fn read_index_via_leader(&self) -> Result<u64, errors::SubmitError> {
        loop {
            match self.log.read_index().await {
                Err(errors::SubmitError::NotLeader { leader }) => {
                    if let Some(submitted) = self.request_leader(leader, Bytes::new()).await {
                        return Ok(submitted.index);
                    }
                }
                Err(errors::SubmitError::Unavailable) => {}
                other => return other,
            }
            self.clock.sleep(LEADER_RETRY_PAUSE).await;
        }
    }

    async fn request_leader(
        &self,
        leader: Option<String>,
        command: Bytes,
    ) -> Option<messages::Submitted> {
        let submit = messages::Body::Submit(messages::Submit { group: 0, command });
        let leader = leader?;
        let pending = self.network.send_request(&leader, submit);
        // A failed leader doesn't answer; the next attempt asks the new one.
        let response = tokio::select! {
            response = pending => response?,
            () = self.clock.sleep(LEADER_TIMEOUT) => return None,
        };
        match response {
            messages::Body::Submitted(submitted) => Some(submitted),
            _ => None,
        }
    }

    async fn with_timeout<T>(
        &self,
        operation: impl Future<Output = Result<T, errors::SubmitError>>,
    ) -> Result<T, errors::SubmitError> {
        tokio::select! {
            output = operation => output,
            () = self.clock.sleep(SUBMIT_TIMEOUT) => Err(errors::SubmitError::Unavailable),
        }
    }
}

/// Creates the message with which a control host identifies itself on a link.
pub(crate) fn hello(
    options: &options::ControlOptions,
    incarnation: ids::Incarnation,
) -> messages::Hello {
    messages::Hello {
        kind: messages::ProcessKind::Control as i32,
        name: options.name.to_string(),
        incarnation: incarnation.0,
        data_centre: options.data_centre.to_string(),
    }
}
