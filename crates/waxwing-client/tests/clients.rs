//! The client against scripted control hosts, with paused time.

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

/// A `ScriptedHost` is a control host that does only what a test asks for.
#[derive(Clone, Default)]
struct ScriptedHost {
    version: u64,
    confirms: Arc<AtomicBool>,
    answers: bool,
    claims: Arc<Mutex<Vec<messages::ClaimKey>>>,
}

impl ScriptedHost {
    fn new(version: u64, answers: bool) -> Self {
        Self {
            version,
            confirms: Arc::new(AtomicBool::new(true)),
            answers,
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
        let mut beats = tokio::time::interval(Duration::from_millis(700));
        loop {
            let version = self.version;
            let received = tokio::select! {
                received = link.receiver.recv() => received,
                _ = beats.tick() => {
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
                    if self.answers {
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

/// Guards against a process that makes claims or serves for ever with settings that no quorum
/// confirms any more, although its link to an isolated control host works.
#[tokio::test(start_paused = true)]
async fn settings_become_stale_and_expire() {
    let host = ScriptedHost::new(9, true);
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

/// Guards against a process that stays with an isolated control host until its settings are stale.
#[tokio::test(start_paused = true)]
async fn leaves_a_host_that_does_not_confirm_in_time() {
    let (first, second) = (ScriptedHost::new(9, true), ScriptedHost::new(9, true));
    let (client, _) = start_client(vec![first.start().await, second.start().await]);
    client.wait_confirmed().await.unwrap();
    first.confirms.store(false, Ordering::Relaxed);
    for _ in 0..60 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(client.freshness(), SettingsFreshness::Fresh);
    }
}

/// Guards against settings that revert when a process comes to a control host that lags.
#[tokio::test(start_paused = true)]
async fn refuses_an_older_version() {
    let (first, second) = (ScriptedHost::new(9, true), ScriptedHost::new(5, true));
    let (client, counters) = start_client(vec![first.start().await, second.start().await]);
    client.wait_confirmed().await.unwrap();
    assert_eq!(client.settings().version, ids::SettingsVersion(9));
    first.confirms.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(12)).await;
    assert_eq!(client.settings().version, ids::SettingsVersion(9));
    assert!(counters.event(CounterEvent::SettingsOldRefused) > 0);
    // The older version is no confirmation of the newer one.
    assert_eq!(client.freshness(), SettingsFreshness::Stale);
}

/// Guards against a claim that is lost with a silent control host, or that comes to the next host
/// as another claim.
#[tokio::test(start_paused = true)]
async fn asks_the_next_host_with_the_same_ids() {
    let (silent, second) = (ScriptedHost::new(9, false), ScriptedHost::new(9, true));
    let (client, _) = start_client(vec![silent.start().await, second.start().await]);
    client.wait_confirmed().await.unwrap();
    let claim = messages::ClaimKey {
        record: Some(messages::ClaimRecord {
            request: vec![7; 16],
            ..messages::ClaimRecord::default()
        }),
        ..messages::ClaimKey::default()
    };
    assert!(client.claim(claim.clone()).await.unwrap().granted);
    for host in [silent, second] {
        assert_eq!(*host.claims.lock().unwrap(), vec![claim.clone()]);
    }
}

/// Guards against a caller that waits for ever when no control host answers.
#[tokio::test(start_paused = true)]
async fn gives_up_when_no_host_answers() {
    let host = ScriptedHost::new(9, false);
    let (client, _) = start_client(vec![host.start().await]);
    client.wait_confirmed().await.unwrap();
    let started = tokio::time::Instant::now();
    let result = client.claim(messages::ClaimKey::default()).await;
    assert_eq!(result, Err(errors::ClientError::Unavailable));
    assert!(started.elapsed() < Duration::from_secs(8));
}

/// Guards against roles that build their tables anew with every confirmation of the same version.
#[tokio::test(start_paused = true)]
async fn a_confirmation_is_no_change_of_version() {
    let host = ScriptedHost::new(9, true);
    let (client, _) = start_client(vec![host.start().await]);
    let mut versions = client.watch_version();
    client.wait_confirmed().await.unwrap();
    assert_eq!(*versions.borrow_and_update(), ids::SettingsVersion(9));
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert!(!versions.has_changed().unwrap());
}
