//! The registry of endpoints with notices that are late, duplicated or from an earlier start.

use std::time::{Duration, Instant};

use test_case::test_case;
use waxwing_fleet::registry::{CONTRADICTION_TIME, EndpointRegistry, NoticeEffect};
use waxwing_wire::messages::{EndpointNotice, EndpointPhase};

const SECOND: Duration = Duration::from_secs(1);

fn notice(id: &str, born: u64, sequence: u64, phase: EndpointPhase) -> EndpointNotice {
    EndpointNotice {
        id: id.to_owned(),
        service: "model".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        data_centre: "a".to_owned(),
        slots: 4,
        phase: phase.into(),
        cold_millis: 0,
        born: Some(born),
        sequence,
        age_millis: 0,
        version: String::new(),
    }
}

fn phase(registry: &EndpointRegistry, id: &str) -> Option<EndpointPhase> {
    let mut records = registry.records();
    let record = records.find(|record| record.notice.id == id)?;
    Some(record.notice.phase())
}

#[test]
fn late_notice_does_not_end_a_drain() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 5, 1, EndpointPhase::Ready), now);
    registry.observe(notice("one", 5, 3, EndpointPhase::Draining), now);
    let late = registry.observe(notice("one", 5, 2, EndpointPhase::Ready), now);
    assert_eq!(late, NoticeEffect::Stale);
    assert_eq!(phase(&registry, "one"), Some(EndpointPhase::Draining));
}

/// Guards against an endpoint that is used after it has left, since the entry heard of the departure
/// from a control host that knows it from the log only: that host tells of it with the sequence number
/// of an earlier notice.
#[test_case(1; "with the number of a notice before the known one")]
#[test_case(4; "with the number of the known notice")]
#[test_case(5; "with the next number")]
fn leaving_of_the_known_life_counts_whatever_its_number(number: u64) {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 5, 4, EndpointPhase::Ready), now);
    let left = registry.observe(notice("one", 5, number, EndpointPhase::Draining), now);
    assert_eq!(left, NoticeEffect::Changed);
    // A notice from before the leaving, which another control host relays late.
    let late = registry.observe(notice("one", 5, 9, EndpointPhase::Ready), now);
    assert_eq!(late, NoticeEffect::Stale);
    assert_eq!(phase(&registry, "one"), Some(EndpointPhase::Draining));
    let restarted = registry.observe(notice("one", 6, 1, EndpointPhase::Ready), now);
    assert_eq!(restarted, NoticeEffect::Changed);
}

/// Guards against an endpoint that is used after it has left, since its start time stands for none.
#[test_case(0; "the lowest start time")]
#[test_case(u64::MAX; "the highest start time")]
fn leaving_is_final_whatever_the_start_time(born: u64) {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", born, 4, EndpointPhase::Ready), now);
    let left = registry.observe(notice("one", born, 3, EndpointPhase::Draining), now);
    assert_eq!(left, NoticeEffect::Changed);
    let late = registry.observe(notice("one", born, 9, EndpointPhase::Ready), now);
    assert_eq!(late, NoticeEffect::Stale);
    assert_eq!(phase(&registry, "one"), Some(EndpointPhase::Draining));
}

/// Guards against a life that is used again after it has left itself, since the leaving of an earlier
/// one had only paused it.
#[test]
fn leaving_of_a_paused_life_is_final() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 9, 3, EndpointPhase::Ready), now);
    registry.observe(notice("one", 7, 2, EndpointPhase::Draining), now);
    registry.observe(notice("one", 9, 3, EndpointPhase::Draining), now);
    let later = now + CONTRADICTION_TIME;
    let late = registry.observe(notice("one", 9, 12, EndpointPhase::Ready), later);
    assert_eq!(late, NoticeEffect::Stale);
    assert_eq!(phase(&registry, "one"), Some(EndpointPhase::Draining));
}

#[test]
fn late_notice_does_not_undo_a_deregistration() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 5, 1, EndpointPhase::Ready), now);
    let deregistration = registry.deregistration("one", None, 9);
    assert_eq!(registry.observe(deregistration, now), NoticeEffect::Changed);
    let late = registry.observe(notice("one", 5, 2, EndpointPhase::Ready), now);
    assert_eq!(late, NoticeEffect::Stale);
    assert_eq!(phase(&registry, "one"), Some(EndpointPhase::Gone));
}

#[test]
fn restarted_endpoint_starts_a_new_sequence() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 5, 40, EndpointPhase::Draining), now);
    let restarted = registry.observe(notice("one", 6, 1, EndpointPhase::Ready), now);
    assert_eq!(restarted, NoticeEffect::Changed);
    let outdated = registry.observe(notice("one", 5, 41, EndpointPhase::Draining), now);
    assert_eq!(outdated, NoticeEffect::Stale);
    assert_eq!(phase(&registry, "one"), Some(EndpointPhase::Ready));
}

/// Guards against an endpoint that is used although it said that it leaves: it had crashed soon after
/// its start, and started again after the clock of its host was put back.
#[test_case(EndpointPhase::Draining; "draining")]
#[test_case(EndpointPhase::Gone; "gone")]
fn leaving_of_a_life_that_seems_earlier_counts(leaving: EndpointPhase) {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 9, 3, EndpointPhase::Ready), now);
    let restarted = registry.observe(notice("one", 7, 1, EndpointPhase::Ready), now);
    assert_eq!(restarted, NoticeEffect::Stale);
    let left = registry.observe(notice("one", 7, 2, leaving), now);
    assert_eq!(left, NoticeEffect::Changed);
    assert_eq!(phase(&registry, "one"), Some(EndpointPhase::Draining));
    // A notice of the first life that was under way when it crashed.
    let late = registry.observe(notice("one", 9, 4, EndpointPhase::Ready), now + SECOND);
    assert_eq!(late, NoticeEffect::Stale);
    // Nor may one that another host received before bring it back later.
    let relayed = registry.observe(notice("one", 9, 5, EndpointPhase::Ready), now - SECOND);
    assert_eq!(relayed, NoticeEffect::Stale);
    assert_eq!(phase(&registry, "one"), Some(EndpointPhase::Draining));
}

/// Guards against an endpoint that is taken out of use by what a control host remembers of an earlier
/// life: its last notice, or its departure in the log, which has no address.
#[test]
fn record_of_an_earlier_life_changes_nothing() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 9, 1, EndpointPhase::Ready), now);
    registry.observe(notice("one", 9, 2, EndpointPhase::Ready), now + SECOND);
    let remembered = notice("one", 7, 30, EndpointPhase::Gone);
    let outdated = registry.observe(remembered.clone(), now - SECOND);
    assert_eq!(outdated, NoticeEffect::Stale);
    let departure = EndpointNotice {
        address: String::new(),
        ..remembered
    };
    let logged = registry.observe(departure, now + SECOND);
    assert_eq!(logged, NoticeEffect::Stale);
    assert_eq!(phase(&registry, "one"), Some(EndpointPhase::Ready));
}

/// Guards against an endpoint that is lost for good since a notice of an earlier life was late: the
/// later life shows that it goes on.
#[test]
fn life_that_goes_on_after_an_earlier_one_has_left_is_used_again() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 9, 3, EndpointPhase::Ready), now);
    registry.observe(notice("one", 7, 2, EndpointPhase::Draining), now);
    let later = now + CONTRADICTION_TIME;
    let next = registry.observe(notice("one", 9, 12, EndpointPhase::Ready), later);
    assert_eq!(next, NoticeEffect::Changed);
    assert_eq!(phase(&registry, "one"), Some(EndpointPhase::Ready));
    // A later start needs no such time.
    registry.observe(notice("one", 7, 3, EndpointPhase::Draining), later);
    let restarted = registry.observe(notice("one", 10, 1, EndpointPhase::Ready), later);
    assert_eq!(restarted, NoticeEffect::Changed);
    assert_eq!(phase(&registry, "one"), Some(EndpointPhase::Ready));
}

/// Guards against requests to a crashed endpoint: another endpoint registers at its address, and
/// then a notice of the crashed one arrives that a network partition had delayed.
#[test]
fn latest_endpoint_at_an_address_replaces_earlier_ones() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("old", 5, 1, EndpointPhase::Ready), now);
    registry.observe(notice("new", 9, 1, EndpointPhase::Ready), now);
    assert_eq!(phase(&registry, "old"), Some(EndpointPhase::Gone));
    let late = registry.observe(notice("old", 5, 2, EndpointPhase::Ready), now);
    assert_eq!(late, NoticeEffect::Stale);
    assert_eq!(phase(&registry, "new"), Some(EndpointPhase::Ready));
}

#[test]
fn duplicate_notice_is_stale() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 5, 1, EndpointPhase::Ready), now);
    let duplicate = registry.observe(notice("one", 5, 1, EndpointPhase::Ready), now);
    assert_eq!(duplicate, NoticeEffect::Stale);
    let next = registry.observe(notice("one", 5, 2, EndpointPhase::Ready), now);
    assert_eq!(next, NoticeEffect::Refreshed);
}

#[test]
fn silent_endpoints_expire() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 5, 1, EndpointPhase::Ready), now);
    registry.expire(now + Duration::from_secs(59));
    assert_eq!(registry.records().count(), 1);
    registry.expire(now + Duration::from_secs(61));
    assert_eq!(registry.records().count(), 0);
}

/// Guards against an endpoint that is taken for a crashed one because another endpoint used its
/// address before: that one has moved, or was forgotten.
#[test]
fn address_of_a_moved_or_forgotten_endpoint_is_free() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("moving", 9, 1, EndpointPhase::Ready), now);
    let moved = EndpointNotice {
        address: "10.0.0.2:80".to_owned(),
        ..notice("moving", 9, 2, EndpointPhase::Ready)
    };
    assert_eq!(registry.observe(moved, now), NoticeEffect::Changed);
    let first = registry.observe(notice("one", 5, 1, EndpointPhase::Ready), now);
    assert_eq!(first, NoticeEffect::Changed);
    assert_eq!(phase(&registry, "moving"), Some(EndpointPhase::Ready));
    let later = now + Duration::from_secs(61);
    registry.expire(later);
    assert_eq!(registry.records().count(), 0);
    let next = registry.observe(notice("two", 4, 1, EndpointPhase::Ready), later);
    assert_eq!(next, NoticeEffect::Changed);
}
