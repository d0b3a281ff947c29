//! Runs members with the real store on in-memory disks, under a simulated clock and network, and
//! checks the safety properties of the replicated log at every step.

mod operations;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use rand::{RngExt as _, SeedableRng as _, rngs};
use waxwing_core::{ids, units as core_units};
use waxwing_quorum::{members, messages, node, options, ready, units};
use waxwing_store::{errors, memory, store};

/// Upper bound of the time from sending a message to its delivery, including the longest pause of
/// its receiver.
const MAX_MESSAGE_AGE: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(10);
/// Longer than the 64-byte snapshot chunks, so that an installation takes several messages.
const SNAPSHOT_BYTES: usize = 200;

/// A bug injected on purpose, to test that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InjectedBug {
    None,
    /// Disks report syncs as successful without making anything durable.
    IgnoredSyncs,
    /// Writes are reported as persisted before they are executed.
    EarlyReports,
    /// A host whose disk was replaced keeps its old store id.
    KeptStoreId,
    /// A host that believes it is the leader serves reads without confirming its leadership.
    UnconfirmedReads,
}

/// Probabilities of message faults, in percent.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NetworkFaults {
    /// Messages that are lost.
    pub(crate) lost_percent: u32,
    /// Messages that are delivered twice.
    pub(crate) duplicated_percent: u32,
    /// Messages that are delayed by up to a second.
    pub(crate) delayed_percent: u32,
}

/// Counts of events in a schedule, printed to show how much a run has exercised.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EventCounts {
    pub(crate) commands: u64,
    pub(crate) reads: u64,
    pub(crate) leaders: u64,
    pub(crate) member_changes: u64,
    pub(crate) installs: u64,
    pub(crate) wipes: u64,
    pub(crate) halts: u64,
}

impl EventCounts {
    pub(crate) fn add(&mut self, other: &Self) {
        self.commands += other.commands;
        self.reads += other.reads;
        self.leaders += other.leaders;
        self.member_changes += other.member_changes;
        self.installs += other.installs;
        self.wipes += other.wipes;
        self.halts += other.halts;
    }
}

/// A running process of a host, with its volatile state.
pub(crate) struct HostProcess {
    pub(crate) node: node::QuorumNode,
    store: store::LogStore<memory::MemoryDisk>,
    started: Duration,
    writes: VecDeque<(Duration, ready::WriteBatch)>,
    /// The state machine: a chained checksum over all applied entries.
    state: u64,
    applied_index: u64,
    /// Pending reads by token, with the highest acknowledged index when they were issued.
    reads: BTreeMap<u64, u64>,
    proposals: BTreeSet<units::ProposalId>,
}

pub(crate) struct Host {
    member: ids::MemberId,
    pub(crate) disk: memory::MemoryDisk,
    /// The running process; `None` while the host is down.
    pub(crate) process: Option<HostProcess>,
    pub(crate) identity: members::MemberIdentity,
    /// The rate of the host's clock in thousandths of the simulated time.
    clock_rate_millis: u32,
    paused_until: Duration,
    /// Maximum time from the end of `take_ready` to the sync of its writes.
    pub(crate) write_delay: Duration,
}

pub(crate) struct Group {
    pub(crate) hosts: Vec<Host>,
    pub(crate) now: Duration,
    random: rngs::StdRng,
    /// Messages in flight, by delivery time and sequence number.
    network: BTreeMap<(Duration, u64), (usize, usize, Bytes)>,
    /// Sequence number of the last message.
    last_message: u64,
    pub(crate) faults: NetworkFaults,
    /// Blocked links, as pairs of sender and receiver.
    pub(crate) blocked_links: BTreeSet<(usize, usize)>,
    injected: InjectedBug,
    next_store: u128,
    /// Number of the last proposed command.
    last_command: u64,
    last_read_token: u64,
    /// The leader of each term.
    leaders: BTreeMap<u64, members::MemberIdentity>,
    /// Term and resulting state of every entry that any host has applied, by index.
    applied_states: BTreeMap<u64, (u64, u64)>,
    /// The highest index of an entry acknowledged to its proposer.
    acknowledged_index: u64,
    /// Proposed memberships with the time of their proposal. One younger than [`MAX_MESSAGE_AGE`]
    /// may still be in a message in flight.
    proposed_memberships: Vec<(Duration, members::Membership)>,
    pub(crate) counts: EventCounts,
    /// The first violated property.
    pub(crate) violation: Option<String>,
}

pub(crate) fn node_options() -> options::NodeOptions {
    options::NodeOptions {
        snapshot_chunk_bytes: core_units::ByteCount(64),
        max_batch_bytes: core_units::ByteCount(200),
        max_inflight_batches: 4,
        retained_entries: 4,
        promotion_lag: 3,
        ..options::NodeOptions::default()
    }
}

const fn store_options() -> store::StoreOptions {
    store::StoreOptions {
        segment_bytes: core_units::ByteCount(600),
    }
}

fn next_state(state: u64, entry: &messages::LogEntry) -> u64 {
    let mut bytes = state.to_be_bytes().to_vec();
    bytes.extend_from_slice(&entry.term.to_be_bytes());
    bytes.extend_from_slice(&entry.payload);
    u64::from(crc32c::crc32c(&bytes)) | (state << 32)
}

fn snapshot_data(state: u64) -> Bytes {
    let mut data = vec![0; SNAPSHOT_BYTES];
    data[..8].copy_from_slice(&state.to_be_bytes());
    data.into()
}

fn snapshot_state(data: &Bytes) -> u64 {
    u64::from_be_bytes(data[..8].try_into().expect("a snapshot has a state"))
}

impl Group {
    /// Founds a group of the first `founders` hosts; the other hosts run with empty data folders.
    pub(crate) fn new(hosts: usize, founders: usize, seed: u64, injected: InjectedBug) -> Self {
        let mut group = Self {
            hosts: Vec::new(),
            now: Duration::ZERO,
            random: rngs::StdRng::seed_from_u64(seed),
            network: BTreeMap::new(),
            last_message: 0,
            faults: NetworkFaults::default(),
            blocked_links: BTreeSet::new(),
            injected,
            next_store: 1,
            last_command: 0,
            last_read_token: 0,
            leaders: BTreeMap::new(),
            applied_states: BTreeMap::new(),
            acknowledged_index: 0,
            proposed_memberships: Vec::new(),
            counts: EventCounts::default(),
            violation: None,
        };
        for member in 0..hosts {
            let host = group.new_host(ids::MemberId(member as u64 + 1));
            group.hosts.push(host);
        }
        for host in 0..hosts {
            group.found(host, host < founders, founders);
        }
        group
    }

    fn new_host(&mut self, member: ids::MemberId) -> Host {
        let disk = memory::MemoryDisk::new();
        disk.set_faults(memory::DiskFaults {
            ignored_syncs: self.injected == InjectedBug::IgnoredSyncs,
            ..memory::DiskFaults::default()
        });
        let store = ids::StoreId(self.next_store);
        self.next_store += 1;
        Host {
            member,
            disk,
            process: None,
            identity: members::MemberIdentity { member, store },
            clock_rate_millis: self.random.random_range(960..=1040),
            paused_until: Duration::ZERO,
            write_delay: Duration::ZERO,
        }
    }

    fn found(&mut self, host: usize, founder: bool, founders: usize) {
        let identities: Vec<_> = self.hosts[..founders]
            .iter()
            .map(|host| host.identity)
            .collect();
        let identity = self.hosts[host].identity;
        let disk = self.hosts[host].disk.clone();
        let opened = store::LogStore::open(disk, identity.member, identity.store, store_options());
        let (mut store, mut recovered) = opened.expect("a new disk opens");
        if founder {
            let membership = members::Membership::from_voters(&identities);
            let snapshot = ready::Snapshot::founding(membership, snapshot_data(0));
            recovered = store
                .bootstrap(snapshot)
                .expect("a new disk can be written");
        }
        self.start_process(host, store, recovered);
    }

    fn start_process(
        &mut self,
        host: usize,
        store: store::LogStore<memory::MemoryDisk>,
        recovered: ready::RecoveredState,
    ) {
        let state = recovered.snapshot.as_ref();
        let state = state.map_or((0, 0), |snapshot| {
            (snapshot_state(&snapshot.data), snapshot.index)
        });
        let seed = self.random.random();
        let identity = store.identity();
        let node = node::QuorumNode::new(identity, node_options(), recovered, seed, Duration::ZERO);
        let process = HostProcess {
            node: node.expect("a recovered state starts a node"),
            store,
            started: self.now,
            writes: VecDeque::new(),
            state: state.0,
            applied_index: state.1,
            reads: BTreeMap::new(),
            proposals: BTreeSet::new(),
        };
        self.hosts[host].identity = identity;
        self.hosts[host].process = Some(process);
    }

    /// Kills the process of a host; its disk keeps everything written.
    pub(crate) fn kill(&mut self, host: usize) {
        self.hosts[host].process = None;
        self.hosts[host].disk.kill();
    }

    /// Simulates a power failure of a host; its disk loses unsynced data.
    pub(crate) fn crash(&mut self, host: usize) {
        let seed = self.random.random();
        self.hosts[host].process = None;
        self.hosts[host].disk.crash(seed);
    }

    /// Starts a host that is down.
    pub(crate) fn restart(&mut self, host: usize) {
        if self.hosts[host].process.is_some() {
            return;
        }
        let members::MemberIdentity { member, store } = self.hosts[host].identity;
        let disk = self.hosts[host].disk.clone();
        match store::LogStore::open(disk, member, store, store_options()) {
            Ok((store, recovered)) => self.start_process(host, store, recovered),
            // After an I/O error during the open, the host stays down.
            Err(errors::StoreError::Io { .. }) => self.hosts[host].disk.kill(),
            Err(error) => {
                self.hosts[host].disk.kill();
                self.record_violation(format!("host {host} can't open its data folder: {error}"));
            }
        }
    }

    /// Replaces the disk of a host and gives it a new store id. Returns `false` and does nothing if
    /// another host is down, or a membership would lose its quorum.
    pub(crate) fn wipe(&mut self, host: usize) -> bool {
        if !self.keeps_quorums_without(host) {
            return false;
        }
        self.counts.wipes += 1;
        self.hosts[host].process = None;
        self.hosts[host].disk.wipe();
        if self.injected != InjectedBug::KeptStoreId {
            self.hosts[host].identity.store = ids::StoreId(self.next_store);
            self.next_store += 1;
        }
        true
    }

    fn keeps_quorums_without(&self, lost: usize) -> bool {
        let running: Vec<_> = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(position, host)| *position != lost && host.process.is_some())
            .collect();
        let identities: BTreeSet<_> = running.iter().map(|(_, host)| host.identity).collect();
        let processes = running.iter().filter_map(|(_, host)| host.process.as_ref());
        let recent = self.proposed_memberships.iter();
        let recent = recent.filter(|(proposed_at, _)| *proposed_at + MAX_MESSAGE_AGE > self.now);
        let recent = recent.map(|(_, members)| members);
        let mut memberships = processes
            .map(|process| process.node.members())
            .chain(recent);
        let has_quorum = |members: &members::Membership| {
            let left = members.voters().filter(|voter| identities.contains(voter));
            left.count() >= members.quorum()
        };
        // All other hosts must be running, so that every membership in use is known. Hosts that
        // haven't joined yet have an empty one.
        running.len() + 1 >= self.hosts.len()
            && memberships.clone().any(|members| !members.is_empty())
            && memberships.all(|members| members.is_empty() || has_quorum(members))
    }

    /// Makes a disk fail one sync after `failed_sync` successful ones, or be full after `free` more
    /// bytes.
    pub(crate) fn fail_disk(&mut self, host: usize, failed_sync: Option<u64>, free: Option<u64>) {
        self.hosts[host].disk.set_faults(memory::DiskFaults {
            failed_sync,
            free_bytes: free,
            ..memory::DiskFaults::default()
        });
    }

    pub(crate) fn pause(&mut self, host: usize, time: Duration) {
        self.hosts[host].paused_until = self.now + time;
    }

    /// Blocks all links to and from a host.
    pub(crate) fn isolate(&mut self, host: usize) {
        for other in 0..self.hosts.len() {
            self.blocked_links.insert((host, other));
            self.blocked_links.insert((other, host));
        }
    }

    /// Returns the time since the start of the host's process by its own clock.
    fn clock(&self, host: usize) -> Duration {
        let started = self.hosts[host]
            .process
            .as_ref()
            .map_or(self.now, |process| process.started);
        (self.now - started) * self.hosts[host].clock_rate_millis / 1000
    }

    fn record_violation(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    /// Runs for `ticks`, or until a property is violated.
    pub(crate) fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            if self.violation.is_some() {
                return;
            }
            self.now += TICK;
            self.deliver();
            for host in 0..self.hosts.len() {
                if self.is_running(host) {
                    let clock = self.clock(host);
                    self.with_node(host, |node| node.tick(clock));
                    self.process_ready(host);
                }
            }
        }
    }

    fn is_running(&self, host: usize) -> bool {
        self.hosts[host].process.is_some() && self.hosts[host].paused_until <= self.now
    }

    fn with_node<T>(
        &mut self,
        host: usize,
        action: impl FnOnce(&mut node::QuorumNode) -> T,
    ) -> Option<T> {
        let process = self.hosts[host].process.as_mut()?;
        Some(action(&mut process.node))
    }

    /// Delivers the messages that are due.
    fn deliver(&mut self) {
        let later = self.network.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.network, later);
        for (_, (from, to, payload)) in due {
            if !self.is_running(to) {
                // A paused process reads the message from its socket later; a dead one never does.
                if self.hosts[to].process.is_some() {
                    let at = self.hosts[to].paused_until + TICK;
                    self.last_message += 1;
                    self.network
                        .insert((at, self.last_message), (from, to, payload));
                }
                continue;
            }
            let message = messages::decode(payload).expect("a sent message can be read");
            let clock = self.clock(to);
            let member = self.hosts[from].member;
            self.with_node(to, |node| node.receive(clock, member, message).ok());
            self.process_ready(to);
        }
    }

    fn send(&mut self, from: usize, message: &ready::OutgoingMessage) {
        let position = self.hosts.iter().position(|host| host.member == message.to);
        let Some(to) = position.filter(|to| !self.blocked_links.contains(&(from, *to))) else {
            return;
        };
        let happens = |random: &mut rngs::StdRng, percent| random.random_range(0..100) < percent;
        if happens(&mut self.random, self.faults.lost_percent) {
            return;
        }
        let copies = 1 + u32::from(happens(&mut self.random, self.faults.duplicated_percent));
        for _ in 0..copies {
            let delayed = happens(&mut self.random, self.faults.delayed_percent);
            let delay = self.random.random_range(1..if delayed { 1000 } else { 25 });
            let at = self.now + Duration::from_millis(delay);
            self.last_message += 1;
            let payload = messages::encode(&message.message);
            self.network
                .insert((at, self.last_message), (from, to, payload));
        }
    }

    /// Executes the actions that the node of a host requests.
    fn process_ready(&mut self, host: usize) {
        self.execute_due_writes(host);
        for _ in 0..8 {
            let Some(ready) = self.with_node(host, node::QuorumNode::take_ready) else {
                return;
            };
            if ready.is_empty() {
                return;
            }
            self.execute(host, ready);
            self.execute_due_writes(host);
        }
    }

    fn execute(&mut self, host: usize, ready: ready::Ready) {
        for message in &ready.messages {
            self.send(host, message);
        }
        if let Some(role) = ready
            .role
            .filter(|role| role.role == ready::NodeRole::Leader)
        {
            self.check_leader(host, role.term);
        }
        if let Some(batch) = ready.writes {
            let max_delay = self.hosts[host].write_delay;
            let delay = max_delay.mul_f64(self.random.random_range(0.0..=1.0));
            let due = self.now + delay;
            let sequence = batch.sequence;
            if let Some(process) = &mut self.hosts[host].process {
                process.writes.push_back((due, batch));
            }
            if self.injected == InjectedBug::EarlyReports {
                self.with_node(host, |node| node.persisted(sequence));
            }
        }
        if let Some(snapshot) = ready.install {
            self.check_install(host, &snapshot);
        }
        for entry in &ready.committed {
            self.apply(host, entry);
        }
        for read in ready.reads {
            self.check_read(host, read);
        }
    }

    fn execute_due_writes(&mut self, host: usize) {
        let now = self.now;
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        while let Some((_, batch)) = process.writes.pop_front_if(|(due, _)| *due <= now) {
            if process.store.write(&batch).is_ok() {
                process.node.persisted(batch.sequence);
            } else {
                self.counts.halts += 1;
                process.node.storage_failed();
                process.writes.clear();
            }
        }
    }

    fn check_leader(&mut self, host: usize, term: u64) {
        let identity = self.hosts[host].identity;
        self.counts.leaders += 1;
        let first = *self.leaders.entry(term).or_insert(identity);
        if first != identity {
            self.record_violation(format!(
                "term {term} has two leaders: {first} and {identity}"
            ));
        }
    }

    fn check_install(&mut self, host: usize, snapshot: &ready::Snapshot) {
        self.counts.installs += 1;
        let state = snapshot_state(&snapshot.data);
        let known = self.applied_states.get(&snapshot.index);
        if known.is_some_and(|(term, known)| (*term, *known) != (snapshot.term, state)) {
            let index = snapshot.index;
            self.record_violation(format!(
                "host {host} installs a different state at index {index}"
            ));
        }
        if let Some(process) = &mut self.hosts[host].process {
            process.state = state;
            process.applied_index = snapshot.index;
        }
    }

    fn apply(&mut self, host: usize, entry: &messages::LogEntry) {
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        let gap = entry.index != process.applied_index + 1;
        process.applied_index = entry.index;
        process.state = next_state(process.state, entry);
        let state = process.state;
        let id = units::ProposalId {
            term: entry.term,
            index: entry.index,
        };
        let own = process.proposals.remove(&id);
        let known = *self
            .applied_states
            .entry(entry.index)
            .or_insert((entry.term, state));
        if gap || known != (entry.term, state) {
            let index = entry.index;
            self.record_violation(format!(
                "host {host} applies a different entry at index {index}"
            ));
        }
        if own {
            self.acknowledged_index = self.acknowledged_index.max(entry.index);
            self.counts.commands += 1;
        }
    }

    fn check_read(&mut self, host: usize, read: ready::ConfirmedRead) {
        self.counts.reads += 1;
        let process = self.hosts[host].process.as_mut();
        let acknowledged = process.and_then(|process| process.reads.remove(&read.token.0));
        if acknowledged.is_none_or(|acknowledged| read.index < acknowledged) {
            let index = read.index;
            self.record_violation(format!(
                "host {host} confirms a read at index {index}, needs {acknowledged:?}"
            ));
        }
    }
}
