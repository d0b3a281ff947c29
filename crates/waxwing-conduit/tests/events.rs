//! Splitting of streams: events arrive in any pieces, and only whole ones go on.

use waxwing_conduit::events::{EventSplitter, event_id};

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn any_cut_gives_the_same_events() {
    for cut in 0..STREAM.len() {
        let mut splitter = EventSplitter::default();
        let mut out = splitter.push(&STREAM.as_bytes()[..cut]).to_vec();
        out.extend_from_slice(&splitter.push(&STREAM.as_bytes()[cut..]));
        assert_eq!(out, STREAM.as_bytes(), "cut at {cut}");
        assert_eq!(splitter.last(), Some(3));
        assert!(!splitter.has_partial());
    }
}

#[test]
fn an_event_that_is_cut_off_is_held_back() {
    let mut splitter = EventSplitter::default();
    let out = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(&out[..], b"id: 1\ndata: a\n\n");
    assert!(splitter.has_partial());
    splitter.discard_partial();
    // The next run starts behind the last whole event.
    let out = splitter.push(b"id: 2\ndata: b\n\n");
    assert_eq!(&out[..], b"id: 2\ndata: b\n\n");
}

#[test]
fn events_that_the_caller_has_are_left_out() {
    let mut splitter = EventSplitter::starting_after(Some(2));
    let out = splitter.push(STREAM.as_bytes());
    assert_eq!(&out[..], b"id: 3\ndata: c\n\n");
}

#[test]
fn lines_may_end_in_both_ways() {
    let mut splitter = EventSplitter::default();
    let out = splitter.push(b"id: 7\r\ndata: a\r\n\r\n");
    assert_eq!(&out[..], b"id: 7\r\ndata: a\r\n\r\n");
    assert_eq!(splitter.last(), Some(7));
    assert_eq!(event_id(b"data: id: 5\n\n"), None);
}

#[test]
fn an_endless_event_is_noticed() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; 64 * 1024];
    for _ in 0..17 {
        splitter.push(&piece);
    }
    assert!(splitter.is_oversized());
}
