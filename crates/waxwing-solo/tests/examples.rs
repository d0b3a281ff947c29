//! Consistency of the process settings in `examples/`.

use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf};

use serde::de::DeserializeOwned;
use test_case::test_case;
use waxwing_agent::AgentOptions;
use waxwing_control::ControlOptions;
use waxwing_entry::EntryOptions;
use waxwing_settings::{files, view};

fn folder(deployment: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.join("examples").join(deployment)
}

fn load<T: DeserializeOwned>(deployment: &str, kind: &str, count: u32) -> Vec<T> {
    let names = (1..=count).map(|number| format!("{kind}-{number}.json"));
    let files = names.map(|name| folder(deployment).join("processes").join(name));
    files
        .map(|file| files::load(&file).unwrap_or_else(|error| panic!("{error}")))
        .collect()
}

/// Guards against process settings that a role refuses, that use an address twice, or that name
/// control hosts or endpoint roles that do not exist.
#[test_case("atelier"; "atelier")]
#[test_case("tunis"; "tunis")]
fn process_settings_are_consistent(deployment: &str) {
    let controls: Vec<ControlOptions> = load(deployment, "control", 3);
    let agents: Vec<AgentOptions> = load(deployment, "agent", 3);
    let entries: Vec<EntryOptions> = load(deployment, "entry", 2);
    let tree: view::SettingsTree = files::load(&folder(deployment).join("settings.json"))
        .unwrap_or_else(|error| panic!("{error}"));
    let links: Vec<_> = controls.iter().map(|control| control.link).collect();
    assert_eq!(controls.iter().filter(|control| control.found).count(), 1);
    for control in &controls {
        let peers: Vec<_> = control.peers.iter().map(|peer| peer.link).collect();
        let others = links.iter().filter(|link| **link != control.link);
        assert_eq!(peers, others.copied().collect::<Vec<_>>());
    }
    for entry in &entries {
        entry
            .check("entry")
            .unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(entry.control_hosts, links);
    }
    let roles: BTreeSet<_> = tree
        .teams
        .values()
        .flat_map(|team| team.roles.keys())
        .collect();
    for agent in &agents {
        assert_eq!(agent.control, links);
        assert!(roles.contains(&agent.role), "{}", agent.role);
    }
    let mut addresses: Vec<SocketAddr> = links;
    addresses.extend(controls.iter().map(|control| control.http));
    addresses.extend(entries.iter().map(|entry| entry.http_address));
    addresses.extend(agents.iter().map(|agent| agent.link_address));
    let endpoints = agents
        .iter()
        .map(|agent| agent.endpoint_address().expect("an address"));
    addresses.extend(endpoints);
    let different: BTreeSet<_> = addresses.iter().collect();
    assert_eq!(
        different.len(),
        addresses.len(),
        "two sockets share an address"
    );
}
