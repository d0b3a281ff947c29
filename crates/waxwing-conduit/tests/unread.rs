//! Memory of events that callers have not read yet.

use std::time::Duration;

use bytes::Bytes;
use test_case::test_case;
use waxwing_conduit::unread::{HeldEvents, StreamRoom, UnreadBudget};

/// An eighth of the memory of the smallest entry host with slow callers, 160 MB.
const LIMIT: usize = 20 * 1024 * 1024;

/// Events that arrive from an endpoint in one piece.
const PIECE: usize = 8 * 1024;

/// Holds pieces for a caller that reads nothing until there is no more room.
fn fill(room: &StreamRoom) -> Vec<HeldEvents> {
    let mut held = Vec::new();
    while let Ok(events) = room.try_hold(Bytes::from(vec![0; PIECE])) {
        held.push(events);
    }
    held
}

/// Guards against memory that grows with the number of callers that read nothing, and against a few
/// of them for which endpoints have to wait although there is room.
#[test_case(1, 250_000; "one caller gets room for nearly any stream")]
#[test_case(50, 250_000; "fifty too")]
#[test_case(2_000, 0; "with two thousand the limit holds")]
fn slow_callers_share_the_memory(callers: usize, least: usize) {
    let budget = UnreadBudget::new(LIMIT);
    let rooms: Vec<_> = (0..callers).map(|_| budget.stream_room()).collect();
    let held: Vec<_> = rooms.iter().map(fill).collect();
    // One piece of each stream is let through in any case.
    assert!(
        budget.used() <= LIMIT + callers * PIECE,
        "{}",
        budget.used()
    );
    for pieces in &held {
        assert!(!pieces.is_empty());
        assert!(pieces.len() * PIECE >= least, "{}", pieces.len());
    }
    drop(held);
    assert_eq!(budget.used(), 0);
}

/// Guards against a stream that waits for ever, or for the callers of others: what its own caller
/// reads makes room for it.
#[tokio::test]
async fn reading_makes_room_for_the_own_stream() {
    let budget = UnreadBudget::new(2 * PIECE);
    let room = budget.stream_room();
    let first = room.hold(Bytes::from(vec![1; 2 * PIECE])).await;
    let reading = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let bytes = first.into_bytes();
        assert_eq!(bytes.len(), 2 * PIECE);
        drop(bytes);
    });
    let next = room.hold(Bytes::from(vec![2; PIECE])).await;
    assert_eq!(next.as_ref(), vec![2; PIECE]);
    reading.await.unwrap();
    assert_eq!(budget.used(), PIECE);
}
