//! Fake endpoints: what an engine or a plain service sends for a call, and at what time.

use std::time::Duration;

use bytes::Bytes;
use waxwing_agent::events;

/// Number of tokens in each model answer.
pub(crate) const TOKENS: u64 = 6;

/// Time between two chunks of an answer.
const CHUNK_INTERVAL: Duration = Duration::from_millis(10);

/// What an endpoint sends for one call, each with the time since the start of the call.
pub(crate) type CallScript = Vec<(Duration, events::EndpointEvent)>;

fn token_event(content: &str, last: bool) -> Bytes {
    let reason = if last { "\"stop\"" } else { "null" };
    Bytes::from(format!(
        "data: {{\"id\":\"x\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{content}\"}},\
         \"finish_reason\":{reason}}}]}}\n\n",
    ))
}

fn chat_chunks(resume: u64) -> Vec<Bytes> {
    let mut chunks = vec![token_event("", false)];
    chunks.extend((resume..TOKENS).map(|token| token_event(&format!("t{token} "), false)));
    chunks.push(token_event("", true));
    chunks.push(Bytes::from_static(b"data: [DONE]\n\n"));
    chunks
}

fn plain_chunks(body: &[u8]) -> Vec<Bytes> {
    let digest = xxhash_rust::xxh3::xxh3_64(body);
    vec![
        Bytes::from_static(b"{\"recorded\":"),
        Bytes::from(format!("{digest}")),
        Bytes::from_static(b"}"),
    ]
}

/// Returns the complete answer that belongs to a request.
pub(crate) fn expected_answer(plain: bool, body: &[u8]) -> Vec<u8> {
    let chunks = if plain {
        plain_chunks(body)
    } else {
        chat_chunks(0)
    };
    chunks.concat()
}

fn resume_tokens(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    let tail = text.split("\"resume_tokens\":").nth(1).unwrap_or("0");
    let digits: String = tail.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

/// Returns what an endpoint sends for a call; `slowdown` multiplies the times.
pub(crate) fn script(plain: bool, body: &[u8], slowdown: u32) -> CallScript {
    let chunks = if plain {
        plain_chunks(body)
    } else {
        chat_chunks(resume_tokens(body))
    };
    let mut at = 2 * CHUNK_INTERVAL * slowdown;
    let mut script = vec![(
        at,
        events::EndpointEvent::Head {
            status: 200,
            headers: Vec::new(),
        },
    )];
    for chunk in chunks {
        at += CHUNK_INTERVAL * slowdown;
        script.push((at, events::EndpointEvent::Data(chunk)));
    }
    script.push((at + CHUNK_INTERVAL, events::EndpointEvent::Ended));
    script
}

/// Tells whether a call resumes an interrupted generation.
pub(crate) fn is_resumed(body: &[u8]) -> bool {
    resume_tokens(body) > 0
}
