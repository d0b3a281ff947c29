//! Writes that are not yet synced, and the messages that wait for them.

use std::collections::VecDeque;

use crate::{messages, ready, units};

/// The most messages that wait for a slow disk. Older ones are dropped as if the network had lost
/// them, so that a disk that hangs doesn't fill the memory.
const MAX_HELD_MESSAGES: usize = 4096;

/// A `WriteQueue` orders writes and holds back the messages that depend on them. A message of a
/// follower or candidate states what its disk holds, so it leaves only after every earlier write.
#[derive(Debug)]
pub(crate) struct WriteQueue {
    steps: Vec<ready::WriteStep>,
    next: units::WriteSequence,
    persisted: units::WriteSequence,
    issued: VecDeque<(units::WriteSequence, units::LogIndex)>,
    durable: units::LogIndex,
    held: VecDeque<(units::WriteSequence, ready::OutgoingMessage)>,
    outbox: Vec<ready::OutgoingMessage>,
}

impl WriteQueue {
    /// Starts with a log that is synced up to `durable`.
    pub(crate) fn starting_at(durable: units::LogIndex) -> Self {
        Self {
            steps: Vec::new(),
            next: 1,
            persisted: 0,
            issued: VecDeque::new(),
            durable,
            held: VecDeque::new(),
            outbox: Vec::new(),
        }
    }

    /// Returns the last index of the log that is known to be synced.
    pub(crate) fn durable(&self) -> units::LogIndex {
        self.durable
    }

    /// Returns the number of the batch that completes all writes so far.
    pub(crate) fn required(&self) -> units::WriteSequence {
        if self.steps.is_empty() {
            self.next - 1
        } else {
            self.next
        }
    }

    /// Tells whether the batch with this number is synced.
    pub(crate) fn is_persisted(&self, sequence: units::WriteSequence) -> bool {
        sequence <= self.persisted
    }

    pub(crate) fn hard_state(&mut self, hard: messages::HardState) {
        if let Some(ready::WriteStep::HardState(last)) = self.steps.last_mut() {
            *last = hard;
        } else {
            self.steps.push(ready::WriteStep::HardState(hard));
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
        self.forget_above(from.saturating_sub(1));
        self.steps.push(ready::WriteStep::Truncate(from));
    }

    pub(crate) fn compact(&mut self, snapshot: ready::Snapshot) {
        self.steps.push(ready::WriteStep::Compact(snapshot));
    }

    pub(crate) fn install(&mut self, snapshot: ready::Snapshot) {
        self.forget_above(0);
        self.steps.push(ready::WriteStep::Install(snapshot));
    }

    /// Lowers what counts as synced: entries above `index` are about to be replaced, and a report
    /// about their former content says nothing about the new one.
    fn forget_above(&mut self, index: units::LogIndex) {
        self.durable = self.durable.min(index);
        for (_, last) in &mut self.issued {
            *last = (*last).min(index);
        }
    }

    /// Sends a message at once. A leader's own messages may use it, since its term is synced and
    /// it counts its own entries for a commit only when they are; so may answers that state only
    /// what is synced.
    pub(crate) fn send_now(&mut self, message: ready::OutgoingMessage) {
        self.outbox.push(message);
    }

    /// Sends a message once all writes so far are synced.
    pub(crate) fn send_after_writes(&mut self, message: ready::OutgoingMessage) {
        let required = self.required();
        if self.is_persisted(required) {
            self.outbox.push(message);
        } else {
            if self.held.len() >= MAX_HELD_MESSAGES {
                self.held.pop_front();
            }
            self.held.push_back((required, message));
        }
    }

    pub(crate) fn take_messages(&mut self) -> Vec<ready::OutgoingMessage> {
        std::mem::take(&mut self.outbox)
    }

    pub(crate) fn take_batch(&mut self, last: units::LogIndex) -> Option<ready::WriteBatch> {
        if self.steps.is_empty() {
            return None;
        }
        let sequence = self.next;
        self.next += 1;
        self.issued.push_back((sequence, last));
        Some(ready::WriteBatch {
            sequence,
            steps: std::mem::take(&mut self.steps),
        })
    }

    pub(crate) fn persisted(&mut self, sequence: units::WriteSequence) {
        self.persisted = self.persisted.max(sequence.min(self.next - 1));
        while let Some((issued, last)) = self.issued.front() {
            if *issued > self.persisted {
                break;
            }
            self.durable = self.durable.max(*last);
            self.issued.pop_front();
        }
        while let Some((required, message)) = self.held.pop_front() {
            if required > self.persisted {
                self.held.push_front((required, message));
                break;
            }
            self.outbox.push(message);
        }
    }

    /// Drops everything; the node is halted.
    pub(crate) fn clear(&mut self) {
        self.steps.clear();
        self.held.clear();
        self.outbox.clear();
    }
}
