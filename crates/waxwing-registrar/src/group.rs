//! The task that runs the replicated log: it feeds the quorum node with time, messages, proposals
//! and storage reports, and carries out what the node asks for.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use prost::Message as _;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, ids, units as core_units};
use waxwing_fleet::network;
use waxwing_quorum::{
    errors as quorum_errors, members, messages, node, options as quorum_options, ready, units,
};
use waxwing_store::{disk, driving, driving::LogHandler as _, store, writer};
use waxwing_wire::messages as wire;

use crate::{
    documents, errors,
    handles::{GroupChannels, GroupRequest, GroupView},
    options, repair,
};

/// Bytes of log entries behind the last snapshot from which on a new one is taken; it bounds the
/// work of a restart and the memory of the log.
const SNAPSHOT_BYTES: u64 = 2 * 1024 * 1024;

/// Time between two looks at the membership.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a leader after which a host asks to join; a member that only lost its leader is
/// told nothing by that.
const JOIN_AFTER: Duration = Duration::from_millis(1_200);

/// Time between two requests to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(400);

/// The longest wait for a successor at shutdown; one election.
const TRANSFER_LIMIT: Duration = Duration::from_millis(1_000);

/// The largest size of a segment of the log; small disks hold several.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// A `WaitingChange` is a proposal whose entry is not committed yet.
struct WaitingChange {
    term: units::Term,
    answer: oneshot::Sender<Result<u64, errors::ChangeFailure>>,
}

/// What a confirmed read goes on with.
enum WaitingRead {
    Read(oneshot::Sender<Result<documents::StoredDocument, errors::ChangeFailure>>),
    Put(
        documents::StoredDocument,
        oneshot::Sender<Result<u64, errors::ChangeFailure>>,
    ),
}

/// Returns the times of the log. They are shorter than the defaults, since a change has to be
/// acknowledged within seconds of the loss of a leader; hosts are milliseconds apart.
fn node_options() -> quorum_options::NodeOptions {
    quorum_options::NodeOptions {
        tick_interval: Duration::from_millis(25),
        election_timeout_min: Duration::from_millis(300),
        election_timeout_max: Duration::from_millis(600),
        heartbeat_interval: Duration::from_millis(100),
        leader_lease: Duration::from_millis(200),
        max_uncommitted_bytes: core_units::ByteCount(32 * 1024 * 1024),
        max_command_bytes: core_units::ByteCount(8 * 1024 * 1024),
        ..quorum_options::NodeOptions::default()
    }
}

/// A `GroupTask` is one life of the log: it ends at a shutdown or when storage fails.
pub(crate) struct GroupTask<'a, C> {
    node: node::QuorumNode,
    clock: C,
    started: Instant,
    channels: &'a mut GroupChannels,
    storage: writer::WriterHandle,
    network: network::ProcessNetwork<C>,
    register: documents::DocumentRegister,
    changes: BTreeMap<units::LogIndex, WaitingChange>,
    reads: HashMap<u64, WaitingRead>,
    next_read: u64,
    next_tick: Instant,
    next_repair: Instant,
    next_join: Instant,
    /// When a leader was last known.
    led: Instant,
    /// When this host began to lead.
    office: Option<Instant>,
    /// When each member was first seen by this leader.
    seen: HashMap<members::MemberIdentity, Instant>,
}

impl<'a, C: Clock> GroupTask<'a, C> {
    /// Opens the data folder and builds the task from what it holds.
    pub(crate) fn open(
        options: &options::RegistrarOptions,
        channels: &'a mut GroupChannels,
        network: network::ProcessNetwork<C>,
        clock: C,
    ) -> Result<Self, errors::RegistrarError> {
        let folder =
            disk::FolderDisk::open(&options.data_folder).map_err(errors::RegistrarError::Folder)?;
        let member = repair::member_id(options.link_address)
            .expect("options of a control host hold an IPv4 address");
        let founds = options.found && options.seeds.contains(&options.http_address);
        let fresh = if founds {
            repair::founder(member).store
        } else {
            ids::StoreId::random()
        };
        let store_options = store::StoreOptions {
            segment_bytes: core_units::ByteCount(SEGMENT_BYTES),
        };
        let (mut store, mut recovered) =
            store::LogStore::open(folder, member, fresh, store_options)?;
        let identity = store.identity();
        if founds && store.is_fresh() {
            recovered = store.found(founding_snapshot(options))?;
            tracing::info!(event = "group-founded", %identity);
        }
        let register = match &recovered.snapshot {
            Some(snapshot) => documents::DocumentRegister::from_snapshot(&snapshot.data)?,
            None => documents::DocumentRegister::default(),
        };
        let node = node::QuorumNode::new(
            identity,
            node_options(),
            recovered,
            rand::random(),
            Duration::ZERO,
        )?;
        let now = clock.now();
        tracing::info!(event = "log-opened", %identity, version = register.held().version);
        Ok(Self {
            node,
            started: now,
            channels,
            storage: writer::start(store),
            network,
            register,
            changes: BTreeMap::new(),
            reads: HashMap::new(),
            next_read: 0,
            next_tick: now,
            next_repair: now,
            next_join: now,
            led: now,
            office: None,
            seen: HashMap::new(),
            clock,
        })
    }

    /// Runs until `shutdown`, or with an error until storage fails.
    pub(crate) async fn run(
        mut self,
        shutdown: &CancellationToken,
    ) -> Result<(), errors::RegistrarError> {
        self.publish();
        loop {
            self.process_ready();
            let now = self.clock.now();
            tokio::select! {
                () = shutdown.cancelled() => break,
                Some(request) = self.channels.requests.recv() => self.take(request),
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
        self.next_tick = now + node_options().tick_interval;
        self.node.tick(self.elapsed());
        if self.node.status().leader.is_some() {
            self.led = now;
        }
        // A host that knows no group has nothing to wait for.
        let outside =
            self.node.members().is_empty() || now.saturating_duration_since(self.led) >= JOIN_AFTER;
        if outside && now >= self.next_join {
            self.next_join = now + JOIN_INTERVAL;
            self.ask_to_join();
        }
        if self.office.is_some() && now >= self.next_repair {
            self.next_repair = now + REPAIR_INTERVAL;
            self.repair(now);
        }
    }

    fn ask_to_join(&self) {
        let identity = self.node.identity();
        let join = wire::JoinGroup {
            member: identity.member.0,
            store: Bytes::copy_from_slice(&identity.store.to_bytes()),
        };
        let body = wire::Body::JoinGroup(join);
        self.network.tell(wire::ProcessKind::Control, &body);
    }

    fn repair(&mut self, now: Instant) {
        let office = self.office.unwrap_or(now);
        let elapsed = self.elapsed();
        let own = self.node.identity();
        let peers = self.node.peers();
        let mut views = Vec::new();
        for (identity, kind) in self.node.members().iter() {
            if identity == own {
                continue;
            }
            let seen = (*self.seen.entry(identity).or_insert(now)).max(office);
            let unseen = now.saturating_duration_since(seen);
            let heard = peers.iter().find(|peer| peer.identity == identity);
            let silence = heard
                .and_then(|peer| peer.last_contact)
                .map_or(unseen, |heard| elapsed.saturating_sub(heard).min(unseen));
            views.push(repair::MemberView {
                identity,
                kind,
                silence,
            });
        }
        if let Some(change) = repair::next_change(&views) {
            self.change_members(change);
        }
    }

    fn change_members(&mut self, change: members::MemberChange) {
        match self.node.change_members(change) {
            Ok(place) => {
                tracing::info!(event = "member-change", ?change, index = place.index);
                self.publish();
            }
            // It is tried again at the next look, or when the host asks again.
            Err(error) => tracing::debug!(event = "member-change-refused", ?change, %error),
        }
    }

    fn take(&mut self, request: GroupRequest) {
        match request {
            GroupRequest::Put { document, answer } => {
                self.confirm(WaitingRead::Put(document, answer));
            }
            GroupRequest::Read { answer } => self.confirm(WaitingRead::Read(answer)),
            GroupRequest::Peer { from, payload } => self.receive(from, payload),
            GroupRequest::Join(join) => self.take_join(&join),
        }
    }

    fn take_join(&mut self, join: &wire::JoinGroup) {
        if self.office.is_none() {
            return;
        }
        let Ok(store) = ids::StoreId::from_slice(&join.store) else {
            tracing::warn!(
                event = "join-refused",
                member = join.member,
                "malformed store id"
            );
            return;
        };
        let identity = members::MemberIdentity {
            member: ids::MemberId(join.member),
            store,
        };
        if let Some(change) = repair::admit(self.node.members(), identity) {
            self.change_members(change);
        }
    }

    fn receive(&mut self, from: SocketAddr, payload: Bytes) {
        let Some(member) = repair::member_id(from) else {
            return;
        };
        let received = messages::decode(payload)
            .map_err(quorum_errors::ReceiveError::from)
            .and_then(|message| self.node.receive(self.elapsed(), member, message));
        if let Err(error) = received {
            tracing::debug!(%from, %error, "a message of the log was ignored");
        }
    }

    /// Confirms that this host leads before it goes on: a document that is not newer than the one
    /// held is acknowledged only once that one is known to be committed.
    fn confirm(&mut self, waiting: WaitingRead) {
        let token = self.next_read;
        self.next_read += 1;
        let asked = self
            .node
            .read_index(self.elapsed(), units::ReadToken(token));
        match asked {
            Ok(()) => {
                self.reads.insert(token, waiting);
            }
            Err(error) => {
                let failure = match error {
                    quorum_errors::ReadError::NotLeader { leader } => {
                        errors::ChangeFailure::NotLeader(
                            leader.map(|leader| repair::link_address(leader.member)),
                        )
                    }
                    _ => errors::ChangeFailure::Unavailable,
                };
                fail(waiting, failure);
            }
        }
    }

    fn propose(
        &mut self,
        document: &documents::StoredDocument,
        answer: oneshot::Sender<Result<u64, errors::ChangeFailure>>,
    ) {
        match self.node.propose(document.encode_to_vec().into()) {
            Ok(place) => {
                let term = place.term;
                let waiting = WaitingChange { term, answer };
                self.changes.insert(place.index, waiting);
            }
            Err(error) => {
                tracing::info!(event = "change-failed", version = document.version, %error);
                let _ = answer.send(Err(errors::ChangeFailure::Unavailable));
            }
        }
    }

    fn compact(&mut self) {
        let status = self.node.status();
        if status.log_bytes < SNAPSHOT_BYTES.max(self.register.held().body.len() as u64) {
            return;
        }
        let data = self.register.to_snapshot();
        if let Err(error) = self.node.compact(status.applied_index, data) {
            tracing::warn!(%error, "the log could not be compacted");
        }
    }

    fn publish(&self) {
        let status = self.node.status();
        let members = self.node.members().iter();
        let view = GroupView {
            leads: self.office.is_some(),
            votes: self.node.members().is_voter(self.node.identity()),
            voters: self.node.members().voters().count(),
            leader: status
                .leader
                .map(|leader| repair::link_address(leader.member)),
            members: members
                .map(|(identity, _)| repair::link_address(identity.member))
                .collect(),
            document: self.register.held().clone(),
        };
        self.channels.view.send_if_modified(|known| {
            let changed = *known != view;
            *known = view;
            changed
        });
    }

    /// Hands leadership to another voter before the process ends.
    async fn leave_office(mut self) -> Result<(), errors::RegistrarError> {
        if self.office.is_none() {
            return Ok(());
        }
        let peers = self.node.peers();
        let voters = peers
            .iter()
            .filter(|peer| self.node.members().is_voter(peer.identity));
        let Some(successor) = voters.max_by_key(|peer| (peer.last_contact, peer.match_index))
        else {
            return Ok(());
        };
        let target = successor.identity.member;
        let elapsed = self.elapsed();
        if let Err(error) = self.node.transfer_leadership(elapsed, target) {
            tracing::warn!(%error, "leadership could not be transferred");
            return Ok(());
        }
        let limit = self.clock.now() + TRANSFER_LIMIT;
        while self.office.is_some() && self.clock.now() < limit {
            self.process_ready();
            let now = self.clock.now();
            tokio::select! {
                Some(request) = self.channels.requests.recv() => self.take(request),
                Some(report) = self.storage.reports.recv() => self.handle_write_report(report)?,
                () = self.clock.sleep(self.next_tick.saturating_duration_since(now)) => self.tick(),
            }
        }
        Ok(())
    }
}

impl<C: Clock> driving::LogHandler for GroupTask<'_, C> {
    fn node(&mut self) -> &mut node::QuorumNode {
        &mut self.node
    }

    fn storage(&self) -> &writer::WriterHandle {
        &self.storage
    }

    fn send(&mut self, to: ids::MemberId, payload: Bytes) {
        let quorum = wire::Quorum { group: 0, payload };
        let address = repair::link_address(to);
        self.network.send(address, wire::Body::Quorum(quorum));
    }

    fn install(&mut self, snapshot: &ready::Snapshot) {
        match documents::DocumentRegister::from_snapshot(&snapshot.data) {
            Ok(register) => self.register = register,
            Err(error) => {
                // Going on would apply later entries to an older state.
                tracing::error!(%error, "a snapshot of the leader can't be read; halting");
                self.node.storage_failed();
            }
        }
        self.publish();
    }

    fn apply(&mut self, entries: Vec<messages::LogEntry>) {
        for entry in &entries {
            if entry.kind() == messages::EntryKind::Members {
                // The next step of a repair follows at once.
                self.next_repair = self.clock.now();
            }
            if entry.kind() == messages::EntryKind::Command {
                match self.register.apply(&entry.payload) {
                    Ok(true) => {
                        let version = self.register.held().version;
                        tracing::info!(
                            event = "deployment-committed",
                            version,
                            index = entry.index
                        );
                    }
                    Ok(false) => {}
                    Err(error) => {
                        tracing::error!(%error, index = entry.index, "unreadable command")
                    }
                }
            }
            if let Some(waiting) = self.changes.remove(&entry.index) {
                let answer = if waiting.term == entry.term {
                    Ok(self.register.held().version)
                } else {
                    Err(errors::ChangeFailure::Unavailable)
                };
                let _ = waiting.answer.send(answer);
            }
        }
        self.publish();
        self.compact();
    }

    fn answer_reads(&mut self, reads: Vec<ready::ConfirmedRead>, failed: Vec<units::ReadToken>) {
        for read in reads {
            let Some(waiting) = self.reads.remove(&read.token.0) else {
                continue;
            };
            if self.node.status().applied_index < read.index {
                // The own disk lags behind the quorum; the caller asks again.
                fail(waiting, errors::ChangeFailure::Unavailable);
                continue;
            }
            let held = self.register.held().clone();
            match waiting {
                WaitingRead::Read(answer) => {
                    let _ = answer.send(Ok(held));
                }
                WaitingRead::Put(document, answer) if document.version <= held.version => {
                    let _ = answer.send(Ok(held.version));
                }
                WaitingRead::Put(document, answer) => self.propose(&document, answer),
            }
        }
        for token in failed {
            if let Some(waiting) = self.reads.remove(&token.0) {
                fail(waiting, errors::ChangeFailure::Unavailable);
            }
        }
    }

    fn handle_role_change(&mut self, change: ready::RoleChange) {
        let leads = change.role == ready::NodeRole::Leader;
        if leads != self.office.is_some() {
            self.office = leads.then(|| self.clock.now());
            self.seen.clear();
        }
        if !leads {
            // A later leader may still commit them; the callers are told nothing certain.
            for (_, waiting) in std::mem::take(&mut self.changes) {
                let _ = waiting.answer.send(Err(errors::ChangeFailure::Unavailable));
            }
        }
        let leader = change
            .leader
            .map(|leader| repair::link_address(leader.member));
        tracing::info!(event = "log-role", role = ?change.role, term = change.term, ?leader);
        self.publish();
    }
}

fn fail(waiting: WaitingRead, failure: errors::ChangeFailure) {
    match waiting {
        WaitingRead::Read(answer) => {
            let _ = answer.send(Err(failure));
        }
        WaitingRead::Put(_, answer) => {
            let _ = answer.send(Err(failure));
        }
    }
}

fn founding_snapshot(options: &options::RegistrarOptions) -> ready::Snapshot {
    let seeds: HashSet<_> = options.seeds.iter().copied().collect();
    let founders: Vec<_> = seeds
        .into_iter()
        .filter_map(|seed| repair::member_id(options.link_of(seed)))
        .map(repair::founder)
        .collect();
    let voters = members::Membership::of_voters(&founders);
    ready::Snapshot::founding(voters, documents::DocumentRegister::default().to_snapshot())
}
