//! The task that drives this host's replica of the deployment document: it passes ticks, messages,
//! calls and storage results to the replica, and performs the writes and sends that it requests.

use std::{
    collections::HashSet,
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, ids, units as core_units};
use waxwing_fleet::network;
use waxwing_quorum::{members, messages, node, ready, units};
use waxwing_store::{disk, driving, driving::LogHandler as _, store, writer};
use waxwing_wire::messages as wire;

use crate::{
    errors,
    handles::{GroupChannels, GroupRequest, GroupView},
    options, repair, replica,
};

/// Difference between the steady and the wall clock over one tick above which it is logged: the host
/// was suspended, which the steady clock doesn't count, or its wall clock was set.
const CLOCK_GAP: Duration = Duration::from_millis(250);

/// Time between two log lines on requests to join, which are sent several times a second.
const JOIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The longest wait at shutdown for a successor to take over leadership; enough for one election.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The largest size of a log segment, small enough that a small disk holds several.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// Runs this host's member of the replication group, from the opening of its store until shutdown
/// or a storage failure.
pub(crate) struct GroupTask<'a, C> {
    replica: replica::DeploymentReplica<oneshot::Sender<replica::CallOutcome>>,
    clock: C,
    started: Instant,
    channels: &'a mut GroupChannels,
    storage: writer::WriterHandle,
    network: network::ProcessNetwork<C>,
    tick_interval: Duration,
    next_tick: Instant,
    /// The steady and the wall clock at the last tick.
    last_clocks: (Instant, SystemTime),
    /// When a request to join may be logged next.
    next_join_log: Instant,
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
        let replica_options = replica::ReplicaOptions {
            tolerated_losses: options.tolerated_losses,
            ..replica::ReplicaOptions::default()
        };
        let tick_interval = replica_options.node.tick_interval;
        let replica =
            replica::DeploymentReplica::new(identity, replica_options, recovered, rand::random())?;
        let now = clock.now();
        let version = replica.document().map(|document| document.version);
        tracing::info!(event = "log-opened", %identity, version);
        Ok(Self {
            replica,
            started: now,
            channels,
            storage: writer::start(store),
            network,
            tick_interval,
            next_tick: now,
            last_clocks: (now, clock.wall()),
            next_join_log: now,
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
            self.drive();
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
        self.next_tick = now + self.tick_interval;
        let elapsed = self.elapsed();
        if self.replica.tick(elapsed) {
            self.request_to_join(now);
        }
        self.publish_view();
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
                leads = self.replica.leads()
            );
        }
    }

    fn request_to_join(&mut self, now: Instant) {
        let identity = self.replica.node().identity();
        if now >= self.next_join_log {
            self.next_join_log = now + JOIN_LOG_INTERVAL;
            let linked = self.network.linked_addresses(wire::ProcessKind::Control);
            tracing::info!(event = "join-requested", %identity, linked = linked.len());
        }
        let join = wire::JoinGroup {
            member: identity.member.0,
            store: Bytes::copy_from_slice(&identity.store.to_bytes()),
        };
        let body = wire::Body::JoinGroup(join);
        self.network.broadcast(wire::ProcessKind::Control, &body);
    }

    fn handle_request(&mut self, request: GroupRequest) {
        match request {
            GroupRequest::Put { document, reply } => {
                let elapsed = self.elapsed();
                self.replica.put(elapsed, document, reply);
            }
            GroupRequest::Read { reply } => {
                let elapsed = self.elapsed();
                self.replica.read(elapsed, reply);
            }
            GroupRequest::RecordDepartures { list, reply } => {
                self.replica.record_departures(&list, reply);
            }
            GroupRequest::ChangeRollout { change, reply } => {
                self.replica.change_rollout(&change, reply);
            }
            GroupRequest::Peer { from, payload } => self.receive(from, payload),
            GroupRequest::Join(join) => self.handle_join(&join),
        }
    }

    fn handle_join(&mut self, join: &wire::JoinGroup) {
        let Ok(store) = ids::StoreId::from_slice(&join.store) else {
            tracing::warn!(
                event = "join-refused",
                member = join.member,
                "malformed store id"
            );
            return;
        };
        self.replica.join(members::MemberIdentity {
            member: ids::MemberId(join.member),
            store,
        });
        self.publish_view();
    }

    fn receive(&mut self, from: SocketAddr, payload: Bytes) {
        let Some(member) = repair::member_id(from) else {
            return;
        };
        let elapsed = self.elapsed();
        if let Err(error) = self.replica.receive(elapsed, member, payload) {
            tracing::debug!(%from, %error, "log message ignored");
        }
    }

    /// Performs what the replica requests, and sends the outcomes of answered calls. A caller that
    /// has given up gets none.
    fn drive(&mut self) {
        self.process_ready();
        for (reply, outcome) in self.replica.take_outcomes() {
            let _ = reply.send(outcome);
        }
    }

    fn publish_view(&self) {
        let node = self.replica.node();
        let members = node.members().iter();
        let view = GroupView {
            leads: self.replica.leads(),
            votes: node.members().is_voter(node.identity()),
            awaits_membership: node.members().kind(node.identity()).is_none(),
            voters: node.members().voters().count(),
            silent_voters: self.replica.silent_voters(),
            leader: node
                .status()
                .leader
                .map(|leader| repair::link_address(leader.member)),
            members: members
                .map(|(identity, _)| repair::link_address(identity.member))
                .collect(),
            document: self.replica.document().cloned(),
            departures: self.replica.departures().clone(),
            rollouts: self.replica.rollouts().clone(),
            term: node.status().term,
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
        if !self.replica.leads() {
            return Ok(());
        }
        let peers = self.replica.node().peers();
        let voters = peers
            .iter()
            .filter(|peer| self.replica.node().members().is_voter(peer.identity));
        let Some(successor) = voters.max_by_key(|peer| (peer.last_contact, peer.match_index))
        else {
            return Ok(());
        };
        let target = successor.identity.member;
        let elapsed = self.elapsed();
        if let Err(error) = self.replica.node_mut().transfer_leadership(elapsed, target) {
            tracing::warn!(%error, "cannot transfer leadership");
            return Ok(());
        }
        let deadline = self.clock.now() + TRANSFER_TIMEOUT;
        while self.replica.leads() && self.clock.now() < deadline {
            self.drive();
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
        self.replica.node_mut()
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
        self.replica.install(snapshot);
        self.publish_view();
    }

    fn apply(&mut self, entries: Vec<messages::LogEntry>) {
        self.replica.apply(&entries);
        self.publish_view();
    }

    fn answer_reads(&mut self, reads: Vec<ready::ConfirmedRead>, failed: Vec<units::ReadToken>) {
        self.replica.answer_reads(reads, failed);
    }

    fn handle_role_change(&mut self, change: ready::RoleChange) {
        let elapsed = self.elapsed();
        self.replica.change_role(elapsed, &change);
        self.publish_view();
    }
}

/// Returns the first snapshot of a new group, whose voters are the seeds.
fn founding_snapshot(options: &options::RegistrarOptions) -> ready::Snapshot {
    let seeds: HashSet<_> = options.seeds.iter().copied().collect();
    let founders: Vec<_> = seeds
        .into_iter()
        .filter_map(|seed| repair::member_id(options.link_address_of(seed)))
        .map(repair::founding_identity)
        .collect();
    replica::founding_snapshot(&founders)
}
