//! The fault matrix: the guarantee that a fault puts at risk at each step, the expected outcome, and
//! the test that covers it.
//!
//! Each test iterates over the cells that name it, so that no cell can name a test that skips it.

use crate::{
    checkers::SystemGuarantee,
    evidence,
    faults::SystemFault,
    steps::{self, StepGroup, WorkStep},
};

/// One fault at one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MatrixCell {
    /// The kind of work that is disturbed.
    pub group: StepGroup,
    /// The step at which the fault is injected.
    pub step: WorkStep,
    /// The injected fault.
    pub fault: SystemFault,
    /// Whether the cell applies and which test covers it.
    pub state: CellState,
}

/// Whether a cell applies and whether a test covers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CellState {
    /// The fault can't occur at the step, for the reason given.
    NotApplicable(&'static str),
    /// The fault can occur at the step, but no test injects it there.
    Untested(CellExpectation),
    /// The test injects the fault at the step.
    Covered(CellExpectation, &'static evidence::TestEvidence),
}

/// The guarantee at risk and the expected outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellExpectation {
    /// The guarantee that the fault could violate.
    pub guarantee: SystemGuarantee,
    /// The expected outcome, as it is printed.
    pub outcome: &'static str,
}

/// Returns every cell, ordered by group, step and fault.
#[must_use]
pub fn cells() -> Vec<MatrixCell> {
    let mut cells = Vec::new();
    for (group, steps) in steps::ALL_STEPS {
        for step in *steps {
            cells.extend(
                SystemFault::ALL
                    .iter()
                    .map(|fault| cell(*group, *step, *fault)),
            );
        }
    }
    cells
}

/// Returns the cells that a test covers and therefore has to run.
#[must_use]
pub fn covered_by(test: &str) -> Vec<MatrixCell> {
    let named = |cell: &MatrixCell| match cell.state {
        CellState::Covered(_, evidence) => evidence.test == test,
        _ => false,
    };
    cells().into_iter().filter(named).collect()
}

fn cell(group: StepGroup, step: WorkStep, fault: SystemFault) -> MatrixCell {
    let state = match expectation(group, step, fault) {
        Err(reason) => CellState::NotApplicable(reason),
        Ok(expectation) => evidence::find(group, step, fault)
            .map_or(CellState::Untested(expectation), |found| {
                CellState::Covered(expectation, found)
            }),
    };
    MatrixCell {
        group,
        step,
        fault,
        state,
    }
}

/// Returns the expected outcome of a fault at a step, or the reason why it can't occur there.
fn expectation(
    group: StepGroup,
    step: WorkStep,
    fault: SystemFault,
) -> Result<CellExpectation, &'static str> {
    match group {
        StepGroup::Model => request(step, fault, false),
        StepGroup::Plain => request(step, fault, true),
        StepGroup::Settings => settings(step, fault),
        StepGroup::Endpoint => endpoint(step, fault),
        StepGroup::Order => order(step, fault),
        StepGroup::Membership => membership(fault),
        StepGroup::Shutdown => shutdown(step, fault),
    }
}

type ExpectationResult = Result<CellExpectation, &'static str>;

fn expect(guarantee: SystemGuarantee, outcome: &'static str) -> ExpectationResult {
    Ok(CellExpectation { guarantee, outcome })
}

const NO_AGENT: &str = "no agent knows the request yet";
const NO_CONTROL: &str = "control hosts take no part in this step";
const NO_DISK: &str = "this step writes to no disk";
const NO_KEY: &str = "a model request without a key makes no claim";
const NO_MESSAGE: &str = "no message between processes is under way";
const NO_WALL_CLOCK: &str = "deadlines and leases use the monotonic clock";
const NO_CALLER: &str = "no caller takes part";
const NO_OPERATOR: &str = "no operator takes part";
const NO_ORDER: &str = "no engine order takes part";
const NO_BYTES: &str = "no bytes flow to the caller yet";
const NO_REQUEST: &str = "requests take no part in this step";
const NO_ENDPOINT: &str = "endpoints take no part in this step";

/// Tells whether a step of a request is `other` or a later one.
fn at_or_after(step: WorkStep, other: WorkStep) -> bool {
    step >= other
}

fn request(step: WorkStep, fault: SystemFault, keyed: bool) -> ExpectationResult {
    use SystemFault as Fault;
    if step == WorkStep::Claimed && !keyed {
        return Err(NO_KEY);
    }
    let claimed = step == WorkStep::Claimed;
    let agent_involved = at_or_after(step, WorkStep::Offered);
    let dispatch = if keyed {
        SystemGuarantee::RunsAtMostOnce
    } else {
        SystemGuarantee::DispatchedAtMostOnce
    };
    match fault {
        Fault::EntryKilled => expect(dispatch, "never dispatched again; a resend finds the truth"),
        Fault::AgentKilled | Fault::Restarted | Fault::KilledTwice if !agent_involved => {
            Err(NO_AGENT)
        }
        Fault::AgentKilled | Fault::Restarted | Fault::KilledTwice => expect(
            dispatch,
            "offered elsewhere if never handed over, else `unknown` or whole",
        ),
        Fault::EndpointKilled if !at_or_after(step, WorkStep::HandedOver) => {
            Err("the endpoint has not seen the request")
        }
        Fault::EndpointKilled => expect(
            SystemGuarantee::CompleteAnswer,
            "`unknown`, or the whole answer if it was sent",
        ),
        Fault::LeaderKilled | Fault::FollowerKilled | Fault::LostAfterRepair if !claimed => {
            Err(NO_CONTROL)
        }
        Fault::LeaderKilled | Fault::FollowerKilled | Fault::LostAfterRepair => expect(
            SystemGuarantee::RunsAtMostOnce,
            "the claim stands or was never made",
        ),
        Fault::DiskFull | Fault::TornWrite | Fault::FailedSync | Fault::WipedDisk if !claimed => {
            Err(NO_DISK)
        }
        Fault::DiskFull | Fault::TornWrite | Fault::FailedSync | Fault::WipedDisk => expect(
            SystemGuarantee::RunsAtMostOnce,
            "the claim stands on a quorum or was never made",
        ),
        Fault::MessageLost
        | Fault::MessageDuplicated
        | Fault::MessageReordered
        | Fault::MessageDelayed
        | Fault::PartitionOneWay
        | Fault::PartitionBothWays
        | Fault::SilentConnection
            if !agent_involved =>
        {
            Err(NO_MESSAGE)
        }
        Fault::MessageLost
        | Fault::MessageDuplicated
        | Fault::MessageReordered
        | Fault::MessageDelayed => {
            expect(dispatch, "settled or resumed; one dispatch, whole answer")
        }
        Fault::PartitionOneWay | Fault::PartitionBothWays | Fault::SilentConnection => expect(
            SystemGuarantee::AccurateRefusal,
            "found by heartbeat; resumed, settled or `unknown`",
        ),
        Fault::Straggler if !at_or_after(step, WorkStep::Offered) => Err(NO_AGENT),
        Fault::Straggler => expect(
            SystemGuarantee::CompleteAnswer,
            "late but whole, or refused",
        ),
        Fault::Burst if at_or_after(step, WorkStep::HandedOver) => {
            Err("the request already holds its slot")
        }
        Fault::Burst => expect(SystemGuarantee::TierOrder, "lower tiers are shed first"),
        Fault::ClockJump if claimed => expect(
            SystemGuarantee::RunsAtMostOnce,
            "claims expire by log time, which never goes back",
        ),
        Fault::ClockJump => Err(NO_WALL_CLOCK),
        Fault::CallerGone if step == WorkStep::Acknowledged => {
            Err("the caller already has its answer")
        }
        Fault::CallerGone => expect(dispatch, "cancelled if idempotent, else runs to its end"),
        Fault::CallerResends if !keyed => Err("a resend without a key is another request"),
        Fault::CallerResends => expect(
            SystemGuarantee::RunsAtMostOnce,
            "the resend gets the first run",
        ),
        Fault::CallerSlow if !at_or_after(step, WorkStep::Streaming) => Err(NO_BYTES),
        Fault::CallerSlow => expect(
            SystemGuarantee::CompleteAnswer,
            "whole; others are not held back",
        ),
        Fault::OperatorRace | Fault::OperatorResend => Err(NO_OPERATOR),
        Fault::StaleFencing => Err(NO_ORDER),
        Fault::RollingRestart => {
            expect(SystemGuarantee::GracefulShutdown, "ends whole or never ran")
        }
    }
}

fn settings(step: WorkStep, fault: SystemFault) -> ExpectationResult {
    use SystemFault as Fault;
    let guarantee = SystemGuarantee::MonotonicSettings;
    let distributing = matches!(step, WorkStep::Distributed | WorkStep::InForce);
    match fault {
        Fault::EntryKilled | Fault::AgentKilled if !distributing => {
            Err("entries and agents take no part in this step")
        }
        Fault::EntryKilled | Fault::AgentKilled => expect(
            guarantee,
            "takes the newest confirmed version at its restart",
        ),
        Fault::EndpointKilled | Fault::Straggler => Err(NO_ENDPOINT),
        Fault::CallerGone | Fault::CallerResends | Fault::CallerSlow => Err(NO_CALLER),
        Fault::StaleFencing => Err(NO_ORDER),
        Fault::DiskFull | Fault::TornWrite | Fault::FailedSync if distributing => Err(NO_DISK),
        Fault::OperatorRace => expect(guarantee, "one wins, the other gets a conflict"),
        Fault::OperatorResend => expect(guarantee, "the first answer again, no second effect"),
        Fault::ClockJump => expect(guarantee, "log time never goes back"),
        _ => expect(
            guarantee,
            "accepted changes stay, in order; versions only go up",
        ),
    }
}

fn endpoint(step: WorkStep, fault: SystemFault) -> ExpectationResult {
    use SystemFault as Fault;
    let gone = step == WorkStep::Gone;
    match fault {
        Fault::DiskFull | Fault::TornWrite | Fault::FailedSync | Fault::WipedDisk => Err(NO_DISK),
        Fault::LostAfterRepair => Err("the directory is soft state without a quorum"),
        Fault::ClockJump => Err(NO_WALL_CLOCK),
        Fault::CallerGone | Fault::CallerResends | Fault::CallerSlow => Err(NO_CALLER),
        Fault::OperatorRace | Fault::OperatorResend => Err(NO_OPERATOR),
        Fault::StaleFencing => Err(NO_ORDER),
        Fault::EndpointKilled | Fault::AgentKilled | Fault::Straggler if gone => {
            Err("there is no endpoint any more")
        }
        Fault::Burst if gone => Err("there is no endpoint any more"),
        _ if step == WorkStep::Leaving => expect(
            SystemGuarantee::NoWorkWhileLeaving,
            "no new work after four seconds",
        ),
        _ => expect(
            SystemGuarantee::DispatchedAtMostOnce,
            "found by lease or link; no flapping",
        ),
    }
}

fn order(step: WorkStep, fault: SystemFault) -> ExpectationResult {
    use SystemFault as Fault;
    let issued = step == WorkStep::Issued;
    match fault {
        Fault::EntryKilled | Fault::Burst => Err(NO_REQUEST),
        Fault::CallerGone | Fault::CallerResends | Fault::CallerSlow => Err(NO_CALLER),
        Fault::OperatorRace | Fault::OperatorResend => Err(NO_OPERATOR),
        Fault::DiskFull | Fault::TornWrite | Fault::FailedSync | Fault::WipedDisk if !issued => {
            Err(NO_DISK)
        }
        Fault::ClockJump => Err(NO_WALL_CLOCK),
        Fault::AgentKilled | Fault::EndpointKilled | Fault::Straggler if issued => Err(NO_AGENT),
        _ => expect(
            SystemGuarantee::MonotonicSettings,
            "only the highest fencing number is obeyed",
        ),
    }
}

fn membership(fault: SystemFault) -> ExpectationResult {
    use SystemFault as Fault;
    match fault {
        Fault::EntryKilled | Fault::AgentKilled => Err(NO_REQUEST),
        Fault::EndpointKilled | Fault::Straggler => Err(NO_ENDPOINT),
        Fault::CallerGone | Fault::CallerResends | Fault::CallerSlow => Err(NO_CALLER),
        Fault::StaleFencing => Err(NO_ORDER),
        _ => expect(
            SystemGuarantee::MonotonicSettings,
            "nothing committed is lost; one leader a term",
        ),
    }
}

fn shutdown(step: WorkStep, fault: SystemFault) -> ExpectationResult {
    use SystemFault as Fault;
    let control = step == WorkStep::ControlStops;
    match fault {
        Fault::OperatorRace | Fault::OperatorResend if !control => Err(NO_OPERATOR),
        Fault::StaleFencing => Err(NO_ORDER),
        Fault::DiskFull | Fault::TornWrite | Fault::FailedSync | Fault::WipedDisk if !control => {
            Err(NO_DISK)
        }
        Fault::ClockJump if !control => Err(NO_WALL_CLOCK),
        Fault::LeaderKilled | Fault::FollowerKilled | Fault::LostAfterRepair if !control => {
            Err(NO_CONTROL)
        }
        Fault::CallerGone | Fault::CallerResends | Fault::CallerSlow if control => Err(NO_CALLER),
        Fault::EndpointKilled | Fault::Straggler | Fault::EntryKilled | Fault::AgentKilled
            if control =>
        {
            Err(NO_REQUEST)
        }
        _ if control => expect(
            SystemGuarantee::MonotonicSettings,
            "leadership moves, nothing is lost",
        ),
        _ => expect(
            SystemGuarantee::GracefulShutdown,
            "requests in progress end first",
        ),
    }
}
