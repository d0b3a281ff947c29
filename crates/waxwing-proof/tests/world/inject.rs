//! When the planned fault is injected and what it does.

use std::time::Duration;

use waxwing_core::ids;
use waxwing_entry::request_core::CoreEvent;
use waxwing_proof::{faults::SystemFault, steps::WorkStep};
use waxwing_wire::messages;

use super::{
    ELECTION_TIME, LINK_DELAY, LINK_TIMEOUT, PARTITION_TIME, RequestSimulation, RequestSpec,
    ScheduledEvent, entries,
};

/// The fault to inject and the step of the main request at which to inject it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultPlan {
    /// The step of the main request, of an endpoint or of a shutdown.
    pub(crate) step: WorkStep,
    /// The fault to inject.
    pub(crate) fault: SystemFault,
}

/// Returns the delay of a delayed message. A delayed handover arrives after the request was settled
/// and before its grant expires, so that only the fence set by the settlement can reject it.
pub(super) fn delay_of(step: Option<WorkStep>) -> Duration {
    match step {
        Some(WorkStep::HandedOver) => Duration::from_millis(1_500),
        _ => Duration::from_secs(3),
    }
}

/// Tells whether a step belongs to the lifecycle of an endpoint or to a shutdown; such a step is not
/// tied to a message.
fn is_lifecycle_step(step: WorkStep) -> bool {
    matches!(
        step,
        WorkStep::Announcing
            | WorkStep::Serving
            | WorkStep::Leaving
            | WorkStep::Gone
            | WorkStep::EntryStops
            | WorkStep::AgentStops
    )
}

impl RequestSimulation {
    /// Returns the fault to apply to a message of a link, and counts it down; only the first link has
    /// message faults.
    pub(super) fn take_message_fault(&mut self, link: usize) -> Option<SystemFault> {
        let (fault, left) = self.message_faults.filter(|_| link == 0)?;
        self.message_faults = (left > 1).then_some((fault, left - 1));
        Some(fault)
    }

    /// Returns the step of the main request that a message belongs to.
    pub(super) fn step_of(&self, body: &messages::Body) -> Option<WorkStep> {
        if entries::request_of(body) != Some(self.main) {
            return None;
        }
        match body {
            messages::Body::Offer(_) => Some(WorkStep::Offered),
            messages::Body::Grant(_) => Some(WorkStep::Granted),
            messages::Body::Handover(_) => Some(WorkStep::HandedOver),
            messages::Body::HandoverAck(_) => Some(WorkStep::Admitted),
            messages::Body::AnswerHead(_) if self.is_due(WorkStep::Serving) => {
                Some(WorkStep::Serving)
            }
            messages::Body::AnswerHead(_) => Some(WorkStep::Prefill),
            messages::Body::AnswerChunk(chunk) if chunk.end.is_some() => Some(WorkStep::LastByte),
            messages::Body::AnswerChunk(_) => Some(WorkStep::Streaming),
            messages::Body::AnswerAck(_) => Some(WorkStep::Acknowledged),
            _ => None,
        }
    }

    pub(super) fn is_due(&self, step: WorkStep) -> bool {
        !self.fault_injected && self.plan.is_some_and(|plan| plan.step == step)
    }

    pub(super) fn inject_if_due(&mut self, request: ids::RequestId, step: WorkStep) {
        if request != self.main {
            return;
        }
        if self.is_due(step) {
            self.inject(None);
        } else if self.is_due(WorkStep::Waiting) {
            // The request still waits after 20 ms, since both agents are busy for far longer.
            self.schedule(Duration::from_millis(20), ScheduledEvent::Inject);
        }
    }

    /// Injects the planned fault once; `link` is the link of the message that triggered it, if any.
    pub(super) fn inject(&mut self, link: Option<usize>) {
        let Some(plan) = self.plan.filter(|_| !self.fault_injected) else {
            return;
        };
        self.fault_injected = true;
        let link = link.unwrap_or(0);
        let agent = self.links[link].agent;
        match plan.fault {
            SystemFault::EntryKilled => self.kill_entry(0),
            SystemFault::AgentKilled => {
                self.schedule(Duration::ZERO, ScheduledEvent::AgentKill { agent })
            }
            SystemFault::Restarted => {
                self.schedule(Duration::ZERO, ScheduledEvent::AgentKill { agent });
                self.schedule(
                    Duration::from_millis(200),
                    ScheduledEvent::AgentStart { agent },
                );
            }
            SystemFault::KilledTwice => {
                self.schedule(Duration::ZERO, ScheduledEvent::AgentKill { agent });
                self.schedule(
                    Duration::from_millis(200),
                    ScheduledEvent::AgentStart { agent },
                );
                self.schedule(
                    Duration::from_millis(230),
                    ScheduledEvent::AgentKill { agent },
                );
                self.schedule(Duration::from_secs(3), ScheduledEvent::AgentStart { agent });
            }
            SystemFault::EndpointKilled => self.kill_endpoint(agent),
            SystemFault::PartitionOneWay => self.partition_link(link, false),
            SystemFault::PartitionBothWays => self.partition_link(link, true),
            SystemFault::SilentConnection => self.silence_link(link),
            SystemFault::Straggler => self.agents[agent].slowdown = 20,
            SystemFault::Burst => self.schedule_burst(),
            SystemFault::CallerGone => self.request_event(0, self.main, CoreEvent::CallerGone),
            SystemFault::CallerResends => self.resend(LINK_DELAY),
            SystemFault::RollingRestart => self.rolling_restart(),
            SystemFault::MessageLost if plan.step == WorkStep::Claimed => {
                self.drop_claim_reply = true;
            }
            SystemFault::MessageLost
            | SystemFault::MessageDuplicated
            | SystemFault::MessageReordered
            | SystemFault::MessageDelayed
                if is_lifecycle_step(plan.step) =>
            {
                self.message_faults = Some((plan.fault, 3));
            }
            SystemFault::LeaderKilled | SystemFault::FollowerKilled
                if is_lifecycle_step(plan.step) =>
            {
                self.control_down_until = self.now + ELECTION_TIME;
            }
            fault => self.inject_control(fault),
        }
    }

    /// Injects a fault of the control hosts as an entry observes it: the claim is applied or not, and
    /// its reply comes late or never.
    fn inject_control(&mut self, fault: SystemFault) {
        match fault {
            SystemFault::LeaderKilled | SystemFault::TornWrite => self.drop_claim_reply = true,
            SystemFault::FailedSync | SystemFault::DiskFull => {
                self.drop_claim = true;
                self.control_down_until = self.now + ELECTION_TIME;
            }
            SystemFault::LostAfterRepair => {
                self.control_down_until = self.now + Duration::from_secs(10);
            }
            SystemFault::ClockJump => self.wall_clock_jumped = true,
            _ => {}
        }
    }

    /// Returns the extra latency of a claim reply under the planned fault.
    pub(super) fn claim_delay(&self) -> Duration {
        match self.plan.map(|plan| plan.fault) {
            Some(SystemFault::MessageReordered) => 20 * LINK_DELAY,
            Some(SystemFault::MessageDelayed) => Duration::from_secs(3),
            Some(SystemFault::FollowerKilled | SystemFault::WipedDisk) => 5 * LINK_DELAY,
            _ => Duration::ZERO,
        }
    }

    fn partition_link(&mut self, link: usize, both: bool) {
        let epoch = self.links[link].epoch;
        self.links[link].to_entry_blocked = true;
        self.links[link].to_agent_blocked = both;
        self.schedule(LINK_TIMEOUT, ScheduledEvent::LinkLost { link, epoch });
        self.schedule_heal(link);
    }

    /// Schedules the end of a partition, after which the link can be opened again.
    fn schedule_heal(&mut self, link: usize) {
        self.pending_heals.push((self.now + PARTITION_TIME, link));
    }

    pub(super) fn heal_links(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .pending_heals
            .iter()
            .filter(|(at, _)| *at <= now)
            .copied()
            .collect();
        self.pending_heals.retain(|(at, _)| *at > now);
        for (_, link) in due {
            self.links[link].to_entry_blocked = false;
            self.links[link].to_agent_blocked = false;
        }
    }

    fn silence_link(&mut self, link: usize) {
        let epoch = self.links[link].epoch;
        self.links[link].silent = true;
        self.schedule(LINK_TIMEOUT, ScheduledEvent::LinkLost { link, epoch });
    }

    fn schedule_burst(&mut self) {
        for number in 0..60_u128 {
            let spec = RequestSpec {
                request: ids::RequestId(1_000 + number),
                rank: if number % 3 == 0 { 1 } else { 2 },
                key: None,
                read_millis: 0,
            };
            self.schedule_request(LINK_DELAY, (number % 2) as usize, spec);
        }
    }

    /// Resends the main request under its idempotency key through the other entry.
    pub(crate) fn resend(&mut self, delay: Duration) {
        let request = ids::RequestId(2 + u128::from(self.now > Duration::from_secs(10)));
        let spec = RequestSpec {
            request,
            rank: 0,
            key: Some("order-1"),
            read_millis: 0,
        };
        self.schedule_request(delay, 1, spec);
    }

    /// Drains the first agent after a delay; it restarts as a new incarnation.
    pub(crate) fn drain_first_agent(&mut self, delay: Duration) {
        self.schedule(delay, ScheduledEvent::AgentDrain { agent: 0 });
        self.schedule_background_requests(delay);
    }

    /// Shuts the first entry down gracefully after a delay.
    pub(crate) fn stop_first_entry(&mut self, delay: Duration) {
        self.schedule(delay, ScheduledEvent::EntryStop { entry: 0 });
    }

    /// Sends a request each second through entry 1, which is never told of drains.
    fn schedule_background_requests(&mut self, delay: Duration) {
        for number in 0..14_u128 {
            let request = ids::RequestId(2_000 + 100 * self.now.as_millis() + number);
            let spec = RequestSpec {
                request,
                rank: 1,
                key: None,
                read_millis: 0,
            };
            self.schedule_request(delay + Duration::from_secs(1) * number as u32, 1, spec);
        }
    }

    /// Occupies both agents, so that a request of the same tier has to wait.
    pub(crate) fn occupy_agents(&mut self, delay: Duration) {
        for agent in &mut self.agents {
            agent.slowdown = 10;
        }
        for number in 0..2_u128 {
            let request = ids::RequestId(500 + number);
            let key = self.plain.then_some(["fill-1", "fill-2"][number as usize]);
            self.schedule_request(
                delay,
                1,
                RequestSpec {
                    request,
                    rank: 0,
                    key,
                    read_millis: 0,
                },
            );
        }
    }

    fn rolling_restart(&mut self) {
        self.control_down_until = self.now + Duration::from_millis(500);
        for agent in 0..2 {
            let delay = Duration::from_secs(8) * agent as u32;
            self.schedule(delay, ScheduledEvent::AgentDrain { agent });
        }
        // A long generation delays the end of the first agent while new requests keep arriving.
        self.agents[0].slowdown = 80;
        self.schedule_background_requests(Duration::ZERO);
    }
}
