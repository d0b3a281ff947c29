//! Benchmarks the offer queue with 16 to 3,400 waiting offers: adding an offer and taking the head,
//! and adding an offer and removing it.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use waxwing_core::{ids, units};
use waxwing_policy::queue::{OfferQueue, OfferTerms, QueueOptions};

fn terms(index: u128, now: Instant) -> OfferTerms {
    OfferTerms {
        rank: ids::TierRank((index % 5) as u8),
        account: format!("account-{}", index % 350).into(),
        weight_millis: 1_000,
        prompt_tokens: units::TokenCount(100 + (index as u64 * 7_919) % 10_000),
        output_tokens: units::TokenCount(200),
        deadline: now + Duration::from_secs(60),
        waiting_since: now,
    }
}

fn bench_queue(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut group = criterion.benchmark_group("offer-queue");
    for waiting in [16_u128, 136, 1_024, 3_400] {
        let mut queue = OfferQueue::new(QueueOptions { max_offers: 4_096 });
        for index in 0..waiting {
            queue.push(ids::RequestId(index), terms(index, now), ());
        }
        let mut next = waiting;
        group.bench_function(BenchmarkId::new("push-and-take", waiting), |bencher| {
            bencher.iter(|| {
                next += 1;
                queue.push(ids::RequestId(next), terms(next, now), ());
                black_box(queue.take_head())
            });
        });
        group.bench_function(BenchmarkId::new("push-and-withdraw", waiting), |bencher| {
            bencher.iter(|| {
                next += 1;
                queue.push(ids::RequestId(next), terms(next, now), ());
                black_box(queue.remove(ids::RequestId(next)))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_queue);
criterion_main!(benches);
