//! The deterministic output of simulated models. It is a pure function of the model and the prompt,
//! so the load tool can compute every answer in advance and detect one that is truncated, mixed up
//! or delivered to another caller.

use waxwing_core::prompts;
use xxhash_rust::xxh3;

/// Limit of output tokens for a request without one.
pub const DEFAULT_MAX_TOKENS: u64 = 64;

/// Returns the seed from which all output tokens for a prompt are generated.
#[must_use]
pub fn answer_seed(model: &str, prompt: &str) -> u64 {
    xxh3::xxh3_64_with_seed(prompt.as_bytes(), xxh3::xxh3_64(model.as_bytes()))
}

/// Returns the number of output tokens, from half of the limit to the limit. Real models often stop
/// before the limit, so the schedulers' estimates must tolerate that.
#[must_use]
pub fn answer_tokens(seed: u64, max_tokens: Option<u64>) -> u64 {
    let limit = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
    limit - seed % (limit / 2 + 1)
}

/// Appends the output token with the given index. Three letters and a space give it
/// [`prompts::TOKEN_BYTES`] bytes.
pub fn push_token(text: &mut String, seed: u64, index: u64) {
    let hash = xxh3::xxh3_64_with_seed(&index.to_le_bytes(), seed);
    for letter in hash.to_le_bytes().iter().take(prompts::TOKEN_BYTES - 1) {
        text.push(char::from(b'a' + letter % 26));
    }
    text.push(' ');
}

/// Returns the text of the output tokens `from..until`.
#[must_use]
pub fn token_range(seed: u64, from: u64, until: u64) -> String {
    let mut text = String::new();
    for index in from..until {
        push_token(&mut text, seed, index);
    }
    text
}

/// Returns the complete answer to a canonical prompt.
#[must_use]
pub fn expected_text(model: &str, prompt: &str, max_tokens: Option<u64>) -> String {
    let seed = answer_seed(model, prompt);
    token_range(seed, 0, answer_tokens(seed, max_tokens))
}

/// Returns the id under which a register stores a body, a hash of it in hexadecimal.
#[must_use]
pub fn record_id(body: &[u8]) -> String {
    format!("{:016x}", xxh3::xxh3_64(body))
}

/// Returns the complete answer of a register to a body that it has recorded, as JSON.
#[must_use]
pub fn expected_record(kind: &str, body: &[u8]) -> String {
    let id = record_id(body);
    let bytes = body.len();
    format!("{{\"recorded\":\"{kind}\",\"id\":\"{id}\",\"bytes\":{bytes}}}")
}
