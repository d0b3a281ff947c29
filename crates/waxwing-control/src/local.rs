//! The log of a single host that keeps its state in memory; for trials without a data folder.

use std::sync::Arc;

use prost::Message as _;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;

use crate::{commands, log};

/// A `LocalLog` is the task that applies each submission at once.
pub(crate) struct LocalLog<C> {
    requests: mpsc::Receiver<log::LogRequest>,
    shared: Arc<log::LogShared>,
    clock: C,
    name: String,
}

impl<C: Clock> LocalLog<C> {
    pub(crate) fn open(name: String, clock: C) -> (Self, log::LogHandle) {
        let (sender, requests) = mpsc::channel(log::QUEUE_LENGTH);
        let shared = Arc::new(log::LogShared::default());
        let handle = log::LogHandle {
            requests: sender,
            shared: shared.clone(),
        };
        let task = Self {
            requests,
            shared,
            clock,
            name,
        };
        (task, handle)
    }

    pub(crate) async fn run(mut self, shutdown: CancellationToken) {
        let started = self.clock.now();
        self.shared.status.send_replace(log::LogStatus {
            leads: true,
            leader: Some(self.name.clone()),
            term: 1,
            members: vec![(log::member_id(&self.name).0, true)],
        });
        let mut index = 0;
        loop {
            let request = tokio::select! {
                () = shutdown.cancelled() => return,
                request = self.requests.recv() => request,
            };
            match request {
                None => return,
                Some(log::LogRequest::Submit { submission, answer }) => {
                    index += 1;
                    let elapsed = self.clock.now() - started;
                    let log_millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
                    let wall_millis = self.clock.wall_millis();
                    let bytes = stamp(&submission, log_millis, wall_millis);
                    let result = self.shared.write(|machine| machine.apply(index, &bytes));
                    let _ = answer.send(Ok((index, result)));
                }
                Some(log::LogRequest::Confirm { answer }) => {
                    let _ = answer.send(Ok(index));
                }
            }
        }
    }
}

/// Adds the leader's time to a submission. A submission that can't be read becomes a command
/// without an action, which every host answers as malformed.
pub(crate) fn stamp(submission: &[u8], log_millis: u64, wall_millis: u64) -> Vec<u8> {
    let action = commands::Submission::decode(submission)
        .ok()
        .and_then(|submission| submission.action);
    commands::LogCommand {
        log_millis,
        wall_millis,
        action,
    }
    .encode_to_vec()
}
