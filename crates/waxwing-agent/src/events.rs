//! Inputs and outputs of the [`AgentCore`](crate::state::AgentCore).

use std::{fmt, time::Duration};

use bytes::Bytes;
use waxwing_core::ids;
use waxwing_wire::messages;

/// Identifies a link of an entry within one incarnation of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Identifies one call to the endpoint; resuming a generation starts another run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

impl fmt::Display for RunId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A request as it is sent to the endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointCall {
    /// The `x-request-id` sent to the endpoint; all runs of a request share it.
    pub request_id: String,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers of the caller; hop-by-hop headers are dropped when the call is sent.
    pub headers: Vec<messages::HeaderField>,
    /// The body.
    pub body: Bytes,
    /// KV cache of an earlier run, to be imported into the engine before the call.
    pub import: Option<Bytes>,
}

/// An event of a run.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointEvent {
    /// Status and headers arrived.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers, without hop-by-hop headers.
        headers: Vec<messages::HeaderField>,
    },
    /// Bytes of the body arrived.
    Data(Bytes),
    /// The body ended at its HTTP framing: its length or its last chunk.
    Ended,
    /// No connection could be made, or no valid request built; the endpoint received nothing.
    NotSent,
    /// The call failed, and the endpoint may have received it.
    Failed,
}

/// A prefix-cache event of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheChange {
    /// The sequence number of the event; a skipped number means that events were lost.
    pub number: u64,
    /// Whether the blocks were stored; otherwise they were evicted.
    pub stored: bool,
    /// The hashes of the blocks.
    pub hashes: Vec<u64>,
}

/// The outcome of an engine order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine executed it.
    Done,
    /// The engine rejected it, since it knows a higher fencing number.
    Fenced,
    /// It failed, for this reason.
    Failed(String),
}

/// The part of the replicated settings that an agent uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyUpdate {
    /// Latency target for the first token.
    pub first_token_target: Duration,
    /// Latency target for the time between tokens.
    pub token_target: Duration,
    /// The lifetime of an unused grant.
    pub grant: Duration,
    /// Whether the settings list this agent as draining.
    pub draining: bool,
}

/// An input of the agent's state machine.
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
        /// Correlates a response with its request.
        correlation: u64,
        /// The message.
        body: messages::Body,
    },
    /// A control host sent a message.
    Control {
        /// Correlates a response with its request.
        correlation: u64,
        /// The message.
        body: messages::Body,
    },
    /// A run produced an event.
    Endpoint {
        /// The run.
        run: RunId,
        /// The event.
        event: EndpointEvent,
    },
    /// The endpoint's description was polled.
    Info(messages::EndpointInfo),
    /// The endpoint did not return its description.
    EndpointDown,
    /// The engine's own load report, which lags behind.
    Load {
        /// Running requests.
        running: u32,
        /// Requests queued inside the engine.
        waiting: u32,
    },
    /// Cache events arrived.
    CacheChanges(Vec<CacheChange>),
    /// The engine has executed or rejected an order, or it failed.
    OrderEnded {
        /// The order's number.
        order: u64,
        /// Its outcome.
        outcome: OrderOutcome,
    },
    /// The endpoint has confirmed the cancellation of a run, or the attempts to cancel it are over.
    Stopped {
        /// The run.
        run: RunId,
        /// The exported KV cache, if it was requested and the engine supports it.
        kv: Option<Bytes>,
    },
    /// The replicated settings changed.
    Policy(PolicyUpdate),
    /// The process is shutting down; this incarnation accepts no more work.
    Shutdown,
    /// A clock tick, for timeouts and periodic checks.
    Tick,
}

/// An action that the I/O driver performs for the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentOutput {
    /// Send a message to an entry.
    Send {
        /// The link.
        link: LinkId,
        /// Correlates a response with its request.
        correlation: u64,
        /// The message.
        body: messages::Body,
    },
    /// Send a message to a control host.
    Control {
        /// Correlates a response with its request.
        correlation: u64,
        /// The message.
        body: messages::Body,
    },
    /// Start a call to the endpoint.
    Start {
        /// The run.
        run: RunId,
        /// The call.
        call: EndpointCall,
    },
    /// Cancel a call at the endpoint.
    Stop {
        /// The run.
        run: RunId,
        /// The `x-request-id` of the call.
        request_id: String,
        /// Whether to export the KV cache of the run before it is cancelled.
        export: bool,
    },
    /// Pause reading the response of a run, for backpressure.
    PauseReading(RunId),
    /// Continue reading the response of a paused run.
    ResumeReading(RunId),
    /// Send an order to the engine.
    Order(messages::Order),
}

/// Parses the request id of a message; callers ignore a message without a valid one.
pub(crate) fn request_id(bytes: &[u8]) -> Option<ids::RequestId> {
    ids::RequestId::from_slice(bytes).ok()
}
