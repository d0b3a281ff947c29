//! Tests of recovery after a crash, a failed write, or corruption of a file.

use bytes::Bytes;
use test_case::test_case;
use waxwing_core::{ids, units as core_units};
use waxwing_quorum::{members, messages, ready};
use waxwing_store::{disk, disk::Disk as _, errors, memory, store};

const MEMBER: ids::MemberId = ids::MemberId(7);

type MemoryStore = store::LogStore<memory::MemoryDisk>;
type OpenResult = Result<(MemoryStore, ready::RecoveredState), errors::StoreError>;

fn open(disk: &memory::MemoryDisk) -> OpenResult {
    open_with(disk, store::StoreOptions::default().segment_bytes.0)
}

fn open_with(disk: &memory::MemoryDisk, segment_bytes: u64) -> OpenResult {
    let options = store::StoreOptions {
        segment_bytes: core_units::ByteCount(segment_bytes),
    };
    store::LogStore::open(disk.clone(), MEMBER, ids::StoreId(1), options)
}

fn entry(index: u64, term: u64) -> messages::LogEntry {
    messages::LogEntry {
        index,
        term,
        kind: messages::EntryKind::Command as i32,
        payload: Bytes::from(vec![u8::try_from(index % 251).expect("below 256"); 20]),
    }
}

fn append(from: u64, to: u64, term: u64) -> ready::WriteStep {
    ready::WriteStep::Append((from..=to).map(|index| entry(index, term)).collect())
}

fn term_step(term: u64) -> ready::WriteStep {
    ready::WriteStep::HardState(messages::HardState { term, vote: None })
}

fn snapshot(index: u64, term: u64) -> ready::Snapshot {
    let store = ids::StoreId(1);
    let member = MEMBER;
    ready::Snapshot {
        index,
        term,
        members: members::Membership::from_voters(&[members::MemberIdentity { member, store }]),
        data: Bytes::from(vec![9; 300]),
    }
}

fn write(store: &mut MemoryStore, steps: Vec<ready::WriteStep>) -> Result<(), errors::StoreError> {
    store.write(&ready::WriteBatch { sequence: 1, steps })
}

fn indexes(recovered: &ready::RecoveredState) -> Vec<u64> {
    recovered.entries.iter().map(|entry| entry.index).collect()
}

/// Returns the name and content of the longest segment. Each open adds a segment that holds only
/// its start record.
fn longest_segment(disk: &memory::MemoryDisk) -> (String, Vec<u8>) {
    let names = disk.list().expect("the folder is listed");
    let logs = names.into_iter().filter(|name| name.starts_with("log-"));
    let contents = logs.map(|name| {
        let content = disk.read(&name).expect("the segment is read");
        (name, content)
    });
    contents
        .max_by_key(|(_, content)| content.len())
        .expect("there is a segment")
}

/// Guards against the loss of earlier batches, or partial recovery of the last one, after a torn
/// write: the last write is cut at every byte, with or without zeros in place of the rest.
#[test_case(false; "cut short")]
#[test_case(true; "filled with zeros")]
fn torn_tail_is_truncated_at_every_byte(zeros: bool) {
    let disk = memory::MemoryDisk::new();
    let (mut store, _) = open(&disk).expect("a new disk opens");
    write(&mut store, vec![term_step(3), append(1, 3, 3)]).expect("written");
    let (_, before) = longest_segment(&disk);
    write(&mut store, vec![term_step(4), append(4, 5, 4)]).expect("written");
    let (name, intact) = longest_segment(&disk);
    drop(store);
    for cut in before.len()..intact.len() {
        let mut torn = intact[..cut].to_vec();
        if zeros {
            torn.resize(intact.len(), 0);
        }
        let copy = memory::MemoryDisk::new();
        drop(open(&copy).expect("a new disk opens"));
        copy.overwrite(&name, torn);
        let (mut store, recovered) = open(&copy).expect("a torn tail is not corruption");
        assert_eq!(
            (indexes(&recovered), recovered.hard_state.term),
            (vec![1, 2, 3], 3)
        );
        write(&mut store, vec![append(4, 4, 5)]).expect("the log accepts an entry");
        drop(store);
        copy.crash(cut as u64);
        let (_, recovered) = open(&copy).expect("it opens again");
        assert_eq!(indexes(&recovered), [1, 2, 3, 4]);
    }
}

/// Guards against silent loss of synced entries: a damaged byte before the last batch must be
/// reported with the file and an offset at or before that byte.
#[test]
fn damage_in_the_middle_is_refused_at_every_byte() {
    let disk = memory::MemoryDisk::new();
    let (mut store, _) = open(&disk).expect("a new disk opens");
    write(&mut store, vec![term_step(3), append(1, 2, 3)]).expect("written");
    let (_, before) = longest_segment(&disk);
    write(&mut store, vec![append(3, 3, 3)]).expect("written");
    let (name, intact) = longest_segment(&disk);
    drop(store);
    for position in 0..before.len() {
        let mut damaged = intact.clone();
        damaged[position] ^= 0x10;
        disk.overwrite(&name, damaged);
        match open(&disk) {
            Err(errors::StoreError::Corrupt { file, offset, .. }) => {
                assert!(file == name && offset <= position as u64);
            }
            other => panic!("byte {position}: {:?}", other.map(|(_, state)| state)),
        }
    }
}

/// Guards against the truncation of a damaged segment before the last one, which can't be a torn
/// write.
#[test]
fn torn_segment_before_another_is_refused() {
    let disk = memory::MemoryDisk::new();
    let (mut store, _) = open_with(&disk, 100).expect("a new disk opens");
    for index in 1..6 {
        write(&mut store, vec![append(index, index, 1)]).expect("written");
    }
    drop(store);
    let (name, intact) = longest_segment(&disk);
    disk.overwrite(&name, intact[..intact.len() - 1].to_vec());
    let opened = open(&disk).map(|(_, state)| state);
    assert!(matches!(opened, Err(errors::StoreError::Corrupt { file, .. }) if file == name));
}

/// Guards against a replay that skips a missing segment.
#[test]
fn missing_segment_is_refused() {
    let disk = memory::MemoryDisk::new();
    let (mut store, _) = open_with(&disk, 100).expect("a new disk opens");
    for index in 1..8 {
        write(&mut store, vec![append(index, index, 1)]).expect("written");
    }
    drop(store);
    disk.remove("log-0000000000000002").expect("it is removed");
    let opened = open(&disk).map(|(_, state)| state);
    let reason = errors::CorruptReason::MissingSegment(2);
    assert!(
        matches!(opened, Err(errors::StoreError::Corrupt { reason: found, .. }) if found == reason)
    );
}

/// Guards against the use of a disk in an unknown state: after a failed sync or a full disk the
/// store must refuse further writes, and a restarted process must rewrite what it can still read of
/// the file before it relies on it.
#[test_case(memory::DiskFaults { failed_sync: Some(0), ..Default::default() }; "failed sync")]
#[test_case(memory::DiskFaults { free_bytes: Some(30), ..Default::default() }; "full disk")]
fn store_refuses_writes_after_a_failed_one(faults: memory::DiskFaults) {
    let disk = memory::MemoryDisk::new();
    let (mut store, _) = open(&disk).expect("a new disk opens");
    write(&mut store, vec![term_step(2), append(1, 2, 2)]).expect("written");
    disk.set_faults(faults);
    let failed = write(&mut store, vec![append(3, 4, 2)]);
    assert!(matches!(failed, Err(errors::StoreError::Io { .. })));
    disk.set_faults(memory::DiskFaults::default());
    let refused = write(&mut store, vec![append(3, 4, 2)]);
    assert!(matches!(refused, Err(errors::StoreError::Failed)));
    drop(store);
    disk.kill();
    let (store, recovered) = open(&disk).expect("the process starts again");
    let found = indexes(&recovered);
    assert!(found == [1, 2] || found == [1, 2, 3, 4]);
    drop(store);
    disk.crash(5);
    let (_, recovered) = open(&disk).expect("the host starts again");
    assert_eq!(indexes(&recovered), found);
}

/// Guards against mixing an installed snapshot with the old log after a crash between the two
/// writes: whichever sync fails, the recovered state must be the old one or the snapshot, and
/// accept more entries.
#[test_case(10, 1; "old log ends before the snapshot")]
#[test_case(40, 1; "old log conflicts with the snapshot")]
fn interrupted_install_recovers(last: u64, term: u64) {
    for sync in 0..8 {
        let disk = memory::MemoryDisk::new();
        let (mut store, _) = open(&disk).expect("a new disk opens");
        write(&mut store, vec![term_step(term), append(1, last, term)]).expect("written");
        disk.set_faults(memory::DiskFaults {
            failed_sync: Some(sync),
            ..memory::DiskFaults::default()
        });
        let installed = write(
            &mut store,
            vec![term_step(2), ready::WriteStep::Install(snapshot(30, 2))],
        );
        drop(store);
        disk.crash(sync);
        let (mut store, recovered) = open(&disk).expect("it opens");
        let next = match &recovered.snapshot {
            Some(found) => {
                assert_eq!((found.index, indexes(&recovered)), (30, vec![]));
                31
            }
            None => {
                assert!(installed.is_err() && indexes(&recovered).len() as u64 == last);
                last + 1
            }
        };
        write(&mut store, vec![append(next, next, 3)]).expect("the log accepts an entry");
        drop(store);
        let (_, recovered) = open(&disk).expect("it opens again");
        assert_eq!(indexes(&recovered).last(), Some(&next));
    }
}

/// Guards against covered segments that are never deleted, and against the deletion of entries that
/// the snapshot doesn't cover.
#[test]
fn compaction_removes_covered_segments_only() {
    let disk = memory::MemoryDisk::new();
    let (mut store, _) = open_with(&disk, 200).expect("a new disk opens");
    let mut files = Vec::new();
    for round in 0..10 {
        let first = round * 40 + 1;
        for index in first..first + 40 {
            write(&mut store, vec![append(index, index, 1)]).expect("written");
        }
        let step = ready::WriteStep::Compact(snapshot(first + 34, 1));
        write(&mut store, vec![step]).expect("written");
        files.push(disk.list().expect("listed").len());
    }
    let largest = files.iter().max();
    assert!(
        largest <= Some(&(files[0] + 1)),
        "files after each round: {files:?}"
    );
    drop(store);
    let (_, recovered) = open(&disk).expect("it opens");
    assert_eq!(recovered.snapshot, Some(snapshot(395, 1)));
    assert_eq!(indexes(&recovered), [396, 397, 398, 399, 400]);
}

/// Guards against truncated entries that reappear at recovery.
#[test]
fn truncated_entries_do_not_reappear() {
    let disk = memory::MemoryDisk::new();
    let (mut store, _) = open(&disk).expect("a new disk opens");
    write(&mut store, vec![append(1, 9, 1)]).expect("written");
    let steps = vec![term_step(2), ready::WriteStep::Truncate(4), append(4, 5, 2)];
    write(&mut store, steps).expect("written");
    drop(store);
    let (_, recovered) = open(&disk).expect("it opens");
    let terms: Vec<_> = recovered.entries.iter().map(|entry| entry.term).collect();
    assert_eq!(
        (indexes(&recovered), terms),
        (vec![1, 2, 3, 4, 5], vec![1, 1, 1, 2, 2])
    );
}

/// Guards against recovery from a damaged snapshot.
#[test]
fn damaged_snapshot_is_refused_at_every_byte() {
    let disk = memory::MemoryDisk::new();
    let (mut store, _) = open(&disk).expect("a new disk opens");
    store.bootstrap(snapshot(1, 1)).expect("founded");
    drop(store);
    let name = "snapshot-00000000000000000001";
    let intact = disk.read(name).expect("it is read");
    for position in 0..intact.len() {
        let mut damaged = intact.clone();
        damaged[position] ^= 1;
        disk.overwrite(name, damaged);
        let opened = open(&disk).map(|(_, state)| state);
        assert!(matches!(opened, Err(errors::StoreError::Corrupt { file, .. }) if file == name));
    }
}

/// Guards against two processes that share a folder, and against the use of another member's
/// folder.
#[test]
fn lock_and_member_are_checked() {
    let disk = memory::MemoryDisk::new();
    let (store, _) = open(&disk).expect("a new disk opens");
    assert!(matches!(open(&disk), Err(errors::StoreError::Locked)));
    drop(store);
    let options = store::StoreOptions::default();
    let other = store::LogStore::open(disk, ids::MemberId(8), ids::StoreId(2), options);
    assert!(matches!(
        other,
        Err(errors::StoreError::OtherMember { found: MEMBER, .. })
    ));
}

/// Guards against a folder with missing files that is treated as new.
#[test_case("identity"; "identity")]
#[test_case("log-"; "log")]
fn incomplete_folder_is_refused(prefix: &str) {
    let disk = memory::MemoryDisk::new();
    let (mut store, _) = open(&disk).expect("a new disk opens");
    write(&mut store, vec![term_step(2), append(1, 2, 2)]).expect("written");
    drop(store);
    for name in disk.list().expect("listed") {
        if name.starts_with(prefix) {
            disk.remove(&name).expect("removed");
        }
    }
    assert!(matches!(
        open(&disk),
        Err(errors::StoreError::Incomplete(_))
    ));
}

/// Guards against differences between the in-memory disk and a real folder.
#[test]
fn folder_keeps_state_and_excludes_a_second_process() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let path = folder.path().join("data");
    let open = |store_id| {
        let disk = disk::FolderDisk::open(&path).expect("the folder opens");
        let options = store::StoreOptions::default();
        store::LogStore::open(disk, MEMBER, ids::StoreId(store_id), options)
    };
    let (mut store, recovered) = open(1).expect("a new folder opens");
    assert!(store.is_fresh() && recovered == ready::RecoveredState::default());
    store.bootstrap(snapshot(1, 1)).expect("founded");
    let batch = ready::WriteBatch {
        sequence: 1,
        steps: vec![
            term_step(2),
            append(2, 6, 2),
            ready::WriteStep::Compact(snapshot(4, 2)),
        ],
    };
    store.write(&batch).expect("written");
    assert!(matches!(open(2), Err(errors::StoreError::Locked)));
    drop(store);
    let (store, recovered) = open(2).expect("the folder opens again");
    assert_eq!(store.identity().store, ids::StoreId(1));
    assert_eq!(
        (indexes(&recovered), recovered.hard_state.term),
        (vec![5, 6], 2)
    );
    assert_eq!(recovered.snapshot, Some(snapshot(4, 2)));
}
