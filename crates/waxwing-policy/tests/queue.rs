//! Model-based tests of the offer queue, and tests of its fairness.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use waxwing_core::{ids, units};
use waxwing_policy::queue::{OfferQueue, OfferTerms, PushResult, QueueOptions};

fn terms(rank: u8, account: &str, weight_millis: u32, tokens: u64) -> OfferTerms {
    let now = Instant::now();
    OfferTerms {
        rank: ids::TierRank(rank),
        account: account.into(),
        weight_millis,
        prompt_tokens: units::TokenCount(tokens),
        output_tokens: units::TokenCount(0),
        deadline: now + Duration::from_secs(60),
        waiting_since: now,
    }
}

fn queue(max_offers: usize) -> OfferQueue<()> {
    OfferQueue::new(QueueOptions { max_offers })
}

#[derive(Debug, Clone)]
enum QueueOperation {
    Push(u8, u8, u64),
    Take,
    TakeAndRefund,
    Remove(usize),
}

fn operation() -> impl Strategy<Value = QueueOperation> {
    prop_oneof![
        4 => (0_u8..4, 0_u8..5, 1_u64..9_000).prop_map(|(rank, name, size)| {
            QueueOperation::Push(rank, name, size)
        }),
        2 => Just(QueueOperation::Take),
        1 => Just(QueueOperation::TakeAndRefund),
        1 => (0_usize..32).prop_map(QueueOperation::Remove),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: prop::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against offers that are lost or served twice, a head that is not of the highest tier,
    /// an eviction from a tier other than the lowest, and loads that differ from the queued offers.
    #[test]
    fn queue_matches_the_model(operations in prop::collection::vec(operation(), 1..200)) {
        let mut queue = queue(24);
        let mut model: BTreeMap<u128, (u8, u64)> = BTreeMap::new();
        for (index, operation) in operations.into_iter().enumerate() {
            let request = ids::RequestId(index as u128);
            match operation {
                QueueOperation::Push(rank, account, size) => {
                    let offer = terms(rank, &format!("account-{account}"), 1_000, size);
                    let lowest = model.values().map(|(rank, _)| *rank).max();
                    let full = model.len() == 24;
                    match queue.push(request, offer, ()) {
                        PushResult::Queued => prop_assert!(!full),
                        PushResult::Evicted(evicted) => {
                            let victim = model.remove(&evicted.request.0).expect("a waiting offer");
                            prop_assert_eq!(Some(victim.0), lowest);
                            prop_assert!(full && victim.0 > rank);
                        }
                        PushResult::Full(_) => {
                            prop_assert!(full && lowest <= Some(rank));
                            continue;
                        }
                        PushResult::Duplicate(_) => prop_assert!(false, "every request is new"),
                    }
                    model.insert(request.0, (rank, size));
                }
                QueueOperation::Take | QueueOperation::TakeAndRefund => {
                    let highest = model.values().map(|(rank, _)| *rank).min();
                    let head = queue.head().map(|offer| offer.request);
                    let taken = queue.take_head();
                    prop_assert_eq!(taken.as_ref().map(|offer| offer.request), head);
                    prop_assert_eq!(taken.as_ref().map(|offer| offer.terms.rank.0), highest);
                    if let Some(offer) = taken {
                        model.remove(&offer.request.0).expect("a waiting offer");
                        if matches!(operation, QueueOperation::TakeAndRefund) {
                            queue.refund(&offer.terms);
                        }
                    }
                }
                QueueOperation::Remove(pick) => {
                    let picked = model.keys().nth(pick).copied();
                    if let Some(request) = picked {
                        prop_assert!(queue.remove(ids::RequestId(request)).is_some());
                        model.remove(&request);
                    }
                }
            }
            prop_assert_eq!(queue.len(), model.len());
            for (rank, load) in queue.loads() {
                let of_rank = model.values().filter(|(other, _)| *other == rank.0);
                let tokens: u64 = of_rank.clone().map(|(_, size)| size).sum();
                prop_assert_eq!((load.waiting, load.prompt_tokens), (of_rank.count(), tokens));
            }
        }
    }
}

/// Takes `rounds` offers while all `accounts` are backlogged, and returns the tokens served to
/// each.
fn serve(accounts: &[(&str, u32, u64)], rounds: u64) -> Vec<u64> {
    let mut queue = queue(10_000);
    let mut next = 0;
    for _ in 0..rounds {
        for (name, weight, size) in accounts {
            next += 1;
            queue.push(ids::RequestId(next), terms(0, name, *weight, *size), ());
        }
    }
    let mut served = vec![0; accounts.len()];
    for _ in 0..rounds {
        let offer = queue.take_head().expect("a waiting offer");
        let index = accounts
            .iter()
            .position(|(name, ..)| *name == offer.terms.account);
        served[index.expect("a known account")] += offer.terms.prompt_tokens.0;
    }
    served
}

/// Guards against fairness by number of requests, which would give most of the endpoint's capacity
/// to the account with long requests.
#[test]
fn capacity_is_shared_by_tokens() {
    let served = serve(&[("short", 1_000, 100), ("long", 1_000, 10_000)], 2_020);
    assert!(served[0].abs_diff(served[1]) <= 10_000, "served {served:?}");
}

/// Guards against weights that are ignored or inverted.
#[test]
fn capacity_is_shared_by_weight() {
    let served = serve(&[("light", 500, 100), ("heavy", 1_500, 100)], 1_000);
    assert!(
        served[1].abs_diff(3 * served[0]) <= 400,
        "served {served:?}"
    );
}

/// Guards against an account accumulating credit while it is idle and then monopolizing the
/// endpoint, and against an account escaping its charges by pausing.
#[test]
fn idle_accounts_gain_no_credit_and_keep_their_charges() {
    let mut queue = queue(10_000);
    let mut request = 0;
    let mut push = |queue: &mut OfferQueue<()>, account: &str| {
        request += 1;
        queue.push(ids::RequestId(request), terms(0, account, 1_000, 100), ());
    };
    for _ in 0..100 {
        push(&mut queue, "busy");
    }
    for _ in 0..50 {
        queue.take_head();
    }
    for _ in 0..20 {
        push(&mut queue, "late");
    }
    let taken: Vec<_> = (0..20).filter_map(|_| queue.take_head()).collect();
    let late = taken
        .iter()
        .filter(|offer| offer.terms.account == "late")
        .count();
    assert!((9..=11).contains(&late), "late got {late} of 20");
}

/// Guards against charging an account for grants that it returned unused. With two offers for each
/// request, half of the grants are returned.
#[test]
fn refunds_reverse_the_charge() {
    let mut queue = queue(10_000);
    for request in 0..40 {
        let account = if request % 2 == 0 { "unlucky" } else { "other" };
        queue.push(ids::RequestId(request), terms(0, account, 1_000, 100), ());
    }
    let mut used = 0;
    for _ in 0..30 {
        let offer = queue.take_head().expect("a waiting offer");
        if offer.terms.account == "unlucky" && used < 10 {
            used += 1;
            queue.refund(&offer.terms);
        }
    }
    let left: Vec<_> = std::iter::from_fn(|| queue.take_head()).collect();
    let unlucky = left
        .iter()
        .filter(|offer| offer.terms.account == "unlucky")
        .count();
    assert_eq!(
        unlucky, 0,
        "the refunded account must be served in its turn"
    );
}
