//! Three control hosts in one process over loopback, on data folders.

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

/// A `RunningHost` is a host of the test.
struct RunningHost {
    link: SocketAddr,
    http: SocketAddr,
    shutdown: CancellationToken,
    task: JoinHandle<Result<(), errors::ControlError>>,
}

/// A `TestGroup` is a group of three hosts on folders.
struct TestGroup {
    folder: tempfile::TempDir,
    hosts: Vec<Option<RunningHost>>,
    links: Vec<SocketAddr>,
}

fn name(number: usize) -> String {
    format!("control-{number}")
}

impl TestGroup {
    async fn start() -> Self {
        let mut group = Self {
            folder: tempfile::tempdir().unwrap(),
            hosts: Vec::new(),
            links: Vec::new(),
        };
        let mut bound = Vec::new();
        for number in 0..3 {
            let options = group.options(number, SocketAddr::from(([127, 0, 0, 1], 0)));
            bound.push(roles::bind(options, clock::SystemClock).await.unwrap());
        }
        group.links = bound
            .iter()
            .map(roles::BoundControl::link_address)
            .collect();
        for (number, mut host) in bound.into_iter().enumerate() {
            host.set_peers(group.peers(number));
            // Snapshots every few changes, so that restarts and new members start from them.
            host.set_snapshot_bytes(2_048);
            if number == 0 {
                host.set_first_tree(support::tree()).unwrap();
            }
            group.hosts.push(Some(run(host)));
        }
        group.wait_voters(0, 3).await;
        group
    }

    fn folder(&self, number: usize) -> path::PathBuf {
        self.folder.path().join(name(number))
    }

    fn options(&self, number: usize, link: SocketAddr) -> options::ControlOptions {
        options::ControlOptions {
            link,
            data: Some(self.folder(number)),
            found: number == 0,
            ..support::host_options(&name(number))
        }
    }

    fn peers(&self, own: usize) -> Vec<options::PeerOptions> {
        let others = self.links.iter().enumerate();
        others
            .filter(|(number, _)| *number != own)
            .map(|(number, link)| options::PeerOptions {
                name: name(number).parse().unwrap(),
                link: *link,
            })
            .collect()
    }

    async fn stop(&mut self, number: usize) {
        let host = self.hosts[number].take().unwrap();
        host.shutdown.cancel();
        host.task.await.unwrap().unwrap();
    }

    async fn restart(&mut self, number: usize) {
        let options = self.options(number, self.links[number]);
        let mut host = roles::bind(options, clock::SystemClock).await.unwrap();
        host.set_peers(self.peers(number));
        host.set_snapshot_bytes(2_048);
        self.hosts[number] = Some(run(host));
    }

    fn http(&self, number: usize) -> SocketAddr {
        self.hosts[number].as_ref().unwrap().http
    }

    async fn status(&self, number: usize) -> operations::StatusAnswer {
        loop {
            let answer = request(self.http(number), "GET", "/v1/status", Vec::new()).await;
            if let Some((200, body)) = answer {
                return serde_json::from_slice(&body).unwrap();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn wait_voters(&self, number: usize, voters: usize) {
        loop {
            let status = self.status(number).await;
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
            for number in 0..3 {
                if self.hosts[number].is_some()
                    && let Some(leader) = self.status(number).await.leader
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

/// Guards against accepted changes that are lost, doubled, reordered or reverted when the leader
/// stops while operators race and resend, and against a resend that gets another answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keeps_accepted_changes_when_the_leader_stops() {
    let mut group = TestGroup::start().await;
    let hosts: Vec<_> = (0..3).map(|number| group.http(number)).collect();
    let mut accepted: Vec<(ids::ChangeId, u64)> = Vec::new();
    let mut conflicts = 0;
    for round in 0..30u64 {
        if round == 10 {
            let leader = group.leader().await;
            group.stop(leader).await;
        }
        let live: Vec<_> = (0..3)
            .filter(|number| group.hosts[*number].is_some())
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
                "a resend gets the first answer"
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
        "of two racing changes one wins"
    );
    for number in (0..3).filter(|number| group.hosts[*number].is_some()) {
        let found = history(group.http(number)).await;
        let found: Vec<_> = found
            .changes
            .iter()
            .map(|change| (change.id, change.version.0))
            .collect();
        assert_eq!(found, accepted);
    }
    let stopped = (0..3)
        .find(|number| group.hosts[*number].is_none())
        .unwrap();
    group.restart(stopped).await;
    let found = history(group.http(stopped)).await;
    let found: BTreeSet<_> = found.changes.iter().map(|change| change.id).collect();
    assert_eq!(
        found.len(),
        30,
        "a restarted host has every accepted change"
    );
}

/// Guards against a host that votes with a wiped disk under its former identity, one that never
/// comes back, and a wiped founder that founds a second group with the first settings.
#[test_case(0; "the founder")]
#[test_case(1; "another host")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn takes_a_host_with_a_wiped_disk_back(lost: usize) {
    let mut group = TestGroup::start().await;
    let (other, third) = ((lost + 1) % 3, (lost + 2) % 3);
    let hosts = [group.http(other)];
    for round in 0..10 {
        let base = history(hosts[0]).await.version.0;
        let request = change(base, "/policy/offers_max", (8 + round % 2).into());
        let answer = submit(&hosts, &request).await;
        assert!(matches!(answer, operations::ChangeAnswer::Changed { .. }));
    }
    group.stop(lost).await;
    std::fs::remove_dir_all(group.folder(lost)).unwrap();
    group.restart(lost).await;
    group.wait_voters(lost, 3).await;
    // With the repaired host, the group survives the loss of another one.
    group.stop(other).await;
    let found = history(group.http(lost)).await;
    assert_eq!(found.changes.len(), 10);
    assert_eq!(found, history(group.http(third)).await);
    let hosts = [group.http(lost)];
    let request = change(found.version.0, "/policy/offers", 3.into());
    let answer = submit(&hosts, &request).await;
    assert!(matches!(answer, operations::ChangeAnswer::Changed { .. }));
}

/// Guards against a process that goes back to an older version when its control host is lost, and
/// against claims that are lost with a host.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn clients_fail_over_with_their_settings_and_claims() {
    let mut group = TestGroup::start().await;
    let shutdown = CancellationToken::new();
    let links: Vec<_> = (0..3)
        .map(|number| group.hosts[number].as_ref().unwrap().link)
        .collect();
    let entry = support::start_client(ProcessKind::Entry, "entry-1", &links, &shutdown);
    entry.wait_confirmed().await.unwrap();
    let first = entry.claim(support::claim("k", 1)).await.unwrap();
    assert!(first.granted);
    let before = entry.settings().version;
    // The client's first host is the first in its list.
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

/// Guards against orders that never reach an agent whose link another host than the leader has,
/// and against orders without the fencing number of the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn orders_reach_agents_of_any_host() {
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
    let fencing = agent.ask_fencing().await.unwrap();
    assert_eq!((order.target.as_str(), order.fencing), ("draft", fencing.0));
    assert_eq!(order.kind, messages::OrderKind::LoadModel as i32);
    shutdown.cancel();
}

/// Guards against a control host that is cut off from the others and still gives settings to a
/// process that starts, or takes claims.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_isolated_host_gives_nothing() {
    let mut group = TestGroup::start().await;
    let isolated = group.hosts[2].as_ref().unwrap().link;
    group.stop(0).await;
    group.stop(1).await;
    // The last host may have been handed the office, and may answer until that lease has ended.
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

/// Guards against a removed host that still counts for a quorum.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn operators_remove_hosts() {
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
    // Two voters need both; the removed host doesn't count. The leader's lease ends first.
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
        "nothing is accepted without a quorum"
    );
}

/// Guards against entries that know only the endpoints whose link their own control host has, or
/// lose them all when they come to another host.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn announcements_reach_the_watchers_of_every_host() {
    let mut group = TestGroup::start().await;
    let (shutdown, agent_shutdown) = (CancellationToken::new(), CancellationToken::new());
    let links: Vec<_> = (0..3)
        .map(|number| group.hosts[number].as_ref().unwrap().link)
        .collect();
    let entry = support::start_client(ProcessKind::Entry, "entry-1", &links[..2], &shutdown);
    let agent = support::start_client(ProcessKind::Agent, "agent-1", &links[2..], &agent_shutdown);
    agent.wait_confirmed().await.unwrap();
    let mut directory = entry.watch_directory();
    let knows = |view: &Arc<DirectoryView>| view.members.contains_key("agent-1");
    directory.wait_for(|view| knows(view)).await.unwrap();
    // The entry's host stops; the member must not leave the view on the way to the next one.
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
