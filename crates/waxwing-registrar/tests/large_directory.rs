//! How entries learn of thousands of endpoints: the directories of five control hosts and the fetcher
//! of one entry, with the bytes that its link carries. No network and no clock.

use std::{
    collections::HashSet,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use prost::Message as _;
use test_case::test_case;
use waxwing_fleet::{
    patches,
    registry::EndpointRegistry,
    summaries::{DirectorySummary, NoticeDigest},
};
use waxwing_gate::directories::DirectoryFetcher;
use waxwing_registrar::directory::EndpointDirectory;
use waxwing_wire::messages::{EndpointNotice, EndpointNotices, EndpointPhase, NoticeGroups};

/// Control hosts of the fleet.
const HOSTS: u8 = 5;

/// Endpoints of the day at 300 machines.
const ENDPOINTS: usize = 3_000;

/// Bytes a second of the slowest entry's link: 10 Mbit/s.
const LINK_RATE: usize = 10_000_000 / 8;

/// Time between two notices of an endpoint.
const NOTICE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time after which both ends of a silent link close it.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_200);

fn control(number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, number), 7160))
}

fn notice(number: usize, sequence: u64) -> EndpointNotice {
    EndpointNotice {
        id: format!(
            "model-runner-{number}-{:x}",
            number * 0x9e37_79b9 % 0xf_ffff
        ),
        service: "model".to_owned(),
        address: format!("10.1.{}.{}:9000", number / 250, number % 250),
        data_centre: format!("city-{}", number % 4),
        slots: 12,
        phase: EndpointPhase::Ready.into(),
        born: Some(1_800_000_000_000 + number as u64 * 7),
        sequence,
        version: "1.4.2".to_owned(),
        ..EndpointNotice::default()
    }
}

/// Control hosts that know all endpoints, of which each sends its notices to one of them.
fn hosts(now: Instant) -> Vec<EndpointDirectory> {
    let mut hosts: Vec<EndpointDirectory> = (0..HOSTS).map(|_| Default::default()).collect();
    for (index, host) in hosts.iter_mut().enumerate() {
        host.learn(&[], true);
        for number in 0..ENDPOINTS {
            let notice = notice(number, 5);
            if number % usize::from(HOSTS) == index {
                host.observe(notice, now);
            } else {
                let notices = vec![notice];
                host.observe_relayed(EndpointNotices { notices }, now);
            }
        }
    }
    hosts
}

/// An entry and the bytes that its link has carried to it.
struct SimulatedEntry {
    registry: EndpointRegistry,
    fetcher: DirectoryFetcher,
    bytes: usize,
    largest: usize,
}

impl SimulatedEntry {
    fn new() -> Self {
        Self {
            registry: EndpointRegistry::default(),
            fetcher: DirectoryFetcher::new(SocketAddr::from((Ipv4Addr::new(10, 2, 0, 1), 7160))),
            bytes: 0,
            largest: 0,
        }
    }

    fn count(&mut self, message: &impl prost::Message) {
        self.bytes += message.encoded_len();
        self.largest = self.largest.max(message.encoded_len());
    }

    /// A link to a host opens.
    fn link(&mut self, number: u8, host: &EndpointDirectory) {
        let summary = host.summary().unwrap();
        self.count(&summary);
        let summary = DirectorySummary::from_message(summary).unwrap();
        self.fetcher.offer(control(number), summary);
    }

    /// Asks one host, or waits until one may be asked. Returns false if nothing is left to ask for.
    fn step(&mut self, hosts: &[EndpointDirectory], silent: &[u8], now: &mut Instant) -> bool {
        let Some(order) = self.fetcher.next_order(*now, &self.registry) else {
            let check = self.fetcher.next_check(*now);
            *now += check.unwrap_or_default();
            return check.is_some();
        };
        let number = (0..HOSTS).find(|number| control(*number) == order.control);
        let number = number.unwrap();
        if !silent.contains(&number) {
            let groups = hosts[usize::from(number)].notice_groups(order.fetch, *now);
            let groups = groups.unwrap().unwrap();
            self.count(&groups);
            for notice in read_notices(&groups) {
                self.registry.observe(notice, *now);
            }
            self.fetcher.receive(*now, order.control, &groups.groups);
        }
        true
    }

    /// Asks the hosts until nothing is left to ask for.
    fn fetch(&mut self, hosts: &[EndpointDirectory], now: &mut Instant) {
        while self.step(hosts, &[], now) {}
    }
}

fn read_notices(part: &NoticeGroups) -> Vec<EndpointNotice> {
    let length = usize::try_from(part.length).unwrap();
    let notices = patches::apply(&[], &part.compressed, length, part.digest).unwrap();
    EndpointNotices::decode(notices).unwrap().notices
}

/// Guards against entries that serve nothing for seconds after a restart: each of five control hosts
/// sent all notices, more than the link of an entry carries before both ends take it for lost, and
/// they sent them again when it was opened again. Then 2 MB came at once.
#[test]
fn entry_that_starts_gets_each_notice_once() {
    let mut now = Instant::now();
    let hosts = hosts(now);
    let mut entry = SimulatedEntry::new();
    for (number, host) in (0..HOSTS).zip(&hosts) {
        entry.link(number, host);
    }
    entry.fetch(&hosts, &mut now);
    assert_eq!(entry.registry.records().count(), ENDPOINTS);
    // Requests need the link too, so that a fifth of the time until the link counts as lost is
    // allowed for all of it, and a twentieth for one message.
    let bytes_before_loss = LINK_RATE * usize::try_from(LINK_TIMEOUT.as_millis()).unwrap() / 1_000;
    assert!(entry.bytes < bytes_before_loss / 5, "{}", entry.bytes);
    assert!(entry.largest < bytes_before_loss / 20, "{}", entry.largest);
}

/// Guards against links that are lost again and again because all notices are sent when one opens.
#[test]
fn entry_whose_links_open_again_gets_only_digests() {
    let mut now = Instant::now();
    let hosts = hosts(now);
    let mut entry = SimulatedEntry::new();
    for _ in 0..2 {
        entry.bytes = 0;
        for (number, host) in (0..HOSTS).zip(&hosts) {
            entry.fetcher.forget(control(number));
            entry.link(number, host);
        }
        entry.fetch(&hosts, &mut now);
    }
    assert!(entry.bytes < 4_096, "{}", entry.bytes);
}

/// Guards against an entry that waits for one control host: the others are asked instead, and what
/// arrived before isn't sent again.
#[test_case(&[0]; "one")]
#[test_case(&[1, 2, 3]; "three of five")]
fn silent_hosts_are_passed_over(silent: &[u8]) {
    let mut now = Instant::now();
    let hosts = hosts(now);
    let mut entry = SimulatedEntry::new();
    for (number, host) in (0..HOSTS).zip(&hosts) {
        entry.link(number, host);
    }
    let started = now;
    // A silent host stays wanted until its link ends.
    while entry.registry.records().count() < ENDPOINTS && now < started + LINK_TIMEOUT * 2 {
        entry.step(&hosts, silent, &mut now);
    }
    assert_eq!(entry.registry.records().count(), ENDPOINTS);
}

/// Guards against endpoints that an entry takes for dead: those that are alive are told by digests
/// of eight bytes, and each counts as heard from.
#[test]
fn unchanged_notices_cost_eight_bytes() {
    let now = Instant::now();
    let mut hosts = hosts(now);
    let mut entry = SimulatedEntry::new();
    let mut fetched = now;
    entry.link(0, &hosts[0]);
    entry.fetch(&hosts, &mut fetched);
    let later = now + NOTICE_INTERVAL;
    let mut told = HashSet::new();
    for (index, host) in hosts.iter_mut().enumerate() {
        let own = (0..ENDPOINTS).filter(|number| number % usize::from(HOSTS) == index);
        for number in own {
            host.observe(notice(number, 6), later);
        }
        let refreshes = host.take_refreshes();
        assert!(refreshes.encoded_len() <= 8 * ENDPOINTS / usize::from(HOSTS) + 8);
        for digest in refreshes.digests {
            let digest = NoticeDigest::from_bits(digest);
            told.insert(entry.registry.refresh(digest, later).unwrap().clone());
        }
    }
    assert_eq!(told.len(), ENDPOINTS);
    let mut records = entry.registry.records();
    assert!(records.all(|record| record.received_at == later));
}

/// Guards against an entry that has just started and takes most endpoints for silent: each sends its
/// notices to one control host, and the entry asked another one, which had last heard of them with
/// the relay, up to 20 s before.
#[test]
fn any_host_tells_which_endpoints_are_alive() {
    let mut now = Instant::now();
    let mut hosts = hosts(now);
    for sequence in 6..12 {
        now += NOTICE_INTERVAL;
        let told: Vec<_> = hosts
            .iter_mut()
            .enumerate()
            .map(|(index, host)| {
                for number in (index..ENDPOINTS).step_by(usize::from(HOSTS)) {
                    host.observe(notice(number, sequence), now);
                }
                host.take_refreshes()
            })
            .collect();
        for (index, host) in hosts.iter_mut().enumerate() {
            let others = told.iter().enumerate().filter(|(other, _)| *other != index);
            for (_, refreshes) in others {
                host.observe_refreshes(refreshes, now);
            }
        }
    }
    let mut entry = SimulatedEntry::new();
    entry.link(3, &hosts[3]);
    entry.fetch(&hosts, &mut now);
    let mut records = entry.registry.records();
    assert!(records.all(|record| now - record.received_at <= NOTICE_INTERVAL));
    assert_eq!(entry.registry.records().count(), ENDPOINTS);
}

/// Guards against an entry that stays behind after a message was lost: the next notice without a
/// change is unknown to it, and it asks for the group of the endpoint, once in a while at most.
#[test]
fn lost_change_is_asked_for() {
    let mut now = Instant::now();
    let mut hosts = hosts(now);
    let mut entry = SimulatedEntry::new();
    entry.link(0, &hosts[0]);
    entry.fetch(&hosts, &mut now);
    let moved = |sequence| EndpointNotice {
        version: "1.5.0".to_owned(),
        ..notice(0, sequence)
    };
    hosts[0].observe(moved(6), now);
    hosts[0].take_refreshes();
    now += NOTICE_INTERVAL;
    hosts[0].observe(moved(7), now);
    let refreshes = hosts[0].take_refreshes();
    let digest = NoticeDigest::from_bits(refreshes.digests[0]);
    assert!(entry.registry.refresh(digest, now).is_none());
    entry.fetcher.suspect(control(0), [digest]);
    entry.fetch(&hosts, &mut now);
    assert!(entry.registry.refresh(digest, now).is_some());
    // A notice that this entry never accepts isn't asked for with each refresh.
    let never = NoticeDigest::from_bits(digest.to_bits() + 64);
    entry.fetcher.suspect(control(0), [never]);
    assert_eq!(entry.fetcher.next_order(now, &entry.registry), None);
}

/// Guards against a summary that depends on the order of notices or on what was known before.
#[test]
fn summaries_of_equal_knowledge_are_equal() {
    let now = Instant::now();
    let hosts = hosts(now);
    let summaries: Vec<_> = hosts.iter().map(|host| host.summary().unwrap()).collect();
    assert!(summaries.iter().all(|summary| *summary == summaries[0]));
    let mut registry = EndpointRegistry::default();
    for number in (0..ENDPOINTS).rev() {
        let old = EndpointNotice {
            version: "1.4.1".to_owned(),
            ..notice(number, 3)
        };
        registry.observe(old, now);
        registry.observe(notice(number, 4), now);
    }
    assert_eq!(registry.summary().to_message(), summaries[0]);
    let silence = Duration::from_secs(100);
    registry.expire(now + silence);
    assert_eq!(*registry.summary(), DirectorySummary::default());
}
