//! Tests of the memory limit for the bodies of waiting requests.

use std::collections::BTreeMap;

use proptest::prelude::*;
use waxwing_core::{ids, units};
use waxwing_policy::body_memory;

fn id(number: u128) -> ids::RequestId {
    ids::RequestId(number)
}

fn admit(
    memory: &mut body_memory::BodyMemory,
    number: u128,
    rank: u8,
    bytes: u64,
) -> Result<Vec<u128>, body_memory::MemoryFull> {
    let evicted = memory.admit(id(number), ids::TierRank(rank), units::ByteCount(bytes))?;
    Ok(evicted.into_iter().map(|request| request.0).collect())
}

/// Guards against evicting in the wrong order: lowest tier first, and within a tier the newest
/// first.
#[test]
fn lowest_tier_and_newest_request_are_evicted_first() {
    let mut memory = body_memory::BodyMemory::new(units::ByteCount(60));
    for (number, rank) in [(1, 2), (2, 1), (3, 2), (4, 0), (5, 1), (6, 2)] {
        assert_eq!(admit(&mut memory, number, rank, 10), Ok(vec![]));
    }
    assert_eq!(admit(&mut memory, 7, 0, 10), Ok(vec![6]));
    assert_eq!(admit(&mut memory, 8, 0, 40), Ok(vec![3, 1, 5, 2]));
    assert!(
        admit(&mut memory, 9, 0, 10).is_err(),
        "only requests of the same tier are left"
    );
    assert_eq!(memory.used(), units::ByteCount(60));
}

/// Guards against evicting requests for one that would still not fit.
#[test]
fn nothing_is_evicted_for_a_refused_request() {
    let mut memory = body_memory::BodyMemory::new(units::ByteCount(30));
    assert_eq!(admit(&mut memory, 1, 2, 10), Ok(vec![]));
    assert_eq!(admit(&mut memory, 2, 0, 10), Ok(vec![]));
    assert!(admit(&mut memory, 3, 1, 25).is_err());
    assert!(memory.contains(id(1)) && memory.contains(id(2)));
}

/// Guards against evicting a request during its handover.
#[test]
fn pinned_requests_are_not_evicted() {
    let mut memory = body_memory::BodyMemory::new(units::ByteCount(20));
    assert_eq!(admit(&mut memory, 1, 3, 20), Ok(vec![]));
    assert!(memory.pin(id(1)));
    assert!(admit(&mut memory, 2, 0, 10).is_err());
    memory.unpin(id(1));
    assert_eq!(admit(&mut memory, 2, 0, 10), Ok(vec![1]));
    assert!(
        !memory.pin(id(1)),
        "an evicted request can't be handed over"
    );
}

#[derive(Debug, Clone)]
enum BodyOperation {
    Admit(u128, u8, u64),
    Pin(u128),
    Unpin(u128),
    Remove(u128),
}

fn operation() -> impl Strategy<Value = BodyOperation> {
    let number = 0_u128..12;
    prop_oneof![
        4 => (number.clone(), 0_u8..4, 0_u64..40)
            .prop_map(|(n, r, b)| BodyOperation::Admit(n, r, b)),
        1 => number.clone().prop_map(BodyOperation::Pin),
        1 => number.clone().prop_map(BodyOperation::Unpin),
        1 => number.prop_map(BodyOperation::Remove),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against exceeding the byte limit, against evicting requests of the same tier or above
    /// or pinned ones, and against refusing a request although evicting less urgent ones would free
    /// enough memory.
    #[test]
    fn body_memory_matches_the_model(operations in prop::collection::vec(operation(), 1..60)) {
        let limit = 100;
        let mut memory = body_memory::BodyMemory::new(units::ByteCount(limit));
        let mut model: BTreeMap<u128, (u8, u64, bool)> = BTreeMap::new();
        for operation in operations {
            match operation {
                BodyOperation::Admit(number, rank, bytes) => {
                    let others = model.iter().filter(|(other, _)| **other != number);
                    let not_evictable: u64 = others
                        .filter(|(_, (other, _, pinned))| *other <= rank || *pinned)
                        .map(|(_, (_, bytes, _))| bytes)
                        .sum();
                    let fits = not_evictable + bytes <= limit;
                    let admitted = admit(&mut memory, number, rank, bytes);
                    prop_assert_eq!(admitted.is_ok(), fits);
                    if let Ok(evicted) = admitted {
                        for other in evicted {
                            let (other_rank, _, pinned) = model.remove(&other).unwrap();
                            prop_assert!(other_rank > rank && !pinned);
                        }
                        model.insert(number, (rank, bytes, false));
                    }
                }
                BodyOperation::Pin(number) => {
                    prop_assert_eq!(memory.pin(id(number)), model.contains_key(&number));
                    if let Some(body) = model.get_mut(&number) {
                        body.2 = true;
                    }
                }
                BodyOperation::Unpin(number) => {
                    memory.unpin(id(number));
                    if let Some(body) = model.get_mut(&number) {
                        body.2 = false;
                    }
                }
                BodyOperation::Remove(number) => {
                    prop_assert_eq!(memory.remove(id(number)), model.remove(&number).is_some());
                }
            }
            let used: u64 = model.values().map(|(_, bytes, _)| bytes).sum();
            prop_assert!(used <= limit);
            prop_assert_eq!(memory.used(), units::ByteCount(used));
            prop_assert_eq!(memory.len(), model.len());
        }
    }
}
