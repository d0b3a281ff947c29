//! Tickets: what the gate knows of a request that waits.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// A `TicketId` names a ticket within one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

impl std::fmt::Display for TicketId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// A `WorkSize` is what a request asks of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkSize {
    /// A plain call.
    Call,
    /// A generation.
    Generation {
        /// Tokens of the prompt.
        prompt: u64,
        /// Tokens that the answer is expected to have.
        answer: u64,
    },
}

impl WorkSize {
    /// Returns the tokens of the prompt.
    #[must_use]
    pub const fn prompt(self) -> u64 {
        match self {
            Self::Call => 0,
            Self::Generation { prompt, .. } => prompt,
        }
    }

    /// Returns the tokens that the answer is expected to have.
    #[must_use]
    pub const fn answer(self) -> u64 {
        match self {
            Self::Call => 0,
            Self::Generation { answer, .. } => answer,
        }
    }
}

/// A `WaitingTicket` is a request that waits for an endpoint.
#[derive(Debug, Clone)]
pub struct WaitingTicket {
    /// The service.
    pub service: SmolStr,
    /// The tier; lower goes first. The tier of the client account stands before that of the route.
    pub rank: (u32, u32),
    /// When the request arrived.
    pub arrival: Instant,
    /// When it began to wait; later than its arrival where it goes on elsewhere.
    pub queued: Instant,
    /// When the answer, or its first event, is due.
    pub due: Instant,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// What it asks.
    pub size: WorkSize,
    /// Whether it comes back after a refusal.
    pub returned: bool,
    /// Whether it has been started before and goes on elsewhere; it waits for nobody.
    pub resumed: bool,
    /// Endpoints that it must not go to again.
    pub excluded: Vec<SmolStr>,
}

/// A `RefusalReason` tells why a request was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No endpoint has room in time.
    NoRoom,
    /// No endpoint of the service is known to be usable.
    NoEndpoint,
}

impl RefusalReason {
    /// Returns the name in logs, counters and answers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "no-room",
            Self::NoEndpoint => "no-endpoint",
        }
    }
}

/// `RefusalInputs` are what a refusal was decided on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefusalInputs {
    /// The tier: the rank of the client account, or else of the route, and that of the route.
    pub rank: (u32, u32),
    /// Whether the caller had been refused before.
    pub returned: bool,
    /// Requests that would have started before.
    pub ahead: u32,
    /// Slots of the endpoints that may get work, over the whole fleet.
    pub slots: u32,
    /// Free ones among them.
    pub free: u32,
    /// Time between two slots that get free for this entry.
    pub slot_interval: Duration,
}

/// A `GateDecision` is what becomes of a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateDecision {
    /// The request goes to this endpoint; its slot is taken.
    Grant {
        /// The ticket.
        ticket: TicketId,
        /// The id of the endpoint.
        endpoint: SmolStr,
        /// Its address.
        address: std::net::SocketAddr,
        /// The time to the first event that is expected there.
        expected: Duration,
        /// What the request asks of it.
        size: WorkSize,
    },
    /// The request has not run and will not run.
    Refuse {
        /// The ticket.
        ticket: TicketId,
        /// Why.
        reason: RefusalReason,
        /// When to come back; `None` where that helps nobody.
        retry_after: Option<Duration>,
        /// What it was decided on.
        inputs: RefusalInputs,
    },
}
