//! What every task that runs a replicated log does: it carries out what the node asks for and
//! reports what storage did.

use bytes::Bytes;
use waxwing_core::ids;
use waxwing_quorum::{messages, node, ready, units};

use crate::{errors, writer};

/// A `LogHandler` is the task behind a replicated log; its state machine and its links are its
/// own.
pub trait LogHandler {
    /// Returns the node.
    fn node(&mut self) -> &mut node::QuorumNode;

    /// Returns the thread that writes.
    fn storage(&self) -> &writer::WriterHandle;

    /// Sends an encoded message to a member; it may be lost.
    fn send(&mut self, to: ids::MemberId, payload: Bytes);

    /// Replaces the state by a snapshot of the leader.
    fn install(&mut self, snapshot: &ready::Snapshot);

    /// Applies committed entries in order.
    fn apply(&mut self, entries: Vec<messages::LogEntry>);

    /// Answers reads that are confirmed, and those that can't be.
    fn answer_reads(&mut self, reads: Vec<ready::ConfirmedRead>, failed: Vec<units::ReadToken>);

    /// Takes a change of role, term or leader.
    fn take_role(&mut self, change: ready::RoleChange);

    /// Carries out what the node asks for, until it asks for nothing more.
    fn carry_out(&mut self) {
        loop {
            let ready = self.node().take_ready();
            if ready.is_empty() {
                return;
            }
            for outgoing in ready.messages {
                self.send(outgoing.to, messages::encode(&outgoing.message));
            }
            if let Some(batch) = ready.writes {
                // A closed queue means that a report of failure is on its way.
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
                self.take_role(role);
            }
        }
    }

    /// Takes the report of the writing thread.
    ///
    /// # Errors
    /// Fails if storage did; the node has halted then.
    fn take_report(&mut self, report: writer::WriteReport) -> Result<(), errors::StoreError> {
        match report {
            Ok(sequence) => {
                self.node().persisted(sequence);
                Ok(())
            }
            Err(error) => {
                self.node().storage_failed();
                self.carry_out();
                Err(error)
            }
        }
    }
}
