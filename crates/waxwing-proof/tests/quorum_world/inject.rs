//! What the planned fault does when its step is reached.

use std::time::Duration;

use waxwing_core::ids;
use waxwing_proof::{faults::SystemFault, steps::WorkStep};
use waxwing_store::memory;

use super::{ControlSimulation, MAIN, NetworkFaults, ScheduledAction};

const SECOND: Duration = Duration::from_secs(1);

impl ControlSimulation {
    pub(super) fn is_due(&self, step: WorkStep) -> bool {
        !self.fault_injected && self.plan.is_some_and(|plan| plan.step == step)
    }

    pub(super) fn inject_if_due(&mut self, step: WorkStep) {
        if self.is_due(step) {
            self.inject();
        }
    }

    pub(super) fn inject(&mut self) {
        let Some(plan) = self.plan else { return };
        self.fault_injected = true;
        let leader = self.stopping.or(self.leader()).unwrap_or(0);
        let follower = (leader + 1) % 3;
        match plan.fault {
            SystemFault::EntryKilled => self.restart_replica(0),
            SystemFault::AgentKilled => self.restart_replica(1),
            SystemFault::LeaderKilled => self.crash_and_restart(leader, 3 * SECOND),
            SystemFault::FollowerKilled => self.crash_and_restart(follower, 3 * SECOND),
            SystemFault::Restarted => self.crash_and_restart(leader, SECOND / 20),
            SystemFault::KilledTwice => {
                self.crash_and_restart(leader, SECOND);
                self.schedule(3 * SECOND, ScheduledAction::CrashLeader);
            }
            SystemFault::LostAfterRepair => {
                // Wipes the host after the leader. If host 1 leads, that is host 2, which was wiped and
                // repaired before this step.
                self.schedule(Duration::ZERO, ScheduledAction::Wipe(follower));
            }
            SystemFault::PartitionOneWay => self.isolate(leader, false),
            SystemFault::PartitionBothWays => self.isolate(leader, true),
            SystemFault::SilentConnection => {
                self.blocked_links.insert((leader, follower));
                self.blocked_links.insert((follower, leader));
                self.schedule(Duration::from_millis(2_500), ScheduledAction::Heal);
            }
            SystemFault::Burst => {
                for change in 20..50 {
                    self.submit(ids::ChangeId(change));
                }
            }
            SystemFault::OperatorRace => self.submit(ids::ChangeId(2)),
            SystemFault::OperatorResend => self.resend_main(),
            SystemFault::ClockJump => self.wall_clock_jumped = true,
            SystemFault::RollingRestart => {
                for host in 0..3 {
                    self.schedule(3 * SECOND * host as u32, ScheduledAction::Crash(host));
                    self.schedule(
                        3 * SECOND * host as u32 + SECOND,
                        ScheduledAction::Restart(host),
                    );
                }
                self.restart_replica(0);
                self.restart_replica(1);
            }
            fault => self.inject_network_or_disk(fault, leader),
        }
    }

    fn inject_network_or_disk(&mut self, fault: SystemFault, leader: usize) {
        let none = NetworkFaults::default();
        let healthy = memory::DiskFaults::default();
        match fault {
            SystemFault::MessageLost => {
                self.network_faults = NetworkFaults { dropped: 6, ..none };
                self.drop_main_answer();
            }
            SystemFault::MessageDuplicated => {
                self.network_faults = NetworkFaults {
                    duplicated: 40,
                    ..none
                }
            }
            SystemFault::MessageReordered => {
                self.network_faults = NetworkFaults {
                    reordered: 40,
                    ..none
                }
            }
            SystemFault::MessageDelayed => {
                self.network_faults = NetworkFaults {
                    delayed: 10,
                    ..none
                }
            }
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
                // The disk takes nine more bytes, cutting the next record; then the host crashes.
                let faults = memory::DiskFaults {
                    free_bytes: Some(9),
                    ..healthy
                };
                self.hosts[leader].disk.set_faults(faults);
                self.schedule(SECOND / 2, ScheduledAction::Crash(leader));
                self.schedule(2 * SECOND, ScheduledAction::Restart(leader));
            }
            SystemFault::WipedDisk => self.schedule(Duration::ZERO, ScheduledAction::Wipe(leader)),
            other => unreachable!("{other} does not apply to control hosts"),
        }
    }

    fn crash_and_restart(&mut self, host: usize, pause: Duration) {
        self.schedule(Duration::ZERO, ScheduledAction::Crash(host));
        self.schedule(pause, ScheduledAction::Restart(host));
    }

    fn restart_replica(&mut self, replica: usize) {
        self.replicas[replica].kill();
        self.schedule(SECOND / 2, ScheduledAction::StartReplica(replica));
    }

    fn isolate(&mut self, host: usize, both: bool) {
        for other in 0..self.hosts.len() {
            self.blocked_links.insert((other, host));
            if both {
                self.blocked_links.insert((host, other));
            }
        }
        self.schedule(20 * SECOND, ScheduledAction::Heal);
    }

    fn drop_main_answer(&mut self) {
        if let Some(request) = self
            .operators
            .iter_mut()
            .find(|request| request.change == MAIN)
        {
            request.drop_answer = true;
        }
    }

    /// Drops the first answer to the main change, so that its operator submits it again.
    fn resend_main(&mut self) {
        self.drop_main_answer();
        if let Some(request) = self
            .operators
            .iter_mut()
            .find(|request| request.change == MAIN)
        {
            request.answered = false;
        }
    }
}
