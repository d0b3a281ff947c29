//! What a run records for the checkers. Events name facts that a caller, an endpoint or an operator
//! could observe, so that a checker asserts a promise and not an implementation.

use std::time::Duration;

use smol_str::SmolStr;
use waxwing_core::{ids, reasons};

/// A `RunEvent` is one observed fact of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEvent {
    /// A caller sent a request.
    Asked {
        /// The request.
        request: ids::RequestId,
        /// The rank of its tier.
        rank: ids::TierRank,
        /// Whether the request may run twice.
        idempotent: bool,
        /// The account's idempotency key; a resend has the same one.
        key: Option<SmolStr>,
    },
    /// An agent sent the request to its endpoint.
    Dispatched {
        /// The request.
        request: ids::RequestId,
        /// The endpoint, by the name of its agent.
        endpoint: SmolStr,
    },
    /// The endpoint carried out the work of a request, as the endpoint itself counts it.
    Ran {
        /// The request.
        request: ids::RequestId,
    },
    /// A caller got an answer that was reported as whole.
    Answered {
        /// The request that the caller had sent.
        request: ids::RequestId,
        /// The digest of the answer that the caller got.
        found: u64,
        /// The digest of the answer that belongs to the request.
        expected: u64,
    },
    /// A caller got a refusal.
    Refused {
        /// The request.
        request: ids::RequestId,
        /// The outcome that the refusal states.
        outcome: reasons::Outcome,
        /// The reason that the refusal states.
        reason: reasons::RefusalReason,
    },
    /// Work was shed for lack of room.
    Shed {
        /// The rank of the work that was shed.
        rank: ids::TierRank,
        /// The lowest tier's rank among the work that was kept and could have been shed instead.
        kept: Option<ids::TierRank>,
    },
    /// An endpoint began to leave.
    Leaving {
        /// The endpoint.
        endpoint: SmolStr,
    },
    /// An endpoint came back as a new incarnation after it had left.
    Returned {
        /// The endpoint.
        endpoint: SmolStr,
    },
    /// A process was asked to shut down gracefully.
    ShutdownBegan {
        /// The process.
        process: SmolStr,
    },
    /// A request in progress was ended early by the shutdown of a process.
    CutByShutdown {
        /// The request.
        request: ids::RequestId,
    },
    /// An operator was told that a change is accepted.
    ChangeAccepted {
        /// The change.
        change: ids::ChangeId,
        /// The version that contains it.
        version: ids::SettingsVersion,
    },
    /// A process took a settings version into force.
    InForce {
        /// The process.
        process: SmolStr,
        /// The version.
        version: ids::SettingsVersion,
        /// The changes that the version contains, in order.
        changes: Vec<ids::ChangeId>,
    },
}

/// A `TimedEvent` is an event with the time at which it was observed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedEvent {
    /// Time since the start of the run.
    pub at: Duration,
    /// The event.
    pub event: RunEvent,
}

/// A `RunRecord` is all that was observed in one run, in order of time.
#[derive(Debug, Clone, Default)]
pub struct RunRecord {
    /// The events.
    pub events: Vec<TimedEvent>,
    /// Processes that were reachable at the end of the run; settings must be in force in these.
    pub reachable: Vec<SmolStr>,
    /// The time at which the run ended.
    pub end: Duration,
}

impl RunRecord {
    /// Appends an event.
    pub fn push(&mut self, at: Duration, event: RunEvent) {
        self.end = self.end.max(at);
        self.events.push(TimedEvent { at, event });
    }
}
