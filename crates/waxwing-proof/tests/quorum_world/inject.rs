//! What the fault of the plan does when its step is reached.

use std::time::Duration;

use waxwing_core::ids;
use waxwing_proof::{faults::SystemFault, steps::WorkStep};
use waxwing_store::memory;

use super::{Agenda, ControlWorld, MAIN, NetworkMood};

const SECOND: Duration = Duration::from_secs(1);

impl ControlWorld {
    pub(super) fn is_due(&self, step: WorkStep) -> bool {
        !self.fired && self.plan.is_some_and(|plan| plan.step == step)
    }

    pub(super) fn strike_if_due(&mut self, step: WorkStep) {
        if self.is_due(step) {
            self.inject();
        }
    }

    pub(super) fn inject(&mut self) {
        let Some(plan) = self.plan else { return };
        self.fired = true;
        let leader = self.stopping.or(self.leader()).unwrap_or(0);
        let follower = (leader + 1) % 3;
        match plan.fault {
            SystemFault::EntryKilled => self.restart_replica(0),
            SystemFault::AgentKilled => self.restart_replica(1),
            SystemFault::LeaderKilled => self.bounce(leader, 3 * SECOND),
            SystemFault::FollowerKilled => self.bounce(follower, 3 * SECOND),
            SystemFault::Restarted => self.bounce(leader, SECOND / 20),
            SystemFault::KilledTwice => {
                self.bounce(leader, SECOND);
                self.at(3 * SECOND, Agenda::CrashLeader);
            }
            SystemFault::LostAfterRepair => {
                // The host that was repaired before the step stays; another one is lost for good.
                self.at(Duration::ZERO, Agenda::Wipe(follower));
            }
            SystemFault::PartitionOneWay => self.cut_off(leader, false),
            SystemFault::PartitionBothWays => self.cut_off(leader, true),
            SystemFault::SilentConnection => {
                self.cuts.insert((leader, follower));
                self.cuts.insert((follower, leader));
                self.at(Duration::from_millis(2_500), Agenda::Heal);
            }
            SystemFault::Burst => {
                for change in 20..50 {
                    self.submit(ids::ChangeId(change));
                }
            }
            SystemFault::OperatorRace => self.submit(ids::ChangeId(2)),
            SystemFault::OperatorResend => self.resend_main(),
            SystemFault::ClockJump => self.wall_jump = true,
            SystemFault::RollingRestart => {
                for host in 0..3 {
                    self.at(3 * SECOND * host as u32, Agenda::Crash(host));
                    self.at(3 * SECOND * host as u32 + SECOND, Agenda::Restart(host));
                }
                self.restart_replica(0);
                self.restart_replica(1);
            }
            fault => self.inject_network_or_disk(fault, leader),
        }
    }

    fn inject_network_or_disk(&mut self, fault: SystemFault, leader: usize) {
        let calm = NetworkMood::default();
        let healthy = memory::DiskFaults::default();
        match fault {
            SystemFault::MessageLost => {
                self.mood = NetworkMood { lost: 6, ..calm };
                self.lose_main_answer();
            }
            SystemFault::MessageDoubled => {
                self.mood = NetworkMood {
                    doubled: 40,
                    ..calm
                }
            }
            SystemFault::MessageReordered => {
                self.mood = NetworkMood {
                    reordered: 40,
                    ..calm
                }
            }
            SystemFault::MessageLate => self.mood = NetworkMood { late: 10, ..calm },
            SystemFault::DiskFull => {
                let faults = memory::DiskFaults {
                    free_bytes: Some(3),
                    ..healthy
                };
                self.hosts[leader].disk.set_faults(faults);
            }
            SystemFault::FailedSync => {
                let faults = memory::DiskFaults {
                    failed_sync: Some(0),
                    ..healthy
                };
                self.hosts[leader].disk.set_faults(faults);
            }
            SystemFault::TornWrite => {
                // The disk takes a few bytes of the next record, and then the host loses power.
                let faults = memory::DiskFaults {
                    free_bytes: Some(9),
                    ..healthy
                };
                self.hosts[leader].disk.set_faults(faults);
                self.at(SECOND / 2, Agenda::Crash(leader));
                self.at(2 * SECOND, Agenda::Restart(leader));
            }
            SystemFault::WipedDisk => self.at(Duration::ZERO, Agenda::Wipe(leader)),
            other => unreachable!("{other} does not strike control hosts"),
        }
    }

    fn bounce(&mut self, host: usize, pause: Duration) {
        self.at(Duration::ZERO, Agenda::Crash(host));
        self.at(pause, Agenda::Restart(host));
    }

    fn restart_replica(&mut self, replica: usize) {
        self.replicas[replica].kill();
        self.at(SECOND / 2, Agenda::StartReplica(replica));
    }

    fn cut_off(&mut self, host: usize, both: bool) {
        for other in 0..self.hosts.len() {
            self.cuts.insert((other, host));
            if both {
                self.cuts.insert((host, other));
            }
        }
        self.at(20 * SECOND, Agenda::Heal);
    }

    fn lose_main_answer(&mut self) {
        if let Some(ask) = self.operators.iter_mut().find(|ask| ask.change == MAIN) {
            ask.lose_answer = true;
        }
    }

    /// The operator loses the first answer and sends the same change again.
    fn resend_main(&mut self) {
        self.lose_main_answer();
        if let Some(ask) = self.operators.iter_mut().find(|ask| ask.change == MAIN) {
            ask.answered = false;
        }
    }
}
