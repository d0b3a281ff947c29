//! The task that drives this host's replica of the log: it passes ticks, messages, proposals and
//! storage results to the quorum node, and performs the writes and sends that the node requests.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
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

/// Bytes of log entries since the last snapshot at which a new one is taken. This bounds the replay
/// at a restart and the memory that the log uses.
const SNAPSHOT_BYTES: u64 = 2 * 1024 * 1024;

/// Time between two checks by the leader of whether the membership needs a repair.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a known leader after which a host asks to join. A member that only lost its leader
/// asks too, which changes nothing.
const JOIN_AFTER_LEADERLESS: Duration = Duration::from_millis(1_200);

/// Time between two join requests of a host. A leader may live for half a second only while hosts
/// crash, and a host with a new disk needs three changes of the membership to vote again.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// Difference between the steady and the wall clock over one tick above which it is logged: the host
/// was suspended, which the steady clock doesn't count, or its wall clock was set.
const CLOCK_GAP: Duration = Duration::from_millis(250);

/// The longest wait at shutdown for a successor to take over leadership; enough for one election.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The largest size of a log segment, small enough that a small disk holds several.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// A proposal whose entry is not committed yet. An entry that is committed at its index with
/// another term has replaced it.
struct PendingProposal {
    term: units::Term,
    reply: oneshot::Sender<Result<u64, errors::GroupError>>,
}

/// What to do once a quorum has confirmed that this host leads.
enum PendingRead {
    Read(oneshot::Sender<Result<documents::StoredDocument, errors::GroupError>>),
    Put(
        documents::StoredDocument,
        oneshot::Sender<Result<u64, errors::GroupError>>,
    ),
}

/// Returns the options of the quorum node. The timeouts are shorter than the defaults, because a
/// change must be acknowledged within seconds of the loss of a leader. Hosts are milliseconds
/// apart, which allows this.
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

/// Runs this host's member of the replication group, from the opening of its store until shutdown
/// or a storage failure.
pub(crate) struct GroupTask<'a, C> {
    node: node::QuorumNode,
    clock: C,
    started: Instant,
    channels: &'a mut GroupChannels,
    storage: writer::WriterHandle,
    network: network::ProcessNetwork<C>,
    register: documents::DocumentRegister,
    proposals: BTreeMap<units::LogIndex, PendingProposal>,
    reads: HashMap<u64, PendingRead>,
    next_read_token: u64,
    next_tick: Instant,
    next_repair: Instant,
    next_join: Instant,
    /// When a leader was last known.
    last_leader: Instant,
    /// The steady and the wall clock at the last tick.
    last_clocks: (Instant, SystemTime),
    /// When this host became leader; `None` while it isn't.
    leader_since: Option<Instant>,
    /// When this leader first saw each member in the membership; cleared when this host gains or
    /// loses leadership.
    first_seen: HashMap<members::MemberIdentity, Instant>,
}

impl<'a, C: Clock> GroupTask<'a, C> {
    /// Opens the data folder, restores the state of the log and the document, and builds the task.
    /// A fresh host that is a seed of a new fleet first stores the founding snapshot.
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
        let is_founder = options.found && options.seeds.contains(&options.http_address);
        let new_store_id = if is_founder {
            repair::founding_identity(member).store
        } else {
            ids::StoreId::random()
        };
        let store_options = store::StoreOptions {
            segment_bytes: core_units::ByteCount(SEGMENT_BYTES),
        };
        let (mut store, mut recovered) =
            store::LogStore::open(folder, member, new_store_id, store_options)?;
        let identity = store.identity();
        if is_founder && store.is_fresh() {
            recovered = store.bootstrap(founding_snapshot(options))?;
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
        tracing::info!(event = "log-opened", %identity, version = register.current().version);
        Ok(Self {
            node,
            started: now,
            channels,
            storage: writer::start(store),
            network,
            register,
            proposals: BTreeMap::new(),
            reads: HashMap::new(),
            next_read_token: 0,
            next_tick: now,
            next_repair: now,
            next_join: now,
            last_leader: now,
            last_clocks: (now, clock.wall()),
            leader_since: None,
            first_seen: HashMap::new(),
            clock,
        })
    }

    /// Runs until `shutdown`; returns an error when storage fails.
    pub(crate) async fn run(
        mut self,
        shutdown: &CancellationToken,
    ) -> Result<(), errors::RegistrarError> {
        self.publish_view();
        loop {
            self.process_ready();
            let now = self.clock.now();
            tokio::select! {
                () = shutdown.cancelled() => break,
                Some(request) = self.channels.requests.recv() => self.handle_request(request),
                Some(report) = self.storage.reports.recv() => self.handle_write_report(report)?,
                () = self.clock.sleep(self.next_tick.saturating_duration_since(now)) => self.tick(),
            }
        }
        self.hand_over_leadership().await
    }

    fn elapsed(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.started)
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.log_clock_gap(now);
        self.next_tick = now + node_options().tick_interval;
        self.node.tick(self.elapsed());
        if self.node.status().leader.is_some() {
            self.last_leader = now;
        }
        // A host that knows of no group asks at once: there is no leader to wait for.
        let lacks_leader = self.node.members().is_empty()
            || now.saturating_duration_since(self.last_leader) >= JOIN_AFTER_LEADERLESS;
        if lacks_leader && now >= self.next_join {
            self.next_join = now + JOIN_INTERVAL;
            self.request_to_join();
        }
        if self.leader_since.is_some() && now >= self.next_repair {
            self.next_repair = now + REPAIR_INTERVAL;
            self.repair_membership(now);
        }
    }

    /// Logs that the two clocks have moved by different amounts since the last tick.
    fn log_clock_gap(&mut self, now: Instant) {
        let wall = self.clock.wall();
        let (last_now, last_wall) = std::mem::replace(&mut self.last_clocks, (now, wall));
        let steady_passed = now.saturating_duration_since(last_now);
        let (ahead, gap) = match wall.duration_since(last_wall) {
            Ok(passed) if passed >= steady_passed => (true, passed - steady_passed),
            Ok(passed) => (false, steady_passed - passed),
            Err(backward) => (false, steady_passed + backward.duration()),
        };
        if gap >= CLOCK_GAP {
            tracing::warn!(
                event = "clock-gap",
                wall_clock_ahead = ahead,
                gap_ms = gap.as_millis(),
                steady_ms = steady_passed.as_millis(),
                leads = self.leader_since.is_some()
            );
        }
    }

    fn request_to_join(&self) {
        let identity = self.node.identity();
        let join = wire::JoinGroup {
            member: identity.member.0,
            store: Bytes::copy_from_slice(&identity.store.to_bytes()),
        };
        let body = wire::Body::JoinGroup(join);
        self.network.broadcast(wire::ProcessKind::Control, &body);
    }

    fn repair_membership(&mut self, now: Instant) {
        let leader_since = self.leader_since.unwrap_or(now);
        let elapsed = self.elapsed();
        let own = self.node.identity();
        let peers = self.node.peers();
        let mut views = Vec::new();
        for (identity, kind) in self.node.members().iter() {
            if identity == own {
                continue;
            }
            // Silence from before this host led, or before the member was added, doesn't count.
            let seen = (*self.first_seen.entry(identity).or_insert(now)).max(leader_since);
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
            self.propose_member_change(change);
        }
    }

    fn propose_member_change(&mut self, change: members::MemberChange) {
        match self.node.change_members(change) {
            Ok(proposal) => {
                tracing::info!(event = "member-change", ?change, index = proposal.index);
                self.publish_view();
            }
            // The next check, or the next request of a joining host, tries it again.
            Err(error) => tracing::debug!(event = "member-change-refused", ?change, %error),
        }
    }

    fn handle_request(&mut self, request: GroupRequest) {
        match request {
            GroupRequest::Put { document, reply } => {
                self.confirm_leadership(PendingRead::Put(document, reply));
            }
            GroupRequest::Read { reply } => self.confirm_leadership(PendingRead::Read(reply)),
            GroupRequest::Peer { from, payload } => self.receive(from, payload),
            GroupRequest::Join(join) => self.handle_join(&join),
        }
    }

    fn handle_join(&mut self, join: &wire::JoinGroup) {
        if self.leader_since.is_none() {
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
            self.propose_member_change(change);
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
            tracing::debug!(%from, %error, "log message ignored");
        }
    }

    /// Starts a linearizable read, which confirms that this host leads. A put needs it too: a
    /// document that isn't newer than the current one is acknowledged without an entry of its own,
    /// which is safe only once the current one is known to be committed.
    fn confirm_leadership(&mut self, pending: PendingRead) {
        let token = self.next_read_token;
        self.next_read_token += 1;
        let started_read = self
            .node
            .read_index(self.elapsed(), units::ReadToken(token));
        match started_read {
            Ok(()) => {
                self.reads.insert(token, pending);
            }
            Err(error) => {
                let failure = match error {
                    quorum_errors::ReadError::NotLeader { leader } => {
                        errors::GroupError::NotLeader(
                            leader.map(|leader| repair::link_address(leader.member)),
                        )
                    }
                    _ => errors::GroupError::Unavailable,
                };
                fail_read(pending, failure);
            }
        }
    }

    fn propose(
        &mut self,
        document: &documents::StoredDocument,
        reply: oneshot::Sender<Result<u64, errors::GroupError>>,
    ) {
        match self.node.propose(document.encode_to_vec().into()) {
            Ok(proposal) => {
                let term = proposal.term;
                let pending = PendingProposal { term, reply };
                self.proposals.insert(proposal.index, pending);
            }
            Err(error) => {
                tracing::info!(event = "change-failed", version = document.version, %error);
                let _ = reply.send(Err(errors::GroupError::Unavailable));
            }
        }
    }

    fn compact(&mut self) {
        let status = self.node.status();
        if status.log_bytes < SNAPSHOT_BYTES.max(self.register.current().body.len() as u64) {
            return;
        }
        let data = self.register.to_snapshot();
        if let Err(error) = self.node.compact(status.applied_index, data) {
            tracing::warn!(%error, "cannot compact the log");
        }
    }

    fn publish_view(&self) {
        let status = self.node.status();
        let members = self.node.members().iter();
        let view = GroupView {
            leads: self.leader_since.is_some(),
            votes: self.node.members().is_voter(self.node.identity()),
            voters: self.node.members().voters().count(),
            leader: status
                .leader
                .map(|leader| repair::link_address(leader.member)),
            members: members
                .map(|(identity, _)| repair::link_address(identity.member))
                .collect(),
            document: self.register.current().clone(),
        };
        self.channels.view.send_if_modified(|last_view| {
            let changed = *last_view != view;
            *last_view = view;
            changed
        });
    }

    /// Transfers leadership to another voter before the process ends, so that the group needs no
    /// election timeout to get a new leader.
    async fn hand_over_leadership(mut self) -> Result<(), errors::RegistrarError> {
        if self.leader_since.is_none() {
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
            tracing::warn!(%error, "cannot transfer leadership");
            return Ok(());
        }
        let deadline = self.clock.now() + TRANSFER_TIMEOUT;
        while self.leader_since.is_some() && self.clock.now() < deadline {
            self.process_ready();
            let now = self.clock.now();
            tokio::select! {
                Some(request) = self.channels.requests.recv() => self.handle_request(request),
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
                // Applying later entries to the older state would make this replica diverge.
                tracing::error!(%error, "cannot decode a snapshot from the leader; halting");
                self.node.storage_failed();
            }
        }
        self.publish_view();
    }

    fn apply(&mut self, entries: Vec<messages::LogEntry>) {
        for entry in &entries {
            if entry.kind() == messages::EntryKind::Members {
                // A repair may take several steps: check for the next one at once.
                self.next_repair = self.clock.now();
            }
            if entry.kind() == messages::EntryKind::Command {
                match self.register.apply(&entry.payload) {
                    Ok(true) => {
                        let version = self.register.current().version;
                        tracing::info!(
                            event = "deployment-committed",
                            version,
                            index = entry.index,
                            term = entry.term
                        );
                    }
                    Ok(false) => {}
                    Err(error) => {
                        tracing::error!(%error, index = entry.index, "cannot decode a command")
                    }
                }
            }
            if let Some(pending) = self.proposals.remove(&entry.index) {
                let reply = if pending.term == entry.term {
                    Ok(self.register.current().version)
                } else {
                    Err(errors::GroupError::Unavailable)
                };
                let _ = pending.reply.send(reply);
            }
        }
        self.publish_view();
        self.compact();
    }

    fn answer_reads(&mut self, reads: Vec<ready::ConfirmedRead>, failed: Vec<units::ReadToken>) {
        for read in reads {
            let Some(pending) = self.reads.remove(&read.token.0) else {
                continue;
            };
            if self.node.status().applied_index < read.index {
                // The local disk lags behind the quorum, so this state is too old. The caller
                // retries.
                fail_read(pending, errors::GroupError::Unavailable);
                continue;
            }
            let current = self.register.current().clone();
            match pending {
                PendingRead::Read(reply) => {
                    let term = self.node.status().term;
                    let version = current.version;
                    tracing::info!(event = "deployment-read", version, index = read.index, term);
                    let _ = reply.send(Ok(current));
                }
                PendingRead::Put(document, reply) if document.version <= current.version => {
                    let _ = reply.send(Ok(current.version));
                }
                PendingRead::Put(document, reply) => self.propose(&document, reply),
            }
        }
        for token in failed {
            if let Some(pending) = self.reads.remove(&token.0) {
                fail_read(pending, errors::GroupError::Unavailable);
            }
        }
    }

    fn handle_role_change(&mut self, change: ready::RoleChange) {
        let leads = change.role == ready::NodeRole::Leader;
        if leads != self.leader_since.is_some() {
            self.leader_since = leads.then(|| self.clock.now());
            self.first_seen.clear();
        }
        if !leads {
            // A later leader may still commit these entries, so the outcome is unknown.
            for (_, pending) in std::mem::take(&mut self.proposals) {
                let _ = pending.reply.send(Err(errors::GroupError::Unavailable));
            }
        }
        let leader = change
            .leader
            .map(|leader| repair::link_address(leader.member));
        let status = self.node.status();
        let (last, committed) = (status.last_index, status.commit_index);
        let voters = self.node.members().voters().count();
        tracing::info!(
            event = "log-role",
            role = ?change.role,
            term = change.term,
            ?leader,
            voters,
            last,
            committed
        );
        self.publish_view();
    }
}

fn fail_read(pending: PendingRead, failure: errors::GroupError) {
    match pending {
        PendingRead::Read(reply) => {
            let _ = reply.send(Err(failure));
        }
        PendingRead::Put(_, reply) => {
            let _ = reply.send(Err(failure));
        }
    }
}

/// Returns the first snapshot of a new group, whose voters are the seeds. Every founding member
/// stores the same one.
fn founding_snapshot(options: &options::RegistrarOptions) -> ready::Snapshot {
    let seeds: HashSet<_> = options.seeds.iter().copied().collect();
    let founders: Vec<_> = seeds
        .into_iter()
        .filter_map(|seed| repair::member_id(options.link_address_of(seed)))
        .map(repair::founding_identity)
        .collect();
    let voters = members::Membership::from_voters(&founders);
    ready::Snapshot::founding(voters, documents::DocumentRegister::default().to_snapshot())
}
