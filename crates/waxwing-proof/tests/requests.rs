//! The cells of the fault matrix for requests: every fault at every step, on the real state
//! machines of entry, agent and control group with a stepped clock.

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

use world::{FaultPlan, RequestSpec, World};

const MAIN: ids::RequestId = ids::RequestId(1);

/// Faults that the system must hide from the caller of the main request at every step.
const HIDDEN: &[SystemFault] = &[
    SystemFault::FollowerKilled,
    SystemFault::LeaderKilled,
    SystemFault::MessageDoubled,
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

/// Runs the main request with the fault of a cell, and a resend of its key where it has one.
fn run_cell(group: StepGroup, plan: Option<FaultPlan>) -> World {
    let mut world = World::new(group == StepGroup::Plain, plan);
    let spec = main_spec(group, plan.map(|plan| plan.fault));
    if plan.is_some_and(|plan| plan.step == WorkStep::Waiting) {
        world.occupy(Duration::from_millis(50));
    }
    world.ask(Duration::from_millis(100), 0, spec);
    match plan.map(|plan| plan.step) {
        Some(WorkStep::Leaving | WorkStep::Gone | WorkStep::AgentStops) => {
            world.leave(Duration::from_millis(125));
        }
        Some(WorkStep::EntryStops) => world.stop_first_entry(Duration::from_millis(125)),
        _ => {}
    }
    world.run(Duration::from_secs(45));
    if group == StepGroup::Plain {
        world.resend(Duration::from_millis(1));
    }
    world.run(Duration::from_secs(90));
    world
}

fn check_cell(cell: &matrix::MatrixCell) {
    let plan = FaultPlan {
        step: cell.step,
        fault: cell.fault,
    };
    let world = run_cell(cell.group, Some(plan));
    let name = format!("{}, {}, {}", cell.group.words(), cell.step, cell.fault);
    assert!(world.has_struck(), "{name}: the step was never reached");
    if let Err(violation) = checkers::check_all(&world.record) {
        panic!("{name}: {violation}\n{:#?}", world.record.events);
    }
    if cell.fault != SystemFault::EntryKilled {
        assert!(world.has_ended(MAIN), "{name}: no last word for the caller");
    }
    if HIDDEN.contains(&cell.fault) {
        assert!(
            world.was_answered(MAIN),
            "{name}: not answered\n{:#?}",
            world.record.events
        );
    }
}

/// Guards against a broken promise when a fault strikes at a step of a request. Each case runs the
/// cells of one step.
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
    let cells = matrix::proved_by("request_keeps_the_promises");
    let of_step: Vec<_> = cells.iter().filter(|cell| cell.step == step).collect();
    assert!(!of_step.is_empty());
    for cell in of_step {
        check_cell(cell);
    }
}

/// Guards against a world in which requests fail without any fault.
#[test_case(StepGroup::Model)]
#[test_case(StepGroup::Plain)]
fn request_is_answered_without_faults(group: StepGroup) {
    let world = run_cell(group, None);
    checkers::check_all(&world.record).expect("nothing is broken");
    assert!(world.was_answered(MAIN), "{:#?}", world.record.events);
    if group == StepGroup::Plain {
        assert!(
            world.was_answered(ids::RequestId(3)),
            "the resend gets the first answer"
        );
    }
}
