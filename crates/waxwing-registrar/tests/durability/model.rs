//! Control hosts with the real replica and store on in-memory disks, under a simulated network and
//! simulated clocks, and operators that check every answer.

mod calls;
mod faults;
mod links;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net,
    time::{Duration, Instant},
};

use bytes::Bytes;
use rand::{RngExt as _, SeedableRng as _, rngs};
use waxwing_core::{ids, units as core_units};
use waxwing_fleet::hosts;
use waxwing_quorum::{messages, ready};
use waxwing_registrar::{repair, replica};
use waxwing_store::{errors, memory, store};

pub(crate) const TICK: Duration = Duration::from_millis(5);

/// Time for which all hosts must have run undisturbed after a disk was lost before another one may
/// be lost, as operators plan it.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Pause after a storage failure before a host opens its log again.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

const LINK_PORT: u16 = 7000;

/// The hosts that found the fleet.
const FOUNDERS: usize = 3;

/// How long a host stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HostStop {
    /// The processes stop and their steady clock goes on, as under SIGSTOP.
    Freeze,
    /// The machine is suspended; its steady clock doesn't count the time.
    Suspend,
}

/// What happens to messages on blocked links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CutMode {
    Lose,
    /// They arrive once the link is healed.
    Hold,
}

struct HostProcess {
    /// The control hosts that others report.
    reported: hosts::HostTable,
    /// The hosts to which it has a link.
    linked: BTreeSet<usize>,
    replica: replica::DeploymentReplica<u64>,
    store: store::LogStore<memory::MemoryDisk>,
    /// The host's steady clock at the start of the process.
    started: Duration,
    writes: VecDeque<(Duration, ready::WriteBatch)>,
}

struct ControlHost {
    address: net::SocketAddr,
    /// The hosts in its settings, which are all that it knows of others at its start.
    seeds: BTreeSet<usize>,
    founder: bool,
    disk: memory::MemoryDisk,
    process: Option<HostProcess>,
    restart_at: Option<Duration>,
    /// How the host is stopped, and until when.
    stopped: Option<(HostStop, Duration)>,
    /// Time that the steady clock hasn't counted.
    uncounted: Duration,
    /// Whether the host was taken away for good.
    removed: bool,
    /// The longest time from a write to its sync.
    write_delay: Duration,
}

/// What a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    /// To store this version.
    Put(u64),
    /// To record that this endpoint has left.
    Depart(u64),
    /// To start the roll-out of the service with this number.
    Order(u64),
}

/// A call that is not answered yet.
struct OpenCall {
    kind: CallKind,
    /// The newest version that had been acknowledged or read when the call was sent, if any.
    floor: Option<u64>,
    /// The number of departures that had been acknowledged then.
    departed: usize,
    /// The number of orders of roll-outs that had been acknowledged then.
    ordered: usize,
}

/// Counts of what a run has exercised.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunCounts {
    pub(crate) acknowledged: u64,
    pub(crate) reads: u64,
    pub(crate) departures: u64,
    pub(crate) orders: u64,
    pub(crate) leaders: u64,
    pub(crate) wipes: u64,
    pub(crate) suspensions: u64,
}

pub(crate) struct ControlModel {
    /// The start of the model, for code that takes instants.
    epoch: Instant,
    pub(crate) now: Duration,
    /// When the links of the hosts are next brought up to date.
    next_links: Duration,
    pub(crate) random: rngs::StdRng,
    hosts: Vec<ControlHost>,
    /// Messages on their way as sender, receiver and payload, by arrival time and number.
    network: BTreeMap<(Duration, u64), (usize, usize, Bytes)>,
    last_message: u64,
    /// Blocked links, as pairs of sender and receiver.
    blocked: BTreeSet<(usize, usize)>,
    cut_mode: CutMode,
    /// Messages that wait for their link to be healed.
    held: Vec<(usize, usize, Bytes)>,
    /// Calls that are not answered yet, by ticket.
    calls: BTreeMap<u64, OpenCall>,
    last_ticket: u64,
    next_version: u64,
    /// The versions that were sent.
    sent: Vec<u64>,
    next_endpoint: u64,
    /// The endpoints whose departure was acknowledged.
    departed: Vec<u64>,
    last_service: u64,
    /// The services whose roll-out was acknowledged.
    ordered: Vec<u64>,
    /// The newest version that was acknowledged or read, if any.
    newest: Option<u64>,
    /// The disks that may be lost at a time.
    tolerated_disks: usize,
    /// The disks that are lost, until all hosts have run undisturbed for [`CATCH_UP`].
    lost_disks: usize,
    calm_since: Duration,
    /// The leader of each term.
    leaders: BTreeMap<u64, usize>,
    pub(crate) counts: RunCounts,
    /// The first broken promise.
    pub(crate) violation: Option<String>,
}

fn host_address(host: usize) -> net::SocketAddr {
    let last = u8::try_from(host + 1).expect("a model has few hosts");
    net::SocketAddr::new(net::Ipv4Addr::new(10, 0, 0, last).into(), LINK_PORT)
}

fn member(host: usize) -> ids::MemberId {
    repair::member_id(host_address(host)).expect("an IPv4 address")
}

/// The versions that operators begin with: both ends of the range, and the end of the signed one.
const FIRST_VERSIONS: [u64; 4] = [
    0,
    1,
    i64::MAX.unsigned_abs() - 2,
    u64::MAX - MAX_SENT_VERSIONS,
];

/// More versions than an operator sends in a run.
const MAX_SENT_VERSIONS: u64 = 100_000;

/// Returns the version that the operator of a run begins with. It uses no random number, so that the
/// schedules of the seeds stay as they are.
const fn first_version(seed: u64) -> u64 {
    FIRST_VERSIONS[(seed % FIRST_VERSIONS.len() as u64) as usize]
}

fn body(version: u64) -> Bytes {
    Bytes::from(format!("document {version}").into_bytes())
}

fn replica_options(tolerated_losses: usize) -> replica::ReplicaOptions {
    replica::ReplicaOptions {
        tolerated_losses: u32::try_from(tolerated_losses).expect("a small number"),
        // Small enough that compaction and snapshots happen many times in a run.
        snapshot_bytes: core_units::ByteCount(600),
        node: waxwing_quorum::options::NodeOptions {
            retained_entries: 6,
            snapshot_chunk_bytes: core_units::ByteCount(16),
            ..replica::ReplicaOptions::default().node
        },
    }
}

impl ControlModel {
    /// Starts a fleet of `hosts`, three of which found it.
    pub(crate) fn new(seed: u64, hosts: usize, tolerated_disks: usize) -> Self {
        let mut model = Self {
            epoch: Instant::now(),
            now: Duration::ZERO,
            next_links: Duration::ZERO,
            random: rngs::StdRng::seed_from_u64(seed),
            hosts: Vec::new(),
            network: BTreeMap::new(),
            last_message: 0,
            blocked: BTreeSet::new(),
            cut_mode: CutMode::Lose,
            held: Vec::new(),
            calls: BTreeMap::new(),
            last_ticket: 0,
            next_version: first_version(seed),
            sent: Vec::new(),
            next_endpoint: 0,
            departed: Vec::new(),
            last_service: 0,
            ordered: Vec::new(),
            newest: None,
            calm_since: Duration::ZERO,
            tolerated_disks,
            lost_disks: 0,
            leaders: BTreeMap::new(),
            counts: RunCounts::default(),
            violation: None,
        };
        for host in 0..hosts {
            model.add_host(host < FOUNDERS, (0..FOUNDERS).collect());
        }
        model
    }

    /// Adds a host with these seeds in its settings.
    fn add_host(&mut self, founder: bool, seeds: BTreeSet<usize>) -> usize {
        let host = self.hosts.len();
        self.hosts.push(ControlHost {
            address: host_address(host),
            seeds,
            founder,
            disk: memory::MemoryDisk::new(),
            process: None,
            restart_at: None,
            stopped: None,
            uncounted: Duration::ZERO,
            removed: false,
            write_delay: Duration::ZERO,
        });
        self.start(host);
        host
    }

    /// Opens the data folder and starts the process, as a control host does.
    fn start(&mut self, host: usize) {
        let founder = self.hosts[host].founder;
        let new_store = if founder {
            repair::founding_identity(member(host)).store
        } else {
            ids::StoreId(self.random.random())
        };
        let options = store::StoreOptions {
            segment_bytes: core_units::ByteCount(700),
        };
        let disk = self.hosts[host].disk.clone();
        let opened = store::LogStore::open(disk, member(host), new_store, options);
        let (mut store, mut recovered) = match opened {
            Ok(opened) => opened,
            // A control host tries again after a pause.
            Err(errors::StoreError::Io { .. }) => {
                return self.kill(host, false, REOPEN_PAUSE);
            }
            Err(error) => {
                return self.report(format!("host {host} can't open its folder: {error}"));
            }
        };
        if founder && store.is_fresh() {
            let founders: Vec<_> = (0..FOUNDERS)
                .map(|host| repair::founding_identity(member(host)))
                .collect();
            let snapshot = replica::founding_snapshot(&founders);
            recovered = store.bootstrap(snapshot).expect("a new disk is writable");
        }
        let seed = self.random.random();
        let identity = store.identity();
        let replica = replica::DeploymentReplica::new(
            identity,
            replica_options(self.tolerated_disks),
            recovered,
            seed,
        )
        .expect("a recovered state is valid");
        let started = self.steady(host);
        self.hosts[host].process = Some(HostProcess {
            reported: hosts::HostTable::default(),
            linked: BTreeSet::new(),
            replica,
            store,
            started,
            writes: VecDeque::new(),
        });
    }

    pub(crate) fn report(&mut self, text: String) {
        let at = self.now;
        self.violation.get_or_insert(format!("{at:?}: {text}"));
    }

    pub(crate) fn size(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the hosts that were not taken away.
    pub(crate) fn present(&self) -> Vec<usize> {
        (0..self.size())
            .filter(|host| !self.hosts[*host].removed)
            .collect()
    }

    fn steady(&self, host: usize) -> Duration {
        self.now - self.hosts[host].uncounted
    }

    fn elapsed(&self, host: usize) -> Duration {
        let started = self.hosts[host].process.as_ref();
        let started = started.map_or(Duration::ZERO, |process| process.started);
        self.steady(host).saturating_sub(started)
    }

    fn runs(&self, host: usize) -> bool {
        self.hosts[host].process.is_some() && self.hosts[host].stopped.is_none()
    }

    /// Returns the running host that leads in the highest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let term = |host: &usize| {
            let process = self.hosts[*host].process.as_ref()?;
            process
                .replica
                .leads()
                .then(|| process.replica.node().status().term)
        };
        (0..self.size())
            .filter(|host| term(host).is_some())
            .max_by_key(term)
    }

    /// Runs for `time`, or until a violation; `load` sends calls at each tick.
    pub(crate) fn run(&mut self, time: Duration, load: fn(&mut Self)) {
        let end = self.now + time;
        while self.now < end && self.violation.is_none() {
            self.now += TICK;
            for host in 0..self.size() {
                self.resume(host);
            }
            // Calls come before messages, as they may at a host that has just woken up.
            load(self);
            self.update_links();
            self.deliver();
            for host in 0..self.size() {
                self.tick(host);
            }
            self.watch_calm();
        }
    }

    fn resume(&mut self, host: usize) {
        let now = self.now;
        let resumed = &mut self.hosts[host];
        if resumed.restart_at.is_some_and(|at| at <= now) {
            resumed.restart_at = None;
            self.start(host);
            return;
        }
        let Some((stop, until)) = resumed.stopped else {
            return;
        };
        if stop == HostStop::Suspend {
            resumed.uncounted += TICK;
        }
        if until <= now {
            resumed.stopped = None;
        }
    }

    fn watch_calm(&mut self) {
        let undisturbed = |host: &ControlHost| {
            host.removed
                || (host.process.is_some()
                    && host.stopped.is_none()
                    && host.write_delay < Duration::from_millis(50))
        };
        if !self.blocked.is_empty() || !self.hosts.iter().all(undisturbed) {
            self.calm_since = self.now;
        } else if self.now - self.calm_since >= CATCH_UP {
            self.lost_disks = 0;
        }
    }

    fn tick(&mut self, host: usize) {
        if !self.runs(host) {
            return;
        }
        let now = self.elapsed(host);
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        let joins = process.replica.tick(now).then(|| process.store.identity());
        self.drive(host);
        if let Some(identity) = joins {
            for other in self.linked(host) {
                if let Some(process) = &mut self.hosts[other].process {
                    process.replica.join(identity);
                    self.drive(other);
                }
            }
        }
    }

    fn queue(&mut self, from: usize, to: usize, payload: Bytes) {
        let delay = Duration::from_micros(self.random.random_range(500..6_000));
        self.last_message += 1;
        let key = (self.now + delay, self.last_message);
        self.network.insert(key, (from, to, payload));
    }

    fn deliver(&mut self) {
        let later = self.network.split_off(&(self.now, u64::MAX));
        for ((_, number), (from, to, payload)) in std::mem::replace(&mut self.network, later) {
            if self.hosts[to].stopped.is_some() {
                // The messages wait in the socket of a stopped host.
                let key = (self.now + TICK, number);
                self.network.insert(key, (from, to, payload));
                continue;
            }
            let now = self.elapsed(to);
            if let Some(process) = &mut self.hosts[to].process {
                // An ignored message is like a lost one.
                let _ = process.replica.receive(now, member(from), payload);
                self.drive(to);
            }
        }
    }

    fn send(&mut self, from: usize, message: &ready::OutgoingMessage) {
        let address = repair::link_address(message.to);
        let Some(to) = self.hosts.iter().position(|host| host.address == address) else {
            return;
        };
        let payload = messages::encode(&message.message);
        if !self.blocked.contains(&(from, to)) {
            self.queue(from, to, payload);
        } else if self.cut_mode == CutMode::Hold {
            self.held.push((from, to, payload));
        }
    }

    /// Performs what the replica of a host requests, until nothing is left.
    fn drive(&mut self, host: usize) {
        for _ in 0..16 {
            self.write_due_batches(host);
            let Some(process) = &mut self.hosts[host].process else {
                return;
            };
            let ready = process.replica.node_mut().take_ready();
            let outcomes = process.replica.take_outcomes();
            if ready.is_empty() && outcomes.is_empty() {
                return;
            }
            for (ticket, outcome) in outcomes {
                self.check_outcome(host, ticket, &outcome);
            }
            self.execute(host, ready);
        }
    }

    fn execute(&mut self, host: usize, ready: ready::Ready) {
        for message in &ready.messages {
            self.send(host, message);
        }
        let elapsed = self.elapsed(host);
        let delay = self.hosts[host].write_delay;
        let due = self.now + delay.mul_f64(self.random.random_range(0.0..=1.0));
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        if let Some(batch) = ready.writes {
            process.writes.push_back((due, batch));
        }
        if let Some(snapshot) = &ready.install {
            process.replica.install(snapshot);
        }
        if !ready.committed.is_empty() {
            process.replica.apply(&ready.committed);
        }
        process
            .replica
            .answer_reads(ready.reads, ready.failed_reads);
        if let Some(role) = &ready.role {
            process.replica.change_role(elapsed, role);
            if role.role == ready::NodeRole::Leader {
                self.counts.leaders += 1;
                let first = *self.leaders.entry(role.term).or_insert(host);
                if first != host {
                    let term = role.term;
                    self.report(format!("hosts {first} and {host} lead in term {term}"));
                }
            }
        }
    }

    fn write_due_batches(&mut self, host: usize) {
        let now = self.now;
        let mut failed = false;
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        while let Some((_, batch)) = process.writes.pop_front_if(|(due, _)| *due <= now) {
            if process.store.write(&batch).is_ok() {
                process.replica.node_mut().persisted(batch.sequence);
            } else {
                failed = true;
                break;
            }
        }
        if failed {
            // A control host closes its log and opens it again.
            self.kill(host, false, REOPEN_PAUSE);
        }
    }
}
