//! The part of the log that is held in memory.

use std::collections::VecDeque;

use crate::{messages, units};

/// An `EntryLog` is the log behind a base entry, whose index and term are known but whose payload
/// was compacted away.
#[derive(Debug, Default)]
pub(crate) struct EntryLog {
    base_index: units::LogIndex,
    base_term: units::Term,
    entries: VecDeque<messages::LogEntry>,
    /// The index of the latest snapshot, and the bytes of the entries behind it.
    snapshot_index: units::LogIndex,
    bytes_after_snapshot: u64,
}

impl EntryLog {
    pub(crate) fn with_base(base_index: units::LogIndex, base_term: units::Term) -> Self {
        Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
            snapshot_index: base_index,
            bytes_after_snapshot: 0,
        }
    }

    pub(crate) fn last_index(&self) -> units::LogIndex {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> units::Term {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`, if the log still knows it.
    pub(crate) fn term_at(&self, index: units::LogIndex) -> Option<units::Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: units::LogIndex) -> Option<&messages::LogEntry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Returns the entries of `from..=to` that the log holds.
    pub(crate) fn range(
        &self,
        from: units::LogIndex,
        to: units::LogIndex,
    ) -> impl Iterator<Item = &messages::LogEntry> {
        let skipped = from.saturating_sub(self.base_index + 1);
        let count = (to + 1).saturating_sub(from.max(self.base_index + 1));
        self.entries
            .iter()
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
            .take(usize::try_from(count).unwrap_or(usize::MAX))
    }

    /// Returns entries from `from` on, at most `max_bytes` of payload but at least one entry.
    pub(crate) fn batch(&self, from: units::LogIndex, max_bytes: u64) -> Vec<messages::LogEntry> {
        let mut bytes = 0;
        let fits = |entry: &&messages::LogEntry| {
            let first = bytes == 0;
            bytes += entry_bytes(entry);
            first || bytes <= max_bytes
        };
        self.range(from, self.last_index())
            .take_while(fits)
            .cloned()
            .collect()
    }

    pub(crate) fn push(&mut self, entry: messages::LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.bytes_after_snapshot += entry_bytes(&entry);
        self.entries.push_back(entry);
    }

    /// Removes the entries at `from` and above.
    pub(crate) fn truncate(&mut self, from: units::LogIndex) {
        let kept = from.saturating_sub(self.base_index + 1);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        self.bytes_after_snapshot = self.bytes_after(self.snapshot_index);
    }

    /// Takes the news of a snapshot up to `index`.
    pub(crate) fn set_snapshot_index(&mut self, index: units::LogIndex) {
        self.snapshot_index = index;
        self.bytes_after_snapshot = self.bytes_after(index);
    }

    /// Returns the bytes of the entries behind the latest snapshot.
    pub(crate) fn bytes_after_snapshot(&self) -> u64 {
        self.bytes_after_snapshot
    }

    /// Returns the lowest index from which on the entries up to `to` have at most `max_count`
    /// entries and `max_bytes` bytes; what lies before it may be compacted.
    pub(crate) fn compaction_base(
        &self,
        to: units::LogIndex,
        max_count: u64,
        max_bytes: u64,
    ) -> units::LogIndex {
        let (mut from, mut bytes) = (to, 0);
        while from > self.base_index && to - from < max_count {
            bytes += self.get(from).map_or(0, entry_bytes);
            if bytes > max_bytes {
                break;
            }
            from -= 1;
        }
        from
    }

    /// Forgets the payloads up to `index`, which becomes the base.
    pub(crate) fn compact(&mut self, index: units::LogIndex) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Returns the last index up to `index` whose term is at most `term`. A leader and a follower
    /// use it to skip all entries of a term that can't match in one step.
    pub(crate) fn find_conflict_by_term(
        &self,
        index: units::LogIndex,
        term: units::Term,
    ) -> units::LogIndex {
        let mut index = index.min(self.last_index());
        while index >= self.base_index {
            if index == 0 || self.term_at(index).is_some_and(|found| found <= term) {
                return index;
            }
            index -= 1;
        }
        index
    }

    /// Returns the bytes of the entries above `index`.
    pub(crate) fn bytes_after(&self, index: units::LogIndex) -> u64 {
        self.range(index + 1, self.last_index())
            .map(entry_bytes)
            .sum()
    }
}

/// Returns what an entry counts against byte bounds: its payload and a fixed share for its header.
pub(crate) fn entry_bytes(entry: &messages::LogEntry) -> u64 {
    entry.payload.len() as u64 + 16
}
