//! Parsers of untrusted input: chat requests, event streams, and the settings file.

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

    /// Guards against a panic on arbitrary bytes of a faulty engine, and against treating an answer
    /// without its end marker as complete.
    #[test]
    fn arbitrary_bytes_are_parsed_without_panic(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..20), streams: bool) {
        let mut reader = ChatReader::new(streams);
        let has_end_marker = pieces.concat().windows(6).any(|part| part == b"[DONE]");
        for piece in pieces {
            let chunk = reader.read(&piece);
            prop_assert!(!chunk.done || has_end_marker);
        }
    }

    /// Guards against tokens that are lost, duplicated or split where the network splits a stream.
    #[test]
    fn chunk_boundaries_change_nothing(
        texts in prop::collection::vec("[ -~äß€]{1,12}", 1..20),
        lengths in prop::collection::vec(1_usize..40, 1..200),
        crlf: bool,
    ) {
        let mut stream: String = texts.iter().map(|text| event(text)).collect();
        stream.push_str(": a comment\n\ndata: [DONE]\n\n");
        if crlf {
            stream = stream.replace('\n', "\r\n");
        }
        let mut reader = ChatReader::new(true);
        let (mut received, mut tokens, mut done) = (Vec::new(), 0, false);
        let mut rest = stream.as_bytes();
        for length in lengths.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, later) = rest.split_at((*length).min(rest.len()));
            rest = later;
            let chunk = reader.read(piece);
            prop_assert!(!chunk.broken);
            received.extend_from_slice(&chunk.data);
            tokens += chunk.tokens;
            done |= chunk.done;
        }
        prop_assert!(done);
        prop_assert_eq!(tokens, texts.len() as u64);
        let comment = if crlf { ": a comment\r\n\r\n" } else { ": a comment\n\n" };
        prop_assert_eq!(String::from_utf8_lossy(&received), stream.replace(comment, ""));
    }

    /// Guards against a panic on an arbitrary request body, and against changing a body that is not
    /// a supported chat request.
    #[test]
    fn unsupported_body_passes_unchanged(body in prop::collection::vec(any::<u8>(), 0..300)) {
        let format = CallFormat::detect(&handover(Bytes::from(body.clone())));
        if let CallFormat::Plain(passed) = format {
            prop_assert_eq!(passed.to_vec(), body);
        }
    }
}

/// Guards against an event without an end that fills the memory.
#[test]
fn endless_event_is_refused() {
    let mut reader = ChatReader::new(true);
    let piece = vec![b'x'; 64 * 1024];
    assert!((0..20).any(|_| reader.read(&piece).broken));
}

/// Guards against prefix hashes that differ from those of entries and engines.
#[test]
fn prompt_is_hashed_in_its_canonical_form() {
    let content = "spike ".repeat(60);
    let body =
        serde_json::json!({"model": "m", "messages": [{"role": "user", "content": content}]});
    let format = CallFormat::detect(&handover(Bytes::from(body.to_string())));
    let CallFormat::Chat(chat) = format else {
        panic!("not recognised as chat");
    };
    let mut text = String::new();
    prompts::push_message(&mut text, "user", &content);
    assert_eq!(chat.hashes(), prompts::block_hashes(&text));
}

/// Guards against treating a request as chat although its answer can't be reassembled from plain
/// text.
#[test_case(r#"{"messages": [], "n": 2}"#; "two answers")]
#[test_case(r#"{"messages": [], "tools": [{}]}"#; "tools")]
#[test_case(r#"{"messages": "none"}"#; "no messages")]
#[test_case(r#"[1, 2]"#; "no object")]
fn other_requests_pass_unchanged(body: &'static str) {
    let format = CallFormat::detect(&handover(Bytes::from_static(body.as_bytes())));
    assert!(!format.can_resume());
    assert_eq!(format.body(5), body.as_bytes());
}

const SETTINGS: &str = r#"{
    // An agent beside the first engine.
    "name": "a1", "data_centre": "d1", "region": "r1", "link_address": "10.0.0.1:7000",
    "endpoint": "http://10.0.0.1:9000", "role": "chat", "control": ["10.0.0.9:7100"],
    "limits": { "grant_ms": 1000 }
}"#;

/// Guards against losing the defaults of the limits that the file doesn't set.
#[test]
fn settings_file_is_read() {
    let options: AgentOptions = files::parse("agent", SETTINGS).expect("valid settings");
    assert_eq!(options.limits.grant_ms, 1_000);
    assert_eq!(options.limits.retention_ms, 60_000);
    let address = options.endpoint_address().expect("an address");
    assert_eq!(address.to_string(), "10.0.0.1:9000");
}

/// Guards against ignoring a misspelled setting, and against an invalid value that is detected only
/// while serving.
#[test_case("\"role\"", "\"rolle\""; "a misspelled name")]
#[test_case("grant_ms", "grant"; "a misspelled limit")]
#[test_case("10.0.0.1:7000", "agents:7000"; "a host name")]
#[test_case("\"a1\"", "\"a 1\""; "a name with a space")]
fn wrong_settings_are_refused(from: &str, to: &str) {
    assert!(files::parse::<AgentOptions>("agent", &SETTINGS.replace(from, to)).is_err());
}

/// Guards against accepting an endpoint URL that needs TLS or name resolution, which are not
/// supported.
#[test_case("https://10.0.0.1:9000"; "tls")]
#[test_case("http://engine:9000"; "a host name")]
#[test_case("http://10.0.0.1"; "no port")]
fn wrong_endpoint_is_refused(endpoint: &str) {
    let text = SETTINGS.replace("http://10.0.0.1:9000", endpoint);
    let options: AgentOptions = files::parse("agent", &text).expect("readable settings");
    let error = options.endpoint_address();
    assert!(matches!(error, Err(AgentError::Endpoint { found }) if found == endpoint));
}
