//! The simulated control hosts with their node, store and state machine, and the network between
//! them.

use std::{collections::BTreeMap, time::Duration};

use prost::Message as _;
use waxwing_control::{commands, machine};
use waxwing_core::ids;
use waxwing_proof::steps::WorkStep;
use waxwing_quorum::{errors, members, messages, node, options, ready, units};
use waxwing_store::{memory, store};

use super::{ControlSimulation, ScheduledAction, TICK, operators};

/// A control host across restarts of its process.
pub(super) struct ControlHost {
    pub(super) member: ids::MemberId,
    pub(super) identity: members::MemberIdentity,
    pub(super) disk: memory::MemoryDisk,
    pub(super) running: Option<RunningHost>,
}

/// The process of a control host between a start and its end.
pub(super) struct RunningHost {
    pub(super) node: node::QuorumNode,
    store: store::LogStore<memory::MemoryDisk>,
    started: Duration,
    pub(super) machine: machine::StateMachine,
    /// Changes whose operators wait for an answer of this process.
    pub(super) pending: BTreeMap<units::ProposalId, ids::ChangeId>,
    /// Log indices of confirmed reads by read token, for the settings subscribers that wait for
    /// them.
    pub(super) confirmed: BTreeMap<u64, u64>,
}

impl RunningHost {
    /// Returns the time since the process started.
    pub(super) fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
    }
}

fn store_options() -> store::StoreOptions {
    store::StoreOptions::default()
}

impl ControlSimulation {
    pub(super) fn bootstrap_group(&mut self) {
        for member in 0..4 {
            let identity = members::MemberIdentity {
                member: ids::MemberId(member + 1),
                store: self.new_store(),
            };
            self.hosts.push(ControlHost {
                member: identity.member,
                identity,
                disk: memory::MemoryDisk::new(),
                running: None,
            });
        }
        let founders: Vec<_> = self.hosts[..3].iter().map(|host| host.identity).collect();
        for host in 0..4 {
            let identity = self.hosts[host].identity;
            let disk = self.hosts[host].disk.clone();
            let opened =
                store::LogStore::open(disk, identity.member, identity.store, store_options());
            let (mut store, mut recovered) = opened.expect("a new disk opens");
            if host < 3 {
                let membership = members::Membership::from_voters(&founders);
                let state = machine::StateMachine::default().to_snapshot().into();
                let snapshot = ready::Snapshot::founding(membership, state);
                recovered = store
                    .bootstrap(snapshot)
                    .expect("a new disk can be written");
            }
            self.start_process(host, store, recovered);
        }
    }

    fn new_store(&mut self) -> ids::StoreId {
        self.next_store += 1;
        ids::StoreId(self.next_store)
    }

    fn start_process(
        &mut self,
        host: usize,
        store: store::LogStore<memory::MemoryDisk>,
        recovered: ready::RecoveredState,
    ) {
        let machine = recovered
            .snapshot
            .as_ref()
            .map_or_else(Default::default, |snapshot| {
                machine::StateMachine::from_snapshot(&snapshot.data).expect("own snapshot")
            });
        let seed = 7 * host as u64 + self.now.as_secs();
        let identity = self.hosts[host].identity;
        let options = options::NodeOptions::default();
        let node = node::QuorumNode::new(identity, options, recovered, seed, Duration::ZERO);
        self.hosts[host].running = Some(RunningHost {
            node: node.expect("a recovered state starts a node"),
            store,
            started: self.now,
            machine,
            pending: BTreeMap::new(),
            confirmed: BTreeMap::new(),
        });
    }

    /// Kills the process of a host; its disk loses what was not synced.
    pub(super) fn crash(&mut self, host: usize) {
        self.hosts[host].running = None;
        self.hosts[host].disk.crash(11);
    }

    pub(super) fn restart(&mut self, host: usize) {
        if self.hosts[host].running.is_some() {
            return;
        }
        self.hosts[host]
            .disk
            .set_faults(memory::DiskFaults::default());
        let members::MemberIdentity { member, store } = self.hosts[host].identity;
        let disk = self.hosts[host].disk.clone();
        match store::LogStore::open(disk, member, store, store_options()) {
            Ok((store, recovered)) => self.start_process(host, store, recovered),
            Err(error) => {
                self.report_violation(format!("host {host} can't open its store: {error}"))
            }
        }
    }

    /// Kills a host and wipes its disk; it restarts with a new store id.
    pub(super) fn wipe(&mut self, host: usize) {
        self.hosts[host].running = None;
        self.hosts[host].disk.wipe();
        self.hosts[host].identity.store = self.new_store();
        self.schedule(Duration::from_millis(500), ScheduledAction::Restart(host));
    }

    fn clock(&self, host: usize) -> Duration {
        let running = self.hosts[host].running.as_ref();
        running.map_or(Duration::ZERO, |running| self.now - running.started)
    }

    /// Returns the running host that leads in the highest term.
    pub(super) fn leader(&self) -> Option<usize> {
        let term = |host: &usize| {
            let status = self.hosts[*host].running.as_ref()?.node.status();
            (status.role == ready::NodeRole::Leader).then_some(status.term)
        };
        let leaders = (0..self.hosts.len()).filter(|host| term(host).is_some());
        leaders.max_by_key(|host| term(host))
    }

    pub(super) fn tick_host(&mut self, host: usize) {
        let clock = self.clock(host);
        if let Some(running) = self.hosts[host].running.as_mut() {
            running.node.tick(clock);
        }
        self.process_outputs(host);
        let halted = self.hosts[host]
            .running
            .as_ref()
            .is_some_and(|running| running.node.status().role == ready::NodeRole::Halted);
        if halted {
            // A process exits after a storage failure, and is restarted later.
            self.crash(host);
            self.schedule(Duration::from_secs(3), ScheduledAction::Restart(host));
        }
    }

    pub(super) fn deliver(&mut self) {
        let later = self.network.split_off(&(self.now, u64::MAX));
        for (_, (from, to, payload)) in std::mem::replace(&mut self.network, later) {
            let clock = self.clock(to);
            let member = self.hosts[from].member;
            let Some(running) = self.hosts[to].running.as_mut() else {
                continue;
            };
            let message = messages::decode(payload).expect("a sent message can be read");
            // The node may reject a message; the group has to tolerate that like a lost one.
            let _ = running.node.receive(clock, member, message);
            self.process_outputs(to);
        }
    }

    /// Processes the pending outputs of a host's node.
    pub(super) fn process_outputs(&mut self, host: usize) {
        for _ in 0..8 {
            let Some(running) = self.hosts[host].running.as_mut() else {
                return;
            };
            let ready = running.node.take_ready();
            if ready.is_empty() {
                return;
            }
            self.handle_ready(host, ready);
        }
    }

    fn handle_ready(&mut self, host: usize, ready: ready::Ready) {
        let replicates = ready.messages.iter().any(|out| is_append(&out.message));
        for message in ready.messages {
            self.send(host, &message);
        }
        if let Some(role) = ready
            .role
            .filter(|role| role.role == ready::NodeRole::Leader)
        {
            let identity = self.hosts[host].identity;
            let first = *self.leaders.entry(role.term).or_insert(identity);
            if first != identity {
                self.report_violation(format!("term {} has two leaders", role.term));
            }
        }
        if let Some(batch) = ready.writes {
            self.write(host, &batch);
        }
        let Some(running) = self.hosts[host].running.as_mut() else {
            return;
        };
        if let Some(snapshot) = ready.install {
            let machine = machine::StateMachine::from_snapshot(&snapshot.data);
            running.machine = machine.expect("a member's snapshot");
        }
        for read in ready.reads {
            running.confirmed.insert(read.token.0, read.index);
        }
        for entry in ready.committed {
            self.apply(host, &entry);
        }
        if replicates && self.is_main_pending(host) {
            self.inject_if_due(WorkStep::Replicated);
        }
    }

    fn is_main_pending(&self, host: usize) -> bool {
        let running = self.hosts[host].running.as_ref();
        running.is_some_and(|running| {
            running
                .pending
                .values()
                .any(|change| *change == super::MAIN)
        })
    }

    fn write(&mut self, host: usize, batch: &ready::WriteBatch) {
        let Some(running) = self.hosts[host].running.as_mut() else {
            return;
        };
        match running.store.write(batch) {
            Ok(()) => running.node.persisted(batch.sequence),
            Err(_) => running.node.storage_failed(),
        }
    }

    fn apply(&mut self, host: usize, entry: &messages::LogEntry) {
        let Some(running) = self.hosts[host].running.as_mut() else {
            return;
        };
        if entry.kind() != messages::EntryKind::Command {
            running.machine.skip(entry.index);
            return;
        }
        let result = running.machine.apply(entry.index, &entry.payload);
        let id = units::ProposalId {
            term: entry.term,
            index: entry.index,
        };
        if let Some(change) = running.pending.remove(&id) {
            if change == super::MAIN && self.is_due(WorkStep::Committed) {
                self.inject();
            }
            operators::deliver_answer(self, change, result);
        }
    }

    fn send(&mut self, from: usize, out: &ready::OutgoingMessage) {
        let to = self.hosts.iter().position(|host| host.member == out.to);
        let Some(to) = to.filter(|to| !self.blocked_links.contains(&(from, *to))) else {
            return;
        };
        let mut delay = TICK;
        let mut copies = 1;
        let take = |left: &mut u32| {
            let due = *left > 0;
            *left = left.saturating_sub(1);
            due
        };
        if take(&mut self.network_faults.dropped) {
            copies = 0;
        } else if take(&mut self.network_faults.duplicated) {
            copies = 2;
        } else if take(&mut self.network_faults.reordered) {
            delay = TICK * (1 + 7 * (self.network_faults.reordered % 3));
        } else if take(&mut self.network_faults.delayed) {
            delay = Duration::from_millis(1_800);
        }
        for copy in 0..copies {
            self.last_sequence += 1;
            let at = self.now + delay + TICK * copy;
            self.network.insert(
                (at, self.last_sequence),
                (from, to, messages::encode(&out.message)),
            );
        }
    }

    /// Proposes a command to a host; returns whether its node accepted the proposal.
    pub(super) fn propose(
        &mut self,
        host: usize,
        action: commands::LogAction,
        change: ids::ChangeId,
    ) -> bool {
        let millis = u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX);
        // After a jump, the wall clock is far ahead, and the log time of a new leader may be behind.
        let (log_millis, wall_millis) = if self.wall_clock_jumped {
            (0, millis + (1 << 40))
        } else {
            (millis, millis)
        };
        let command = commands::LogCommand {
            log_millis,
            wall_millis,
            action: Some(action),
        };
        let Some(running) = self.hosts[host].running.as_mut() else {
            return false;
        };
        let Ok(id) = running.node.propose(command.encode_to_vec().into()) else {
            return false;
        };
        running.pending.insert(id, change);
        if change == super::MAIN {
            self.inject_if_due(WorkStep::Appended);
        }
        self.process_outputs(host);
        true
    }

    /// Moves the membership towards the desired one, by one change at a time.
    pub(super) fn reconcile_members(&mut self) {
        if !self.now.as_millis().is_multiple_of(200) {
            return;
        }
        let Some(leader) = self.leader() else { return };
        let Some(running) = self.hosts[leader].running.as_ref() else {
            return;
        };
        let Some(change) = self.next_change(running.node.members()) else {
            return;
        };
        let clock = self.clock(leader);
        let target = self.hosts[(leader + 1) % 3].member;
        let Some(running) = self.hosts[leader].running.as_mut() else {
            return;
        };
        if let Err(error) = running.node.change_members(change) {
            // A leader that is to be removed transfers leadership first.
            if matches!(error, errors::ChangeError::RemovesLeader) {
                let _ = running.node.transfer_leadership(clock, target);
                self.process_outputs(leader);
            }
            return;
        }
        let step = match change {
            members::MemberChange::AddLearner(_) => WorkStep::LearnerAdded,
            members::MemberChange::Promote(_) => WorkStep::Promoted,
            members::MemberChange::Remove(_) => WorkStep::Removed,
        };
        self.inject_if_due(step);
        self.process_outputs(leader);
        if step == WorkStep::LearnerAdded {
            self.inject_if_due(WorkStep::CatchingUp);
        }
    }

    fn next_change(&self, members: &members::Membership) -> Option<members::MemberChange> {
        for (host, control_host) in self.hosts.iter().enumerate() {
            let listed = members.find(control_host.member);
            let change = match (self.desired.contains(&host), listed) {
                (false, Some(listed)) => members::MemberChange::Remove(listed),
                (true, Some(listed)) if listed != control_host.identity => {
                    members::MemberChange::Remove(listed)
                }
                (true, None) if control_host.running.is_some() => {
                    members::MemberChange::AddLearner(control_host.identity)
                }
                (true, Some(_)) if !members.is_voter(control_host.identity) => {
                    members::MemberChange::Promote(control_host.identity)
                }
                _ => continue,
            };
            return Some(change);
        }
        None
    }

    /// Begins the graceful shutdown of the leader: it transfers leadership, then ends.
    pub(super) fn begin_shutdown(&mut self) {
        let Some(leader) = self.leader() else {
            self.schedule(TICK, ScheduledAction::StopLeader);
            return;
        };
        let target = self.hosts[(leader + 1) % 3].member;
        let clock = self.clock(leader);
        if let Some(running) = self.hosts[leader].running.as_mut() {
            let _ = running.node.transfer_leadership(clock, target);
        }
        self.stopping = Some(leader);
        self.process_outputs(leader);
        self.inject_if_due(WorkStep::ControlStops);
        self.schedule(Duration::from_millis(500), ScheduledAction::Crash(leader));
        self.schedule(Duration::from_secs(5), ScheduledAction::Restart(leader));
    }
}

fn is_append(message: &messages::PeerMessage) -> bool {
    matches!(&message.body, Some(messages::PeerBody::AppendRequest(request)) if !request.entries.is_empty())
}
