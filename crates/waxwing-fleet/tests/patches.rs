//! Tests of patches between documents. Documents stand for those of an operator: records that
//! differ in a few places from version to version.

use proptest::prelude::*;
use waxwing_fleet::{errors, patches};

/// Returns a document with this many records.
fn document(version: u64, records: usize) -> Vec<u8> {
    let mut text = format!("{{\"version\":{version},\"routes\":[");
    for number in 0..records {
        let name = number.wrapping_mul(0x9e37_79b9) % 1_000_003;
        text.push_str(&format!(
            "{{\"name\":\"r-{name}\",\"host\":\"h.example\",\"prefix\":\"/p{name}/\",\"timeout\":8000}},"
        ));
    }
    text.push_str("]}");
    text.into_bytes()
}

/// Guards against a change whose cost grows with the document: the limit of a node at the target is
/// 25 KB/s with 14,000 changes a day.
#[test]
fn change_of_one_record_is_small() {
    let base = document(7, 8_000);
    let text = String::from_utf8(document(8, 8_000)).unwrap();
    let target = text.replacen("\"timeout\":8000", "\"timeout\":9000", 1);
    let patch = patches::create(&base, target.as_bytes()).unwrap();
    let limit = 25_000 * 86_400 / 14_000;
    assert!(patch.len() <= limit, "{} bytes", patch.len());
    let digest = patches::digest(target.as_bytes());
    let applied = patches::apply(&base, &patch, target.len(), digest).unwrap();
    assert_eq!(applied, target.as_bytes());
}

/// Guards against a document that is put together from the wrong base.
#[test]
fn patch_for_another_base_is_refused() {
    let target = document(8, 100);
    let patch = patches::create(&document(7, 100), &target).unwrap();
    let digest = patches::digest(&target);
    patches::apply(&document(6, 99), &patch, target.len(), digest).unwrap_err();
}

/// Guards against memory that is claimed by a damaged announcement.
#[test]
fn document_over_the_limit_is_refused() {
    let length = patches::MAX_DOCUMENT_BYTES + 1;
    let refused = patches::apply(&[], &[], length, 0).unwrap_err();
    assert!(matches!(refused, errors::PatchError::TooLong { .. }));
}

proptest! {
    /// Guards against documents that a patch changes.
    #[test]
    fn patched_base_equals_the_target(
        base in proptest::collection::vec(any::<u8>(), 0..4_000),
        target in proptest::collection::vec(any::<u8>(), 0..4_000),
        shared in 0..4_000_usize,
    ) {
        let target = [&base[..shared.min(base.len())], &target[..]].concat();
        let patch = patches::create(&base, &target).unwrap();
        let digest = patches::digest(&target);
        let applied = patches::apply(&base, &patch, target.len(), digest).unwrap();
        prop_assert_eq!(&applied[..], &target[..]);
    }

    /// Guards against a damaged patch that panics or yields another document.
    #[test]
    fn damaged_patch_is_refused(position in 0..200_usize, flip in 1..=255_u8) {
        let base = document(1, 50);
        let target = document(2, 60);
        let mut patch = patches::create(&base, &target).unwrap().to_vec();
        let position = position % patch.len();
        patch[position] ^= flip;
        let digest = patches::digest(&target);
        if let Ok(applied) = patches::apply(&base, &patch, target.len(), digest) {
            prop_assert_eq!(&applied[..], &target[..]);
        }
    }

    /// Guards against bytes that are no patch.
    #[test]
    fn any_bytes_are_applied_or_refused(
        patch in proptest::collection::vec(any::<u8>(), 0..2_000),
        length in 0..2_000_usize,
    ) {
        let _ = patches::apply(b"base", &patch, length, 1);
    }
}
