//! What all tasks of a control host share.

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

/// Time for a command or a confirmation, after which the asker is told to try again: above the
/// longest election, so that most askers needn't.
pub(crate) const ANSWER_LIMIT: Duration = Duration::from_secs(3);

/// Time for the leader to answer another control host, after which the leader is looked up again.
const LEADER_LIMIT: Duration = Duration::from_secs(1);

/// Pause before the leader is looked up again.
const LEADER_PAUSE: Duration = Duration::from_millis(50);

/// Time between confirmations of the settings by a quorum while processes watch them.
pub(crate) const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// Time between sweeps of the directory; changes within it reach watchers together.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the start during which the directory is still being rebuilt from announcements: one
/// lease. Until then watchers are told of additions only.
pub(crate) const WARM_UP: Duration = Duration::from_secs(6);

/// A `HostState` is shared by all tasks of a control host.
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
    /// Counts the changes of the directory that watchers must be told of.
    pub(crate) directory_changes: watch::Sender<u64>,
    /// Counts the confirmations of the settings by a quorum.
    pub(crate) confirmations: watch::Sender<u64>,
    /// Engine orders for agents that may have a link to this host.
    pub(crate) orders: broadcast::Sender<messages::RelayOrder>,
    /// Results of engine orders, by agent, for the decider.
    pub(crate) order_results: broadcast::Sender<(String, messages::OrderResult)>,
    /// Addresses of the control hosts for the directory.
    pub(crate) control: watch::Sender<Vec<String>>,
}

/// A `HostHandle` is a shared [`HostState`].
pub(crate) type HostHandle<C> = Arc<HostState<C>>;

impl<C: Clock> HostState<C> {
    /// Locks the directory; the guard is never held across an await.
    pub(crate) fn directory(&self) -> MutexGuard<'_, directory::DirectoryState> {
        self.directory
            .lock()
            .expect("the directory never panics while it takes an announcement")
    }

    /// Tells watchers of the directory.
    pub(crate) fn publish_directory(&self) {
        self.directory_changes.send_modify(|count| *count += 1);
    }

    /// Tells whether the directory has been rebuilt since the start.
    pub(crate) fn is_warm(&self) -> bool {
        self.clock.now().saturating_duration_since(self.started) >= WARM_UP
    }

    /// Runs an action. The result comes from the leader; this host may apply the command later,
    /// which every read allows for by [`Self::confirm`].
    pub(crate) async fn submit(
        &self,
        action: commands::LogAction,
    ) -> Result<commands::ResultKind, errors::SubmitError> {
        let submission = commands::Submission {
            action: Some(action),
            member: None,
        };
        self.run(submission).await
    }

    /// Changes the members of the group.
    pub(crate) async fn change_member(
        &self,
        member: commands::MemberRequest,
    ) -> Result<commands::ResultKind, errors::SubmitError> {
        let submission = commands::Submission {
            action: None,
            member: Some(member),
        };
        self.run(submission).await
    }

    async fn run(
        &self,
        submission: commands::Submission,
    ) -> Result<commands::ResultKind, errors::SubmitError> {
        let submission = Bytes::from(submission.encode_to_vec());
        let work = async {
            let (_, result) = self.submit_anywhere(&submission).await?;
            result.kind.ok_or(errors::SubmitError::Unavailable)
        };
        self.limited(work).await
    }

    /// Waits until a quorum has confirmed that this host's state misses nothing acknowledged
    /// before the call.
    pub(crate) async fn confirm(&self) -> Result<(), errors::SubmitError> {
        let work = async {
            let index = self.confirm_anywhere().await?;
            self.log.wait_applied(index).await
        };
        self.limited(work).await
    }

    /// Runs a submission here or at the leader. Every command is recognised by its ids when it
    /// comes twice, so it is sent again until the caller's time is over.
    async fn submit_anywhere(&self, submission: &Bytes) -> log::AppliedResult {
        loop {
            match self.log.submit(submission.clone()).await {
                Err(errors::SubmitError::NotLeader { leader }) => {
                    let answer = self.ask_leader(leader, submission.clone()).await;
                    if let Some(submitted) = answer
                        && let Ok(result) = commands::CommandResult::decode(submitted.result)
                    {
                        return Ok((submitted.index, result));
                    }
                }
                Err(errors::SubmitError::Unavailable) => {}
                other => return other,
            }
            self.clock.sleep(LEADER_PAUSE).await;
        }
    }

    async fn confirm_anywhere(&self) -> Result<u64, errors::SubmitError> {
        loop {
            match self.log.confirm().await {
                Err(errors::SubmitError::NotLeader { leader }) => {
                    if let Some(submitted) = self.ask_leader(leader, Bytes::new()).await {
                        return Ok(submitted.index);
                    }
                }
                Err(errors::SubmitError::Unavailable) => {}
                other => return other,
            }
            self.clock.sleep(LEADER_PAUSE).await;
        }
    }

    async fn ask_leader(
        &self,
        leader: Option<String>,
        command: Bytes,
    ) -> Option<messages::Submitted> {
        let submit = messages::Body::Submit(messages::Submit { group: 0, command });
        let leader = leader?;
        let asked = self.network.ask(&leader, submit);
        // A leader that is lost doesn't answer; the next attempt asks its successor.
        let answer = tokio::select! {
            answer = asked => answer?,
            () = self.clock.sleep(LEADER_LIMIT) => return None,
        };
        match answer {
            messages::Body::Submitted(submitted) => Some(submitted),
            _ => None,
        }
    }

    async fn limited<T>(
        &self,
        work: impl Future<Output = Result<T, errors::SubmitError>>,
    ) -> Result<T, errors::SubmitError> {
        tokio::select! {
            output = work => output,
            () = self.clock.sleep(ANSWER_LIMIT) => Err(errors::SubmitError::Unavailable),
        }
    }
}

/// Builds the introduction of a control host.
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
