//! Tests of a single control host with clients over loopback.

mod support;

use std::net::SocketAddr;

use tokio_util::sync::CancellationToken;
use waxwing_control::roles;
use waxwing_core::{clock, ids};
use waxwing_wire::messages::{self, ProcessKind};

use support::{claim, start_client};

async fn start_host(shutdown: &CancellationToken) -> SocketAddr {
    let options = support::host_options("control-1");
    let mut bound = roles::bind(options, clock::SystemClock).await.unwrap();
    bound.set_initial_tree(support::tree()).unwrap();
    let address = bound.link_address();
    tokio::spawn(bound.run(shutdown.clone()));
    address
}

/// Guards against an entry that serves requests without settings or endpoints, and against two
/// requests that own the same key.
#[tokio::test]
async fn serves_settings_directory_and_claims() {
    let shutdown = CancellationToken::new();
    let hosts = [start_host(&shutdown).await];
    let entry = start_client(ProcessKind::Entry, "entry-1", &hosts, &shutdown);
    entry.wait_confirmed().await.unwrap();
    let letters: ids::ServiceName = "letters".parse().unwrap();
    assert!(entry.settings().services.contains_key(&letters));

    let agent_shutdown = CancellationToken::new();
    let agent = start_client(ProcessKind::Agent, "agent-1", &hosts, &agent_shutdown);
    let mut directory = entry.watch_directory();
    directory
        .wait_for(|view| view.members.contains_key("agent-1"))
        .await
        .unwrap();
    agent.announce_leaving();
    directory
        .wait_for(|view| view.members["agent-1"].leaving)
        .await
        .unwrap();

    let first = entry.claim(claim("k", 1)).await.unwrap();
    assert!(first.granted);
    assert_eq!(first, entry.claim(claim("k", 1)).await.unwrap());
    let second = entry.claim(claim("k", 2)).await.unwrap();
    assert!(!second.granted);
    assert_eq!(second.record, first.record);
    let completion = messages::CompleteClaim {
        name: claim("k", 1).name,
        request: vec![1; 16],
        result: Some(messages::ClaimOutcome {
            whole: true,
            status: 200,
            body: Some("done".into()),
            ..messages::ClaimOutcome::default()
        }),
        group: 0,
    };
    agent.complete(completion.clone()).await.unwrap();
    let found = entry.claim(claim("k", 2)).await.unwrap();
    assert_eq!(found.record.unwrap().result, completion.result);
    agent.request_fencing_number().await.unwrap();

    agent_shutdown.cancel();
    directory
        .wait_for(|view| !view.members.contains_key("agent-1"))
        .await
        .unwrap();
    shutdown.cancel();
}

/// Guards against a process that reports ready before a quorum has confirmed its settings.
#[tokio::test]
async fn is_not_ready_without_a_control_host() {
    let shutdown = CancellationToken::new();
    let closed = SocketAddr::from(([127, 0, 0, 1], 1));
    let entry = start_client(ProcessKind::Entry, "entry-1", &[closed], &shutdown);
    tokio::task::yield_now().await;
    assert!(!entry.freshness().is_ready());
    let refused = entry.claim(claim("k", 1)).await;
    assert_eq!(refused, Err(waxwing_client::errors::ClientError::Stale));
    shutdown.cancel();
}
