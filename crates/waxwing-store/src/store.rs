//! The store of one member: its log segments, snapshots and identity in a data folder.

use bytes::Bytes;
use prost::Message as _;
use tracing::{info, warn};
use waxwing_core::{ids, units};
use waxwing_quorum::{members, messages, ready};

use crate::{disk, disk::DiskFile as _, errors, frames, records, replay, snapshots};

const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity";
const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Configuration of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreOptions {
    /// Length at which a segment is closed and a new one started; default 8 MiB. The last segment
    /// is copied at every start, so longer segments slow down the start.
    pub segment_bytes: units::ByteCount,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            segment_bytes: units::ByteCount(8 * 1024 * 1024),
        }
    }
}

/// A segment that receives no more writes.
#[derive(Debug, Clone, Copy)]
struct ClosedSegment {
    number: u64,
    highest_index: u64,
}

/// The segment that new frames are appended to.
#[derive(Debug)]
struct OpenSegment<F> {
    file: F,
    number: u64,
    length: u64,
    highest_index: u64,
}

/// The durable state of one member, locked for as long as this value exists.
#[derive(Debug)]
pub struct LogStore<D: disk::Disk> {
    disk: D,
    options: StoreOptions,
    identity: members::MemberIdentity,
    hard_state: messages::HardState,
    closed_segments: Vec<ClosedSegment>,
    current: OpenSegment<D::File>,
    snapshot_index: Option<u64>,
    fresh: bool,
    /// Whether a write or sync has failed; also set while one is in progress.
    failed: bool,
    _lock: D::Lock,
}

fn segment_name(number: u64) -> String {
    format!("{LOG_PREFIX}{number:016}")
}

fn snapshot_name(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:020}")
}

/// Returns the sorted numbers in the names of the files with `prefix`. Names with a further suffix,
/// such as those of temporary files, are skipped.
fn file_numbers(names: &[String], prefix: &str) -> Vec<u64> {
    let number = |name: &String| name.strip_prefix(prefix)?.parse().ok();
    let mut numbers: Vec<u64> = names.iter().filter_map(number).collect();
    numbers.sort_unstable();
    numbers
}

fn io_error(
    operation: &'static str,
    file: &str,
) -> impl FnOnce(std::io::Error) -> errors::StoreError {
    let file = file.to_owned();
    move |source| errors::StoreError::Io {
        operation,
        file,
        source,
    }
}

fn corrupt(file: &str, offset: u64, reason: errors::CorruptReason) -> errors::StoreError {
    errors::StoreError::Corrupt {
        file: file.to_owned(),
        offset,
        reason,
    }
}

impl<D: disk::Disk> LogStore<D> {
    /// Opens the data folder of a member and recovers its state. An empty folder is bound to
    /// `member` and the store id `new_store_id`, which the caller draws at random.
    ///
    /// # Errors
    /// Fails if the folder is locked, belongs to another member, is incomplete or corrupt, or can't
    /// be read or written.
    pub fn open(
        disk: D,
        member: ids::MemberId,
        new_store_id: ids::StoreId,
        options: StoreOptions,
    ) -> Result<(Self, ready::RecoveredState), errors::StoreError> {
        let lock = disk.lock(LOCK_FILE).map_err(io_error("lock", LOCK_FILE))?;
        let lock = lock.ok_or(errors::StoreError::Locked)?;
        remove_temporary(&disk)?;
        let names = list(&disk)?;
        let identity = read_identity(&disk, &names, member)?;
        let snapshot = read_snapshot(&disk, &names)?;
        let mut replay = replay::LogReplay::default();
        let closed = read_segments(&disk, &names, &mut replay)?;
        let fresh_folder = !replay.has_records && snapshot.is_none();
        match identity {
            Some(_) if closed.is_empty() => return Err(errors::StoreError::Incomplete("log")),
            None if !fresh_folder => return Err(errors::StoreError::Incomplete(IDENTITY_FILE)),
            _ => {}
        }
        let last = closed.last().map_or(0, |segment| segment.number);
        let (recovered, needs_reset) = replay
            .finish(snapshot)
            .map_err(|reason| corrupt(&segment_name(last), 0, reason))?;
        let mut current = start_segment(&disk, last + 1, &recovered.hard_state)?;
        if let Some(snapshot) = recovered.snapshot.as_ref().filter(|_| needs_reset) {
            current.reset(snapshot.index)?;
        }
        let identity = match identity {
            Some(identity) => identity,
            None => write_identity(&disk, member, new_store_id)?,
        };
        let store = Self {
            disk,
            options,
            identity,
            hard_state: recovered.hard_state.clone(),
            closed_segments: closed,
            current,
            snapshot_index: recovered.snapshot.as_ref().map(|snapshot| snapshot.index),
            fresh: fresh_folder,
            failed: false,
            _lock: lock,
        };
        info!(identity = %store.identity, entries = recovered.entries.len(), "data folder opened");
        Ok((store, recovered))
    }

    /// Returns the member and store id that the folder is bound to.
    #[must_use]
    pub const fn identity(&self) -> members::MemberIdentity {
        self.identity
    }

    /// Tells whether the folder holds neither log entries, nor a term and vote, nor a snapshot.
    #[must_use]
    pub const fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// Founds a group: stores its initial snapshot and returns the state that the node starts from.
    /// Every founding member must store the same snapshot.
    ///
    /// # Errors
    /// Fails if the folder is not fresh or can't be written.
    pub fn bootstrap(
        &mut self,
        snapshot: ready::Snapshot,
    ) -> Result<ready::RecoveredState, errors::StoreError> {
        if !self.fresh {
            return Err(errors::StoreError::Founded);
        }
        self.write(&ready::WriteBatch {
            sequence: 0,
            steps: vec![ready::WriteStep::Install(snapshot.clone())],
        })?;
        Ok(ready::RecoveredState {
            hard_state: self.hard_state.clone(),
            snapshot: Some(snapshot),
            entries: Vec::new(),
        })
    }

    /// Writes a batch; all of its changes are durable when this returns.
    ///
    /// # Errors
    /// Fails if a file operation fails. The store then refuses all further writes, since it is
    /// unknown what is durable.
    pub fn write(&mut self, batch: &ready::WriteBatch) -> Result<(), errors::StoreError> {
        if self.failed {
            return Err(errors::StoreError::Failed);
        }
        self.failed = true;
        self.fresh = false;
        self.write_steps(&batch.steps)?;
        self.failed = false;
        Ok(())
    }

    fn write_steps(&mut self, steps: &[ready::WriteStep]) -> Result<(), errors::StoreError> {
        if self.current.length >= self.options.segment_bytes.0 {
            self.rotate()?;
        }
        let mut record = records::BatchRecord::default();
        let mut compacted = false;
        for step in steps {
            match step {
                ready::WriteStep::HardState(hard_state) => {
                    self.hard_state = hard_state.clone();
                    record.push(records::StepBody::HardState(hard_state.clone()));
                }
                ready::WriteStep::Truncate(from) => {
                    record.push(records::StepBody::Truncate(*from));
                }
                ready::WriteStep::Append(entries) => self.push_entries(&mut record, entries),
                ready::WriteStep::Compact(snapshot) => {
                    self.flush(&mut record)?;
                    self.write_snapshot(snapshot)?;
                    compacted = true;
                }
                ready::WriteStep::Install(snapshot) => {
                    self.flush(&mut record)?;
                    self.write_snapshot(snapshot)?;
                    let index = snapshot.index;
                    record.push(records::StepBody::Reset(records::LogReset { index }));
                    compacted = true;
                }
            }
        }
        self.flush(&mut record)?;
        if compacted {
            self.remove_covered_segments()?;
        }
        Ok(())
    }

    fn push_entries(&mut self, record: &mut records::BatchRecord, entries: &[messages::LogEntry]) {
        let last = entries.last().map_or(0, |entry| entry.index);
        self.current.highest_index = self.current.highest_index.max(last);
        record.push(records::StepBody::Append(records::EntryList {
            entries: entries.to_vec(),
        }));
    }

    /// Appends the collected changes as one frame and syncs it.
    fn flush(&mut self, record: &mut records::BatchRecord) -> Result<(), errors::StoreError> {
        if record.steps.is_empty() {
            return Ok(());
        }
        let payload = std::mem::take(record).encode_to_vec();
        self.current.append(&payload)
    }

    /// Closes the current segment and starts the next one.
    fn rotate(&mut self) -> Result<(), errors::StoreError> {
        let next = start_segment(&self.disk, self.current.number + 1, &self.hard_state)?;
        let full = std::mem::replace(&mut self.current, next);
        self.closed_segments.push(ClosedSegment {
            number: full.number,
            highest_index: full.highest_index,
        });
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &ready::Snapshot) -> Result<(), errors::StoreError> {
        let name = snapshot_name(snapshot.index);
        write_atomically(&self.disk, &name, &snapshots::encode(snapshot))?;
        let previous = self.snapshot_index.replace(snapshot.index);
        match previous {
            Some(previous) if previous != snapshot.index => {
                remove(&self.disk, &snapshot_name(previous))
            }
            _ => Ok(()),
        }
    }

    /// Deletes the segments whose entries are all covered by the snapshot, oldest first. The folder
    /// is synced after each deletion, so that a crash never leaves a gap between the segments.
    fn remove_covered_segments(&mut self) -> Result<(), errors::StoreError> {
        let Some(snapshot_index) = self.snapshot_index else {
            return Ok(());
        };
        if self.current.highest_index > 0 && self.current.length >= self.options.segment_bytes.0 / 2
        {
            self.rotate()?;
        }
        while let Some(oldest) = self.closed_segments.first().copied() {
            if oldest.highest_index > snapshot_index {
                break;
            }
            remove(&self.disk, &segment_name(oldest.number))?;
            self.closed_segments.remove(0);
        }
        Ok(())
    }
}

impl<F: disk::DiskFile> OpenSegment<F> {
    fn reset(&mut self, index: u64) -> Result<(), errors::StoreError> {
        let mut record = records::BatchRecord::default();
        record.push(records::StepBody::Reset(records::LogReset { index }));
        self.append(&record.encode_to_vec())
    }

    fn append(&mut self, payload: &[u8]) -> Result<(), errors::StoreError> {
        let name = segment_name(self.number);
        let frame = frames::encode(payload, self.number, self.length);
        self.file.append(&frame).map_err(io_error("write", &name))?;
        self.file.sync().map_err(io_error("sync", &name))?;
        self.length += frame.len() as u64;
        Ok(())
    }
}

fn list<D: disk::Disk>(disk: &D) -> Result<Vec<String>, errors::StoreError> {
    disk.list().map_err(io_error("list", "."))
}

fn sync_folder<D: disk::Disk>(disk: &D) -> Result<(), errors::StoreError> {
    disk.sync_folder().map_err(io_error("sync", "."))
}

fn read<D: disk::Disk>(disk: &D, name: &str) -> Result<Bytes, errors::StoreError> {
    let content = disk.read(name).map_err(io_error("read", name))?;
    Ok(Bytes::from(content))
}

fn remove<D: disk::Disk>(disk: &D, name: &str) -> Result<(), errors::StoreError> {
    disk.remove(name).map_err(io_error("removal", name))?;
    sync_folder(disk)
}

/// Writes and syncs a file under a temporary name and then renames it, so that `name` never refers
/// to incomplete content.
fn write_atomically<D: disk::Disk>(
    disk: &D,
    name: &str,
    content: &[u8],
) -> Result<(), errors::StoreError> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    let mut file = disk
        .create(&temporary)
        .map_err(io_error("creation", &temporary))?;
    file.append(content)
        .map_err(io_error("write", &temporary))?;
    file.sync().map_err(io_error("sync", &temporary))?;
    disk.rename(&temporary, name)
        .map_err(io_error("renaming", &temporary))?;
    sync_folder(disk)
}

/// Deletes the temporary files that an interrupted [`write_atomically`] left behind.
fn remove_temporary<D: disk::Disk>(disk: &D) -> Result<(), errors::StoreError> {
    let names = list(disk)?;
    for name in names.iter().filter(|name| name.ends_with(TEMPORARY_SUFFIX)) {
        remove(disk, name)?;
    }
    Ok(())
}

fn read_identity<D: disk::Disk>(
    disk: &D,
    names: &[String],
    expected: ids::MemberId,
) -> Result<Option<members::MemberIdentity>, errors::StoreError> {
    if !names.iter().any(|name| name == IDENTITY_FILE) {
        return Ok(None);
    }
    let content = read(disk, IDENTITY_FILE)?;
    let identity =
        snapshots::decode_identity(&content).map_err(|reason| corrupt(IDENTITY_FILE, 0, reason))?;
    if identity.member != expected {
        let found = identity.member;
        return Err(errors::StoreError::OtherMember { expected, found });
    }
    Ok(Some(identity))
}

fn write_identity<D: disk::Disk>(
    disk: &D,
    member: ids::MemberId,
    store: ids::StoreId,
) -> Result<members::MemberIdentity, errors::StoreError> {
    let identity = members::MemberIdentity { member, store };
    let content = snapshots::encode_identity(identity);
    write_atomically(disk, IDENTITY_FILE, &content)?;
    Ok(identity)
}

/// Reads the latest snapshot and deletes older ones.
fn read_snapshot<D: disk::Disk>(
    disk: &D,
    names: &[String],
) -> Result<Option<ready::Snapshot>, errors::StoreError> {
    let mut indexes = file_numbers(names, SNAPSHOT_PREFIX);
    let Some(latest) = indexes.pop() else {
        return Ok(None);
    };
    let name = snapshot_name(latest);
    let content = read(disk, &name)?;
    let snapshot = snapshots::decode(&content).map_err(|reason| corrupt(&name, 0, reason))?;
    for older in indexes {
        remove(disk, &snapshot_name(older))?;
    }
    Ok(Some(snapshot))
}

/// Replays all segments. The last one may end in an incomplete frame; it is replaced by a synced
/// copy of its intact frames. The copy is also needed when the process was restarted after a failed
/// sync: the frames read back may then exist only in the page cache, and a second sync of the same
/// file would not write them.
fn read_segments<D: disk::Disk>(
    disk: &D,
    names: &[String],
    replay: &mut replay::LogReplay,
) -> Result<Vec<ClosedSegment>, errors::StoreError> {
    let mut segments = Vec::new();
    let present = file_numbers(names, LOG_PREFIX);
    for (position, number) in present.iter().copied().enumerate() {
        let name = segment_name(number);
        let first = present[0];
        let expected = first + position as u64;
        if number != expected {
            let reason = errors::CorruptReason::MissingSegment(expected);
            return Err(corrupt(&name, 0, reason));
        }
        let content = read(disk, &name)?;
        let segment = replay
            .read_segment(number, &content)
            .map_err(|(offset, reason)| corrupt(&name, offset, reason))?;
        let last = position + 1 == present.len();
        if segment.torn && !last {
            let reason = errors::CorruptReason::DamagedFrame;
            return Err(corrupt(&name, segment.intact_bytes as u64, reason));
        }
        if segment.torn {
            let lost = content.len() - segment.intact_bytes;
            warn!(
                file = name,
                bytes = lost,
                "truncating an incomplete frame at the end of the log"
            );
        }
        if last && segment.intact_bytes == 0 {
            remove(disk, &name)?;
            continue;
        }
        if last {
            write_atomically(disk, &name, &content[..segment.intact_bytes])?;
        }
        let highest_index = segment.highest_index;
        segments.push(ClosedSegment {
            number,
            highest_index,
        });
    }
    Ok(segments)
}

fn start_segment<D: disk::Disk>(
    disk: &D,
    number: u64,
    hard_state: &messages::HardState,
) -> Result<OpenSegment<D::File>, errors::StoreError> {
    let name = segment_name(number);
    let file = disk.create(&name).map_err(io_error("creation", &name))?;
    let mut segment = OpenSegment {
        file,
        number,
        length: 0,
        highest_index: 0,
    };
    let mut record = records::BatchRecord::default();
    record.push(records::StepBody::Start(records::SegmentStart {
        version: records::SEGMENT_VERSION,
        number,
        hard_state: Some(hard_state.clone()),
    }));
    segment.append(&record.encode_to_vec())?;
    sync_folder(disk)?;
    Ok(segment)
}
