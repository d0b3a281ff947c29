//! What several control hosts tell entries of an endpoint whose notices reach one of them. No
//! network and no clock.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use prost::Message as _;
use test_case::test_case;
use waxwing_fleet::{
    patches,
    registry::{EndpointRegistry, NoticeEffect},
    summaries,
};
use waxwing_registrar::{
    departures::{DepartureLedger, MAX_DEPARTURES, UninformedHosts},
    directory::EndpointDirectory,
};
use waxwing_wire::messages::{
    EndpointDeparture, EndpointNotice, EndpointNotices, EndpointPhase, FetchNotices, NoticeGroups,
};

/// Time between two notices of an endpoint.
const NOTICE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Unix milliseconds at the start of a simulation.
const START_MILLIS: u64 = 1_800_000_000_000;

fn notice(born: u64, sequence: u64) -> EndpointNotice {
    EndpointNotice {
        id: "leaving".to_owned(),
        service: "model".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        data_centre: "a".to_owned(),
        slots: 4,
        phase: EndpointPhase::Ready.into(),
        cold_millis: 0,
        born: Some(born),
        sequence,
        age_millis: 0,
        version: String::new(),
    }
}

/// Returns what a host tells an entry that knows nothing: the departures that the summary doesn't
/// cover, and the notices that the entry asks for.
fn told_to_entry(host: &EndpointDirectory, now: Instant) -> Vec<EndpointNotice> {
    assert!(host.summary().is_some());
    let mut told = host.unlisted_departures().notices;
    let groups = (0..summaries::GROUPS).collect();
    let part = host.notice_groups(FetchNotices { groups }, now).unwrap();
    told.extend(read_notices(&part.unwrap()));
    told
}

fn read_notices(part: &NoticeGroups) -> Vec<EndpointNotice> {
    let length = usize::try_from(part.length).unwrap();
    let notices = patches::apply(&[], &part.compressed, length, part.digest).unwrap();
    EndpointNotices::decode(notices).unwrap().notices
}

/// Three control hosts whose messages to each other arrive at once.
struct SimulatedHosts {
    now: Instant,
    started: Instant,
    hosts: [EndpointDirectory; 3],
}

impl SimulatedHosts {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            started: now,
            hosts: Default::default(),
        }
    }

    fn wall_millis(&self) -> u64 {
        START_MILLIS + u64::try_from((self.now - self.started).as_millis()).unwrap()
    }

    /// A host gets a notice, and tells the others of it as it does of changes.
    fn send(&mut self, host: usize, notice: EndpointNotice) {
        let effect = self.hosts[host].observe(notice.clone(), self.now);
        if effect == NoticeEffect::Changed {
            let notices = vec![notice];
            self.relay(host, &EndpointNotices { notices });
        }
    }

    fn relay(&mut self, from: usize, notices: &EndpointNotices) {
        for (number, host) in self.hosts.iter_mut().enumerate() {
            if number != from {
                host.observe_relayed(notices.clone(), self.now);
            }
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        for number in 0..self.hosts.len() {
            self.hosts[number].take_refreshes();
            if let Some(relay) = self.hosts[number].take_relay(self.now) {
                self.relay(number, &relay);
            }
            self.hosts[number].expire(self.now);
        }
    }

    /// A host gets a deregistration that states no start time.
    fn deregister(&mut self, host: usize) {
        let notice = self.hosts[host].deregistration("leaving", None, self.wall_millis());
        self.send(host, notice);
    }

    /// Tells whether an entry that links to all hosts now would use the endpoint.
    fn is_used(&self) -> bool {
        let mut entry = EndpointRegistry::default();
        for host in &self.hosts {
            for notice in host.all_notices(self.now).notices {
                entry.observe(notice, self.now);
            }
        }
        let record = entry.record("leaving");
        record.is_some_and(|record| record.notice.phase() == EndpointPhase::Ready)
    }
}

/// Guards against requests to an endpoint that deregistered at another control host than the one
/// that it had sent its notices to for over a minute: the other hosts had forgotten it, so that the
/// deregistration was taken for that of an earlier life, and a late notice for a new one.
#[test_case(0, 0; "late notice at the host of the deregistration")]
#[test_case(0, 1; "late notice at a third host")]
#[test_case(0, 2; "late notice at the host of the notices")]
#[test_case(2, 0; "deregistration at the host of the notices")]
fn endpoint_that_deregisters_at_another_host_is_not_used(deregistered_at: usize, late_at: usize) {
    let mut simulated = SimulatedHosts::new();
    let mut sequence = 1;
    while simulated.now - simulated.started < Duration::from_secs(130) {
        simulated.send(2, notice(START_MILLIS, sequence));
        sequence += 1;
        simulated.advance(NOTICE_INTERVAL);
        assert!(simulated.is_used());
    }
    simulated.deregister(deregistered_at);
    assert!(!simulated.is_used());
    simulated.advance(Duration::from_secs(1));
    simulated.send(late_at, notice(START_MILLIS, sequence));
    assert!(!simulated.is_used());
}

/// Guards against an endpoint that is used since its deregistration, which states no start time,
/// came to hosts that had just started and didn't know it.
#[test]
fn unknown_endpoint_that_deregisters_is_not_used() {
    let mut simulated = SimulatedHosts::new();
    simulated.advance(Duration::from_secs(9));
    simulated.deregister(0);
    simulated.advance(Duration::from_secs(1));
    simulated.send(1, notice(START_MILLIS + 4_000, 7));
    assert!(!simulated.is_used());
    // Its next life begins after the deregistration.
    simulated.send(1, notice(START_MILLIS + 9_900, 1));
    assert!(simulated.is_used());
}

/// Guards against control hosts that forget an endpoint whose notices go to another one.
#[test]
fn all_hosts_know_an_endpoint_that_sends_its_notices_to_one() {
    let mut simulated = SimulatedHosts::new();
    for sequence in 1..120 {
        simulated.send(2, notice(START_MILLIS, sequence));
        simulated.advance(NOTICE_INTERVAL);
        for host in &simulated.hosts {
            assert_eq!(host.all_notices(simulated.now).notices.len(), 1);
        }
    }
}

/// Returns a notice that the endpoint leaves.
fn draining(born: u64, sequence: u64) -> EndpointNotice {
    EndpointNotice {
        phase: EndpointPhase::Draining.into(),
        ..notice(born, sequence)
    }
}

/// Guards against an endpoint that is used after it has left, since it had started again after the
/// clock of its host was put back: its notices seemed to be late ones of an earlier life.
#[test_case(0; "it leaves at the host of its first notices")]
#[test_case(1; "it leaves at another host")]
fn endpoint_that_leaves_after_its_clock_was_put_back_is_not_used(left_at: usize) {
    let mut simulated = SimulatedHosts::new();
    for sequence in 1..30 {
        simulated.send(0, notice(START_MILLIS, sequence));
        simulated.advance(NOTICE_INTERVAL);
    }
    for sequence in 1..5 {
        simulated.send(0, notice(START_MILLIS - 1_000, sequence));
        simulated.advance(NOTICE_INTERVAL);
        assert!(simulated.is_used());
    }
    simulated.send(left_at, draining(START_MILLIS - 1_000, 5));
    for host in &mut simulated.hosts {
        host.learn(&[departure("leaving", START_MILLIS - 1_000)], true);
    }
    assert!(!simulated.is_used());
    // A late notice of the first life, and what hosts relay of it.
    simulated.send(2, notice(START_MILLIS, 30));
    assert!(!simulated.is_used());
    for sequence in 6..30 {
        simulated.advance(NOTICE_INTERVAL);
        simulated.send(left_at, draining(START_MILLIS - 1_000, sequence));
        assert!(!simulated.is_used());
    }
}

/// Guards against an entry that never hears of a departure, since the host that acknowledged it had no
/// link to the entry and was lost: the other hosts knew of it by then and told nobody.
#[test_case(EndpointPhase::Draining; "draining")]
#[test_case(EndpointPhase::Gone; "gone")]
fn every_host_tells_entries_of_a_departure_once_it_is_committed(leaving: EndpointPhase) {
    let mut simulated = SimulatedHosts::new();
    simulated.send(0, notice(START_MILLIS, 1));
    let left = EndpointNotice {
        phase: leaving.into(),
        ..notice(START_MILLIS, 2)
    };
    simulated.send(0, left.clone());
    for host in &mut simulated.hosts {
        let told = host.learn(&[departure("leaving", START_MILLIS)], false);
        assert_eq!(told.notices, vec![left.clone()]);
        let repeated = host.learn(&[departure("leaving", START_MILLIS)], false);
        assert!(repeated.notices.is_empty());
    }
    // A later life has not left.
    simulated.send(0, notice(START_MILLIS + 9_000, 1));
    for host in &mut simulated.hosts {
        let told = host.learn(&[departure("leaving", START_MILLIS + 4_000)], false);
        assert!(told.notices.is_empty());
    }
}

/// Guards against an entry that goes on using an endpoint that has left, since the host that took the
/// notice was lost and the others know of the departure from the log only: what they told had the number
/// of a notice that the entry knew.
#[test_case(1; "the entry knows the first notice")]
#[test_case(9; "the entry knows a later notice than the host")]
fn departure_in_the_log_alone_reaches_an_entry(known_at_entry: u64) {
    let now = Instant::now();
    let mut host = EndpointDirectory::default();
    host.learn(&[], true);
    host.observe(notice(START_MILLIS, 1), now);
    let mut entry = EndpointRegistry::default();
    entry.observe(notice(START_MILLIS, known_at_entry), now);
    for told in host
        .learn(&[departure("leaving", START_MILLIS)], false)
        .notices
    {
        entry.observe(told, now);
    }
    let phase = entry.record("leaving").unwrap().notice.phase();
    assert_ne!(phase, EndpointPhase::Ready);
    // An entry whose link opens later asks for the notices that it lacks.
    let mut entry = EndpointRegistry::default();
    entry.observe(notice(START_MILLIS, known_at_entry), now);
    for told in told_to_entry(&host, now) {
        entry.observe(told, now);
    }
    let phase = entry.record("leaving").unwrap().notice.phase();
    assert_ne!(phase, EndpointPhase::Ready);
}

/// Guards against an entry that never hears of a departure, since the hosts that it has links to have no
/// record of the endpoint: they have just started, or missed its notices. They knew of the departure
/// from the log and told nobody.
#[test]
fn host_without_a_record_tells_entries_of_a_departure() {
    let now = Instant::now();
    let mut host = EndpointDirectory::default();
    host.learn(&[departure("other", START_MILLIS)], true);
    let mut entry = EndpointRegistry::default();
    entry.observe(notice(START_MILLIS, 3), now);
    let left = departure("leaving", START_MILLIS);
    for told in host.learn(std::slice::from_ref(&left), false).notices {
        entry.observe(told, now);
    }
    let phase = entry.record("leaving").unwrap().notice.phase();
    assert_eq!(phase, EndpointPhase::Gone);
    assert!(host.learn(&[left], false).notices.is_empty());
    // A later life has not left.
    let restarted = entry.observe(notice(START_MILLIS + 5_000, 1), now);
    assert_eq!(restarted, NoticeEffect::Changed);
}

/// Guards against an entry whose link is filled by a host that has installed a snapshot of the log with
/// thousands of departures.
#[test]
fn host_that_learns_many_departures_tells_the_recent_ones() {
    let mut host = EndpointDirectory::default();
    let departures: Vec<_> = (0..MAX_DEPARTURES)
        .map(|number| departure(&number.to_string(), START_MILLIS))
        .collect();
    let told = host.learn(&departures, false).notices;
    let unlisted = host.unlisted_departures().notices;
    assert!(told.len() < MAX_DEPARTURES / 10);
    assert_eq!(told, unlisted);
}

/// Guards against an entry that doesn't hear that an endpoint leaves, since it has no link to the host
/// that took the notice: the other hosts knew at once and told entries only once the departure was
/// committed, and not at all if it wasn't.
#[test_case(EndpointPhase::Draining; "draining")]
#[test_case(EndpointPhase::Gone; "gone")]
fn relayed_leaving_is_passed_on_once(leaving: EndpointPhase) {
    let now = Instant::now();
    let mut host = EndpointDirectory::default();
    let relayed = |notice| EndpointNotices {
        notices: vec![notice],
    };
    let ready = host.observe_relayed(relayed(notice(START_MILLIS, 1)), now);
    assert!(ready.notices.is_empty());
    let left = EndpointNotice {
        phase: leaving.into(),
        ..notice(START_MILLIS, 2)
    };
    let told = host.observe_relayed(relayed(left.clone()), now);
    assert_eq!(told.notices, vec![left.clone()]);
    let again = host.observe_relayed(relayed(left), now);
    assert!(again.notices.is_empty());
    // A late notice from before the leaving.
    let late = host.observe_relayed(relayed(notice(START_MILLIS, 3)), now);
    assert!(late.notices.is_empty());
}

/// Guards against an endpoint that is taken out of use by a notice that comes once more and late, of a
/// life that has left before.
#[test]
fn departure_of_an_earlier_life_that_comes_twice_changes_nothing() {
    let mut simulated = SimulatedHosts::new();
    simulated.send(0, draining(START_MILLIS, 7));
    for host in &mut simulated.hosts {
        host.learn(&[departure("leaving", START_MILLIS)], true);
        // The hosts forget the life, but not its departure.
        *host = EndpointDirectory::default();
        host.learn(&[departure("leaving", START_MILLIS)], true);
    }
    simulated.send(0, notice(START_MILLIS + 3_000, 1));
    assert!(simulated.is_used());
    simulated.send(1, draining(START_MILLIS, 7));
    assert!(simulated.is_used());
}

fn departure(id: &str, born: u64) -> EndpointDeparture {
    EndpointDeparture {
        id: id.to_owned(),
        born,
    }
}

/// Guards against an endpoint that is used because a control host that has just started doesn't
/// know of its departure yet and passes on a late notice.
#[test]
fn late_notice_reaches_no_entry_before_the_departures_are_known() {
    let now = Instant::now();
    let mut host = EndpointDirectory::default();
    assert_eq!(
        host.observe(notice(START_MILLIS, 9), now),
        NoticeEffect::Changed
    );
    assert_eq!(host.summary(), None);
    let groups: Vec<u32> = (0..summaries::GROUPS).collect();
    let asked = host.notice_groups(FetchNotices { groups }, now);
    assert_eq!(asked.unwrap(), None);
    let changed = host.learn(&[departure("leaving", START_MILLIS)], true);
    assert_eq!(changed.notices[0].phase(), EndpointPhase::Draining);
    let late = host.observe(notice(START_MILLIS, 10), now);
    assert_eq!(late, NoticeEffect::Stale);
    let known = told_to_entry(&host, now);
    assert_eq!(known.len(), 1);
    assert_eq!(known[0].phase(), EndpointPhase::Draining);
    // The next life of the endpoint is another one.
    let restarted = host.observe(notice(START_MILLIS + 5_000, 1), now);
    assert_eq!(restarted, NoticeEffect::Changed);
}

/// Guards against an endpoint that an entry still uses since it was cut off when the endpoint left,
/// and until control hosts had forgotten it.
#[test]
fn entry_that_was_cut_off_learns_of_departures() {
    let now = Instant::now();
    let mut host = EndpointDirectory::default();
    host.learn(&[departure("leaving", START_MILLIS)], true);
    let mut entry = EndpointRegistry::default();
    entry.observe(notice(START_MILLIS, 1), now);
    for told in told_to_entry(&host, now) {
        entry.observe(told, now);
    }
    assert_eq!(
        entry.record("leaving").unwrap().notice.phase(),
        EndpointPhase::Gone
    );
}

/// Guards against departures that use up the memory of control hosts, and against recent ones that
/// are forgotten before older ones.
#[test]
fn oldest_departures_are_forgotten_first() {
    let mut ledger = DepartureLedger::default();
    for number in 0..MAX_DEPARTURES {
        assert!(ledger.record(&departure(&number.to_string(), 5)));
    }
    assert!(!ledger.record(&departure("0", 4)));
    assert!(ledger.record(&departure("0", 9)));
    assert!(ledger.record(&departure("next", 1)));
    assert!(!ledger.covers("1", Some(5)));
    assert!(
        ledger.covers("0", Some(9))
            && ledger.covers("2", Some(5))
            && ledger.covers("next", Some(1))
    );
    let mut restored = DepartureLedger::default();
    restored.extend(&ledger.to_list());
    assert_eq!(restored, ledger);
}

/// Guards against a list of control hosts that grows with each one that is replaced: only the leader
/// emptied it.
#[test]
fn replaced_hosts_await_no_departures() {
    let host = |number: u8| SocketAddr::from(([10, 0, 0, number], 7600));
    let mut uninformed = UninformedHosts::default();
    uninformed.link_opened(host(1));
    for number in 2..=250 {
        uninformed.link_opened(host(number));
        uninformed.link_closed(host(number));
        assert_eq!(uninformed.len(), 1);
    }
    // A host whose link closes while the quorum is asked, which fails.
    uninformed.link_opened(host(2));
    let taken = uninformed.take();
    assert!(uninformed.is_empty());
    uninformed.link_closed(host(2));
    uninformed.put_back(&taken);
    assert_eq!(uninformed.take(), [host(1)].into());
    uninformed.add_linked();
    assert_eq!(uninformed.take(), [host(1)].into());
}
