//! Which test brings about which cells of the fault matrix.

use crate::{
    faults::SystemFault,
    steps::{StepGroup, WorkStep},
};

/// A `TestEvidence` names a test and the cells that it brings about.
#[derive(Debug, PartialEq, Eq)]
pub struct TestEvidence {
    /// The file of the test, from the root of the repository.
    pub file: &'static str,
    /// The function of the test.
    pub test: &'static str,
    /// The groups of work that it covers.
    pub groups: &'static [StepGroup],
    /// The steps that it covers; empty for all steps of the groups.
    pub steps: &'static [WorkStep],
    /// The faults that it covers.
    pub faults: &'static [SystemFault],
}

impl TestEvidence {
    fn covers(&self, group: StepGroup, step: WorkStep, fault: SystemFault) -> bool {
        self.groups.contains(&group)
            && (self.steps.is_empty() || self.steps.contains(&step))
            && self.faults.contains(&fault)
    }
}

/// Every piece of evidence; the first that covers a cell is named in it.
pub const ALL: &[TestEvidence] = &[
    TestEvidence {
        file: "crates/waxwing-proof/tests/requests.rs",
        test: "request_keeps_the_promises",
        groups: &[StepGroup::Model, StepGroup::Plain, StepGroup::Endpoint],
        steps: &[],
        faults: SystemFault::ALL,
    },
    TestEvidence {
        file: "crates/waxwing-proof/tests/requests.rs",
        test: "request_keeps_the_promises",
        groups: &[StepGroup::Shutdown],
        steps: &[WorkStep::EntryStops, WorkStep::AgentStops],
        faults: SystemFault::ALL,
    },
    TestEvidence {
        file: "crates/waxwing-proof/tests/control.rs",
        test: "control_keeps_the_promises",
        groups: &[StepGroup::Settings, StepGroup::Membership],
        steps: &[],
        faults: SystemFault::ALL,
    },
    TestEvidence {
        file: "crates/waxwing-proof/tests/control.rs",
        test: "control_keeps_the_promises",
        groups: &[StepGroup::Shutdown],
        steps: &[WorkStep::ControlStops],
        faults: SystemFault::ALL,
    },
    TestEvidence {
        file: "crates/waxwing-proof/tests/orders.rs",
        test: "orders_obey_the_fencing_number",
        groups: &[StepGroup::Order],
        steps: &[],
        faults: SystemFault::ALL,
    },
];

/// Finds the evidence of a cell.
#[must_use]
pub fn find(group: StepGroup, step: WorkStep, fault: SystemFault) -> Option<&'static TestEvidence> {
    ALL.iter()
        .find(|evidence| evidence.covers(group, step, fault))
}
