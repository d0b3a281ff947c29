//! The cells of the fault matrix for settings changes, membership changes and the shutdown of a
//! control host, run against the real replicated log, store, state machine and settings replica.

mod quorum_world;

use std::time::Duration;

use test_case::test_case;
use waxwing_proof::{
    checkers,
    faults::SystemFault,
    matrix,
    steps::{StepGroup, WorkStep},
};

use quorum_world::{ControlPlan, ControlSimulation, LAST, MAIN};

const SECOND: Duration = Duration::from_secs(1);

fn run_cell(group: StepGroup, plan: Option<ControlPlan>) -> ControlSimulation {
    let mut simulation = ControlSimulation::new(plan);
    let begin = 5 * SECOND;
    if plan.is_some_and(|plan| plan.fault == SystemFault::LostAfterRepair) {
        simulation.schedule_wipe(2 * SECOND);
    }
    match group {
        StepGroup::Membership => simulation.change_members(begin + 5 * SECOND),
        StepGroup::Shutdown => simulation.stop_leader(begin + 5 * SECOND),
        _ => {}
    }
    simulation.submit_main(begin + 5 * SECOND);
    simulation.submit_last(50 * SECOND);
    simulation.run(75 * SECOND);
    simulation
}

fn check_simulation(name: &str, simulation: &ControlSimulation) {
    assert!(
        simulation.violation.is_none(),
        "{name}: {:?}",
        simulation.violation
    );
    if let Err(violation) = checkers::check_all(&simulation.record) {
        panic!("{name}: {violation}\n{:#?}", simulation.record.events);
    }
    assert!(
        !simulation.has_conflicting_changes(),
        "{name}: two conflicting changes were accepted"
    );
    assert!(
        simulation.was_answered(MAIN),
        "{name}: the operator never got an answer"
    );
    assert!(
        simulation.was_accepted(LAST),
        "{name}: the group no longer accepts changes"
    );
    assert!(
        simulation.has_desired_members(),
        "{name}: the membership differs from the desired one"
    );
}

fn check_cell(cell: &matrix::MatrixCell) {
    let plan = ControlPlan {
        step: cell.step,
        fault: cell.fault,
    };
    let simulation = run_cell(cell.group, Some(plan));
    let name = format!("{}, {}, {}", cell.group.label(), cell.step, cell.fault);
    assert!(
        simulation.was_fault_injected(),
        "{name}: the step was never reached"
    );
    check_simulation(&name, &simulation);
}

/// Guards against a violated guarantee when a fault occurs at a step of a settings change, a
/// membership change or a shutdown. Each case runs the cells of one step.
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
    let cells = matrix::covered_by("control_keeps_the_promises");
    let step_cells: Vec<_> = cells.iter().filter(|cell| cell.step == step).collect();
    assert!(!step_cells.is_empty());
    for cell in step_cells {
        check_cell(cell);
    }
}

/// Guards against a simulation in which changes fail even without a fault; its other failures would
/// mean nothing.
#[test_case(StepGroup::Settings)]
#[test_case(StepGroup::Membership)]
#[test_case(StepGroup::Shutdown)]
fn control_works_without_faults(group: StepGroup) {
    let simulation = run_cell(group, None);
    check_simulation(group.label(), &simulation);
    assert!(simulation.was_accepted(MAIN));
}
