//! Errors of the store.

use std::io;

use waxwing_core::ids;

/// Why bytes that had been synced are considered corrupt.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CorruptReason {
    /// A damaged frame precedes an intact one or a later segment, so it isn't an interrupted write.
    #[error("a damaged frame precedes intact ones")]
    DamagedFrame,
    /// The header or the content doesn't match its checksum.
    #[error("the checksum doesn't match")]
    Checksum,
    /// The length of the file differs from its header, or the file has no valid header.
    #[error("the file has the wrong length or no valid header")]
    Truncated,
    /// The checksum matches, but the content is not valid protobuf.
    #[error("the content can't be decoded: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The checksum matches, but an identity or a membership is not valid.
    #[error("the content can't be decoded: {0}")]
    Identity(#[from] waxwing_quorum::errors::DecodeError),
    /// A segment's start record has an unsupported version or another segment's number, or lies
    /// elsewhere than in the first frame.
    #[error("unexpected segment start with version {version} and number {number}")]
    Header {
        /// The format version found.
        version: u32,
        /// The segment number found.
        number: u64,
    },
    /// The segment numbers have a gap.
    #[error("segment {0} is missing")]
    MissingSegment(u64),
    /// The indexes of log entries are not consecutive.
    #[error("expected log entry {expected}, found {found}")]
    Gap {
        /// The index expected next.
        expected: u64,
        /// The index found.
        found: u64,
    },
}

/// Why a store can't be opened or used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file operation failed.
    #[error("{operation} of `{file}` failed: {source}")]
    Io {
        /// The operation, such as `write` or `sync`.
        operation: &'static str,
        /// The name of the file in the data folder.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another process uses the data folder.
    #[error("the data folder is locked by another process")]
    Locked,
    /// Bytes that had been synced are damaged. The store doesn't repair them: another member has
    /// the entries, and this host rejoins with an empty folder.
    #[error("`{file}` is corrupt at byte {offset}: {reason}")]
    Corrupt {
        /// The name of the file in the data folder.
        file: String,
        /// The byte offset at which the damage was found.
        offset: u64,
        /// Why the content is considered corrupt.
        reason: CorruptReason,
    },
    /// The identity file names another member.
    #[error("the data folder belongs to member {found}, not to member {expected}")]
    OtherMember {
        /// The configured member.
        expected: ids::MemberId,
        /// The member named in the identity file.
        found: ids::MemberId,
    },
    /// The folder holds a log or a snapshot without an identity, or an identity without a log.
    #[error("the data folder is incomplete: `{0}` is missing")]
    Incomplete(&'static str),
    /// A group can only be founded from an empty data folder.
    #[error("can't found a group: the data folder is not empty")]
    Founded,
    /// An earlier write or sync failed. What is durable is unknown, and a second sync of the same
    /// file may report success although the data was dropped.
    #[error("an earlier write or sync failed; the process must be restarted")]
    Failed,
}
