//! Operations of clients and operators on a group, and the checks once all faults have ended.

use std::collections::BTreeSet;

use rand::RngExt as _;
use waxwing_quorum::{members, ready, units};
use waxwing_store::memory;

use super::{Group, Host, HostProcess, InjectedBug, NetworkFaults, snapshot_data};

impl Group {
    pub(crate) fn propose(&mut self, host: usize) {
        if !self.is_running(host) {
            return;
        }
        self.last_command += 1;
        let length = self.random.random_range(1..60);
        let mut command = self.last_command.to_be_bytes().to_vec();
        command.resize(8 + length, 7);
        if let Some(process) = &mut self.hosts[host].process
            && let Ok(id) = process.node.propose(command.into())
        {
            process.proposals.insert(id);
        }
    }

    pub(crate) fn read(&mut self, host: usize) {
        if !self.is_running(host) {
            return;
        }
        self.last_read_token += 1;
        let token = units::ReadToken(self.last_read_token);
        let (clock, acknowledged) = (self.clock(host), self.acknowledged_index);
        let unconfirmed = self.injected == InjectedBug::UnconfirmedReads;
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        let status = process.node.status();
        if unconfirmed && status.role == ready::NodeRole::Leader {
            process.reads.insert(token.0, acknowledged);
            let index = status.commit_index;
            self.check_read(host, ready::ConfirmedRead { token, index });
        } else if process.node.read_index(clock, token).is_ok() {
            process.reads.insert(token.0, acknowledged);
        }
    }

    /// Returns the running host that is leader in the highest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let term = |host: &usize| {
            let status = self.hosts[*host].process.as_ref()?.node.status();
            (status.role == ready::NodeRole::Leader).then_some(status.term)
        };
        let leaders = (0..self.hosts.len()).filter(|host| term(host).is_some());
        leaders.max_by_key(|host| term(host))
    }

    pub(crate) fn is_leader(&self, host: usize) -> bool {
        let process = self.hosts[host].process.as_ref();
        process.is_some_and(|process| process.node.status().role == ready::NodeRole::Leader)
    }

    pub(crate) fn transfer(&mut self, target: usize) {
        if let Some(leader) = self.leader() {
            let member = self.hosts[target].member;
            let clock = self.clock(leader);
            self.with_node(leader, |node| node.transfer_leadership(clock, member).ok());
        }
    }

    /// Submits a membership change to the leader, and returns whether it was accepted.
    pub(crate) fn submit_change(&mut self, change: members::MemberChange) -> bool {
        let leader = self.leader();
        let next = leader.and_then(|leader| {
            self.with_node(leader, |node| {
                node.change_members(change).ok()?;
                Some(node.members().clone())
            })
        });
        let Some(next) = next.flatten() else {
            return false;
        };
        self.proposed_memberships.push((self.now, next));
        self.counts.member_changes += 1;
        true
    }

    /// Removes a host if at least two voters remain and a quorum of them still has its data.
    pub(crate) fn remove(&mut self, host: usize) {
        let change = members::MemberChange::Remove(self.hosts[host].identity);
        let leader = self.leader();
        let process = leader.and_then(|leader| self.hosts[leader].process.as_ref());
        let next = process.and_then(|process| process.node.members().with_change(change).ok());
        let has_quorum = |next: &members::Membership| {
            let identities: BTreeSet<_> = self.hosts.iter().map(|host| host.identity).collect();
            let left = next.voters().filter(|voter| identities.contains(voter));
            left.count() >= next.quorum().max(2)
        };
        if next.as_ref().is_some_and(has_quorum) {
            self.submit_change(change);
        }
    }

    /// Submits one change towards a membership of all hosts under their current store ids.
    pub(crate) fn repair(&mut self) {
        let Some(process) = self
            .leader()
            .and_then(|leader| self.hosts[leader].process.as_ref())
        else {
            return;
        };
        let members = process.node.members().clone();
        for host in 0..self.hosts.len() {
            let identity = self.hosts[host].identity;
            if self.hosts[host].process.is_none() {
                continue;
            }
            let change = match members.find(identity.member) {
                None => members::MemberChange::AddLearner(identity),
                Some(listed) if listed != identity => members::MemberChange::Remove(listed),
                Some(_) if members.is_voter(identity) => continue,
                Some(_) => members::MemberChange::Promote(identity),
            };
            if self.submit_change(change) {
                return;
            }
        }
    }

    pub(crate) fn compact(&mut self, host: usize) {
        if let Some(process) = &mut self.hosts[host].process {
            process
                .node
                .compact(process.applied_index, snapshot_data(process.state))
                .ok();
        }
    }

    /// Ends all faults and checks that the group recovers: all hosts are voters, a new command is
    /// acknowledged, a read is confirmed, all hosts have the same state and nothing acknowledged is
    /// lost.
    pub(crate) fn recover_and_check(&mut self) -> Result<(), String> {
        self.blocked_links.clear();
        self.faults = NetworkFaults::default();
        for host in 0..self.hosts.len() {
            let halted =
                |process: &HostProcess| process.node.status().role == ready::NodeRole::Halted;
            if self.hosts[host].process.as_ref().is_some_and(halted) {
                self.crash(host);
            }
            let ignored_syncs = self.injected == InjectedBug::IgnoredSyncs;
            self.hosts[host].disk.set_faults(memory::DiskFaults {
                ignored_syncs,
                ..memory::DiskFaults::default()
            });
            self.hosts[host].paused_until = self.now;
            self.restart(host);
        }
        let before = self.counts;
        for _ in 0..400 {
            self.run(10);
            self.repair();
            if let Some(leader) = self.leader() {
                self.propose(leader);
                self.read(leader);
            }
            let progressed =
                self.counts.commands > before.commands && self.counts.reads > before.reads;
            if progressed && self.is_repaired() {
                break;
            }
        }
        // A host that was down receives the log in batches of a few entries over a network that
        // still reorders messages, which takes some seconds.
        for _ in 0..100 {
            if self.has_converged() {
                break;
            }
            self.run(10);
        }
        if self.counts.commands == before.commands || self.counts.reads == before.reads {
            self.record_violation(
                "the recovered group acknowledges no command or confirms no read".to_owned(),
            );
        }
        if !self.has_converged() {
            let states = self.host_states();
            self.record_violation(format!("the recovered group has not converged: {states:?}"));
        }
        self.violation.clone().map_or(Ok(()), Err)
    }

    /// Tells whether every host is running and lists every host as a voter.
    pub(crate) fn is_repaired(&self) -> bool {
        self.hosts.iter().all(|host| {
            let members = host.process.as_ref().map(|process| process.node.members());
            let is_listed = |host: &Host| members.is_some_and(|list| list.is_voter(host.identity));
            self.hosts.iter().all(is_listed)
        })
    }

    /// Returns the distinct pairs of last applied index and state; `None` stands for a host that is
    /// down.
    fn host_states(&self) -> BTreeSet<Option<(u64, u64)>> {
        let host_state = |host: &Host| {
            let process = host.process.as_ref()?;
            Some((process.applied_index, process.state))
        };
        self.hosts.iter().map(host_state).collect()
    }

    fn has_converged(&self) -> bool {
        let states = self.host_states();
        match states.first() {
            Some(Some((applied_index, _))) if states.len() == 1 => {
                self.is_repaired() && *applied_index >= self.acknowledged_index
            }
            _ => false,
        }
    }
}
