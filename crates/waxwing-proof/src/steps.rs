//! The steps at which faults are injected.

use std::fmt;

/// A kind of work, with the sequence of steps that it passes through.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StepGroup {
    /// A request to a model.
    Model,
    /// A non-idempotent call to a plain service, with an idempotency key.
    Plain,
    /// A settings change.
    Settings,
    /// The lifecycle of an endpoint.
    Endpoint,
    /// A command from the control group to an engine, such as loading a model.
    Order,
    /// A membership change of the control group.
    Membership,
    /// The graceful shutdown of a process.
    Shutdown,
}

impl StepGroup {
    /// Returns the label of the group in the printed matrix.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Model => "model request",
            Self::Plain => "plain call",
            Self::Settings => "settings change",
            Self::Endpoint => "endpoint",
            Self::Order => "engine order",
            Self::Membership => "control membership",
            Self::Shutdown => "shutdown",
        }
    }
}

macro_rules! step_type {
    ({ $($(#[$doc:meta])* $variant:ident = $label:literal,)* }) => {
        /// One step of a [`StepGroup`]; the steps of a request are ordered as they occur.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum WorkStep {
            $($(#[$doc])* $variant,)*
        }

        impl WorkStep {
            /// Returns the label of the step in the printed matrix.
            #[must_use]
            pub fn label(self) -> &'static str {
                match self {
                    $(Self::$variant => $label,)*
                }
            }
        }
    };
}

step_type!({
    /// The entry has received the request.
    Accepted = "accepted",
    /// The request is queued in the entry.
    Waiting = "waiting",
    /// The entry has offered the request to agents.
    Offered = "offered",
    /// An agent has granted the entry a slot for the request.
    Granted = "granted",
    /// The claim on the idempotency key is being committed.
    Claimed = "claimed",
    /// The entry has sent the hand-over of the request to the agent.
    HandedOver = "handed over",
    /// The endpoint has admitted the request.
    Admitted = "admitted by the endpoint",
    /// The engine processes the prompt, or the plain service executes the call.
    Prefill = "prefill or execution",
    /// Bytes of the answer flow.
    Streaming = "streaming",
    /// The end of the answer has been sent.
    LastByte = "last byte",
    /// The entry acknowledges the complete answer to the agent.
    Acknowledged = "acknowledged",
    /// An operator submits the change.
    Submitted = "submitted",
    /// The leader has appended the change to its log.
    Appended = "appended",
    /// The change is replicated to followers.
    Replicated = "replicated",
    /// A quorum has committed the change.
    Committed = "committed",
    /// Entries and agents receive the change.
    Distributed = "distributed",
    /// Entries and agents have applied the change.
    InForce = "in force",
    /// The endpoint announces itself.
    Announcing = "announcing",
    /// The endpoint serves requests.
    Serving = "serving",
    /// The endpoint drains before it leaves.
    Leaving = "leaving",
    /// The endpoint has left.
    Gone = "gone",
    /// The placement controller issues the order.
    Issued = "issued",
    /// The order reaches the agent.
    Delivered = "delivered",
    /// The engine has executed the order.
    Done = "done",
    /// A learner is added to the group.
    LearnerAdded = "learner added",
    /// The learner catches up with the log.
    CatchingUp = "learner catching up",
    /// The learner is promoted to a voter.
    Promoted = "promoted",
    /// A member is removed from the group.
    Removed = "removed",
    /// An entry shuts down gracefully.
    EntryStops = "entry",
    /// An agent shuts down gracefully.
    AgentStops = "agent",
    /// The process of a control host shuts down gracefully.
    ControlStops = "control",
});

impl fmt::Display for WorkStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

/// The steps of a request, in order. A model request without an idempotency key skips
/// [`WorkStep::Claimed`].
pub const REQUEST_STEPS: &[WorkStep] = &[
    WorkStep::Accepted,
    WorkStep::Waiting,
    WorkStep::Offered,
    WorkStep::Granted,
    WorkStep::Claimed,
    WorkStep::HandedOver,
    WorkStep::Admitted,
    WorkStep::Prefill,
    WorkStep::Streaming,
    WorkStep::LastByte,
    WorkStep::Acknowledged,
];

/// Every group with its steps, in the order of the printed matrix.
pub const ALL_STEPS: &[(StepGroup, &[WorkStep])] = &[
    (StepGroup::Model, REQUEST_STEPS),
    (StepGroup::Plain, REQUEST_STEPS),
    (
        StepGroup::Settings,
        &[
            WorkStep::Submitted,
            WorkStep::Appended,
            WorkStep::Replicated,
            WorkStep::Committed,
            WorkStep::Distributed,
            WorkStep::InForce,
        ],
    ),
    (
        StepGroup::Endpoint,
        &[
            WorkStep::Announcing,
            WorkStep::Serving,
            WorkStep::Leaving,
            WorkStep::Gone,
        ],
    ),
    (
        StepGroup::Order,
        &[WorkStep::Issued, WorkStep::Delivered, WorkStep::Done],
    ),
    (
        StepGroup::Membership,
        &[
            WorkStep::LearnerAdded,
            WorkStep::CatchingUp,
            WorkStep::Promoted,
            WorkStep::Removed,
        ],
    ),
    (
        StepGroup::Shutdown,
        &[
            WorkStep::EntryStops,
            WorkStep::AgentStops,
            WorkStep::ControlStops,
        ],
    ),
];
