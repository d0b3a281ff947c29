//! Tests of the batch, the cache memory and the counts, without a clock or I/O.

use std::time::Duration;

use test_case::test_case;
use waxwing_core::units;
use waxwing_standin::{answers, caches, options, simulation};

fn engine(cache_tokens: u64, max_batch: usize) -> simulation::BatchSimulation {
    simulation::BatchSimulation::new(options::EngineOptions {
        cache_tokens: units::TokenCount(cache_tokens),
        max_batch,
        ..options::EngineOptions::default()
    })
}

fn spec(id: &str, prompt: &str, output_tokens: u64, resume: u64) -> simulation::SequenceSpec {
    simulation::SequenceSpec {
        id: id.into(),
        prompt: prompt.to_owned(),
        seed: answers::answer_seed("scribe", prompt),
        output_tokens,
        resume,
    }
}

/// Runs steps until the batch is empty and returns the progress in order.
fn run_all(
    engine: &mut simulation::BatchSimulation,
) -> Vec<(simulation::SequenceKey, simulation::StepProgress)> {
    let mut progress = Vec::new();
    while engine.begin_step().is_some() {
        progress.extend(engine.end_step());
    }
    progress
}

/// Guards against an engine that admits a small request before a large one that waits for memory.
/// The order in which agents submit requests would then appear better than it is.
#[test]
fn admission_keeps_arrival_order() {
    let mut engine = engine(1_024, 32);
    let first = engine.submit(spec("a", &"x".repeat(2_400), 100, 0));
    let large = engine.submit(spec("b", &"y".repeat(2_400), 100, 0));
    let small = engine.submit(spec("c", "short", 4, 0));
    let progress = run_all(&mut engine);
    let ends: Vec<_> = progress
        .iter()
        .filter(|(_, step)| matches!(step, simulation::StepProgress::Done(_)))
        .map(|(key, _)| *key)
        .collect();
    let starts: Vec<_> = progress
        .iter()
        .filter(|(_, step)| *step == simulation::StepProgress::Token(0))
        .map(|(key, _)| *key)
        .collect();
    assert_eq!(starts, [first, large, small]);
    assert_eq!(ends[0], first);
    assert!(ends.contains(&small) && ends.contains(&large));
}

/// Guards against a batch that exceeds `max_batch`.
#[test]
fn batch_stays_within_its_limit() {
    let mut engine = engine(65_536, 2);
    for id in ["a", "b", "c"] {
        engine.submit(spec(id, id, 10, 0));
    }
    assert!(engine.begin_step().is_some());
    assert_eq!((engine.running(), engine.waiting()), (2, 1));
}

/// Guards against steps whose duration does not grow with the batch, so that batching would have no
/// cost.
#[test]
fn decode_steps_grow_with_the_batch() {
    let step_duration = |count: usize| -> Duration {
        let mut engine = engine(65_536, 32);
        for index in 0..count {
            engine.submit(spec(&index.to_string(), &index.to_string(), 10, 0));
        }
        engine.begin_step();
        engine.end_step();
        engine.begin_step().expect("requests are running")
    };
    assert!(step_duration(16) > step_duration(1).mul_f64(1.3));
}

/// Guards against prefix cache hits that are not counted, and against hits for a different prompt.
#[test]
fn shared_prefixes_hit_the_cache() {
    let mut engine = engine(65_536, 32);
    let shared = "d".repeat(640);
    engine.submit(spec("a", &format!("{shared}one"), 4, 0));
    run_all(&mut engine);
    let computed = engine.counts().computed;
    engine.submit(spec("b", &format!("{shared}two"), 4, 0));
    run_all(&mut engine);
    assert_eq!(engine.counts().cached, 160);
    assert_eq!(engine.counts().computed - computed, 1);
    engine.submit(spec("c", &"e".repeat(640), 4, 0));
    run_all(&mut engine);
    assert_eq!(engine.counts().cached, 160);
}

/// Guards against evicting a block in use, or a recently used block before an older one.
#[test]
fn least_recently_used_block_is_evicted() {
    let mut cache = caches::PrefixCache::new(3);
    assert!(cache.import(1) && cache.import(2) && cache.import(3));
    assert!(cache.reserve(&[1], 0));
    cache.release(&[1], 0);
    cache.drain_changes();
    assert!(cache.import(4));
    let expected = [
        caches::CacheChange::Evicted(2),
        caches::CacheChange::Stored(4),
    ];
    assert_eq!(cache.drain_changes(), expected);
    assert!(cache.reserve(&[3, 4], 1));
    assert!(!cache.reserve(&[], 1), "blocks in use are never evicted");
}

/// Guards against a resumed stream that differs from the original one, or skips or repeats a token.
#[test_case(1; "after the first token")]
#[test_case(7; "in the middle")]
#[test_case(20; "at the end")]
fn resumed_output_continues_the_same_text(resume: u64) {
    let mut engine = engine(65_536, 32);
    let prompt = "the prompt of a manual";
    engine.submit(spec("a", prompt, 20, resume));
    let tokens: Vec<_> = run_all(&mut engine)
        .into_iter()
        .filter_map(|(_, step)| match step {
            simulation::StepProgress::Token(index) => Some(index),
            simulation::StepProgress::Done(_) => None,
        })
        .collect();
    assert_eq!(tokens, (resume..20).collect::<Vec<_>>());
    let seed = answers::answer_seed("scribe", prompt);
    let complete = answers::token_range(seed, 0, 20);
    let parts = answers::token_range(seed, 0, resume) + &answers::token_range(seed, resume, 20);
    assert_eq!(complete, parts);
}

/// Guards against memory that stays reserved after a cancellation, which would permanently reduce
/// the capacity of the engine.
#[test]
fn cancellation_frees_memory() {
    let mut engine = engine(1_024, 32);
    let first = engine.submit(spec("a", &"x".repeat(3_200), 100, 0));
    engine.begin_step();
    engine.end_step();
    assert!(engine.cache().used() > 0);
    engine.cancel(first);
    assert_eq!(engine.cache().used(), 0);
    engine.submit(spec("b", &"y".repeat(3_200), 100, 0));
    assert!(matches!(
        run_all(&mut engine).last(),
        Some((_, simulation::StepProgress::Done(_)))
    ));
    assert_eq!(engine.cache().used(), 0);
}

/// Guards against wasted prefill that is not counted, or counted twice when a suspended request is
/// resumed at the engine that still caches its blocks.
#[test]
fn cancelled_prefill_is_wasted_until_it_is_resumed() {
    let mut engine = engine(65_536, 32);
    let prompt = "p".repeat(1_600);
    let first = engine.submit(spec("a", &prompt, 20, 0));
    engine.begin_step();
    engine.end_step();
    engine.cancel(first);
    assert_eq!(engine.counts().wasted_cancelled, 400);
    engine.submit(spec("a", &prompt, 20, 1));
    run_all(&mut engine);
    let counts = engine.counts();
    assert_eq!(counts.wasted_cancelled, 0);
    assert!(counts.wasted_repeated <= 16, "{counts:?}");
    assert_eq!(counts.finished, 1);
}

/// Guards against a double dispatch that is not counted, and against the resumption of a suspended
/// request that is counted as one.
#[test]
fn submissions_are_counted_by_request_id() {
    let mut engine = engine(65_536, 32);
    let first = engine.submit(spec("a", "one", 20, 0));
    engine.cancel(first);
    engine.submit(spec("a", "one", 20, 1));
    assert_eq!(
        engine.runs()["a"],
        simulation::RunCount {
            fresh: 1,
            resumed: 1,
            late_resumed: 0
        }
    );
    engine.submit(spec("a", "one", 20, 0));
    assert_eq!(
        engine.runs()["a"],
        simulation::RunCount {
            fresh: 2,
            resumed: 1,
            late_resumed: 0
        }
    );
}

/// Guards against a resumption that is counted as a double dispatch because the engine had generated
/// the last token before the suspension reached it. A second submission from the first token still
/// counts as one.
#[test]
fn resumption_after_completion_is_not_a_double_dispatch() {
    let mut engine = engine(65_536, 32);
    engine.submit(spec("a", "one", 20, 0));
    run_all(&mut engine);
    engine.submit(spec("a", "one", 20, 7));
    let run = engine.runs()["a"];
    assert_eq!((run.fresh, run.resumed, run.late_resumed), (1, 0, 1));
    engine.submit(spec("a", "one", 20, 0));
    assert_eq!(engine.runs()["a"].fresh, 2);
}
