//! Tests of the endpoint protocol over real sockets. The engine runs on a manual clock.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};
use tokio_util::sync::{CancellationToken, DropGuard};
use waxwing_core::{clock, prompts, units};
use waxwing_standin::{answers, callers, engines, options, registers, servers};

struct TestServer {
    address: SocketAddr,
    clock: clock::ManualClock,
    _guard: DropGuard,
}

impl TestServer {
    async fn start(options: options::StandinOptions) -> Self {
        let clock = clock::ManualClock::new();
        let bound = servers::bind(options, clock.clone())
            .await
            .expect("a free port");
        let address = bound.address();
        let shutdown = CancellationToken::new();
        tokio::spawn(bound.run(shutdown.clone()));
        Self {
            address,
            clock,
            _guard: shutdown.drop_guard(),
        }
    }

    async fn engine(change: impl FnOnce(&mut options::EngineOptions)) -> Self {
        let mut options = options::EngineOptions {
            event_loss: 0.0,
            ..options::EngineOptions::default()
        };
        options.models.insert("scribe".parse().expect("a name"));
        change(&mut options);
        Self::start(options::StandinOptions::engine(options)).await
    }

    async fn call(&self, method: Method, path: &str, body: Value) -> (u16, Vec<u8>) {
        let spec = callers::CallSpec {
            method,
            path: path.into(),
            headers: vec![("x-request-id", "r1".to_owned())],
            body: Bytes::from(body.to_string()),
        };
        let answer = callers::call(self.address, spec, &clock::SystemClock, None).await;
        let answer = answer.expect("an answer");
        assert!(answer.ended);
        (answer.status, answer.body)
    }

    async fn get_json(&self, path: &str) -> Value {
        let (_, body) = self.call(Method::GET, path, Value::Null).await;
        serde_json::from_slice(&body).expect("JSON")
    }
}

fn chat(content: &str, stream: bool, resume: u64) -> Value {
    json!({ "model": "scribe", "stream": stream, "max_tokens": 12, "resume_tokens": resume,
            "messages": [{ "role": "user", "content": content }] })
}

fn expected(content: &str) -> String {
    let mut prompt = String::new();
    prompts::push_message(&mut prompt, "user", content);
    answers::expected_text("scribe", &prompt, Some(12))
}

/// Guards against streamed, unstreamed or resumed answers that differ from the pure function with
/// which tests compute the expected answer.
#[tokio::test]
async fn answers_equal_the_expected_text() {
    let server = TestServer::engine(|_| {}).await;
    let path = "/v1/chat/completions";
    let (_, body) = server
        .call(Method::POST, path, chat("a spike", true, 0))
        .await;
    let streamed = callers::ParsedChat::from_stream(&body);
    assert!(streamed.done && !streamed.failed);
    assert_eq!(streamed.text, expected("a spike"));
    let (_, body) = server
        .call(Method::POST, path, chat("a spike", false, 0))
        .await;
    assert_eq!(callers::ParsedChat::from_body(&body).text, streamed.text);
    let (_, body) = server
        .call(Method::POST, path, chat("a spike", true, 3))
        .await;
    let resumed = callers::ParsedChat::from_stream(&body);
    assert_eq!(resumed.text, streamed.text[3 * prompts::TOKEN_BYTES..]);
}

/// Guards against an engine that accepts a model that is not loaded, or an invalid body.
#[tokio::test]
async fn invalid_requests_are_refused() {
    let server = TestServer::engine(|_| {}).await;
    let path = "/v1/chat/completions";
    let other = json!({ "model": "other", "messages": [] });
    assert_eq!(server.call(Method::POST, path, other).await.0, 400);
    assert_eq!(server.call(Method::POST, path, json!([1])).await.0, 400);
}

/// Guards against an engine that checks fencing numbers and still executes orders of a replaced
/// placement controller.
#[tokio::test]
async fn outdated_fencing_numbers_are_refused_if_checked() {
    for (checks, status) in [(true, 409), (false, 200)] {
        let server = TestServer::engine(|options| options.checks_fencing = checks).await;
        let order = |fencing: u64, order: u64| json!({ "fencing": fencing, "order": order, "kind": "load-model", "target": "tagger" });
        assert_eq!(
            server.call(Method::POST, "/orders", order(5, 1)).await.0,
            200
        );
        let (found, body) = server.call(Method::POST, "/orders", order(4, 2)).await;
        assert_eq!(found, status);
        if checks {
            let body: Value = serde_json::from_slice(&body).expect("JSON");
            assert_eq!(body, json!({ "highest": 5 }));
        }
        let info = server.get_json("/info").await;
        assert_eq!(info["models"], json!(["scribe", "tagger"]));
    }
}

/// Guards against cache events without delay and loss, which would be unlike those of real engines.
#[tokio::test]
async fn cache_events_are_delayed_and_have_gaps() {
    let server = TestServer::engine(|options| {
        options.event_loss = 0.5;
        options.event_delay_ms = 60_000_000;
    })
    .await;
    for index in 0..40 {
        let content = format!("{index}{}", "z".repeat(400));
        server
            .call(
                Method::POST,
                "/v1/chat/completions",
                chat(&content, false, 0),
            )
            .await;
    }
    assert_eq!(
        server.get_json("/events?after=0").await["events"],
        json!([])
    );
    server
        .clock
        .advance(std::time::Duration::from_secs(120_000));
    let page: engines::CacheEventPage =
        serde_json::from_value(server.get_json("/events?after=0").await).expect("a page");
    let numbers: Vec<_> = page.events.iter().map(|event| event.number).collect();
    assert!(!numbers.is_empty());
    assert!(
        numbers.windows(2).any(|pair| pair[1] > pair[0] + 1),
        "{numbers:?}"
    );
    let after = server
        .get_json(&format!("/events?after={}", page.next))
        .await;
    assert_eq!(after["events"], json!([]));
}

/// Guards against exported prefixes that don't save prefill at the importing engine.
#[tokio::test]
async fn exported_cache_serves_another_engine() {
    let content = "q".repeat(640);
    let (one, other) = (
        TestServer::engine(|_| {}).await,
        TestServer::engine(|_| {}).await,
    );
    one.call(
        Method::POST,
        "/v1/chat/completions",
        chat(&content, false, 0),
    )
    .await;
    let mut prompt = String::new();
    prompts::push_message(&mut prompt, "user", &content);
    let wanted = json!({ "hashes": prompts::block_hashes(&prompt) });
    let (_, blob) = one.call(Method::POST, "/kv/export", wanted).await;
    let blob: Value = serde_json::from_slice(&blob).expect("JSON");
    other.call(Method::POST, "/kv/import", blob).await;
    other
        .call(
            Method::POST,
            "/v1/chat/completions",
            chat(&content, false, 0),
        )
        .await;
    assert_eq!(other.get_json("/counts").await["cached"], json!(160));
}

/// Guards against a closed connection whose request stays in the batch.
#[tokio::test]
async fn closing_the_connection_cancels_the_request() {
    let server =
        TestServer::engine(|options| options.cache_tokens = units::TokenCount(4_096)).await;
    server
        .call(Method::POST, "/faults", json!({ "stall": true }))
        .await;
    let spec = callers::CallSpec {
        method: Method::POST,
        path: "/v1/chat/completions".into(),
        headers: Vec::new(),
        body: Bytes::from(chat("gone", true, 0).to_string()),
    };
    let address = server.address;
    let caller =
        tokio::spawn(async move { callers::call(address, spec, &clock::SystemClock, None).await });
    let waiting = |page: &Value| page["running"].as_u64().max(page["waiting"].as_u64());
    loop {
        server.clock.advance(std::time::Duration::from_secs(10));
        if waiting(&server.get_json("/load").await) == Some(1) {
            break;
        }
    }
    caller.abort();
    loop {
        server.clock.advance(std::time::Duration::from_secs(10));
        if server.get_json("/counts").await["cancelled"] == json!(1) {
            break;
        }
    }
}

/// Guards against a silent fault that also affects new connections. A silent connection could then be
/// detected merely because new ones fail as well.
#[tokio::test]
async fn silence_affects_only_open_connections() {
    let server = TestServer::engine(|_| {}).await;
    server
        .call(Method::POST, "/faults", json!({ "stall": true }))
        .await;
    let spec = callers::CallSpec {
        method: Method::POST,
        path: "/v1/chat/completions".into(),
        headers: Vec::new(),
        body: Bytes::from(chat("quiet", true, 0).to_string()),
    };
    let address = server.address;
    let caller =
        tokio::spawn(async move { callers::call(address, spec, &clock::SystemClock, None).await });
    loop {
        server.clock.advance(std::time::Duration::from_secs(10));
        let load = server.get_json("/load").await;
        if load["running"] == json!(1) || load["waiting"] == json!(1) {
            break;
        }
    }
    server
        .call(
            Method::POST,
            "/faults",
            json!({ "silent": true, "stall": false }),
        )
        .await;
    let (status, _) = server
        .call(Method::POST, "/v1/chat/completions", chat("new", true, 0))
        .await;
    assert_eq!(status, 200);
    while server.get_json("/counts").await["finished"] != json!(2) {}
    assert!(!caller.is_finished());
    caller.abort();
}

/// Guards against duplicate executions that stay unnoticed because the register does not count every
/// body it records.
#[tokio::test]
async fn register_counts_repeated_bodies() {
    let mut options = options::RegisterOptions::default();
    options.services.insert("register".parse().expect("a name"));
    let server = TestServer::start(options::StandinOptions::register(options)).await;
    let body = json!({ "order": 7 });
    let bytes = body.to_string().into_bytes();
    for path in [
        "/orders-book",
        "/services/register/orders-book",
        "/bookings",
    ] {
        let (status, _) = server.call(Method::POST, path, body.clone()).await;
        assert_eq!(status, 201);
    }
    let counts: registers::RegisterCounts =
        serde_json::from_value(server.get_json("/counts").await).expect("counts");
    let id = answers::record_id(&bytes);
    assert_eq!(counts.recorded, 3);
    assert_eq!(
        counts.bodies[&registers::record_name("orders-book", &id)],
        2
    );
    assert_eq!(counts.bodies[&registers::record_name("bookings", &id)], 1);
    let (status, found) = server
        .call(Method::GET, &format!("/bookings/{id}"), Value::Null)
        .await;
    let expected = answers::expected_record("bookings", &bytes);
    assert_eq!((status, found), (200, expected.into_bytes()));
}
