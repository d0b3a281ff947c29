//! The cells of the fault matrix for engine orders: an old and a new placement controller, the real
//! state machines of the agent and of the control group, and a fake engine that checks fencing
//! numbers or does not.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use prost::Message as _;
use test_case::test_case;
use waxwing_agent::{events as agent_events, options, state};
use waxwing_control::{commands, machine};
use waxwing_core::{counters, ids};
use waxwing_proof::{
    checkers,
    events::{RunEvent, RunRecord},
    faults::SystemFault,
    matrix,
    steps::WorkStep,
};
use waxwing_wire::messages;

/// One agent with its engine, and the placement controllers that send it orders.
struct OrderSimulation {
    start: Instant,
    now: Duration,
    machine: machine::StateMachine,
    index: u64,
    core: state::AgentCore,
    incarnation: u64,
    engine_checks: bool,
    engine_fencing: u64,
    engine_up: bool,
    /// Whether the engine delays orders until the clock advances.
    engine_slow: bool,
    /// Orders that the slow engine has received and not executed yet.
    queued_orders: VecDeque<messages::Order>,
    next_order: u64,
    completed_orders: Vec<u64>,
    control_up: bool,
    fencing_requested: bool,
    partitioned: bool,
    record: RunRecord,
}

impl OrderSimulation {
    fn new(engine_checks: bool) -> Self {
        let start = Instant::now();
        let mut simulation = Self {
            start,
            now: Duration::ZERO,
            machine: machine::StateMachine::default(),
            index: 0,
            core: new_core(1, start),
            incarnation: 1,
            engine_checks,
            engine_fencing: 0,
            engine_up: true,
            engine_slow: false,
            queued_orders: VecDeque::new(),
            next_order: 1,
            completed_orders: Vec::new(),
            control_up: true,
            fencing_requested: false,
            partitioned: false,
            record: RunRecord::default(),
        };
        simulation.send_endpoint_info();
        simulation
    }

    /// Installs a new placement controller through the log; returns its fencing number, which is
    /// higher than any before.
    fn install_placement_controller(&mut self) -> u64 {
        self.index += 1;
        let issue_number = commands::IssueFencingNumber {
            name: "control-1".into(),
        };
        let action = Some(commands::LogAction::IssueFencingNumber(issue_number));
        let command = commands::LogCommand {
            log_millis: 0,
            wall_millis: 0,
            action,
        };
        let result = self.machine.apply(self.index, &command.encode_to_vec());
        match result.kind {
            Some(commands::ResultKind::Office(number)) => number,
            other => panic!("no fencing number: {other:?}"),
        }
    }

    fn order(&mut self, fencing: u64) -> messages::Order {
        let order = self.next_order;
        self.next_order += 1;
        let kind = messages::OrderKind::LoadModel.into();
        messages::Order {
            fencing,
            order,
            kind,
            target: "writer".into(),
            ..Default::default()
        }
    }

    fn restart_agent(&mut self) {
        self.incarnation += 1;
        self.core = new_core(self.incarnation, self.start + self.now);
        self.send_endpoint_info();
    }

    fn send_endpoint_info(&mut self) {
        let info = messages::EndpointInfo {
            kind: messages::EndpointKind::Engine.into(),
            checks_fencing: self.engine_checks,
            cache_tokens: 1_000,
            prefill_rate: 1_000.0,
            token_millis: 10.0,
            ..Default::default()
        };
        self.handle_input(agent_events::AgentInput::Info(info));
    }

    fn deliver(&mut self, order: messages::Order) {
        if !self.partitioned {
            let body = messages::Body::Order(order);
            self.handle_input(agent_events::AgentInput::Control {
                correlation: 1,
                body,
            });
        }
    }

    fn handle_input(&mut self, input: agent_events::AgentInput) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for output in self.core.handle(self.start + self.now, input) {
                inputs.extend(self.handle_output(output));
            }
        }
    }

    fn handle_output(
        &mut self,
        output: agent_events::AgentOutput,
    ) -> Option<agent_events::AgentInput> {
        match output {
            agent_events::AgentOutput::Order(order) if self.engine_slow => {
                self.queued_orders.push_back(order);
                None
            }
            agent_events::AgentOutput::Order(order) => Some(self.execute_order(&order)),
            agent_events::AgentOutput::Control {
                body: messages::Body::AskFencing(_),
                ..
            } => {
                // The real agent's driver repeats the query until a control host answers.
                self.fencing_requested = true;
                self.take_fencing_answer()
            }
            agent_events::AgentOutput::Control {
                body: messages::Body::OrderResult(result),
                ..
            } => {
                self.completed_orders
                    .extend(result.done.then_some(result.order));
                None
            }
            _ => None,
        }
    }

    fn take_fencing_answer(&mut self) -> Option<agent_events::AgentInput> {
        if !self.control_up || !std::mem::take(&mut self.fencing_requested) {
            return None;
        }
        let number = self.machine.fencing().0;
        let body = messages::Body::Fencing(messages::Fencing { number });
        let correlation = 0;
        Some(agent_events::AgentInput::Control { correlation, body })
    }

    fn execute_order(&mut self, order: &messages::Order) -> agent_events::AgentInput {
        let outcome = if !self.engine_up {
            agent_events::OrderOutcome::Failed("connection refused".into())
        } else if self.engine_checks && order.fencing < self.engine_fencing {
            agent_events::OrderOutcome::Fenced
        } else {
            self.engine_fencing = self.engine_fencing.max(order.fencing);
            // Executed orders are recorded like applied settings versions, so that the checker
            // reports a fencing number that goes back.
            let version = ids::SettingsVersion(order.fencing);
            let event = RunEvent::InForce {
                process: "engine".into(),
                version,
                changes: vec![],
            };
            self.record.push(self.now, event);
            agent_events::OrderOutcome::Done
        };
        agent_events::AgentInput::OrderEnded {
            order: order.order,
            outcome,
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        while let Some(order) = self.queued_orders.pop_front() {
            let ended = self.execute_order(&order);
            self.handle_input(ended);
        }
        if let Some(answer) = self.take_fencing_answer() {
            self.handle_input(answer);
        }
        self.handle_input(agent_events::AgentInput::Tick);
    }
}

fn new_core(incarnation: u64, now: Instant) -> state::AgentCore {
    let limits = options::AgentLimits::default();
    let incarnation = ids::Incarnation(incarnation);
    state::AgentCore::new(incarnation, limits, counters::CounterSet::new(), now)
}

fn inject_fault(simulation: &mut OrderSimulation, fault: SystemFault) {
    match fault {
        SystemFault::AgentKilled | SystemFault::Restarted => simulation.restart_agent(),
        SystemFault::KilledTwice => {
            simulation.restart_agent();
            simulation.restart_agent();
        }
        SystemFault::EndpointKilled => simulation.engine_up = false,
        SystemFault::Straggler => simulation.engine_slow = true,
        SystemFault::LeaderKilled
        | SystemFault::LostAfterRepair
        | SystemFault::DiskFull
        | SystemFault::TornWrite
        | SystemFault::FailedSync
        | SystemFault::WipedDisk => simulation.control_up = false,
        SystemFault::PartitionOneWay
        | SystemFault::PartitionBothWays
        | SystemFault::SilentConnection => simulation.partitioned = true,
        SystemFault::RollingRestart => {
            simulation.restart_agent();
            simulation.control_up = false;
        }
        _ => {}
    }
}

fn heal_faults(simulation: &mut OrderSimulation) {
    simulation.control_up = true;
    simulation.partitioned = false;
    simulation.engine_up = true;
    simulation.advance(Duration::from_secs(1));
}

/// A new placement controller replaces the one that issued the first orders. The fault is injected
/// at the step; afterwards orders of the old placement controller arrive late, twice or again.
fn run_cell(engine_checks: bool, step: WorkStep, fault: SystemFault) -> OrderSimulation {
    let mut simulation = OrderSimulation::new(engine_checks);
    let old = simulation.install_placement_controller();
    let late = simulation.order(old);
    if step == WorkStep::Issued {
        inject_fault(&mut simulation, fault);
    }
    let first = simulation.order(old);
    simulation.deliver(first.clone());
    if step == WorkStep::Delivered {
        inject_fault(&mut simulation, fault);
    }
    let new = simulation.install_placement_controller();
    let second = simulation.order(new);
    let mut arriving = vec![second.clone()];
    match fault {
        SystemFault::MessageLost => arriving.clear(),
        SystemFault::MessageDuplicated => arriving.push(second.clone()),
        SystemFault::MessageReordered => arriving.insert(0, late.clone()),
        _ => {}
    }
    for order in arriving {
        simulation.deliver(order);
    }
    if step == WorkStep::Done {
        inject_fault(&mut simulation, fault);
    }
    simulation.deliver(late.clone());
    heal_faults(&mut simulation);
    // Placement controllers resend until they get a result; the old one may still do so after its
    // replacement.
    for order in [second.clone(), late, first, second] {
        simulation.deliver(order);
        simulation.advance(Duration::from_secs(1));
    }
    simulation.record.end = simulation.now;
    simulation
}

/// Guards against an engine that executes an order of a replaced placement controller after one of
/// its successor, and against an order of the new placement controller that is never completed,
/// whatever fault occurs.
#[test_case(WorkStep::Issued)]
#[test_case(WorkStep::Delivered)]
#[test_case(WorkStep::Done)]
fn orders_obey_the_fencing_number(step: WorkStep) {
    let cells = matrix::covered_by("orders_obey_the_fencing_number");
    let step_cells: Vec<_> = cells.iter().filter(|cell| cell.step == step).collect();
    assert!(!step_cells.is_empty());
    for cell in step_cells {
        for engine_checks in [true, false] {
            let simulation = run_cell(engine_checks, step, cell.fault);
            let name = format!("{step}, {}, engine checks: {engine_checks}", cell.fault);
            checkers::check_all(&simulation.record).unwrap_or_else(|violation| {
                panic!("{name}: {violation}\n{:#?}", simulation.record)
            });
            assert!(
                simulation.completed_orders.contains(&3),
                "{name}: the new placement controller's order was never completed"
            );
        }
    }
}
