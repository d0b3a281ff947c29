//! What control hosts say to each other and to whom they redirect.

use prost::Message;

/// A `Redirect` names the control host that leads, where it is known.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Redirect {
    /// The address as `ip:port`; empty if no leader is known.
    #[prost(string, tag = "1")]
    pub address: String,
}

/// An `Unavailable` says that no quorum answers at the moment; nothing is known to have happened.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Unavailable {
    /// Milliseconds after which asking again may help.
    #[prost(uint64, tag = "1")]
    pub retry_after_millis: u64,
}

/// A `Quorum` carries an encoded message of the replicated log.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Quorum {
    /// The replicated group.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// The message, encoded by the quorum crate.
    #[prost(bytes = "bytes", tag = "2")]
    pub payload: bytes::Bytes,
}

/// A `Submit` gives a command to the leader on behalf of another control host.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Submit {
    /// The replicated group.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// The command, encoded by the control crate; empty to confirm the read index only.
    #[prost(bytes = "bytes", tag = "2")]
    pub command: bytes::Bytes,
}

/// A `Submitted` answers a `Submit`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Submitted {
    /// The log index of the command or of the confirmed read.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The result, encoded by the control crate.
    #[prost(bytes = "bytes", tag = "2")]
    pub result: bytes::Bytes,
}

/// An `AskGroup` asks whether the receiver knows a group, before the sender founds one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AskGroup {}

/// A `GroupInfo` answers an `AskGroup`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct GroupInfo {
    /// Whether the sender's log names members.
    #[prost(bool, tag = "1")]
    pub founded: bool,
}
