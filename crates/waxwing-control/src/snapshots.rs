//! The stored form of the whole state. A decoder takes bytes from disk or from another host and
//! never panics on them.

use prost::Message;
use waxwing_wire::messages;

use crate::commands;

/// A `SnapshotError` tells why bytes are not a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are not a valid message.
    #[error("the snapshot can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The snapshot has a form that this version doesn't know.
    #[error("snapshot format {found} is not supported; allowed: {allowed}")]
    Format {
        /// The format that was found.
        found: u32,
        /// The format of this version.
        allowed: u32,
    },
    /// A part is not valid.
    #[error("the snapshot holds a {0} that is not valid")]
    Malformed(&'static str),
}

/// The format of snapshots that this version writes.
pub const SNAPSHOT_FORMAT: u32 = 1;

/// A `StateSnapshot` is the whole state after some log index.
#[derive(Clone, PartialEq, Message)]
pub struct StateSnapshot {
    /// The format.
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// Log time in milliseconds.
    #[prost(uint64, tag = "2")]
    pub log_millis: u64,
    /// The settings.
    #[prost(message, optional, tag = "3")]
    pub settings: Option<SettingsSnapshot>,
    /// The claims.
    #[prost(message, repeated, tag = "4")]
    pub claims: Vec<StoredClaim>,
    /// The highest fencing number.
    #[prost(uint64, tag = "5")]
    pub fencing: u64,
    /// Which endpoint should have which model.
    #[prost(message, repeated, tag = "6")]
    pub placement: Vec<commands::PlaceModel>,
    /// Descriptions of the members.
    #[prost(message, repeated, tag = "7")]
    pub members: Vec<commands::MemberInfo>,
    /// The last applied index.
    #[prost(uint64, tag = "8")]
    pub applied: u64,
    /// Hosts that an operator removed.
    #[prost(string, repeated, tag = "9")]
    pub barred: Vec<String>,
}

/// A `SettingsSnapshot` is the settings part of a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct SettingsSnapshot {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The tree as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub tree: bytes::Bytes,
    /// The kept changes, oldest first.
    #[prost(message, repeated, tag = "3")]
    pub history: Vec<StoredChange>,
    /// The remembered answers, oldest first.
    #[prost(message, repeated, tag = "4")]
    pub answers: Vec<StoredAnswer>,
}

/// A `StoredChange` is an accepted change.
#[derive(Clone, PartialEq, Message)]
pub struct StoredChange {
    /// Who changed what.
    #[prost(message, optional, tag = "1")]
    pub summary: Option<commands::ChangeSummary>,
    /// The patch as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub patch: bytes::Bytes,
}

/// A `StoredAnswer` is the first answer of a change.
#[derive(Clone, PartialEq, Message)]
pub struct StoredAnswer {
    /// The change id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub id: Vec<u8>,
    /// The log time of the answer.
    #[prost(uint64, tag = "2")]
    pub log_millis: u64,
    /// Tells a resend from another change with the same id.
    #[prost(fixed64, tag = "3")]
    pub fingerprint: u64,
    /// The answer, encoded.
    #[prost(bytes = "vec", tag = "4")]
    pub result: Vec<u8>,
}

/// A `StoredClaim` is a claim with its times.
#[derive(Clone, PartialEq, Message)]
pub struct StoredClaim {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub name: Option<messages::ClaimName>,
    /// The claim.
    #[prost(message, optional, tag = "2")]
    pub record: Option<messages::ClaimRecord>,
    /// Log time at which the claim ends.
    #[prost(uint64, tag = "3")]
    pub expires_at: u64,
    /// Log time at which the stored answer ends.
    #[prost(uint64, tag = "4")]
    pub answer_expires_at: u64,
}
