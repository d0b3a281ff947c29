//! The registry of endpoints against notices that come late, twice or from a former life.

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
    }
}

fn phase(registry: &EndpointRegistry, id: &str) -> Option<EndpointPhase> {
    let mut records = registry.records();
    let record = records.find(|record| record.notice.id == id)?;
    Some(record.notice.phase())
}

#[test]
fn a_late_notice_does_not_end_a_drain() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 5, 1, EndpointPhase::Ready), now);
    registry.observe(notice("one", 5, 3, EndpointPhase::Draining), now);
    let late = registry.observe(notice("one", 5, 2, EndpointPhase::Ready), now);
    assert_eq!(late, NoticeEffect::Stale);
    assert_eq!(phase(&registry, "one"), Some(EndpointPhase::Draining));
}

#[test]
fn a_notice_behind_a_goodbye_brings_nothing_back() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 5, 1, EndpointPhase::Ready), now);
    let goodbye = registry.goodbye("one", None);
    assert_eq!(registry.observe(goodbye, now), NoticeEffect::Changed);
    let late = registry.observe(notice("one", 5, 2, EndpointPhase::Ready), now);
    assert_eq!(late, NoticeEffect::Stale);
    assert_eq!(phase(&registry, "one"), Some(EndpointPhase::Gone));
}

#[test]
fn a_new_life_under_the_same_id_starts_its_count_anew() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 5, 40, EndpointPhase::Draining), now);
    let again = registry.observe(notice("one", 6, 1, EndpointPhase::Ready), now);
    assert_eq!(again, NoticeEffect::Changed);
    let former = registry.observe(notice("one", 5, 41, EndpointPhase::Draining), now);
    assert_eq!(former, NoticeEffect::Stale);
    assert_eq!(phase(&registry, "one"), Some(EndpointPhase::Ready));
}

/// Guards against requests for an endpoint that has crashed, whose notice was held up behind a
/// partition while another one registered at its address.
#[test]
fn an_address_belongs_to_the_endpoint_that_started_last() {
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
fn the_same_notice_twice_changes_nothing() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 5, 1, EndpointPhase::Ready), now);
    let twice = registry.observe(notice("one", 5, 1, EndpointPhase::Ready), now);
    assert_eq!(twice, NoticeEffect::Stale);
    let next = registry.observe(notice("one", 5, 2, EndpointPhase::Ready), now);
    assert_eq!(next, NoticeEffect::Refreshed);
}

#[test]
fn silent_endpoints_are_forgotten() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.observe(notice("one", 5, 1, EndpointPhase::Ready), now);
    registry.expire(now + Duration::from_secs(59));
    assert_eq!(registry.records().count(), 1);
    registry.expire(now + Duration::from_secs(61));
    assert_eq!(registry.records().count(), 0);
}
