//! What several control hosts tell entries of an endpoint whose notices reach one of them. No
//! network and no clock.

use std::time::{Duration, Instant};

use test_case::test_case;
use waxwing_fleet::registry::{EndpointRegistry, NoticeEffect};
use waxwing_registrar::directory::EndpointDirectory;
use waxwing_wire::messages::{EndpointNotice, EndpointNotices, EndpointPhase};

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
        born,
        sequence,
        age_millis: 0,
    }
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
