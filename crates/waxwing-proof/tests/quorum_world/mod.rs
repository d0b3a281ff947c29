//! Control hosts, operators and two processes that follow the settings, on one stepped clock. The
//! replicated log, the store, the state machine and the settings replica are the real ones; disks
//! are in memory, and the network is a queue.

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

/// The main change, whose life the steps of the matrix follow.
pub(crate) const MAIN: ids::ChangeId = ids::ChangeId(1);

/// A change after the faults, which shows that the group still works.
pub(crate) const LAST: ids::ChangeId = ids::ChangeId(90);

/// A `ControlPlan` says which fault strikes at which step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ControlPlan {
    pub(crate) step: WorkStep,
    pub(crate) fault: SystemFault,
}

/// A `NetworkMood` is what happens to the next messages between control hosts.
#[derive(Debug, Clone, Copy, Default)]
struct NetworkMood {
    lost: u32,
    doubled: u32,
    reordered: u32,
    late: u32,
}

/// A `ControlWorld` is the control group with everything that talks to it.
pub(crate) struct ControlWorld {
    now: Duration,
    hosts: Vec<hosts::ControlHost>,
    network: BTreeMap<(Duration, u64), (usize, usize, Bytes)>,
    sent: u64,
    cuts: BTreeSet<(usize, usize)>,
    mood: NetworkMood,
    next_store: u128,
    operators: Vec<operators::OperatorAsk>,
    replicas: Vec<replicas::SettingsFollower>,
    /// Members that the operators of the group want.
    wanted: BTreeSet<usize>,
    agenda: BTreeMap<(Duration, u64), Agenda>,
    leaders: BTreeMap<u64, members::MemberIdentity>,
    plan: Option<ControlPlan>,
    fired: bool,
    wall_jump: bool,
    stopping: Option<usize>,
    pub(crate) record: RunRecord,
    pub(crate) violation: Option<String>,
}

/// An `Agenda` entry is something that will be done at a set time.
#[derive(Debug, Clone, Copy)]
enum Agenda {
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

impl ControlWorld {
    /// Founds a group of three hosts; a fourth one runs and waits to be added.
    pub(crate) fn new(plan: Option<ControlPlan>) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            hosts: Vec::new(),
            network: BTreeMap::new(),
            sent: 0,
            cuts: BTreeSet::new(),
            mood: NetworkMood::default(),
            next_store: 1,
            operators: Vec::new(),
            replicas: vec![
                replicas::SettingsFollower::new("entry-1", 0),
                replicas::SettingsFollower::new("agent-1", 1),
            ],
            wanted: (0..3).collect(),
            agenda: BTreeMap::new(),
            leaders: BTreeMap::new(),
            plan,
            fired: false,
            wall_jump: false,
            stopping: None,
            record: RunRecord::default(),
            violation: None,
        };
        world.found();
        world.record.reachable = vec!["entry-1".into(), "agent-1".into()];
        world
    }

    fn at(&mut self, delay: Duration, entry: Agenda) {
        self.sent += 1;
        self.agenda.insert((self.now + delay, self.sent), entry);
    }

    /// Submits the main change after a delay.
    pub(crate) fn submit_main(&mut self, delay: Duration) {
        self.at(delay, Agenda::Submit(MAIN));
    }

    /// Submits the last change after a delay.
    pub(crate) fn submit_last(&mut self, delay: Duration) {
        self.at(delay, Agenda::Submit(LAST));
    }

    /// Shuts the leader down gracefully after a delay.
    pub(crate) fn stop_leader(&mut self, delay: Duration) {
        self.at(delay, Agenda::StopLeader);
    }

    /// Adds the fourth host and removes one of the first three later.
    pub(crate) fn change_members(&mut self, delay: Duration) {
        self.at(delay, Agenda::AddHost);
        self.at(delay + Duration::from_secs(8), Agenda::RemoveHost(1));
    }

    /// Loses the disk of a follower early, so that a repair goes on before the main change.
    pub(crate) fn wipe_before(&mut self, delay: Duration) {
        self.at(delay, Agenda::Wipe(2));
    }

    /// Runs until `end`, or until a rule of the replicated log is broken.
    pub(crate) fn run(&mut self, end: Duration) {
        while self.now < end && self.violation.is_none() {
            self.now += TICK;
            self.keep_agenda();
            self.deliver();
            for host in 0..self.hosts.len() {
                self.tick(host);
            }
            self.operate();
            self.repair();
            self.follow();
        }
        self.record.end = self.now;
    }

    fn keep_agenda(&mut self) {
        let later = self.agenda.split_off(&(self.now, u64::MAX));
        for (_, entry) in std::mem::replace(&mut self.agenda, later) {
            match entry {
                Agenda::Crash(host) => self.crash(host),
                Agenda::CrashLeader => {
                    if let Some(leader) = self.leader() {
                        self.crash(leader);
                        self.at(Duration::from_secs(2), Agenda::Restart(leader));
                    }
                }
                Agenda::Restart(host) => self.restart(host),
                Agenda::Wipe(host) => self.wipe(host),
                Agenda::Heal => self.cuts.clear(),
                Agenda::StartReplica(replica) => self.replicas[replica].alive = true,
                Agenda::StopLeader => self.begin_stop(),
                Agenda::AddHost => {
                    self.wanted.insert(3);
                }
                Agenda::RemoveHost(host) => {
                    self.wanted.remove(&host);
                }
                Agenda::Submit(change) => self.submit(change),
            }
        }
    }

    fn note(&mut self, event: RunEvent) {
        self.record.push(self.now, event);
    }

    fn violate(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    /// Tells whether the fault of the plan has struck.
    pub(crate) fn has_struck(&self) -> bool {
        self.fired
    }

    /// Tells whether a change was accepted.
    pub(crate) fn was_accepted(&self, wanted: ids::ChangeId) -> bool {
        self.record.events.iter().any(|timed| {
            matches!(timed.event, RunEvent::ChangeAccepted { change, .. } if change == wanted)
        })
    }

    /// Tells whether an operator got an answer, whichever it is.
    pub(crate) fn was_answered(&self, wanted: ids::ChangeId) -> bool {
        self.operators
            .iter()
            .any(|ask| ask.change == wanted && ask.answered)
    }

    /// Tells whether two changes that build on one version were both accepted.
    pub(crate) fn has_two_winners(&self) -> bool {
        let accepted: Vec<_> = self
            .operators
            .iter()
            .filter(|ask| self.was_accepted(ask.change))
            .filter_map(|ask| ask.base)
            .collect();
        accepted.iter().collect::<BTreeSet<_>>().len() < accepted.len()
    }

    /// Tells whether the group has exactly the wanted members, all of them voters.
    pub(crate) fn has_wanted_members(&self) -> bool {
        let life = self
            .leader()
            .and_then(|leader| self.hosts[leader].life.as_ref());
        life.is_some_and(|life| {
            let voters: BTreeSet<_> = life.node.members().voters().collect();
            let wanted = self
                .wanted
                .iter()
                .map(|host| self.hosts[*host].identity)
                .collect();
            voters == wanted && life.node.members().iter().count() == voters.len()
        })
    }
}
