//! Tests of endpoint selection.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;
use waxwing_core::{ids, units};
use waxwing_policy::choice;

fn load(id: u32, distance_micros: u64, rate: f64) -> Arc<choice::EndpointLoad> {
    let distance = Duration::from_micros(distance_micros);
    let id = choice::EndpointId(id);
    Arc::new(choice::EndpointLoad::new(
        id,
        distance,
        units::TokenRate(rate),
    ))
}

fn loads(count: u32) -> Vec<Arc<choice::EndpointLoad>> {
    (0..count).map(|id| load(id, 0, 1_000.0)).collect()
}

fn demand(count: usize) -> choice::ChoiceDemand<'static> {
    choice::ChoiceDemand {
        rank: ids::TierRank(1),
        prompt: units::TokenCount(400),
        affinity: &[],
        excluded: &[],
        count,
    }
}

fn choose<P: choice::EndpointPolicy>(
    policy: &P,
    demand: &choice::ChoiceDemand<'_>,
    loads: &[Arc<choice::EndpointLoad>],
    seed: u64,
) -> Vec<u32> {
    let mut picks = Vec::new();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    policy.choose(demand, loads, &mut random, &mut picks);
    picks.iter().map(|id| id.0).collect()
}

fn sample(rate: f64, speed: f64, waiting: &[(u8, u64)]) -> choice::LoadSample {
    let waiting = waiting.iter();
    choice::LoadSample {
        prefill_rate: units::TokenRate(rate),
        speed_factor: speed,
        waiting: waiting
            .map(|(rank, tokens)| (ids::TierRank(*rank), units::TokenCount(*tokens)))
            .collect(),
        ..choice::LoadSample::default()
    }
}

/// Guards against an error in the expected time to first token: each term must affect the choice.
#[test_case(0, sample(4_000.0, 1.0, &[]), 0; "faster prefill wins")]
#[test_case(0, sample(1_000.0, 0.2, &[]), 1; "straggler loses")]
#[test_case(0, sample(1_000.0, 1.0, &[(0, 500)]), 1; "more urgent queue ahead loses")]
#[test_case(0, sample(1_000.0, 1.0, &[(1, 500)]), 1; "queue of the same tier loses")]
#[test_case(5_000, sample(1_000.0, 1.0, &[]), 1; "longer distance loses")]
#[test_case(0, sample(1_200.0, 1.0, &[(2, 9_000)]), 0; "less urgent queue does not count")]
fn shortest_expected_time_is_chosen(distance: u64, reported: choice::LoadSample, best: u32) {
    let loads = vec![load(0, distance, 1_000.0), load(1, 0, 1_000.0)];
    loads[0].update(&reported);
    for seed in 0..8 {
        let picks = choose(&choice::LateBinding, &demand(1), &loads, seed);
        assert_eq!(picks, [best]);
    }
}

/// Guards against ignored or overrated prefix affinity: a cached prefix outweighs a shorter queue
/// only by the prompt tokens that it saves.
#[test_case(400, 300, 0; "cached prompt outweighs a queue")]
#[test_case(100, 300, 1; "short prefix does not")]
fn affinity_is_weighed_by_saved_tokens(cached: u64, queue: u64, best: u32) {
    let loads = loads(2);
    loads[0].update(&sample(1_000.0, 1.0, &[(0, queue)]));
    let hints = [choice::AffinityHint {
        endpoint: choice::EndpointId(0),
        cached: units::TokenCount(cached),
    }];
    let demand = choice::ChoiceDemand {
        affinity: &hints,
        ..demand(1)
    };
    assert_eq!(choose(&choice::LateBinding, &demand, &loads, 1), [best]);
}

/// Guards against all entries choosing the same one of many equal endpoints.
#[test]
fn equal_endpoints_share_requests() {
    let loads = loads(10);
    let mut counts = BTreeMap::new();
    for seed in 0..1_000 {
        let picks = choose(&choice::LateBinding, &demand(1), &loads, seed);
        *counts.entry(picks[0]).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 10);
    assert!(counts.values().all(|count| *count > 50), "{counts:?}");
}

/// Guards against invalid values in a report: a time that is infinite, NaN or not positive would
/// attract or repel all requests, or break comparisons.
#[test_case(f64::NAN, f64::NAN)]
#[test_case(f64::INFINITY, -1.0)]
#[test_case(-5.0, 0.0)]
#[test_case(0.0, f64::INFINITY)]
fn invalid_reports_give_a_finite_time(rate: f64, speed: f64) {
    let load = load(0, 100, 1_000.0);
    load.update(&sample(rate, speed, &[(0, u64::MAX), (7, u64::MAX)]));
    let seconds = load.expected_seconds(ids::TierRank(200), units::TokenCount(u64::MAX));
    assert!(seconds.is_finite() && seconds > 0.0, "{seconds}");
}

/// Guards against baselines that don't implement the policy of their name, which would invalidate
/// comparisons with them.
#[test]
fn baselines_implement_their_policy() {
    let loads = loads(3);
    for (load, requests) in loads.iter().zip([5, 1, 9]) {
        load.update(&choice::LoadSample {
            reported_requests: requests,
            ..choice::LoadSample::default()
        });
    }
    let round_robin = choice::RoundRobin::default();
    let turns: Vec<_> = (0..4)
        .flat_map(|seed| choose(&round_robin, &demand(1), &loads, seed))
        .collect();
    assert_eq!(turns, [0, 1, 2, 0]);
    for seed in 0..50 {
        assert_eq!(
            choose(&choice::LeastReported, &demand(1), &loads, seed),
            [1]
        );
        let winner = choose(&choice::TwoChoices, &demand(1), &loads, seed);
        assert_ne!(winner, [2], "the most loaded of three is never chosen");
    }
    let drawn = (0..50).flat_map(|seed| choose(&choice::RandomChoice, &demand(1), &loads, seed));
    assert_eq!(drawn.collect::<std::collections::BTreeSet<_>>().len(), 3);
}

fn check_picks<P: choice::EndpointPolicy>(
    policy: &P,
    wanted: usize,
    excluded: &[choice::EndpointId],
    loads: &[Arc<choice::EndpointLoad>],
    seed: u64,
) {
    let demand = choice::ChoiceDemand {
        excluded,
        ..demand(wanted)
    };
    let picks = choose(policy, &demand, loads, seed);
    let allowed = loads
        .iter()
        .filter(|load| !load.is_closed() && !excluded.contains(&load.id()))
        .count();
    assert!(picks.len() <= wanted, "too many picks");
    assert_eq!(picks.is_empty(), allowed == 0, "{allowed} allowed");
    for (index, pick) in picks.iter().enumerate() {
        assert!(!picks[..index].contains(pick), "picked twice");
        assert!(!excluded.contains(&choice::EndpointId(*pick)));
        assert!(!loads[*pick as usize].is_closed());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against policies that pick a closed or excluded endpoint, pick one twice, or pick
    /// none although one is allowed.
    #[test]
    fn picks_are_allowed_and_distinct(
        closed in prop::collection::vec(any::<bool>(), 0..20),
        excluded in prop::collection::vec(0_u32..20, 0..6),
        wanted in 1_usize..6,
        seed in any::<u64>(),
    ) {
        let loads = loads(u32::try_from(closed.len()).unwrap());
        loads.iter().zip(&closed).for_each(|(load, closed)| load.set_closed(*closed));
        let excluded: Vec<_> = excluded.into_iter().map(choice::EndpointId).collect();
        check_picks(&choice::LateBinding, wanted, &excluded, &loads, seed);
        check_picks(&choice::RandomChoice, wanted, &excluded, &loads, seed);
        check_picks(&choice::RoundRobin::default(), wanted, &excluded, &loads, seed);
        check_picks(&choice::LeastReported, wanted, &excluded, &loads, seed);
        check_picks(&choice::TwoChoices, wanted, &excluded, &loads, seed);
    }
}
