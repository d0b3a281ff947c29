//! Fake endpoints: what an engine or a plain service sends for a call, and when.

use std::time::Duration;

use bytes::Bytes;
use waxwing_agent::events;

/// Tokens of each model answer.
pub(crate) const TOKENS: u64 = 6;

/// Time between two pieces of an answer.
const PIECE: Duration = Duration::from_millis(10);

/// A `CallScript` is what an endpoint sends for one call, with the time since the call's start.
pub(crate) type CallScript = Vec<(Duration, events::EndpointEvent)>;

fn token_event(content: &str, last: bool) -> Bytes {
    let reason = if last { "\"stop\"" } else { "null" };
    Bytes::from(format!(
        "data: {{\"id\":\"x\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{content}\"}},\
         \"finish_reason\":{reason}}}]}}\n\n",
    ))
}

fn chat_pieces(resume: u64) -> Vec<Bytes> {
    let mut pieces = vec![token_event("", false)];
    pieces.extend((resume..TOKENS).map(|token| token_event(&format!("t{token} "), false)));
    pieces.push(token_event("", true));
    pieces.push(Bytes::from_static(b"data: [DONE]\n\n"));
    pieces
}

fn plain_pieces(body: &[u8]) -> Vec<Bytes> {
    let digest = xxhash_rust::xxh3::xxh3_64(body);
    vec![
        Bytes::from_static(b"{\"recorded\":"),
        Bytes::from(format!("{digest}")),
        Bytes::from_static(b"}"),
    ]
}

/// Returns the whole answer that belongs to a request.
pub(crate) fn expected_answer(plain: bool, body: &[u8]) -> Vec<u8> {
    let pieces = if plain {
        plain_pieces(body)
    } else {
        chat_pieces(0)
    };
    pieces.concat()
}

fn resume_tokens(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    let tail = text.split("\"resume_tokens\":").nth(1).unwrap_or("0");
    let digits: String = tail.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

/// Returns what an endpoint sends for a call; `slow` stretches its times.
pub(crate) fn script(plain: bool, body: &[u8], slow: u32) -> CallScript {
    let pieces = if plain {
        plain_pieces(body)
    } else {
        chat_pieces(resume_tokens(body))
    };
    let mut at = 2 * PIECE * slow;
    let mut script = vec![(
        at,
        events::EndpointEvent::Head {
            status: 200,
            headers: Vec::new(),
        },
    )];
    for piece in pieces {
        at += PIECE * slow;
        script.push((at, events::EndpointEvent::Data(piece)));
    }
    script.push((at + PIECE, events::EndpointEvent::Ended));
    script
}

/// Tells whether a call continues an earlier one.
pub(crate) fn is_resumed(body: &[u8]) -> bool {
    resume_tokens(body) > 0
}
