//! The queue of offers: priority of tiers, fairness between accounts, deadlines and draining.

mod support;

use std::collections::BTreeMap;

use proptest::prelude::*;
use support::{CoreHarness, LINK, handover, offer, request_bytes};
use waxwing_agent::{
    events::{AgentInput, AgentOutput, PolicyUpdate},
    options,
};
use waxwing_core::counters;
use waxwing_wire::messages::{self, Body};

/// A step of a random sequence.
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

/// The expected state of the requests of a random sequence.
#[derive(Default)]
struct History {
    waiting: BTreeMap<u128, u32>,
    grants: BTreeMap<u128, u64>,
    ranks: BTreeMap<u128, u32>,
}

impl History {
    /// Updates the state by the outputs of one step, and checks that no tier was granted before a
    /// higher one or evicted before a lower one.
    fn check_outputs(&mut self, outputs: &[AgentOutput]) {
        for output in outputs {
            let AgentOutput::Send { body, .. } = output else {
                continue;
            };
            match body {
                Body::Grant(grant) => {
                    let request = request_number(&grant.request);
                    let rank = self.waiting.remove(&request).expect("a waiting offer");
                    let higher = self.waiting.values().any(|other| *other < rank);
                    assert!(!higher, "rank {rank} was granted before a higher tier");
                    self.grants.insert(request, grant.grant);
                }
                Body::OfferRefused(refused) => {
                    let request = request_number(&refused.request);
                    let rank = self.waiting.remove(&request).expect("a waiting offer");
                    let evicted = refused.reason == "evicted";
                    let lower = self.waiting.values().any(|other| *other > rank);
                    assert!(
                        !(evicted && lower),
                        "rank {rank} was evicted before a lower tier"
                    );
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

fn request_number(bytes: &[u8]) -> u128 {
    u128::from_be_bytes(bytes.try_into().expect("16 bytes"))
}

fn run_sequence(steps: Vec<Step>) {
    let limits = options::AgentLimits {
        waiting_offers: 12,
        ..options::AgentLimits::default()
    };
    let mut harness = CoreHarness::with(limits, support::engine_info());
    let mut history = History::default();
    for (index, step) in steps.into_iter().enumerate() {
        harness
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
                harness.receive(Body::Offer(messages::Offer {
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
                    let request = request_bytes(request);
                    harness.receive(Body::Withdraw(messages::Withdraw { request }));
                }
            }
            Step::Decline(pick) => {
                if let Some((request, grant)) = history.pick(pick) {
                    history.grants.remove(&request);
                    let request = request_bytes(request);
                    harness.receive(Body::Decline(messages::Decline { request, grant }));
                }
            }
            Step::HandOver(pick) => {
                if let Some((request, grant)) = history.pick(pick) {
                    history.grants.remove(&request);
                    harness.receive(Body::Handover(handover(request, grant)));
                }
            }
            Step::Finish(pick) => {
                let starts = harness.starts();
                if let Some((run, _)) = starts.get(pick % starts.len().max(1)) {
                    harness.send_head(*run);
                    harness.send_tokens(*run, 0..2);
                    harness.finish_stream(*run, 100, 0);
                }
            }
            Step::Wait(millis) => harness.advance(millis),
        }
        let log = std::mem::take(&mut harness.log);
        history.check_outputs(&log);
        harness.log = log;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a lower tier that is granted before a higher one, or kept in the queue while
    /// a higher one is evicted.
    #[test]
    fn tiers_are_never_inverted(steps in prop::collection::vec(step(), 1..80)) {
        run_sequence(steps);
    }
}

/// Guards against a large account that starves a small one by offering more.
#[test]
fn accounts_share_by_tokens_and_weight() {
    let mut harness = CoreHarness::new();
    let mut busy = harness.start_request(messages::Offer {
        prompt_tokens: 60_000,
        ..offer(1_000, 0)
    });
    for request in 0..80 {
        // The large account offers seven of eight requests, each twice as long.
        let large = request % 8 != 0;
        harness.receive(Body::Offer(messages::Offer {
            account: if large { "large" } else { "small" }.to_owned(),
            prompt_tokens: if large { 50_000 } else { 25_000 },
            output_tokens: 10,
            deadline_millis: 3_000_000,
            ..offer(request + 1, 1)
        }));
    }
    let mut served = BTreeMap::new();
    for _ in 0..12 {
        harness.send_head(busy);
        harness.finish_stream(busy, 100, 0);
        let grant = harness.take_grants().pop().expect("the next request");
        let request = request_number(&grant.request);
        let large = !(request - 1).is_multiple_of(8);
        *served.entry(large).or_insert(0_u64) += if large { 50_000 } else { 25_000 };
        harness.receive(Body::Handover(handover(request, grant.grant)));
        busy = harness.last_start().expect("a run").0;
    }
    let (small, large) = (served[&false], served[&true]);
    assert!(
        small.abs_diff(large) <= 50_000,
        "small {small}, large {large}"
    );
}

/// Guards against requests that can't meet their deadline and use capacity that others need.
#[test]
fn offer_that_cannot_meet_its_deadline_is_refused() {
    let mut harness = CoreHarness::new();
    // 4,000 prompt tokens take 1 s and 100 output tokens take 4 s.
    let long = |request, deadline_millis| messages::Offer {
        prompt_tokens: 4_000,
        output_tokens: 100,
        deadline_millis,
        ..offer(request, 0)
    };
    harness.receive(Body::Offer(long(1, 4_900)));
    assert_eq!(harness.take_refusals()[0].reason, "deadline-unreachable");
    harness.offer_granted(long(2, 5_100));
}

/// Guards against an offer that stays queued after its deadline has become unreachable.
#[test]
fn waiting_offer_is_refused_in_time() {
    let mut harness = CoreHarness::new();
    harness.start_request(messages::Offer {
        prompt_tokens: 60_000,
        ..offer(1, 0)
    });
    harness.receive(Body::Offer(messages::Offer {
        prompt_tokens: 20_000,
        deadline_millis: 8_000,
        ..offer(2, 0)
    }));
    harness.advance(500);
    assert!(harness.take_refusals().is_empty());
    harness.advance(700);
    assert_eq!(harness.take_refusals()[0].reason, "deadline-unreachable");
}

/// Guards against an agent that grants new work while it shuts down, for instance to an entry that
/// does not know yet.
#[test]
fn draining_agent_grants_nothing() {
    let mut harness = CoreHarness::new();
    harness.start_request(messages::Offer {
        prompt_tokens: 60_000,
        ..offer(1, 0)
    });
    harness.receive(Body::Offer(messages::Offer {
        prompt_tokens: 60_000,
        ..offer(2, 0)
    }));
    harness.step(AgentInput::Shutdown);
    harness.receive(Body::Offer(offer(3, 0)));
    let immediate = true;
    harness.receive(Body::Offer(messages::Offer {
        immediate,
        ..offer(4, 0)
    }));
    let refusals = harness.take_refusals();
    assert_eq!(refusals.len(), 3);
    assert!(refusals.iter().all(|refused| refused.reason == "draining"));
    assert!(harness.take_grants().is_empty());
    assert!(!harness.core.is_drained(), "running work was forgotten");
}

/// Guards against an undrain order that cancels a drain requested by the settings.
#[test]
fn causes_of_draining_are_independent() {
    let mut harness = CoreHarness::new();
    let policy = |draining| {
        AgentInput::Policy(PolicyUpdate {
            first_token_target: std::time::Duration::from_millis(990),
            token_target: std::time::Duration::from_millis(58),
            grant: std::time::Duration::from_millis(2_000),
            draining,
        })
    };
    harness.step(policy(true));
    harness.step(AgentInput::Control {
        correlation: 0,
        body: Body::Fencing(messages::Fencing { number: 1 }),
    });
    harness.step(AgentInput::Control {
        correlation: 0,
        body: Body::Order(messages::Order {
            fencing: 1,
            order: 1,
            kind: messages::OrderKind::Undrain as i32,
            ..messages::Order::default()
        }),
    });
    assert!(harness.core.is_draining());
    harness.step(policy(false));
    assert!(!harness.core.is_draining());
    harness.offer_granted(offer(1, 0));
}

/// Guards against report traffic that overloads an entry with hundreds of endpoints, and against
/// significant changes that are reported only at the next interval.
#[test]
fn reports_are_limited_and_timely() {
    let mut harness = CoreHarness::new();
    let reports = |harness: &mut CoreHarness| {
        harness.take_messages(|body| match body {
            Body::Report(report) => Some(report.draining),
            _ => None,
        })
    };
    harness.advance(300);
    reports(&mut harness);
    for request in 1..=100 {
        let grant = harness.offer_granted(offer(request, 0));
        let request = request_bytes(request);
        harness.receive(Body::Decline(messages::Decline { request, grant }));
        harness.advance(100);
    }
    let count = reports(&mut harness).len();
    assert!(
        (10..=11).contains(&count),
        "{count} reports in 10 s without changes"
    );
    harness.step(AgentInput::Shutdown);
    harness.advance(260);
    assert_eq!(reports(&mut harness), vec![true]);
}

/// Guards against a baseline policy that is subject to the admission limit, which would make
/// comparisons with it unfair.
#[test]
fn immediate_offers_bypass_the_limit() {
    let mut harness = CoreHarness::new();
    for request in 1..=100 {
        harness.offer_granted(messages::Offer {
            prompt_tokens: 60_000,
            immediate: true,
            ..offer(request, 3)
        });
    }
}

/// Guards against granting offers of a closed link, which would reserve capacity for nobody.
#[test]
fn offers_of_a_closed_link_are_dropped() {
    let mut harness = CoreHarness::new();
    let run = harness.start_request(messages::Offer {
        prompt_tokens: 60_000,
        ..offer(1, 0)
    });
    harness.receive(Body::Offer(messages::Offer {
        prompt_tokens: 60_000,
        ..offer(2, 0)
    }));
    harness.step(AgentInput::LinkClosed { link: LINK });
    harness.send_head(run);
    harness.finish_stream(run, 60_000, 0);
    harness.advance(100);
    assert_eq!(
        harness
            .counters
            .event(counters::CounterEvent::GrantsExpired),
        0
    );
    assert!(harness.take_grants().is_empty());
}
