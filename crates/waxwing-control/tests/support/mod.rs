//! What the tests of control hosts share.

#![allow(dead_code)]

use std::net::SocketAddr;

use tokio_util::sync::CancellationToken;
use waxwing_client::{clients, options as client_options};
use waxwing_control::options;
use waxwing_core::{clock, counters};
use waxwing_wire::messages;

/// The token of the root operator in [`TREE`].
pub(crate) const ROOT_TOKEN: &str = "root-token";

/// The token of the operator of team `bench` in [`TREE`].
pub(crate) const BENCH_TOKEN: &str = "bench-token";

/// Builds a first tree.
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

/// Builds options of a host on ephemeral ports.
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

/// Starts a client of some hosts.
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

/// Builds a claim.
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
