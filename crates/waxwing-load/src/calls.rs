//! Builds the requests of planned calls and the answer that each must get.

use bytes::Bytes;
use hyper::Method;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use waxwing_core::prompts;
use waxwing_standin::{answers, callers, registers};

use crate::{
    arrivals::PlannedCall,
    experiments::{AccountPlan, CallPlan, ChatPlan, Experiment, RecordPlan, RequestClass},
};

/// The request of a planned call and its expected answer.
#[derive(Debug, Clone)]
pub struct BuiltCall {
    /// The request to send.
    pub spec: callers::CallSpec,
    /// The answer that a complete response must contain.
    pub expected: ExpectedAnswer,
}

/// The content of a complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExpectedAnswer {
    /// A chat completion.
    Chat {
        /// The generated text.
        text: String,
        /// Whether the answer is streamed.
        stream: bool,
        /// The canonical prompt, from which block hashes are computed.
        prompt: String,
    },
    /// The confirmation of a record.
    Record {
        /// The response body.
        body: String,
        /// The name under which the register counts the record.
        name: SmolStr,
    },
}

/// Appends `tokens` tokens of random text, each a word of three letters and a space.
fn push_words(text: &mut String, seed: u64, tokens: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end = text.len() + tokens as usize * prompts::TOKEN_BYTES;
    while text.len() < end {
        for _ in 0..prompts::TOKEN_BYTES - 1 {
            text.push(char::from(b'a' + random.random_range(0..26_u8)));
        }
        text.push(' ');
    }
    text.truncate(end);
}

/// Builds the request of a call. `run_id` must differ between runs, so that no idempotency key or
/// record body repeats.
#[must_use]
pub fn build(experiment: &Experiment, call: &PlannedCall, run_id: &str) -> BuiltCall {
    let class = &experiment.classes[call.class];
    let account = &experiment.accounts[call.account];
    match &class.call {
        CallPlan::Chat(chat) => build_chat(experiment, class, account, chat, call),
        CallPlan::Record(record) => build_record(class, account, record, call, run_id),
    }
}

fn headers(class: &RequestClass, account: &AccountPlan) -> Vec<(&'static str, String)> {
    vec![
        ("authorization", format!("Bearer {}", account.token)),
        ("x-tier", class.tier.to_string()),
        ("x-deadline-ms", class.deadline_ms.to_string()),
    ]
}

fn build_chat(
    experiment: &Experiment,
    class: &RequestClass,
    account: &AccountPlan,
    chat: &ChatPlan,
    call: &PlannedCall,
) -> BuiltCall {
    let mut content = String::new();
    if let (Some(text), Some(shared)) = (call.shared, chat.shared) {
        let seed = experiment.seed ^ (call.class as u64) << 32 ^ text << 8;
        push_words(&mut content, seed, shared.tokens);
    }
    push_words(&mut content, call.text_seed, call.prompt_tokens);
    let mut prompt = String::new();
    prompts::push_message(&mut prompt, "user", &content);
    let text = answers::expected_text(chat.model.as_str(), &prompt, Some(call.output_tokens));
    let body = json!({
        "model": chat.model,
        "messages": [{ "role": "user", "content": content }],
        "max_tokens": call.output_tokens,
        "stream": chat.stream,
    });
    BuiltCall {
        spec: callers::CallSpec {
            method: Method::POST,
            path: SmolStr::new_static("/v1/chat/completions"),
            headers: headers(class, account),
            body: Bytes::from(body.to_string()),
        },
        expected: ExpectedAnswer::Chat {
            text,
            stream: chat.stream,
            prompt,
        },
    }
}

fn build_record(
    class: &RequestClass,
    account: &AccountPlan,
    record: &RecordPlan,
    call: &PlannedCall,
    run_id: &str,
) -> BuiltCall {
    let reference = format!("{run_id}-{:016x}-{}", call.text_seed, call.index);
    let body = json!({ "reference": reference, "by": account.name }).to_string();
    let mut headers = headers(class, account);
    if record.keyed {
        headers.push(("idempotency-key", reference));
    }
    let name = registers::record_name(&record.kind, &answers::record_id(body.as_bytes()));
    BuiltCall {
        expected: ExpectedAnswer::Record {
            body: answers::expected_record(&record.kind, body.as_bytes()),
            name,
        },
        spec: callers::CallSpec {
            method: Method::POST,
            path: format_smolstr!("/services/{}/{}", record.service, record.kind),
            headers,
            body: Bytes::from(body),
        },
    }
}
