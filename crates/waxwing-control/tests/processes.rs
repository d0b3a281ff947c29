//! Tests of three control hosts as separate processes, which are killed without a graceful
//! shutdown.

mod support;

use std::{
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    path::Path,
    process,
};

use waxwing_core::ids;
use waxwing_settings::operations;

use support::{change, history, request, submit};

/// A running control host, killed on drop.
struct HostProcess {
    child: process::Child,
    http: SocketAddr,
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Picks free ports for the links of three hosts, which need each other's addresses before they
/// start.
fn reserve_ports() -> [u16; 3] {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let sockets = [(); 3].map(|()| std::net::TcpListener::bind(any).unwrap());
    sockets.map(|socket| socket.local_addr().unwrap().port())
}

/// Starts a host. If `http` is zero, the system chooses the port, which is read from the host's
/// log.
fn start(folder: &Path, number: usize, links: [u16; 3], http: u16) -> HostProcess {
    let settings = folder.join(format!("host-{number}.json"));
    let peers: Vec<_> = (0..3)
        .filter(|other| *other != number)
        .map(|other| {
            serde_json::json!({
                "name": format!("control-{other}"),
                "link": format!("127.0.0.1:{}", links[other]),
            })
        })
        .collect();
    let options = serde_json::json!({
        "name": format!("control-{number}"),
        "data_centre": "a",
        "region": "north",
        "link": format!("127.0.0.1:{}", links[number]),
        "http": format!("127.0.0.1:{http}"),
        "data": folder.join(format!("data-{number}")),
        "found": number == 0,
        "settings": folder.join("tree.json"),
        "peers": peers,
    });
    std::fs::write(&settings, format!("// host {number}\n{options}")).unwrap();
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_waxwing-control"))
        .arg("--settings")
        .arg(&settings)
        .env("RUST_LOG", "info")
        .env("NO_COLOR", "1")
        .stderr(process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let opened = lines
        .find_map(|line| line.ok().filter(|line| line.contains("opened its sockets")))
        .unwrap();
    // Keep reading the pipe, or the host blocks when it is full.
    std::thread::spawn(move || lines.for_each(drop));
    let address = |name: &str| -> SocketAddr {
        let (_, rest) = opened.split_once(&format!("{name}=")).unwrap();
        rest.split_whitespace().next().unwrap().parse().unwrap()
    };
    HostProcess {
        http: address("http"),
        child,
    }
}

async fn status(host: SocketAddr) -> operations::StatusAnswer {
    loop {
        if let Some((200, body)) = request(host, "GET", "/v1/status", Vec::new()).await {
            return serde_json::from_slice(&body).unwrap();
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

async fn wait_voters(host: SocketAddr) {
    loop {
        let status = status(host).await;
        let voters = status.members.iter().filter(|member| member.voter).count();
        let named = status.members.iter().all(|member| !member.http.is_empty());
        if voters == 3 && named && status.confirmed {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Guards against accepted changes that are lost when the leader is killed, and against a killed
/// host that restarts with less state than it acknowledged. The current leader is killed in three
/// of nine rounds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keeps_accepted_changes_when_hosts_are_killed() {
    let folder = tempfile::tempdir().unwrap();
    let tree = serde_json::to_vec(&support::tree()).unwrap();
    std::fs::write(folder.path().join("tree.json"), tree).unwrap();
    let links = reserve_ports();
    let mut hosts: Vec<_> = (0..3)
        .map(|number| start(folder.path(), number, links, 0))
        .collect();
    wait_voters(hosts[0].http).await;
    let addresses: Vec<_> = hosts.iter().map(|host| host.http).collect();
    let mut accepted: Vec<(ids::ChangeId, u64)> = Vec::new();
    for round in 0..9u64 {
        if round % 3 == 1 {
            // Kill the current leader, or host 0 if no leader is known.
            let leader = status(addresses[(round as usize) % 3]).await.leader;
            let victim = (0..3).find(|number| Some(format!("control-{number}")) == leader);
            let victim = victim.unwrap_or(0);
            hosts[victim].child.kill().unwrap();
            hosts[victim].child.wait().unwrap();
            let live = addresses[(victim + 1) % 3];
            let base = history(live).await.version.0;
            let request = change(base, "/policy/offers_max", (8 + round % 2).into());
            let answer = submit(&addresses, &request).await;
            let operations::ChangeAnswer::Changed { version } = answer else {
                panic!("unexpected answer {answer:?}");
            };
            accepted.push((request.id, version.0));
            let http = hosts[victim].http.port();
            hosts[victim] = start(folder.path(), victim, links, http);
        }
        let base = history(addresses[0]).await.version.0;
        let request = change(base, "/policy/first_token_target_ms", (500 + round).into());
        let answer = submit(&addresses, &request).await;
        assert_eq!(answer, submit(&addresses, &request).await);
        let operations::ChangeAnswer::Changed { version } = answer else {
            panic!("unexpected answer {answer:?}");
        };
        accepted.push((request.id, version.0));
    }
    for address in addresses {
        let changes = history(address).await.changes;
        let found: Vec<_> = changes
            .iter()
            .map(|change| (change.id, change.version.0))
            .collect();
        assert_eq!(found, accepted);
    }
}

/// Guards against a host that starts with invalid options.
#[test]
fn refuses_bad_settings_with_exit_code_2() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("host.json");
    std::fs::write(&file, r#"{"name": "a b"}"#).unwrap();
    let output = process::Command::new(env!("CARGO_BIN_EXE_waxwing-control"))
        .arg("--settings")
        .arg(&file)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("host.json") && text.contains("a b"), "{text}");
}
