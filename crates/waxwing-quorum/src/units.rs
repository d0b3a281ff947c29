//! Indexes, terms and identifiers of the replicated log.

use crate::errors;

/// The position of an entry in the log; the first entry has index 1.
pub type LogIndex = u64;

/// A Raft term: the number of an election. It never decreases.
pub type Term = u64;

/// The sequence number of a [`crate::ready::WriteBatch`]. It increases by one per batch and starts
/// again at 1 when a node is built.
pub type WriteSequence = u64;

/// Identifies a linearizable read; the caller chooses it and receives it back with the result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadToken(pub u64);

/// The log position assigned to a proposal. The proposal is committed when the entry at this index
/// is committed with this term. If an entry with another term is committed at this index, the
/// proposal was overwritten and will never be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    /// The term of the leader that appended the proposal.
    pub term: Term,
    /// The index of the entry.
    pub index: LogIndex,
}

/// Checks a term or index of a message. No log reaches this limit, and adding one to a value up to
/// it never overflows.
pub(crate) const fn check_range(value: u64) -> Result<(), errors::DecodeError> {
    if value > u64::MAX / 2 {
        return Err(errors::DecodeError::OutOfRange(value));
    }
    Ok(())
}
