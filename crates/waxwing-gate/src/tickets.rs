//! Queued requests and the decisions on them.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::pauses;

/// Id of a ticket, unique within one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

impl std::fmt::Display for TicketId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Expected work of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkSize {
    /// A plain call, whose work is not estimated.
    Call,
    /// A text generation by a model.
    Generation {
        /// Prompt tokens.
        prompt: u64,
        /// Expected tokens of the answer.
        answer: u64,
    },
}

impl WorkSize {
    /// Returns the number of prompt tokens; zero for a plain call.
    #[must_use]
    pub const fn prompt(self) -> u64 {
        match self {
            Self::Call => 0,
            Self::Generation { prompt, .. } => prompt,
        }
    }

    /// Returns the expected number of answer tokens; zero for a plain call.
    #[must_use]
    pub const fn answer(self) -> u64 {
        match self {
            Self::Call => 0,
            Self::Generation { answer, .. } => answer,
        }
    }
}

/// A request that waits for an endpoint.
#[derive(Debug, Clone)]
pub struct WaitingTicket {
    /// Service that the request is for.
    pub service: SmolStr,
    /// Tiers of the client account and of the route, compared in this order; lower values go first.
    pub rank: (u32, u32),
    /// When the request arrived at this entry.
    pub arrival: Instant,
    /// When it joined the queue; later than its arrival if it was sent to an endpoint before.
    pub queued: Instant,
    /// When the answer, or its first event, is due by the latency objective.
    pub due: Instant,
    /// When the caller gives up or the route's timeout ends.
    pub deadline: Instant,
    /// Expected work at the endpoint.
    pub size: WorkSize,
    /// Pause that its caller allows within a stream; `None` if it names none.
    pub pause: Option<pauses::StreamPause>,
    /// Whether its caller was probably refused before.
    pub returned: bool,
    /// Whether it is a retry that may have run before, or resumes a stream; it is queued ahead of
    /// all new requests.
    pub resumed: bool,
    /// Endpoints that failed or refused it.
    pub excluded: Vec<SmolStr>,
    /// Whether it may go back to one of them after a pause if no other endpoint is usable. It must
    /// not while the endpoint may still be at work on it.
    pub may_go_back: bool,
    /// Whether it belongs to the part of the requests that a version under roll-out gets.
    pub prefers_target: bool,
}

/// Why a request was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// Too many requests are ahead for a slot to become free in time.
    NoRoom,
    /// No slot became free while it was of use to its caller to wait.
    WaitedOut,
    /// All usable endpoints have failed or refused it.
    NoOtherEndpoint,
    /// No endpoint of the service is known to be usable.
    NoEndpoint,
}

impl RefusalReason {
    /// Returns the name in logs, metrics and responses.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "no-room",
            Self::WaitedOut => "waited-out",
            Self::NoOtherEndpoint => "no-other-endpoint",
            Self::NoEndpoint => "no-endpoint",
        }
    }
}

/// The state that a refusal was based on, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefusalInputs {
    /// Tier of the client account, or of the route without an account, and tier of the route.
    pub rank: (u32, u32),
    /// Whether the caller was probably refused before.
    pub returned: bool,
    /// Requests that would have started earlier.
    pub ahead: u32,
    /// Slots of all usable endpoints of the service.
    pub slots: u32,
    /// Requests that these endpoints could still take.
    pub free: u32,
    /// Expected interval at which this entry gets a slot.
    pub slot_interval: Duration,
}

/// The state of the endpoint that a start was based on, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GrantInputs {
    /// Requests of all entries there, this one included.
    pub running: u32,
    /// Prompt tokens pending there, its own included.
    pub backlog: u64,
    /// Expected pace of its host and the age of the statement that this rests on; `None` if it
    /// states none.
    pub pace: Option<(f64, Duration)>,
    /// Whether it is in another data centre.
    pub is_remote: bool,
    /// How short of slots the data centre of the entry is, from 0 to 1.
    pub shortage: f64,
}

/// Outcome for a queued request.
#[derive(Debug, Clone, PartialEq)]
pub enum GateDecision {
    /// The request is sent to this endpoint; a slot is already taken for it.
    Grant {
        /// Id of the ticket.
        ticket: TicketId,
        /// Id of the endpoint.
        endpoint: SmolStr,
        /// Address of the endpoint.
        address: std::net::SocketAddr,
        /// Expected time to the first event there.
        expected: Duration,
        /// Expected work of the request.
        size: WorkSize,
        /// State that the start was based on.
        inputs: GrantInputs,
    },
    /// The request is refused; it has not run and will not run.
    Refuse {
        /// Id of the ticket.
        ticket: TicketId,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Delay after which the caller should retry; `None` if too little time is left.
        retry_after: Option<Duration>,
        /// State that the refusal was based on.
        inputs: RefusalInputs,
    },
}
