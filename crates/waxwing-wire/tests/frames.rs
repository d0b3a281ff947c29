//! Tests of framing. Frames come from other hosts, so no input may cause a panic or a large
//! allocation.

use bytes::BytesMut;
use proptest::prelude::*;
use test_case::test_case;
use tokio_util::codec::Decoder as _;
use waxwing_wire::{errors, framing, messages};

fn options() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(options())]

    /// Guards against a panic on bytes that are not a message.
    #[test]
    fn any_bytes_decode_or_fail(bytes in proptest::collection::vec(any::<u8>(), 0..2_048)) {
        let _ = framing::decode(BytesMut::from(&bytes[..]));
        let _ = framing::codec().decode(&mut BytesMut::from(&bytes[..]));
    }

    /// Guards against a corrupt message that decodes into one that can't be encoded.
    #[test]
    fn damaged_messages_decode_or_fail(position in 0_usize..200, value in any::<u8>()) {
        let frame = framing::encode(9, sample()).expect("encode");
        let mut corrupt = BytesMut::from(&frame[..]);
        let index = position % corrupt.len();
        corrupt[index] = value;
        if let Ok(envelope) = framing::decode(corrupt) {
            let body = envelope.body.expect("decode refuses an empty body");
            framing::encode(envelope.correlation, body).expect("encodes again");
        }
    }
}

fn sample() -> messages::Body {
    messages::Body::Offer(messages::Offer {
        request: vec![7; 16],
        rank: 1,
        account: "bench".into(),
        model: "spike-writer".into(),
        prefix_hashes: vec![u64::MAX; 16],
        ..messages::Offer::default()
    })
}

/// Guards against an offer that exceeds its documented size of 512 bytes.
#[test]
fn longest_offer_fits_its_size() {
    let offer = messages::Offer {
        request: vec![255; 16],
        rank: 255,
        account: "a".repeat(64),
        weight_millis: 1_000_000,
        model: "m".repeat(64),
        service: "s".repeat(64),
        prompt_tokens: 1 << 40,
        output_tokens: 1 << 40,
        prefix_hashes: vec![u64::MAX; messages::MAX_PREFIX_HASHES],
        deadline_millis: 1 << 40,
        idempotent: true,
        waited_millis: 1 << 40,
        immediate: true,
        body_bytes: 1 << 40,
    };
    let frame = framing::encode(1, messages::Body::Offer(offer)).expect("encode");
    assert!(frame.len() <= 512, "{} bytes", frame.len());
}

/// Guards against a malicious length prefix that makes the receiver allocate memory.
#[test_case(u32::MAX; "largest length")]
#[test_case(16 * 1024 * 1024 + 1; "one byte over the limit")]
fn claimed_length_over_the_limit_is_refused(length: u32) {
    let mut bytes = BytesMut::from(&length.to_be_bytes()[..]);
    let before = bytes.capacity();
    assert!(framing::codec().decode(&mut bytes).is_err());
    assert!(bytes.capacity() <= before.max(64));
}

/// Guards against a sender that encodes a message which the receiver refuses as too long.
#[test]
fn message_over_the_limit_is_refused_by_the_sender() {
    let tree = bytes::Bytes::from(vec![0; framing::MAX_FRAME_BYTES]);
    let body = messages::Body::SettingsSnapshot(messages::SettingsSnapshot { version: 1, tree });
    let error = framing::encode(0, body).expect_err("too long");
    assert!(matches!(error, errors::FrameError::TooLong { .. }));
}

/// Guards against a message kind that is not in the envelope's list: its receiver closes the link.
#[test_case(messages::Body::DirectorySummary(messages::DirectorySummary { digests: vec![1] }); "summary")]
#[test_case(messages::Body::FetchNotices(messages::FetchNotices { groups: vec![3] }); "fetch")]
#[test_case(messages::Body::NoticeGroups(messages::NoticeGroups::default()); "groups")]
#[test_case(messages::Body::EndpointRefreshes(messages::EndpointRefreshes { digests: vec![9] }); "refreshes")]
fn messages_on_the_directory_are_read_back(body: messages::Body) {
    let frame = framing::encode(0, body.clone()).expect("encode");
    let envelope = framing::decode(BytesMut::from(&frame[..])).expect("decode");
    assert_eq!(envelope.body, Some(body));
}
