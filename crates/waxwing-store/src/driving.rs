//! The loop shared by all tasks that run a replicated log: it executes the actions that the node
//! requests and reports completed writes back to it.

use bytes::Bytes;
use waxwing_core::ids;
use waxwing_quorum::{messages, node, ready, units};

use crate::{errors, writer};

/// A task that runs a node of a replicated log. The implementer provides the state machine and the
/// transport.
pub trait LogHandler {
    /// Returns the consensus node.
    fn node(&mut self) -> &mut node::QuorumNode;

    /// Returns the handle of the thread that writes the log.
    fn storage(&self) -> &writer::WriterHandle;

    /// Sends an encoded message to a member, without a delivery guarantee.
    fn send(&mut self, to: ids::MemberId, payload: Bytes);

    /// Replaces the state machine's state with a snapshot received from the leader.
    fn install(&mut self, snapshot: &ready::Snapshot);

    /// Applies committed entries to the state machine, in log order.
    fn apply(&mut self, entries: Vec<messages::LogEntry>);

    /// Answers `reads`, which are confirmed as linearizable, and fails the reads in `failed`.
    fn answer_reads(&mut self, reads: Vec<ready::ConfirmedRead>, failed: Vec<units::ReadToken>);

    /// Handles a change of role, term or leader.
    fn handle_role_change(&mut self, change: ready::RoleChange);

    /// Executes the actions that the node requests until none is left.
    fn process_ready(&mut self) {
        loop {
            let ready = self.node().take_ready();
            if ready.is_empty() {
                return;
            }
            for outgoing in ready.messages {
                self.send(outgoing.to, messages::encode(&outgoing.message));
            }
            if let Some(batch) = ready.writes {
                // The queue is closed only after a write failed; its report is already queued.
                let _ = self.storage().batches.send(batch);
            }
            if let Some(snapshot) = ready.install {
                self.install(&snapshot);
            }
            if !ready.committed.is_empty() {
                self.apply(ready.committed);
            }
            self.answer_reads(ready.reads, ready.failed_reads);
            if let Some(role) = ready.role {
                self.handle_role_change(role);
            }
        }
    }

    /// Handles a report of the writer thread.
    ///
    /// # Errors
    /// Returns the error of a failed write, after halting the node.
    fn handle_write_report(
        &mut self,
        report: writer::WriteReport,
    ) -> Result<(), errors::StoreError> {
        match report {
            Ok(sequence) => {
                self.node().persisted(sequence);
                Ok(())
            }
            Err(error) => {
                self.node().storage_failed();
                self.process_ready();
                Err(error)
            }
        }
    }
}
