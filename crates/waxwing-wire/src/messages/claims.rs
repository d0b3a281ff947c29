//! Claims on idempotency keys.

use prost::Message;

use super::requests;

/// A `ClaimName` names an idempotency key of an account and service.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct ClaimName {
    /// The client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The key, at most 255 bytes.
    #[prost(string, tag = "3")]
    pub key: String,
}

/// A `ClaimRecord` tells who may run the request of a key, and how it ended.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimRecord {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// SHA-256 of method, path and body.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The name of the agent that granted it.
    #[prost(string, tag = "3")]
    pub agent: String,
    /// The incarnation of that agent.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Grows with each replacement of the claim.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
    /// The result, once it is known.
    #[prost(message, optional, tag = "6")]
    pub result: Option<ClaimOutcome>,
    /// The address of that agent, as `ip:port`.
    #[prost(string, tag = "7")]
    pub address: String,
}

/// A `ClaimOutcome` is the stored result of a claimed request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimOutcome {
    /// Whether the answer is whole; otherwise the outcome is unknown.
    #[prost(bool, tag = "1")]
    pub whole: bool,
    /// The HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The headers.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<requests::HeaderField>,
    /// The body, where it is at most 64 KiB.
    #[prost(bytes = "bytes", optional, tag = "4")]
    pub body: Option<bytes::Bytes>,
}

/// A `ClaimKey` claims a key before the hand-over.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimKey {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub name: Option<ClaimName>,
    /// The wanted record.
    #[prost(message, optional, tag = "2")]
    pub record: Option<ClaimRecord>,
    /// The epoch of the claim that is replaced; zero if there must be none.
    #[prost(uint64, tag = "3")]
    pub replaces: u64,
    /// The replicated group.
    #[prost(uint32, tag = "4")]
    pub group: u32,
    /// Only look the claim up; write nothing.
    #[prost(bool, tag = "5")]
    pub lookup: bool,
}

/// A `ClaimResult` answers a `ClaimKey`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimResult {
    /// Whether the claim is now the asker's, durably.
    #[prost(bool, tag = "1")]
    pub granted: bool,
    /// The claim that stands, the asker's or another; absent if a lookup found none.
    #[prost(message, optional, tag = "2")]
    pub record: Option<ClaimRecord>,
}

/// A `CompleteClaim` stores the result of a claimed request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CompleteClaim {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub name: Option<ClaimName>,
    /// The request, 16 bytes; another request's claim stays untouched.
    #[prost(bytes = "vec", tag = "2")]
    pub request: Vec<u8>,
    /// The result.
    #[prost(message, optional, tag = "3")]
    pub result: Option<ClaimOutcome>,
    /// The replicated group.
    #[prost(uint32, tag = "4")]
    pub group: u32,
}

/// A `ClaimCompleted` says that the completion is durable or no longer wanted.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimCompleted {}
