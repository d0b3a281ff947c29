//! Tests of three control hosts in one process, with links over loopback and data folders on disk.

mod support;

use std::{collections::BTreeSet, net::SocketAddr, path, sync::Arc, time::Duration};

use test_case::test_case;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use waxwing_client::directory::DirectoryView;
use waxwing_control::{errors, options, roles};
use waxwing_core::{clock, ids};
use waxwing_settings::operations;
use waxwing_wire::{
    links,
    messages::{self, ProcessKind},
    security,
};

use support::{change, history, request, submit};

/// A running control host.
struct RunningHost {
    link: SocketAddr,
    http: SocketAddr,
    shutdown: CancellationToken,
    task: JoinHandle<Result<(), errors::ControlError>>,
}

/// A group of three hosts with data folders.
struct TestGroup {
    folder: tempfile::TempDir,
    hosts: Vec<Option<RunningHost>>,
    links: Vec<SocketAddr>,
}

fn name(index: usize) -> String {
    format!("control-{index}")
}

impl TestGroup {
    async fn start() -> Self {
        let mut group = Self {
            folder: tempfile::tempdir().unwrap(),
            hosts: Vec::new(),
            links: Vec::new(),
        };
        let mut bound = Vec::new();
        for index in 0..3 {
            let options = group.options(index, SocketAddr::from(([127, 0, 0, 1], 0)));
            bound.push(roles::bind(options, clock::SystemClock).await.unwrap());
        }
        group.links = bound
            .iter()
            .map(roles::BoundControl::link_address)
            .collect();
        for (index, mut host) in bound.into_iter().enumerate() {
            host.set_peers(group.peers(index));
            // A snapshot every few changes, so that restarts and new members start from one.
            host.set_snapshot_bytes(2_048);
            if index == 0 {
                host.set_initial_tree(support::tree()).unwrap();
            }
            group.hosts.push(Some(run(host)));
        }
        group.wait_voters(0, 3).await;
        group
    }

    fn folder(&self, index: usize) -> path::PathBuf {
        self.folder.path().join(name(index))
    }

    fn options(&self, index: usize, link: SocketAddr) -> options::ControlOptions {
        options::ControlOptions {
            link,
            data: Some(self.folder(index)),
            found: index == 0,
            ..support::host_options(&name(index))
        }
    }

    fn peers(&self, own: usize) -> Vec<options::PeerOptions> {
        let others = self.links.iter().enumerate();
        others
            .filter(|(index, _)| *index != own)
            .map(|(index, link)| options::PeerOptions {
                name: name(index).parse().unwrap(),
                link: *link,
            })
            .collect()
    }

    async fn stop(&mut self, index: usize) {
        let host = self.hosts[index].take().unwrap();
        host.shutdown.cancel();
        host.task.await.unwrap().unwrap();
    }

    async fn restart(&mut self, index: usize) {
        self.restart_listing(index, self.peers(index)).await;
    }

    /// Restarts a host whose settings file lists these hosts.
    async fn restart_listing(&mut self, index: usize, peers: Vec<options::PeerOptions>) {
        let options = self.options(index, self.links[index]);
        let mut host = roles::bind(options, clock::SystemClock).await.unwrap();
        host.set_peers(peers);
        host.set_snapshot_bytes(2_048);
        self.hosts[index] = Some(run(host));
    }

    fn http(&self, index: usize) -> SocketAddr {
        self.hosts[index].as_ref().unwrap().http
    }

    async fn status(&self, index: usize) -> operations::StatusAnswer {
        loop {
            let answer = request(self.http(index), "GET", "/v1/status", Vec::new()).await;
            if let Some((200, body)) = answer {
                return serde_json::from_slice(&body).unwrap();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn wait_voters(&self, index: usize, voters: usize) {
        loop {
            let status = self.status(index).await;
            let found = status.members.iter().filter(|member| member.voter).count();
            let named = status.members.iter().all(|member| !member.http.is_empty());
            if found == voters && named && status.confirmed {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn leader(&self) -> usize {
        loop {
            for index in 0..3 {
                if self.hosts[index].is_some()
                    && let Some(leader) = self.status(index).await.leader
                    && let Some(found) = (0..3).find(|other| name(*other) == leader)
                    && self.hosts[found].is_some()
                {
                    return found;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn run(host: roles::BoundControl<clock::SystemClock>) -> RunningHost {
    let shutdown = CancellationToken::new();
    RunningHost {
        link: host.link_address(),
        http: host.http_address(),
        task: tokio::spawn(host.run(shutdown.clone())),
        shutdown,
    }
}

/// Guards against accepted changes that are lost, duplicated, reordered or reverted when the leader
/// stops while operators send conflicting changes and retries, and against a retry that gets
/// another result.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keeps_accepted_changes_when_the_leader_stops() {
    let mut group = TestGroup::start().await;
    let hosts: Vec<_> = (0..3).map(|index| group.http(index)).collect();
    let mut accepted: Vec<(ids::ChangeId, u64)> = Vec::new();
    let mut conflicts = 0;
    for round in 0..30u64 {
        if round == 10 {
            let leader = group.leader().await;
            group.stop(leader).await;
        }
        let live: Vec<_> = (0..3)
            .filter(|index| group.hosts[*index].is_some())
            .collect();
        let base = history(hosts[live[0]]).await.version.0;
        let path = "/policy/first_token_target_ms";
        let (one, two) = (
            change(base, path, (500 + round).into()),
            change(base, path, (900 + round).into()),
        );
        let (first, second) = tokio::join!(submit(&hosts, &one), submit(&hosts, &two));
        for (change, answer) in [(&one, &first), (&two, &second)] {
            assert_eq!(
                answer,
                &submit(&hosts, change).await,
                "a retry must get the first result"
            );
            match answer {
                operations::ChangeAnswer::Changed { version } => {
                    accepted.push((change.id, version.0));
                }
                operations::ChangeAnswer::Conflict { winner, .. } => {
                    conflicts += 1;
                    let winner = winner.as_ref().unwrap().id;
                    assert!(winner == one.id || winner == two.id);
                }
                other => panic!("unexpected answer {other:?}"),
            }
        }
    }
    assert_eq!(
        (accepted.len(), conflicts),
        (30, 30),
        "one of two conflicting changes must be accepted"
    );
    for index in (0..3).filter(|index| group.hosts[*index].is_some()) {
        let found = history(group.http(index)).await;
        let found: Vec<_> = found
            .changes
            .iter()
            .map(|change| (change.id, change.version.0))
            .collect();
        assert_eq!(found, accepted);
    }
    let stopped = (0..3).find(|index| group.hosts[*index].is_none()).unwrap();
    group.restart(stopped).await;
    let found = history(group.http(stopped)).await;
    let found: BTreeSet<_> = found.changes.iter().map(|change| change.id).collect();
    assert_eq!(
        found.len(),
        30,
        "a restarted host must have every accepted change"
    );
}

/// Guards against a host with a wiped disk that votes under its old identity or can't rejoin, and
/// against the initial host creating a second group with the first settings after its disk was
/// wiped.
#[test_case(0; "the initial host")]
#[test_case(1; "another host")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_with_a_wiped_disk_rejoins(wiped: usize) {
    let mut group = TestGroup::start().await;
    let (other, third) = ((wiped + 1) % 3, (wiped + 2) % 3);
    let hosts = [group.http(other)];
    for round in 0..10 {
        let base = history(hosts[0]).await.version.0;
        let request = change(base, "/policy/offers_max", (8 + round % 2).into());
        let answer = submit(&hosts, &request).await;
        assert!(matches!(answer, operations::ChangeAnswer::Changed { .. }));
    }
    group.stop(wiped).await;
    std::fs::remove_dir_all(group.folder(wiped)).unwrap();
    group.restart(wiped).await;
    group.wait_voters(wiped, 3).await;
    // With the rejoined host, the group tolerates the loss of another one.
    group.stop(other).await;
    let found = history(group.http(wiped)).await;
    assert_eq!(found.changes.len(), 10);
    assert_eq!(found, history(group.http(third)).await);
    let hosts = [group.http(wiped)];
    let request = change(found.version.0, "/policy/offers", 3.into());
    let answer = submit(&hosts, &request).await;
    assert!(matches!(answer, operations::ChangeAnswer::Changed { .. }));
}

/// Guards against a host with a wiped disk that never rejoins since its settings file doesn't list the
/// leader, which an operator has added.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_whose_file_does_not_list_the_leader_rejoins() {
    let mut group = TestGroup::start().await;
    let leader = group.leader().await;
    let (wiped, follower) = ((leader + 1) % 3, (leader + 2) % 3);
    group.stop(wiped).await;
    std::fs::remove_dir_all(group.folder(wiped)).unwrap();
    let listed = group.peers(wiped).into_iter();
    let listed = listed.filter(|peer| peer.name.as_str() == name(follower));
    group.restart_listing(wiped, listed.collect()).await;
    let rejoined = group.wait_voters(wiped, 3);
    tokio::time::timeout(Duration::from_secs(60), rejoined)
        .await
        .expect("the host never became a voter");
}

/// Guards against a client that returns to an older settings version when its control host stops,
/// and against claims that are lost with that host.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn failover_keeps_settings_and_claims() {
    let mut group = TestGroup::start().await;
    let shutdown = CancellationToken::new();
    let links: Vec<_> = (0..3)
        .map(|index| group.hosts[index].as_ref().unwrap().link)
        .collect();
    let entry = support::start_client(ProcessKind::Entry, "entry-1", &links, &shutdown);
    entry.wait_confirmed().await.unwrap();
    let first = entry.claim(support::claim("k", 1)).await.unwrap();
    assert!(first.granted);
    let before = entry.settings().version;
    // The client connects to the first host in its list first.
    group.stop(0).await;
    let hosts = [group.http(1), group.http(2)];
    let answer = submit(&hosts, &change(before.0, "/policy/offers", 3.into())).await;
    let operations::ChangeAnswer::Changed { version } = answer else {
        panic!("unexpected answer {answer:?}");
    };
    let mut versions = entry.watch_version();
    versions.wait_for(|found| *found >= version).await.unwrap();
    assert_eq!(entry.settings().tree.policy.offers, 3);
    let second = entry.claim(support::claim("k", 2)).await.unwrap();
    assert_eq!((second.granted, second.record), (false, first.record));
    shutdown.cancel();
}

/// Guards against orders that never reach an agent connected to a host other than the leader, and
/// against orders without the fencing number from the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn orders_reach_agents_connected_to_any_host() {
    let group = TestGroup::start().await;
    let shutdown = CancellationToken::new();
    let leader = group.leader().await;
    let other = group.hosts[(leader + 1) % 3].as_ref().unwrap().link;
    let agent = support::start_client(ProcessKind::Agent, "agent-1", &[other], &shutdown);
    agent.update_announcement(|announcement| {
        announcement.endpoint = Some(messages::EndpointInfo {
            kind: messages::EndpointKind::Engine as i32,
            ..messages::EndpointInfo::default()
        });
    });
    let order = agent.next_order().await.unwrap();
    let fencing = agent.request_fencing_number().await.unwrap();
    assert_eq!((order.target.as_str(), order.fencing), ("draft", fencing.0));
    assert_eq!(order.kind, messages::OrderKind::LoadModel as i32);
    shutdown.cancel();
}

/// Guards against a control host without a quorum that still sends settings to a new process or
/// accepts claims.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_without_a_quorum_serves_no_settings_or_claims() {
    let mut group = TestGroup::start().await;
    let isolated = group.hosts[2].as_ref().unwrap().link;
    group.stop(0).await;
    group.stop(1).await;
    // The last host may have become leader by a transfer, and may answer reads until its lease has
    // expired.
    while group.status(2).await.leader.is_some() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let hello = messages::Hello {
        kind: ProcessKind::Entry as i32,
        name: "entry-1".to_owned(),
        ..messages::Hello::default()
    };
    let options = links::LinkOptions::default();
    let security = security::LinkSecurity::Plain;
    let opened = links::connect(isolated, hello, options, security, clock::SystemClock);
    let mut link = opened.await.unwrap();
    let watch = messages::Body::WatchSettings(messages::WatchSettings { version: 0 });
    link.sender.send(5, watch).await.unwrap();
    let claim = messages::Body::ClaimKey(support::claim("k", 1));
    link.sender.send(6, claim).await.unwrap();
    let mut answered = BTreeSet::new();
    while answered.len() < 2 {
        let envelope = link.receiver.recv().await.unwrap();
        match envelope.body.unwrap() {
            messages::Body::Heartbeat(_) => {}
            messages::Body::Unavailable(_) => {
                answered.insert(envelope.correlation);
            }
            other => panic!("unexpected message {other:?}"),
        }
    }
    assert_eq!(answered, BTreeSet::from([5, 6]));
}

/// Guards against a removed host that still counts towards the quorum.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_removed_host_does_not_count_towards_the_quorum() {
    let mut group = TestGroup::start().await;
    let leader = group.leader().await;
    let removed = (leader + 1) % 3;
    let member = serde_json::json!({"action": "remove", "name": name(removed)});
    let body = serde_json::to_vec(&member).unwrap();
    loop {
        let answer = request(group.http(leader), "POST", "/v1/members", body.clone()).await;
        if matches!(answer, Some((200, _))) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    group.wait_voters(leader, 2).await;
    // A quorum of two voters is two, and the removed host doesn't count. The leader answers until
    // its lease has expired.
    group.stop((leader + 2) % 3).await;
    loop {
        let answer = request(group.http(leader), "GET", "/readyz", Vec::new()).await;
        if answer.unwrap().0 == 503 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let body = serde_json::to_vec(&change(0, "/policy/offers", 3.into())).unwrap();
    let path = "/v1/settings/changes";
    let answer = request(group.http(leader), "POST", path, body).await;
    assert_eq!(
        answer.unwrap().0,
        503,
        "no change may be accepted without a quorum"
    );
}

/// Guards against entries that see only the endpoints connected to the same control host, or lose
/// all endpoints when they fail over to another host.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn announcements_reach_the_watchers_of_every_host() {
    let mut group = TestGroup::start().await;
    let (shutdown, agent_shutdown) = (CancellationToken::new(), CancellationToken::new());
    let links: Vec<_> = (0..3)
        .map(|index| group.hosts[index].as_ref().unwrap().link)
        .collect();
    let entry = support::start_client(ProcessKind::Entry, "entry-1", &links[..2], &shutdown);
    let agent = support::start_client(ProcessKind::Agent, "agent-1", &links[2..], &agent_shutdown);
    agent.wait_confirmed().await.unwrap();
    let mut directory = entry.watch_directory();
    let knows = |view: &Arc<DirectoryView>| view.members.contains_key("agent-1");
    directory.wait_for(|view| knows(view)).await.unwrap();
    // The entry's host stops. The agent must stay in the view while the entry reconnects to another
    // host.
    let mut connected = entry.watch_connected();
    connected.wait_for(|connected| *connected).await.unwrap();
    group.stop(0).await;
    connected.wait_for(|connected| !connected).await.unwrap();
    connected.wait_for(|connected| *connected).await.unwrap();
    assert!(knows(&directory.borrow_and_update()));
    let base = history(group.http(1)).await.version.0;
    let hosts = [group.http(1), group.http(2)];
    submit(&hosts, &change(base, "/policy/offers", 3.into())).await;
    let mut versions = entry.watch_version();
    versions.wait_for(|version| version.0 > base).await.unwrap();
    assert!(knows(&directory.borrow_and_update()));
    agent_shutdown.cancel();
    directory.wait_for(|view| !knows(view)).await.unwrap();
    shutdown.cancel();
}
