//! Request files of the examples: the calls that the demo sends and the answers that it expects.

use std::collections::BTreeMap;

use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use waxwing_core::{ids, prompts};
use waxwing_standin::{answers, callers, registers};

/// The request file of one deployment.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestFile {
    /// Bearer tokens by account; for development only.
    pub tokens: BTreeMap<ids::AccountName, SmolStr>,
    /// The samples to send.
    pub requests: Vec<RequestSample>,
}

/// A request that is sent a number of times; either `chat` or `record` is given.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestSample {
    /// A name to print.
    pub name: SmolStr,
    /// The client account that sends it.
    pub account: ids::AccountName,
    /// The tier that it asks for.
    pub tier: ids::TierName,
    /// How often it is sent, each time with another number in its text.
    pub times: u32,
    /// A chat completion of a model.
    #[serde(default)]
    pub chat: Option<ChatSample>,
    /// A call to a plain service that makes a record.
    #[serde(default)]
    pub record: Option<RecordSample>,
}

/// A chat completion request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChatSample {
    /// The name of the model.
    pub model: ids::ModelName,
    /// The most output tokens to generate.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The text of the user's message.
    pub content: String,
    /// Length of a document before the text, in tokens; it is the same one each time.
    #[serde(default)]
    pub padding_tokens: usize,
}

/// A non-idempotent call to a plain service, which makes a record.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordSample {
    /// The path of the URL.
    pub path: SmolStr,
    /// The prefix of the idempotency key.
    pub key: SmolStr,
    /// Whether the call is sent twice with one key, as an application does that got no answer.
    #[serde(default)]
    pub resend: bool,
    /// The JSON body; the idempotency key is added to it as `reference`.
    pub body: Value,
}

/// One call of a sample, with its expected answer.
#[derive(Debug, Clone)]
pub struct SampleCall {
    /// The name of the sample and the number of the call.
    pub name: SmolStr,
    /// The tier that it asks for.
    pub tier: ids::TierName,
    /// The HTTP request to send.
    pub spec: callers::CallSpec,
    /// Whether the call is sent twice.
    pub resend: bool,
    /// The expected answer.
    pub expected: SampleAnswer,
}

/// The expected answer of a call.
#[derive(Debug, Clone)]
pub enum SampleAnswer {
    /// The text of a streamed chat.
    Stream(String),
    /// The text of a chat that is not streamed.
    Complete(String),
    /// The body of a register's answer, and the name under which the register counts the record.
    Record(String, SmolStr),
}

impl SampleAnswer {
    /// Tells whether an answer is complete and equals the expected one.
    #[must_use]
    pub fn is_satisfied_by(&self, answer: &callers::CallAnswer) -> bool {
        let chat_matches = |parsed: callers::ParsedChat, text: &str| {
            parsed.done && !parsed.failed && parsed.text == text
        };
        let matches = match self {
            Self::Stream(text) => {
                chat_matches(callers::ParsedChat::from_stream(&answer.body), text)
            }
            Self::Complete(text) => {
                chat_matches(callers::ParsedChat::from_body(&answer.body), text)
            }
            Self::Record(body, _) => answer.body == body.as_bytes(),
        };
        callers::is_success_status(answer.status) && answer.ended && matches
    }
}

impl RequestFile {
    /// Returns all calls of the file. `run` is part of every idempotency key: with a data folder that
    /// is kept, the control hosts still know the keys of earlier runs.
    #[must_use]
    pub fn calls(&self, run: &str) -> Vec<SampleCall> {
        let samples = self.requests.iter();
        let calls = samples.flat_map(|sample| {
            (0..sample.times).filter_map(|number| self.call(sample, number, run))
        });
        calls.collect()
    }

    fn call(&self, sample: &RequestSample, number: u32, run: &str) -> Option<SampleCall> {
        let token = self.tokens.get(&sample.account)?;
        let mut headers = vec![
            ("authorization", format!("Bearer {token}")),
            ("x-tier", sample.tier.to_string()),
        ];
        let (path, body, expected) = match (&sample.chat, &sample.record) {
            (Some(chat), _) => chat_call(chat, number),
            (None, Some(record)) => {
                let key = format!("{}-{run}-{number}", record.key);
                headers.push(("idempotency-key", key.clone()));
                record_call(record, &key)
            }
            (None, None) => return None,
        };
        Some(SampleCall {
            name: format_smolstr!("{} #{}", sample.name, number + 1),
            tier: sample.tier.clone(),
            resend: sample.record.as_ref().is_some_and(|record| record.resend),
            spec: callers::CallSpec {
                method: Method::POST,
                path,
                headers,
                body: Bytes::from(body),
            },
            expected,
        })
    }
}

fn chat_call(chat: &ChatSample, number: u32) -> (SmolStr, String, SampleAnswer) {
    let bytes = chat.padding_tokens * prompts::TOKEN_BYTES;
    let mut content: String = chat.content.chars().cycle().take(bytes).collect();
    content.push_str(&format!("\n{} ({number})", chat.content));
    let mut prompt = String::new();
    prompts::push_message(&mut prompt, "user", &content);
    let text = answers::expected_text(chat.model.as_str(), &prompt, Some(chat.max_tokens));
    let body = json!({
        "model": chat.model,
        "messages": [{ "role": "user", "content": content }],
        "max_tokens": chat.max_tokens,
        "stream": chat.stream,
    });
    let expected = if chat.stream {
        SampleAnswer::Stream(text)
    } else {
        SampleAnswer::Complete(text)
    };
    (
        SmolStr::new_static("/v1/chat/completions"),
        body.to_string(),
        expected,
    )
}

fn record_call(record: &RecordSample, key: &str) -> (SmolStr, String, SampleAnswer) {
    let mut body = record.body.clone();
    if let Some(fields) = body.as_object_mut() {
        fields.insert("reference".to_owned(), json!(key));
    }
    let body = body.to_string();
    let kind = record.path.rsplit('/').next().unwrap_or_default();
    let name = registers::record_name(kind, &answers::record_id(body.as_bytes()));
    let expected = answers::expected_record(kind, body.as_bytes());
    (
        record.path.clone(),
        body,
        SampleAnswer::Record(expected, name),
    )
}
