//! Property tests of the decoders of files: no input may cause a panic, or allocations of more than
//! a multiple of its length.

use bytes::Bytes;
use proptest::{prelude::*, test_runner};
use prost::Message as _;
use waxwing_core::ids;
use waxwing_quorum::messages;
use waxwing_store::{frames, memory, records, snapshots, store};

fn config() -> test_runner::Config {
    test_runner::Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(20),
        ..test_runner::Config::default()
    }
}

/// Returns a valid segment, so that random edits of it reach code behind the first checks.
fn segment() -> Vec<u8> {
    let mut content = Vec::new();
    for index in 0..4 {
        let mut record = records::BatchRecord::default();
        let number = 1;
        record.push(if index == 0 {
            let hard_state = Some(messages::HardState::default());
            let version = records::SEGMENT_VERSION;
            records::StepBody::Start(records::SegmentStart {
                version,
                number,
                hard_state,
            })
        } else {
            let entries = vec![messages::LogEntry {
                index,
                term: 1,
                ..messages::LogEntry::default()
            }];
            records::StepBody::Append(records::EntryList { entries })
        });
        let frame = frames::encode(&record.encode_to_vec(), number, content.len() as u64);
        content.extend(frame);
    }
    content
}

fn open_segment(content: Vec<u8>) {
    let disk = memory::MemoryDisk::new();
    let options = store::StoreOptions::default();
    let open = || {
        let member = ids::MemberId(1);
        store::LogStore::open(disk.clone(), member, ids::StoreId(1), options)
    };
    drop(open().expect("a new disk opens"));
    disk.overwrite("log-0000000000000001", content);
    drop(open());
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic while random bytes are decoded.
    #[test]
    fn random_bytes_are_read_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let content = Bytes::from(bytes.clone());
        snapshots::decode(&content).ok();
        snapshots::decode_identity(&content).ok();
        records::BatchRecord::decode(content).ok();
        let _ = frames::scan(&bytes, 1, 0);
        open_segment(bytes);
    }

    /// Guards against a panic on a valid segment with a few changed bytes and a cut end.
    #[test]
    fn edited_segments_are_read_without_panic(
        edits in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut content = segment();
        for (position, value) in &edits {
            let position = position.index(content.len());
            content[position] = *value;
        }
        content.truncate(cut.index(content.len()) + 1);
        open_segment(content);
    }

    /// Guards against a panic on frames with valid checksums and inconsistent records: replay must
    /// return an error or a state for any sequence of records.
    #[test]
    fn random_steps_are_replayed_without_panic(
        steps in proptest::collection::vec((0_u8..4, any::<u64>(), 0_u64..6), 0..12),
    ) {
        let mut content = segment();
        for (kind, any_index, small_index) in steps {
            let index = if kind == 3 { any_index } else { small_index };
            let mut record = records::BatchRecord::default();
            record.push(match kind {
                0 => records::StepBody::Truncate(index),
                1 => records::StepBody::Reset(records::LogReset { index }),
                _ => {
                    let entry = messages::LogEntry { index, ..messages::LogEntry::default() };
                    records::StepBody::Append(records::EntryList { entries: vec![entry] })
                }
            });
            content.extend(frames::encode(&record.encode_to_vec(), 1, content.len() as u64));
        }
        open_segment(content);
    }
}

/// Guards against memory exhaustion by the length in a header: a file of a few bytes claims up to
/// 2^64 bytes, with a valid header checksum.
#[test]
fn claimed_lengths_allocate_nothing() {
    for length in [u32::MAX, 1 << 31, 1 << 20] {
        let mut frame = frames::encode(&[], 1, 0);
        frame[4..8].copy_from_slice(&length.to_le_bytes());
        let checksum = crc32c::crc32c(&frame[..12]);
        let checksum = crc32c::crc32c_append(checksum, &1_u64.to_le_bytes());
        let checksum = crc32c::crc32c_append(checksum, &0_u64.to_le_bytes());
        frame[12..16].copy_from_slice(&checksum.to_le_bytes());
        assert_eq!(frames::scan(&frame, 1, 0), frames::FrameScan::Torn);
    }
    let mut file = b"WXS1".to_vec();
    file.extend_from_slice(&u32::MAX.to_le_bytes());
    file.extend_from_slice(&u64::MAX.to_le_bytes());
    file.extend_from_slice(&0_u32.to_le_bytes());
    let checksum = crc32c::crc32c(&file);
    file.extend_from_slice(&checksum.to_le_bytes());
    assert!(snapshots::decode(&Bytes::from(file)).is_err());
}
