//! The chat protocol of model engines: parsing of requests and formatting of answers. No other
//! module of the stand-in knows the OpenAI form.

use std::fmt::Write as _;

use serde::Deserialize;
use smol_str::{SmolStr, ToSmolStr as _};
use waxwing_core::prompts;

use crate::{answers, errors, simulation};

/// A `ChatRequest` is the body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: SmolStr,
    /// The messages so far.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Output tokens at most.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u64>,
    /// Output tokens that the caller already has.
    #[serde(default)]
    pub resume_tokens: u64,
}

/// A `ChatMessage` is one message of a chat.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatMessage {
    /// Who wrote it.
    pub role: String,
    /// Its text.
    pub content: ChatContent,
}

/// A `ChatContent` is plain text or a list of text parts.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum ChatContent {
    /// Plain text.
    Text(String),
    /// Parts that are read one after the other.
    Parts(Vec<ChatPart>),
}

/// A `ChatPart` is one text part of a message.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatPart {
    /// The text; empty for parts of another kind.
    #[serde(default)]
    pub text: String,
}

/// Parses a request.
///
/// # Errors
/// Fails if the body is not a chat request.
pub fn parse_request(body: &[u8]) -> Result<ChatRequest, errors::ChatError> {
    serde_json::from_slice(body).map_err(|error| errors::ChatError::Malformed(error.to_smolstr()))
}

impl ChatRequest {
    /// Returns the canonical prompt.
    #[must_use]
    pub fn canonical_prompt(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            match &message.content {
                ChatContent::Text(content) => {
                    prompts::push_message(&mut text, &message.role, content);
                }
                ChatContent::Parts(parts) => {
                    let content: String = parts.iter().map(|part| part.text.as_str()).collect();
                    prompts::push_message(&mut text, &message.role, &content);
                }
            }
        }
        text
    }

    /// Returns the request as an engine runs it.
    #[must_use]
    pub fn sequence(&self, id: SmolStr) -> simulation::SequenceSpec {
        let prompt = self.canonical_prompt();
        let seed = answers::answer_seed(&self.model, &prompt);
        let output_tokens = answers::answer_tokens(seed, self.max_tokens);
        simulation::SequenceSpec {
            id,
            prompt,
            seed,
            output_tokens,
            resume: self.resume_tokens.min(output_tokens),
        }
    }
}

/// A `ChatFormat` writes the answer to one request.
#[derive(Debug, Clone)]
pub struct ChatFormat {
    /// The request id.
    pub id: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The seed of the output.
    pub seed: u64,
}

fn write_usage(text: &mut String, usage: &simulation::TokenUsage) {
    let total = usage.prompt_tokens + usage.completion_tokens;
    let _ = write!(
        text,
        "\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{},\"total_tokens\":{total},\
         \"prompt_tokens_details\":{{\"cached_tokens\":{}}}}}",
        usage.prompt_tokens, usage.completion_tokens, usage.cached_tokens,
    );
}

impl ChatFormat {
    /// Writes one output token as a server-sent event.
    pub fn push_token(&self, text: &mut String, index: u64) {
        self.push_head(text);
        text.push_str("\"choices\":[{\"index\":0,\"delta\":{\"content\":\"");
        answers::push_token(text, self.seed, index);
        text.push_str("\"},\"finish_reason\":null}]}\n\n");
    }

    /// Writes the last event, with the usage, and the end mark.
    pub fn push_end(&self, text: &mut String, usage: &simulation::TokenUsage) {
        self.push_head(text);
        text.push_str("\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],");
        write_usage(text, usage);
        text.push_str("}\n\ndata: [DONE]\n\n");
    }

    /// Writes the answer that is not streamed; it starts at output token `from`.
    #[must_use]
    pub fn whole(&self, from: u64, usage: &simulation::TokenUsage) -> String {
        let content = answers::token_range(self.seed, from, usage.completion_tokens);
        let mut text = format!(
            "{{\"id\":\"{}\",\"object\":\"chat.completion\",\"model\":\"{}\",\"choices\":[{{\
             \"index\":0,\"message\":{{\"role\":\"assistant\",\"content\":\"{content}\"}},\
             \"finish_reason\":\"stop\"}}],",
            self.id, self.model,
        );
        write_usage(&mut text, usage);
        text.push('}');
        text
    }

    fn push_head(&self, text: &mut String) {
        let _ = write!(
            text,
            "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"model\":\"{}\",",
            self.id, self.model,
        );
    }
}
