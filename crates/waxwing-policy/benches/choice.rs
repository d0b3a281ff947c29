//! Benchmarks one late-binding decision with the maximum number of prefix hints and one excluded
//! endpoint, for the target fleet sizes of 23, 136, 1,000 and 3,400 endpoints.

use std::{hint, sync::Arc, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use waxwing_core::{ids, units};
use waxwing_policy::{
    choice::{self, EndpointPolicy as _},
    prefixes,
};

fn loads(count: u32, random: &mut ChaCha8Rng) -> Vec<Arc<choice::EndpointLoad>> {
    let build = |id| {
        let distance = Duration::from_micros(random.random_range(0..3_000));
        let rate = units::TokenRate(random.random_range(2_000.0..8_000.0));
        let load = choice::EndpointLoad::new(choice::EndpointId(id), distance, rate);
        let speed_factor = random.random_range(0.2..1.0);
        let waiting = (0..5).map(|rank| {
            let tokens = random.random_range(0..4_000);
            (ids::TierRank(rank), units::TokenCount(tokens))
        });
        load.update(&choice::LoadSample {
            prefill_rate: rate,
            speed_factor,
            waiting: waiting.collect(),
            ..choice::LoadSample::default()
        });
        Arc::new(load)
    };
    (0..count).map(build).collect()
}

fn bench_choice(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("late_binding");
    for count in [23, 136, 1_000, 3_400] {
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let loads = loads(count, &mut random);
        let max_hints = u32::try_from(prefixes::MAX_HINTS).unwrap_or(u32::MAX);
        let hints = (0..max_hints.min(count)).map(|id| choice::AffinityHint {
            endpoint: choice::EndpointId(id * (count / max_hints).max(1)),
            cached: units::TokenCount(512),
        });
        let affinity: Vec<_> = hints.collect();
        let demand = choice::ChoiceDemand {
            rank: ids::TierRank(2),
            prompt: units::TokenCount(2_000),
            affinity: &affinity,
            excluded: &[choice::EndpointId(5)],
            count: 2,
        };
        let mut picks = Vec::with_capacity(4);
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                picks.clear();
                let demand = hint::black_box(&demand);
                choice::LateBinding.choose(demand, &loads, &mut random, &mut picks);
                hint::black_box(&picks);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_choice);
criterion_main!(benches);
