//! Which version of a service requests go to by the terms of a roll-out.

mod support;

use std::time::Instant;

use smol_str::SmolStr;
use support::{SERVICE, gate, granted, millis, notice, ticket};
use waxwing_gate::{gate::GateCore, rollouts::VersionUse, tickets::WaitingTicket};
use waxwing_wire::messages::{
    EndpointNotice, EndpointPhase, RolloutPhase, RolloutStage, RolloutTerm, RolloutTerms,
};

/// Builds a gate with an endpoint of `v1` and one of `v2`.
fn two_versions(now: Instant) -> GateCore {
    let mut core = gate(now, &[("old", 1, 4)]);
    let new = EndpointNotice {
        version: "v2".to_owned(),
        ..notice("new", 2, 4)
    };
    core.observe_notice(new, now);
    core
}

fn terms(revision: u64, phase: RolloutPhase, stage: RolloutStage) -> RolloutTerms {
    RolloutTerms {
        revision,
        term: 1,
        tick: revision,
        services: vec![RolloutTerm {
            service: SERVICE.to_owned(),
            target: "v2".to_owned(),
            order: 1,
            phase: phase.into(),
            stage: stage.into(),
            shares: Vec::new(),
            default_millionths: 1_000_000,
            lease_millis: 1_000,
            probes: Vec::new(),
            replaced: match phase {
                RolloutPhase::Completed => vec!["v1".to_owned()],
                _ => Vec::new(),
            },
        }],
        answered_millis: None,
    }
}

/// Sends a request, and returns the endpoint that it goes to.
fn send(core: &mut GateCore, now: Instant, prefers_target: bool) -> Option<SmolStr> {
    core.enqueue(WaitingTicket {
        prefers_target,
        ..ticket(now, 0, 100)
    });
    let grants = granted(&core.decide(now));
    grants.first().map(|(_, endpoint)| endpoint.clone())
}

/// Guards against a version under test that gets requests which it wasn't granted, or any after the
/// lease of the entry.
#[test]
fn version_under_test_gets_only_what_is_granted() {
    let now = Instant::now();
    let mut core = two_versions(now);
    let canary = terms(1, RolloutPhase::Active, RolloutStage::Canary);
    core.rollouts.apply(now, &canary, Some(now));
    assert_eq!(send(&mut core, now, true).as_deref(), Some("new"));
    for _ in 0..3 {
        assert_eq!(send(&mut core, now, false).as_deref(), Some("old"));
    }
    let later = now + millis(1_001);
    assert_eq!(send(&mut core, later, true).as_deref(), Some("old"));
    assert_eq!(send(&mut core, later, true), None);
}

/// Guards against requests at a version that was rolled back, or at one that was replaced and whose
/// endpoints are being stopped, and against terms that arrive late.
#[test]
fn ended_roll_out_leaves_one_version() {
    let now = Instant::now();
    let mut core = two_versions(now);
    let back = terms(3, RolloutPhase::RolledBack, RolloutStage::Canary);
    core.rollouts.apply(now, &back, Some(now));
    let late = terms(2, RolloutPhase::Active, RolloutStage::Drain);
    core.rollouts.apply(now, &late, Some(now));
    assert_eq!(send(&mut core, now, true).as_deref(), Some("old"));
    let mut core = two_versions(now);
    let completed = terms(3, RolloutPhase::Completed, RolloutStage::Canary);
    core.rollouts.apply(now, &completed, None);
    for _ in 0..4 {
        assert_eq!(send(&mut core, now, false).as_deref(), Some("new"));
    }
    assert_eq!(send(&mut core, now, false), None);
}

/// Guards against requests that go to the version before while its last ones are awaited, and against
/// requests that are refused because all endpoints of the new version are lost then.
#[test]
fn version_before_serves_again_if_the_new_one_is_lost() {
    let now = Instant::now();
    let mut core = two_versions(now);
    let drain = terms(2, RolloutPhase::Active, RolloutStage::Drain);
    core.rollouts.apply(now, &drain, Some(now));
    for _ in 0..4 {
        assert_eq!(send(&mut core, now, false).as_deref(), Some("new"));
    }
    assert_eq!(send(&mut core, now, false), None);
    let gone = EndpointNotice {
        version: "v2".to_owned(),
        phase: EndpointPhase::Gone.into(),
        sequence: 2,
        ..notice("new", 2, 4)
    };
    core.observe_notice(gone, now);
    let grants = granted(&core.decide(now));
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].1, "old");
}

/// Guards against a roll-out that is completed while requests run at the version before.
#[test]
fn reports_tell_the_requests_in_flight_by_version() {
    let now = Instant::now();
    let mut core = two_versions(now);
    assert!(send(&mut core, now, false).is_some());
    assert!(send(&mut core, now, false).is_some());
    let canary = terms(1, RolloutPhase::Active, RolloutStage::Canary);
    core.rollouts.apply(now, &canary, Some(now));
    assert_eq!(send(&mut core, now, false).as_deref(), Some("old"));
    let report = core.take_rollout_reports(true).remove(0);
    let in_flight = VersionUse {
        target: report.target_running,
        others: report.others_running,
    };
    assert_eq!(in_flight.target + in_flight.others, 3);
    assert!(in_flight.others >= 1);
}
