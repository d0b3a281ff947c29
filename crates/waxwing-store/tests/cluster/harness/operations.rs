//! What callers and operators do to a group, and what a group owes them once all faults end.

use std::collections::BTreeSet;

use rand::RngExt as _;
use waxwing_quorum::{members, ready, units};
use waxwing_store::memory;

use super::{Group, Host, Life, NetworkFaults, PlantedFault, snapshot_data};

impl Group {
    pub(crate) fn propose(&mut self, host: usize) {
        if !self.is_running(host) {
            return;
        }
        self.commands += 1;
        let length = self.random.random_range(1..60);
        let mut command = self.commands.to_be_bytes().to_vec();
        command.resize(8 + length, 7);
        if let Some(life) = &mut self.hosts[host].life
            && let Ok(id) = life.node.propose(command.into())
        {
            life.proposals.insert(id);
        }
    }

    pub(crate) fn read(&mut self, host: usize) {
        if !self.is_running(host) {
            return;
        }
        self.tokens += 1;
        let token = units::ReadToken(self.tokens);
        let (clock, needed) = (self.clock(host), self.acknowledged);
        let planted = self.planted == PlantedFault::UnconfirmedReads;
        let Some(life) = &mut self.hosts[host].life else {
            return;
        };
        let status = life.node.status();
        if planted && status.role == ready::NodeRole::Leader {
            life.reads.insert(token.0, needed);
            let index = status.commit_index;
            self.check_read(host, ready::ConfirmedRead { token, index });
        } else if life.node.read_index(clock, token).is_ok() {
            life.reads.insert(token.0, needed);
        }
    }

    /// Returns the running host that leads in the highest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let term = |host: &usize| {
            let status = self.hosts[*host].life.as_ref()?.node.status();
            (status.role == ready::NodeRole::Leader).then_some(status.term)
        };
        let leaders = (0..self.hosts.len()).filter(|host| term(host).is_some());
        leaders.max_by_key(|host| term(host))
    }

    pub(crate) fn leads(&self, host: usize) -> bool {
        let life = self.hosts[host].life.as_ref();
        life.is_some_and(|life| life.node.status().role == ready::NodeRole::Leader)
    }

    pub(crate) fn transfer(&mut self, target: usize) {
        if let Some(leader) = self.leader() {
            let member = self.hosts[target].member;
            let clock = self.clock(leader);
            self.with_node(leader, |node| node.transfer_leadership(clock, member).ok());
        }
    }

    pub(crate) fn change(&mut self, change: members::MemberChange) -> bool {
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
        self.proposed.push((self.now, next));
        self.counts.changes += 1;
        true
    }

    /// Removes a host if at least two voters stay, and a quorum of them has not lost its disk.
    pub(crate) fn remove(&mut self, host: usize) {
        let change = members::MemberChange::Remove(self.hosts[host].identity);
        let leader = self.leader();
        let life = leader.and_then(|leader| self.hosts[leader].life.as_ref());
        let next = life.and_then(|life| life.node.members().with_change(change).ok());
        let kept = |next: &members::Membership| {
            let identities: BTreeSet<_> = self.hosts.iter().map(|host| host.identity).collect();
            let kept = next.voters().filter(|voter| identities.contains(voter));
            kept.count() >= next.quorum().max(2)
        };
        if next.as_ref().is_some_and(kept) {
            self.change(change);
        }
    }

    /// Takes one step towards a membership of all hosts with their present store ids.
    pub(crate) fn repair(&mut self) {
        let Some(life) = self
            .leader()
            .and_then(|leader| self.hosts[leader].life.as_ref())
        else {
            return;
        };
        let members = life.node.members().clone();
        for host in 0..self.hosts.len() {
            let identity = self.hosts[host].identity;
            if self.hosts[host].life.is_none() {
                continue;
            }
            let change = match members.find(identity.member) {
                None => members::MemberChange::AddLearner(identity),
                Some(listed) if listed != identity => members::MemberChange::Remove(listed),
                Some(_) if members.is_voter(identity) => continue,
                Some(_) => members::MemberChange::Promote(identity),
            };
            if self.change(change) {
                return;
            }
        }
    }

    pub(crate) fn compact(&mut self, host: usize) {
        if let Some(life) = &mut self.hosts[host].life {
            life.node
                .compact(life.applied, snapshot_data(life.state))
                .ok();
        }
    }

    /// Ends all faults and checks that the group recovers: one membership of all hosts, a new
    /// command acknowledged, a read confirmed, the same state everywhere, nothing lost.
    pub(crate) fn heal_and_check(&mut self) -> Result<(), String> {
        self.cuts.clear();
        self.faults = NetworkFaults::default();
        for host in 0..self.hosts.len() {
            let halted = |life: &Life| life.node.status().role == ready::NodeRole::Halted;
            if self.hosts[host].life.as_ref().is_some_and(halted) {
                self.crash(host);
            }
            let ignored_syncs = self.planted == PlantedFault::IgnoredSyncs;
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
            let settled =
                self.counts.commands > before.commands && self.counts.reads > before.reads;
            if settled && self.is_repaired() {
                break;
            }
        }
        // A host that was down must copy the log in batches of a few entries over a network that
        // still reorders messages, which takes some seconds.
        for _ in 0..100 {
            if self.agrees() {
                break;
            }
            self.run(10);
        }
        if self.counts.commands == before.commands || self.counts.reads == before.reads {
            self.violate("the healed group acknowledges nothing".to_owned());
        }
        if !self.agrees() {
            let views = self.views();
            self.violate(format!("the healed group doesn't agree: {views:?}"));
        }
        self.violation.clone().map_or(Ok(()), Err)
    }

    /// Tells whether every host lists every host as a voter.
    pub(crate) fn is_repaired(&self) -> bool {
        self.hosts.iter().all(|host| {
            let members = host.life.as_ref().map(|life| life.node.members());
            let voters = |host: &Host| members.is_some_and(|list| list.is_voter(host.identity));
            self.hosts.iter().all(voters)
        })
    }

    /// Returns the distinct pairs of last applied entry and state; `None` is a host that is down.
    fn views(&self) -> BTreeSet<Option<(u64, u64)>> {
        let view = |host: &Host| {
            let life = host.life.as_ref()?;
            Some((life.applied, life.state))
        };
        self.hosts.iter().map(view).collect()
    }

    fn agrees(&self) -> bool {
        let views = self.views();
        match views.first() {
            Some(Some((applied, _))) if views.len() == 1 => {
                self.is_repaired() && *applied >= self.acknowledged
            }
            _ => false,
        }
    }
}
