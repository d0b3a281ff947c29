//! Engine orders, such as loading a model. The agent checks their fencing numbers, since not every
//! engine does; see `docs/design.md`, section 6.

use std::collections::VecDeque;

use waxwing_core::{counters, ids};
use waxwing_wire::messages;

use crate::{events, state};

/// Number of results kept to answer repeated orders without executing them twice.
const REMEMBERED_RESULTS: usize = 64;

/// Limit of orders that wait for the fencing number or for an earlier order.
const MAX_WAITING_ORDERS: usize = 64;

/// Admits orders one at a time, and only those whose fencing number is not below the highest seen,
/// so that a placement controller that was replaced can't change the engine.
#[derive(Debug, Default)]
pub(super) struct OrderGate {
    /// The highest fencing number seen; unknown after a restart until control reports it.
    highest_fencing: Option<ids::FencingNumber>,
    fencing_requested: bool,
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
        if self.orders.waiting.len() >= MAX_WAITING_ORDERS {
            let result = failure(&order, false, "too many orders wait");
            self.send_result(correlation, result);
            return;
        }
        self.orders.waiting.push_back((correlation, order));
        self.next_order();
    }

    pub(super) fn fencing_known(&mut self, number: u64) {
        let number = ids::FencingNumber(number);
        self.orders.highest_fencing = self.orders.highest_fencing.max(Some(number));
        self.orders.fencing_requested = false;
        self.next_order();
    }

    fn next_order(&mut self) {
        while self.orders.running.is_none() && !self.orders.waiting.is_empty() {
            let Some(highest_fencing) = self.orders.highest_fencing else {
                self.request_fencing_number();
                return;
            };
            let Some((correlation, order)) = self.orders.waiting.pop_front() else {
                return;
            };
            let fencing = ids::FencingNumber(order.fencing);
            if fencing < highest_fencing {
                let result = failure(&order, true, "the fencing number is old");
                self.finish_order(correlation, result);
                continue;
            }
            self.orders.highest_fencing = Some(fencing);
            self.begin_order(correlation, order);
        }
    }

    /// Requests the current fencing number before the first order, since a placement controller that
    /// was replaced while this agent was down may still be sending.
    fn request_fencing_number(&mut self) {
        if !self.orders.fencing_requested {
            self.orders.fencing_requested = true;
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
            self.update_drain_causes(|drain_causes| drain_causes.order = drain);
            let result = success(&order);
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
            events::OrderOutcome::Done => success(&order),
            events::OrderOutcome::Fenced => {
                failure(&order, true, "the engine knows a higher number")
            }
            events::OrderOutcome::Failed(detail) => failure(&order, false, &detail),
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
        // Failures aren't remembered, so that a failed order can be retried under its number.
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

fn success(order: &messages::Order) -> messages::OrderResult {
    messages::OrderResult {
        order: order.order,
        done: true,
        fenced: false,
        detail: String::new(),
    }
}

fn failure(order: &messages::Order, fenced: bool, detail: &str) -> messages::OrderResult {
    messages::OrderResult {
        order: order.order,
        done: false,
        fenced,
        detail: detail.to_owned(),
    }
}
