//! Refusals by the entry itself, and the body type of all answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Response, StatusCode, body,
    http::{HeaderValue, header},
};
use tokio::sync::mpsc;
use waxwing_fleet::dialects;

use crate::{errors, unread};

/// Body of an answer to a caller.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// The complete body; `None` once it was sent.
    Whole(Option<Bytes>),
    /// A body that is streamed in chunks; an error aborts it.
    Chunks(mpsc::Receiver<Result<unread::HeldEvents, errors::RelayError>>),
}

impl AnswerBody {
    pub(crate) const fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }
}

impl body::Body for AnswerBody {
    type Data = Bytes;
    type Error = errors::RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, errors::RelayError>>> {
        match &mut *self {
            Self::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(body::Frame::data(bytes))))
            }
            Self::Chunks(chunks) => {
                let chunk = chunks.poll_recv(context);
                // The bytes count as unread until they are written to the caller's connection.
                chunk.map(|chunk| {
                    chunk.map(|events| events.map(|events| body::Frame::data(events.into_bytes())))
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Chunks(_) => false,
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                body::SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Self::Chunks(_) => body::SizeHint::default(),
        }
    }
}

/// Builds a refusal. `Retry-After` is given in seconds with three decimals.
pub(crate) fn refuse<D: dialects::RequestDialect>(
    dialect: &D,
    status: StatusCode,
    id: Option<&str>,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let (body, kind) = dialect.refusal(id, reason);
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    let seconds = retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
        headers.insert(header::RETRY_AFTER, value);
    }
    answer
}
