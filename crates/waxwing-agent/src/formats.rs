//! The wire format of endpoints: how a request becomes a call, and how the bytes of the call
//! become the answer of the caller. Only this module knows the chat format.
//!
//! A chat answer is always read as a stream from the engine, also where the caller asked for one
//! object, so that tokens are counted as they come and the generation can be suspended.

use bytes::{Bytes, BytesMut};
use serde_json::{Map, Value, json};
use waxwing_core::prompts;
use waxwing_wire::messages;

/// The path of chat requests.
const CHAT_PATH: &str = "/v1/chat/completions";

/// The longest event of a stream in bytes; a longer one ends the answer as failed.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Fields that ask for more than one plain text; such a call is passed through as it is.
const UNSUPPORTED_FIELDS: [&str; 4] = ["tools", "functions", "logprobs", "response_format"];

/// A `CallFormat` says how the call of a request is made and read.
#[derive(Debug)]
pub enum CallFormat {
    /// A chat request whose answer is read as a stream of tokens.
    Chat(ChatCall),
    /// Any other request; its bytes pass unchanged.
    Plain(Bytes),
}

impl CallFormat {
    /// Recognises the format of a request.
    #[must_use]
    pub fn of(handover: &messages::Handover) -> Self {
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

    /// Tells whether the call can be stopped and started again at a token.
    #[must_use]
    pub fn can_resume(&self) -> bool {
        matches!(self, Self::Chat(_))
    }
}

/// A `ChatCall` is a chat request whose answer the agent understands.
#[derive(Debug)]
pub struct ChatCall {
    fields: Map<String, Value>,
    streams: bool,
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
        let streams = fields.get("stream").and_then(Value::as_bool);
        Some(Self {
            hashes: prompts::block_hashes(&text),
            streams: streams.unwrap_or(false),
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

    /// Tells whether the caller asked for a stream.
    #[must_use]
    pub fn streams(&self) -> bool {
        self.streams
    }

    /// Returns the chained hashes of the prompt's blocks.
    #[must_use]
    pub fn hashes(&self) -> &[u64] {
        &self.hashes
    }
}

/// Builds the canonical text of a chat; parts that are no text are left out.
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

/// A `ChatUsage` is what the engine says a run used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ChatUsage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
}

/// A `ChatStep` is what one piece of a stream added.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ChatStep {
    /// Bytes for the caller.
    pub data: Vec<u8>,
    /// Tokens that arrived.
    pub tokens: u64,
    /// The usage, where this piece told it.
    pub usage: Option<ChatUsage>,
    /// Whether the stream said that it is complete.
    pub done: bool,
    /// Whether the stream can't be read.
    pub broken: bool,
}

/// A `ChatReader` reads the streams of all runs of one request into one answer.
#[derive(Debug, Default)]
pub struct ChatReader {
    streams: bool,
    partial: BytesMut,
    resumed: bool,
    done: bool,
    content: String,
    template: Option<Map<String, Value>>,
    finish_reason: Option<Value>,
    usage: Option<Value>,
}

impl ChatReader {
    /// Builds a reader; `streams` says whether the caller gets events or one object.
    #[must_use]
    pub fn new(streams: bool) -> Self {
        Self {
            streams,
            ..Self::default()
        }
    }

    /// Begins a resumed run. Half an event of the stopped run is dropped, since the resumed one
    /// repeats that token.
    pub fn begin_resumed(&mut self) {
        self.partial.clear();
        self.resumed = true;
    }

    /// Reads a piece of the stream.
    pub fn read(&mut self, data: &[u8]) -> ChatStep {
        let mut step = ChatStep::default();
        if self.done {
            return step;
        }
        self.partial.extend_from_slice(data);
        while let Some(length) = event_length(&self.partial) {
            let event = self.partial.split_to(length);
            self.read_event(&event, &mut step);
        }
        step.broken |= self.partial.len() > MAX_EVENT_BYTES;
        step
    }

    fn read_event(&mut self, event: &[u8], step: &mut ChatStep) {
        let Some(data) = event_data(event) else {
            return;
        };
        if data == "[DONE]" {
            self.done = true;
            step.done = true;
            match self.streams {
                true => step.data.extend_from_slice(event),
                false => step.data.extend_from_slice(&self.assemble()),
            }
            return;
        }
        let Ok(Value::Object(fields)) = serde_json::from_str(&data) else {
            step.broken = true;
            return;
        };
        if fields.contains_key("error") {
            step.broken = true;
            return;
        }
        let told = self.read_fields(fields, step);
        // A resumed run opens with its own role event, which the caller has seen already.
        if self.streams && (told || !self.resumed) {
            step.data.extend_from_slice(event);
        }
    }

    /// Takes the fields of an event over; returns whether it told anything but a beginning.
    fn read_fields(&mut self, mut fields: Map<String, Value>, step: &mut ChatStep) -> bool {
        let usage = fields.remove("usage").filter(|usage| !usage.is_null());
        step.usage = usage.as_ref().map(read_usage).or(step.usage);
        let choice = fields.get("choices").and_then(|choices| choices.get(0));
        let content = choice
            .and_then(|choice| choice.get("delta")?.get("content")?.as_str())
            .unwrap_or_default();
        let reason = choice.and_then(|choice| choice.get("finish_reason"));
        let reason = reason.filter(|reason| !reason.is_null()).cloned();
        let told = !content.is_empty() || reason.is_some() || usage.is_some();
        step.tokens += u64::from(!content.is_empty());
        if !self.streams {
            self.content.push_str(content);
            fields.remove("choices");
            self.template.get_or_insert(fields);
            self.finish_reason = reason.or(self.finish_reason.take());
            self.usage = usage.or(self.usage.take());
        }
        told
    }

    /// Builds the one object that a caller without a stream expects.
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

/// Returns the length of the first whole event, with the blank line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let lines = bytes.windows(2).position(|pair| pair == b"\n\n");
    let returns = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    match (lines, returns) {
        (Some(line), Some(first)) if first < line => Some(first + 4),
        (Some(line), _) => Some(line + 2),
        (None, Some(first)) => Some(first + 4),
        (None, None) => None,
    }
}

/// Joins the data lines of an event; comments and other fields have none.
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

/// Returns the headers of an answer that the caller gets from a chat call.
#[must_use]
pub fn chat_headers(streams: bool) -> Vec<messages::HeaderField> {
    let value: &[u8] = match streams {
        true => b"text/event-stream",
        false => b"application/json",
    };
    vec![messages::HeaderField {
        name: "content-type".to_owned(),
        value: value.to_vec(),
    }]
}
