//! A stand-in caller: one HTTP/1.1 call on a connection of its own, with the times at which the
//! parts of the answer arrive.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, StatusCode, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::{net, sync::mpsc};
use waxwing_core::clock::Clock;

use crate::errors;

/// A `CallSpec` is one call to make.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: SmolStr,
    /// Headers besides those of the body.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

/// A `CallAnswer` is what came back.
#[derive(Debug, Clone, Default)]
pub struct CallAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The request id that the entry gave.
    pub request_id: SmolStr,
    /// The body, or all that came of it.
    pub body: Vec<u8>,
    /// Whether the body came to its end by the rules of HTTP.
    pub ended: bool,
    /// Time from the call to the first bytes of the body.
    pub first_byte: Option<Duration>,
    /// Time from the call to its end.
    pub total: Duration,
    /// The arrival of each part of the body.
    pub parts: Vec<AnswerPart>,
}

/// An `AnswerPart` is a part of the body that arrived at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerPart {
    /// Time from the call to the arrival.
    pub at: Duration,
    /// Where the part ends in the body.
    pub end: usize,
}

impl CallAnswer {
    /// Returns the time to the first part that holds output text, for a streamed chat.
    #[must_use]
    pub fn first_token(&self) -> Option<Duration> {
        const MARK: &[u8] = b"\"content\":\"";
        let found = self
            .body
            .windows(MARK.len())
            .position(|text| text == MARK)?;
        let part = self.parts.iter().find(|part| part.end > found)?;
        Some(part.at)
    }
}

/// Makes one call and returns what came, whole or not.
///
/// # Errors
/// Fails if no response head arrives.
pub async fn call<C: Clock>(
    entry: SocketAddr,
    spec: CallSpec,
    clock: &C,
    watcher: Option<mpsc::UnboundedSender<Bytes>>,
) -> Result<CallAnswer, errors::CallError> {
    let started = clock.now();
    let stream = net::TcpStream::connect(entry).await;
    let stream = stream.map_err(errors::CallError::Connect)?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let guard = DriverGuard(driver.abort_handle());
    let response = sender.send_request(build_request(entry, spec)?).await?;
    let mut answer = CallAnswer {
        status: response.status().as_u16(),
        request_id: header_text(&response, "x-request-id"),
        ..CallAnswer::default()
    };
    read_body(response.into_body(), &mut answer, started, clock, watcher).await;
    answer.total = clock.now().saturating_duration_since(started);
    drop(guard);
    Ok(answer)
}

/// Ends the connection when the caller stops waiting, as a caller that goes away does.
struct DriverGuard(tokio::task::AbortHandle);

impl Drop for DriverGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn build_request(
    entry: SocketAddr,
    spec: CallSpec,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(spec.method)
        .uri(spec.path.as_str())
        .header(header::HOST, entry.to_string())
        .header(header::CONTENT_TYPE, "application/json");
    for (name, value) in spec.headers {
        request = request.header(name, value);
    }
    request.body(Full::new(spec.body))
}

fn header_text<B>(response: &hyper::Response<B>, name: &str) -> SmolStr {
    let value = response.headers().get(name);
    SmolStr::new(
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default(),
    )
}

async fn read_body<C: Clock>(
    mut body: hyper::body::Incoming,
    answer: &mut CallAnswer,
    started: Instant,
    clock: &C,
    watcher: Option<mpsc::UnboundedSender<Bytes>>,
) {
    loop {
        let frame = match body.frame().await {
            None => {
                answer.ended = true;
                return;
            }
            Some(Err(_)) => return,
            Some(Ok(frame)) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let since = clock.now().saturating_duration_since(started);
        answer.first_byte.get_or_insert(since);
        answer.body.extend_from_slice(&data);
        let end = answer.body.len();
        answer.parts.push(AnswerPart { at: since, end });
        if let Some(watcher) = &watcher {
            let _ = watcher.send(data);
        }
    }
}

/// A `ParsedChat` is the content of a streamed chat answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ParsedChat {
    /// The text.
    pub text: String,
    /// Whether the end mark came.
    pub done: bool,
    /// Whether an error event came.
    pub failed: bool,
    /// Prompt tokens from the usage.
    pub prompt_tokens: u64,
    /// Cached prompt tokens from the usage.
    pub cached_tokens: u64,
    /// The outcome named by an error event.
    pub outcome: SmolStr,
    /// The reason named by an error event.
    pub reason: SmolStr,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ChatEvent {
    choices: Vec<ChatChoice>,
    usage: Option<ChatUsage>,
    error: Option<ChatFailure>,
    outcome: SmolStr,
    reason: SmolStr,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ChatChoice {
    delta: ChatDelta,
    message: ChatDelta,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ChatDelta {
    content: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ChatUsage {
    prompt_tokens: u64,
    prompt_tokens_details: CachedDetails,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CachedDetails {
    cached_tokens: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ChatFailure {
    outcome: SmolStr,
    reason: SmolStr,
}

impl ParsedChat {
    /// Reads a streamed answer.
    #[must_use]
    pub fn of_stream(body: &[u8]) -> Self {
        let text = String::from_utf8_lossy(body);
        let mut reading = Self::default();
        for line in text.lines() {
            match line.strip_prefix("data:").map(str::trim) {
                Some("[DONE]") => reading.done = true,
                Some(data) => reading.read_event(data),
                None => reading.failed |= line.starts_with("event: error"),
            }
        }
        reading
    }

    /// Reads an answer that is not streamed.
    #[must_use]
    pub fn of_whole(body: &[u8]) -> Self {
        let mut reading = Self::default();
        reading.read_event(&String::from_utf8_lossy(body));
        reading.done = !reading.failed;
        reading
    }

    fn read_event(&mut self, data: &str) {
        let Ok(event) = serde_json::from_str::<ChatEvent>(data) else {
            self.failed = true;
            return;
        };
        for choice in event.choices {
            let content = choice.delta.content.or(choice.message.content);
            self.text.push_str(&content.unwrap_or_default());
        }
        if let Some(usage) = event.usage {
            self.prompt_tokens = usage.prompt_tokens;
            self.cached_tokens = usage.prompt_tokens_details.cached_tokens;
        }
        let failure = event.error.unwrap_or_default();
        self.failed |= !failure.outcome.is_empty() || !event.outcome.is_empty();
        for (field, values) in [
            (&mut self.outcome, [event.outcome, failure.outcome]),
            (&mut self.reason, [event.reason, failure.reason]),
        ] {
            if let Some(value) = values.into_iter().find(|value| !value.is_empty()) {
                *field = value;
            }
        }
    }
}

/// Tells whether a status stands for an answer and not for a refusal.
#[must_use]
pub fn is_answer(status: u16) -> bool {
    StatusCode::from_u16(status).is_ok_and(|status| status.is_success())
}
