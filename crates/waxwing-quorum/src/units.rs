//! Numbers that the replicated log counts by.

use crate::errors;

/// The position of an entry in the log; the first entry has index 1.
pub type LogIndex = u64;

/// The number of an election; it only grows.
pub type Term = u64;

/// The number of a [`crate::ready::WriteBatch`] since the node was built; it only grows.
pub type WriteSequence = u64;

/// A `ReadToken` is a number by which the caller recognises a read that it asked to confirm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadToken(pub u64);

/// A `ProposalId` is the place in the log that a proposal was given. The proposal is committed
/// when the entry at this index is committed with this term; another term at this index means that
/// the proposal was replaced and never ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    /// The term of the leader that took the proposal.
    pub term: Term,
    /// The index of the entry.
    pub index: LogIndex,
}

/// Checks a term or index of a message. No log reaches this bound, and below it adding one never
/// overflows.
pub(crate) const fn check_range(value: u64) -> Result<(), errors::DecodeError> {
    if value > u64::MAX / 2 {
        return Err(errors::DecodeError::OutOfRange(value));
    }
    Ok(())
}
