//! When a fault strikes and what it does.

use std::time::Duration;

use waxwing_core::ids;
use waxwing_entry::request_core::CoreEvent;
use waxwing_proof::{faults::SystemFault, steps::WorkStep};
use waxwing_wire::messages;

use super::{Delivery, ELECTION, HOP, PARTITION, RequestSpec, SILENCE, World, entries};

/// A `FaultPlan` says which fault strikes at which step of the main request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultPlan {
    /// The step.
    pub(crate) step: WorkStep,
    /// The fault.
    pub(crate) fault: SystemFault,
}

/// How late a message is. A hand-over comes after its settlement and before its grant ends, so that
/// only the settlement's fence can stop it.
pub(super) fn lateness(step: Option<WorkStep>) -> Duration {
    match step {
        Some(WorkStep::HandedOver) => Duration::from_millis(1_500),
        _ => Duration::from_secs(3),
    }
}

/// Tells whether a step belongs to the life of an endpoint or to a shutdown, and not to a message.
fn is_life_step(step: WorkStep) -> bool {
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

impl World {
    /// Takes a fault for a message of the first link, if some are left.
    pub(super) fn take_mood(&mut self, link: usize) -> Option<SystemFault> {
        let (fault, left) = self.mood.filter(|_| link == 0)?;
        self.mood = (left > 1).then_some((fault, left - 1));
        Some(fault)
    }

    /// Tells which step of the main request a message is part of.
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
        !self.fired && self.plan.is_some_and(|plan| plan.step == step)
    }

    pub(super) fn strike_if_due(&mut self, request: ids::RequestId, step: WorkStep) {
        if request != self.main {
            return;
        }
        if self.is_due(step) {
            self.inject(None);
        } else if self.is_due(WorkStep::Waiting) {
            // The request waits, since both agents are busy for far longer than this.
            self.later(Duration::from_millis(20), Delivery::Inject);
        }
    }

    /// Lets the fault of the plan strike; `link` carries the message at hand, if there is one.
    pub(super) fn inject(&mut self, link: Option<usize>) {
        let Some(plan) = self.plan.filter(|_| !self.fired) else {
            return;
        };
        self.fired = true;
        let link = link.unwrap_or(0);
        let agent = self.links[link].agent;
        match plan.fault {
            SystemFault::EntryKilled => self.kill_entry(0),
            SystemFault::AgentKilled => self.later(Duration::ZERO, Delivery::AgentKill { agent }),
            SystemFault::Restarted => {
                self.later(Duration::ZERO, Delivery::AgentKill { agent });
                self.later(Duration::from_millis(200), Delivery::AgentStart { agent });
            }
            SystemFault::KilledTwice => {
                self.later(Duration::ZERO, Delivery::AgentKill { agent });
                self.later(Duration::from_millis(200), Delivery::AgentStart { agent });
                self.later(Duration::from_millis(230), Delivery::AgentKill { agent });
                self.later(Duration::from_secs(3), Delivery::AgentStart { agent });
            }
            SystemFault::EndpointKilled => self.kill_endpoint(agent),
            SystemFault::PartitionOneWay => self.partition(link, false),
            SystemFault::PartitionBothWays => self.partition(link, true),
            SystemFault::SilentConnection => self.silence(link),
            SystemFault::Straggler => self.agents[agent].slow = 20,
            SystemFault::Burst => self.burst(),
            SystemFault::CallerGone => self.request_event(0, self.main, CoreEvent::CallerGone),
            SystemFault::CallerResends => self.resend(HOP),
            SystemFault::RollingRestart => self.rolling_restart(),
            SystemFault::MessageLost if plan.step == WorkStep::Claimed => {
                self.lose_claim_reply = true;
            }
            SystemFault::MessageLost
            | SystemFault::MessageDoubled
            | SystemFault::MessageReordered
            | SystemFault::MessageLate
                if is_life_step(plan.step) =>
            {
                self.mood = Some((plan.fault, 3));
            }
            SystemFault::LeaderKilled | SystemFault::FollowerKilled if is_life_step(plan.step) => {
                self.control_down_until = self.now + ELECTION;
            }
            fault => self.inject_control(fault),
        }
    }

    /// Faults of the control hosts, as an entry sees them: the claim is applied or not, and its
    /// answer comes late or never.
    fn inject_control(&mut self, fault: SystemFault) {
        match fault {
            SystemFault::LeaderKilled | SystemFault::TornWrite => self.lose_claim_reply = true,
            SystemFault::FailedSync | SystemFault::DiskFull => {
                self.drop_claim = true;
                self.control_down_until = self.now + ELECTION;
            }
            SystemFault::LostAfterRepair => {
                self.control_down_until = self.now + Duration::from_secs(10);
            }
            SystemFault::ClockJump => self.wall_jump = true,
            _ => {}
        }
    }

    /// Extra time of the answer to a claim under the fault of the plan.
    pub(super) fn claim_delay(&self) -> Duration {
        match self.plan.map(|plan| plan.fault) {
            Some(SystemFault::MessageReordered) => 20 * HOP,
            Some(SystemFault::MessageLate) => Duration::from_secs(3),
            Some(SystemFault::FollowerKilled | SystemFault::WipedDisk) => 5 * HOP,
            _ => Duration::ZERO,
        }
    }

    fn partition(&mut self, link: usize, both: bool) {
        let life = self.links[link].life;
        self.links[link].to_entry_blocked = true;
        self.links[link].to_agent_blocked = both;
        self.later(SILENCE, Delivery::LinkLost { link, life });
        self.heal_later(link);
    }

    /// The link heals for new lives when the partition ends.
    fn heal_later(&mut self, link: usize) {
        self.healing.push((self.now + PARTITION, link));
    }

    pub(super) fn heal(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .healing
            .iter()
            .filter(|(at, _)| *at <= now)
            .copied()
            .collect();
        self.healing.retain(|(at, _)| *at > now);
        for (_, link) in due {
            self.links[link].to_entry_blocked = false;
            self.links[link].to_agent_blocked = false;
        }
    }

    fn silence(&mut self, link: usize) {
        let life = self.links[link].life;
        self.links[link].silent = true;
        self.later(SILENCE, Delivery::LinkLost { link, life });
    }

    fn burst(&mut self) {
        for number in 0..60_u128 {
            let spec = RequestSpec {
                request: ids::RequestId(1_000 + number),
                rank: if number % 3 == 0 { 1 } else { 2 },
                key: None,
                read_millis: 0,
            };
            self.ask(HOP, (number % 2) as usize, spec);
        }
    }

    /// The caller sends the key of the main request again through the other entry.
    pub(crate) fn resend(&mut self, delay: Duration) {
        let request = ids::RequestId(2 + u128::from(self.now > Duration::from_secs(10)));
        let spec = RequestSpec {
            request,
            rank: 0,
            key: Some("order-1"),
            read_millis: 0,
        };
        self.ask(delay, 1, spec);
    }

    /// Lets the first agent leave after a delay; it comes back as a new incarnation.
    pub(crate) fn leave(&mut self, delay: Duration) {
        self.later(delay, Delivery::AgentDrain { agent: 0 });
        self.keep_asking(delay);
    }

    /// Shuts the first entry down after a delay.
    pub(crate) fn stop_first_entry(&mut self, delay: Duration) {
        self.later(delay, Delivery::EntryStop { entry: 0 });
    }

    /// Sends a request each second through the entry that never hears of drains.
    fn keep_asking(&mut self, delay: Duration) {
        for number in 0..14_u128 {
            let request = ids::RequestId(2_000 + 100 * self.now.as_millis() + number);
            let spec = RequestSpec {
                request,
                rank: 1,
                key: None,
                read_millis: 0,
            };
            self.ask(delay + Duration::from_secs(1) * number as u32, 1, spec);
        }
    }

    /// Fills both agents, so that a request of the same tier has to wait.
    pub(crate) fn occupy(&mut self, delay: Duration) {
        for agent in &mut self.agents {
            agent.slow = 10;
        }
        for number in 0..2_u128 {
            let request = ids::RequestId(500 + number);
            let key = self.plain.then_some(["fill-1", "fill-2"][number as usize]);
            self.ask(
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
            self.later(delay, Delivery::AgentDrain { agent });
        }
        // A long generation keeps the first agent from ending at once, and new work goes on coming.
        self.agents[0].slow = 80;
        self.keep_asking(Duration::ZERO);
    }
}
