//! The answer on its way to a caller. Parts wait here while the caller is slow; how much waits is
//! bounded by the agent, which sends no more than 256 KiB that the caller hasn't taken.

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

/// An `AnswerPart` is a part of an answer.
#[derive(Debug)]
pub enum AnswerPart {
    /// Bytes.
    Data(Bytes),
    /// The answer is complete.
    End,
}

/// A `DeliveryGauge` counts the bytes that the caller's connection has taken.
#[derive(Debug, Default)]
pub struct DeliveryGauge {
    taken: AtomicU64,
    changed: Notify,
}

impl DeliveryGauge {
    /// Returns the bytes taken in all.
    #[must_use]
    pub fn taken(&self) -> u64 {
        self.taken.load(Ordering::Acquire)
    }

    /// Waits until more bytes were taken since the last call.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

/// A `CallerBody` is the body of an answer. It ends with an error if the answer was not completed,
/// so that the connection is cut and the caller doesn't take a part for the whole.
#[derive(Debug)]
pub struct CallerBody {
    parts: mpsc::UnboundedReceiver<AnswerPart>,
    gauge: Arc<DeliveryGauge>,
    ended: bool,
}

/// Builds a body together with its sending half and its gauge.
#[must_use]
pub fn channel() -> (
    mpsc::UnboundedSender<AnswerPart>,
    Arc<DeliveryGauge>,
    CallerBody,
) {
    let (sender, parts) = mpsc::unbounded_channel();
    let gauge = Arc::new(DeliveryGauge::default());
    let body = CallerBody {
        parts,
        gauge: gauge.clone(),
        ended: false,
    };
    (sender, gauge, body)
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
                self.gauge.taken.fetch_add(length, Ordering::AcqRel);
                self.gauge.changed.notify_one();
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
