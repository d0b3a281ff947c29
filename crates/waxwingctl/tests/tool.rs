//! The operators' tool against a real control host over loopback.

use std::{net::SocketAddr, time::Duration};

use clap::{CommandFactory as _, Parser as _};
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;
use waxwing_client::{clients, options as client_options};
use waxwing_control::{options, roles};
use waxwing_core::{clock::SystemClock, counters, ids};
use waxwing_settings::{credentials, operations, patches};
use waxwing_wire::messages;
use waxwingctl::{arguments, calls, changes, commands, output};

fn tree() -> Value {
    let digest = |token| credentials::TokenDigest::of(token).to_string();
    json!({
        "tiers": {"bulk": {"rank": 1}},
        "fleet": {"operators": {"ada": {"token_digests": [digest("root")]}}},
        "teams": {"bench": {"operators": {"lin": {"token_digests": [digest("lin")]}}}}
    })
}

/// A control host that runs for one test.
struct TestHost {
    link: SocketAddr,
    http: String,
    shutdown: CancellationToken,
}

impl TestHost {
    async fn start() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let options = options::ControlOptions {
            name: "control-1".parse().unwrap(),
            data_centre: "a".parse().unwrap(),
            region: "north".parse().unwrap(),
            link: any,
            http: any,
            data: None,
            found: true,
            peers: Vec::new(),
            tls: None,
            settings: None,
        };
        let mut bound = roles::bind(options, SystemClock).await.unwrap();
        bound.set_initial_tree(tree()).unwrap();
        let host = Self {
            link: bound.link_address(),
            http: format!("http://{}", bound.http_address()),
            shutdown: CancellationToken::new(),
        };
        tokio::spawn(bound.run(host.shutdown.clone()));
        // The initial settings tree, which defines the operators, is in force a moment after the start.
        let client = host.client("waiting");
        client.wait_confirmed().await.unwrap();
        host
    }

    fn client(&self, name: &str) -> clients::ControlClient<SystemClock> {
        let announcement = messages::Announce {
            process: Some(messages::Hello {
                kind: messages::ProcessKind::Entry as i32,
                name: name.to_owned(),
                incarnation: 1,
                data_centre: "a".to_owned(),
            }),
            ..messages::Announce::default()
        };
        clients::ControlClient::start(
            client_options::ClientOptions::new(announcement, vec![self.link]),
            SystemClock,
            counters::CounterSet::new(),
            self.shutdown.clone(),
        )
    }

    fn caller(&self, token: &str) -> calls::ControlCaller<SystemClock> {
        // Nothing listens at the first address, so the tool has to try the next one.
        let hosts = vec!["http://127.0.0.1:1".to_owned(), self.http.clone()];
        calls::ControlCaller::new(hosts, token.to_owned(), SystemClock)
    }

    async fn run(&self, token: &str, line: &str) -> u8 {
        let arguments = arguments::ToolArguments::try_parse_from(line.split(' ')).unwrap();
        let runner = commands::CommandRunner::new(self.caller(token), false);
        runner.run(&arguments.command).await.unwrap()
    }
}

fn change(base: ids::SettingsVersion, path: &str, value: Value) -> operations::ChangeRequest {
    operations::ChangeRequest {
        id: ids::ChangeId::random(),
        base,
        patch: patches::SettingsPatch::from_entries([(path.into(), value)]).unwrap(),
        dry_run: false,
    }
}

/// Guards against contradictory definitions of arguments, which clap reports only at run time.
#[test]
fn command_line_is_consistent() {
    arguments::ToolArguments::command().debug_assert();
}

/// Guards against convenience commands whose changes the control host refuses, and against operators
/// who can change more than their team.
#[tokio::test]
async fn convenience_commands_change_the_tree() {
    let host = TestHost::start().await;
    for (token, line, code) in [
        ("root", "waxwingctl tier create urgent --rank 0", 0),
        (
            "root",
            "waxwingctl tier create other --rank 0",
            commands::NOT_ACCEPTED,
        ),
        (
            "lin",
            "waxwingctl tier create night --rank 3",
            commands::NOT_ACCEPTED,
        ),
        ("root", "waxwingctl team create sales --operator kim", 0),
        (
            "lin",
            "waxwingctl service create register --team bench --kind plain --default-tier urgent",
            0,
        ),
        (
            "lin",
            "waxwingctl account create orders --team bench --services register --tiers urgent",
            0,
        ),
        (
            "lin",
            "waxwingctl role create desk --team bench --services register",
            0,
        ),
        (
            "lin",
            "waxwingctl service remove register --team bench",
            commands::NOT_ACCEPTED,
        ),
        ("root", "waxwingctl drain agent-1 agent-2 --wait", 0),
        ("root", "waxwingctl undrain agent-1", 0),
        ("root", "waxwingctl account list", 0),
        ("root", "waxwingctl status", 0),
        ("root", "waxwingctl settings history", 0),
        (
            "root",
            "waxwingctl member remove control-9",
            commands::NOT_ACCEPTED,
        ),
    ] {
        assert_eq!(host.run(token, line).await, code, "{line}");
    }
    let tree = host.caller("root").read_settings("/").await.unwrap().tree;
    assert_eq!(tree["fleet"]["draining"], json!(["agent-2"]));
    assert_eq!(tree["tiers"]["urgent"]["rank"], 0);
    assert_eq!(
        tree["teams"]["bench"]["accounts"]["orders"]["services"],
        json!(["register"])
    );
    let foreign = host.caller("wrong").read_settings("/").await.unwrap_err();
    assert!(
        !foreign.to_string().contains("wrong"),
        "errors must not contain tokens"
    );
    host.shutdown.cancel();
}

/// Guards against answers that name neither the winner of a conflict nor the errors of a change, and
/// against a dry run that changes something.
#[tokio::test]
async fn answers_name_winner_and_errors() {
    let host = TestHost::start().await;
    let caller = host.caller("root");
    let base = caller.read_settings("/").await.unwrap().version;
    let mut dry_run_change = change(base, "/policy/offers", json!(3));
    dry_run_change.dry_run = true;
    let checked = caller.submit_change(&dry_run_change).await.unwrap();
    assert_eq!(checked, operations::ChangeAnswer::Checked { version: base });
    let first = change(base, "/policy/offers", json!(3));
    let won = caller.submit_change(&first).await.unwrap();
    assert!(matches!(won, operations::ChangeAnswer::Changed { .. }));
    assert_eq!(caller.submit_change(&first).await.unwrap(), won);
    let second = change(base, "/policy/offers", json!(4));
    let lost = caller.submit_change(&second).await.unwrap();
    let text = output::describe_answer(&lost);
    assert!(
        text.contains(&first.id.to_string()) && text.contains("root/ada"),
        "{text}"
    );
    let version = caller.read_settings("/").await.unwrap().version;
    let bad = change(version, "/policy/offers", json!(99));
    let text = output::describe_answer(&caller.submit_change(&bad).await.unwrap());
    assert!(
        text.contains("/policy/offers: found 99; allowed: a whole number from 1 to 8"),
        "{text}"
    );
    let history = caller.read_history(base, false).await.unwrap();
    let ids: Vec<_> = history.changes.iter().map(|change| change.id).collect();
    assert_eq!(ids, [first.id]);
    host.shutdown.cancel();
}

/// Guards against `--wait` returning while some process still runs an older version.
#[tokio::test]
async fn wait_names_lagging_processes() {
    let host = TestHost::start().await;
    let caller = host.caller("root");
    let base = caller.read_settings("/").await.unwrap().version;
    let unreached = ids::SettingsVersion(base.0 + 1_000);
    let lagging = caller
        .wait_in_force(unreached, Duration::ZERO)
        .await
        .unwrap();
    let names: Vec<_> = lagging.iter().map(|process| &*process.name).collect();
    assert_eq!(names, ["waiting"]);
    let request = change(base, "/policy/offers", json!(3));
    let answer = caller.submit_change(&request).await.unwrap();
    let operations::ChangeAnswer::Changed { version } = answer else {
        panic!("unexpected answer {answer:?}");
    };
    let limit = Duration::from_secs(8);
    assert_eq!(caller.wait_in_force(version, limit).await.unwrap(), []);
    host.shutdown.cancel();
}

/// Guards against a token that is predictable, stored in the settings, or printed by `Debug`.
#[test]
fn tokens_are_random_and_only_their_digest_is_stored() {
    let line = "waxwingctl account create orders --team bench";
    let arguments = arguments::ToolArguments::try_parse_from(line.split(' ')).unwrap();
    let arguments::ToolCommand::Account(command) = &arguments.command else {
        panic!("not an account command");
    };
    let plan = changes::plan_account(command).unwrap().unwrap();
    let other = changes::plan_account(command).unwrap().unwrap();
    let token = plan.token.as_ref().unwrap();
    assert_ne!(Some(token), other.token.as_ref());
    assert_eq!(token.reveal().len(), 64);
    assert!(!format!("{plan:?}").contains(token.reveal()));
    let patch = String::from_utf8(plan.patch.to_vec()).unwrap();
    assert!(!patch.contains(token.reveal()));
    assert!(patch.contains(&credentials::TokenDigest::of(token.reveal()).to_string()));
}
