//! The history that a test run records for the checkers. Events are facts that a caller, an endpoint
//! or an operator can observe, so that a checker asserts a guarantee and not an implementation.

use std::time::Duration;

use smol_str::SmolStr;
use waxwing_core::{ids, reasons};

/// An externally observable event of a test run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEvent {
    /// A caller sent a request.
    Requested {
        /// The id of the request; a resend has an id of its own.
        request: ids::RequestId,
        /// The rank of its tier; 0 is the highest.
        rank: ids::TierRank,
        /// Whether the request may be executed more than once.
        idempotent: bool,
        /// The account's idempotency key; a resend carries the same key.
        key: Option<SmolStr>,
    },
    /// An agent sent the request to its endpoint.
    Dispatched {
        /// The dispatched request.
        request: ids::RequestId,
        /// The name of the endpoint's agent.
        endpoint: SmolStr,
    },
    /// The endpoint executed a request, as the endpoint itself counts it.
    Executed {
        /// The executed request.
        request: ids::RequestId,
    },
    /// A caller received an answer that was reported as complete.
    Answered {
        /// The request that the caller had sent.
        request: ids::RequestId,
        /// The digest of the answer that the caller received.
        actual: u64,
        /// The digest of the answer that belongs to the request.
        expected: u64,
    },
    /// A caller received a refusal.
    Refused {
        /// The refused request.
        request: ids::RequestId,
        /// The outcome that the refusal states.
        outcome: reasons::Outcome,
        /// The reason that the refusal states.
        reason: reasons::RefusalReason,
    },
    /// A request was shed because a queue or a buffer was full.
    Shed {
        /// The tier rank of the shed request.
        rank: ids::TierRank,
        /// The rank of the lowest tier among the requests that were kept and could have been shed
        /// instead; `None` if there were none.
        kept: Option<ids::TierRank>,
    },
    /// An endpoint began to drain before it leaves.
    Leaving {
        /// The name of the endpoint's agent.
        endpoint: SmolStr,
    },
    /// An endpoint started, for the first time or as a new incarnation after a drain or a kill.
    Returned {
        /// The name of the endpoint's agent.
        endpoint: SmolStr,
    },
    /// A process was asked to shut down gracefully.
    ShutdownBegan {
        /// The name of the process.
        process: SmolStr,
    },
    /// A request in flight was ended early by the shutdown of a process.
    InterruptedByShutdown {
        /// The interrupted request.
        request: ids::RequestId,
    },
    /// An operator was told that a settings change is accepted.
    ChangeAccepted {
        /// The id of the change.
        change: ids::ChangeId,
        /// The first settings version that contains it.
        version: ids::SettingsVersion,
    },
    /// A process applied a settings version.
    InForce {
        /// The name of the process.
        process: SmolStr,
        /// The applied version.
        version: ids::SettingsVersion,
        /// The changes that the version contains, in commit order.
        changes: Vec<ids::ChangeId>,
    },
}

/// A [`RunEvent`] with the time at which it was observed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedEvent {
    /// Time since the start of the run.
    pub at: Duration,
    /// What was observed.
    pub event: RunEvent,
}

/// The history of one test run, in order of time.
#[derive(Debug, Clone, Default)]
pub struct RunRecord {
    /// Everything that was observed, oldest first.
    pub events: Vec<TimedEvent>,
    /// Processes that were reachable at the end of the run; accepted settings must be in force in
    /// each of them.
    pub reachable: Vec<SmolStr>,
    /// The end of the run, as time since its start.
    pub end: Duration,
}

impl RunRecord {
    /// Appends an event and extends the run to its time.
    pub fn push(&mut self, at: Duration, event: RunEvent) {
        self.end = self.end.max(at);
        self.events.push(TimedEvent { at, event });
    }
}
