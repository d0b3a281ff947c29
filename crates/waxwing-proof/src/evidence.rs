//! Maps tests to the cells of the fault matrix that they cover.

use crate::{
    faults::SystemFault,
    steps::{StepGroup, WorkStep},
};

/// A test and the cells that it covers.
#[derive(Debug, PartialEq, Eq)]
pub struct TestEvidence {
    /// The path of the test file, relative to the root of the repository.
    pub file: &'static str,
    /// The name of the test function.
    pub test: &'static str,
    /// The kinds of work that it covers.
    pub groups: &'static [StepGroup],
    /// The steps that it covers; empty means every step of the groups.
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

/// Every covering test. A cell names the first one that covers it.
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

/// Returns the first test that covers a cell.
#[must_use]
pub fn find(group: StepGroup, step: WorkStep, fault: SystemFault) -> Option<&'static TestEvidence> {
    ALL.iter()
        .find(|evidence| evidence.covers(group, step, fault))
}
