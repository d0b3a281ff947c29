//! The control hosts: node, store and state machine of each, and the network between them.

use std::{collections::BTreeMap, time::Duration};

use prost::Message as _;
use waxwing_control::{commands, machine};
use waxwing_core::ids;
use waxwing_proof::steps::WorkStep;
use waxwing_quorum::{errors, members, messages, node, options, ready, units};
use waxwing_store::{memory, store};

use super::{Agenda, ControlWorld, TICK, operators};

/// A `ControlHost` is a host over all its lives.
pub(super) struct ControlHost {
    pub(super) member: ids::MemberId,
    pub(super) identity: members::MemberIdentity,
    pub(super) disk: memory::MemoryDisk,
    pub(super) life: Option<HostLife>,
}

/// A `HostLife` is one life of a control host's process.
pub(super) struct HostLife {
    pub(super) node: node::QuorumNode,
    store: store::LogStore<memory::MemoryDisk>,
    started: Duration,
    pub(super) machine: machine::StateMachine,
    /// Changes whose operators wait for an answer of this life.
    pub(super) pending: BTreeMap<units::ProposalId, ids::ChangeId>,
    /// Confirmed reads by token, for the followers that wait for them.
    pub(super) confirmed: BTreeMap<u64, u64>,
}

impl HostLife {
    /// Returns the time since this life began.
    pub(super) fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
    }
}

fn store_options() -> store::StoreOptions {
    store::StoreOptions::default()
}

impl ControlWorld {
    pub(super) fn found(&mut self) {
        for member in 0..4 {
            let identity = members::MemberIdentity {
                member: ids::MemberId(member + 1),
                store: self.new_store(),
            };
            self.hosts.push(ControlHost {
                member: identity.member,
                identity,
                disk: memory::MemoryDisk::new(),
                life: None,
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
                let membership = members::Membership::of_voters(&founders);
                let state = machine::StateMachine::default().to_snapshot().into();
                let snapshot = ready::Snapshot::founding(membership, state);
                recovered = store.found(snapshot).expect("a new disk can be written");
            }
            self.begin_life(host, store, recovered);
        }
    }

    fn new_store(&mut self) -> ids::StoreId {
        self.next_store += 1;
        ids::StoreId(self.next_store)
    }

    fn begin_life(
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
        self.hosts[host].life = Some(HostLife {
            node: node.expect("a recovered state starts a node"),
            store,
            started: self.now,
            machine,
            pending: BTreeMap::new(),
            confirmed: BTreeMap::new(),
        });
    }

    /// Ends a host; its disk loses what was not synced.
    pub(super) fn crash(&mut self, host: usize) {
        self.hosts[host].life = None;
        self.hosts[host].disk.crash(11);
    }

    pub(super) fn restart(&mut self, host: usize) {
        if self.hosts[host].life.is_some() {
            return;
        }
        self.hosts[host]
            .disk
            .set_faults(memory::DiskFaults::default());
        let members::MemberIdentity { member, store } = self.hosts[host].identity;
        let disk = self.hosts[host].disk.clone();
        match store::LogStore::open(disk, member, store, store_options()) {
            Ok((store, recovered)) => self.begin_life(host, store, recovered),
            Err(error) => self.violate(format!("host {host} can't open its folder: {error}")),
        }
    }

    /// Replaces the disk of a host; it comes back under a new store id.
    pub(super) fn wipe(&mut self, host: usize) {
        self.hosts[host].life = None;
        self.hosts[host].disk.wipe();
        self.hosts[host].identity.store = self.new_store();
        self.at(Duration::from_millis(500), Agenda::Restart(host));
    }

    fn clock(&self, host: usize) -> Duration {
        let life = self.hosts[host].life.as_ref();
        life.map_or(Duration::ZERO, |life| self.now - life.started)
    }

    /// Returns the running host that leads in the highest term.
    pub(super) fn leader(&self) -> Option<usize> {
        let term = |host: &usize| {
            let status = self.hosts[*host].life.as_ref()?.node.status();
            (status.role == ready::NodeRole::Leader).then_some(status.term)
        };
        let leaders = (0..self.hosts.len()).filter(|host| term(host).is_some());
        leaders.max_by_key(|host| term(host))
    }

    pub(super) fn tick(&mut self, host: usize) {
        let clock = self.clock(host);
        if let Some(life) = self.hosts[host].life.as_mut() {
            life.node.tick(clock);
        }
        self.turn(host);
        let halted = self.hosts[host]
            .life
            .as_ref()
            .is_some_and(|life| life.node.status().role == ready::NodeRole::Halted);
        if halted {
            // The process ends itself after a storage failure, and is started again later.
            self.crash(host);
            self.at(Duration::from_secs(3), Agenda::Restart(host));
        }
    }

    pub(super) fn deliver(&mut self) {
        let later = self.network.split_off(&(self.now, u64::MAX));
        for (_, (from, to, payload)) in std::mem::replace(&mut self.network, later) {
            let clock = self.clock(to);
            let member = self.hosts[from].member;
            let Some(life) = self.hosts[to].life.as_mut() else {
                continue;
            };
            let message = messages::decode(payload).expect("a sent message can be read");
            // A refused message is a fault that the node has to live with.
            let _ = life.node.receive(clock, member, message);
            self.turn(to);
        }
    }

    /// Carries out what the node of a host asks for.
    pub(super) fn turn(&mut self, host: usize) {
        for _ in 0..8 {
            let Some(life) = self.hosts[host].life.as_mut() else {
                return;
            };
            let ready = life.node.take_ready();
            if ready.is_empty() {
                return;
            }
            self.take(host, ready);
        }
    }

    fn take(&mut self, host: usize, ready: ready::Ready) {
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
                self.violate(format!("term {} has two leaders", role.term));
            }
        }
        if let Some(batch) = ready.writes {
            self.write(host, &batch);
        }
        let Some(life) = self.hosts[host].life.as_mut() else {
            return;
        };
        if let Some(snapshot) = ready.install {
            let machine = machine::StateMachine::from_snapshot(&snapshot.data);
            life.machine = machine.expect("a member's snapshot");
        }
        for read in ready.reads {
            life.confirmed.insert(read.token.0, read.index);
        }
        for entry in ready.committed {
            self.apply(host, &entry);
        }
        if replicates && self.is_main_pending(host) {
            self.strike_if_due(WorkStep::Replicated);
        }
    }

    fn is_main_pending(&self, host: usize) -> bool {
        let life = self.hosts[host].life.as_ref();
        life.is_some_and(|life| life.pending.values().any(|change| *change == super::MAIN))
    }

    fn write(&mut self, host: usize, batch: &ready::WriteBatch) {
        let Some(life) = self.hosts[host].life.as_mut() else {
            return;
        };
        match life.store.write(batch) {
            Ok(()) => life.node.persisted(batch.sequence),
            Err(_) => life.node.storage_failed(),
        }
    }

    fn apply(&mut self, host: usize, entry: &messages::LogEntry) {
        let Some(life) = self.hosts[host].life.as_mut() else {
            return;
        };
        if entry.kind() != messages::EntryKind::Command {
            life.machine.skip(entry.index);
            return;
        }
        let result = life.machine.apply(entry.index, &entry.payload);
        let id = units::ProposalId {
            term: entry.term,
            index: entry.index,
        };
        if let Some(change) = life.pending.remove(&id) {
            if change == super::MAIN && self.is_due(WorkStep::Committed) {
                self.inject();
            }
            operators::take_answer(self, change, result);
        }
    }

    fn send(&mut self, from: usize, out: &ready::OutgoingMessage) {
        let to = self.hosts.iter().position(|host| host.member == out.to);
        let Some(to) = to.filter(|to| !self.cuts.contains(&(from, *to))) else {
            return;
        };
        let mut delay = TICK;
        let mut copies = 1;
        let take = |left: &mut u32| {
            let due = *left > 0;
            *left = left.saturating_sub(1);
            due
        };
        if take(&mut self.mood.lost) {
            copies = 0;
        } else if take(&mut self.mood.doubled) {
            copies = 2;
        } else if take(&mut self.mood.reordered) {
            delay = TICK * (1 + 7 * (self.mood.reordered % 3));
        } else if take(&mut self.mood.late) {
            delay = Duration::from_millis(1_800);
        }
        for copy in 0..copies {
            self.sent += 1;
            let at = self.now + delay + TICK * copy;
            self.network
                .insert((at, self.sent), (from, to, messages::encode(&out.message)));
        }
    }

    /// Proposes a command at the leader; returns whether it was taken.
    pub(super) fn propose(
        &mut self,
        host: usize,
        action: commands::LogAction,
        change: ids::ChangeId,
    ) -> bool {
        let millis = u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX);
        // A jumped wall clock is far ahead, and a new leader's reading of log time may be behind.
        let (log_millis, wall_millis) = if self.wall_jump {
            (0, millis + (1 << 40))
        } else {
            (millis, millis)
        };
        let command = commands::LogCommand {
            log_millis,
            wall_millis,
            action: Some(action),
        };
        let Some(life) = self.hosts[host].life.as_mut() else {
            return false;
        };
        let Ok(id) = life.node.propose(command.encode_to_vec().into()) else {
            return false;
        };
        life.pending.insert(id, change);
        if change == super::MAIN {
            self.strike_if_due(WorkStep::Appended);
        }
        self.turn(host);
        true
    }

    /// Moves the membership towards the wanted one, one step at a time.
    pub(super) fn repair(&mut self) {
        if !self.now.as_millis().is_multiple_of(200) {
            return;
        }
        let Some(leader) = self.leader() else { return };
        let Some(life) = self.hosts[leader].life.as_ref() else {
            return;
        };
        let Some(change) = self.next_change(life.node.members()) else {
            return;
        };
        let clock = self.clock(leader);
        let target = self.hosts[(leader + 1) % 3].member;
        let Some(life) = self.hosts[leader].life.as_mut() else {
            return;
        };
        if let Err(error) = life.node.change_members(change) {
            // A leader that is to be removed hands its office over first.
            if matches!(error, errors::ChangeError::RemovesLeader) {
                let _ = life.node.transfer_leadership(clock, target);
                self.turn(leader);
            }
            return;
        }
        let step = match change {
            members::MemberChange::AddLearner(_) => WorkStep::LearnerAdded,
            members::MemberChange::Promote(_) => WorkStep::Promoted,
            members::MemberChange::Remove(_) => WorkStep::Removed,
        };
        self.strike_if_due(step);
        self.turn(leader);
        if step == WorkStep::LearnerAdded {
            self.strike_if_due(WorkStep::CatchingUp);
        }
    }

    fn next_change(&self, members: &members::Membership) -> Option<members::MemberChange> {
        for (host, slot) in self.hosts.iter().enumerate() {
            let listed = members.find(slot.member);
            let change = match (self.wanted.contains(&host), listed) {
                (false, Some(listed)) => members::MemberChange::Remove(listed),
                (true, Some(listed)) if listed != slot.identity => {
                    members::MemberChange::Remove(listed)
                }
                (true, None) if slot.life.is_some() => {
                    members::MemberChange::AddLearner(slot.identity)
                }
                (true, Some(_)) if !members.is_voter(slot.identity) => {
                    members::MemberChange::Promote(slot.identity)
                }
                _ => continue,
            };
            return Some(change);
        }
        None
    }

    /// Begins the graceful shutdown of the leader: it hands its office over, then ends.
    pub(super) fn begin_stop(&mut self) {
        let Some(leader) = self.leader() else {
            self.at(TICK, Agenda::StopLeader);
            return;
        };
        let target = self.hosts[(leader + 1) % 3].member;
        let clock = self.clock(leader);
        if let Some(life) = self.hosts[leader].life.as_mut() {
            let _ = life.node.transfer_leadership(clock, target);
        }
        self.stopping = Some(leader);
        self.turn(leader);
        self.strike_if_due(WorkStep::ControlStops);
        self.at(Duration::from_millis(500), Agenda::Crash(leader));
        self.at(Duration::from_secs(5), Agenda::Restart(leader));
    }
}

fn is_append(message: &messages::PeerMessage) -> bool {
    matches!(&message.body, Some(messages::PeerBody::AppendRequest(request)) if !request.entries.is_empty())
}
