//! Engine orders: only the rightful decider's are carried out, each once.

mod support;

use support::Bench;
use waxwing_agent::events::{AgentInput, AgentOutput, OrderOutcome};
use waxwing_core::counters::CounterEvent;
use waxwing_wire::messages::{self, Body};

fn order(bench: &mut Bench, number: u64, fencing: u64) {
    let order = messages::Order {
        fencing,
        order: number,
        kind: messages::OrderKind::LoadModel as i32,
        target: "m".to_owned(),
        ..messages::Order::default()
    };
    bench.step(AgentInput::Control {
        correlation: 0,
        body: Body::Order(order),
    });
}

fn fencing(bench: &mut Bench, number: u64) {
    bench.step(AgentInput::Control {
        correlation: 0,
        body: Body::Fencing(messages::Fencing { number }),
    });
}

fn done(bench: &mut Bench, order: u64, outcome: OrderOutcome) {
    bench.step(AgentInput::OrderEnded { order, outcome });
}

fn given(bench: &Bench) -> Vec<u64> {
    let outputs = bench.log.iter();
    let orders = outputs.filter_map(|output| match output {
        AgentOutput::Order(order) => Some(order.order),
        _ => None,
    });
    orders.collect()
}

fn results(bench: &Bench) -> Vec<messages::OrderResult> {
    let outputs = bench.log.iter();
    let results = outputs.filter_map(|output| match output {
        AgentOutput::Control {
            body: Body::OrderResult(result),
            ..
        } => Some(result.clone()),
        _ => None,
    });
    results.collect()
}

/// Guards against a replaced decider whose orders still reach an engine that doesn't check.
#[test]
fn old_fencing_number_is_refused() {
    let mut bench = Bench::new();
    fencing(&mut bench, 5);
    order(&mut bench, 1, 7);
    done(&mut bench, 1, OrderOutcome::Done);
    order(&mut bench, 2, 6);
    assert_eq!(given(&bench), vec![1]);
    let last = results(&bench).pop().expect("a result");
    assert!(last.fenced && !last.done);
    assert_eq!(bench.counters.event(CounterEvent::OrdersFenced), 1);
}

/// Guards against an agent that has forgotten the highest number and takes an old order.
#[test]
fn restarted_agent_asks_first() {
    let mut bench = Bench::new();
    order(&mut bench, 1, 6);
    order(&mut bench, 2, 7);
    assert!(
        given(&bench).is_empty(),
        "an order was given before the number was known"
    );
    let asked = bench.log.iter().filter(|output| {
        matches!(
            output,
            AgentOutput::Control {
                body: Body::AskFencing(_),
                ..
            }
        )
    });
    assert_eq!(asked.count(), 1);
    fencing(&mut bench, 7);
    assert_eq!(given(&bench), vec![2]);
    assert!(results(&bench)[0].fenced);
}

/// Guards against a resent order that loads a model twice, and one that is lost after a failure.
#[test]
fn resent_order_is_carried_out_once() {
    let mut bench = Bench::new();
    fencing(&mut bench, 1);
    order(&mut bench, 1, 1);
    order(&mut bench, 1, 1);
    done(
        &mut bench,
        1,
        OrderOutcome::Failed("the store is busy".to_owned()),
    );
    assert_eq!(given(&bench), vec![1]);
    order(&mut bench, 1, 1);
    assert_eq!(
        given(&bench),
        vec![1, 1],
        "a failed order was not tried again"
    );
    done(&mut bench, 1, OrderOutcome::Done);
    order(&mut bench, 1, 1);
    assert_eq!(given(&bench), vec![1, 1]);
    let states: Vec<_> = results(&bench).iter().map(|result| result.done).collect();
    assert_eq!(states, vec![false, true, true]);
}

/// Guards against two loads at one time in one engine.
#[test]
fn orders_are_given_one_at_a_time() {
    let mut bench = Bench::new();
    fencing(&mut bench, 1);
    order(&mut bench, 1, 1);
    order(&mut bench, 2, 1);
    assert_eq!(given(&bench), vec![1]);
    done(&mut bench, 1, OrderOutcome::Fenced);
    assert_eq!(given(&bench), vec![1, 2]);
    assert!(results(&bench)[0].fenced);
}
