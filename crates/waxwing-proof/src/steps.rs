//! The steps at which a fault may strike.

use std::fmt;

/// A `StepGroup` is a chain of steps that one kind of work goes through.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StepGroup {
    /// A request to a model.
    Model,
    /// A call of a plain service, not idempotent, with a key.
    Plain,
    /// A settings change.
    Settings,
    /// The life of an endpoint.
    Endpoint,
    /// An engine order.
    Order,
    /// A change of the control hosts' membership.
    Membership,
    /// The graceful shutdown of a process.
    Shutdown,
}

impl StepGroup {
    /// Returns the group in words.
    #[must_use]
    pub fn words(self) -> &'static str {
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
    ({ $($(#[$doc:meta])* $variant:ident = $words:literal,)* }) => {
        /// A `WorkStep` is one step of a [`StepGroup`].
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum WorkStep {
            $($(#[$doc])* $variant,)*
        }

        impl WorkStep {
            /// Returns the step in words.
            #[must_use]
            pub fn words(self) -> &'static str {
                match self {
                    $(Self::$variant => $words,)*
                }
            }
        }
    };
}

step_type!({
    /// The entry has read the request.
    Accepted = "accepted",
    /// The request waits in the entry's memory.
    Waiting = "waiting",
    /// Offers are out.
    Offered = "offered",
    /// A grant has arrived.
    Granted = "granted",
    /// The claim on the key is being written.
    Claimed = "claimed",
    /// The hand-over is sent.
    HandedOver = "handed over",
    /// The endpoint has admitted the request.
    Admitted = "admitted by the endpoint",
    /// The endpoint computes the prompt, or carries out the call.
    Prefill = "prefill or execution",
    /// Bytes of the answer flow.
    Streaming = "streaming",
    /// The last byte is sent.
    LastByte = "last byte",
    /// The entry acknowledges the answer.
    Acknowledged = "acknowledged",
    /// An operator submits the change.
    Submitted = "submitted",
    /// The leader has appended the change.
    Appended = "appended",
    /// Followers get the change.
    Replicated = "replicated",
    /// The change is committed.
    Committed = "committed",
    /// Processes get the change.
    Distributed = "distributed",
    /// Processes run the change.
    InForce = "in force",
    /// The endpoint announces itself.
    Announcing = "announcing",
    /// The endpoint serves.
    Serving = "serving",
    /// The endpoint is leaving.
    Leaving = "leaving",
    /// The endpoint is gone.
    Gone = "gone",
    /// The decider issues the order.
    Issued = "issued",
    /// The order reaches the agent.
    Delivered = "delivered",
    /// The engine has carried out the order.
    Done = "done",
    /// A learner is added.
    LearnerAdded = "learner added",
    /// The learner catches up.
    CatchingUp = "learner catching up",
    /// The learner becomes a voter.
    Promoted = "promoted",
    /// A member is removed.
    Removed = "removed",
    /// An entry shuts down.
    EntryStops = "entry",
    /// An agent shuts down.
    AgentStops = "agent",
    /// A control host's process shuts down.
    ControlStops = "control",
});

impl fmt::Display for WorkStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.words())
    }
}

/// The steps of a request, in order; a model request without a key skips the claim.
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

/// Every group with its steps.
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
