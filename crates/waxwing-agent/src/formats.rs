//! The HTTP formats of endpoints: converts a request into a call, and the bytes of the response
//! into the answer for the caller. Only this module knows the chat format.
//!
//! Chat answers are always streamed from the engine, even if the caller asked for a single object,
//! so that tokens are counted as they arrive and the generation can be suspended.

use bytes::{Bytes, BytesMut};
use serde_json::{Map, Value, json};
use waxwing_core::prompts;
use waxwing_wire::messages;

/// The path of chat requests.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Maximum length of a stream event in bytes; the answer fails if an event is longer.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Request fields whose answer is more than plain text; such a request is passed through unchanged.
const UNSUPPORTED_FIELDS: [&str; 4] = ["tools", "functions", "logprobs", "response_format"];

/// How a request is sent to the endpoint and its response is read.
#[derive(Debug)]
pub enum CallFormat {
    /// A chat request whose answer is read as a stream of tokens.
    Chat(ChatCall),
    /// Any other request; its bytes pass unchanged.
    Plain(Bytes),
}

impl CallFormat {
    /// Detects the format of a request.
    #[must_use]
    pub fn detect(handover: &messages::Handover) -> Self {
        let path = handover.path.split('?').next().unwrap_or_default();
        let chat = (handover.method == "POST" && path == CHAT_PATH)
            .then(|| ChatCall::parse(&handover.body))
            .flatten();
        chat.map_or_else(|| Self::Plain(handover.body.clone()), Self::Chat)
    }

    /// Returns the body of a call that starts at output token `resume`.
    #[must_use]
    pub fn body(&self, resume: u64) -> Bytes {
        match self {
            Self::Chat(call) => call.body(resume),
            Self::Plain(body) => body.clone(),
        }
    }

    /// Returns whether the call can be stopped, and resumed at a token.
    #[must_use]
    pub fn can_resume(&self) -> bool {
        matches!(self, Self::Chat(_))
    }
}

/// A chat request with a single plain-text answer, which the agent can stream and resume.
#[derive(Debug)]
pub struct ChatCall {
    fields: Map<String, Value>,
    streaming: bool,
    hashes: Vec<u64>,
}

impl ChatCall {
    fn parse(body: &[u8]) -> Option<Self> {
        let Value::Object(fields) = serde_json::from_slice(body).ok()? else {
            return None;
        };
        let choices = fields.get("n").and_then(Value::as_u64).unwrap_or(1);
        let unsupported = UNSUPPORTED_FIELDS
            .iter()
            .any(|field| fields.get(*field).is_some_and(|value| !value.is_null()));
        if choices != 1 || unsupported {
            return None;
        }
        let text = canonical_text(&fields)?;
        let streaming = fields.get("stream").and_then(Value::as_bool);
        Some(Self {
            hashes: prompts::block_hashes(&text),
            streaming: streaming.unwrap_or(false),
            fields,
        })
    }

    fn body(&self, resume: u64) -> Bytes {
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), Value::Bool(true));
        if resume > 0 {
            fields.insert("resume_tokens".to_owned(), json!(resume));
        }
        Bytes::from(Value::Object(fields).to_string())
    }

    /// Returns whether the caller asked for a stream.
    #[must_use]
    pub fn wants_stream(&self) -> bool {
        self.streaming
    }

    /// Returns the chained hashes of the prompt's blocks.
    #[must_use]
    pub fn hashes(&self) -> &[u64] {
        &self.hashes
    }
}

/// Builds the canonical prompt text of a chat; content parts other than text are left out.
fn canonical_text(fields: &Map<String, Value>) -> Option<String> {
    let mut text = String::new();
    for message in fields.get("messages")?.as_array()? {
        let role = message.get("role")?.as_str()?;
        match message.get("content") {
            Some(Value::String(content)) => prompts::push_message(&mut text, role, content),
            Some(Value::Array(parts)) => {
                let texts = parts.iter().filter_map(|part| part.get("text")?.as_str());
                prompts::push_message(&mut text, role, &texts.collect::<String>());
            }
            _ => prompts::push_message(&mut text, role, ""),
        }
    }
    Some(text)
}

/// The token usage of a run, as reported by the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ChatUsage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
}

/// The result of parsing one piece of a stream.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ParsedChunk {
    /// Bytes for the caller.
    pub data: Vec<u8>,
    /// Number of tokens in this piece.
    pub tokens: u64,
    /// The usage, if this piece contained it.
    pub usage: Option<ChatUsage>,
    /// Whether the stream ended with its end marker `[DONE]`.
    pub done: bool,
    /// Whether the stream is malformed or contains an error.
    pub broken: bool,
}

/// Combines the streams of all runs of one request into one answer.
#[derive(Debug, Default)]
pub struct ChatReader {
    streaming: bool,
    partial: BytesMut,
    resumed: bool,
    done: bool,
    content: String,
    template: Option<Map<String, Value>>,
    finish_reason: Option<Value>,
    usage: Option<Value>,
}

impl ChatReader {
    /// Creates a reader; with `streaming` the caller gets events, otherwise a single object.
    #[must_use]
    pub fn new(streaming: bool) -> Self {
        Self {
            streaming,
            ..Self::default()
        }
    }

    /// Starts a resumed run. A partial event of the stopped run is dropped, since the resumed one
    /// repeats that token.
    pub fn begin_resumed(&mut self) {
        self.partial.clear();
        self.resumed = true;
    }

    /// Parses a piece of the stream, which may end in the middle of an event.
    pub fn read(&mut self, data: &[u8]) -> ParsedChunk {
        let mut chunk = ParsedChunk::default();
        if self.done {
            return chunk;
        }
        self.partial.extend_from_slice(data);
        while let Some(length) = event_length(&self.partial) {
            let event = self.partial.split_to(length);
            self.read_event(&event, &mut chunk);
        }
        chunk.broken |= self.partial.len() > MAX_EVENT_BYTES;
        chunk
    }

    fn read_event(&mut self, event: &[u8], chunk: &mut ParsedChunk) {
        let Some(data) = event_data(event) else {
            return;
        };
        if data == "[DONE]" {
            self.done = true;
            chunk.done = true;
            match self.streaming {
                true => chunk.data.extend_from_slice(event),
                false => chunk.data.extend_from_slice(&self.assemble()),
            }
            return;
        }
        let Ok(Value::Object(fields)) = serde_json::from_str(&data) else {
            chunk.broken = true;
            return;
        };
        if fields.contains_key("error") {
            chunk.broken = true;
            return;
        }
        let has_payload = self.read_fields(fields, chunk);
        // A resumed run starts with another role event, which the caller has already received.
        if self.streaming && (has_payload || !self.resumed) {
            chunk.data.extend_from_slice(event);
        }
    }

    /// Processes the fields of an event; returns whether it has content, a finish reason or usage.
    fn read_fields(&mut self, mut fields: Map<String, Value>, chunk: &mut ParsedChunk) -> bool {
        let usage = fields.remove("usage").filter(|usage| !usage.is_null());
        chunk.usage = usage.as_ref().map(read_usage).or(chunk.usage);
        let choice = fields.get("choices").and_then(|choices| choices.get(0));
        let content = choice
            .and_then(|choice| choice.get("delta")?.get("content")?.as_str())
            .unwrap_or_default();
        let reason = choice.and_then(|choice| choice.get("finish_reason"));
        let reason = reason.filter(|reason| !reason.is_null()).cloned();
        let has_payload = !content.is_empty() || reason.is_some() || usage.is_some();
        chunk.tokens += u64::from(!content.is_empty());
        if !self.streaming {
            self.content.push_str(content);
            fields.remove("choices");
            self.template.get_or_insert(fields);
            self.finish_reason = reason.or(self.finish_reason.take());
            self.usage = usage.or(self.usage.take());
        }
        has_payload
    }

    /// Builds the single object for a caller that did not ask for a stream.
    fn assemble(&mut self) -> Bytes {
        let mut fields = self.template.take().unwrap_or_default();
        fields.insert("object".to_owned(), json!("chat.completion"));
        let message = json!({"role": "assistant", "content": std::mem::take(&mut self.content)});
        let reason = self.finish_reason.take().unwrap_or(json!("stop"));
        let choice = json!({"index": 0, "message": message, "finish_reason": reason});
        fields.insert("choices".to_owned(), json!([choice]));
        if let Some(usage) = self.usage.take() {
            fields.insert("usage".to_owned(), usage);
        }
        Bytes::from(Value::Object(fields).to_string())
    }
}

/// Returns the length of the first complete event, including the blank line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let lines = bytes.windows(2).position(|pair| pair == b"\n\n");
    let crlf = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    match (lines, crlf) {
        (Some(line), Some(first)) if first < line => Some(first + 4),
        (Some(line), _) => Some(line + 2),
        (None, Some(first)) => Some(first + 4),
        (None, None) => None,
    }
}

/// Joins the data lines of an event; `None` if it has none, as comments and other fields.
fn event_data(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let data: Vec<_> = lines.map(str::trim).collect();
    (!data.is_empty()).then(|| data.join("\n"))
}

fn read_usage(usage: &Value) -> ChatUsage {
    let number = |value: Option<&Value>| value.and_then(Value::as_u64).unwrap_or(0);
    let details = usage.get("prompt_tokens_details");
    ChatUsage {
        prompt_tokens: number(usage.get("prompt_tokens")),
        cached_tokens: number(details.and_then(|details| details.get("cached_tokens"))),
    }
}

/// Returns the response headers of a chat answer for the caller.
#[must_use]
pub fn chat_headers(streaming: bool) -> Vec<messages::HeaderField> {
    let value: &[u8] = match streaming {
        true => b"text/event-stream",
        false => b"application/json",
    };
    vec![messages::HeaderField {
        name: "content-type".to_owned(),
        value: value.to_vec(),
    }]
}
