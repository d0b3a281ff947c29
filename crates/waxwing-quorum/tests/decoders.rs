//! Property tests of the code that processes input from another member: no input may cause a panic
//! or an allocation of an announced size.

use std::time::Duration;

use bytes::Bytes;
use proptest::{prelude::*, test_runner};
use waxwing_core::ids;
use waxwing_quorum::{members, messages, node, options, ready};

fn config() -> test_runner::Config {
    test_runner::Config {
        cases: 500,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(30),
        ..test_runner::Config::default()
    }
}

fn identity(member: u64) -> members::MemberIdentity {
    members::MemberIdentity {
        member: ids::MemberId(member),
        store: ids::StoreId(u128::from(member)),
    }
}

/// Creates member 1 of three and elects it if `is_leader` is set.
fn node(is_leader: bool) -> node::QuorumNode {
    let voters: Vec<_> = (1..=3).map(identity).collect();
    let members = members::Membership::from_voters(&voters);
    let recovered = ready::RecoveredState {
        snapshot: Some(ready::Snapshot::founding(members, Bytes::new())),
        ..ready::RecoveredState::default()
    };
    let options = options::NodeOptions::default();
    let mut node = node::QuorumNode::new(identity(1), options, recovered, 1, Duration::ZERO)
        .expect("the recovered state is valid");
    if is_leader {
        for pre_vote in [true, false] {
            node.tick(Duration::from_secs(3));
            complete_writes(&mut node);
            let request_term = node.status().term + u64::from(pre_vote);
            let response = messages::VoteResponse {
                request_term,
                granted: true,
                pre_vote,
            };
            let body = messages::PeerBody::VoteResponse(response);
            let term = node.status().term;
            node.receive(
                Duration::from_secs(3),
                ids::MemberId(2),
                message(term, body),
            )
            .expect("the vote is accepted");
            complete_writes(&mut node);
        }
        assert_eq!(node.status().role, ready::NodeRole::Leader);
    }
    node
}

fn complete_writes(node: &mut node::QuorumNode) {
    for _ in 0..4 {
        if let Some(batch) = node.take_ready().writes {
            node.persisted(batch.sequence);
        }
    }
}

fn message(term: u64, body: messages::PeerBody) -> messages::PeerMessage {
    messages::PeerMessage {
        term,
        sender: Some(identity(2).into()),
        recipient: Some(identity(1).into()),
        body: Some(body),
    }
}

/// Generates small numbers, which often pass validation, any numbers and the largest ones.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0_u64..6, 1 => any::<u64>(), 1 => u64::MAX - 2..=u64::MAX]
}

fn log_entry() -> impl Strategy<Value = messages::LogEntry> {
    let payload = proptest::collection::vec(any::<u8>(), 0..20);
    (number(), number(), -1..5_i32, payload).prop_map(|(index, term, kind, payload)| {
        messages::LogEntry {
            index,
            term,
            kind,
            payload: payload.into(),
        }
    })
}

fn peer_body() -> impl Strategy<Value = messages::PeerBody> {
    let entries = proptest::collection::vec(log_entry(), 0..4);
    prop_oneof![
        (number(), number(), any::<bool>(), any::<bool>()).prop_map(
            |(last_index, last_term, pre_vote, transfer)| {
                messages::PeerBody::VoteRequest(messages::VoteRequest {
                    last_index,
                    last_term,
                    pre_vote,
                    transfer,
                })
            }
        ),
        (number(), any::<bool>(), any::<bool>()).prop_map(|(request_term, granted, pre_vote)| {
            messages::PeerBody::VoteResponse(messages::VoteResponse {
                request_term,
                granted,
                pre_vote,
            })
        }),
        (number(), number(), number(), number(), entries).prop_map(
            |(previous_index, previous_term, commit, round, entries)| {
                messages::PeerBody::AppendRequest(messages::AppendRequest {
                    previous_index,
                    previous_term,
                    commit,
                    round,
                    entries,
                })
            }
        ),
        (number(), any::<bool>(), number(), number(), number()).prop_map(
            |(round, rejected, index, conflict_term, rejected_index)| {
                messages::PeerBody::AppendResponse(messages::AppendResponse {
                    round,
                    rejected,
                    index,
                    conflict_term,
                    rejected_index,
                })
            }
        ),
        (number(), number(), number(), number(), any::<bool>()).prop_map(
            |(index, term, total, offset, listed)| {
                messages::PeerBody::SnapshotChunk(messages::SnapshotChunk {
                    index,
                    term,
                    members: listed.then(messages::MemberList::default),
                    total,
                    offset,
                    data: Bytes::from_static(b"abc"),
                    round: offset,
                })
            }
        ),
        (number(), number(), any::<bool>(), number()).prop_map(
            |(index, next_offset, installed, round)| {
                messages::PeerBody::SnapshotResponse(messages::SnapshotResponse {
                    index,
                    next_offset,
                    installed,
                    round,
                })
            }
        ),
        Just(messages::PeerBody::TimeoutNow(messages::TimeoutNow {})),
    ]
}

/// Returns whether a message asserts durable state of the sender and so depends on its writes.
fn asserts_durable_state(message: &ready::OutgoingMessage) -> bool {
    matches!(
        message.message.body,
        Some(
            messages::PeerBody::VoteRequest(_)
                | messages::PeerBody::VoteResponse(_)
                | messages::PeerBody::AppendResponse(_)
                | messages::PeerBody::SnapshotResponse(_)
        )
    )
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic while decoding or processing random bytes.
    #[test]
    fn random_bytes_are_decoded_without_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        members::Membership::decode(&bytes).ok();
        if let Ok(message) = messages::decode(bytes.into()) {
            node(false).receive(Duration::ZERO, ids::MemberId(2), message).ok();
        }
    }

    /// Guards against a message that decodes to something other than what was encoded.
    #[test]
    fn messages_round_trip_through_their_encoding(term in any::<u64>(), body in peer_body()) {
        let message = message(term, body);
        prop_assert_eq!(messages::decode(messages::encode(&message)), Ok(message));
    }

    /// Guards against a panic of a follower or leader on messages with arbitrary numbers, and
    /// against a message that is sent before the writes that it depends on are synced.
    #[test]
    fn any_message_is_processed_without_panic(
        is_leader in any::<bool>(),
        messages in proptest::collection::vec((number(), peer_body()), 1..12),
    ) {
        let mut node = node(is_leader);
        let mut now = Duration::from_secs(4);
        for (term, body) in messages {
            now += Duration::from_millis(200);
            node.receive(now, ids::MemberId(2), message(term, body)).ok();
            node.tick(now);
            let ready = node.take_ready();
            if let Some(batch) = ready.writes {
                // All earlier messages were taken, so any message here that asserts durable state
                // would depend on this batch, which is not synced yet.
                prop_assert!(!ready.messages.iter().any(asserts_durable_state));
                node.persisted(batch.sequence);
            }
            complete_writes(&mut node);
        }
    }
}

/// Guards against a receiver that reserves memory for the announced size of a snapshot.
#[test]
fn announced_snapshot_size_above_the_limit_is_rejected() {
    let chunk = messages::SnapshotChunk {
        index: 9,
        term: 2,
        members: Some(messages::MemberList::default()),
        total: u64::MAX / 4,
        ..messages::SnapshotChunk::default()
    };
    let body = messages::PeerBody::SnapshotChunk(chunk);
    let mut node = node(false);
    assert!(
        node.receive(Duration::ZERO, ids::MemberId(2), message(3, body))
            .is_err()
    );
}
