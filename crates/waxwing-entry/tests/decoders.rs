//! Property tests of parsers and filters of external input: chat bodies and event streams.

use bytes::Bytes;
use proptest::prelude::*;
use serde_json::json;
use test_case::test_case;
use waxwing_core::prompts;
use waxwing_entry::formats::{chat, gate};

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

fn messages() -> impl Strategy<Value = Vec<(String, String, bool)>> {
    prop::collection::vec(("[a-z]{1,9}", any::<String>(), any::<bool>()), 1..6)
}

fn body(messages: &[(String, String, bool)]) -> Vec<u8> {
    let list = messages.iter().map(|(role, text, parts)| {
        let content = if *parts {
            let end = text.floor_char_boundary(text.len() / 2);
            json!([
                {"type": "text", "text": text[..end]},
                {"type": "image_url", "image_url": {"url": "x"}},
                {"type": "text", "text": text[end..]},
            ])
        } else {
            json!(text)
        };
        json!({"content": content, "name": null, "role": role})
    });
    let list: Vec<_> = list.collect();
    serde_json::to_vec(&json!({
        "max_tokens": 5, "messages": list, "model": "draft", "stream": true, "extra": [[{}]],
    }))
    .unwrap()
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic on arbitrary bytes.
    #[test]
    fn any_bytes_are_read_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = chat::parse(&bytes);
    }

    /// Guards against a panic on nearly valid bodies, and against accepting a truncated one.
    #[test]
    fn damaged_bodies_are_read_without_panic(
        messages in messages(),
        place in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = body(&messages);
        let place = place.index(bytes.len());
        bytes[place] = byte;
        let _ = chat::parse(&bytes);
        bytes.truncate(cut.index(bytes.len()));
        prop_assert!(chat::parse(&bytes).is_err(), "a truncated body is not valid");
    }

    /// Guards against a prompt that differs from the one that agents and engines see, which would
    /// make token counts and prefix hashes wrong.
    #[test]
    fn prompt_is_the_canonical_text(messages in messages()) {
        let call = chat::parse(&body(&messages)).unwrap();
        let mut expected = String::new();
        for (role, text, _) in &messages {
            prompts::push_message(&mut expected, role, text);
        }
        prop_assert_eq!(call.prompt, expected);
        prop_assert!(call.stream);
        prop_assert_eq!(call.max_tokens.map(|tokens| tokens.0), Some(5));
    }

    /// Guards against forwarding the end marker before the answer is verified to be complete, and
    /// against bytes that are lost, duplicated or changed, however the stream is split into
    /// chunks.
    #[test]
    fn end_marker_is_held_until_the_answer_is_complete(
        lines in prop::collection::vec("(data: [a-z\\[]{0,4}|data: \\[DONE\\]|d|da|)\n{1,2}", 0..12),
        cuts in prop::collection::vec(1_usize..9, 1..30),
    ) {
        let text = lines.concat();
        let mut gate = gate::StreamGate::new(b"data: [DONE]");
        let mut forwarded = Vec::new();
        let mut rest = Bytes::from(text.clone());
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let chunk = rest.split_to((*cut).min(rest.len()));
            forwarded.extend_from_slice(&gate.push(chunk));
        }
        let before = format!("\n{}", String::from_utf8(forwarded.clone()).unwrap());
        prop_assert!(!before.contains("\ndata: [DONE]"));
        forwarded.extend_from_slice(&gate.release());
        prop_assert_eq!(String::from_utf8(forwarded).unwrap(), text);
    }
}

/// Guards against events that are held back until the next one arrives.
#[test]
fn events_before_the_marker_are_forwarded_at_once() {
    let mut gate = gate::StreamGate::new(b"data: [DONE]");
    for event in [
        "data: {\"a\":1}\n\n",
        "data: {\"d\":",
        "\"data: [DONE]\"}\n\n",
    ] {
        assert_eq!(gate.push(Bytes::from(event)), event);
    }
    assert_eq!(
        gate.push(Bytes::from("data: x\n\ndata: [DONE]\n\n")),
        "data: x\n\n"
    );
    assert_eq!(gate.release(), "data: [DONE]\n\n");
}

/// Guards against accepting ambiguous or malformed bodies, and against a stack overflow on deep
/// nesting.
#[test_case(r#"{"model":"m","messages":[{"role":"u","content":"a"}],"messages":[{"role":"u","content":"b"}]}"#; "two lists")]
#[test_case(r#"{"model":"m","messages":[{"role":"u","content":7}]}"#; "content not text")]
#[test_case(r#"{"model":"m","messages":[{"content":"a"}]}"#; "no role")]
#[test_case(r#"{"model":"m","messages":[{"role":"u","content":"a"}]} x"#; "text behind the body")]
#[test_case(&format!("{{\"model\":\"m\",\"x\":{}", "[".repeat(100_000)); "deep nesting")]
fn ambiguous_bodies_are_refused(text: &str) {
    assert!(chat::parse(text.as_bytes()).is_err());
}
