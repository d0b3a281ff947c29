//! Messages that bind a request to an agent: offers, grants and handovers, and the settlement of a
//! handover whose acknowledgement was lost.

use prost::{Enumeration, Message};

use super::claims;

/// Describes a waiting request to an agent that may serve it; at most 512 bytes.
#[derive(Clone, PartialEq, Message)]
pub struct Offer {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The rank of its tier; rank 0 is served first.
    #[prost(uint32, tag = "2")]
    pub rank: u32,
    /// The client account.
    #[prost(string, tag = "3")]
    pub account: String,
    /// The fair-share weight of the account in thousandths.
    #[prost(uint32, tag = "4")]
    pub weight_millis: u32,
    /// The model; empty for a plain service.
    #[prost(string, tag = "5")]
    pub model: String,
    /// The service.
    #[prost(string, tag = "6")]
    pub service: String,
    /// Estimated prompt tokens.
    #[prost(uint64, tag = "7")]
    pub prompt_tokens: u64,
    /// Expected output tokens.
    #[prost(uint64, tag = "8")]
    pub output_tokens: u64,
    /// Hashes of the prompt's prefixes, longest last, at most [`MAX_PREFIX_HASHES`](super::MAX_PREFIX_HASHES).
    #[prost(fixed64, repeated, tag = "9")]
    pub prefix_hashes: Vec<u64>,
    /// Milliseconds until the deadline, measured by the entry when it sent the offer.
    #[prost(uint64, tag = "10")]
    pub deadline_millis: u64,
    /// Whether the request is idempotent, so that it may run twice.
    #[prost(bool, tag = "11")]
    pub idempotent: bool,
    /// Milliseconds that the request has waited at the entry.
    #[prost(uint64, tag = "12")]
    pub waited_millis: u64,
    /// Early binding: the agent grants at once, without admission limit. Used by baseline policies.
    #[prost(bool, tag = "13")]
    pub immediate: bool,
    /// The length of the body in bytes.
    #[prost(uint64, tag = "14")]
    pub body_bytes: u64,
}

/// Withdraws an offer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Withdraw {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
}

/// The agent refuses an offer, of which nothing has run.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OfferRefused {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The name of the refusal reason.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Milliseconds to wait before a new offer.
    #[prost(uint64, tag = "3")]
    pub retry_after_millis: u64,
}

/// Reserves a slot for a request. The handover must carry the number of a grant that is still
/// valid; this fencing keeps a request from running twice.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Grant {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The number of the grant, unique within the incarnation of the agent.
    #[prost(uint64, tag = "2")]
    pub grant: u64,
    /// The incarnation of the agent.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Milliseconds until the grant expires, measured by the agent when it sent the grant.
    #[prost(uint64, tag = "4")]
    pub lease_millis: u64,
    /// Prompt tokens that the agent expects to be cached.
    #[prost(uint64, tag = "5")]
    pub cached_tokens: u64,
}

/// Returns a grant unused.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Decline {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The number of the grant.
    #[prost(uint64, tag = "2")]
    pub grant: u64,
}

/// A header of a request or response.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeaderField {
    /// The name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// Hands a request over to the agent that granted it.
#[derive(Clone, PartialEq, Message)]
pub struct Handover {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The number of the grant.
    #[prost(uint64, tag = "2")]
    pub grant: u64,
    /// The HTTP method.
    #[prost(string, tag = "3")]
    pub method: String,
    /// The path and query as sent to the endpoint.
    #[prost(string, tag = "4")]
    pub path: String,
    /// The headers that are passed to the endpoint.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<HeaderField>,
    /// The body.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: bytes::Bytes,
    /// Milliseconds until the deadline.
    #[prost(uint64, tag = "7")]
    pub deadline_millis: u64,
    /// The claim that the agent completes after the request; absent if there is none.
    #[prost(message, optional, tag = "8")]
    pub claim: Option<claims::ClaimName>,
}

/// The response to a [`Handover`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HandoverAck {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Whether the request was accepted; if not, nothing has run and nothing will.
    #[prost(bool, tag = "2")]
    pub taken: bool,
    /// The name of the refusal reason, if the request was not accepted.
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// Asks for the state of a handover whose acknowledgement was lost. If the handover has not
/// arrived, the agent rejects it from then on.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Settle {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The number of the grant; zero if the sender doesn't know it.
    #[prost(uint64, tag = "2")]
    pub grant: u64,
    /// The incarnation of the agent that granted it.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

/// The state of a handed-over request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum SettledState {
    /// Not given; never valid.
    Unspecified = 0,
    /// The request has not arrived and will be rejected if it still does.
    NeverReceived = 1,
    /// The request was accepted and has not ended.
    Running = 2,
    /// The request has ended and its response is retained.
    Finished = 3,
    /// The request may have been accepted, but its response is not retained.
    Forgotten = 4,
    /// The agent has restarted since the grant and can't tell.
    OtherIncarnation = 5,
}

/// The response to a [`Settle`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Settled {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The state of the request.
    #[prost(enumeration = "SettledState", tag = "2")]
    pub state: i32,
}
