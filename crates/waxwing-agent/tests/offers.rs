//! The order of offers: tiers, accounts, deadlines and leaving.

mod support;

use std::collections::BTreeMap;

use proptest::prelude::*;
use support::{Bench, LINK, bytes_of, handover, offer};
use waxwing_agent::{
    events::{AgentInput, AgentOutput, PolicyUpdate},
    options,
};
use waxwing_core::counters;
use waxwing_wire::messages::{self, Body};

/// A step of a random history.
#[derive(Debug, Clone)]
enum Step {
    Offer { rank: u32, prompt: u64, output: u64 },
    Withdraw(usize),
    Decline(usize),
    HandOver(usize),
    Finish(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u32..4, 1_u64..12_000, 1_u64..400)
            .prop_map(|(rank, prompt, output)| Step::Offer { rank, prompt, output }),
        1 => (0_usize..64).prop_map(Step::Withdraw),
        1 => (0_usize..64).prop_map(Step::Decline),
        3 => (0_usize..64).prop_map(Step::HandOver),
        2 => (0_usize..64).prop_map(Step::Finish),
        2 => (20_u64..600).prop_map(Step::Wait),
    ]
}

/// What a test knows about the requests of a history.
#[derive(Default)]
struct History {
    waiting: BTreeMap<u128, u32>,
    grants: BTreeMap<u128, u64>,
    ranks: BTreeMap<u128, u32>,
}

impl History {
    /// Follows the outputs of one step and checks the order of grants and refusals.
    fn follow(&mut self, outputs: &[AgentOutput]) {
        for output in outputs {
            let AgentOutput::Send { body, .. } = output else {
                continue;
            };
            match body {
                Body::Grant(grant) => {
                    let request = number(&grant.request);
                    let rank = self.waiting.remove(&request).expect("a waiting offer");
                    let higher = self.waiting.values().any(|other| *other < rank);
                    assert!(!higher, "rank {rank} was granted before a higher tier");
                    self.grants.insert(request, grant.grant);
                }
                Body::OfferRefused(refused) => {
                    let request = number(&refused.request);
                    let rank = self.waiting.remove(&request).expect("a waiting offer");
                    let shed = refused.reason == "evicted";
                    let lower = self.waiting.values().any(|other| *other > rank);
                    assert!(!(shed && lower), "rank {rank} was shed before a lower tier");
                }
                _ => {}
            }
        }
    }

    fn pick(&self, index: usize) -> Option<(u128, u64)> {
        let count = self.grants.len().max(1);
        let picked = self.grants.iter().nth(index % count)?;
        Some((*picked.0, *picked.1))
    }
}

fn number(bytes: &[u8]) -> u128 {
    u128::from_be_bytes(bytes.try_into().expect("16 bytes"))
}

fn play(steps: Vec<Step>) {
    let limits = options::AgentLimits {
        waiting_offers: 12,
        ..options::AgentLimits::default()
    };
    let mut bench = Bench::with(limits, support::engine_info());
    let mut history = History::default();
    for (index, step) in steps.into_iter().enumerate() {
        bench
            .log
            .retain(|output| matches!(output, AgentOutput::Start { .. }));
        match step {
            Step::Offer {
                rank,
                prompt,
                output,
            } => {
                let request = index as u128 + 1;
                history.waiting.insert(request, rank);
                history.ranks.insert(request, rank);
                bench.say(Body::Offer(messages::Offer {
                    prompt_tokens: prompt,
                    output_tokens: output,
                    deadline_millis: 600_000,
                    ..offer(request, rank)
                }));
            }
            Step::Withdraw(pick) => {
                let waiting = history.waiting.keys().nth(pick % 8).copied();
                if let Some(request) = waiting {
                    history.waiting.remove(&request);
                    let request = bytes_of(request);
                    bench.say(Body::Withdraw(messages::Withdraw { request }));
                }
            }
            Step::Decline(pick) => {
                if let Some((request, grant)) = history.pick(pick) {
                    history.grants.remove(&request);
                    let request = bytes_of(request);
                    bench.say(Body::Decline(messages::Decline { request, grant }));
                }
            }
            Step::HandOver(pick) => {
                if let Some((request, grant)) = history.pick(pick) {
                    history.grants.remove(&request);
                    bench.say(Body::Handover(handover(request, grant)));
                }
            }
            Step::Finish(pick) => {
                let starts = bench.starts();
                if let Some((run, _)) = starts.get(pick % starts.len().max(1)) {
                    bench.head(*run);
                    bench.tokens(*run, 0..2);
                    bench.finish(*run, 100, 0);
                }
            }
            Step::Wait(millis) => bench.wait(millis),
        }
        let log = std::mem::take(&mut bench.log);
        history.follow(&log);
        bench.log = log;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a lower tier that is granted, or kept in the queue, before a higher one.
    #[test]
    fn tiers_are_never_inverted(steps in prop::collection::vec(step(), 1..80)) {
        play(steps);
    }
}

/// Guards against a large account that takes the endpoint from a small one by offering more.
#[test]
fn accounts_share_by_tokens_and_weight() {
    let mut bench = Bench::new();
    let mut busy = bench.admit(messages::Offer {
        prompt_tokens: 60_000,
        ..offer(1_000, 0)
    });
    for request in 0..80 {
        // The large account offers seven of eight requests, each twice as long.
        let large = request % 8 != 0;
        bench.say(Body::Offer(messages::Offer {
            account: if large { "large" } else { "small" }.to_owned(),
            prompt_tokens: if large { 50_000 } else { 25_000 },
            output_tokens: 10,
            deadline_millis: 3_000_000,
            ..offer(request + 1, 1)
        }));
    }
    let mut served = BTreeMap::new();
    for _ in 0..12 {
        bench.head(busy);
        bench.finish(busy, 100, 0);
        let grant = bench.take_grants().pop().expect("the next request");
        let request = number(&grant.request);
        let large = !(request - 1).is_multiple_of(8);
        *served.entry(large).or_insert(0_u64) += if large { 50_000 } else { 25_000 };
        bench.say(Body::Handover(handover(request, grant.grant)));
        busy = bench.last_start().expect("a run").0;
    }
    let (small, large) = (served[&false], served[&true]);
    assert!(
        small.abs_diff(large) <= 50_000,
        "small {small}, large {large}"
    );
}

/// Guards against work that can't end in time and takes the engine from work that can.
#[test]
fn nothing_starts_that_cannot_end() {
    let mut bench = Bench::new();
    // 4,000 prompt tokens take 1 s and 100 output tokens take 4 s.
    let long = |request, deadline_millis| messages::Offer {
        prompt_tokens: 4_000,
        output_tokens: 100,
        deadline_millis,
        ..offer(request, 0)
    };
    bench.say(Body::Offer(long(1, 4_900)));
    assert_eq!(bench.take_refusals()[0].reason, "deadline-unreachable");
    bench.granted(long(2, 5_100));
}

/// Guards against an offer that waits on although its deadline has become unreachable.
#[test]
fn waiting_offer_is_refused_in_time() {
    let mut bench = Bench::new();
    bench.admit(messages::Offer {
        prompt_tokens: 60_000,
        ..offer(1, 0)
    });
    bench.say(Body::Offer(messages::Offer {
        prompt_tokens: 20_000,
        deadline_millis: 8_000,
        ..offer(2, 0)
    }));
    bench.wait(500);
    assert!(bench.take_refusals().is_empty());
    bench.wait(700);
    assert_eq!(bench.take_refusals()[0].reason, "deadline-unreachable");
}

/// Guards against new work at an endpoint that leaves, also from an entry that has not heard of it.
#[test]
fn leaving_endpoint_grants_nothing() {
    let mut bench = Bench::new();
    bench.admit(messages::Offer {
        prompt_tokens: 60_000,
        ..offer(1, 0)
    });
    bench.say(Body::Offer(messages::Offer {
        prompt_tokens: 60_000,
        ..offer(2, 0)
    }));
    bench.step(AgentInput::Leave);
    bench.say(Body::Offer(offer(3, 0)));
    let immediate = true;
    bench.say(Body::Offer(messages::Offer {
        immediate,
        ..offer(4, 0)
    }));
    let refusals = bench.take_refusals();
    assert_eq!(refusals.len(), 3);
    assert!(refusals.iter().all(|refused| refused.reason == "draining"));
    assert!(bench.take_grants().is_empty());
    assert!(!bench.core.is_drained(), "running work was forgotten");
}

/// Guards against a drain by the settings that an order to take work again would undo.
#[test]
fn causes_of_draining_are_independent() {
    let mut bench = Bench::new();
    let policy = |draining| {
        AgentInput::Policy(PolicyUpdate {
            first_token_target: std::time::Duration::from_millis(990),
            token_target: std::time::Duration::from_millis(58),
            grant: std::time::Duration::from_millis(2_000),
            draining,
        })
    };
    bench.step(policy(true));
    bench.step(AgentInput::Control {
        correlation: 0,
        body: Body::Fencing(messages::Fencing { number: 1 }),
    });
    bench.step(AgentInput::Control {
        correlation: 0,
        body: Body::Order(messages::Order {
            fencing: 1,
            order: 1,
            kind: messages::OrderKind::Undrain as i32,
            ..messages::Order::default()
        }),
    });
    assert!(bench.core.is_draining());
    bench.step(policy(false));
    assert!(!bench.core.is_draining());
    bench.granted(offer(1, 0));
}

/// Guards against reports that fill the links of an entry with hundreds of endpoints, and against
/// news that wait for the next second.
#[test]
fn reports_are_few_and_timely() {
    let mut bench = Bench::new();
    let reports = |bench: &mut Bench| {
        bench.take(|body| match body {
            Body::Report(report) => Some(report.draining),
            _ => None,
        })
    };
    bench.wait(300);
    reports(&mut bench);
    for request in 1..=100 {
        let grant = bench.granted(offer(request, 0));
        let request = bytes_of(request);
        bench.say(Body::Decline(messages::Decline { request, grant }));
        bench.wait(100);
    }
    let count = reports(&mut bench).len();
    assert!(
        (10..=11).contains(&count),
        "{count} reports in 10 s without news"
    );
    bench.step(AgentInput::Leave);
    bench.wait(260);
    assert_eq!(reports(&mut bench), vec![true]);
}

/// Guards against baselines that are held back by the limit and so compare unfairly.
#[test]
fn immediate_offers_pass_the_limit() {
    let mut bench = Bench::new();
    for request in 1..=100 {
        bench.granted(messages::Offer {
            prompt_tokens: 60_000,
            immediate: true,
            ..offer(request, 3)
        });
    }
}

/// Guards against offers of a lost link that are granted to nobody and hold room.
#[test]
fn offers_end_with_their_link() {
    let mut bench = Bench::new();
    let run = bench.admit(messages::Offer {
        prompt_tokens: 60_000,
        ..offer(1, 0)
    });
    bench.say(Body::Offer(messages::Offer {
        prompt_tokens: 60_000,
        ..offer(2, 0)
    }));
    bench.step(AgentInput::LinkClosed { link: LINK });
    bench.head(run);
    bench.finish(run, 60_000, 0);
    bench.wait(100);
    assert_eq!(
        bench.counters.event(counters::CounterEvent::GrantsExpired),
        0
    );
    assert!(bench.take_grants().is_empty());
}
