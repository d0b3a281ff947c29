//! Response body towards a caller. Parts are queued while the caller reads slowly; the queue is
//! bounded because an agent sends no more than 256 KiB without acknowledgement, and only what the
//! caller's connection has consumed is acknowledged.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body;
use tokio::sync::{Notify, mpsc};

use crate::errors;

/// Message from the driver to the response body.
#[derive(Debug)]
pub enum AnswerPart {
    /// The next bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Counts the body bytes that the caller's connection has consumed.
#[derive(Debug, Default)]
pub struct DeliveryCounter {
    delivered: AtomicU64,
    changed: Notify,
}

impl DeliveryCounter {
    /// Returns the total number of bytes consumed.
    #[must_use]
    pub fn delivered(&self) -> u64 {
        self.delivered.load(Ordering::Acquire)
    }

    /// Waits until more bytes are consumed than at the last call.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

/// Body of a response. It ends with an error if the answer was not completed, so that the
/// connection is closed and the caller doesn't mistake a truncated response for a complete one.
#[derive(Debug)]
pub struct CallerBody {
    parts: mpsc::UnboundedReceiver<AnswerPart>,
    counter: Arc<DeliveryCounter>,
    ended: bool,
}

/// Creates a body together with its sender and delivery counter.
#[must_use]
pub fn channel() -> (
    mpsc::UnboundedSender<AnswerPart>,
    Arc<DeliveryCounter>,
    CallerBody,
) {
    let (sender, parts) = mpsc::unbounded_channel();
    let counter = Arc::new(DeliveryCounter::default());
    let body = CallerBody {
        parts,
        counter: counter.clone(),
        ended: false,
    };
    (sender, counter, body)
}

impl body::Body for CallerBody {
    type Data = Bytes;
    type Error = errors::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let part = std::task::ready!(self.parts.poll_recv(context));
        Poll::Ready(match part {
            Some(AnswerPart::Data(data)) => {
                let length = data.len() as u64;
                self.counter.delivered.fetch_add(length, Ordering::AcqRel);
                self.counter.changed.notify_one();
                Some(Ok(body::Frame::data(data)))
            }
            Some(AnswerPart::End) => {
                self.ended = true;
                None
            }
            None => {
                self.ended = true;
                Some(Err(errors::BodyError::Broken))
            }
        })
    }
}
