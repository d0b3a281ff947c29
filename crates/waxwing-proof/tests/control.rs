//! The cells of the fault matrix for settings changes, membership changes and the shutdown of a
//! control host, on the real log, store, state machine and settings replica.

mod quorum_world;

use std::time::Duration;

use test_case::test_case;
use waxwing_proof::{
    checkers,
    faults::SystemFault,
    matrix,
    steps::{StepGroup, WorkStep},
};

use quorum_world::{ControlPlan, ControlWorld, LAST, MAIN};

const SECOND: Duration = Duration::from_secs(1);

fn run_cell(group: StepGroup, plan: Option<ControlPlan>) -> ControlWorld {
    let mut world = ControlWorld::new(plan);
    let begin = 5 * SECOND;
    if plan.is_some_and(|plan| plan.fault == SystemFault::LostAfterRepair) {
        world.wipe_before(2 * SECOND);
    }
    match group {
        StepGroup::Membership => world.change_members(begin + 5 * SECOND),
        StepGroup::Shutdown => world.stop_leader(begin + 5 * SECOND),
        _ => {}
    }
    world.submit_main(begin + 5 * SECOND);
    world.submit_last(50 * SECOND);
    world.run(75 * SECOND);
    world
}

fn check_world(name: &str, world: &ControlWorld) {
    assert!(world.violation.is_none(), "{name}: {:?}", world.violation);
    if let Err(violation) = checkers::check_all(&world.record) {
        panic!("{name}: {violation}\n{:#?}", world.record.events);
    }
    assert!(
        !world.has_two_winners(),
        "{name}: two racing changes were accepted"
    );
    assert!(
        world.was_answered(MAIN),
        "{name}: the operator never got an answer"
    );
    assert!(
        world.was_accepted(LAST),
        "{name}: the group accepts nothing any more"
    );
    assert!(
        world.has_wanted_members(),
        "{name}: the membership is not the wanted one"
    );
}

fn check_cell(cell: &matrix::MatrixCell) {
    let plan = ControlPlan {
        step: cell.step,
        fault: cell.fault,
    };
    let world = run_cell(cell.group, Some(plan));
    let name = format!("{}, {}, {}", cell.group.words(), cell.step, cell.fault);
    assert!(world.has_struck(), "{name}: the step was never reached");
    check_world(&name, &world);
}

/// Guards against a broken promise when a fault strikes at a step of the control hosts' work. Each
/// case runs the cells of one step.
#[test_case(WorkStep::Submitted)]
#[test_case(WorkStep::Appended)]
#[test_case(WorkStep::Replicated)]
#[test_case(WorkStep::Committed)]
#[test_case(WorkStep::Distributed)]
#[test_case(WorkStep::InForce)]
#[test_case(WorkStep::LearnerAdded)]
#[test_case(WorkStep::CatchingUp)]
#[test_case(WorkStep::Promoted)]
#[test_case(WorkStep::Removed)]
#[test_case(WorkStep::ControlStops)]
fn control_keeps_the_promises(step: WorkStep) {
    let cells = matrix::proved_by("control_keeps_the_promises");
    let of_step: Vec<_> = cells.iter().filter(|cell| cell.step == step).collect();
    assert!(!of_step.is_empty());
    for cell in of_step {
        check_cell(cell);
    }
}

/// Guards against a world in which changes fail without any fault.
#[test_case(StepGroup::Settings)]
#[test_case(StepGroup::Membership)]
#[test_case(StepGroup::Shutdown)]
fn control_works_without_faults(group: StepGroup) {
    let world = run_cell(group, None);
    check_world(group.words(), &world);
    assert!(world.was_accepted(MAIN));
}
