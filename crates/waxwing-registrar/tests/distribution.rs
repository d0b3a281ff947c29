//! How deployments reach entries: the histories of several control hosts and the fetcher of one
//! entry, over simulated links with a delay and a shared rate. No network and no clock.

use std::{
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use bytes::Bytes;
use test_case::test_case;
use waxwing_gate::fetches;
use waxwing_registrar::{documents, history};
use waxwing_wire::messages;

/// Control hosts of the simulated fleet.
const HOSTS: u8 = 5;

/// The time in which a change must be in force: the users' `config_apply_ms` on grown sites.
const APPLY_LIMIT: Duration = Duration::from_millis(2_500);

/// Rate of the slowest entry's link in bytes per millisecond: 22 Mbit/s.
const LINK_RATE: u64 = 22_000_000 / 8 / 1_000;

/// Time that a message takes in one direction besides its transfer.
const LINK_DELAY: Duration = Duration::from_millis(2);

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(1);

fn control(number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, number), 7160))
}

/// A document with this many routes whose bytes depend on the version and on `changed`.
fn document(version: u64, routes: usize, changed: usize) -> documents::StoredDocument {
    let mut body = format!("{{\"version\":{version},\"routes\":[");
    for number in 0..routes {
        let timeout = if number == changed {
            9_000 + version % 1_000
        } else {
            8_000
        };
        let name = number.wrapping_mul(0x9e37_79b9) % 1_000_003;
        body.push_str(&format!(
            "{{\"name\":\"r-{name}\",\"hostname\":\"h.example\",\"path_prefix\":\"/p{name}/\",\
             \"timeout_ms\":{timeout},\"priority\":0,\"backend\":\"service\"}},"
        ));
    }
    body.push_str("]}");
    documents::StoredDocument {
        version,
        body: Bytes::from(body),
    }
}

struct SimulatedHost {
    history: history::DeploymentHistory,
    /// Whether the host answers; an unreachable one loses what it is sent.
    is_reachable: bool,
}

/// A message on its way to or from the entry.
struct MovingMessage {
    due: Instant,
    host: u8,
    body: messages::Body,
}

/// One entry and its control hosts.
struct Distribution {
    now: Instant,
    hosts: Vec<SimulatedHost>,
    fetcher: fetches::DeploymentFetcher,
    to_hosts: VecDeque<MovingMessage>,
    to_entry: VecDeque<MovingMessage>,
    /// Rate of the entry's link in bytes per millisecond.
    link_rate: u64,
    /// When the entry's link has transferred everything that is queued on it.
    link_free: Instant,
    received_bytes: u64,
    /// Chunks that are lost before one arrives.
    lost_chunks: u32,
}

impl Distribution {
    fn start() -> Self {
        let now = Instant::now();
        let hosts = (0..HOSTS).map(|_| SimulatedHost {
            history: history::DeploymentHistory::default(),
            is_reachable: true,
        });
        Self {
            now,
            hosts: hosts.collect(),
            fetcher: fetches::DeploymentFetcher::new(control(99)),
            to_hosts: VecDeque::new(),
            to_entry: VecDeque::new(),
            link_rate: LINK_RATE,
            link_free: now,
            received_bytes: 0,
            lost_chunks: 0,
        }
    }

    /// Commits a document at some hosts; they announce it.
    fn commit(&mut self, hosts: impl IntoIterator<Item = u8>, stored: &documents::StoredDocument) {
        for host in hosts {
            self.hosts[usize::from(host)].history.record(stored);
            self.announce(host, false);
        }
    }

    fn announce(&mut self, host: u8, confirmed: bool) {
        let history = &self.hosts[usize::from(host)].history;
        let body = messages::Body::DeploymentVersion(history.announcement(confirmed));
        self.send_to_entry(host, body);
    }

    fn send_to_entry(&mut self, host: u8, body: messages::Body) {
        let bytes = body.encoded_len() as u64;
        self.received_bytes += bytes;
        let transfer = Duration::from_micros(bytes * 1_000 / self.link_rate);
        self.link_free = self.link_free.max(self.now) + transfer;
        self.to_entry.push_back(MovingMessage {
            due: self.link_free + LINK_DELAY,
            host,
            body,
        });
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        while self
            .to_hosts
            .front()
            .is_some_and(|moving| moving.due <= now)
        {
            let MovingMessage { host, body, .. } = self.to_hosts.pop_front().unwrap();
            let messages::Body::FetchDeployment(fetch) = body else {
                unreachable!("entries send nothing else here");
            };
            let state = &mut self.hosts[usize::from(host)];
            let chunk = match state.is_reachable {
                true => state.history.chunk(&fetch).unwrap(),
                false => None,
            };
            match chunk {
                Some(_) if self.lost_chunks > 0 => self.lost_chunks -= 1,
                Some(chunk) => self.send_to_entry(host, messages::Body::DeploymentChunk(chunk)),
                None => {}
            }
        }
        while self
            .to_entry
            .front()
            .is_some_and(|moving| moving.due <= now)
        {
            let MovingMessage { host, body, .. } = self.to_entry.pop_front().unwrap();
            match body {
                messages::Body::DeploymentVersion(offer) => {
                    self.fetcher.offer(now, control(host), offer);
                }
                messages::Body::DeploymentChunk(chunk) => {
                    let effect = self.fetcher.receive(now, control(host), chunk);
                    if let fetches::ChunkEffect::Complete(document) = effect {
                        self.fetcher.hold(now, document.version, document.body);
                    }
                }
                _ => unreachable!("hosts send nothing else here"),
            }
        }
        if let Some(order) = self.fetcher.next_order(now) {
            let host = (0..HOSTS).find(|host| control(*host) == order.control);
            self.to_hosts.push_back(MovingMessage {
                due: now + LINK_DELAY,
                host: host.unwrap(),
                body: messages::Body::FetchDeployment(order.fetch),
            });
        }
    }

    /// Runs until the entry holds `version`; returns the time that it took.
    fn await_version(&mut self, version: u64) -> Duration {
        let start = self.now;
        while self.fetcher.held_version() < Some(version) {
            self.step();
            let took = self.now - start;
            assert!(
                took < Duration::from_secs(60),
                "version {version} never came"
            );
        }
        self.now - start
    }
}

/// Guards against the grown document incident: a document of 8,000 routes, and small changes after
/// it, must be in force in time over the link of one entry, and cost one copy at the most.
#[test]
fn grown_document_and_changes_to_it_are_in_force_in_time() {
    let mut distribution = Distribution::start();
    distribution.commit(0..HOSTS, &document(1, 20, 0));
    distribution.await_version(1);
    let before = distribution.received_bytes;
    let grown = document(2, 8_000, 0);
    distribution.commit(0..HOSTS, &grown);
    assert!(distribution.await_version(2) <= APPLY_LIMIT);
    let cost = distribution.received_bytes - before;
    assert!(cost <= grown.body.len() as u64, "{cost} bytes");
    for version in 3..20 {
        let before = distribution.received_bytes;
        distribution.commit(0..HOSTS, &document(version, 8_000, 400));
        assert!(distribution.await_version(version) <= APPLY_LIMIT);
        let cost = distribution.received_bytes - before;
        // 25 KB/s a node at the target, with 14,000 changes a day.
        assert!(cost <= 25_000 * 86_400 / 14_000, "{cost} bytes");
    }
}

/// Guards against an entry that stays behind when a message is lost.
#[test]
fn lost_chunk_is_asked_for_again() {
    let mut distribution = Distribution::start();
    distribution.commit(0..HOSTS, &document(1, 8_000, 0));
    distribution.lost_chunks = 2;
    assert!(distribution.await_version(1) <= APPLY_LIMIT);
}

/// Guards against a transfer that starts over, or never ends, when its host is lost.
#[test]
fn transfer_goes_on_at_another_host() {
    let mut distribution = Distribution::start();
    let grown = document(1, 20_000, 0);
    distribution.commit(0..HOSTS, &grown);
    while distribution.to_hosts.is_empty() {
        distribution.step();
    }
    let sender = distribution.to_hosts[0].host;
    // The host is lost after its first chunk.
    while !distribution.to_hosts.is_empty() {
        distribution.step();
    }
    let before = distribution.received_bytes;
    distribution.hosts[usize::from(sender)].is_reachable = false;
    assert!(distribution.await_version(1) <= APPLY_LIMIT);
    let cost = distribution.received_bytes - before;
    let whole = waxwing_fleet::patches::create(&[], &grown.body).unwrap();
    // The chunks have headers.
    assert!(cost <= whole.len() as u64 * 101 / 100, "{cost} bytes");
}

/// Guards against an entry that asks a host which doesn't hold the newest version yet.
#[test]
fn hosts_that_are_behind_are_passed_over() {
    for newest in 0..HOSTS {
        let mut distribution = Distribution::start();
        distribution.commit(0..HOSTS, &document(1, 100, 0));
        distribution.await_version(1);
        distribution.commit([newest], &document(2, 100, 7));
        assert!(distribution.await_version(2) <= APPLY_LIMIT);
    }
}

/// Guards against a series of changes that starves a slow transfer by interrupting it.
#[test]
fn series_of_changes_does_not_starve_the_transfer() {
    let mut distribution = Distribution::start();
    // A transfer takes several times as long as the time between two changes.
    distribution.link_rate = 200;
    distribution.commit(0..HOSTS, &document(1, 8_000, 0));
    let start = distribution.now;
    let (mut version, mut first_held) = (1, None);
    while distribution.now - start < Duration::from_secs(2) {
        distribution.step();
        if (distribution.now - start).as_millis().is_multiple_of(100) {
            version += 1;
            distribution.commit(0..HOSTS, &document(version, 8_000, 9));
        }
        if distribution.fetcher.held_version().is_some() {
            first_held.get_or_insert(distribution.now - start);
        }
    }
    assert!(first_held.is_some(), "no version came");
    assert!(distribution.await_version(version) <= APPLY_LIMIT);
}

/// Guards against an entry that is ready with a version of a host that is behind.
#[test]
fn entry_is_confirmed_only_with_the_version_that_a_quorum_confirmed() {
    let mut distribution = Distribution::start();
    distribution.commit([0, 1], &document(1, 20, 0));
    distribution.await_version(1);
    assert!(!distribution.fetcher.is_confirmed());
    distribution.commit([4], &document(2, 20, 0));
    distribution.announce(4, true);
    while distribution.fetcher.held_version() < Some(2) {
        assert!(!distribution.fetcher.is_confirmed());
        distribution.step();
    }
    for _ in 0..100 {
        distribution.step();
    }
    assert!(distribution.fetcher.is_confirmed());
}

/// Guards against a first deployment that no entry fetches, since its version stands for none: all
/// requests were refused (`review/13`).
#[test_case(0; "version 0")]
#[test_case(u64::MAX - 1; "the highest versions")]
fn first_deployment_is_in_force_whatever_its_version(first: u64) {
    let mut distribution = Distribution::start();
    // A host without a deployment confirms nothing.
    distribution.announce(0, true);
    for _ in 0..100 {
        distribution.step();
    }
    assert_eq!(distribution.fetcher.held_version(), None);
    assert!(!distribution.fetcher.is_confirmed());
    distribution.commit(0..HOSTS, &document(first, 100, 0));
    distribution.announce(0, true);
    assert!(distribution.await_version(first) <= APPLY_LIMIT);
    assert_eq!(distribution.fetcher.held_version(), Some(first));
    assert!(distribution.fetcher.is_confirmed());
    distribution.commit(0..HOSTS, &document(first + 1, 100, 0));
    assert!(distribution.await_version(first + 1) <= APPLY_LIMIT);
}

/// Guards against a change to version 0 that costs the whole document again.
#[test]
fn patches_build_on_version_0() {
    let mut distribution = Distribution::start();
    distribution.commit(0..HOSTS, &document(0, 8_000, 0));
    distribution.await_version(0);
    let before = distribution.received_bytes;
    distribution.commit(0..HOSTS, &document(1, 8_000, 400));
    distribution.await_version(1);
    let cost = distribution.received_bytes - before;
    // 25 KB/s a node at the target, with 14,000 changes a day.
    assert!(cost <= 25_000 * 86_400 / 14_000, "{cost} bytes");
}

/// Guards against an entry that keeps asking for a version that it can't read.
#[test]
fn unreadable_version_is_fetched_once() {
    let now = Instant::now();
    let mut fetcher = fetches::DeploymentFetcher::new(control(99));
    let offer = |version| messages::DeploymentVersion {
        version: Some(version),
        confirmed: false,
    };
    fetcher.offer(now, control(0), offer(3));
    assert!(fetcher.next_order(now).is_some());
    fetcher.forget(control(0));
    assert!(fetcher.next_order(now).is_none());
    fetcher.refuse(3);
    fetcher.offer(now, control(0), offer(3));
    assert!(fetcher.next_order(now).is_none());
    fetcher.offer(now, control(0), offer(4));
    assert!(fetcher.next_order(now).is_some());
}

/// Guards against a transfer that starts over because a chunk arrives twice.
#[test]
fn repeated_first_chunk_does_not_restart_the_transfer() {
    let now = Instant::now();
    let mut history = history::DeploymentHistory::default();
    history.record(&document(1, 20_000, 0));
    let mut fetcher = fetches::DeploymentFetcher::new(control(99));
    fetcher.offer(now, control(0), history.announcement(false));
    let first = fetcher.next_order(now).expect("a request");
    let chunk = history.chunk(&first.fetch).unwrap().expect("a chunk");
    let effect = fetcher.receive(now, control(0), chunk.clone());
    assert_eq!(effect, fetches::ChunkEffect::Added);
    let effect = fetcher.receive(now, control(0), chunk.clone());
    assert_eq!(effect, fetches::ChunkEffect::Ignored);
    let second = fetcher.next_order(now).expect("a request");
    assert_eq!(second.fetch.offset, chunk.data.len() as u64);
}
