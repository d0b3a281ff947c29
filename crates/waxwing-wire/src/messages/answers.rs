//! Messages that carry the response of an endpoint from the agent to the entry.

use prost::Message;

use super::requests;

/// The status and headers of a response.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerHead {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The headers.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<requests::HeaderField>,
}

/// A part of the body of a response.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerChunk {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The offset of the first byte in the body.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: bytes::Bytes,
    /// The end of the response; present in the last chunk only.
    #[prost(message, optional, tag = "4")]
    pub end: Option<AnswerEnd>,
}

/// How a response ended.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AnswerEnd {
    /// Whether the response is complete, that is, the endpoint itself ended it.
    #[prost(bool, tag = "1")]
    pub whole: bool,
    /// The length of the body in bytes.
    #[prost(uint64, tag = "2")]
    pub total_bytes: u64,
    /// CRC32C of the body.
    #[prost(uint32, tag = "3")]
    pub checksum: u32,
    /// The name of the refusal reason, if the response is incomplete.
    #[prost(string, tag = "4")]
    pub reason: String,
    /// The name of the outcome, if the response is incomplete.
    #[prost(string, tag = "5")]
    pub outcome: String,
}

/// Acknowledges a part of a response, which the agent no longer needs to retain.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AnswerAck {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// All bytes before this offset have been passed to the caller.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// Asks the agent to send a response over this link, starting at an offset.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Resume {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The offset of the first byte to send; at zero the head is sent again too.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// Cancels a request whose caller has disconnected.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cancel {
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
}
