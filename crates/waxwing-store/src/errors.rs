//! Errors of the store.

use std::io;

use waxwing_core::ids;

/// A `CorruptReason` tells what is wrong with bytes that were synced before.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CorruptReason {
    /// A frame is damaged and a later one, or a later segment, is not.
    #[error("a damaged frame lies before intact ones")]
    Middle,
    /// A checksum doesn't match.
    #[error("the checksum doesn't match")]
    Checksum,
    /// The file is shorter than its header says, or has no header.
    #[error("the file is too short or is of another kind")]
    Truncated,
    /// The content can't be decoded although its checksum matches.
    #[error("the content can't be decoded: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// An identity or a membership can't be decoded.
    #[error("the content can't be decoded: {0}")]
    Identity(#[from] waxwing_quorum::errors::DecodeError),
    /// A segment belongs elsewhere or has an unknown version.
    #[error("the segment has version {version} and number {number}")]
    Header {
        /// The version found.
        version: u32,
        /// The number found.
        number: u64,
    },
    /// A segment between two others is missing.
    #[error("segment {0} is missing")]
    MissingSegment(u64),
    /// Entries don't follow each other.
    #[error("expected log entry {expected}, found {found}")]
    Gap {
        /// The index that should have come next.
        expected: u64,
        /// The index that came.
        found: u64,
    },
}

/// A `StoreError` tells why the store can't be opened or used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The operating system refused an operation.
    #[error("{operation} of `{file}` failed: {source}")]
    Io {
        /// The operation.
        operation: &'static str,
        /// The file inside the data folder.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// Another process uses the data folder.
    #[error("the data folder is locked by another process")]
    Locked,
    /// Bytes that were synced before are damaged. Nothing is repaired: another member has the
    /// entries, and this host rejoins with an empty folder.
    #[error("`{file}` is corrupt at byte {offset}: {reason}")]
    Corrupt {
        /// The file inside the data folder.
        file: String,
        /// Where the damage was found.
        offset: u64,
        /// What is wrong.
        reason: CorruptReason,
    },
    /// The folder belongs to another member.
    #[error("the data folder belongs to member {found}, not to member {expected}")]
    OtherMember {
        /// The member of the settings.
        expected: ids::MemberId,
        /// The member of the folder.
        found: ids::MemberId,
    },
    /// There is a log or a snapshot and no identity, or the reverse.
    #[error("the data folder is incomplete: `{0}` is missing")]
    Incomplete(&'static str),
    /// The group is founded already.
    #[error("the data folder is not empty, so it can't found a group")]
    Founded,
    /// An earlier write or sync failed. What the disk holds is unknown, and a second sync of the
    /// same file may report success for data that was dropped.
    #[error("an earlier write or sync failed; the process must be restarted")]
    Failed,
}
