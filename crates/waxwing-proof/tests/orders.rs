//! The cells of the fault matrix for engine orders: an old and a new decider, the real agent and
//! the real state machine of the control group, and an engine that checks fencing numbers or not.

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

/// An `OrderWorld` is one agent with its engine, and the deciders that give it orders.
struct OrderWorld {
    start: Instant,
    now: Duration,
    machine: machine::StateMachine,
    index: u64,
    core: state::AgentCore,
    incarnation: u64,
    engine_checks: bool,
    engine_highest: u64,
    engine_up: bool,
    /// Whether the engine carries orders out late.
    engine_slow: bool,
    /// Orders that the slow engine has taken and not carried out.
    taken: VecDeque<messages::Order>,
    next_order: u64,
    done: Vec<u64>,
    control_up: bool,
    fencing_asked: bool,
    cut: bool,
    record: RunRecord,
}

impl OrderWorld {
    fn new(engine_checks: bool) -> Self {
        let start = Instant::now();
        let mut world = Self {
            start,
            now: Duration::ZERO,
            machine: machine::StateMachine::default(),
            index: 0,
            core: new_core(1, start),
            incarnation: 1,
            engine_checks,
            engine_highest: 0,
            engine_up: true,
            engine_slow: false,
            taken: VecDeque::new(),
            next_order: 1,
            done: Vec::new(),
            control_up: true,
            fencing_asked: false,
            cut: false,
            record: RunRecord::default(),
        };
        world.describe();
        world
    }

    /// A new decider takes office through the log and gets a higher number.
    fn take_office(&mut self) -> u64 {
        self.index += 1;
        let office = commands::IssueFencingNumber {
            name: "control-1".into(),
        };
        let action = Some(commands::LogAction::IssueFencingNumber(office));
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
        self.describe();
    }

    fn describe(&mut self) {
        let info = messages::EndpointInfo {
            kind: messages::EndpointKind::Engine.into(),
            checks_fencing: self.engine_checks,
            cache_tokens: 1_000,
            prefill_rate: 1_000.0,
            token_millis: 10.0,
            ..Default::default()
        };
        self.input(agent_events::AgentInput::Info(info));
    }

    fn deliver(&mut self, order: messages::Order) {
        if !self.cut {
            let body = messages::Body::Order(order);
            self.input(agent_events::AgentInput::Control {
                correlation: 1,
                body,
            });
        }
    }

    fn input(&mut self, input: agent_events::AgentInput) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for output in self.core.handle(self.start + self.now, input) {
                inputs.extend(self.output(output));
            }
        }
    }

    fn output(&mut self, output: agent_events::AgentOutput) -> Option<agent_events::AgentInput> {
        match output {
            agent_events::AgentOutput::Order(order) if self.engine_slow => {
                self.taken.push_back(order);
                None
            }
            agent_events::AgentOutput::Order(order) => Some(self.engine(&order)),
            agent_events::AgentOutput::Control {
                body: messages::Body::AskFencing(_),
                ..
            } => {
                // The agent's driver asks until a control host answers.
                self.fencing_asked = true;
                self.fencing_answer()
            }
            agent_events::AgentOutput::Control {
                body: messages::Body::OrderResult(result),
                ..
            } => {
                self.done.extend(result.done.then_some(result.order));
                None
            }
            _ => None,
        }
    }

    fn fencing_answer(&mut self) -> Option<agent_events::AgentInput> {
        if !self.control_up || !std::mem::take(&mut self.fencing_asked) {
            return None;
        }
        let number = self.machine.fencing().0;
        let body = messages::Body::Fencing(messages::Fencing { number });
        let correlation = 0;
        Some(agent_events::AgentInput::Control { correlation, body })
    }

    fn engine(&mut self, order: &messages::Order) -> agent_events::AgentInput {
        let outcome = if !self.engine_up {
            agent_events::OrderOutcome::Failed("connection refused".into())
        } else if self.engine_checks && order.fencing < self.engine_highest {
            agent_events::OrderOutcome::Fenced
        } else {
            self.engine_highest = self.engine_highest.max(order.fencing);
            // An order that the engine carries out is like a version in force: it only goes up.
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

    fn pass(&mut self, time: Duration) {
        self.now += time;
        while let Some(order) = self.taken.pop_front() {
            let ended = self.engine(&order);
            self.input(ended);
        }
        if let Some(answer) = self.fencing_answer() {
            self.input(answer);
        }
        self.input(agent_events::AgentInput::Tick);
    }
}

fn new_core(incarnation: u64, now: Instant) -> state::AgentCore {
    let limits = options::AgentLimits::default();
    let incarnation = ids::Incarnation(incarnation);
    state::AgentCore::new(incarnation, limits, counters::CounterSet::new(), now)
}

fn strike(world: &mut OrderWorld, fault: SystemFault) {
    match fault {
        SystemFault::AgentKilled | SystemFault::Restarted => world.restart_agent(),
        SystemFault::KilledTwice => {
            world.restart_agent();
            world.restart_agent();
        }
        SystemFault::EndpointKilled => world.engine_up = false,
        SystemFault::Straggler => world.engine_slow = true,
        SystemFault::LeaderKilled
        | SystemFault::LostAfterRepair
        | SystemFault::DiskFull
        | SystemFault::TornWrite
        | SystemFault::FailedSync
        | SystemFault::WipedDisk => world.control_up = false,
        SystemFault::PartitionOneWay
        | SystemFault::PartitionBothWays
        | SystemFault::SilentConnection => world.cut = true,
        SystemFault::RollingRestart => {
            world.restart_agent();
            world.control_up = false;
        }
        _ => {}
    }
}

fn heal(world: &mut OrderWorld) {
    world.control_up = true;
    world.cut = false;
    world.engine_up = true;
    world.pass(Duration::from_secs(1));
}

/// An old decider's order is overtaken by a new decider; the fault strikes at the step, and the old
/// order comes late, doubled or again after it.
fn run_cell(engine_checks: bool, step: WorkStep, fault: SystemFault) -> OrderWorld {
    let mut world = OrderWorld::new(engine_checks);
    let old = world.take_office();
    let late = world.order(old);
    if step == WorkStep::Issued {
        strike(&mut world, fault);
    }
    let first = world.order(old);
    world.deliver(first.clone());
    if step == WorkStep::Delivered {
        strike(&mut world, fault);
    }
    let new = world.take_office();
    let second = world.order(new);
    let mut arriving = vec![second.clone()];
    match fault {
        SystemFault::MessageLost => arriving.clear(),
        SystemFault::MessageDoubled => arriving.push(second.clone()),
        SystemFault::MessageReordered => arriving.insert(0, late.clone()),
        _ => {}
    }
    for order in arriving {
        world.deliver(order);
    }
    if step == WorkStep::Done {
        strike(&mut world, fault);
    }
    world.deliver(late.clone());
    heal(&mut world);
    // Deciders resend until they get a result; the old one may still be at it.
    for order in [second.clone(), late, first, second] {
        world.deliver(order);
        world.pass(Duration::from_secs(1));
    }
    world.record.end = world.now;
    world
}

/// Guards against an engine that obeys a decider who was replaced, whatever happens on the way.
#[test_case(WorkStep::Issued)]
#[test_case(WorkStep::Delivered)]
#[test_case(WorkStep::Done)]
fn orders_obey_the_fencing_number(step: WorkStep) {
    let cells = matrix::proved_by("orders_obey_the_fencing_number");
    let of_step: Vec<_> = cells.iter().filter(|cell| cell.step == step).collect();
    assert!(!of_step.is_empty());
    for cell in of_step {
        for engine_checks in [true, false] {
            let world = run_cell(engine_checks, step, cell.fault);
            let name = format!("{step}, {}, engine checks: {engine_checks}", cell.fault);
            checkers::check_all(&world.record)
                .unwrap_or_else(|violation| panic!("{name}: {violation}\n{:#?}", world.record));
            assert!(
                world.done.contains(&3),
                "{name}: the new decider's order was never done"
            );
        }
    }
}
