//! From the offer of a request to the settlement of its hand-over.

use prost::{Enumeration, Message};

use super::claims;

/// An `Offer` describes a waiting request in under 512 bytes.
#[derive(Clone, PartialEq, Message)]
pub struct Offer {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The rank of its tier, 0 is served first.
    #[prost(uint32, tag = "2")]
    pub rank: u32,
    /// The client account.
    #[prost(string, tag = "3")]
    pub account: String,
    /// The weight of the account in thousandths.
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
    /// Milliseconds until the deadline, by the entry's clock at sending.
    #[prost(uint64, tag = "10")]
    pub deadline_millis: u64,
    /// Whether the request may run twice.
    #[prost(bool, tag = "11")]
    pub idempotent: bool,
    /// Milliseconds for which the request has waited at the entry.
    #[prost(uint64, tag = "12")]
    pub waited_millis: u64,
    /// Early binding: grant at once, without admission limit (baseline policies).
    #[prost(bool, tag = "13")]
    pub immediate: bool,
    /// The length of the body in bytes.
    #[prost(uint64, tag = "14")]
    pub body_bytes: u64,
}

/// A `Withdraw` ends an offer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Withdraw {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
}

/// An `OfferRefused` ends an offer from the agent's side; nothing ran.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OfferRefused {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The refusal reason by its fixed name.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Milliseconds after which a new offer may help.
    #[prost(uint64, tag = "3")]
    pub retry_after_millis: u64,
}

/// A `Grant` holds a slot for a request; it is the fence of the hand-over.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Grant {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The grant's number inside the agent's incarnation.
    #[prost(uint64, tag = "2")]
    pub grant: u64,
    /// The incarnation of the agent.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Milliseconds until the grant ends, by the agent's clock.
    #[prost(uint64, tag = "4")]
    pub lease_millis: u64,
    /// Prompt tokens that the agent expects to find cached.
    #[prost(uint64, tag = "5")]
    pub cached_tokens: u64,
}

/// A `Decline` gives a grant back unused.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Decline {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The grant.
    #[prost(uint64, tag = "2")]
    pub grant: u64,
}

/// A `HeaderField` is one header of a request or an answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeaderField {
    /// The name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// A `Handover` gives a request to the agent that granted it.
#[derive(Clone, PartialEq, Message)]
pub struct Handover {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The grant.
    #[prost(uint64, tag = "2")]
    pub grant: u64,
    /// The HTTP method.
    #[prost(string, tag = "3")]
    pub method: String,
    /// The path and query, as the endpoint sees them.
    #[prost(string, tag = "4")]
    pub path: String,
    /// The headers that are passed through.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<HeaderField>,
    /// The body.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: bytes::Bytes,
    /// Milliseconds until the deadline.
    #[prost(uint64, tag = "7")]
    pub deadline_millis: u64,
    /// The claim that the agent completes; empty where there is none.
    #[prost(message, optional, tag = "8")]
    pub claim: Option<claims::ClaimName>,
}

/// A `HandoverAck` tells whether the agent took the request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HandoverAck {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Whether the request was taken; if not, nothing ran and nothing will.
    #[prost(bool, tag = "2")]
    pub taken: bool,
    /// The refusal reason by its fixed name, where it was not taken.
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// A `Settle` asks what became of a hand-over, and fences it if it never arrived.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Settle {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The grant; zero when it is not known to the asker.
    #[prost(uint64, tag = "2")]
    pub grant: u64,
    /// The incarnation that granted it.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

/// A `SettledState` tells what became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum SettledState {
    /// Not given; never valid.
    Unspecified = 0,
    /// The request never arrived and can't arrive any more.
    NeverReceived = 1,
    /// The request runs.
    Running = 2,
    /// The request ended and its answer is kept.
    Finished = 3,
    /// The request was taken and its answer is not kept.
    Forgotten = 4,
    /// The agent is another incarnation and can't know.
    OtherIncarnation = 5,
}

/// A `Settled` answers a `Settle`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Settled {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// What became of it.
    #[prost(enumeration = "SettledState", tag = "2")]
    pub state: i32,
}
