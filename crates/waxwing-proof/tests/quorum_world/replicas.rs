//! Simulated processes without a disk, each of which receives the settings from one control host at
//! a time.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use smol_str::SmolStr;
use waxwing_client::settings;
use waxwing_core::ids;
use waxwing_proof::{events::RunEvent, steps::WorkStep};
use waxwing_quorum::units;
use waxwing_settings::view;
use waxwing_wire::messages;

use super::{ControlSimulation, MAIN};

/// Time without a confirmation by a quorum after which a process switches to another control host.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);

/// A process that subscribes to the settings, across its restarts.
pub(super) struct SettingsSubscriber {
    name: SmolStr,
    pub(super) alive: bool,
    host: usize,
    replica: settings::SettingsReplica,
    /// Whether a quorum has confirmed a read since the process started.
    started: bool,
    last_confirmed: Duration,
    /// The pending read: its token, and the leader that was asked to confirm it.
    pending_read: Option<(u64, usize)>,
}

fn empty_replica() -> settings::SettingsReplica {
    settings::SettingsReplica::new(Arc::new(ArcSwap::from_pointee(
        view::SettingsView::default(),
    )))
}

impl SettingsSubscriber {
    pub(super) fn new(name: &str, host: usize) -> Self {
        Self {
            name: name.into(),
            alive: true,
            host,
            replica: empty_replica(),
            started: false,
            last_confirmed: Duration::ZERO,
            pending_read: None,
        }
    }

    /// Kills the process; it loses all its state.
    pub(super) fn kill(&mut self) {
        self.alive = false;
        self.replica = empty_replica();
        self.started = false;
        self.pending_read = None;
    }
}

impl ControlSimulation {
    pub(super) fn update_subscribers(&mut self) {
        if !self.now.as_millis().is_multiple_of(100) {
            return;
        }
        for replica in 0..self.replicas.len() {
            if self.replicas[replica].alive {
                self.update_subscriber(replica);
            }
        }
    }

    fn update_subscriber(&mut self, replica: usize) {
        let host = self.replicas[replica].host;
        let silent = self.now - self.replicas[replica].last_confirmed > CONFIRMATION_TIMEOUT;
        if self.hosts[host].running.is_none() || silent {
            self.replicas[replica].host = (host + 1) % self.hosts.len();
            self.replicas[replica].last_confirmed = self.now;
            self.replicas[replica].pending_read = None;
            return;
        }
        self.take_confirmation(replica);
        if self.replicas[replica].pending_read.is_none() {
            self.request_confirmation(replica);
        }
        if self.replicas[replica].started {
            self.take_settings(replica);
        }
    }

    /// Has the control host ask the leader to confirm a read.
    fn request_confirmation(&mut self, replica: usize) {
        let host = self.replicas[replica].host;
        let Some(running) = self.hosts[host].running.as_ref() else {
            return;
        };
        let leader = running.node.status().leader;
        let leads = |other: &usize| leader == Some(self.hosts[*other].identity);
        let Some(leader) = (0..self.hosts.len()).find(leads) else {
            return;
        };
        let blocked = self.blocked_links.contains(&(host, leader))
            || self.blocked_links.contains(&(leader, host));
        if blocked && host != leader {
            return;
        }
        self.last_sequence += 1;
        let token = self.last_sequence;
        let now = self.now;
        let Some(running) = self.hosts[leader].running.as_mut() else {
            return;
        };
        let clock = running.clock(now);
        if running
            .node
            .read_index(clock, units::ReadToken(token))
            .is_ok()
        {
            self.replicas[replica].pending_read = Some((token, leader));
            self.process_outputs(leader);
        }
    }

    fn take_confirmation(&mut self, replica: usize) {
        let Some((token, leader)) = self.replicas[replica].pending_read else {
            return;
        };
        let host = self.replicas[replica].host;
        let confirmed = self.hosts[leader]
            .running
            .as_ref()
            .map(|running| running.confirmed.get(&token));
        match confirmed {
            // The leader that was asked is no longer running.
            None => self.replicas[replica].pending_read = None,
            Some(None) => {
                let leads = self.leader() == Some(leader);
                if !leads {
                    self.replicas[replica].pending_read = None;
                }
            }
            Some(Some(index)) => {
                let index = *index;
                let applied = self.hosts[host]
                    .running
                    .as_ref()
                    .map(|running| running.machine.applied());
                if applied.is_some_and(|applied| applied >= index) {
                    self.replicas[replica].pending_read = None;
                    self.replicas[replica].started = true;
                    self.replicas[replica].last_confirmed = self.now;
                }
            }
        }
    }

    /// Applies the settings of the control host: deltas if it still has all of them, else a snapshot
    /// of the whole tree.
    fn take_settings(&mut self, replica: usize) {
        let host = self.replicas[replica].host;
        let Some(running) = self.hosts[host].running.as_ref() else {
            return;
        };
        let state = running.machine.settings();
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
        let subscriber = &mut self.replicas[replica];
        match deltas.filter(|_| before.0 > 0) {
            Some(deltas) => {
                for delta in deltas {
                    subscriber.replica.apply_delta(&delta);
                }
            }
            None => {
                subscriber.replica.apply_snapshot(&snapshot);
            }
        }
        let in_force = subscriber.replica.version();
        if in_force != before {
            let process = subscriber.name.clone();
            self.record_event(RunEvent::InForce {
                process,
                version: in_force,
                changes: changes.clone(),
            });
        }
        if changes.contains(&MAIN) {
            self.inject_if_due(WorkStep::InForce);
        }
    }
}
