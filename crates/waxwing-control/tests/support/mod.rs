//! Helpers shared by the tests of control hosts.

#![allow(dead_code)]

use std::{net::SocketAddr, time::Duration};

use http_body_util::{BodyExt as _, Full};
use tokio_util::sync::CancellationToken;
use waxwing_client::{clients, options as client_options};
use waxwing_control::options;
use waxwing_core::{clock, counters, ids};
use waxwing_settings::{operations, patches};
use waxwing_wire::messages;

/// The token of the root operator in [`tree`].
pub(crate) const ROOT_TOKEN: &str = "root-token";

/// The token of the operator of team `bench` in [`tree`].
pub(crate) const BENCH_TOKEN: &str = "bench-token";

/// Builds the first settings tree.
pub(crate) fn tree() -> serde_json::Value {
    let digest = |token| waxwing_settings::credentials::TokenDigest::of(token).to_string();
    serde_json::json!({
        "tiers": {"urgent": {"rank": 0}, "bulk": {"rank": 1}},
        "models": {"draft": {}},
        "fleet": {"operators": {"ada": {"token_digests": [digest(ROOT_TOKEN)]}}},
        "teams": {
            "bench": {
                "operators": {"lin": {"token_digests": [digest(BENCH_TOKEN)]}},
                "services": {
                    "letters": {"kind": "model", "models": ["draft"], "default_tier": "bulk"}
                }
            },
            "other": {}
        }
    })
}

/// Builds the options of a host that listens on ephemeral ports.
pub(crate) fn host_options(name: &str) -> options::ControlOptions {
    options::ControlOptions {
        name: name.parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        region: "north".parse().unwrap(),
        link: SocketAddr::from(([127, 0, 0, 1], 0)),
        http: SocketAddr::from(([127, 0, 0, 1], 0)),
        data: None,
        found: true,
        peers: Vec::new(),
        tls: None,
        settings: None,
    }
}

/// Starts a client that connects to one of `hosts`.
pub(crate) fn start_client(
    kind: messages::ProcessKind,
    name: &str,
    hosts: &[SocketAddr],
    shutdown: &CancellationToken,
) -> clients::ControlClient<clock::SystemClock> {
    let announcement = messages::Announce {
        process: Some(messages::Hello {
            kind: kind as i32,
            name: name.to_owned(),
            incarnation: 7,
            data_centre: "a".to_owned(),
        }),
        watch_limit: 160,
        ..messages::Announce::default()
    };
    clients::ControlClient::start(
        client_options::ClientOptions::new(announcement, hosts.to_vec()),
        clock::SystemClock,
        counters::CounterSet::new(),
        shutdown.clone(),
    )
}

/// Builds a claim on `key`, with `request` repeated as the request id.
pub(crate) fn claim(key: &str, request: u8) -> messages::ClaimKey {
    messages::ClaimKey {
        name: Some(messages::ClaimName {
            account: "orders".to_owned(),
            service: "register".to_owned(),
            key: key.to_owned(),
        }),
        record: Some(messages::ClaimRecord {
            request: vec![request; 16],
            digest: vec![1; 32],
            agent: "agent-1".to_owned(),
            incarnation: 3,
            ..messages::ClaimRecord::default()
        }),
        ..messages::ClaimKey::default()
    }
}

/// Sends a request with the token of the root operator. Returns `None` if there is no response.
pub(crate) async fn request(
    host: SocketAddr,
    method: &str,
    path: &str,
    body: Vec<u8>,
) -> Option<(u16, bytes::Bytes)> {
    let stream = tokio::net::TcpStream::connect(host).await.ok()?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
    tokio::spawn(connection);
    let request = hyper::Request::builder()
        .method(method)
        .uri(path)
        .header("host", host.to_string())
        .header("authorization", format!("Bearer {}", ROOT_TOKEN))
        .body(Full::new(bytes::Bytes::from(body)))
        .unwrap();
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, body))
}

/// Builds a change of one path with a random id.
pub(crate) fn change(base: u64, path: &str, value: serde_json::Value) -> operations::ChangeRequest {
    operations::ChangeRequest {
        id: ids::ChangeId::random(),
        base: ids::SettingsVersion(base),
        patch: patches::SettingsPatch::from_entries([(path.into(), value)]).unwrap(),
        dry_run: false,
    }
}

/// Sends a change, always with the same id, to each host in turn until one returns a result.
pub(crate) async fn submit(
    hosts: &[SocketAddr],
    change: &operations::ChangeRequest,
) -> operations::ChangeAnswer {
    let body = serde_json::to_vec(change).unwrap();
    for host in hosts.iter().cycle() {
        let answer = request(*host, "POST", "/v1/settings/changes", body.clone()).await;
        match answer {
            Some((503, _)) | None => tokio::time::sleep(Duration::from_millis(20)).await,
            Some((_, body)) => return serde_json::from_slice(&body).unwrap(),
        }
    }
    unreachable!()
}

/// Reads the history of accepted changes.
pub(crate) async fn history(host: SocketAddr) -> operations::HistoryAnswer {
    loop {
        let answer = request(host, "GET", "/v1/settings/changes", Vec::new()).await;
        if let Some((200, body)) = answer {
            return serde_json::from_slice(&body).unwrap();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
