//! Tests of the admission limit, the choice of requests to suspend, and the view of the prefix
//! cache.

use std::time::{Duration, Instant};

use test_case::test_case;
use waxwing_core::{ids, units};
use waxwing_policy::{
    admission::{AdmissionDecision, AdmissionLimit, AdmissionOptions, Reservation},
    cache::{CacheView, PrefixState},
    suspension::{self, CapacityNeeded, RunningRequest},
};

const RATE: units::TokenRate = units::TokenRate(4_000.0);

fn reservation(context: u64, prefill: u64) -> Reservation {
    Reservation {
        context: units::TokenCount(context),
        prefill: units::TokenCount(prefill),
    }
}

fn limit(now: Instant) -> AdmissionLimit {
    let cap = units::TokenCount(65_536);
    let options = AdmissionOptions {
        cap,
        ..AdmissionOptions::default()
    };
    AdmissionLimit::new(options, now)
}

/// Simulates `count` windows in which every token takes `millis`.
fn run_windows(limit: &mut AdmissionLimit, now: &mut Instant, count: usize, millis: u64) {
    for _ in 0..count {
        (0..40).for_each(|_| limit.record_token_interval(Duration::from_millis(millis)));
        *now += Duration::from_millis(500);
        limit.adjust(*now);
    }
}

/// Guards against a limit that stays too high when tokens are late, grows past the capacity of the
/// KV cache, or falls so low that nothing runs.
#[test]
fn limit_follows_the_token_target() {
    let mut now = Instant::now();
    let mut limit = limit(now);
    for _ in 0..20 {
        limit.admit(reservation(3_000, 0));
    }
    run_windows(&mut limit, &mut now, 1, 70);
    assert!(
        limit.token_limit().0 <= 51_000,
        "limit {}",
        limit.token_limit()
    );
    assert!(
        limit.request_limit() <= 17,
        "slots {}",
        limit.request_limit()
    );
    run_windows(&mut limit, &mut now, 50, 70);
    assert_eq!(limit.token_limit().0, 8_192);
    assert_eq!(limit.request_limit(), 4);
    run_windows(&mut limit, &mut now, 200, 50);
    assert_eq!(
        limit.token_limit().0,
        65_536,
        "grows back to the cap and no further"
    );
}

/// Guards against a limit that grows while it is not used, and is then far too high for a burst.
#[test]
fn unused_limit_does_not_grow() {
    let mut now = Instant::now();
    let mut limit = limit(now);
    (0..20).for_each(|_| limit.admit(reservation(3_000, 0)));
    run_windows(&mut limit, &mut now, 3, 70);
    (0..19).for_each(|_| limit.release(reservation(3_000, 0)));
    run_windows(&mut limit, &mut now, 1, 50);
    let before = (limit.token_limit(), limit.request_limit());
    run_windows(&mut limit, &mut now, 20, 50);
    assert_eq!((limit.token_limit(), limit.request_limit()), before);
}

/// Guards against requests queueing inside the engine, which ignores tiers.
#[test]
fn queueing_in_the_engine_lowers_the_limit() {
    let mut limit = limit(Instant::now());
    limit.lower_request_limit(9);
    assert_eq!(limit.request_limit(), 9);
    limit.lower_request_limit(40);
    assert_eq!(limit.request_limit(), 9);
    limit.lower_request_limit(0);
    assert_eq!(limit.request_limit(), 4);
}

/// Guards against counting a window with five late tokens in a hundred as missing the target,
/// and against accepting one with six.
#[test_case(5, false; "five in a hundred are allowed")]
#[test_case(6, true; "six in a hundred are not")]
fn target_is_the_95th_percentile(late: usize, falls: bool) {
    let now = Instant::now();
    let mut limit = limit(now);
    (0..20).for_each(|_| limit.admit(reservation(3_000, 0)));
    let before = limit.token_limit();
    for index in 0..100 {
        let millis = if index < late { 90 } else { 50 };
        limit.record_token_interval(Duration::from_millis(millis));
    }
    limit.adjust(now + Duration::from_millis(500));
    assert_eq!(limit.token_limit() < before, falls);
}

/// Guards against a long prompt that exceeds the target by its own prefill, with nothing queued
/// ahead of it, lowering the limit.
#[test]
fn own_long_prefill_is_no_missed_target() {
    let now = Instant::now();
    let mut limit = limit(now);
    limit.admit(reservation(30_000, 0));
    for _ in 0..20 {
        limit.record_first_token(Duration::from_secs(5), Duration::from_secs(3));
    }
    assert!(!limit.adjust(now + Duration::from_millis(500)));
    for _ in 0..20 {
        limit.record_first_token(Duration::from_secs(2), Duration::from_millis(100));
    }
    assert!(limit.adjust(now + Duration::from_millis(1_000)));
}

/// Guards against a burst of prefill that delays every first token, and against a long prompt that
/// never runs because it exceeds the limits.
#[test]
fn pending_prefill_is_bounded_unless_alone() {
    let mut limit = limit(Instant::now());
    let long_prompt = reservation(65_000, 65_000);
    assert_eq!(limit.decide(long_prompt, RATE), AdmissionDecision::Fits);
    limit.admit(reservation(3_000, 300));
    // 0.12 of 0.99 s at 4,000 tokens/s is 475 tokens.
    assert_eq!(
        limit.decide(reservation(175, 175), RATE),
        AdmissionDecision::Fits
    );
    assert_eq!(
        limit.decide(reservation(176, 176), RATE),
        AdmissionDecision::LacksPrefill
    );
    let mut held = reservation(3_000, 300);
    limit.prefill_done(&mut held);
    assert_eq!(
        limit.decide(reservation(20_000, 20_000), RATE),
        AdmissionDecision::Fits
    );
    assert!(matches!(
        limit.decide(long_prompt, RATE),
        AdmissionDecision::LacksTokens(_)
    ));
}

fn running_request(request: u128, rank: u8, context: u64) -> RunningRequest {
    RunningRequest {
        request: ids::RequestId(request),
        rank: ids::TierRank(rank),
        can_suspend: true,
        context: units::TokenCount(context),
        started: Instant::now(),
    }
}

fn victims(running: Vec<RunningRequest>, tokens: u64) -> Vec<u128> {
    let wanted = CapacityNeeded::Tokens(units::TokenCount(tokens));
    let victims = suspension::choose_victims(running, ids::TierRank(1), wanted);
    victims.into_iter().map(|request| request.0).collect()
}

/// Guards against suspending a higher tier while a lower one runs.
#[test]
fn lowest_tier_is_suspended_first() {
    let running = vec![
        running_request(1, 2, 1_000),
        running_request(2, 4, 1_000),
        running_request(3, 3, 1_000),
    ];
    assert_eq!(victims(running.clone(), 1_000), vec![2]);
    assert_eq!(victims(running, 2_500), vec![2, 3, 1]);
}

/// Guards against suspensions that don't free enough capacity.
#[test]
fn nothing_is_suspended_without_enough_candidates() {
    let mut not_suspendable = running_request(2, 4, 9_000);
    not_suspendable.can_suspend = false;
    let running = vec![
        running_request(1, 2, 1_000),
        not_suspendable,
        running_request(3, 1, 9_000),
    ];
    assert!(victims(running, 1_001).is_empty());
}

/// Guards against trusting blocks that a lost event may have evicted, and against treating all of
/// them as evicted.
#[test]
fn event_gap_makes_blocks_stale() {
    let mut view = CacheView::new(units::TokenCount(16_000));
    let hashes: Vec<u64> = (1..=100).collect();
    view.record_prompt(&hashes);
    assert!(!view.apply_event(1, true, &[1_001]));
    assert_eq!(view.expected_tokens(&[50, 100]).0, 1_600);
    assert!(view.apply_event(3, true, &hashes[..50]));
    assert_eq!(view.prefix_state(50), PrefixState::Cached);
    assert_eq!(view.prefix_state(100), PrefixState::Stale);
    assert_eq!(view.prefix_state(7_000), PrefixState::Absent);
    // The first 50 blocks are cached; the 50 stale ones count half.
    assert_eq!(view.expected_tokens(&[50, 100]).0, 1_200);
    assert!(
        !view.apply_event(2, false, &hashes),
        "an outdated event is ignored"
    );
    assert_eq!(view.prefix_state(50), PrefixState::Cached);
}

/// Guards against counting prefixes as cached after the engine has evicted them.
#[test]
fn evicted_prefixes_are_not_expected() {
    let mut view = CacheView::new(units::TokenCount(16_000));
    view.record_prompt(&[1, 2, 3, 4]);
    view.watch(&[1, 3, 9]);
    assert_eq!(
        view.take_deltas().cached,
        vec![1, 3],
        "only prefixes named in offers"
    );
    view.apply_event(1, false, &[3, 4]);
    assert_eq!(view.expected_tokens(&[1, 2, 3]).0, 32);
    let deltas = view.take_deltas();
    assert_eq!(deltas.evicted, vec![3]);
    assert!(deltas.cached.is_empty());
    assert!(!view.record_cached_tokens(&[1, 2], 32));
    assert!(
        view.record_cached_tokens(&[1, 2], 16),
        "a cache miss must be detected"
    );
}

/// Guards against a view that exceeds the engine's cache capacity, or evicts a prefix before the
/// blocks that extend it.
#[test]
fn least_recently_used_blocks_are_evicted_first() {
    let mut view = CacheView::new(units::TokenCount(160));
    view.record_prompt(&[1, 2, 3, 4, 5, 6]);
    view.record_prompt(&[11, 12, 13, 14, 15, 16]);
    assert_eq!(view.len(), 10);
    assert_eq!(view.expected_tokens(&[11, 16]).0, 96);
    assert_eq!(view.prefix_state(4), PrefixState::Cached);
    assert_eq!(view.prefix_state(5), PrefixState::Absent);
}
