//! Faults of hosts, disks and links.

use std::{collections::BTreeSet, time::Duration};

use rand::RngExt as _;
use waxwing_store::memory;

use super::{ControlModel, CutMode, HostStop, member};

impl ControlModel {
    /// Ends the process of a host, which comes back after `down`. With `power`, its disk loses what
    /// was not synced.
    pub(crate) fn kill(&mut self, host: usize, power: bool, down: Duration) {
        if self.hosts[host].removed {
            return;
        }
        let seed = self.random.random();
        let now = self.now;
        let lost = &mut self.hosts[host];
        lost.process = None;
        lost.stopped = None;
        // Settings of a restart no longer tell a host to found the fleet.
        lost.founder = false;
        lost.restart_at = Some(now + down);
        if power {
            lost.disk.crash(seed);
        } else {
            lost.disk.kill();
        }
    }

    /// Returns whether a disk may be lost now, whatever else goes on.
    pub(crate) fn tolerates_lost_disk(&self) -> bool {
        self.lost_disks < self.tolerated_disks
    }

    pub(crate) fn wipe(&mut self, host: usize, down: Duration) {
        if self.hosts[host].removed || !self.tolerates_lost_disk() {
            return;
        }
        self.counts.wipes += 1;
        self.lost_disks += 1;
        self.calm_since = self.now;
        self.kill(host, true, down);
        self.hosts[host].disk.wipe();
    }

    /// Takes a host away for good; an empty one starts at another address. Its settings name the host that
    /// is gone and up to two followers, so that it has to learn of the leader.
    pub(crate) fn replace(&mut self, host: usize) {
        if self.hosts[host].removed || !self.tolerates_lost_disk() || self.size() > 8 {
            return;
        }
        self.lost_disks += 1;
        self.calm_since = self.now;
        self.kill(host, true, Duration::ZERO);
        self.hosts[host].removed = true;
        self.hosts[host].restart_at = None;
        let leader = self.leader();
        let named = self.present().into_iter();
        let followers = named.filter(|other| Some(*other) != leader);
        let mut seeds: BTreeSet<_> = followers.take(2).collect();
        seeds.insert(host);
        self.add_host(false, seeds);
    }

    /// Returns whether a host votes in the group that the leader knows.
    pub(crate) fn votes(&self, host: usize) -> bool {
        let process = self
            .leader()
            .and_then(|leader| self.hosts[leader].process.as_ref());
        process.is_some_and(|process| {
            let members = process.replica.node().members();
            let mut voters = members.voters();
            voters.any(|voter| voter.member == member(host))
        })
    }

    pub(crate) fn stop(&mut self, host: usize, stop: HostStop, time: Duration) {
        if self.runs(host) {
            if stop == HostStop::Suspend {
                self.counts.suspensions += 1;
            }
            self.hosts[host].stopped = Some((stop, self.now + time));
        }
    }

    pub(crate) fn slow_disk(&mut self, host: usize, delay: Duration) {
        self.hosts[host].write_delay = delay;
    }

    pub(crate) fn fail_disk(&mut self, host: usize, syncs: u64) {
        self.hosts[host].disk.set_faults(memory::DiskFaults {
            failed_sync: Some(syncs),
            ..memory::DiskFaults::default()
        });
    }

    /// Leaves this many bytes of room on a disk; `None` ends the lack of room.
    pub(crate) fn fill_disk(&mut self, host: usize, free_bytes: Option<u64>) {
        self.hosts[host].disk.set_faults(memory::DiskFaults {
            free_bytes,
            ..memory::DiskFaults::default()
        });
    }

    /// Returns whether the processes of all hosts that were not taken away run.
    pub(crate) fn all_hosts_run(&self) -> bool {
        self.present().into_iter().all(|host| self.runs(host))
    }

    /// Cuts `side` off from the other hosts, in one direction or both.
    pub(crate) fn cut(&mut self, side: &[usize], one_way: bool, mode: CutMode) {
        self.cut_mode = mode;
        for from in side {
            for to in 0..self.size() {
                if !side.contains(&to) {
                    self.blocked.insert((*from, to));
                    if !one_way {
                        self.blocked.insert((to, *from));
                    }
                }
            }
        }
    }

    /// Lets new messages through all links; held ones wait on.
    pub(crate) fn reconnect(&mut self) {
        self.blocked.clear();
    }

    pub(crate) fn heal(&mut self) {
        self.reconnect();
        for (from, to, payload) in std::mem::take(&mut self.held) {
            self.queue(from, to, payload);
        }
    }
}
