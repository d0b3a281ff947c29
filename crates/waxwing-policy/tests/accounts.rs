//! Tests of retry budgets, backoff, account limits and the prefix map.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;
use waxwing_core::{clock::Clock as _, clock::ManualClock, ids, reasons, units};
use waxwing_policy::{accounts, budget, choice, prefixes};

const LIMITS: budget::BudgetLimits = budget::BudgetLimits {
    share: 0.1,
    burst: 10,
};

fn account(name: &str) -> ids::AccountName {
    name.parse().unwrap()
}

/// Guards against retries that amplify the load on a failing fleet.
#[test_case(0, 10)]
#[test_case(100, 20)]
#[test_case(1_000, 110)]
fn retries_dont_exceed_share_and_burst(requests: u32, max_retries: u32) {
    let mut retries = budget::RetryBudget::new();
    let name = account("orders");
    let rank = ids::TierRank(0);
    let mut taken = 0;
    for _ in 0..requests {
        retries.earn(&name, rank, LIMITS);
        while retries.withdraw(&name, rank, LIMITS) {
            taken += 1;
        }
    }
    taken += (0..50)
        .filter(|_| retries.withdraw(&name, rank, LIMITS))
        .count() as u32;
    assert!(
        taken <= max_retries && taken + 1 >= max_retries,
        "{taken} retries of {max_retries}"
    );
}

/// Guards against one account or tier exhausting the retry budget of another.
#[test]
fn budgets_are_independent_per_account_and_tier() {
    let mut retries = budget::RetryBudget::new();
    let (large, small) = (account("large"), account("small"));
    while retries.withdraw(&large, ids::TierRank(0), LIMITS) {}
    assert!(retries.withdraw(&large, ids::TierRank(1), LIMITS));
    assert!(retries.withdraw(&small, ids::TierRank(0), LIMITS));
}

/// Guards against synchronized retries, and against delay bounds outside of 50 ms to 2 s.
#[test]
fn backoff_delays_are_jittered_below_their_bound() {
    let backoff = budget::BackoffPolicy::default();
    let bounds: Vec<_> = (0..8).map(|attempt| backoff.bound(attempt)).collect();
    let millis = [50, 100, 200, 400, 800, 1_600, 2_000, 2_000];
    assert_eq!(bounds, millis.map(Duration::from_millis));
    assert_eq!(backoff.bound(u32::MAX), Duration::from_secs(2));
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let delays: Vec<_> = (0..100).map(|_| backoff.delay(3, &mut random)).collect();
    assert!(delays.iter().all(|delay| *delay <= bounds[3]));
    let low = delays
        .iter()
        .filter(|delay| **delay < bounds[3] / 2)
        .count();
    assert!(
        (30..70).contains(&low),
        "full jitter: {low} of 100 delays in the lower half"
    );
}

fn admit(
    table: &mut accounts::AccountTable,
    limits: &accounts::AccountLimits,
    tokens: u64,
    now: Instant,
) -> Result<(), reasons::RefusalReason> {
    table
        .admit(&account("orders"), limits, units::TokenCount(tokens), now)
        .map_err(|refusal| refusal.reason)
}

/// Guards against exceeding the request rate, and against a bucket that isn't refilled by a pause
/// or that accumulates more than one second of the rate.
#[test]
fn request_rate_is_not_exceeded() {
    let clock = ManualClock::new();
    let limits = accounts::AccountLimits {
        requests_per_second: Some(5.0),
        ..accounts::AccountLimits::default()
    };
    let mut table = accounts::AccountTable::new();
    let burst = (0..9).filter(|_| admit(&mut table, &limits, 1, clock.now()).is_ok());
    assert_eq!(burst.count(), 5);
    let refused = admit(&mut table, &limits, 1, clock.now());
    assert_eq!(refused, Err(reasons::RefusalReason::AccountRate));
    clock.advance(Duration::from_millis(200));
    assert_eq!(admit(&mut table, &limits, 1, clock.now()), Ok(()));
    clock.advance(Duration::from_secs(60));
    let burst = (0..9).filter(|_| admit(&mut table, &limits, 1, clock.now()).is_ok());
    assert_eq!(
        burst.count(),
        5,
        "a long pause refills one second of the rate"
    );
}

/// Guards against a concurrency slot that is not released, or released twice.
#[test]
fn concurrency_slots_are_limited_and_released() {
    let clock = ManualClock::new();
    let limits = accounts::AccountLimits {
        concurrent_requests: Some(2),
        ..accounts::AccountLimits::default()
    };
    let mut table = accounts::AccountTable::new();
    assert_eq!(admit(&mut table, &limits, 1, clock.now()), Ok(()));
    assert_eq!(admit(&mut table, &limits, 1, clock.now()), Ok(()));
    let refused = admit(&mut table, &limits, 1, clock.now());
    assert_eq!(refused, Err(reasons::RefusalReason::AccountConcurrency));
    table.release(&account("orders"));
    assert_eq!(admit(&mut table, &limits, 1, clock.now()), Ok(()));
    assert_eq!(table.running(&account("orders")), 2);
}

/// Guards against prompts longer than one second of the token rate being refused forever, or being
/// admitted without their full charge.
#[test]
fn long_prompt_overdraws_the_token_bucket() {
    let clock = ManualClock::new();
    let limits = accounts::AccountLimits {
        tokens_per_second: Some(units::TokenRate(100.0)),
        ..accounts::AccountLimits::default()
    };
    let mut table = accounts::AccountTable::new();
    assert_eq!(admit(&mut table, &limits, 1_100, clock.now()), Ok(()));
    clock.advance(Duration::from_secs(9));
    let refused = admit(&mut table, &limits, 1, clock.now());
    assert_eq!(refused, Err(reasons::RefusalReason::AccountTokens));
    clock.advance(Duration::from_millis(1_100));
    assert_eq!(admit(&mut table, &limits, 1, clock.now()), Ok(()));
}

fn hashes(range: std::ops::Range<u64>) -> Vec<u64> {
    range.collect()
}

/// Guards against offers with too many hashes, and against prompts of different lengths naming a
/// shared prefix by different hashes.
#[test_case(0)]
#[test_case(5)]
#[test_case(100)]
#[test_case(5_000)]
fn sampled_hashes_are_bounded_and_on_one_grid(blocks: u64) {
    let short = prefixes::sample_hashes(&hashes(0..blocks));
    let long = prefixes::sample_hashes(&hashes(0..blocks + 40));
    assert!(short.len() <= prefixes::MAX_HASHES);
    assert!(short.is_sorted_by_key(|prefix| prefix.blocks));
    if let Some(last) = short.last() {
        assert!(
            u64::from(last.blocks) * 5 >= blocks * 4,
            "four lengths per power of two"
        );
        assert!(long.contains(last), "a longer prompt names the same prefix");
    }
}

/// Guards against affinity hints for an endpoint that has evicted the prefix or has restarted.
#[test]
fn removed_prefixes_give_no_hint() {
    let mut map = prefixes::PrefixMap::new(100);
    let prompt = prefixes::sample_hashes(&hashes(0..16));
    let endpoints: Vec<_> = (0..3).map(choice::EndpointId).collect();
    for endpoint in &endpoints {
        map.insert(prompt[3].hash, *endpoint);
    }
    let longest = prompt.last().unwrap();
    map.insert(longest.hash, endpoints[0]);
    map.remove(prompt[3].hash, endpoints[1]);
    map.forget(endpoints[2]);
    let mut hints = Vec::new();
    map.affinities(&prompt, &mut hints);
    let expected = choice::AffinityHint {
        endpoint: endpoints[0],
        cached: longest.tokens(),
    };
    assert_eq!(
        hints,
        [expected],
        "the longest prefix of each endpoint, once"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a prefix map that exceeds its capacity or loses the newest entry.
    #[test]
    fn prefix_map_stays_within_capacity(
        inserts in prop::collection::vec((0_u64..200, 0_u32..9), 1..400),
        capacity in 1_usize..50,
    ) {
        let mut map = prefixes::PrefixMap::new(capacity);
        for (hash, endpoint) in inserts {
            map.insert(hash, choice::EndpointId(endpoint));
            prop_assert!(map.len() <= capacity);
            let mut hints = Vec::new();
            map.affinities(&[prefixes::PrefixHash { blocks: 1, hash }], &mut hints);
            prop_assert!(hints.iter().any(|hint| hint.endpoint.0 == endpoint), "newest is kept");
            prop_assert!(hints.len() <= 4);
        }
    }
}
