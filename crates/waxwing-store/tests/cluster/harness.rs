//! Runs members against the real store on disks in memory, under a simulated clock and network,
//! and checks the promises of the replicated log at every step.

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

/// Longer than any message stays on its way, with the longest pause of its receiver.
const MESSAGE_LIFE: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(10);
/// Longer than the 64-byte chunks, so that installing needs several messages.
const SNAPSHOT_BYTES: usize = 200;

/// A `PlantedFault` breaks a rule on purpose, to show that the checker notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlantedFault {
    None,
    /// Disks report syncs that they don't carry out.
    IgnoredSyncs,
    /// Writes are reported as persisted before they are carried out.
    EarlyReports,
    /// A wiped host starts with its former store id.
    KeptStoreId,
    /// Reads are served without confirmation by any host that believes it leads.
    UnconfirmedReads,
}

/// A `NetworkFaults` says how bad the network is.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NetworkFaults {
    /// Messages lost in a hundred.
    pub(crate) lost: u32,
    /// Messages doubled in a hundred.
    pub(crate) doubled: u32,
    /// Messages that come up to a second late in a hundred.
    pub(crate) late: u32,
}

/// An `EventCounts` tells how much a schedule has reached, so that a run shows what it tested.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EventCounts {
    pub(crate) commands: u64,
    pub(crate) reads: u64,
    pub(crate) leaders: u64,
    pub(crate) changes: u64,
    pub(crate) installs: u64,
    pub(crate) wipes: u64,
    pub(crate) halts: u64,
}

impl EventCounts {
    pub(crate) fn add(&mut self, other: &Self) {
        self.commands += other.commands;
        self.reads += other.reads;
        self.leaders += other.leaders;
        self.changes += other.changes;
        self.installs += other.installs;
        self.wipes += other.wipes;
        self.halts += other.halts;
    }
}

pub(crate) struct Life {
    pub(crate) node: node::QuorumNode,
    store: store::LogStore<memory::MemoryDisk>,
    started: Duration,
    writes: VecDeque<(Duration, ready::WriteBatch)>,
    /// The checksum chain over all applied entries.
    state: u64,
    applied: u64,
    /// Reads with what was acknowledged when they were asked.
    reads: BTreeMap<u64, u64>,
    proposals: BTreeSet<units::ProposalId>,
}

pub(crate) struct Host {
    member: ids::MemberId,
    pub(crate) disk: memory::MemoryDisk,
    pub(crate) life: Option<Life>,
    pub(crate) identity: members::MemberIdentity,
    /// The speed of the clock in thousandths.
    clock_rate: u32,
    paused_until: Duration,
    /// The time from the end of `take_ready` to the sync of its writes, at most.
    pub(crate) write_delay: Duration,
}

pub(crate) struct Group {
    pub(crate) hosts: Vec<Host>,
    pub(crate) now: Duration,
    random: rngs::StdRng,
    network: BTreeMap<(Duration, u64), (usize, usize, Bytes)>,
    sent: u64,
    pub(crate) faults: NetworkFaults,
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    planted: PlantedFault,
    next_store: u128,
    commands: u64,
    tokens: u64,
    leaders: BTreeMap<u64, members::MemberIdentity>,
    /// Term and checksum chain of every entry that any host applied.
    chain: BTreeMap<u64, (u64, u64)>,
    acknowledged: u64,
    /// Memberships that were proposed lately, with their times; a message may still carry them.
    proposed: Vec<(Duration, members::Membership)>,
    pub(crate) counts: EventCounts,
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

fn link(state: u64, entry: &messages::LogEntry) -> u64 {
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
    /// Founds a group of the first `founders` hosts; the others are empty and running.
    pub(crate) fn new(hosts: usize, founders: usize, seed: u64, planted: PlantedFault) -> Self {
        let mut group = Self {
            hosts: Vec::new(),
            now: Duration::ZERO,
            random: rngs::StdRng::seed_from_u64(seed),
            network: BTreeMap::new(),
            sent: 0,
            faults: NetworkFaults::default(),
            cuts: BTreeSet::new(),
            planted,
            next_store: 1,
            commands: 0,
            tokens: 0,
            leaders: BTreeMap::new(),
            chain: BTreeMap::new(),
            acknowledged: 0,
            proposed: Vec::new(),
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
            ignored_syncs: self.planted == PlantedFault::IgnoredSyncs,
            ..memory::DiskFaults::default()
        });
        let store = ids::StoreId(self.next_store);
        self.next_store += 1;
        Host {
            member,
            disk,
            life: None,
            identity: members::MemberIdentity { member, store },
            clock_rate: self.random.random_range(960..=1040),
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
            let membership = members::Membership::of_voters(&identities);
            let snapshot = ready::Snapshot::founding(membership, snapshot_data(0));
            recovered = store.found(snapshot).expect("a new disk can be written");
        }
        self.begin_life(host, store, recovered);
    }

    fn begin_life(
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
        let life = Life {
            node: node.expect("a recovered state starts a node"),
            store,
            started: self.now,
            writes: VecDeque::new(),
            state: state.0,
            applied: state.1,
            reads: BTreeMap::new(),
            proposals: BTreeSet::new(),
        };
        self.hosts[host].identity = identity;
        self.hosts[host].life = Some(life);
    }

    /// Ends the process of a host; its disk keeps what was written.
    pub(crate) fn kill(&mut self, host: usize) {
        self.hosts[host].life = None;
        self.hosts[host].disk.kill();
    }

    /// Ends the host; its disk loses what was not synced.
    pub(crate) fn crash(&mut self, host: usize) {
        let seed = self.random.random();
        self.hosts[host].life = None;
        self.hosts[host].disk.crash(seed);
    }

    /// Starts a host that is down.
    pub(crate) fn restart(&mut self, host: usize) {
        if self.hosts[host].life.is_some() {
            return;
        }
        let members::MemberIdentity { member, store } = self.hosts[host].identity;
        let disk = self.hosts[host].disk.clone();
        match store::LogStore::open(disk, member, store, store_options()) {
            Ok((store, recovered)) => self.begin_life(host, store, recovered),
            // A disk that fails while it is opened is left alone; the host stays down.
            Err(errors::StoreError::Io { .. }) => self.hosts[host].disk.kill(),
            Err(error) => {
                self.hosts[host].disk.kill();
                self.violate(format!("host {host} can't open its data folder: {error}"));
            }
        }
    }

    /// Replaces the disk of a host, unless a quorum of some membership would be lost with it. The
    /// host gets a new store id.
    pub(crate) fn wipe(&mut self, host: usize) -> bool {
        if !self.survives_without(host) {
            return false;
        }
        self.counts.wipes += 1;
        self.hosts[host].life = None;
        self.hosts[host].disk.wipe();
        if self.planted != PlantedFault::KeptStoreId {
            self.hosts[host].identity.store = ids::StoreId(self.next_store);
            self.next_store += 1;
        }
        true
    }

    fn survives_without(&self, lost: usize) -> bool {
        let live: Vec<_> = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(position, host)| *position != lost && host.life.is_some())
            .collect();
        let identities: BTreeSet<_> = live.iter().map(|(_, host)| host.identity).collect();
        let lives = live.iter().filter_map(|(_, host)| host.life.as_ref());
        let recent = self.proposed.iter();
        let recent = recent.filter(|(at, _)| *at + MESSAGE_LIFE > self.now);
        let recent = recent.map(|(_, members)| members);
        let mut views = lives.map(|life| life.node.members()).chain(recent);
        let kept = |members: &members::Membership| {
            let kept = members.voters().filter(|voter| identities.contains(voter));
            kept.count() >= members.quorum()
        };
        // Every other host must be up, so that each membership in use is seen; one that has yet
        // to join has none.
        live.len() + 1 >= self.hosts.len()
            && views.clone().any(|members| !members.is_empty())
            && views.all(|members| members.is_empty() || kept(members))
    }

    /// Makes a disk fail at the sync after some successful ones, or when it is full.
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

    pub(crate) fn isolate(&mut self, host: usize) {
        for other in 0..self.hosts.len() {
            self.cuts.insert((host, other));
            self.cuts.insert((other, host));
        }
    }

    fn clock(&self, host: usize) -> Duration {
        let started = self.hosts[host]
            .life
            .as_ref()
            .map_or(self.now, |life| life.started);
        (self.now - started) * self.hosts[host].clock_rate / 1000
    }

    fn violate(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    /// Runs for some ticks, or until a promise is broken.
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
                    self.turn(host);
                }
            }
        }
    }

    fn is_running(&self, host: usize) -> bool {
        self.hosts[host].life.is_some() && self.hosts[host].paused_until <= self.now
    }

    fn with_node<T>(
        &mut self,
        host: usize,
        action: impl FnOnce(&mut node::QuorumNode) -> T,
    ) -> Option<T> {
        let life = self.hosts[host].life.as_mut()?;
        Some(action(&mut life.node))
    }

    fn deliver(&mut self) {
        let later = self.network.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.network, later);
        for (_, (from, to, payload)) in due {
            if !self.is_running(to) {
                // A paused process finds the message in its socket later; a dead one never does.
                if self.hosts[to].life.is_some() {
                    let at = self.hosts[to].paused_until + TICK;
                    self.sent += 1;
                    self.network.insert((at, self.sent), (from, to, payload));
                }
                continue;
            }
            let message = messages::decode(payload).expect("a sent message can be read");
            let clock = self.clock(to);
            let member = self.hosts[from].member;
            self.with_node(to, |node| node.receive(clock, member, message).ok());
            self.turn(to);
        }
    }

    fn send(&mut self, from: usize, message: &ready::OutgoingMessage) {
        let position = self.hosts.iter().position(|host| host.member == message.to);
        let Some(to) = position.filter(|to| !self.cuts.contains(&(from, *to))) else {
            return;
        };
        let percent = |random: &mut rngs::StdRng, share| random.random_range(0..100) < share;
        if percent(&mut self.random, self.faults.lost) {
            return;
        }
        let copies = 1 + u32::from(percent(&mut self.random, self.faults.doubled));
        for _ in 0..copies {
            let late = percent(&mut self.random, self.faults.late);
            let delay = self.random.random_range(1..if late { 1000 } else { 25 });
            let at = self.now + Duration::from_millis(delay);
            self.sent += 1;
            let payload = messages::encode(&message.message);
            self.network.insert((at, self.sent), (from, to, payload));
        }
    }

    /// Carries out what the node of a host asks for.
    fn turn(&mut self, host: usize) {
        self.carry_out_writes(host);
        for _ in 0..8 {
            let Some(ready) = self.with_node(host, node::QuorumNode::take_ready) else {
                return;
            };
            if ready.is_empty() {
                return;
            }
            self.take(host, ready);
            self.carry_out_writes(host);
        }
    }

    fn take(&mut self, host: usize, ready: ready::Ready) {
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
            let most = self.hosts[host].write_delay;
            let delay = most.mul_f64(self.random.random_range(0.0..=1.0));
            let due = self.now + delay;
            let sequence = batch.sequence;
            if let Some(life) = &mut self.hosts[host].life {
                life.writes.push_back((due, batch));
            }
            if self.planted == PlantedFault::EarlyReports {
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

    fn carry_out_writes(&mut self, host: usize) {
        let now = self.now;
        let Some(life) = &mut self.hosts[host].life else {
            return;
        };
        while let Some((_, batch)) = life.writes.pop_front_if(|(due, _)| *due <= now) {
            if life.store.write(&batch).is_ok() {
                life.node.persisted(batch.sequence);
            } else {
                self.counts.halts += 1;
                life.node.storage_failed();
                life.writes.clear();
            }
        }
    }

    fn check_leader(&mut self, host: usize, term: u64) {
        let identity = self.hosts[host].identity;
        self.counts.leaders += 1;
        let first = *self.leaders.entry(term).or_insert(identity);
        if first != identity {
            self.violate(format!(
                "term {term} has two leaders: {first} and {identity}"
            ));
        }
    }

    fn check_install(&mut self, host: usize, snapshot: &ready::Snapshot) {
        self.counts.installs += 1;
        let state = snapshot_state(&snapshot.data);
        let known = self.chain.get(&snapshot.index);
        if known.is_some_and(|(term, known)| (*term, *known) != (snapshot.term, state)) {
            let index = snapshot.index;
            self.violate(format!("host {host} installs another state at {index}"));
        }
        if let Some(life) = &mut self.hosts[host].life {
            life.state = state;
            life.applied = snapshot.index;
        }
    }

    fn apply(&mut self, host: usize, entry: &messages::LogEntry) {
        let Some(life) = &mut self.hosts[host].life else {
            return;
        };
        let gap = entry.index != life.applied + 1;
        life.applied = entry.index;
        life.state = link(life.state, entry);
        let state = life.state;
        let id = units::ProposalId {
            term: entry.term,
            index: entry.index,
        };
        let own = life.proposals.remove(&id);
        let known = *self.chain.entry(entry.index).or_insert((entry.term, state));
        if gap || known != (entry.term, state) {
            let index = entry.index;
            self.violate(format!("host {host} applies another entry at {index}"));
        }
        if own {
            self.acknowledged = self.acknowledged.max(entry.index);
            self.counts.commands += 1;
        }
    }

    fn check_read(&mut self, host: usize, read: ready::ConfirmedRead) {
        self.counts.reads += 1;
        let life = self.hosts[host].life.as_mut();
        let needed = life.and_then(|life| life.reads.remove(&read.token.0));
        if needed.is_none_or(|needed| read.index < needed) {
            let index = read.index;
            self.violate(format!(
                "host {host} confirms a read at {index}, needs {needed:?}"
            ));
        }
    }
}
