//! Messages between control hosts about the replicated log, and their responses when they can't
//! serve a request themselves.

use prost::Message;

/// Redirects the requester to the leader.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Redirect {
    /// The address at which the leader accepts links, as `ip:port`; empty if it is not known.
    #[prost(string, tag = "1")]
    pub address: String,
    /// The name of the leader; empty if it is not known.
    #[prost(string, tag = "2")]
    pub name: String,
}

/// No quorum responds at the moment. Whether the request took effect is unknown.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Unavailable {
    /// Milliseconds to wait before a retry.
    #[prost(uint64, tag = "1")]
    pub retry_after_millis: u64,
}

/// A message of the consensus protocol.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Quorum {
    /// The replicated group.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// The message, encoded by `waxwing-quorum`.
    #[prost(bytes = "bytes", tag = "2")]
    pub payload: bytes::Bytes,
}

/// Forwards a command from another control host to the leader.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Submit {
    /// The replicated group.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// The command, encoded by `waxwing-control`; empty to only confirm a read index.
    #[prost(bytes = "bytes", tag = "2")]
    pub command: bytes::Bytes,
}

/// The response to a [`Submit`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Submitted {
    /// The log index of the command or of the confirmed read.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The result, encoded by `waxwing-control`.
    #[prost(bytes = "bytes", tag = "2")]
    pub result: bytes::Bytes,
}

/// Asks whether the receiver already belongs to a group, before the sender bootstraps a new one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AskGroup {}

/// The response to an [`AskGroup`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct GroupInfo {
    /// Whether the log of the sender contains a membership, that is, the group exists.
    #[prost(bool, tag = "1")]
    pub founded: bool,
}
