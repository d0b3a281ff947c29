//! The task that runs the replicated log. It passes time, messages, proposals and storage reports
//! to the quorum node and performs the work that the node returns. Commands are evaluated in the
//! state machine, not here.

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

/// Size in bytes of the log after the last snapshot at which a new snapshot is taken. It bounds the
/// work of a restart.
pub(crate) const SNAPSHOT_BYTES: u64 = 8 * 1024 * 1024;

/// The largest number of requests processed together, so that they share one write and one message.
const BATCH_REQUESTS: usize = 256;

/// The longest wait for a leadership transfer at shutdown: the time of one election.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// A proposal whose entry is not committed yet, with the sender for its result.
struct WaitingProposal {
    term: units::Term,
    reply: oneshot::Sender<log::AppliedResult>,
}

/// The task that processes the requests of a [`log::LogHandle`].
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
    /// Log time and local time at which this host last became leader.
    leadership_start: (u64, Instant),
    snapshot_bytes: u64,
    compaction_threshold: u64,
}

impl<C: Clock> LogDriver<C> {
    /// Creates the driver and its handle from the recovered state.
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
            leadership_start: (0, started),
            snapshot_bytes,
            compaction_threshold: snapshot_bytes,
            clock,
        };
        // Published before any link is served: otherwise this host could tell the initial host that
        // no group exists before its own membership is known.
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
                Some(request) = self.requests.recv() => self.handle_requests(request),
                Some(report) = self.storage.reports.recv() => self.handle_write_report(report)?,
                () = self.clock.sleep(self.next_tick.saturating_duration_since(now)) => self.tick(),
            }
        }
        self.transfer_leadership_and_stop().await
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
                // If the learner lags or another change is pending, the next interval tries again.
                let _ = self.node.change_members(change);
            }
        }
    }

    /// Processes a request and those queued behind it, up to [`BATCH_REQUESTS`], so that they share
    /// one write.
    fn handle_requests(&mut self, first: log::LogRequest) {
        self.handle_request(first);
        for _ in 1..BATCH_REQUESTS {
            match self.requests.try_recv() {
                Ok(request) => self.handle_request(request),
                Err(_) => return,
            }
        }
    }

    fn handle_request(&mut self, request: log::LogRequest) {
        match request {
            log::LogRequest::Submit { submission, reply } => self.submit(&submission, reply),
            log::LogRequest::ReadIndex { reply } => self.confirm_read(reply),
            log::LogRequest::Peer { from, payload } => self.receive(from, payload),
        }
    }

    fn receive(&mut self, from: waxwing_core::ids::MemberId, payload: Bytes) {
        let received = messages::decode(payload)
            .map_err(quorum_errors::ReceiveError::from)
            .and_then(|message| self.node.receive(self.elapsed(), from, message));
        if let Err(error) = received {
            tracing::debug!(%from, %error, "ignored a message of the replicated log");
        }
    }

    fn submit(&mut self, submission: &[u8], reply: oneshot::Sender<log::AppliedResult>) {
        let proposed = match commands::Submission::decode(submission) {
            Ok(commands::Submission {
                member: Some(request),
                ..
            }) => self.change_member(&request),
            Ok(submission) => self.propose(submission.action),
            Err(_) => Err(errors::SubmitError::Unavailable.into()),
        };
        match proposed {
            Ok(proposal) => {
                let term = proposal.term;
                let waiting = WaitingProposal { term, reply };
                self.proposals.insert(proposal.index, waiting);
            }
            Err(membership::NoProposal::Completed(kind)) => {
                let applied = self.shared.read().applied();
                let _ = reply.send(Ok((applied, commands::CommandResult::of(*kind))));
            }
            Err(membership::NoProposal::Failed(error)) => {
                let _ = reply.send(Err(error));
            }
        }
    }

    fn propose(
        &mut self,
        action: Option<commands::LogAction>,
    ) -> Result<units::ProposalId, membership::NoProposal> {
        let (base, since) = self.leadership_start;
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
    ) -> Result<units::ProposalId, membership::NoProposal> {
        let machine = self.shared.read();
        let now = self.clock.now().saturating_duration_since(self.started);
        let step = self.members.decide(&self.node, &machine, now, request);
        drop(machine);
        let step = step?;
        if let Some(action) = step.action {
            // The command that stores the member's address comes first, so that every host can
            // connect to the member.
            self.propose(Some(action))?;
        }
        let changed = self.node.change_members(step.change);
        let proposal =
            changed.map_err(|error| membership::NoProposal::from_change_error(&error, request))?;
        if step.retry_required {
            return Err(errors::SubmitError::Unavailable.into());
        }
        Ok(proposal)
    }

    fn submit_error(&self, error: quorum_errors::ProposeError) -> errors::SubmitError {
        match error {
            quorum_errors::ProposeError::NotLeader { leader } => errors::SubmitError::NotLeader {
                leader: leader.and_then(|leader| self.name_of(leader.member)),
            },
            _ => errors::SubmitError::Unavailable,
        }
    }

    fn confirm_read(&mut self, reply: oneshot::Sender<Result<u64, errors::SubmitError>>) {
        let token = self.next_read;
        self.next_read += 1;
        match self
            .node
            .read_index(self.elapsed(), units::ReadToken(token))
        {
            Ok(()) => {
                self.reads.insert(token, reply);
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
                let _ = reply.send(Err(error));
            }
        }
    }

    fn name_of(&self, member: waxwing_core::ids::MemberId) -> Option<String> {
        let member_infos = self.shared.read().members().clone();
        self.members.name_of(member, &member_infos)
    }

    fn compact(&mut self) {
        let status = self.node.status();
        if status.log_bytes < self.compaction_threshold {
            return;
        }
        let machine = self.shared.read();
        let (index, data) = (machine.applied(), machine.to_snapshot());
        drop(machine);
        // The threshold grows with the state, so that snapshots of a large state stay a small share
        // of all writes.
        self.compaction_threshold = self.snapshot_bytes.max(data.len() as u64);
        if let Err(error) = self.node.compact(index, data.into()) {
            tracing::warn!(%error, "failed to compact the replicated log");
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
            is_member: self.node.members().kind(self.node.identity()).is_some(),
        };
        let changed = self.shared.status.send_if_modified(|known| {
            let changed = *known != next;
            known.clone_from(&next);
            changed
        });
        if changed {
            let (term, leader) = (next.term, next.leader);
            tracing::info!(term, leads, leader, "role in the replicated log changed");
        }
    }

    /// Transfers leadership to the voter with the most complete log, so that the group need not
    /// wait for an election timeout.
    async fn transfer_leadership_and_stop(mut self) -> Result<(), errors::ControlError> {
        let target = membership::transfer_target(&self.node);
        let transferred =
            target.map(|target| self.node.transfer_leadership(self.elapsed(), target));
        if !matches!(transferred, Some(Ok(()))) {
            return Ok(());
        }
        let end = self.clock.now() + TRANSFER_TIMEOUT;
        while self.node.status().role == ready::NodeRole::Leader && self.clock.now() < end {
            self.process_ready();
            let now = self.clock.now();
            tokio::select! {
                Some(request) = self.requests.recv() => self.handle_requests(request),
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
                // Continuing would apply later entries to an older state.
                tracing::error!(%error, "can't decode the leader's snapshot; halting");
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
                let reply = if waiting.term == term {
                    Ok((index, result))
                } else {
                    Err(errors::SubmitError::Unavailable)
                };
                let _ = waiting.reply.send(reply);
            }
        }
        if members_changed {
            self.publish_status();
        }
        self.compact();
    }

    fn answer_reads(&mut self, reads: Vec<ready::ConfirmedRead>, failed: Vec<units::ReadToken>) {
        for read in reads {
            if let Some(reply) = self.reads.remove(&read.token.0) {
                let _ = reply.send(Ok(read.index));
            }
        }
        for token in failed {
            if let Some(reply) = self.reads.remove(&token.0) {
                let _ = reply.send(Err(errors::SubmitError::Unavailable));
            }
        }
    }

    fn handle_role_change(&mut self, change: ready::RoleChange) {
        if change.role == ready::NodeRole::Leader {
            let log_millis = self.shared.read().log_millis();
            self.leadership_start = (log_millis, self.clock.now());
        } else {
            // The next leader decides whether these proposals are committed.
            for (_, waiting) in std::mem::take(&mut self.proposals) {
                let _ = waiting.reply.send(Err(errors::SubmitError::Unavailable));
            }
        }
        if change.role == ready::NodeRole::Candidate {
            self.counters.count(CounterEvent::Elections);
        }
        self.publish_status();
    }
}
