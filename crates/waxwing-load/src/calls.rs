//! The text of planned calls and the answer that each one has to get.

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

/// A `BuiltCall` is a planned call with its text.
#[derive(Debug, Clone)]
pub struct BuiltCall {
    /// What is sent.
    pub spec: callers::CallSpec,
    /// What has to come back.
    pub expected: ExpectedAnswer,
}

/// An `ExpectedAnswer` is what a whole answer holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExpectedAnswer {
    /// The text of a chat.
    Chat {
        /// The text.
        text: String,
        /// Whether the answer is streamed.
        stream: bool,
        /// The canonical prompt.
        prompt: String,
    },
    /// The body of a register's answer.
    Record {
        /// The body.
        body: String,
        /// The name under which the register counts it.
        name: SmolStr,
    },
}

/// Appends random words of four letters until the text has `tokens` tokens more.
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

/// Builds the text of a call. `run` differs between variants, so that keys and bodies do.
#[must_use]
pub fn build(experiment: &Experiment, call: &PlannedCall, run: &str) -> BuiltCall {
    let class = &experiment.classes[call.class];
    let account = &experiment.accounts[call.account];
    match &class.call {
        CallPlan::Chat(chat) => build_chat(experiment, class, account, chat, call),
        CallPlan::Record(record) => build_record(class, account, record, call, run),
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
    run: &str,
) -> BuiltCall {
    let reference = format!("{run}-{:016x}-{}", call.text_seed, call.index);
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
