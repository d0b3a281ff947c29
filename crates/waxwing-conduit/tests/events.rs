//! Splitting of event streams: events arrive in chunks of any size, and only complete ones are
//! returned.

use waxwing_conduit::events::{EventSplitter, event_id};

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn events_do_not_depend_on_chunk_boundaries() {
    for boundary in 0..STREAM.len() {
        let mut splitter = EventSplitter::default();
        let mut out = splitter.push(&STREAM.as_bytes()[..boundary]).to_vec();
        out.extend_from_slice(&splitter.push(&STREAM.as_bytes()[boundary..]));
        assert_eq!(out, STREAM.as_bytes(), "boundary at {boundary}");
        assert_eq!(splitter.last_id(), Some(3));
        assert!(!splitter.has_partial());
    }
}

#[test]
fn truncated_event_is_not_returned() {
    let mut splitter = EventSplitter::default();
    let out = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(&out[..], b"id: 1\ndata: a\n\n");
    assert!(splitter.has_partial());
    splitter.discard_partial();
    // The stream resumes after the last complete event.
    let out = splitter.push(b"id: 2\ndata: b\n\n");
    assert_eq!(&out[..], b"id: 2\ndata: b\n\n");
}

#[test]
fn events_that_the_caller_already_has_are_skipped() {
    let mut splitter = EventSplitter::starting_after(Some(2));
    let out = splitter.push(STREAM.as_bytes());
    assert_eq!(&out[..], b"id: 3\ndata: c\n\n");
}

#[test]
fn both_line_endings_are_accepted() {
    let mut splitter = EventSplitter::default();
    let out = splitter.push(b"id: 7\r\ndata: a\r\n\r\n");
    assert_eq!(&out[..], b"id: 7\r\ndata: a\r\n\r\n");
    assert_eq!(splitter.last_id(), Some(7));
    assert_eq!(event_id(b"data: id: 5\n\n"), None);
}

#[test]
fn oversized_event_is_detected() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 64 * 1024];
    for _ in 0..17 {
        splitter.push(&chunk);
    }
    assert!(splitter.is_oversized());
}
