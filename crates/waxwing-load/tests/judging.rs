//! Tests that the checks of answers and counts detect injected faults. Without them, a check that
//! can't fail would go unnoticed.

use std::{collections::BTreeMap, path::PathBuf, sync::Arc, time::Duration};

use test_case::test_case;
use waxwing_core::ids;
use waxwing_load::{
    arrivals, calls, drivers, experiments, reports, tallies, targets,
    verdicts::{self, CallVerdict},
};
use waxwing_standin::{callers, simulation};

fn experiment() -> Arc<experiments::Experiment> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    Arc::new(experiments::load(&folder.join("overload.json")).expect("the file is valid"))
}

fn ranks() -> BTreeMap<ids::TierName, ids::TierRank> {
    let names = ["counter", "question", "manual", "bulk"]
        .into_iter()
        .zip(0..);
    let pairs = names.map(|(name, rank)| (name.parse().expect("a name"), ids::TierRank(rank)));
    pairs.collect()
}

fn stream_of(text: &str) -> String {
    format!(
        "data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n\
         data: {{\"choices\":[{{\"delta\":{{}}}}],\"usage\":{{\"prompt_tokens\":9,\
         \"prompt_tokens_details\":{{\"cached_tokens\":4}}}}}}\n\ndata: [DONE]\n\n"
    )
}

fn answer(status: u16, body: &str, ended: bool) -> callers::CallAnswer {
    callers::CallAnswer {
        status,
        body: body.as_bytes().to_vec(),
        ended,
        total: Duration::from_millis(100),
        ..callers::CallAnswer::default()
    }
}

fn expected(text: &str) -> calls::ExpectedAnswer {
    calls::ExpectedAnswer::Chat {
        text: text.to_owned(),
        stream: true,
        prompt: String::new(),
    }
}

fn verdict(body: &str, ended: bool) -> CallVerdict {
    let answer = answer(200, body, ended);
    verdicts::check(&expected("abc def "), &answer, Duration::from_secs(1)).verdict
}

/// Guards against goodput that includes an answer that is truncated, mixed up, late or meant for
/// another caller.
#[test]
fn incomplete_wrong_and_late_answers_are_not_goodput() {
    let complete = stream_of("abc def ");
    assert_eq!(verdict(&complete, true), CallVerdict::Good);
    assert!(matches!(verdict(&complete, false), CallVerdict::Cut { .. }));
    assert!(matches!(
        verdict(&complete.replace("[DONE]", "{}"), true),
        CallVerdict::Cut { .. }
    ));
    assert_eq!(verdict(&stream_of("abc "), true), CallVerdict::Wrong);
    assert_eq!(verdict(&stream_of("xyz def "), true), CallVerdict::Wrong);
    let answer = answer(200, &complete, true);
    let checked = verdicts::check(&expected("abc def "), &answer, Duration::from_millis(99));
    assert_eq!(checked.verdict, CallVerdict::Late);
    assert_eq!(checked.computed_tokens, 5);
}

/// Guards against refusals that are taken for `not-run` without naming that outcome.
#[test_case("{\"outcome\":\"not-run\",\"reason\":\"evicted\"}", true; "proved")]
#[test_case("{\"outcome\":\"unknown\",\"reason\":\"agent-lost\"}", false; "unknown")]
#[test_case("gateway timeout", false; "no problem document")]
fn refusals_are_not_run_only_with_that_outcome(body: &str, not_run: bool) {
    let answer = answer(503, body, true);
    let checked = verdicts::check(&expected(""), &answer, Duration::from_secs(1));
    assert_eq!(
        matches!(checked.verdict, CallVerdict::NotRun { .. }),
        not_run
    );
}

fn record(index: u64, class: usize, verdict: CallVerdict) -> drivers::CallRecord {
    drivers::CallRecord {
        call: arrivals::PlannedCall {
            index,
            at: Duration::from_millis(index * 10),
            class,
            account: 0,
            prompt_tokens: 30,
            output_tokens: 16,
            shared: None,
            text_seed: index,
        },
        all_not_run: matches!(verdict, CallVerdict::NotRun { .. }),
        verdict,
        first_token: None,
        gaps: Vec::new(),
        total: Duration::from_millis(500),
        request_ids: vec![format!("id-{index}").into()],
        computed_tokens: 0,
        record_name: (class == 0).then(|| format!("orders-book/{index}").into()),
    }
}

fn evicted() -> CallVerdict {
    CallVerdict::NotRun {
        reason: "evicted".into(),
    }
}

fn runs_report(
    records: &[drivers::CallRecord],
    totals: &tallies::StandinTotals,
) -> reports::RunsReport {
    tallies::tally_runs(&experiment(), &ranks(), records, totals)
}

/// Guards against a report without duplicate executions, lost records or false `not-run` outcomes
/// that occurred.
#[test]
fn violations_of_guarantees_are_reported() {
    let mut totals = tallies::StandinTotals::default();
    let valid = [
        record(0, 0, CallVerdict::Good),
        record(1, 1, CallVerdict::Good),
    ];
    totals.bodies.insert("orders-book/0".into(), 1);
    let once = simulation::RunCount {
        fresh: 1,
        resumed: 1,
        late_resumed: 1,
    };
    totals.runs.insert("id-1".into(), once);
    let report = runs_report(&valid, &totals);
    let violations = report.double_runs + report.double_dispatches + report.lost_records;
    assert_eq!(violations + report.false_not_run, 0);

    totals.bodies.insert("orders-book/0".into(), 2);
    assert_eq!(runs_report(&valid, &totals).double_runs, 1);
    totals.bodies.remove("orders-book/0");
    assert_eq!(runs_report(&valid, &totals).lost_records, 1);
    let twice = simulation::RunCount {
        fresh: 2,
        resumed: 0,
        late_resumed: 0,
    };
    totals.runs.insert("id-1".into(), twice);
    assert_eq!(runs_report(&valid, &totals).double_dispatches, 1);
    let refused = [record(1, 1, evicted())];
    assert_eq!(runs_report(&refused, &totals).false_not_run, 1);
}

/// Guards against an inversion that is not counted, and against lower-tier work that is taken for
/// one although it arrived before the higher-tier call.
#[test]
fn priority_inversion_is_counted() {
    let served = |index: u64, class: usize| drivers::CallRecord {
        first_token: Some(Duration::from_millis(100)),
        ..record(index, class, CallVerdict::Good)
    };
    let totals = tallies::StandinTotals::default();
    let inverted = [record(0, 1, evicted()), served(1, 3)];
    assert_eq!(runs_report(&inverted, &totals).inversions, 1);
    let earlier = [served(0, 3), record(1, 1, evicted())];
    assert_eq!(runs_report(&earlier, &totals).inversions, 0);
    let other_model = [record(0, 1, evicted()), served(1, 4)];
    assert_eq!(runs_report(&other_model, &totals).inversions, 0);
    let higher = [record(0, 3, evicted()), served(1, 1)];
    assert_eq!(runs_report(&higher, &totals).inversions, 0);
}

/// Guards against targets that are reported as met without a measurement or on the wrong side of the
/// bound, and against a comparison with a baseline that is not the best.
#[test]
fn targets_compare_with_the_best_baseline() {
    let variant = |name: &str, baseline: bool, good: u64| reports::VariantReport {
        name: name.into(),
        baseline,
        tiers: vec![reports::TierReport {
            offered: 100,
            good,
            ..reports::TierReport::default()
        }],
        ..reports::VariantReport::default()
    };
    let bounds = [
        targets::RunTarget::GoodOverBaselineAtLeast(1.5),
        targets::RunTarget::TopGoodputAtLeast(0.995),
        targets::RunTarget::AddedMillisAtMost(1.0),
    ];
    let variants = [
        variant("late-binding", false, 75),
        variant("random", true, 40),
        variant("two-choices", true, 50),
    ];
    let results = targets::evaluate(&bounds, &variants);
    assert_eq!(results[0].measured, Some(1.5));
    assert_eq!(results[0].decided_by, "two-choices");
    let met: Vec<_> = results.iter().map(|result| result.met).collect();
    assert_eq!(met, [true, false, false]);
}
