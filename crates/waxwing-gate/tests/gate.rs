//! Order in which requests start, choice of endpoints, and refusals.

mod support;

use std::time::{Duration, Instant};

use smol_str::SmolStr;
use waxwing_gate::tickets;
use waxwing_wire::messages;

use support::{gate, gate_with_queue, granted, millis, notice, refused, ticket};

#[test]
fn urgent_request_overtakes_queued_ones() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 1)]);
    let first = core.enqueue(ticket(now, 2, 100));
    assert_eq!(granted(&core.decide(now)).len(), 1);
    let patient = tickets::WaitingTicket {
        due: now + millis(5_000),
        ..ticket(now, 2, 100)
    };
    let bulk = core.enqueue(patient);
    let urgent = core.enqueue(ticket(now, 0, 100));
    assert!(core.decide(now).is_empty());
    core.finish(&SmolStr::new("one"), ticket(now, 2, 100).size, true);
    let started = granted(&core.decide(now));
    assert_eq!(started[0].0, urgent);
    assert_eq!(core.waiting(), 1);
    assert_ne!(bulk, first);
}

#[test]
fn no_endpoint_gets_more_than_its_slots() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 3), ("two", 2, 2)]);
    for _ in 0..20 {
        core.enqueue(ticket(now, 1, 100));
    }
    assert_eq!(granted(&core.decide(now)).len(), 5);
}

/// When all slots are taken, one request queues at each endpoint, so that its slots are never empty
/// between two runs, and the others stay queued at the entry.
#[test]
fn each_endpoint_queues_one_request_beyond_its_slots() {
    let now = Instant::now();
    let mut core = gate_with_queue(now, &[("one", 1, 3), ("two", 2, 2)], 1);
    for _ in 0..20 {
        core.enqueue(ticket(now, 1, 100));
    }
    assert_eq!(granted(&core.decide(now)).len(), 7);
}

#[test]
fn requests_of_other_entries_occupy_slots() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 3)]);
    let used = messages::EndpointUse {
        limit: None,
        pace: None,
        id: "one".to_owned(),
        running: 2,
        pending_prefill: 0,
    };
    let update = messages::LoadUpdate {
        endpoints: vec![used],
        accounts: Vec::new(),
        whole: true,
        demands: Vec::new(),
        age_millis: 0,
        crashes: None,
        data_centre: String::new(),
    };
    core.apply_update(now, support::address(99), update);
    for _ in 0..5 {
        core.enqueue(ticket(now, 1, 100));
    }
    assert_eq!(granted(&core.decide(now)).len(), 1);
    core.forget_peer(now, support::address(99));
    assert_eq!(granted(&core.decide(now)).len(), 2);
}

/// Guards against a load update with absurd counts that ends the process of each entry that gets it:
/// sums over the entries overflowed.
#[test]
fn absurd_counts_of_other_entries_do_not_end_the_process() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 3)]);
    for host in [98, 99] {
        let update = messages::LoadUpdate {
            endpoints: vec![messages::EndpointUse {
                limit: None,
                pace: None,
                id: "one".to_owned(),
                running: u32::MAX,
                pending_prefill: u64::MAX,
            }],
            accounts: Vec::new(),
            whole: true,
            demands: Vec::new(),
            age_millis: u64::MAX,
            crashes: None,
            data_centre: String::new(),
        };
        core.apply_update(now, support::address(host), update);
    }
    core.enqueue(ticket(now, 1, u64::MAX));
    assert!(granted(&core.decide(now)).is_empty());
    assert_eq!(core.loads(now).len(), 1);
    core.forget_peer(now, support::address(98));
    core.forget_peer(now, support::address(99));
    core.enqueue(ticket(now, 1, 100));
    assert!(!granted(&core.decide(now)).is_empty());
}

#[test]
fn draining_endpoint_gets_no_new_requests() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 3)]);
    let draining = messages::EndpointNotice {
        phase: messages::EndpointPhase::Draining.into(),
        sequence: 2,
        ..notice("one", 1, 3)
    };
    core.observe_notice(draining, now);
    // A delayed notice must not make it usable again.
    core.observe_notice(notice("one", 1, 3), now);
    core.enqueue(ticket(now, 0, 100));
    assert!(core.decide(now).is_empty());
}

#[test]
fn request_that_cannot_start_in_time_is_refused_with_a_retry_delay() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 1)]);
    core.enqueue(ticket(now, 0, 100));
    core.decide(now);
    let waiting = core.enqueue(ticket(now, 0, 100));
    assert!(core.decide(now + millis(100)).is_empty());
    let decisions = core.decide(now + millis(900));
    assert_eq!(refused(&decisions), vec![waiting]);
    let tickets::GateDecision::Refuse { retry_after, .. } = decisions[0] else {
        panic!("{decisions:?}");
    };
    let after = retry_after.expect("the caller has time left");
    assert!(after < millis(5_000), "{after:?}");
}

#[test]
fn failing_endpoint_is_ejected() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 9), ("two", 2, 9)]);
    for _ in 0..3 {
        core.record_failure(now, &SmolStr::new("one"));
    }
    for _ in 0..4 {
        core.enqueue(ticket(now, 0, 100));
    }
    let started = granted(&core.decide(now));
    assert!(started.iter().all(|(_, endpoint)| endpoint == "two"));
}

#[test]
fn unreachable_endpoint_is_ejected_immediately() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 9)]);
    core.record_connect_failure(now, &SmolStr::new("one"));
    core.enqueue(ticket(now, 0, 100));
    assert!(core.decide(now).is_empty());
    assert_eq!(granted(&core.decide(now + millis(700))).len(), 1);
}

/// All endpoints of a service fail one request in ten. If such failures ejected endpoints, the
/// others would be overloaded and requests refused.
#[test]
fn single_failures_do_not_eject_endpoints() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 4), ("two", 2, 4), ("three", 3, 4)]);
    for id in ["one", "two", "three"] {
        core.record_success(now, &SmolStr::new(id));
        core.record_failure(now, &SmolStr::new(id));
    }
    for _ in 0..12 {
        core.enqueue(ticket(now, 0, 100));
    }
    assert_eq!(granted(&core.decide(now)).len(), 12);
}

/// An endpoint fails nearly half of its requests while its health check succeeds.
#[test]
fn partially_failing_endpoint_is_chosen_last() {
    let now = Instant::now();
    let mut core = gate(now, &[("grey", 1, 9), ("sound", 2, 9)]);
    for round in 0..20 {
        core.record_success(now, &SmolStr::new("sound"));
        match round % 2 {
            0 => core.record_success(now, &SmolStr::new("grey")),
            _ => core.record_failure(now, &SmolStr::new("grey")),
        }
    }
    for _ in 0..9 {
        core.enqueue(ticket(now, 0, 100));
    }
    let started = granted(&core.decide(now));
    assert!(started.iter().all(|(_, endpoint)| endpoint == "sound"));
}

#[test]
fn endpoint_without_recent_notices_is_not_used() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 9)]);
    let later = now + millis(6_000);
    core.enqueue(ticket(later, 0, 100));
    assert!(granted(&core.decide(later)).is_empty());
}

/// Guards against a resumed stream that is cut off because its request is old: 4.2 s into a draft
/// with 10 s left, it didn't wait for an endpoint.
#[test]
fn resumed_stream_waits_for_a_slot() {
    let start = Instant::now();
    let mut core = gate(start, &[("one", 1, 1)]);
    core.enqueue(ticket(start, 0, 100));
    assert_eq!(granted(&core.decide(start)).len(), 1);
    let now = start + millis(4_000);
    let resumed = tickets::WaitingTicket {
        queued: now,
        resumed: true,
        ..ticket(start, 0, 100)
    };
    let resumed = core.enqueue(resumed);
    assert!(core.decide(now).is_empty());
    assert!(core.decide(now + millis(500)).is_empty());
    core.finish(&SmolStr::new("one"), ticket(start, 0, 100).size, true);
    let started = granted(&core.decide(now + millis(600)));
    assert_eq!(started, vec![(resumed, SmolStr::new("one"))]);
}

/// Engines of different speeds get prompts of one size; the faster one must get more of them.
#[test]
fn faster_engines_get_more_prompts() {
    let mut now = Instant::now();
    let mut core = gate(now, &[("fast", 1, 40), ("slow", 2, 40)]);
    let size = ticket(now, 0, 6_000).size;
    for (id, took) in [("fast", 30), ("slow", 150)] {
        for _ in 0..20 {
            core.record_first_event(now, &SmolStr::new(id), size, 6_000, millis(took));
        }
    }
    let mut counts = std::collections::HashMap::new();
    for _ in 0..30 {
        now += millis(5);
        core.enqueue(ticket(now, 0, 6_000));
        for (_, endpoint) in granted(&core.decide(now)) {
            *counts.entry(endpoint).or_insert(0) += 1;
        }
    }
    assert!(counts["fast"] >= 2 * counts.get("slow").copied().unwrap_or(0));
}

#[test]
fn restarted_endpoint_has_no_requests_in_flight() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 1)]);
    core.enqueue(ticket(now, 0, 100));
    assert_eq!(granted(&core.decide(now)).len(), 1);
    let moved = messages::EndpointNotice {
        born: Some(2),
        ..notice("one", 7, 1)
    };
    core.observe_notice(moved, now);
    core.enqueue(ticket(now, 0, 100));
    assert_eq!(granted(&core.decide(now)).len(), 1);
}

/// Guards against sound requests that are shut out after a crash: an endpoint that starts again
/// under its former id is used at once, although its former life was ejected.
#[test]
fn restarted_endpoint_is_not_ejected_for_its_former_life() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 3)]);
    let id = SmolStr::new("one");
    for _ in 0..6 {
        core.record_connect_failure(now, &id);
    }
    core.enqueue(ticket(now, 1, 100));
    assert!(granted(&core.decide(now)).is_empty());
    let again = messages::EndpointNotice {
        born: Some(2),
        ..notice("one", 1, 3)
    };
    core.observe_notice(again, now);
    assert_eq!(granted(&core.decide(now)).len(), 1);
}

/// Guards against requests to an endpoint that has stated that it leaves while late notices still
/// call it ready, and against one that gets none after it has started again.
#[test]
fn leaving_endpoint_gets_requests_only_after_a_new_start() {
    let now = Instant::now();
    let id = SmolStr::new("one");
    let mut core = support::gate(now, &[("one", 1, 4)]);
    assert!(core.record_leaving(&id));
    assert!(!core.record_leaving(&id));
    let mut late = support::notice("one", 1, 4);
    late.sequence = 2;
    core.observe_notice(late.clone(), now);
    core.enqueue(ticket(now, 0, 100));
    assert!(granted(&core.decide(now)).is_empty());
    late.born = late.born.map(|born| born + 1);
    late.sequence = 1;
    core.observe_notice(late, now);
    assert_eq!(granted(&core.decide(now)).len(), 1);
}

/// Guards against requests to an endpoint before the time that it gave with a refusal, and against
/// times that are out of range.
#[test]
fn paused_endpoint_gets_requests_again_in_time() {
    let start = Instant::now();
    let id = SmolStr::new("one");
    let mut core = gate(start, &[("one", 1, 4)]);
    core.record_pause(start, &id, millis(2_000));
    core.record_pause(start, &id, millis(500));
    // The request that arrives during the pause starts together with the one after it.
    for (elapsed, starts) in [(1_900, 0), (2_100, 2)] {
        let now = start + millis(elapsed);
        core.observe_notice(notice("one", 1, 4), now);
        core.record_success(now, &id);
        core.enqueue(ticket(now, 0, 100));
        assert_eq!(granted(&core.decide(now)).len(), starts, "{elapsed}");
    }
    core.record_pause(start, &id, Duration::MAX);
    core.enqueue(ticket(start, 0, 100));
    assert!(granted(&core.decide(start)).is_empty());
}

/// Guards against a request that waits for its whole patience beside free slots: the only usable
/// endpoint had failed it.
#[test]
fn request_goes_back_to_the_only_endpoint_after_a_pause() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 3)]);
    let failed = tickets::WaitingTicket {
        excluded: vec![SmolStr::new("one")],
        resumed: true,
        ..ticket(now, 1, 100)
    };
    core.enqueue(failed.clone());
    assert!(core.decide(now).is_empty());
    assert_eq!(granted(&core.decide(now + millis(150))).len(), 1);
    // Another usable endpoint goes first, without a pause.
    core.observe_notice(notice("two", 2, 1), now);
    core.enqueue(failed);
    assert_eq!(granted(&core.decide(now))[0].1, "two");
}

/// Guards against a run that is started again at the endpoint that is at work on it, and against a
/// wait that can't end well: the refusal is immediate and names its cause.
#[test]
fn request_with_nowhere_to_go_is_refused_at_once() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 3)]);
    core.enqueue(tickets::WaitingTicket {
        excluded: vec![SmolStr::new("one")],
        resumed: true,
        may_go_back: false,
        ..ticket(now, 1, 100)
    });
    let decisions = core.decide(now);
    assert!(matches!(
        decisions[..],
        [tickets::GateDecision::Refuse {
            reason: tickets::RefusalReason::NoOtherEndpoint,
            ..
        }]
    ));
}

/// Guards against one name for different causes of a refusal.
#[test]
fn refusals_name_their_cause() {
    let now = Instant::now();
    let mut core = gate(now, &[("one", 1, 1)]);
    for _ in 0..40 {
        core.enqueue(ticket(now, 1, 100));
    }
    let reasons = |decisions: Vec<tickets::GateDecision>| {
        let reasons = decisions.into_iter().filter_map(|decision| match decision {
            tickets::GateDecision::Refuse { reason, .. } => Some(reason),
            tickets::GateDecision::Grant { .. } => None,
        });
        reasons.collect::<std::collections::HashSet<_>>()
    };
    let early = reasons(core.decide(now));
    assert_eq!(early, [tickets::RefusalReason::NoRoom].into());
    let patient = tickets::WaitingTicket {
        due: now + millis(2_000),
        ..ticket(now, 0, 100)
    };
    core.enqueue(patient);
    core.decide(now);
    let late = reasons(core.decide(now + millis(2_001)));
    assert!(
        late.contains(&tickets::RefusalReason::WaitedOut),
        "{late:?}"
    );
}

/// Guards against an endpoint that gets no requests because a control host that didn't know it told
/// late of the departure of an earlier life, without an address.
#[test]
fn departure_of_an_earlier_life_removes_no_endpoint() {
    let now = Instant::now();
    let mut core = gate(now, &[]);
    let restarted = messages::EndpointNotice {
        born: Some(9),
        ..notice("one", 1, 3)
    };
    core.observe_notice(restarted, now);
    let departure = |born| messages::EndpointNotice {
        id: "one".to_owned(),
        born: Some(born),
        phase: messages::EndpointPhase::Gone.into(),
        ..messages::EndpointNotice::default()
    };
    core.observe_notice(departure(5), now);
    assert!(core.endpoint("one").is_some());
    core.observe_notice(departure(9), now);
    assert!(core.endpoint("one").is_none());
}
