//! The readers of bytes from outside: chat requests, event streams, and the settings file.

use bytes::Bytes;
use proptest::prelude::*;
use test_case::test_case;
use waxwing_agent::{
    errors::AgentError,
    formats::{CallFormat, ChatReader},
    options::AgentOptions,
};
use waxwing_core::prompts;
use waxwing_settings::files;
use waxwing_wire::messages;

fn handover(body: Bytes) -> messages::Handover {
    messages::Handover {
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        body,
        ..messages::Handover::default()
    }
}

fn event(text: &str) -> String {
    let delta = serde_json::json!({"choices": [{"index": 0, "delta": {"content": text}}]});
    format!("data: {delta}\n\n")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: prop::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on bytes of a faulty engine, and an answer that is called complete
    /// without its end mark.
    #[test]
    fn any_bytes_are_read(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..20), streams: bool) {
        let mut reader = ChatReader::new(streams);
        let marked = pieces.concat().windows(6).any(|part| part == b"[DONE]");
        for piece in pieces {
            let step = reader.read(&piece);
            prop_assert!(!step.done || marked);
        }
    }

    /// Guards against tokens that are lost, doubled or torn where the network cuts a stream.
    #[test]
    fn cuts_change_nothing(
        texts in prop::collection::vec("[ -~äß€]{1,12}", 1..20),
        cuts in prop::collection::vec(1_usize..40, 1..200),
        returns: bool,
    ) {
        let mut stream: String = texts.iter().map(|text| event(text)).collect();
        stream.push_str(": a comment\n\ndata: [DONE]\n\n");
        if returns {
            stream = stream.replace('\n', "\r\n");
        }
        let mut reader = ChatReader::new(true);
        let (mut received, mut tokens, mut done) = (Vec::new(), 0, false);
        let mut rest = stream.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, later) = rest.split_at((*cut).min(rest.len()));
            rest = later;
            let step = reader.read(piece);
            prop_assert!(!step.broken);
            received.extend_from_slice(&step.data);
            tokens += step.tokens;
            done |= step.done;
        }
        prop_assert!(done);
        prop_assert_eq!(tokens, texts.len() as u64);
        let comment = if returns { ": a comment\r\n\r\n" } else { ": a comment\n\n" };
        prop_assert_eq!(String::from_utf8_lossy(&received), stream.replace(comment, ""));
    }

    /// Guards against a panic on a body of a caller, and against changing what is not understood.
    #[test]
    fn any_body_is_taken(body in prop::collection::vec(any::<u8>(), 0..300)) {
        let format = CallFormat::of(&handover(Bytes::from(body.clone())));
        if let CallFormat::Plain(passed) = format {
            prop_assert_eq!(passed.to_vec(), body);
        }
    }
}

/// Guards against a stream of endless events that fills the memory.
#[test]
fn endless_event_is_refused() {
    let mut reader = ChatReader::new(true);
    let piece = vec![b'x'; 64 * 1024];
    assert!((0..20).any(|_| reader.read(&piece).broken));
}

/// Guards against hashes that differ from those of entries and engines.
#[test]
fn hashes_are_those_of_the_canonical_text() {
    let content = "spike ".repeat(60);
    let body =
        serde_json::json!({"model": "m", "messages": [{"role": "user", "content": content}]});
    let format = CallFormat::of(&handover(Bytes::from(body.to_string())));
    let CallFormat::Chat(chat) = format else {
        panic!("not recognised as chat");
    };
    let mut text = String::new();
    prompts::push_message(&mut text, "user", &content);
    assert_eq!(chat.hashes(), prompts::block_hashes(&text));
}

/// Guards against a request that the agent can't put together again and reads as plain text.
#[test_case(r#"{"messages": [], "n": 2}"#; "two answers")]
#[test_case(r#"{"messages": [], "tools": [{}]}"#; "tools")]
#[test_case(r#"{"messages": "none"}"#; "no messages")]
#[test_case(r#"[1, 2]"#; "no object")]
fn other_requests_pass_unchanged(body: &'static str) {
    let format = CallFormat::of(&handover(Bytes::from_static(body.as_bytes())));
    assert!(!format.can_resume());
    assert_eq!(format.body(5), body.as_bytes());
}

const SETTINGS: &str = r#"{
    // An agent beside the first engine.
    "name": "a1", "data_centre": "d1", "region": "r1", "link_address": "10.0.0.1:7000",
    "endpoint": "http://10.0.0.1:9000", "role": "chat", "control": ["10.0.0.9:7100"],
    "limits": { "grant_ms": 1000 }
}"#;

/// Guards against defaults that are lost where a part of the limits is given.
#[test]
fn settings_file_is_read() {
    let options: AgentOptions = files::parse("agent", SETTINGS).expect("valid settings");
    assert_eq!(options.limits.grant_ms, 1_000);
    assert_eq!(options.limits.retention_ms, 60_000);
    let address = options.endpoint_address().expect("an address");
    assert_eq!(address.to_string(), "10.0.0.1:9000");
}

/// Guards against a misspelled setting that is taken for absent, and a bad value that shows only
/// when the agent serves.
#[test_case("\"role\"", "\"rolle\""; "a misspelled name")]
#[test_case("grant_ms", "grant"; "a misspelled limit")]
#[test_case("10.0.0.1:7000", "agents:7000"; "a host name")]
#[test_case("\"a1\"", "\"a 1\""; "a name with a space")]
fn wrong_settings_are_refused(from: &str, to: &str) {
    assert!(files::parse::<AgentOptions>("agent", &SETTINGS.replace(from, to)).is_err());
}

/// Guards against an endpoint URL that would be resolved or secured in a way that is not there.
#[test_case("https://10.0.0.1:9000"; "tls")]
#[test_case("http://engine:9000"; "a host name")]
#[test_case("http://10.0.0.1"; "no port")]
fn wrong_endpoint_is_refused(endpoint: &str) {
    let text = SETTINGS.replace("http://10.0.0.1:9000", endpoint);
    let options: AgentOptions = files::parse("agent", &text).expect("readable settings");
    let error = options.endpoint_address();
    assert!(matches!(error, Err(AgentError::Endpoint { found }) if found == endpoint));
}
