//! Bounds on the memory of bodies that peers send.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{Full, StreamBody};
use hyper::body::{Body, Frame};
use waxwing_process::bodies::{BodyError, MemoryBudget, UNBUDGETED_BYTES};

/// A body in chunks of a kilobyte.
fn chunked(chunks: usize) -> impl Body<Data = Bytes, Error = Infallible> {
    let chunk = || Ok(Frame::data(Bytes::from(vec![b'a'; 1_024])));
    StreamBody::new(stream::iter((0..chunks).map(move |_| chunk())))
}

/// Guards against a process that runs out of memory while peers send bodies without end.
#[tokio::test]
async fn bodies_stay_within_their_limit_and_the_budget() {
    let budget = MemoryBudget::new(200 * 1_024);
    let first = budget.read(chunked(100), 1 << 20).await.unwrap();
    assert_eq!(first.len(), 100 * 1_024);
    assert!(budget.used() >= first.len());
    let endless = budget.read(chunked(usize::MAX), 1 << 30).await;
    assert!(matches!(endless, Err(BodyError::OutOfMemory)));
    let long = budget.read(chunked(usize::MAX), 50 * 1_024).await;
    assert!(matches!(long, Err(BodyError::TooLong(_))));
    let copy = first.clone();
    drop(first);
    assert!(budget.used() >= copy.len());
    drop(copy);
    assert_eq!(budget.used(), 0);
}

/// Guards against ordinary calls that fail because others have used up the budget.
#[tokio::test]
async fn small_bodies_need_no_budget() {
    let budget = MemoryBudget::new(0);
    let bytes = Bytes::from(vec![b'b'; UNBUDGETED_BYTES]);
    let read = budget.read(Full::new(bytes.clone()), 1 << 20).await;
    assert_eq!(read.unwrap(), bytes);
    let read = budget.read(Full::new(Bytes::new()), 0).await;
    assert!(read.unwrap().is_empty());
}

/// Guards against a budget that refuses a body which fits: the buffer asked for twice the length of a
/// body that came in more than one chunk.
#[tokio::test]
async fn body_that_just_fits_is_read() {
    let length = 20 * 1_024;
    let budget = MemoryBudget::new(length);
    let read = budget.read(chunked(20), 1 << 20).await.unwrap();
    assert_eq!(read.len(), length);
    assert_eq!(budget.used(), length);
}

/// Guards against a process that runs out of memory under many bodies that are each too small for the
/// budget.
#[tokio::test]
async fn small_bodies_have_a_limit_together() {
    let budget = MemoryBudget::new(0);
    let body = || Full::new(Bytes::from(vec![b'b'; UNBUDGETED_BYTES]));
    let mut held = Vec::new();
    for _ in 0..64 {
        held.push(budget.read(body(), 1 << 20).await.unwrap());
    }
    let refused = budget.read(body(), 1 << 20).await;
    assert!(matches!(refused, Err(BodyError::OutOfMemory)));
    held.pop();
    assert!(budget.read(body(), 1 << 20).await.is_ok());
    drop(held);
    assert_eq!(budget.used_by_small(), 0);
}
