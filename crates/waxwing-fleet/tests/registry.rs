//! The registry of endpoints with notices that are late, duplicated or from an earlier start.

use std::time::{Duration, Instant};

use waxwing_fleet::registry::{EndpointRegistry, NoticeEffect};
use waxwing_wire::messages::{EndpointNotice, EndpointPhase};

fn notice(id: &str, born: u64, sequence: u64, phase: EndpointPhase) -> EndpointNotice {
    EndpointNotice {
        id: id.to_owned(),
        service: "model".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        data_centre: "a".to_owned(),
        slots: 4,
        phase: phase.into(),
        cold_millis: 0,
        born,
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
