//! The OpenAI-compatible chat protocol of model engines: parsing of requests and formatting of
//! answers. No other module of the server side depends on the format.

use std::fmt::Write as _;

use serde::Deserialize;
use smol_str::{SmolStr, ToSmolStr as _};
use waxwing_core::prompts;

use crate::{answers, errors, simulation};

/// The body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: SmolStr,
    /// The messages of the conversation, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Limit of output tokens.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u64>,
    /// Number of output tokens that an earlier run has already delivered.
    #[serde(default)]
    pub resume_tokens: u64,
}

/// A message of a chat.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatMessage {
    /// Role of the author, such as `user`.
    pub role: String,
    /// Content of the message.
    pub content: ChatContent,
}

/// Content of a message: plain text or a list of parts.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum ChatContent {
    /// Plain text.
    Text(String),
    /// Parts whose texts are concatenated.
    Parts(Vec<ChatPart>),
}

/// A part of a message.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatPart {
    /// Text of the part; empty for parts of other types.
    #[serde(default)]
    pub text: String,
}

/// Parses the body of a chat request.
///
/// # Errors
/// Fails if the body is not a chat request.
pub fn parse_request(body: &[u8]) -> Result<ChatRequest, errors::ChatError> {
    serde_json::from_slice(body).map_err(|error| errors::ChatError::Malformed(error.to_smolstr()))
}

impl ChatRequest {
    /// Returns the canonical prompt, on which token estimates and block hashes are based.
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

    /// Returns the request in the form that is submitted to an engine.
    #[must_use]
    pub fn to_sequence(&self, id: SmolStr) -> simulation::SequenceSpec {
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

/// Formats the answer to one request.
#[derive(Debug, Clone)]
pub struct ChatFormatter {
    /// Request id.
    pub id: SmolStr,
    /// Name of the model.
    pub model: SmolStr,
    /// Seed of the output.
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

impl ChatFormatter {
    /// Appends one output token as a server-sent event.
    pub fn push_token(&self, text: &mut String, index: u64) {
        self.push_event_head(text);
        text.push_str("\"choices\":[{\"index\":0,\"delta\":{\"content\":\"");
        answers::push_token(text, self.seed, index);
        text.push_str("\"},\"finish_reason\":null}]}\n\n");
    }

    /// Appends the last event, with the usage, and the end marker.
    pub fn push_end(&self, text: &mut String, usage: &simulation::TokenUsage) {
        self.push_event_head(text);
        text.push_str("\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],");
        write_usage(text, usage);
        text.push_str("}\n\ndata: [DONE]\n\n");
    }

    /// Returns an answer that is not streamed, starting at output token `from`, as JSON.
    #[must_use]
    pub fn format_body(&self, from: u64, usage: &simulation::TokenUsage) -> String {
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

    fn push_event_head(&self, text: &mut String) {
        let _ = write!(
            text,
            "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"model\":\"{}\",",
            self.id, self.model,
        );
    }
}
