//! The task that runs the replicated log: it feeds the quorum node with time, messages, proposals
//! and storage reports, and carries out what the node asks for. Decisions about commands are made
//! in the state machine, not here.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use prost::Message as _;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use waxwing_core::{
    clock::Clock,
    counters::{CounterEvent, CounterSet},
};
use waxwing_quorum::{
    errors as quorum_errors, messages, node, options as quorum_options, ready, units,
};
use waxwing_store::{driving, driving::LogHandler as _, writer};

use crate::{commands, errors, log, machine, membership, options, peers, storage};

/// Bytes of log entries behind the last snapshot from which on a new one is taken; it bounds the
/// work of a restart.
pub(crate) const SNAPSHOT_BYTES: u64 = 8 * 1024 * 1024;

/// Requests that are taken together, so that they share one write and one message.
const BATCH_REQUESTS: usize = 256;

/// The longest wait for a successor at shutdown: one election.
const TRANSFER_LIMIT: Duration = Duration::from_secs(2);

/// A `WaitingProposal` is a proposal whose entry is not committed yet.
struct WaitingProposal {
    term: units::Term,
    answer: oneshot::Sender<log::AppliedResult>,
}

/// A `LogDriver` is the task behind a [`log::LogHandle`].
pub(crate) struct LogDriver<C> {
    node: node::QuorumNode,
    clock: C,
    started: Instant,
    counters: CounterSet,
    requests: mpsc::Receiver<log::LogRequest>,
    storage: writer::WriterHandle,
    network: Arc<peers::PeerNetwork>,
    shared: Arc<log::LogShared>,
    members: membership::MemberPolicy,
    proposals: BTreeMap<units::LogIndex, WaitingProposal>,
    reads: HashMap<u64, oneshot::Sender<Result<u64, errors::SubmitError>>>,
    next_read: u64,
    next_tick: Instant,
    next_promotion: Instant,
    /// The log time at which this host took office, and when that was.
    office: (u64, Instant),
    snapshot_bytes: u64,
    compact_at: u64,
}

impl<C: Clock> LogDriver<C> {
    /// Builds the task from what the data folder holds.
    pub(crate) fn open(
        host: &options::ControlOptions,
        storage: storage::OpenedStorage,
        network: Arc<peers::PeerNetwork>,
        counters: CounterSet,
        clock: C,
        snapshot_bytes: u64,
    ) -> Result<(Self, log::LogHandle), errors::ControlError> {
        let started = clock.now();
        let shared = Arc::new(log::LogShared::default());
        if let Some(snapshot) = &storage.recovered.snapshot {
            let restored = machine::StateMachine::from_snapshot(&snapshot.data)?;
            shared.write(|machine| {
                *machine = restored;
                machine.skip(snapshot.index);
            });
        }
        let node = node::QuorumNode::new(
            storage.identity,
            quorum_options::NodeOptions::default(),
            storage.recovered,
            rand::random(),
            Duration::ZERO,
        )?;
        let (sender, requests) = mpsc::channel(log::QUEUE_LENGTH);
        let handle = log::LogHandle {
            requests: sender,
            shared: shared.clone(),
        };
        let driver = Self {
            node,
            started,
            counters,
            requests,
            storage: storage.handle,
            network,
            shared,
            members: membership::MemberPolicy::new(host),
            proposals: BTreeMap::new(),
            reads: HashMap::new(),
            next_read: 0,
            next_tick: started,
            next_promotion: started,
            office: (0, started),
            snapshot_bytes,
            compact_at: snapshot_bytes,
            clock,
        };
        // Published before any link is served: a host that doesn't yet know its own group must
        // not tell a founder that there is none.
        driver.publish_status();
        Ok((driver, handle))
    }

    /// Runs until `shutdown` or until storage fails.
    pub(crate) async fn run(
        mut self,
        shutdown: CancellationToken,
    ) -> Result<(), errors::ControlError> {
        loop {
            self.process_ready();
            let now = self.clock.now();
            tokio::select! {
                () = shutdown.cancelled() => break,
                Some(request) = self.requests.recv() => self.take_requests(request),
                Some(report) = self.storage.reports.recv() => self.handle_write_report(report)?,
                () = self.clock.sleep(self.next_tick.saturating_duration_since(now)) => self.tick(),
            }
        }
        self.leave_office().await
    }

    fn elapsed(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.started)
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.next_tick = now + quorum_options::NodeOptions::default().tick_interval;
        self.node.tick(self.elapsed());
        if now >= self.next_promotion {
            self.next_promotion = now + membership::PROMOTION_INTERVAL;
            if let Some(change) = self.members.next_promotion(&self.node) {
                // A learner that lags or a change under way is tried again with the next interval.
                let _ = self.node.change_members(change);
            }
        }
    }

    /// Takes a request and all that wait behind it, so that they share one write.
    fn take_requests(&mut self, first: log::LogRequest) {
        self.take_request(first);
        for _ in 1..BATCH_REQUESTS {
            match self.requests.try_recv() {
                Ok(request) => self.take_request(request),
                Err(_) => return,
            }
        }
    }

    fn take_request(&mut self, request: log::LogRequest) {
        match request {
            log::LogRequest::Submit { submission, answer } => self.submit(&submission, answer),
            log::LogRequest::Confirm { answer } => self.confirm(answer),
            log::LogRequest::Peer { from, payload } => self.receive(from, payload),
        }
    }

    fn receive(&mut self, from: waxwing_core::ids::MemberId, payload: Bytes) {
        let received = messages::decode(payload)
            .map_err(quorum_errors::ReceiveError::from)
            .and_then(|message| self.node.receive(self.elapsed(), from, message));
        if let Err(error) = received {
            tracing::debug!(%from, %error, "a message of the log was ignored");
        }
    }

    fn submit(&mut self, submission: &[u8], answer: oneshot::Sender<log::AppliedResult>) {
        let proposed = match commands::Submission::decode(submission) {
            Ok(commands::Submission {
                member: Some(request),
                ..
            }) => self.change_member(&request),
            Ok(submission) => self.propose(submission.action),
            Err(_) => Err(errors::SubmitError::Unavailable.into()),
        };
        match proposed {
            Ok(place) => {
                let term = place.term;
                let waiting = WaitingProposal { term, answer };
                self.proposals.insert(place.index, waiting);
            }
            Err(membership::Declined::Answered(kind)) => {
                let applied = self.shared.read().applied();
                let _ = answer.send(Ok((applied, commands::CommandResult::of(*kind))));
            }
            Err(membership::Declined::Failed(error)) => {
                let _ = answer.send(Err(error));
            }
        }
    }

    fn propose(
        &mut self,
        action: Option<commands::LogAction>,
    ) -> Result<units::ProposalId, membership::Declined> {
        let (base, since) = self.office;
        let elapsed = self.clock.now().saturating_duration_since(since);
        let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let command = commands::LogCommand {
            log_millis: base.saturating_add(elapsed),
            wall_millis: self.clock.wall_millis(),
            action,
        };
        let bytes = Bytes::from(command.encode_to_vec());
        self.node
            .propose(bytes)
            .map_err(|error| self.submit_error(error).into())
    }

    fn change_member(
        &mut self,
        request: &commands::MemberRequest,
    ) -> Result<units::ProposalId, membership::Declined> {
        let machine = self.shared.read();
        let now = self.clock.now().saturating_duration_since(self.started);
        let step = self.members.decide(&self.node, &machine, now, request);
        drop(machine);
        let step = step?;
        if let Some(action) = step.action {
            // The description comes first, so that every host knows the address of the member.
            self.propose(Some(action))?;
        }
        let changed = self.node.change_members(step.change);
        let place = changed.map_err(|error| membership::Declined::from_change(&error, request))?;
        if step.again {
            return Err(errors::SubmitError::Unavailable.into());
        }
        Ok(place)
    }

    fn submit_error(&self, error: quorum_errors::ProposeError) -> errors::SubmitError {
        match error {
            quorum_errors::ProposeError::NotLeader { leader } => errors::SubmitError::NotLeader {
                leader: leader.and_then(|leader| self.name_of(leader.member)),
            },
            _ => errors::SubmitError::Unavailable,
        }
    }

    fn confirm(&mut self, answer: oneshot::Sender<Result<u64, errors::SubmitError>>) {
        let token = self.next_read;
        self.next_read += 1;
        match self
            .node
            .read_index(self.elapsed(), units::ReadToken(token))
        {
            Ok(()) => {
                self.reads.insert(token, answer);
            }
            Err(error) => {
                let error = match error {
                    quorum_errors::ReadError::NotLeader { leader } => {
                        errors::SubmitError::NotLeader {
                            leader: leader.and_then(|leader| self.name_of(leader.member)),
                        }
                    }
                    _ => errors::SubmitError::Unavailable,
                };
                let _ = answer.send(Err(error));
            }
        }
    }

    fn name_of(&self, member: waxwing_core::ids::MemberId) -> Option<String> {
        let described = self.shared.read().members().clone();
        self.members.name_of(member, &described)
    }

    fn compact(&mut self) {
        let status = self.node.status();
        if status.log_bytes < self.compact_at {
            return;
        }
        let machine = self.shared.read();
        let (index, data) = (machine.applied(), machine.to_snapshot());
        drop(machine);
        // A large state is written less often, so that writing it stays a small share of the work.
        self.compact_at = self.snapshot_bytes.max(data.len() as u64);
        if let Err(error) = self.node.compact(index, data.into()) {
            tracing::warn!(%error, "the log could not be compacted");
        }
    }

    fn publish_status(&self) {
        let status = self.node.status();
        let members = self.node.members().iter().map(|(identity, kind)| {
            let voter = kind == waxwing_quorum::members::MemberKind::Voter;
            (identity.member.0, voter)
        });
        let leads = status.role == ready::NodeRole::Leader;
        let next = log::LogStatus {
            leads,
            leader: status.leader.and_then(|leader| self.name_of(leader.member)),
            term: status.term,
            members: members.collect(),
            listed: self.node.members().kind(self.node.identity()).is_some(),
        };
        let changed = self.shared.status.send_if_modified(|known| {
            let changed = *known != next;
            known.clone_from(&next);
            changed
        });
        if changed {
            let (term, leader) = (next.term, next.leader);
            tracing::info!(term, leads, leader, "role in the replicated log");
        }
    }

    /// Hands leadership to the voter that has most of the log, so that the group need not wait for
    /// an election.
    async fn leave_office(mut self) -> Result<(), errors::ControlError> {
        let target = membership::successor(&self.node);
        let transferred =
            target.map(|target| self.node.transfer_leadership(self.elapsed(), target));
        if !matches!(transferred, Some(Ok(()))) {
            return Ok(());
        }
        let end = self.clock.now() + TRANSFER_LIMIT;
        while self.node.status().role == ready::NodeRole::Leader && self.clock.now() < end {
            self.process_ready();
            let now = self.clock.now();
            tokio::select! {
                Some(request) = self.requests.recv() => self.take_requests(request),
                Some(report) = self.storage.reports.recv() => self.handle_write_report(report)?,
                () = self.clock.sleep(self.next_tick.saturating_duration_since(now)) => self.tick(),
            }
        }
        Ok(())
    }
}

impl<C: Clock> driving::LogHandler for LogDriver<C> {
    fn node(&mut self) -> &mut node::QuorumNode {
        &mut self.node
    }

    fn storage(&self) -> &writer::WriterHandle {
        &self.storage
    }

    fn send(&mut self, to: waxwing_core::ids::MemberId, payload: Bytes) {
        self.network.send_quorum(to, payload);
    }

    fn install(&mut self, snapshot: &ready::Snapshot) {
        match machine::StateMachine::from_snapshot(&snapshot.data) {
            Ok(restored) => self.shared.write(|machine| {
                *machine = restored;
                machine.skip(snapshot.index);
            }),
            Err(error) => {
                // Going on would apply later entries to an older state.
                tracing::error!(%error, "a snapshot of the leader can't be read; halting");
                self.node.storage_failed();
            }
        }
        self.publish_status();
    }

    fn apply(&mut self, entries: Vec<messages::LogEntry>) {
        let mut results = Vec::new();
        let mut members_changed = false;
        self.shared.write(|machine| {
            for entry in &entries {
                let result = if entry.kind() == messages::EntryKind::Command {
                    machine.apply(entry.index, &entry.payload)
                } else {
                    members_changed |= entry.kind() == messages::EntryKind::Members;
                    machine.skip(entry.index);
                    commands::CommandResult::of(commands::ResultKind::Done(true))
                };
                results.push((entry.index, entry.term, result));
            }
        });
        for (index, term, result) in results {
            if let Some(waiting) = self.proposals.remove(&index) {
                let answer = if waiting.term == term {
                    Ok((index, result))
                } else {
                    Err(errors::SubmitError::Unavailable)
                };
                let _ = waiting.answer.send(answer);
            }
        }
        if members_changed {
            self.publish_status();
        }
        self.compact();
    }

    fn answer_reads(&mut self, reads: Vec<ready::ConfirmedRead>, failed: Vec<units::ReadToken>) {
        for read in reads {
            if let Some(answer) = self.reads.remove(&read.token.0) {
                let _ = answer.send(Ok(read.index));
            }
        }
        for token in failed {
            if let Some(answer) = self.reads.remove(&token.0) {
                let _ = answer.send(Err(errors::SubmitError::Unavailable));
            }
        }
    }

    fn handle_role_change(&mut self, change: ready::RoleChange) {
        if change.role == ready::NodeRole::Leader {
            let log_millis = self.shared.read().log_millis();
            self.office = (log_millis, self.clock.now());
        } else {
            // What becomes of proposals of a former leader is decided by the next one.
            for (_, waiting) in std::mem::take(&mut self.proposals) {
                let _ = waiting.answer.send(Err(errors::SubmitError::Unavailable));
            }
        }
        if change.role == ready::NodeRole::Candidate {
            self.counters.count(CounterEvent::Elections);
        }
        self.publish_status();
    }
}
