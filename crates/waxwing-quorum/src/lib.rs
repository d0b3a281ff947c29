//! The replicated log of the control hosts as a state machine without I/O, clock or randomness of
//! its own; `docs/design.md` section 6 gives its place in the system.
//!
//! The caller feeds [`node::QuorumNode`] with time, messages, proposals and storage results, and
//! carries out what [`node::QuorumNode::take_ready`] returns: it syncs the write batch, reports it
//! as persisted, sends the messages and applies the committed entries. Messages that depend on a
//! write are held back by the node until that write is reported, so the caller may send every
//! message it is given at once.

mod changes;
mod election;
mod entries;
pub mod errors;
mod installing;
mod leading;
pub mod members;
pub mod messages;
pub mod node;
pub mod options;
pub mod ready;
mod replication;
pub mod units;
mod writes;
