//! Tests of the HTTP API without sockets: responses to callers and refusal counters.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::{Request, Response, body::Frame};
use test_case::test_case;
use tokio_util::sync::CancellationToken;
use waxwing_client::freshness::SettingsFreshness;
use waxwing_core::{clock, counters, ids, reasons, units};
use waxwing_entry::{caller, control, edge, options, state};
use waxwing_settings::{credentials, view};
use waxwing_wire::{messages, security};

/// Control plane with fixed settings that replies to no claims.
#[derive(Debug, Clone)]
struct FakeControl {
    view: Arc<view::SettingsView>,
    freshness: Arc<Mutex<SettingsFreshness>>,
}

impl control::ControlPort for FakeControl {
    fn settings(&self) -> Arc<view::SettingsView> {
        self.view.clone()
    }

    fn freshness(&self) -> SettingsFreshness {
        *self.freshness.lock().unwrap()
    }

    async fn claim(&self, _key: messages::ClaimKey) -> Option<messages::ClaimResult> {
        None
    }

    fn announce_leaving(&self) {}
}

fn settings() -> view::SettingsView {
    let digest = |token| credentials::TokenDigest::of(token).to_string();
    let tree = serde_json::json!({
        "tiers": {"top": {"rank": 0}, "bulk": {"rank": 2}},
        "models": {"draft": {"context_tokens": 100}},
        "teams": {"atelier": {
            "accounts": {
                "all": {"token_digests": [digest("all")]},
                "few": {
                    "token_digests": [digest("few")],
                    "services": ["write"],
                    "tiers": ["top"],
                    "requests_per_second": 1.0,
                },
            },
            "services": {
                "write": {"kind": "model", "models": ["draft"], "default_tier": "top", "max_body_bytes": 2000},
                "secret": {"kind": "model", "models": ["hidden"], "default_tier": "top"},
                "register": {"kind": "plain", "default_tier": "bulk", "max_body_bytes": 10},
            },
        }},
    });
    let tree = serde_json::from_value(tree).unwrap();
    view::SettingsView::new(ids::SettingsVersion(1), tree)
}

type TestShared = Arc<state::EntryShared<clock::SystemClock, FakeControl>>;

fn shared(freshness: SettingsFreshness) -> TestShared {
    let options = serde_json::json!({
        "name": "entry", "data_centre": "one", "region": "here",
        "http_address": "127.0.0.1:0", "control_hosts": ["127.0.0.1:1"],
    });
    let mut options: options::EntryOptions = serde_json::from_value(options).unwrap();
    options.body_memory_bytes = units::ByteCount(8_192);
    state::EntryShared::new(
        options,
        security::LinkSecurity::Plain,
        clock::SystemClock,
        counters::CounterSet::new(),
        FakeControl {
            view: Arc::new(settings()),
            freshness: Arc::new(Mutex::new(freshness)),
        },
        CancellationToken::new(),
    )
}

/// Method, path, headers as `name: value` lines, and body.
type RequestSpec<'a> = (&'a str, &'a str, &'a str, &'a str);

fn request(spec: RequestSpec<'_>) -> Request<Full<Bytes>> {
    let (method, path, headers, body) = spec;
    let mut builder = Request::builder().method(method).uri(path);
    for (name, value) in headers.lines().filter_map(|line| line.split_once(": ")) {
        builder = builder.header(name, value);
    }
    builder
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap()
}

async fn call(shared: &TestShared, spec: RequestSpec<'_>) -> Response<Bytes> {
    let edge = edge::HttpEdge::new(shared.clone());
    let (head, body) = edge.handle(request(spec)).await.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    Response::from_parts(head, body)
}

fn assert_refused(shared: &TestShared, response: &Response<Bytes>, status: u16, reason: &str) {
    assert_eq!(response.status().as_u16(), status);
    let headers = response.headers();
    assert_eq!(headers["content-type"], "application/problem+json");
    let body: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
    assert_eq!(body["type"], format!("urn:waxwingmill:refusal:{reason}"));
    assert_eq!(body["reason"], reason);
    assert_eq!(body["status"], status);
    assert_eq!(body["outcome"], "not-run");
    assert_eq!(
        body["request_id"],
        headers["x-request-id"].to_str().unwrap()
    );
    assert!(!body["title"].as_str().unwrap().is_empty());
    let counted = reasons::RefusalReason::ALL.iter();
    let counted: Vec<_> = counted
        .map(|reason| (reason.as_str(), shared.counters.refusals(*reason)))
        .filter(|(_, count)| *count > 0)
        .collect();
    assert_eq!(counted, [(reason, 1)], "exactly one refusal is counted");
}

const CHAT: &str = "/v1/chat/completions";
const VALID_BODY: &str = r#"{"model":"draft","messages":[{"role":"user","content":"hi"}]}"#;
const HIDDEN_MODEL_BODY: &str = r#"{"model":"hidden","messages":[{"role":"user","content":"hi"}]}"#;
const UNKNOWN_MODEL_BODY: &str = r#"{"model":"other","messages":[{"role":"user","content":"hi"}]}"#;
const FULL_ACCOUNT: &str = "authorization: Bearer all";
const LIMITED_ACCOUNT: &str = "authorization: Bearer few";

fn add_header(headers: &str, more: &str) -> String {
    format!("{headers}\n{more}")
}

/// Guards against an invalid request that is accepted, refused with the wrong status or reason, or
/// not counted.
#[test_case("POST", CHAT, "", VALID_BODY, 401, "unauthorized"; "no token")]
#[test_case("POST", CHAT, "authorization: Bearer nobody", VALID_BODY, 401, "unauthorized"; "unknown token")]
#[test_case("POST", CHAT, "authorization: Basic all", VALID_BODY, 401, "unauthorized"; "another scheme")]
#[test_case("POST", CHAT, FULL_ACCOUNT, "", 400, "malformed"; "empty body")]
#[test_case("POST", CHAT, FULL_ACCOUNT, "{\"model\":\"draft\"}", 400, "malformed"; "no messages")]
#[test_case("POST", CHAT, FULL_ACCOUNT, "{\"model\":\"draft\",\"messages\":[]}", 400, "malformed"; "empty messages")]
#[test_case("POST", CHAT, FULL_ACCOUNT, "{\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}", 400, "malformed"; "no model")]
#[test_case("POST", CHAT, FULL_ACCOUNT, "{\"model\":\"no name\",\"messages\":[]}", 400, "malformed"; "model name not valid")]
#[test_case("POST", CHAT, FULL_ACCOUNT, UNKNOWN_MODEL_BODY, 404, "unknown-model"; "unknown model")]
#[test_case("POST", CHAT, LIMITED_ACCOUNT, HIDDEN_MODEL_BODY, 403, "forbidden"; "model of another service")]
#[test_case("GET", CHAT, FULL_ACCOUNT, "", 405, "malformed"; "method of chat")]
#[test_case("POST", "/services/nothing/x", FULL_ACCOUNT, "", 404, "unknown-service"; "unknown service")]
#[test_case("POST", "/services/no%20name/x", FULL_ACCOUNT, "", 404, "unknown-service"; "service name not valid")]
#[test_case("POST", "/services/write/x", FULL_ACCOUNT, "", 404, "unknown-service"; "model service as a plain one")]
#[test_case("POST", "/services/register/x", LIMITED_ACCOUNT, "", 403, "forbidden"; "service not allowed")]
#[test_case("POST", "/services/register/x", FULL_ACCOUNT, "01234567890", 413, "body-too-large"; "body too large")]
#[test_case("GET", "/nothing", FULL_ACCOUNT, "", 404, "unknown-service"; "unknown path")]
#[test_case("GET", "/v1/requests/x", FULL_ACCOUNT, "", 404, "unknown-request"; "request id not valid")]
#[test_case("GET", "/v1/requests/00000000000000000000000000000000", FULL_ACCOUNT, "", 404, "unknown-request"; "unknown request")]
#[test_case("GET", "/v1/requests/00000000000000000000000000000000", "", "", 401, "unauthorized"; "status without token")]
#[test_case("DELETE", "/v1/requests/00000000000000000000000000000000", FULL_ACCOUNT, "", 405, "malformed"; "method of status")]
#[test_case("POST", CHAT, FULL_ACCOUNT, VALID_BODY, 503, "no-endpoint"; "no endpoint")]
#[tokio::test(start_paused = true)]
async fn invalid_requests_are_refused(
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    status: u16,
    reason: &str,
) {
    let shared = shared(SettingsFreshness::Fresh);
    let response = call(&shared, (method, path, headers, body)).await;
    assert_refused(&shared, &response, status, reason);
}

/// Guards against invalid control headers that are ignored instead of refused.
#[test_case(FULL_ACCOUNT, "x-tier: none", 400, "unknown-tier"; "unknown tier")]
#[test_case(FULL_ACCOUNT, "x-tier: no name", 400, "unknown-tier"; "tier name not valid")]
#[test_case(LIMITED_ACCOUNT, "x-tier: bulk", 403, "forbidden"; "tier not allowed")]
#[test_case(FULL_ACCOUNT, "x-deadline-ms: 0", 400, "malformed"; "deadline zero")]
#[test_case(FULL_ACCOUNT, "x-deadline-ms: soon", 400, "malformed"; "deadline not a number")]
#[test_case(FULL_ACCOUNT, "x-deadline-ms: 3600001", 400, "malformed"; "deadline too long")]
#[test_case(FULL_ACCOUNT, "idempotency-key: \u{e9}", 400, "malformed"; "key not ascii")]
#[tokio::test(start_paused = true)]
async fn invalid_headers_are_refused(account: &str, header: &str, status: u16, reason: &str) {
    let shared = shared(SettingsFreshness::Fresh);
    let headers = add_header(account, header);
    let response = call(&shared, ("POST", CHAT, &headers, VALID_BODY)).await;
    assert_refused(&shared, &response, status, reason);
}

/// Guards against an idempotency key that is too long for the control log.
#[tokio::test(start_paused = true)]
async fn long_keys_are_refused() {
    let shared = shared(SettingsFreshness::Fresh);
    let headers = add_header(
        FULL_ACCOUNT,
        &format!("idempotency-key: {}", "k".repeat(256)),
    );
    let response = call(&shared, ("POST", CHAT, &headers, VALID_BODY)).await;
    assert_refused(&shared, &response, 400, "malformed");
}

/// Guards against unbounded or leaked memory for a body without an announced length.
#[tokio::test(start_paused = true)]
async fn bodies_without_a_length_are_bounded() {
    let shared = shared(SettingsFreshness::Fresh);
    let frames = (0..4).map(|_| Ok::<_, std::io::Error>(Frame::data(Bytes::from_static(b"1234"))));
    let body = StreamBody::new(futures_util::stream::iter(frames));
    let http = Request::post("/services/register/x")
        .header("authorization", "Bearer all")
        .body(body)
        .unwrap();
    let edge = edge::HttpEdge::new(shared.clone());
    let (head, body) = edge.handle(http).await.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    assert_refused(
        &shared,
        &Response::from_parts(head, body),
        413,
        "body-too-large",
    );
    assert_eq!(
        shared.body_memory.lock().unwrap().used(),
        units::ByteCount::ZERO
    );
}

/// Guards against accepting a prompt longer than the context of its model.
#[tokio::test(start_paused = true)]
async fn prompts_beyond_the_context_are_refused() {
    let shared = shared(SettingsFreshness::Fresh);
    let body = VALID_BODY.replace("hi", &"word ".repeat(100));
    let response = call(&shared, ("POST", CHAT, FULL_ACCOUNT, &body)).await;
    assert_refused(&shared, &response, 413, "body-too-large");
}

/// Guards against serving requests under settings that may have been revoked, and against claims
/// made while the process is cut off from the control plane.
#[test_case(SettingsFreshness::Unconfirmed, "", "stale-settings", 503; "no settings")]
#[test_case(SettingsFreshness::Expired, "", "stale-settings", 503; "beyond the limit")]
#[test_case(SettingsFreshness::Stale, "idempotency-key: k", "claim-unavailable", 503; "idempotency key while stale")]
#[test_case(SettingsFreshness::Fresh, "idempotency-key: k", "no-endpoint", 503; "idempotency key while fresh")]
#[test_case(SettingsFreshness::Stale, "", "no-endpoint", 503; "served while stale")]
#[tokio::test(start_paused = true)]
async fn stale_settings_limit_the_service(
    freshness: SettingsFreshness,
    header: &str,
    reason: &str,
    status: u16,
) {
    let shared = shared(freshness);
    let headers = add_header(FULL_ACCOUNT, header);
    let response = call(&shared, ("POST", CHAT, &headers, VALID_BODY)).await;
    assert_refused(&shared, &response, status, reason);
    assert!(response.headers().contains_key("retry-after"));
}

/// Guards against a process that reports ready while it can't serve or while it is shutting down.
#[tokio::test(start_paused = true)]
async fn readiness_follows_settings_and_shutdown() {
    let shared = shared(SettingsFreshness::Unconfirmed);
    let ready = ("GET", "/readyz", "", "");
    assert_eq!(call(&shared, ready).await.status().as_u16(), 503);
    for (freshness, status) in [
        (SettingsFreshness::Fresh, 200),
        (SettingsFreshness::Stale, 200),
        (SettingsFreshness::Expired, 503),
    ] {
        *shared.control.freshness.lock().unwrap() = freshness;
        assert_eq!(call(&shared, ready).await.status().as_u16(), status);
    }
    *shared.control.freshness.lock().unwrap() = SettingsFreshness::Fresh;
    shared.drain();
    assert_eq!(call(&shared, ready).await.status().as_u16(), 503);
    assert_eq!(
        call(&shared, ("GET", "/healthz", "", ""))
            .await
            .status()
            .as_u16(),
        200
    );
    // New requests are still accepted until the load balancer has noticed.
    let response = call(&shared, ("POST", CHAT, FULL_ACCOUNT, VALID_BODY)).await;
    assert_refused(&shared, &response, 503, "no-endpoint");
}

/// Guards against exceeding an account's rate, and against leaked permits, body memory or routes.
#[tokio::test(start_paused = true)]
async fn account_limits_are_enforced_and_permits_returned() {
    let shared = shared(SettingsFreshness::Fresh);
    let chat = ("POST", CHAT, LIMITED_ACCOUNT, VALID_BODY);
    let both = tokio::join!(call(&shared, chat), call(&shared, chat));
    assert_eq!(both.0.status().as_u16(), 503);
    assert_eq!(both.1.status().as_u16(), 429);
    assert_eq!(both.1.headers()["retry-after"], "1");
    let name = "few".parse().unwrap();
    assert_eq!(shared.accounts.lock().unwrap().running(&name), 0);
    assert!(shared.body_memory.lock().unwrap().is_empty());
    assert!(shared.routes.is_empty());
}

/// Guards against refusing an urgent request for lack of memory while less urgent ones wait.
#[tokio::test(start_paused = true)]
async fn urgent_requests_evict_less_urgent_ones() {
    let shared = shared(SettingsFreshness::Fresh);
    let bulk = add_header(FULL_ACCOUNT, "x-tier: bulk");
    let body = VALID_BODY.replace("hi", &"w".repeat(300));
    let waiting = (0..6).map(|_| call(&shared, ("POST", CHAT, &bulk, &body)));
    let waiting = futures_util::future::join_all(waiting);
    let urgent = async {
        tokio::task::yield_now().await;
        let calls = (0..3).map(|_| call(&shared, ("POST", CHAT, FULL_ACCOUNT, &body)));
        futures_util::future::join_all(calls).await
    };
    let (waiting, urgent) = tokio::join!(waiting, urgent);
    let reason = |response: &Response<Bytes>| {
        let body: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
        body["reason"].as_str().unwrap().to_owned()
    };
    let urgent: Vec<_> = urgent.iter().map(reason).collect();
    assert_eq!(
        urgent, ["no-endpoint"; 3],
        "no urgent request was refused for memory"
    );
    let outcomes: Vec<_> = waiting.iter().map(reason).collect();
    assert!(outcomes.contains(&"evicted".to_owned()), "{outcomes:?}");
    assert_eq!(
        outcomes[0], "no-endpoint",
        "the oldest request is not evicted"
    );
}

/// Guards against a request status that its account can't read, or that another account can.
#[tokio::test(start_paused = true)]
async fn status_is_visible_only_to_its_account() {
    let shared = shared(SettingsFreshness::Fresh);
    let refused = call(&shared, ("POST", CHAT, FULL_ACCOUNT, VALID_BODY)).await;
    let id = refused.headers()["x-request-id"].to_str().unwrap();
    let path = format!("/v1/requests/{id}");
    let status = call(&shared, ("GET", &path, FULL_ACCOUNT, "")).await;
    let body: serde_json::Value = serde_json::from_slice(status.body()).unwrap();
    assert_eq!(body["state"], "refused");
    assert_eq!(body["outcome"], "not-run");
    assert_eq!(body["reason"], "no-endpoint");
    let other = call(&shared, ("GET", &path, LIMITED_ACCOUNT, "")).await;
    assert_eq!(other.status().as_u16(), 404);
}

/// Guards against an aborted response that looks complete to the caller.
#[tokio::test(start_paused = true)]
async fn aborted_bodies_end_with_an_error() {
    for complete in [true, false] {
        let (parts, counter, body) = caller::channel();
        parts
            .send(caller::AnswerPart::Data(Bytes::from_static(b"abc")))
            .unwrap();
        if complete {
            parts.send(caller::AnswerPart::End).unwrap();
        }
        drop(parts);
        assert_eq!(body.collect().await.is_ok(), complete);
        assert_eq!(counter.delivered(), 3);
    }
}
