//! Claims on idempotency keys, which ensure that only one request per key is executed.

use prost::Message;

use super::requests;

/// An idempotency key, scoped to an account and a service.
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

/// The request that holds a key, the agent that may execute it, and its result.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimRecord {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// SHA-256 of the method, path and body of the request.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The name of the agent that granted the request.
    #[prost(string, tag = "3")]
    pub agent: String,
    /// The incarnation of that agent.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Increases each time the claim is replaced.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
    /// The result; absent until it is known.
    #[prost(message, optional, tag = "6")]
    pub result: Option<ClaimOutcome>,
    /// The address of that agent, as `ip:port`.
    #[prost(string, tag = "7")]
    pub address: String,
}

/// The stored result of a claimed request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimOutcome {
    /// Whether the response is complete; otherwise the outcome is unknown.
    #[prost(bool, tag = "1")]
    pub whole: bool,
    /// The HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The headers.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<requests::HeaderField>,
    /// The body; absent if it is longer than 64 KiB.
    #[prost(bytes = "bytes", optional, tag = "4")]
    pub body: Option<bytes::Bytes>,
}

/// Claims a key before the request is handed over to an agent.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimKey {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub name: Option<ClaimName>,
    /// The record to store.
    #[prost(message, optional, tag = "2")]
    pub record: Option<ClaimRecord>,
    /// The epoch of the claim to replace; zero if the key must not be claimed yet.
    #[prost(uint64, tag = "3")]
    pub replaces: u64,
    /// The replicated group.
    #[prost(uint32, tag = "4")]
    pub group: u32,
    /// Whether only to look up the claim, without writing anything.
    #[prost(bool, tag = "5")]
    pub lookup: bool,
}

/// The response to a [`ClaimKey`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimResult {
    /// Whether the claim is now durably held by the request of the sender.
    #[prost(bool, tag = "1")]
    pub granted: bool,
    /// The claim in force, of this or of another request; absent if a lookup found none.
    #[prost(message, optional, tag = "2")]
    pub record: Option<ClaimRecord>,
}

/// Stores the result of a claimed request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CompleteClaim {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub name: Option<ClaimName>,
    /// The request id, 16 bytes; a claim of another request is left unchanged.
    #[prost(bytes = "vec", tag = "2")]
    pub request: Vec<u8>,
    /// The result.
    #[prost(message, optional, tag = "3")]
    pub result: Option<ClaimOutcome>,
    /// The replicated group.
    #[prost(uint32, tag = "4")]
    pub group: u32,
}

/// The response to a [`CompleteClaim`]: the result is durable or no longer needed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimCompleted {}
