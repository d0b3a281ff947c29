//! Writes that are not synced yet, and the messages that depend on them.

use std::collections::VecDeque;

use crate::{messages, ready, units};

/// The maximum number of messages that wait for writes to be synced. Beyond it the oldest messages
/// are dropped, as if the network had lost them, so that a stalled disk doesn't exhaust memory.
const MAX_HELD_MESSAGES: usize = 4096;

/// Batches writes and holds back the messages that depend on them. The messages of a follower or
/// candidate assert durable state, so they are sent only after every earlier write is synced.
#[derive(Debug)]
pub(crate) struct WriteQueue {
    steps: Vec<ready::WriteStep>,
    next_sequence: units::WriteSequence,
    persisted_sequence: units::WriteSequence,
    issued_batches: VecDeque<(units::WriteSequence, units::LogIndex)>,
    durable_index: units::LogIndex,
    held_messages: VecDeque<(units::WriteSequence, ready::OutgoingMessage)>,
    outbox: Vec<ready::OutgoingMessage>,
}

impl WriteQueue {
    /// Creates a queue for a log that is synced up to `durable_index`.
    pub(crate) fn starting_at(durable_index: units::LogIndex) -> Self {
        Self {
            steps: Vec::new(),
            next_sequence: 1,
            persisted_sequence: 0,
            issued_batches: VecDeque::new(),
            durable_index,
            held_messages: VecDeque::new(),
            outbox: Vec::new(),
        }
    }

    /// Returns the last log index that is known to be synced.
    pub(crate) fn durable_index(&self) -> units::LogIndex {
        self.durable_index
    }

    /// Returns the sequence number of the batch after which all writes so far are synced.
    pub(crate) fn required_sequence(&self) -> units::WriteSequence {
        if self.steps.is_empty() {
            self.next_sequence - 1
        } else {
            self.next_sequence
        }
    }

    /// Returns whether the batch with this sequence number is synced.
    pub(crate) fn is_persisted(&self, sequence: units::WriteSequence) -> bool {
        sequence <= self.persisted_sequence
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: messages::HardState) {
        if let Some(ready::WriteStep::HardState(last)) = self.steps.last_mut() {
            *last = hard_state;
        } else {
            self.steps.push(ready::WriteStep::HardState(hard_state));
        }
    }

    pub(crate) fn append(&mut self, entry: messages::LogEntry) {
        if let Some(ready::WriteStep::Append(entries)) = self.steps.last_mut() {
            entries.push(entry);
        } else {
            self.steps.push(ready::WriteStep::Append(vec![entry]));
        }
    }

    pub(crate) fn truncate(&mut self, from: units::LogIndex) {
        self.lower_durable_index(from.saturating_sub(1));
        self.steps.push(ready::WriteStep::Truncate(from));
    }

    pub(crate) fn compact(&mut self, snapshot: ready::Snapshot) {
        self.steps.push(ready::WriteStep::Compact(snapshot));
    }

    pub(crate) fn install(&mut self, snapshot: ready::Snapshot) {
        self.lower_durable_index(0);
        self.steps.push(ready::WriteStep::Install(snapshot));
    }

    /// Limits the durable index, also of batches in progress, to `index`. The entries after it are
    /// about to be replaced, and the sync of the old entries doesn't cover the new ones.
    fn lower_durable_index(&mut self, index: units::LogIndex) {
        self.durable_index = self.durable_index.min(index);
        for (_, last) in &mut self.issued_batches {
            *last = (*last).min(index);
        }
    }

    /// Sends a message immediately. This is safe for the messages of a leader, since its term is
    /// synced and it counts its own entries towards a commit only once they are synced. It is also
    /// safe for responses that assert only synced state.
    pub(crate) fn send_now(&mut self, message: ready::OutgoingMessage) {
        self.outbox.push(message);
    }

    /// Sends a message after all writes so far are synced.
    pub(crate) fn send_after_writes(&mut self, message: ready::OutgoingMessage) {
        let required = self.required_sequence();
        if self.is_persisted(required) {
            self.outbox.push(message);
        } else {
            if self.held_messages.len() >= MAX_HELD_MESSAGES {
                self.held_messages.pop_front();
            }
            self.held_messages.push_back((required, message));
        }
    }

    pub(crate) fn take_messages(&mut self) -> Vec<ready::OutgoingMessage> {
        std::mem::take(&mut self.outbox)
    }

    pub(crate) fn take_batch(&mut self, last: units::LogIndex) -> Option<ready::WriteBatch> {
        if self.steps.is_empty() {
            return None;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.issued_batches.push_back((sequence, last));
        Some(ready::WriteBatch {
            sequence,
            steps: std::mem::take(&mut self.steps),
        })
    }

    pub(crate) fn persisted(&mut self, sequence: units::WriteSequence) {
        self.persisted_sequence = self
            .persisted_sequence
            .max(sequence.min(self.next_sequence - 1));
        while let Some((issued, last)) = self.issued_batches.front() {
            if *issued > self.persisted_sequence {
                break;
            }
            self.durable_index = self.durable_index.max(*last);
            self.issued_batches.pop_front();
        }
        while let Some((required, message)) = self.held_messages.pop_front() {
            if required > self.persisted_sequence {
                self.held_messages.push_front((required, message));
                break;
            }
            self.outbox.push(message);
        }
    }

    /// Discards pending writes and messages when the node halts.
    pub(crate) fn clear(&mut self) {
        self.steps.clear();
        self.held_messages.clear();
        self.outbox.clear();
    }
}
