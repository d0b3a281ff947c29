//! Engine orders: only those of the current placement controller are executed, and each only once.

mod support;

use support::CoreHarness;
use waxwing_agent::events::{AgentInput, AgentOutput, OrderOutcome};
use waxwing_core::counters::CounterEvent;
use waxwing_wire::messages::{self, Body};

fn order(harness: &mut CoreHarness, number: u64, fencing: u64) {
    let order = messages::Order {
        fencing,
        order: number,
        kind: messages::OrderKind::LoadModel as i32,
        target: "m".to_owned(),
        ..messages::Order::default()
    };
    harness.step(AgentInput::Control {
        correlation: 0,
        body: Body::Order(order),
    });
}

fn fencing(harness: &mut CoreHarness, number: u64) {
    harness.step(AgentInput::Control {
        correlation: 0,
        body: Body::Fencing(messages::Fencing { number }),
    });
}

fn end_order(harness: &mut CoreHarness, order: u64, outcome: OrderOutcome) {
    harness.step(AgentInput::OrderEnded { order, outcome });
}

fn sent_orders(harness: &CoreHarness) -> Vec<u64> {
    let outputs = harness.log.iter();
    let orders = outputs.filter_map(|output| match output {
        AgentOutput::Order(order) => Some(order.order),
        _ => None,
    });
    orders.collect()
}

fn results(harness: &CoreHarness) -> Vec<messages::OrderResult> {
    let outputs = harness.log.iter();
    let results = outputs.filter_map(|output| match output {
        AgentOutput::Control {
            body: Body::OrderResult(result),
            ..
        } => Some(result.clone()),
        _ => None,
    });
    results.collect()
}

/// Guards against a replaced placement controller whose orders still reach an engine that doesn't
/// check fencing numbers.
#[test]
fn old_fencing_number_is_refused() {
    let mut harness = CoreHarness::new();
    fencing(&mut harness, 5);
    order(&mut harness, 1, 7);
    end_order(&mut harness, 1, OrderOutcome::Done);
    order(&mut harness, 2, 6);
    assert_eq!(sent_orders(&harness), vec![1]);
    let last = results(&harness).pop().expect("a result");
    assert!(last.fenced && !last.done);
    assert_eq!(harness.counters.event(CounterEvent::OrdersFenced), 1);
}

/// Guards against a restarted agent that doesn't know the highest fencing number and accepts an old
/// order.
#[test]
fn restarted_agent_requests_the_fencing_number_first() {
    let mut harness = CoreHarness::new();
    order(&mut harness, 1, 6);
    order(&mut harness, 2, 7);
    assert!(
        sent_orders(&harness).is_empty(),
        "an order was sent before the fencing number was known"
    );
    let asked = harness.log.iter().filter(|output| {
        matches!(
            output,
            AgentOutput::Control {
                body: Body::AskFencing(_),
                ..
            }
        )
    });
    assert_eq!(asked.count(), 1);
    fencing(&mut harness, 7);
    assert_eq!(sent_orders(&harness), vec![2]);
    assert!(results(&harness)[0].fenced);
}

/// Guards against a repeated order that is executed twice, and against a failed order that can't be
/// retried.
#[test]
fn repeated_order_is_executed_once() {
    let mut harness = CoreHarness::new();
    fencing(&mut harness, 1);
    order(&mut harness, 1, 1);
    order(&mut harness, 1, 1);
    end_order(
        &mut harness,
        1,
        OrderOutcome::Failed("the store is busy".to_owned()),
    );
    assert_eq!(sent_orders(&harness), vec![1]);
    order(&mut harness, 1, 1);
    assert_eq!(
        sent_orders(&harness),
        vec![1, 1],
        "a failed order was not retried"
    );
    end_order(&mut harness, 1, OrderOutcome::Done);
    order(&mut harness, 1, 1);
    assert_eq!(sent_orders(&harness), vec![1, 1]);
    let states: Vec<_> = results(&harness).iter().map(|result| result.done).collect();
    assert_eq!(states, vec![false, true, true]);
}

/// Guards against concurrent orders in one engine, such as two model loads.
#[test]
fn orders_are_sent_one_at_a_time() {
    let mut harness = CoreHarness::new();
    fencing(&mut harness, 1);
    order(&mut harness, 1, 1);
    order(&mut harness, 2, 1);
    assert_eq!(sent_orders(&harness), vec![1]);
    end_order(&mut harness, 1, OrderOutcome::Fenced);
    assert_eq!(sent_orders(&harness), vec![1, 2]);
    assert!(results(&harness)[0].fenced);
}
