//! Processes without a disk that follow the settings from one control host at a time.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use smol_str::SmolStr;
use waxwing_client::settings;
use waxwing_core::ids;
use waxwing_proof::{events::RunEvent, steps::WorkStep};
use waxwing_quorum::units;
use waxwing_settings::view;
use waxwing_wire::messages;

use super::{ControlWorld, MAIN};

/// Time without a confirmation by a quorum after which a process changes its control host.
const HOST_SILENCE: Duration = Duration::from_secs(3);

/// A `SettingsFollower` is such a process over all its lives.
pub(super) struct SettingsFollower {
    name: SmolStr,
    pub(super) alive: bool,
    host: usize,
    replica: settings::SettingsReplica,
    /// Whether a quorum has confirmed the first version of this life.
    started: bool,
    last_confirmed: Duration,
    /// The read that the process waits for, with the host that asked the leader for it.
    waiting: Option<(u64, usize)>,
}

fn empty_replica() -> settings::SettingsReplica {
    settings::SettingsReplica::new(Arc::new(ArcSwap::from_pointee(
        view::SettingsView::default(),
    )))
}

impl SettingsFollower {
    pub(super) fn new(name: &str, host: usize) -> Self {
        Self {
            name: name.into(),
            alive: true,
            host,
            replica: empty_replica(),
            started: false,
            last_confirmed: Duration::ZERO,
            waiting: None,
        }
    }

    /// The process dies and forgets everything.
    pub(super) fn kill(&mut self) {
        self.alive = false;
        self.replica = empty_replica();
        self.started = false;
        self.waiting = None;
    }
}

impl ControlWorld {
    pub(super) fn follow(&mut self) {
        if !self.now.as_millis().is_multiple_of(100) {
            return;
        }
        for replica in 0..self.replicas.len() {
            if self.replicas[replica].alive {
                self.follow_one(replica);
            }
        }
    }

    fn follow_one(&mut self, replica: usize) {
        let host = self.replicas[replica].host;
        let silent = self.now - self.replicas[replica].last_confirmed > HOST_SILENCE;
        if self.hosts[host].life.is_none() || silent {
            self.replicas[replica].host = (host + 1) % self.hosts.len();
            self.replicas[replica].last_confirmed = self.now;
            self.replicas[replica].waiting = None;
            return;
        }
        self.take_confirmation(replica);
        if self.replicas[replica].waiting.is_none() {
            self.ask_confirmation(replica);
        }
        if self.replicas[replica].started {
            self.take_settings(replica);
        }
    }

    /// The control host asks the leader to confirm a read.
    fn ask_confirmation(&mut self, replica: usize) {
        let host = self.replicas[replica].host;
        let Some(life) = self.hosts[host].life.as_ref() else {
            return;
        };
        let leader = life.node.status().leader;
        let leads = |other: &usize| leader == Some(self.hosts[*other].identity);
        let Some(leader) = (0..self.hosts.len()).find(leads) else {
            return;
        };
        let cut = self.cuts.contains(&(host, leader)) || self.cuts.contains(&(leader, host));
        if cut && host != leader {
            return;
        }
        self.sent += 1;
        let token = self.sent;
        let now = self.now;
        let Some(life) = self.hosts[leader].life.as_mut() else {
            return;
        };
        let clock = life.clock(now);
        if life.node.read_index(clock, units::ReadToken(token)).is_ok() {
            self.replicas[replica].waiting = Some((token, leader));
            self.turn(leader);
        }
    }

    fn take_confirmation(&mut self, replica: usize) {
        let Some((token, leader)) = self.replicas[replica].waiting else {
            return;
        };
        let host = self.replicas[replica].host;
        let confirmed = self.hosts[leader]
            .life
            .as_ref()
            .map(|life| life.confirmed.get(&token));
        match confirmed {
            // The leader that was asked is gone.
            None => self.replicas[replica].waiting = None,
            Some(None) => {
                let leads = self.leader() == Some(leader);
                if !leads {
                    self.replicas[replica].waiting = None;
                }
            }
            Some(Some(index)) => {
                let index = *index;
                let applied = self.hosts[host]
                    .life
                    .as_ref()
                    .map(|life| life.machine.applied());
                if applied.is_some_and(|applied| applied >= index) {
                    self.replicas[replica].waiting = None;
                    self.replicas[replica].started = true;
                    self.replicas[replica].last_confirmed = self.now;
                }
            }
        }
    }

    /// Takes what the control host has: deltas where it still keeps them, else the whole tree.
    fn take_settings(&mut self, replica: usize) {
        let host = self.replicas[replica].host;
        let Some(life) = self.hosts[host].life.as_ref() else {
            return;
        };
        let state = life.machine.settings();
        let version = state.version();
        let before = self.replicas[replica].replica.version();
        if version == before || version.0 == 0 {
            return;
        }
        let changes: Vec<_> = state
            .history()
            .filter_map(|change| ids::ChangeId::from_slice(&change.summary.id).ok())
            .collect();
        if changes.contains(&MAIN) && self.is_due(WorkStep::Distributed) {
            self.inject();
            return;
        }
        let tree = state.tree().to_string().into();
        let snapshot = messages::SettingsSnapshot {
            version: version.0,
            tree,
        };
        let deltas: Option<Vec<_>> = state.changes_after(before.0).map(|deltas| {
            let delta =
                |change: &waxwing_control::changes::AcceptedChange| messages::SettingsDelta {
                    base: change.summary.base,
                    version: change.summary.version,
                    patch: change.patch.clone(),
                };
            deltas.map(delta).collect()
        });
        let follower = &mut self.replicas[replica];
        match deltas.filter(|_| before.0 > 0) {
            Some(deltas) => {
                for delta in deltas {
                    follower.replica.take_delta(&delta);
                }
            }
            None => {
                follower.replica.take_snapshot(&snapshot);
            }
        }
        let in_force = follower.replica.version();
        if in_force != before {
            let process = follower.name.clone();
            self.note(RunEvent::InForce {
                process,
                version: in_force,
                changes: changes.clone(),
            });
        }
        if changes.contains(&MAIN) {
            self.strike_if_due(WorkStep::InForce);
        }
    }
}
