//! Tests of the client against fake control hosts, on tokio's paused clock.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio_util::sync::CancellationToken;
use waxwing_client::{clients, errors, freshness::SettingsFreshness, options};
use waxwing_core::{
    clock::SystemClock,
    counters::{CounterEvent, CounterSet},
    ids,
};
use waxwing_wire::{links, messages, messages::Body, security};

const TREE: &str = r#"{"fleet": {"stale_settings_limit_s": 20}}"#;

/// A fake control host whose confirmations and responses are controlled by the test.
#[derive(Clone, Default)]
struct FakeControlHost {
    /// The settings version that the host sends and confirms.
    version: u64,
    /// Whether the host confirms the settings.
    confirms: Arc<AtomicBool>,
    /// Whether the host responds to claims.
    responds: bool,
    /// The claims that the host has received.
    claims: Arc<Mutex<Vec<messages::ClaimKey>>>,
}

impl FakeControlHost {
    fn new(version: u64, responds: bool) -> Self {
        Self {
            version,
            confirms: Arc::new(AtomicBool::new(true)),
            responds,
            ..Self::default()
        }
    }

    async fn start(&self) -> SocketAddr {
        let listener = links::LinkListener::bind(
            SocketAddr::from(([127, 0, 0, 1], 0)),
            messages::Hello::default(),
            links::LinkOptions::default(),
            security::LinkSecurity::Plain,
            SystemClock,
        )
        .await
        .unwrap();
        let address = listener.local_addr().unwrap();
        let host = self.clone();
        tokio::spawn(async move {
            while let Ok(pending) = listener.accept().await {
                if let Ok(link) = pending.open().await {
                    tokio::spawn(host.clone().serve(link));
                }
            }
        });
        address
    }

    async fn serve(self, mut link: links::Link) {
        let mut watched = false;
        let mut confirmations = tokio::time::interval(Duration::from_millis(700));
        loop {
            let version = self.version;
            let received = tokio::select! {
                received = link.receiver.recv() => received,
                _ = confirmations.tick() => {
                    if watched && self.confirms.load(Ordering::Relaxed) {
                        let confirmed = messages::SettingsConfirmed { version };
                        let _ = link.sender.send(0, Body::SettingsConfirmed(confirmed)).await;
                    }
                    continue;
                }
            };
            let Ok(envelope) = received else { return };
            match envelope.body {
                Some(Body::WatchSettings(_)) => {
                    watched = true;
                    let tree = TREE.into();
                    let snapshot = messages::SettingsSnapshot { version, tree };
                    let _ = link.sender.send(0, Body::SettingsSnapshot(snapshot)).await;
                }
                Some(Body::ClaimKey(claim)) => {
                    self.claims.lock().unwrap().push(claim);
                    if self.responds {
                        let result = Body::ClaimResult(messages::ClaimResult {
                            granted: true,
                            record: None,
                        });
                        let _ = link.sender.send(envelope.correlation, result).await;
                    }
                }
                _ => {}
            }
        }
    }
}

fn start_client(hosts: Vec<SocketAddr>) -> (clients::ControlClient<SystemClock>, CounterSet) {
    let counters = CounterSet::new();
    let announcement = messages::Announce {
        process: Some(messages::Hello {
            kind: messages::ProcessKind::Entry as i32,
            name: "entry-1".to_owned(),
            ..messages::Hello::default()
        }),
        ..messages::Announce::default()
    };
    let client = clients::ControlClient::start(
        options::ClientOptions::new(announcement, hosts),
        SystemClock,
        counters.clone(),
        CancellationToken::new(),
    );
    (client, counters)
}

/// Guards against a process that keeps making claims or serving requests with settings that no
/// quorum confirms any more, because its link to an isolated control host still works.
#[tokio::test(start_paused = true)]
async fn settings_become_stale_and_expire() {
    let host = FakeControlHost::new(9, true);
    let (client, _) = start_client(vec![host.start().await]);
    assert_eq!(client.freshness(), SettingsFreshness::Unconfirmed);
    client.wait_confirmed().await.unwrap();
    host.confirms.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(7_000)).await;
    assert_eq!(client.freshness(), SettingsFreshness::Fresh);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert_eq!(client.freshness(), SettingsFreshness::Stale);
    assert!(client.freshness().is_ready());
    let refused = client.claim(messages::ClaimKey::default()).await;
    assert_eq!(refused, Err(errors::ClientError::Stale));
    tokio::time::sleep(Duration::from_secs(12)).await;
    assert_eq!(client.freshness(), SettingsFreshness::Expired);
    assert!(!client.freshness().is_ready());
    host.confirms.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(client.freshness(), SettingsFreshness::Fresh);
}

/// Guards against a client that stays connected to an isolated control host until its settings are
/// stale.
#[tokio::test(start_paused = true)]
async fn unconfirming_host_is_left_before_settings_are_stale() {
    let (first, second) = (FakeControlHost::new(9, true), FakeControlHost::new(9, true));
    let (client, _) = start_client(vec![first.start().await, second.start().await]);
    client.wait_confirmed().await.unwrap();
    first.confirms.store(false, Ordering::Relaxed);
    for _ in 0..60 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(client.freshness(), SettingsFreshness::Fresh);
    }
}

/// Guards against settings that revert when the client switches to a control host that lags behind.
#[tokio::test(start_paused = true)]
async fn older_settings_version_is_rejected() {
    let (first, second) = (FakeControlHost::new(9, true), FakeControlHost::new(5, true));
    let (client, counters) = start_client(vec![first.start().await, second.start().await]);
    client.wait_confirmed().await.unwrap();
    assert_eq!(client.settings().version, ids::SettingsVersion(9));
    first.confirms.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(12)).await;
    assert_eq!(client.settings().version, ids::SettingsVersion(9));
    assert!(counters.event(CounterEvent::SettingsOldRefused) > 0);
    // Confirmations of the older version don't count for the version in force.
    assert_eq!(client.freshness(), SettingsFreshness::Stale);
}

/// Guards against a claim that is lost when a control host doesn't respond, or that the next host
/// takes for a different claim.
#[tokio::test(start_paused = true)]
async fn timed_out_claim_is_repeated_with_the_same_ids() {
    let (unresponsive, second) = (
        FakeControlHost::new(9, false),
        FakeControlHost::new(9, true),
    );
    let (client, _) = start_client(vec![unresponsive.start().await, second.start().await]);
    client.wait_confirmed().await.unwrap();
    let claim = messages::ClaimKey {
        record: Some(messages::ClaimRecord {
            request: vec![7; 16],
            ..messages::ClaimRecord::default()
        }),
        ..messages::ClaimKey::default()
    };
    assert!(client.claim(claim.clone()).await.unwrap().granted);
    for host in [unresponsive, second] {
        assert_eq!(*host.claims.lock().unwrap(), vec![claim.clone()]);
    }
}

/// Guards against a claim that waits forever when no control host responds.
#[tokio::test(start_paused = true)]
async fn claim_fails_when_no_host_responds() {
    let host = FakeControlHost::new(9, false);
    let (client, _) = start_client(vec![host.start().await]);
    client.wait_confirmed().await.unwrap();
    let started = tokio::time::Instant::now();
    let result = client.claim(messages::ClaimKey::default()).await;
    assert_eq!(result, Err(errors::ClientError::Unavailable));
    assert!(started.elapsed() < Duration::from_secs(8));
}

/// Guards against processes that rebuild derived state with every confirmation of the same
/// version.
#[tokio::test(start_paused = true)]
async fn repeated_confirmation_is_no_version_change() {
    let host = FakeControlHost::new(9, true);
    let (client, _) = start_client(vec![host.start().await]);
    let mut versions = client.watch_version();
    client.wait_confirmed().await.unwrap();
    assert_eq!(*versions.borrow_and_update(), ids::SettingsVersion(9));
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert!(!versions.has_changed().unwrap());
}
