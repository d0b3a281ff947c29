//! A test client: it makes one HTTP/1.1 call on its own connection and records the times at which
//! the parts of the response arrive.

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

/// The request of a call.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: SmolStr,
    /// Headers in addition to `Host` and `Content-Type`, which is always JSON.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Bytes,
}

/// The response to a call, complete or not.
#[derive(Debug, Clone, Default)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Request id that the entry assigned; empty if there is none.
    pub request_id: SmolStr,
    /// Response body as far as it was received.
    pub body: Vec<u8>,
    /// Whether the body is complete by its HTTP framing.
    pub ended: bool,
    /// Time from the call to the first bytes of the body, if there were any.
    pub first_byte: Option<Duration>,
    /// Time from the call to the end of the response.
    pub total: Duration,
    /// Received parts of the body, in order.
    pub parts: Vec<AnswerPart>,
}

/// A part of the body that was received at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerPart {
    /// Time from the call to the arrival of the part.
    pub at: Duration,
    /// End of the part as an offset in the body, in bytes.
    pub end: usize,
}

impl CallAnswer {
    /// Returns the time from the call to the first part with output text of a streamed chat.
    #[must_use]
    pub fn first_token(&self) -> Option<Duration> {
        const CONTENT_KEY: &[u8] = b"\"content\":\"";
        let found = self
            .body
            .windows(CONTENT_KEY.len())
            .position(|text| text == CONTENT_KEY)?;
        let part = self.parts.iter().find(|part| part.end > found)?;
        Some(part.at)
    }
}

/// Makes one call and returns the response, complete or not. `part_sender` gets each part of the
/// body as it arrives.
///
/// # Errors
/// Fails if the connection can't be opened, the request is not valid HTTP, or no response head
/// arrives.
pub async fn call<C: Clock>(
    address: SocketAddr,
    spec: CallSpec,
    clock: &C,
    part_sender: Option<mpsc::UnboundedSender<Bytes>>,
) -> Result<CallAnswer, errors::CallError> {
    let started = clock.now();
    let stream = net::TcpStream::connect(address).await;
    let stream = stream.map_err(errors::CallError::Connect)?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection_task = tokio::spawn(connection);
    let guard = ConnectionGuard(connection_task.abort_handle());
    let response = sender.send_request(build_request(address, spec)?).await?;
    let mut answer = CallAnswer {
        status: response.status().as_u16(),
        request_id: header_text(&response, "x-request-id"),
        ..CallAnswer::default()
    };
    read_body(
        response.into_body(),
        &mut answer,
        started,
        clock,
        part_sender,
    )
    .await;
    answer.total = clock.now().saturating_duration_since(started);
    drop(guard);
    Ok(answer)
}

/// Closes the connection when the future of the call is dropped, as a client that disconnects does.
struct ConnectionGuard(tokio::task::AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn build_request(
    address: SocketAddr,
    spec: CallSpec,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(spec.method)
        .uri(spec.path.as_str())
        .header(header::HOST, address.to_string())
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
    part_sender: Option<mpsc::UnboundedSender<Bytes>>,
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
        let elapsed = clock.now().saturating_duration_since(started);
        answer.first_byte.get_or_insert(elapsed);
        answer.body.extend_from_slice(&data);
        let end = answer.body.len();
        answer.parts.push(AnswerPart { at: elapsed, end });
        if let Some(part_sender) = &part_sender {
            let _ = part_sender.send(data);
        }
    }
}

/// The content of a chat completion, streamed or not.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ParsedChat {
    /// Generated text.
    pub text: String,
    /// Whether the end marker of a stream was received, or an unstreamed answer is valid.
    pub done: bool,
    /// Whether an error or malformed data was received.
    pub failed: bool,
    /// Prompt tokens as reported in the usage.
    pub prompt_tokens: u64,
    /// Cached prompt tokens as reported in the usage.
    pub cached_tokens: u64,
    /// Outcome in the error, if any.
    pub outcome: SmolStr,
    /// Reason in the error, if any.
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
    /// Parses a streamed answer.
    #[must_use]
    pub fn from_stream(body: &[u8]) -> Self {
        let text = String::from_utf8_lossy(body);
        let mut parsed = Self::default();
        for line in text.lines() {
            match line.strip_prefix("data:").map(str::trim) {
                Some("[DONE]") => parsed.done = true,
                Some(data) => parsed.parse_event(data),
                None => parsed.failed |= line.starts_with("event: error"),
            }
        }
        parsed
    }

    /// Parses an answer that is not streamed.
    #[must_use]
    pub fn from_body(body: &[u8]) -> Self {
        let mut parsed = Self::default();
        parsed.parse_event(&String::from_utf8_lossy(body));
        parsed.done = !parsed.failed;
        parsed
    }

    fn parse_event(&mut self, data: &str) {
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

/// Returns whether a status is that of an answer (2xx) and not of a refusal.
#[must_use]
pub fn is_success_status(status: u16) -> bool {
    StatusCode::from_u16(status).is_ok_and(|status| status.is_success())
}
