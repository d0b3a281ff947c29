//! What goes into and comes out of the [`AgentCore`](crate::state::AgentCore).

use std::{fmt, time::Duration};

use bytes::Bytes;
use waxwing_core::ids;
use waxwing_wire::messages;

/// A `LinkId` names one link of an entry inside one incarnation of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// A `RunId` names one call to the endpoint; a resumed generation is another run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

impl fmt::Display for RunId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// An `EndpointCall` is a request as it goes to the endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointCall {
    /// The id that the endpoint sees; all runs of a request share it.
    pub name: String,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers that are passed through.
    pub headers: Vec<messages::HeaderField>,
    /// The body.
    pub body: Bytes,
    /// KV cache of an earlier run that the engine imports before the call.
    pub import: Option<Bytes>,
}

/// An `EndpointEvent` is something that a run reports.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointEvent {
    /// Status and headers arrived.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers, without those of the connection.
        headers: Vec<messages::HeaderField>,
    },
    /// Bytes of the body arrived.
    Data(Bytes),
    /// The body ended as HTTP says it should.
    Ended,
    /// No connection could be made; the endpoint has received nothing.
    NotSent,
    /// The call failed after it may have been received.
    Failed,
}

/// A `CacheChange` is one cache event of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheChange {
    /// The number of the event; a missing number is a gap.
    pub number: u64,
    /// Whether the blocks were stored; otherwise they were evicted.
    pub stored: bool,
    /// The hashes of the blocks.
    pub hashes: Vec<u64>,
}

/// An `OrderOutcome` is what the engine made of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was carried out.
    Done,
    /// The engine knows a higher fencing number.
    Fenced,
    /// It failed, for this reason.
    Failed(String),
}

/// A `PolicyUpdate` is what an agent takes from the agreed settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyUpdate {
    /// Target for the first token.
    pub first_token_target: Duration,
    /// Target for the time between tokens.
    pub token_target: Duration,
    /// The length of a grant.
    pub grant: Duration,
    /// Whether the settings say that this endpoint is drained.
    pub draining: bool,
}

/// An `AgentInput` is anything that happens to an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentInput {
    /// An entry opened a link.
    LinkOpened {
        /// The link.
        link: LinkId,
    },
    /// A link ended.
    LinkClosed {
        /// The link.
        link: LinkId,
    },
    /// An entry sent a message.
    Message {
        /// The link.
        link: LinkId,
        /// Pairs an answer with its question.
        correlation: u64,
        /// The message.
        body: messages::Body,
    },
    /// A control host sent a message.
    Control {
        /// Pairs an answer with its question.
        correlation: u64,
        /// The message.
        body: messages::Body,
    },
    /// A run reported something.
    Endpoint {
        /// The run.
        run: RunId,
        /// What it reported.
        event: EndpointEvent,
    },
    /// The endpoint described itself.
    Info(messages::EndpointInfo),
    /// The endpoint does not answer.
    EndpointDown,
    /// The engine's own lagging report of the requests it holds.
    Load {
        /// Requests that run.
        running: u32,
        /// Requests that wait for admission by the engine.
        waiting: u32,
    },
    /// Cache events arrived.
    CacheChanges(Vec<CacheChange>),
    /// An order ended.
    OrderEnded {
        /// The order.
        order: u64,
        /// What came of it.
        outcome: OrderOutcome,
    },
    /// The endpoint was told to cancel a run, and has answered or not in time.
    Stopped {
        /// The run.
        run: RunId,
        /// The exported KV cache, where that was asked for and the engine can.
        kv: Option<Bytes>,
    },
    /// The agreed settings changed.
    Policy(PolicyUpdate),
    /// The process is asked to leave; it never takes work again.
    Leave,
    /// Time has passed.
    Tick,
}

/// An `AgentOutput` is something that the I/O driver does for the core.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentOutput {
    /// Send a message to an entry.
    Send {
        /// The link.
        link: LinkId,
        /// Pairs an answer with its question.
        correlation: u64,
        /// The message.
        body: messages::Body,
    },
    /// Send a message to a control host.
    Control {
        /// Pairs an answer with its question.
        correlation: u64,
        /// The message.
        body: messages::Body,
    },
    /// Start a call.
    Start {
        /// The run.
        run: RunId,
        /// The call.
        call: EndpointCall,
    },
    /// Cancel a call.
    Stop {
        /// The run.
        run: RunId,
        /// The id that the endpoint knows.
        name: String,
        /// Whether the KV cache of the run is wanted before it is cancelled.
        export: bool,
    },
    /// Read no further from a call until told to.
    Pause(RunId),
    /// Read on.
    Proceed(RunId),
    /// Give an order to the engine.
    Order(messages::Order),
}

/// Reads the request id of a message; a message without a valid one is ignored.
pub(crate) fn request_id(bytes: &[u8]) -> Option<ids::RequestId> {
    ids::RequestId::from_slice(bytes).ok()
}
