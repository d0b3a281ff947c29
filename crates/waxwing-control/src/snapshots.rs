//! The snapshot encoding of the replicated state. Snapshots come from disk or another host, so
//! decoding never panics.

use prost::Message;
use waxwing_wire::messages;

use crate::commands;

/// Why a snapshot can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are not a valid message.
    #[error("the snapshot can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The snapshot has a format that this version doesn't support.
    #[error("snapshot format {found} is not supported; allowed: {allowed}")]
    Format {
        /// The format of the snapshot.
        found: u32,
        /// The format that this version reads.
        allowed: u32,
    },
    /// A part of the snapshot is missing or invalid.
    #[error("the snapshot has a missing or invalid {0}")]
    Malformed(&'static str),
}

/// The snapshot format that this version reads and writes.
pub const SNAPSHOT_FORMAT: u32 = 1;

/// The replicated state after the entry at index `applied`.
#[derive(Clone, PartialEq, Message)]
pub struct StateSnapshot {
    /// The format, [`SNAPSHOT_FORMAT`].
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
    /// The models assigned to endpoints.
    #[prost(message, repeated, tag = "6")]
    pub placement: Vec<commands::PlaceModel>,
    /// The records of the members.
    #[prost(message, repeated, tag = "7")]
    pub members: Vec<commands::MemberInfo>,
    /// The index of the last applied entry.
    #[prost(uint64, tag = "8")]
    pub applied: u64,
    /// Names of hosts that an operator removed.
    #[prost(string, repeated, tag = "9")]
    pub removed_hosts: Vec<String>,
}

/// The settings part of a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct SettingsSnapshot {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The tree as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub tree: bytes::Bytes,
    /// The history of accepted changes, oldest first.
    #[prost(message, repeated, tag = "3")]
    pub history: Vec<StoredChange>,
    /// The retained results of changes, oldest first.
    #[prost(message, repeated, tag = "4")]
    pub results: Vec<StoredResult>,
}

/// An accepted change in the history.
#[derive(Clone, PartialEq, Message)]
pub struct StoredChange {
    /// Who made the change, when, and on which version.
    #[prost(message, optional, tag = "1")]
    pub summary: Option<commands::ChangeSummary>,
    /// The patch as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub patch: bytes::Bytes,
}

/// The retained result of a change.
#[derive(Clone, PartialEq, Message)]
pub struct StoredResult {
    /// The change id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub id: Vec<u8>,
    /// The log time of the result in milliseconds.
    #[prost(uint64, tag = "2")]
    pub log_millis: u64,
    /// A hash of base and patch that distinguishes a retry from another change with the same id.
    #[prost(fixed64, tag = "3")]
    pub fingerprint: u64,
    /// The encoded [`commands::CommandResult`].
    #[prost(bytes = "vec", tag = "4")]
    pub result: Vec<u8>,
}

/// A claim with its expiry times.
#[derive(Clone, PartialEq, Message)]
pub struct StoredClaim {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub name: Option<messages::ClaimName>,
    /// The claim.
    #[prost(message, optional, tag = "2")]
    pub record: Option<messages::ClaimRecord>,
    /// Log time in milliseconds at which the claim expires.
    #[prost(uint64, tag = "3")]
    pub expires_at: u64,
    /// Log time in milliseconds at which the stored response expires.
    #[prost(uint64, tag = "4")]
    pub response_expires_at: u64,
}
