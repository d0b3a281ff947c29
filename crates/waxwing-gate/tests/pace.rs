//! Hosts whose pace changes several times a second, and entries that hear of it late: the estimate,
//! what entries tell each other, and the placement of long prompts that follows.

mod support;

use std::time::{Duration, Instant};

use smol_str::SmolStr;
use test_case::test_case;
use waxwing_core::units::HostPace;
use waxwing_fleet::dialects;
use waxwing_gate::{
    gate,
    pace::{PaceEstimate, PaceModel, PaceSample},
    pauses::StreamPause,
    tickets,
};

use support::{granted, millis, ticket};

const PAUSE: StreamPause = StreamPause {
    longest: Duration::from_millis(300),
    event_tokens: 8,
};

fn pace(percent: f64) -> HostPace {
    HostPace::from_percent(percent).unwrap()
}

fn load(percent: f64) -> dialects::LoadFacts {
    dialects::LoadFacts {
        running: 0,
        waiting: 0,
        slots: 12,
        pace: dialects::PaceStatement::Stated(pace(percent)),
    }
}

/// A host that is two and a half times as slow for 600 ms of every four seconds, heard of every
/// `interval`.
fn observe_changing_host(start: Instant, interval: u64) -> (PaceEstimate, PaceModel) {
    let (mut estimate, mut model) = (PaceEstimate::default(), PaceModel::default());
    for at in (0..60_000).step_by(usize::try_from(interval).unwrap()) {
        let percent = if at % 4_000 < 600 { 250.0 } else { 100.0 };
        let at = start + millis(at);
        let pace = pace(percent);
        estimate.observe(PaceSample { pace, at }, &mut model);
    }
    (estimate, model)
}

/// A fresh statement counts nearly in full, and an old one says no more than the level of the host.
#[test]
fn estimate_returns_to_the_level_as_a_statement_ages() {
    let start = Instant::now();
    let (mut estimate, mut model) = observe_changing_host(start, 40);
    let at = start + millis(60_040);
    let slow = pace(250.0);
    estimate.observe(PaceSample { pace: slow, at }, &mut model);
    let fresh = estimate.expected(at + millis(20), &model);
    let old = estimate.expected(at + millis(5_000), &model);
    assert!(fresh > 2.0, "{fresh}");
    assert!((1.0..1.5).contains(&old), "{old}");
}

/// The persistence is measured: on hosts that change with every statement, the newest one is no
/// better than the level.
#[test]
fn statements_of_a_host_that_changes_all_the_time_count_little() {
    let start = Instant::now();
    let (mut estimate, mut model) = (PaceEstimate::default(), PaceModel::default());
    for number in 0..600 {
        let percent = if number % 2 == 0 { 100.0 } else { 250.0 };
        let at = start + millis(number * 70);
        let pace = pace(percent);
        estimate.observe(PaceSample { pace, at }, &mut model);
    }
    let at = start + millis(599 * 70);
    let expected = estimate.expected(at + millis(70), &model);
    assert!((1.5..2.0).contains(&expected), "{expected}");
}

/// One odd figure neither closes nor attracts an endpoint for long.
#[test_case(10_000.0; "huge")]
#[test_case(1.0; "tiny")]
fn odd_statement_is_forgotten_with_the_next_ones(odd: f64) {
    let start = Instant::now();
    let (mut estimate, mut model) = observe_changing_host(start, 40);
    let level = estimate.expected(start + millis(90_000), &model);
    let odd_time = start + millis(60_040);
    let sample = |percent, at| PaceSample {
        pace: pace(percent),
        at,
    };
    estimate.observe(sample(odd, odd_time), &mut model);
    let next = odd_time + millis(40);
    estimate.observe(sample(100.0, next), &mut model);
    let expected = estimate.expected(next, &model);
    assert!((expected / level - 1.0).abs() < 0.8, "{expected} {level}");
}

/// A statement that was delayed must not replace a newer one.
#[test]
fn older_statement_does_not_replace_a_newer_one() {
    let start = Instant::now();
    let (mut estimate, mut model) = (PaceEstimate::default(), PaceModel::default());
    let sample = |percent, at| PaceSample {
        pace: pace(percent),
        at: start + millis(at),
    };
    assert!(estimate.observe(sample(100.0, 500), &mut model));
    assert!(!estimate.observe(sample(250.0, 400), &mut model));
    assert_eq!(estimate.newest().unwrap().pace, pace(100.0));
}

/// Without a statement everything is expected as before.
#[test]
fn silent_host_has_the_usual_pace() {
    let (estimate, model) = (PaceEstimate::default(), PaceModel::default());
    let expected = estimate.expected(Instant::now(), &model);
    assert!((expected - 1.0).abs() < 1e-9);
    assert!((model.mean() - 1.0).abs() < 1e-9);
}

/// Entries pass on what they were told, once, and not what others told them.
#[test]
fn entries_pass_on_what_they_were_told() {
    let now = Instant::now();
    let endpoints = [("one", 1, 4)];
    let mut first = support::entry(now, 1, &endpoints, 0);
    let mut second = support::entry(now, 2, &endpoints, 0);
    let id = SmolStr::new("one");
    first.enqueue(ticket(now, 0, 100));
    assert_eq!(granted(&first.decide(now)).len(), 1);
    first.record_load(now, &id, load(250.0));
    let update = first.take_update(now, false);
    let told = update.endpoints[0].pace.unwrap();
    assert_eq!(told.percent, 250);
    second.apply_update(now + millis(60), support::address(1), update);
    let view = second.endpoint("one").unwrap();
    assert_eq!(view.pace.newest().unwrap().pace, pace(250.0));
    second.enqueue(ticket(now, 0, 100));
    assert_eq!(granted(&second.decide(now)).len(), 1);
    assert_eq!(second.take_update(now, false).endpoints[0].pace, None);
    first.finish(&id, ticket(now, 0, 100).size, true);
    assert_eq!(first.take_update(now, false).endpoints[0].pace, None);
    assert!(first.take_update(now, true).endpoints[0].pace.is_some());
}

/// What was said of a former life of an endpoint, or is no pace at all, changes nothing.
#[test_case(250, 7; "another life")]
#[test_case(0, 1; "zero")]
#[test_case(u32::MAX, 1; "huge")]
fn false_statement_of_another_entry_is_ignored(percent: u32, born: u64) {
    let now = Instant::now();
    let mut core = support::gate(now, &[("one", 1, 4)]);
    let mut update = core.take_update(now, true);
    update.endpoints = vec![waxwing_wire::messages::EndpointUse {
        id: "one".to_owned(),
        pace: Some(waxwing_wire::messages::PaceStatement {
            percent,
            age_millis: 0,
            born: Some(born),
        }),
        ..waxwing_wire::messages::EndpointUse::default()
    }];
    core.apply_update(now, support::address(9), update);
    assert_eq!(core.endpoint("one").unwrap().pace.newest(), None);
}

/// An endpoint that has started again has stated nothing yet.
#[test]
fn restart_forgets_the_pace() {
    let now = Instant::now();
    let mut core = support::gate(now, &[("one", 1, 4)]);
    core.record_load(now, &SmolStr::new("one"), load(250.0));
    let restarted = waxwing_wire::messages::EndpointNotice {
        born: Some(2),
        ..support::notice("one", 1, 4)
    };
    core.observe_notice(restarted, now);
    assert_eq!(core.endpoint("one").unwrap().pace.newest(), None);
}

fn stream(now: Instant, prompt: u64) -> tickets::WaitingTicket {
    tickets::WaitingTicket {
        due: now + millis(600),
        pause: Some(PAUSE),
        ..ticket(now, 0, prompt)
    }
}

/// Builds a gate with endpoints whose hosts state a pace in percent; each runs a short stream.
fn gate_with_paces(now: Instant, paces: &[(&str, f64)]) -> gate::GateCore {
    let endpoints: Vec<_> = paces
        .iter()
        .zip(1..)
        .map(|((id, _), n)| (*id, n, 4))
        .collect();
    let mut core = support::gate(now, &endpoints);
    for (id, percent) in paces {
        core.record_load(now, &SmolStr::new(id), load(*percent));
    }
    let used = paces
        .iter()
        .map(|(id, _)| waxwing_wire::messages::EndpointUse {
            id: (*id).to_owned(),
            running: 1,
            pending_prefill: 0,
            limit: None,
            pace: None,
        });
    let mut update = core.take_update(now, true);
    update.endpoints = used.collect();
    core.apply_update(now, support::address(90), update);
    core
}

/// Guards against long prompts at slow hosts, where reading one makes all streams late: a third of
/// the streams of a slow host paused for longer than their callers allow.
#[test]
fn long_prompt_goes_where_it_delays_no_stream() {
    let now = Instant::now();
    let mut core = gate_with_paces(now, &[("slow", 200.0), ("usual", 100.0)]);
    // The usual host has more to read, so its first event is expected later.
    let mut update = core.take_update(now, true);
    update.endpoints = vec![waxwing_wire::messages::EndpointUse {
        id: "usual".to_owned(),
        running: 2,
        pending_prefill: 12_000,
        limit: None,
        pace: None,
    }];
    core.apply_update(now, support::address(91), update);
    core.enqueue(stream(now, 6_000));
    assert_eq!(granted(&core.decide(now))[0].1, "usual");
}

/// While the hosts that would read it quickly are full, a long prompt waits for one of them for half
/// of its patience, and short ones behind it take the slots of the slow host.
#[test]
fn long_prompt_waits_for_a_host_that_reads_it_in_time() {
    let now = Instant::now();
    let mut core = gate_with_paces(now, &[("slow", 280.0), ("fast", 55.0)]);
    for _ in 0..3 {
        core.enqueue(stream(now, 100));
    }
    let started = granted(&core.decide(now));
    assert!(started.iter().all(|(_, id)| id == "fast"), "{started:?}");
    let long = core.enqueue(stream(now, 9_000));
    let short = core.enqueue(stream(now, 300));
    let started = granted(&core.decide(now));
    assert_eq!(started, vec![(short, SmolStr::new("slow"))]);
    let started = granted(&core.decide(now + millis(280)));
    assert_eq!(started, vec![(long, SmolStr::new("slow"))]);
}

/// An answer in time goes before the streams of others: a prompt that is long anywhere is not left
/// to an idle slow host that can only begin it late.
#[test]
fn prompt_that_is_long_anywhere_goes_where_it_is_answered_in_time() {
    let now = Instant::now();
    let mut core = gate_with_paces(now, &[("fast", 55.0)]);
    core.observe_notice(support::notice("idle", 7, 4), now);
    core.record_load(now, &SmolStr::new("idle"), load(280.0));
    core.enqueue(stream(now, 40_000));
    assert_eq!(granted(&core.decide(now))[0].1, "fast");
}

/// Guards against slots of slow hosts that stay empty under overload: an urgent request that waits
/// at another entry for a faster host kept them from everyone, so that the least urgent kind was
/// served less than a quarter as often as the others. The slots of faster hosts stay claimed.
#[test_case(280.0, true; "slower than what the other one wants")]
#[test_case(100.0, false; "as the other one wants it")]
fn declined_endpoint_is_left_to_requests_of_other_entries(percent: f64, is_taken: bool) {
    let now = Instant::now();
    let mut core = gate_with_paces(now, &[("one", percent)]);
    let mut update = core.take_update(now, true);
    update.endpoints.clear();
    update.demands = vec![waxwing_wire::messages::ServiceDemand {
        service: support::SERVICE.to_owned(),
        recent_thousandths: 50_000,
        running: 0,
        waiting: 1,
        account_rank: 0,
        route_rank: 0,
        declined_percent: 250,
    }];
    core.apply_update(now, support::address(92), update);
    core.enqueue(tickets::WaitingTicket {
        rank: (2, 2),
        ..stream(now, 300)
    });
    assert_eq!(!granted(&core.decide(now)).is_empty(), is_taken);
}

/// An entry tells the others which hosts its most urgent request declines.
#[test]
fn entry_tells_which_hosts_its_first_request_declines() {
    let now = Instant::now();
    let mut core = gate_with_paces(now, &[("slow", 280.0), ("fast", 55.0)]);
    for _ in 0..3 {
        core.enqueue(stream(now, 100));
    }
    core.decide(now);
    core.count_request(now, &SmolStr::new(support::SERVICE));
    core.enqueue(stream(now, 9_000));
    assert!(granted(&core.decide(now)).is_empty());
    let demands = core.take_update(now, false).demands;
    assert_eq!(demands[0].declined_percent, 280);
}
