//! Answers and what becomes of them.

use prost::Message;

use super::requests;

/// An `AnswerHead` opens an answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerHead {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The headers.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<requests::HeaderField>,
}

/// An `AnswerChunk` carries bytes of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerChunk {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The offset of the first byte.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: bytes::Bytes,
    /// The end of the answer; present in the last chunk only.
    #[prost(message, optional, tag = "4")]
    pub end: Option<AnswerEnd>,
}

/// An `AnswerEnd` tells how an answer ended.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AnswerEnd {
    /// Whether the endpoint ended the answer itself, so that it is whole.
    #[prost(bool, tag = "1")]
    pub whole: bool,
    /// The length of the whole answer in bytes.
    #[prost(uint64, tag = "2")]
    pub total_bytes: u64,
    /// CRC32C of the whole answer.
    #[prost(uint32, tag = "3")]
    pub checksum: u32,
    /// The refusal reason by its fixed name, where the answer is not whole.
    #[prost(string, tag = "4")]
    pub reason: String,
    /// The outcome by its fixed name, where the answer is not whole.
    #[prost(string, tag = "5")]
    pub outcome: String,
}

/// An `AnswerAck` frees the kept bytes of an answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AnswerAck {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// All bytes below this offset have been passed to the caller.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// A `Resume` asks for an answer from an offset on, over this link.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Resume {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The first byte that is needed; the head is sent again at zero.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// A `Cancel` ends a request whose caller is gone.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cancel {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
}
