//! The part of the log that is kept in memory.

use std::collections::VecDeque;

use crate::{messages, units};

/// The log entries after a base entry, of which only the index and term are kept because its
/// payload was compacted away.
#[derive(Debug, Default)]
pub(crate) struct EntryLog {
    base_index: units::LogIndex,
    base_term: units::Term,
    entries: VecDeque<messages::LogEntry>,
    /// The index of the latest snapshot.
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

    /// Returns the term of the entry at `index`, or `None` if the entry was compacted away or
    /// doesn't exist.
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

    /// Returns the entries in `from..=to` that are in memory.
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

    /// Returns entries starting at `from` with a total size of at most `max_bytes`, but at least
    /// one entry if there is any.
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

    /// Removes the entries from `from` on.
    pub(crate) fn truncate(&mut self, from: units::LogIndex) {
        let kept = from.saturating_sub(self.base_index + 1);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        self.bytes_after_snapshot = self.bytes_after(self.snapshot_index);
    }

    /// Records that the latest snapshot covers entries up to `index`.
    pub(crate) fn set_snapshot_index(&mut self, index: units::LogIndex) {
        self.snapshot_index = index;
        self.bytes_after_snapshot = self.bytes_after(index);
    }

    /// Returns the total size in bytes of the entries after the latest snapshot.
    pub(crate) fn bytes_after_snapshot(&self) -> u64 {
        self.bytes_after_snapshot
    }

    /// Returns the lowest base index to which the log may be compacted such that the entries
    /// between it and `to` number at most `max_count` and take at most `max_bytes`.
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

    /// Drops the entries up to `index`, which becomes the base entry.
    pub(crate) fn compact(&mut self, index: units::LogIndex) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Returns the last index up to `index` whose term is at most `term`. After a rejected append,
    /// leader and follower use it to skip all entries of a conflicting term in one step.
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

    /// Returns the total size in bytes of the entries after `index`.
    pub(crate) fn bytes_after(&self, index: units::LogIndex) -> u64 {
        self.range(index + 1, self.last_index())
            .map(entry_bytes)
            .sum()
    }
}

/// Returns the size in bytes that an entry counts towards size limits: its payload plus a fixed
/// estimate for its header.
pub(crate) fn entry_bytes(entry: &messages::LogEntry) -> u64 {
    entry.payload.len() as u64 + 16
}
