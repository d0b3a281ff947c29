//! Response bodies of the stand-ins: complete ones, and streams of server-sent events that stall
//! without ending when the connection was silenced.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    body::{Body, Frame},
    header,
};
use serde::Serialize;
use waxwing_core::clock::Clock;

use crate::{chats, engines, faults, simulation};

/// The body of a stand-in's response.
#[derive(Debug)]
pub enum ReplyBody<C: Clock> {
    /// A complete body, sent in one frame.
    Complete(Option<Bytes>),
    /// A stream of server-sent events.
    Events(Box<EventBody<C>>),
}

/// The output of one request as a stream of server-sent events.
#[derive(Debug)]
pub struct EventBody<C: Clock> {
    /// Progress of the request.
    pub stream: engines::SequenceStream<C>,
    /// Formats the events.
    pub format: chats::ChatFormatter,
    /// Number of the connection.
    pub connection: u64,
    /// The faults, which may silence the connection.
    pub faults: faults::FaultSwitch,
}

impl<C: Clock> EventBody<C> {
    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.faults.is_silent(self.connection) {
            return Poll::Pending;
        }
        let progress = std::task::ready!(self.stream.progress.poll_recv(context));
        if self.faults.is_silent(self.connection) {
            return Poll::Pending;
        }
        let mut text = String::new();
        match progress {
            Some(simulation::StepProgress::Token(index)) => {
                self.format.push_token(&mut text, index)
            }
            Some(simulation::StepProgress::Done(usage)) => self.format.push_end(&mut text, &usage),
            None => return Poll::Ready(None),
        }
        Poll::Ready(Some(Bytes::from(text)))
    }
}

impl<C: Clock> Body for ReplyBody<C> {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let data = match self.get_mut() {
            Self::Complete(data) => data.take(),
            Self::Events(events) => std::task::ready!(events.poll_event(context)),
        };
        Poll::Ready(data.map(|data| Ok(Frame::data(data))))
    }
}

/// Returns a response with a JSON text as body.
pub fn json_text<C: Clock>(status: StatusCode, text: String) -> Response<ReplyBody<C>> {
    let mut response = Response::new(ReplyBody::Complete(Some(Bytes::from(text))));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns a response with a value serialised as JSON.
pub fn json<C: Clock>(status: StatusCode, value: &impl Serialize) -> Response<ReplyBody<C>> {
    let text = serde_json::to_string(value).unwrap_or_default();
    json_text(status, text)
}

/// Returns a refusal with an error message as JSON.
pub fn refusal<C: Clock>(status: StatusCode, reason: &str) -> Response<ReplyBody<C>> {
    json(
        status,
        &serde_json::json!({ "error": { "message": reason } }),
    )
}

/// Returns a response with a stream of server-sent events.
pub fn events<C: Clock>(body: EventBody<C>) -> Response<ReplyBody<C>> {
    let mut response = Response::new(ReplyBody::Events(Box::new(body)));
    let kind = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
