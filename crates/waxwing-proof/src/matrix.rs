//! The fault matrix: which promise a fault could break at a step, what is expected instead, and
//! which test brings it about.
//!
//! The tests run over the cells that name them, so that a cell can't claim a test that skips it.

use crate::{
    checkers::SystemPromise,
    evidence,
    faults::SystemFault,
    steps::{self, StepGroup, WorkStep},
};

/// A `MatrixCell` is one fault at one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MatrixCell {
    /// The kind of work.
    pub group: StepGroup,
    /// The step.
    pub step: WorkStep,
    /// The fault.
    pub fault: SystemFault,
    /// What is known about the cell.
    pub state: CellState,
}

/// A `CellState` tells whether a cell applies and whether it is proved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CellState {
    /// The fault can't strike at the step, for the reason given.
    NotApplicable(&'static str),
    /// No test brings the fault about at this step yet.
    Empty(CellExpectation),
    /// The named test brings it about.
    Proved(CellExpectation, &'static evidence::TestEvidence),
}

/// A `CellExpectation` names the promise at stake and the expected outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellExpectation {
    /// The promise that could break.
    pub promise: SystemPromise,
    /// What is expected to happen.
    pub outcome: &'static str,
}

/// Returns every cell, group by group and step by step.
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

/// Returns the cells that a test has to run.
#[must_use]
pub fn proved_by(test: &str) -> Vec<MatrixCell> {
    let named = |cell: &MatrixCell| match cell.state {
        CellState::Proved(_, evidence) => evidence.test == test,
        _ => false,
    };
    cells().into_iter().filter(named).collect()
}

fn cell(group: StepGroup, step: WorkStep, fault: SystemFault) -> MatrixCell {
    let state = match expectation(group, step, fault) {
        Err(reason) => CellState::NotApplicable(reason),
        Ok(expectation) => evidence::find(group, step, fault)
            .map_or(CellState::Empty(expectation), |found| {
                CellState::Proved(expectation, found)
            }),
    };
    MatrixCell {
        group,
        step,
        fault,
        state,
    }
}

/// Decides whether a fault can strike at a step, and what is expected then.
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

type Expected = Result<CellExpectation, &'static str>;

fn expect(promise: SystemPromise, outcome: &'static str) -> Expected {
    Ok(CellExpectation { promise, outcome })
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

/// Whether the step lies at or behind another one in the life of a request.
fn at_or_after(step: WorkStep, other: WorkStep) -> bool {
    step >= other
}

fn request(step: WorkStep, fault: SystemFault, keyed: bool) -> Expected {
    use SystemFault as Fault;
    if step == WorkStep::Claimed && !keyed {
        return Err(NO_KEY);
    }
    let claimed = step == WorkStep::Claimed;
    let agent_known = at_or_after(step, WorkStep::Offered);
    let dispatch = if keyed {
        SystemPromise::RunsOnce
    } else {
        SystemPromise::DispatchedOnce
    };
    match fault {
        Fault::EntryKilled => expect(dispatch, "never dispatched again; a resend finds the truth"),
        Fault::AgentKilled | Fault::Restarted | Fault::KilledTwice if !agent_known => Err(NO_AGENT),
        Fault::AgentKilled | Fault::Restarted | Fault::KilledTwice => expect(
            dispatch,
            "offered elsewhere if never handed over, else `unknown` or whole",
        ),
        Fault::EndpointKilled if !at_or_after(step, WorkStep::HandedOver) => {
            Err("the endpoint has not seen the request")
        }
        Fault::EndpointKilled => expect(
            SystemPromise::WholeAnswer,
            "`unknown`, or the whole answer if it was sent",
        ),
        Fault::LeaderKilled | Fault::FollowerKilled | Fault::LostAfterRepair if !claimed => {
            Err(NO_CONTROL)
        }
        Fault::LeaderKilled | Fault::FollowerKilled | Fault::LostAfterRepair => expect(
            SystemPromise::RunsOnce,
            "the claim stands or was never made",
        ),
        Fault::DiskFull | Fault::TornWrite | Fault::FailedSync | Fault::WipedDisk if !claimed => {
            Err(NO_DISK)
        }
        Fault::DiskFull | Fault::TornWrite | Fault::FailedSync | Fault::WipedDisk => expect(
            SystemPromise::RunsOnce,
            "the claim stands on a quorum or was never made",
        ),
        Fault::MessageLost
        | Fault::MessageDoubled
        | Fault::MessageReordered
        | Fault::MessageLate
        | Fault::PartitionOneWay
        | Fault::PartitionBothWays
        | Fault::SilentConnection
            if !agent_known =>
        {
            Err(NO_MESSAGE)
        }
        Fault::MessageLost
        | Fault::MessageDoubled
        | Fault::MessageReordered
        | Fault::MessageLate => expect(dispatch, "settled or resumed; one dispatch, whole answer"),
        Fault::PartitionOneWay | Fault::PartitionBothWays | Fault::SilentConnection => expect(
            SystemPromise::TrueRefusal,
            "found by heartbeat; resumed, settled or `unknown`",
        ),
        Fault::Straggler if !at_or_after(step, WorkStep::Offered) => Err(NO_AGENT),
        Fault::Straggler => expect(SystemPromise::WholeAnswer, "late but whole, or refused"),
        Fault::Burst if at_or_after(step, WorkStep::HandedOver) => {
            Err("the request already holds its slot")
        }
        Fault::Burst => expect(SystemPromise::TierOrder, "lower tiers are shed first"),
        Fault::ClockJump if claimed => expect(
            SystemPromise::RunsOnce,
            "claims expire by log time, which never goes back",
        ),
        Fault::ClockJump => Err(NO_WALL_CLOCK),
        Fault::CallerGone if step == WorkStep::Acknowledged => {
            Err("the caller already has its answer")
        }
        Fault::CallerGone => expect(dispatch, "cancelled if idempotent, else runs to its end"),
        Fault::CallerResends if !keyed => Err("a resend without a key is another request"),
        Fault::CallerResends => expect(SystemPromise::RunsOnce, "the resend gets the first run"),
        Fault::CallerSlow if !at_or_after(step, WorkStep::Streaming) => Err(NO_BYTES),
        Fault::CallerSlow => expect(
            SystemPromise::WholeAnswer,
            "whole; others are not held back",
        ),
        Fault::OperatorRace | Fault::OperatorResend => Err(NO_OPERATOR),
        Fault::StaleFencing => Err(NO_ORDER),
        Fault::RollingRestart => expect(SystemPromise::ShutdownWhole, "ends whole or never ran"),
    }
}

fn settings(step: WorkStep, fault: SystemFault) -> Expected {
    use SystemFault as Fault;
    let promise = SystemPromise::SettingsForward;
    let distributing = matches!(step, WorkStep::Distributed | WorkStep::InForce);
    match fault {
        Fault::EntryKilled | Fault::AgentKilled if !distributing => {
            Err("entries and agents take no part in this step")
        }
        Fault::EntryKilled | Fault::AgentKilled => {
            expect(promise, "takes the newest confirmed version at its restart")
        }
        Fault::EndpointKilled | Fault::Straggler => Err(NO_ENDPOINT),
        Fault::CallerGone | Fault::CallerResends | Fault::CallerSlow => Err(NO_CALLER),
        Fault::StaleFencing => Err(NO_ORDER),
        Fault::DiskFull | Fault::TornWrite | Fault::FailedSync if distributing => Err(NO_DISK),
        Fault::OperatorRace => expect(promise, "one wins, the other gets a conflict"),
        Fault::OperatorResend => expect(promise, "the first answer again, no second effect"),
        Fault::ClockJump => expect(promise, "log time never goes back"),
        _ => expect(
            promise,
            "accepted changes stay, in order; versions only go up",
        ),
    }
}

fn endpoint(step: WorkStep, fault: SystemFault) -> Expected {
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
        _ if step == WorkStep::Leaving => {
            expect(SystemPromise::LeavingIdle, "no new work after four seconds")
        }
        _ => expect(
            SystemPromise::DispatchedOnce,
            "found by lease or link; no flapping",
        ),
    }
}

fn order(step: WorkStep, fault: SystemFault) -> Expected {
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
            SystemPromise::SettingsForward,
            "only the highest fencing number is obeyed",
        ),
    }
}

fn membership(fault: SystemFault) -> Expected {
    use SystemFault as Fault;
    match fault {
        Fault::EntryKilled | Fault::AgentKilled => Err(NO_REQUEST),
        Fault::EndpointKilled | Fault::Straggler => Err(NO_ENDPOINT),
        Fault::CallerGone | Fault::CallerResends | Fault::CallerSlow => Err(NO_CALLER),
        Fault::StaleFencing => Err(NO_ORDER),
        _ => expect(
            SystemPromise::SettingsForward,
            "nothing committed is lost; one leader a term",
        ),
    }
}

fn shutdown(step: WorkStep, fault: SystemFault) -> Expected {
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
            SystemPromise::SettingsForward,
            "leadership moves, nothing is lost",
        ),
        _ => expect(
            SystemPromise::ShutdownWhole,
            "requests in progress end first",
        ),
    }
}
