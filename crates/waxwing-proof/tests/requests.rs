//! The cells of the fault matrix for requests: every fault at every step, run against the real state
//! machines of entry, agent and control group on a simulated clock.

mod world;

use std::time::Duration;

use test_case::test_case;
use waxwing_core::ids;
use waxwing_proof::{
    checkers,
    faults::SystemFault,
    matrix,
    steps::{StepGroup, WorkStep},
};

use world::{FaultPlan, RequestSimulation, RequestSpec};

const MAIN: ids::RequestId = ids::RequestId(1);

/// Faults that the caller of the main request must not notice: at every step it gets its answer.
const MASKED: &[SystemFault] = &[
    SystemFault::FollowerKilled,
    SystemFault::LeaderKilled,
    SystemFault::MessageDuplicated,
    SystemFault::MessageReordered,
    SystemFault::SilentConnection,
    SystemFault::Straggler,
    SystemFault::Burst,
    SystemFault::TornWrite,
    SystemFault::WipedDisk,
    SystemFault::ClockJump,
    SystemFault::CallerResends,
    SystemFault::CallerSlow,
    SystemFault::RollingRestart,
];

fn main_spec(group: StepGroup, fault: Option<SystemFault>) -> RequestSpec {
    RequestSpec {
        request: MAIN,
        rank: 0,
        key: (group == StepGroup::Plain).then_some("order-1"),
        read_millis: if fault == Some(SystemFault::CallerSlow) {
            700
        } else {
            0
        },
    }
}

/// Runs the main request with the planned fault, and resends it if it has an idempotency key.
fn run_cell(group: StepGroup, plan: Option<FaultPlan>) -> RequestSimulation {
    let mut simulation = RequestSimulation::new(group == StepGroup::Plain, plan);
    let spec = main_spec(group, plan.map(|plan| plan.fault));
    if plan.is_some_and(|plan| plan.step == WorkStep::Waiting) {
        simulation.occupy_agents(Duration::from_millis(50));
    }
    simulation.schedule_request(Duration::from_millis(100), 0, spec);
    match plan.map(|plan| plan.step) {
        Some(WorkStep::Leaving | WorkStep::Gone | WorkStep::AgentStops) => {
            simulation.drain_first_agent(Duration::from_millis(125));
        }
        Some(WorkStep::EntryStops) => simulation.stop_first_entry(Duration::from_millis(125)),
        _ => {}
    }
    simulation.run(Duration::from_secs(45));
    if group == StepGroup::Plain {
        simulation.resend(Duration::from_millis(1));
    }
    simulation.run(Duration::from_secs(90));
    simulation
}

fn check_cell(cell: &matrix::MatrixCell) {
    let plan = FaultPlan {
        step: cell.step,
        fault: cell.fault,
    };
    let simulation = run_cell(cell.group, Some(plan));
    let name = format!("{}, {}, {}", cell.group.label(), cell.step, cell.fault);
    assert!(
        simulation.was_fault_injected(),
        "{name}: the step was never reached"
    );
    if let Err(violation) = checkers::check_all(&simulation.record) {
        panic!("{name}: {violation}\n{:#?}", simulation.record.events);
    }
    if cell.fault != SystemFault::EntryKilled {
        assert!(
            simulation.has_outcome(MAIN),
            "{name}: the caller got neither an answer nor a refusal"
        );
    }
    if MASKED.contains(&cell.fault) {
        assert!(
            simulation.was_answered(MAIN),
            "{name}: not answered\n{:#?}",
            simulation.record.events
        );
    }
}

/// Guards against a violated guarantee when a fault occurs at a step of a request, of the lifecycle
/// of an endpoint or of a shutdown. Each case runs the cells of one step.
#[test_case(WorkStep::Accepted)]
#[test_case(WorkStep::Waiting)]
#[test_case(WorkStep::Offered)]
#[test_case(WorkStep::Granted)]
#[test_case(WorkStep::Claimed)]
#[test_case(WorkStep::HandedOver)]
#[test_case(WorkStep::Admitted)]
#[test_case(WorkStep::Prefill)]
#[test_case(WorkStep::Streaming)]
#[test_case(WorkStep::LastByte)]
#[test_case(WorkStep::Acknowledged)]
#[test_case(WorkStep::Announcing)]
#[test_case(WorkStep::Serving)]
#[test_case(WorkStep::Leaving)]
#[test_case(WorkStep::Gone)]
#[test_case(WorkStep::EntryStops)]
#[test_case(WorkStep::AgentStops)]
fn request_keeps_the_promises(step: WorkStep) {
    let cells = matrix::covered_by("request_keeps_the_promises");
    let step_cells: Vec<_> = cells.iter().filter(|cell| cell.step == step).collect();
    assert!(!step_cells.is_empty());
    for cell in step_cells {
        check_cell(cell);
    }
}

/// Guards against a simulation in which requests fail even without a fault; its other failures would
/// mean nothing.
#[test_case(StepGroup::Model)]
#[test_case(StepGroup::Plain)]
fn request_is_answered_without_faults(group: StepGroup) {
    let simulation = run_cell(group, None);
    checkers::check_all(&simulation.record).expect("the run violates nothing");
    assert!(
        simulation.was_answered(MAIN),
        "{:#?}",
        simulation.record.events
    );
    if group == StepGroup::Plain {
        assert!(
            simulation.was_answered(ids::RequestId(3)),
            "the resend gets the answer of the first run"
        );
    }
}
