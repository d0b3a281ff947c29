//! The replicated log of the control hosts: the Raft consensus algorithm as a state machine without
//! I/O or a clock, whose randomness comes from a seed. `docs/design.md` section 6 gives its place
//! in the system.
//!
//! The caller passes the time, messages, proposals and storage results to [`node::QuorumNode`] and
//! processes what [`node::QuorumNode::take_ready`] returns: it syncs the write batch, reports it as
//! persisted, sends the messages and applies the committed entries. The node holds back messages
//! that depend on a write until that write is reported, so the caller may send every message that
//! it receives from `take_ready` immediately.

mod election;
mod entry_log;
pub mod errors;
mod leader_state;
pub mod members;
mod membership_changes;
pub mod messages;
pub mod node;
pub mod options;
pub mod ready;
mod replication;
mod snapshot_transfer;
pub mod units;
mod write_queue;
