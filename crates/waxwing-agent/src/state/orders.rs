//! Engine orders: the agent is the gate where the engine does not check fencing numbers itself;
//! see `docs/design.md`, section 6.

use std::collections::VecDeque;

use waxwing_core::{counters, ids};
use waxwing_wire::messages;

use crate::{events, state};

/// The results that are remembered, so that a resent order is not carried out twice.
const REMEMBERED_RESULTS: usize = 64;

/// The orders that may wait for the fencing number or for an earlier order.
const MAX_WAITING: usize = 64;

/// An `OrderGate` lets only the orders of the rightful decider through, one at a time.
#[derive(Debug, Default)]
pub(super) struct OrderGate {
    /// The highest number seen; unknown after a restart until control tells it.
    highest: Option<ids::FencingNumber>,
    asked: bool,
    waiting: VecDeque<(u64, messages::Order)>,
    running: Option<(u64, messages::Order)>,
    results: VecDeque<messages::OrderResult>,
}

impl state::AgentCore {
    pub(super) fn order(&mut self, correlation: u64, order: messages::Order) {
        let results = &self.orders.results;
        if let Some(result) = results.iter().find(|result| result.order == order.order) {
            let result = result.clone();
            self.send_result(correlation, result);
            return;
        }
        let running = self.orders.running.iter();
        let mut open = running.chain(&self.orders.waiting);
        if open.any(|(_, other)| other.order == order.order) {
            return;
        }
        if self.orders.waiting.len() >= MAX_WAITING {
            let result = failed(&order, false, "too many orders wait");
            self.send_result(correlation, result);
            return;
        }
        self.orders.waiting.push_back((correlation, order));
        self.next_order();
    }

    pub(super) fn fencing_known(&mut self, number: u64) {
        let number = ids::FencingNumber(number);
        self.orders.highest = self.orders.highest.max(Some(number));
        self.orders.asked = false;
        self.next_order();
    }

    fn next_order(&mut self) {
        while self.orders.running.is_none() && !self.orders.waiting.is_empty() {
            let Some(highest) = self.orders.highest else {
                self.ask_fencing();
                return;
            };
            let Some((correlation, order)) = self.orders.waiting.pop_front() else {
                return;
            };
            let fencing = ids::FencingNumber(order.fencing);
            if fencing < highest {
                let result = failed(&order, true, "the fencing number is old");
                self.finish_order(correlation, result);
                continue;
            }
            self.orders.highest = Some(fencing);
            self.begin_order(correlation, order);
        }
    }

    /// Asks for the current number before the first order, since a decider that was replaced
    /// while this agent was down may still be sending.
    fn ask_fencing(&mut self) {
        if !self.orders.asked {
            self.orders.asked = true;
            self.outputs.push(events::AgentOutput::Control {
                correlation: 0,
                body: messages::Body::AskFencing(messages::AskFencing {}),
            });
        }
    }

    fn begin_order(&mut self, correlation: u64, order: messages::Order) {
        let drain = order.kind == messages::OrderKind::Drain as i32;
        let undrain = order.kind == messages::OrderKind::Undrain as i32;
        if drain || undrain {
            self.change_drains(|drains| drains.order = drain);
            let result = done(&order);
            self.finish_order(correlation, result);
            return;
        }
        self.outputs.push(events::AgentOutput::Order(order.clone()));
        self.orders.running = Some((correlation, order));
    }

    pub(super) fn order_ended(&mut self, number: u64, outcome: events::OrderOutcome) {
        let running = self.orders.running.take();
        let Some((correlation, order)) = running.filter(|(_, order)| order.order == number) else {
            return;
        };
        let result = match outcome {
            events::OrderOutcome::Done => done(&order),
            events::OrderOutcome::Fenced => {
                failed(&order, true, "the engine knows a higher number")
            }
            events::OrderOutcome::Failed(detail) => failed(&order, false, &detail),
        };
        self.finish_order(correlation, result);
        self.next_order();
    }

    fn finish_order(&mut self, correlation: u64, result: messages::OrderResult) {
        self.counters.count(match (result.fenced, result.done) {
            (true, _) => counters::CounterEvent::OrdersFenced,
            (false, true) => counters::CounterEvent::OrdersDone,
            (false, false) => counters::CounterEvent::OrdersFailed,
        });
        // A failed order may be sent again under its number, and is then carried out.
        if result.done {
            self.orders.results.push_back(result.clone());
        }
        if self.orders.results.len() > REMEMBERED_RESULTS {
            self.orders.results.pop_front();
        }
        self.send_result(correlation, result);
    }

    fn send_result(&mut self, correlation: u64, result: messages::OrderResult) {
        self.outputs.push(events::AgentOutput::Control {
            correlation,
            body: messages::Body::OrderResult(result),
        });
    }
}

fn done(order: &messages::Order) -> messages::OrderResult {
    messages::OrderResult {
        order: order.order,
        done: true,
        fenced: false,
        detail: String::new(),
    }
}

fn failed(order: &messages::Order, fenced: bool, detail: &str) -> messages::OrderResult {
    messages::OrderResult {
        order: order.order,
        done: false,
        fenced,
        detail: detail.to_owned(),
    }
}
