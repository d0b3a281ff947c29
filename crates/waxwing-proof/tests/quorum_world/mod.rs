//! Simulation of control hosts, operators and two processes that subscribe to the settings, on one
//! clock that advances in fixed steps. The replicated log, the store, the state machine and the
//! settings replica are the real ones; disks are in memory, and the network is a queue.

mod hosts;
mod inject;
mod operators;
mod replicas;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use waxwing_core::ids;
use waxwing_proof::{
    events::{RunEvent, RunRecord},
    faults::SystemFault,
    steps::WorkStep,
};
use waxwing_quorum::members;

/// The step of the clock.
pub(crate) const TICK: Duration = Duration::from_millis(10);

/// The change whose progress the steps of the matrix follow.
pub(crate) const MAIN: ids::ChangeId = ids::ChangeId(1);

/// A change submitted after the faults; it shows that the group still accepts changes.
pub(crate) const LAST: ids::ChangeId = ids::ChangeId(90);

/// The fault to inject and the step at which to inject it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ControlPlan {
    pub(crate) step: WorkStep,
    pub(crate) fault: SystemFault,
}

/// How many of the next messages between control hosts are dropped, duplicated, reordered and
/// delayed.
#[derive(Debug, Clone, Copy, Default)]
struct NetworkFaults {
    dropped: u32,
    duplicated: u32,
    reordered: u32,
    delayed: u32,
}

/// The simulated control group with its operators and settings subscribers.
pub(crate) struct ControlSimulation {
    now: Duration,
    hosts: Vec<hosts::ControlHost>,
    network: BTreeMap<(Duration, u64), (usize, usize, Bytes)>,
    last_sequence: u64,
    blocked_links: BTreeSet<(usize, usize)>,
    network_faults: NetworkFaults,
    next_store: u128,
    operators: Vec<operators::OperatorRequest>,
    replicas: Vec<replicas::SettingsSubscriber>,
    /// The desired members, as indices of hosts.
    desired: BTreeSet<usize>,
    scheduled_actions: BTreeMap<(Duration, u64), ScheduledAction>,
    leaders: BTreeMap<u64, members::MemberIdentity>,
    plan: Option<ControlPlan>,
    fault_injected: bool,
    wall_clock_jumped: bool,
    stopping: Option<usize>,
    pub(crate) record: RunRecord,
    pub(crate) violation: Option<String>,
}

/// An action scheduled for a given time.
#[derive(Debug, Clone, Copy)]
enum ScheduledAction {
    Crash(usize),
    CrashLeader,
    Restart(usize),
    Wipe(usize),
    Heal,
    StartReplica(usize),
    StopLeader,
    AddHost,
    RemoveHost(usize),
    Submit(ids::ChangeId),
}

impl ControlSimulation {
    /// Bootstraps a group of three hosts; a fourth one runs and waits to be added.
    pub(crate) fn new(plan: Option<ControlPlan>) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            hosts: Vec::new(),
            network: BTreeMap::new(),
            last_sequence: 0,
            blocked_links: BTreeSet::new(),
            network_faults: NetworkFaults::default(),
            next_store: 1,
            operators: Vec::new(),
            replicas: vec![
                replicas::SettingsSubscriber::new("entry-1", 0),
                replicas::SettingsSubscriber::new("agent-1", 1),
            ],
            desired: (0..3).collect(),
            scheduled_actions: BTreeMap::new(),
            leaders: BTreeMap::new(),
            plan,
            fault_injected: false,
            wall_clock_jumped: false,
            stopping: None,
            record: RunRecord::default(),
            violation: None,
        };
        simulation.bootstrap_group();
        simulation.record.reachable = vec!["entry-1".into(), "agent-1".into()];
        simulation
    }

    fn schedule(&mut self, delay: Duration, action: ScheduledAction) {
        self.last_sequence += 1;
        self.scheduled_actions
            .insert((self.now + delay, self.last_sequence), action);
    }

    /// Submits the main change after a delay.
    pub(crate) fn submit_main(&mut self, delay: Duration) {
        self.schedule(delay, ScheduledAction::Submit(MAIN));
    }

    /// Submits the last change after a delay.
    pub(crate) fn submit_last(&mut self, delay: Duration) {
        self.schedule(delay, ScheduledAction::Submit(LAST));
    }

    /// Shuts the leader down gracefully after a delay.
    pub(crate) fn stop_leader(&mut self, delay: Duration) {
        self.schedule(delay, ScheduledAction::StopLeader);
    }

    /// Adds the fourth host after a delay, and removes one of the first three eight seconds later.
    pub(crate) fn change_members(&mut self, delay: Duration) {
        self.schedule(delay, ScheduledAction::AddHost);
        self.schedule(
            delay + Duration::from_secs(8),
            ScheduledAction::RemoveHost(1),
        );
    }

    /// Wipes the disk of a follower after a delay, so that the group is repaired before the main
    /// change.
    pub(crate) fn schedule_wipe(&mut self, delay: Duration) {
        self.schedule(delay, ScheduledAction::Wipe(2));
    }

    /// Runs until `end`, or until an invariant of the replicated log is violated.
    pub(crate) fn run(&mut self, end: Duration) {
        while self.now < end && self.violation.is_none() {
            self.now += TICK;
            self.run_due_actions();
            self.deliver();
            for host in 0..self.hosts.len() {
                self.tick_host(host);
            }
            self.run_operators();
            self.reconcile_members();
            self.update_subscribers();
        }
        self.record.end = self.now;
    }

    fn run_due_actions(&mut self) {
        let later = self.scheduled_actions.split_off(&(self.now, u64::MAX));
        for (_, action) in std::mem::replace(&mut self.scheduled_actions, later) {
            match action {
                ScheduledAction::Crash(host) => self.crash(host),
                ScheduledAction::CrashLeader => {
                    if let Some(leader) = self.leader() {
                        self.crash(leader);
                        self.schedule(Duration::from_secs(2), ScheduledAction::Restart(leader));
                    }
                }
                ScheduledAction::Restart(host) => self.restart(host),
                ScheduledAction::Wipe(host) => self.wipe(host),
                ScheduledAction::Heal => self.blocked_links.clear(),
                ScheduledAction::StartReplica(replica) => self.replicas[replica].alive = true,
                ScheduledAction::StopLeader => self.begin_shutdown(),
                ScheduledAction::AddHost => {
                    self.desired.insert(3);
                }
                ScheduledAction::RemoveHost(host) => {
                    self.desired.remove(&host);
                }
                ScheduledAction::Submit(change) => self.submit(change),
            }
        }
    }

    fn record_event(&mut self, event: RunEvent) {
        self.record.push(self.now, event);
    }

    fn report_violation(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    /// Tells whether the planned fault was injected.
    pub(crate) fn was_fault_injected(&self) -> bool {
        self.fault_injected
    }

    /// Tells whether a change was accepted.
    pub(crate) fn was_accepted(&self, wanted: ids::ChangeId) -> bool {
        self.record.events.iter().any(|timed| {
            matches!(timed.event, RunEvent::ChangeAccepted { change, .. } if change == wanted)
        })
    }

    /// Tells whether an operator got an answer, whether acceptance or conflict.
    pub(crate) fn was_answered(&self, wanted: ids::ChangeId) -> bool {
        self.operators
            .iter()
            .any(|request| request.change == wanted && request.answered)
    }

    /// Tells whether two changes based on the same version were both accepted.
    pub(crate) fn has_conflicting_changes(&self) -> bool {
        let accepted: Vec<_> = self
            .operators
            .iter()
            .filter(|request| self.was_accepted(request.change))
            .filter_map(|request| request.base)
            .collect();
        accepted.iter().collect::<BTreeSet<_>>().len() < accepted.len()
    }

    /// Tells whether the group has exactly the desired members, all of them voters.
    pub(crate) fn has_desired_members(&self) -> bool {
        let running = self
            .leader()
            .and_then(|leader| self.hosts[leader].running.as_ref());
        running.is_some_and(|running| {
            let voters: BTreeSet<_> = running.node.members().voters().collect();
            let wanted = self
                .desired
                .iter()
                .map(|host| self.hosts[*host].identity)
                .collect();
            voters == wanted && running.node.members().iter().count() == voters.len()
        })
    }
}
