//! Discrete-event simulation of two entries, two agents with their endpoints and a control group on
//! one simulated clock. The state machines of requests, agents and the control group are the real
//! ones; links, endpoints and the availability of the control group are small fakes.

mod agents;
mod endpoints;
mod entries;
mod inject;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use waxwing_agent::events;
use waxwing_control::machine;
use waxwing_core::ids;
use waxwing_proof::{
    events::{RunEvent, RunRecord},
    faults::SystemFault,
    steps::WorkStep,
};
use waxwing_wire::messages;

pub(crate) use inject::FaultPlan;

/// One-way latency of a message between processes.
pub(crate) const LINK_DELAY: Duration = Duration::from_millis(1);

/// Time without messages after which both ends consider a link lost.
pub(crate) const LINK_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which the control group has no leader after the loss of one.
pub(crate) const ELECTION_TIME: Duration = Duration::from_millis(1_500);

/// Duration of a partition.
pub(crate) const PARTITION_TIME: Duration = Duration::from_secs(30);

/// A scheduled event of the simulation.
#[derive(Debug, Clone)]
enum ScheduledEvent {
    ToAgent {
        link: usize,
        epoch: u64,
        correlation: u64,
        body: messages::Body,
    },
    ToEntry {
        link: usize,
        epoch: u64,
        correlation: u64,
        body: messages::Body,
    },
    Endpoint {
        agent: usize,
        incarnation: u64,
        run: events::RunId,
        event: events::EndpointEvent,
    },
    ToAgentControl {
        agent: usize,
        incarnation: u64,
        correlation: u64,
        body: messages::Body,
    },
    ClaimReply {
        entry: usize,
        request: ids::RequestId,
        result: messages::ClaimResult,
    },
    Timer {
        entry: usize,
        request: ids::RequestId,
    },
    CallerRead {
        entry: usize,
        request: ids::RequestId,
        bytes: u64,
    },
    AgentTick {
        agent: usize,
    },
    LinkUp {
        link: usize,
    },
    LinkLost {
        link: usize,
        epoch: u64,
    },
    AgentStart {
        agent: usize,
    },
    AgentKill {
        agent: usize,
    },
    AgentDrain {
        agent: usize,
    },
    EntryStop {
        entry: usize,
    },
    AcceptRequest {
        entry: usize,
        spec: RequestSpec,
    },
    Inject,
}

/// A request that a caller sends.
#[derive(Debug, Clone)]
pub(crate) struct RequestSpec {
    /// The id of the request.
    pub(crate) request: ids::RequestId,
    /// The rank of its tier.
    pub(crate) rank: u8,
    /// The idempotency key, for calls to the plain service.
    pub(crate) key: Option<&'static str>,
    /// Time that the caller takes to read each chunk, in milliseconds.
    pub(crate) read_millis: u64,
}

/// The link between an entry and an agent; `epoch` counts its connections.
#[derive(Debug)]
struct SimulatedLink {
    entry: usize,
    agent: usize,
    epoch: u64,
    up: bool,
    silent: bool,
    to_agent_blocked: bool,
    to_entry_blocked: bool,
}

/// The simulated system.
pub(crate) struct RequestSimulation {
    start: Instant,
    now: Duration,
    sequence: u64,
    queue: BTreeMap<(Duration, u64), ScheduledEvent>,
    agents: Vec<agents::SimulatedAgent>,
    entries: Vec<entries::SimulatedEntry>,
    links: Vec<SimulatedLink>,
    control: machine::StateMachine,
    control_index: u64,
    control_down_until: Duration,
    drop_claim_reply: bool,
    drop_claim: bool,
    pending_heals: Vec<(Duration, usize)>,
    /// The fault to apply to the next messages of the first link, and to how many of them.
    message_faults: Option<(SystemFault, u32)>,
    wall_clock_jumped: bool,
    plan: Option<FaultPlan>,
    fault_injected: bool,
    plain: bool,
    main: ids::RequestId,
    requested: BTreeSet<ids::RequestId>,
    /// The history that callers, endpoints and operators observed.
    pub(crate) record: RunRecord,
}

impl RequestSimulation {
    /// Builds a system whose endpoints are plain services if `plain`, else engines.
    pub(crate) fn new(plain: bool, plan: Option<FaultPlan>) -> Self {
        let busy = plan.is_some_and(|plan| plan.step == WorkStep::Waiting);
        let start = Instant::now();
        let mut simulation = Self {
            start,
            now: Duration::ZERO,
            sequence: 0,
            queue: BTreeMap::new(),
            agents: (0..2).map(|_| agents::SimulatedAgent::new(busy)).collect(),
            entries: (0..2).map(|_| entries::SimulatedEntry::default()).collect(),
            links: Vec::new(),
            control: machine::StateMachine::default(),
            control_index: 0,
            control_down_until: Duration::ZERO,
            drop_claim_reply: false,
            drop_claim: false,
            pending_heals: Vec::new(),
            message_faults: None,
            wall_clock_jumped: false,
            plan,
            fault_injected: false,
            plain,
            main: ids::RequestId(1),
            requested: BTreeSet::new(),
            record: RunRecord::default(),
        };
        for (entry, agent) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            simulation.links.push(SimulatedLink {
                entry,
                agent,
                epoch: 0,
                up: false,
                silent: false,
                to_agent_blocked: false,
                to_entry_blocked: false,
            });
        }
        for agent in 0..2 {
            simulation.start_agent(agent);
        }
        simulation
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn schedule(&mut self, delay: Duration, scheduled: ScheduledEvent) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay, self.sequence), scheduled);
    }

    /// Sends a request through an entry after a delay.
    pub(crate) fn schedule_request(&mut self, delay: Duration, entry: usize, spec: RequestSpec) {
        self.schedule(delay, ScheduledEvent::AcceptRequest { entry, spec });
    }

    /// Processes all events up to `end`, as time since the start of the simulation.
    pub(crate) fn run(&mut self, end: Duration) {
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > end {
                break;
            }
            let Some(((at, _), scheduled)) = self.queue.pop_first() else {
                break;
            };
            self.now = at;
            self.heal_links();
            self.deliver(scheduled);
        }
        self.now = end;
        self.record.end = end;
    }

    fn deliver(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::ToAgent {
                link,
                epoch,
                correlation,
                body,
            } => {
                self.agent_message(link, epoch, correlation, body);
            }
            ScheduledEvent::ToEntry {
                link,
                epoch,
                correlation,
                body,
            } => {
                self.entry_message(link, epoch, correlation, body);
            }
            ScheduledEvent::Endpoint {
                agent,
                incarnation,
                run,
                event,
            } => {
                self.endpoint_event(agent, incarnation, run, event);
            }
            ScheduledEvent::ToAgentControl {
                agent,
                incarnation,
                correlation,
                body,
            } => {
                self.agent_control(agent, incarnation, correlation, body);
            }
            ScheduledEvent::ClaimReply {
                entry,
                request,
                result,
            } => {
                self.claim_reply(entry, request, result);
            }
            ScheduledEvent::Timer { entry, request } => self.timer(entry, request),
            ScheduledEvent::CallerRead {
                entry,
                request,
                bytes,
            } => {
                self.caller_read(entry, request, bytes);
            }
            ScheduledEvent::AgentTick { agent } => self.tick_agent(agent),
            ScheduledEvent::LinkUp { link } => self.link_up(link),
            ScheduledEvent::LinkLost { link, epoch } => self.link_lost(link, epoch),
            ScheduledEvent::AgentStart { agent } => self.start_agent(agent),
            ScheduledEvent::AgentKill { agent } => self.kill_agent(agent),
            ScheduledEvent::AgentDrain { agent } => self.drain_agent(agent),
            ScheduledEvent::EntryStop { entry } => self.stop_entry(entry),
            ScheduledEvent::AcceptRequest { entry, spec } => self.accept(entry, spec),
            ScheduledEvent::Inject => self.inject(None),
        }
    }

    fn find_link(&self, entry: usize, agent: usize) -> usize {
        self.links
            .iter()
            .position(|link| link.entry == entry && link.agent == agent)
            .expect("every entry has a link to every agent")
    }

    /// Sends a message over a link; a planned fault may drop, duplicate or delay it.
    fn send_on(&mut self, link: usize, to_agent: bool, correlation: u64, body: messages::Body) {
        let step = self.step_of(&body);
        let due = step.is_some_and(|step| self.is_due(step));
        let fault = match due {
            true => self.plan.map(|plan| plan.fault),
            false => self.take_message_fault(link),
        };
        let (copies, delay) = match fault {
            Some(SystemFault::MessageLost) => (0, LINK_DELAY),
            Some(SystemFault::MessageDuplicated) => (2, LINK_DELAY),
            Some(SystemFault::MessageReordered) => (1, 20 * LINK_DELAY),
            Some(SystemFault::MessageDelayed) => (1, inject::delay_of(step)),
            _ => (1, LINK_DELAY),
        };
        if due {
            self.inject(Some(link));
        }
        for copy in 0..copies {
            let delay = delay + copy * LINK_DELAY;
            self.transmit(link, to_agent, delay, correlation, body.clone());
        }
    }

    fn transmit(
        &mut self,
        link: usize,
        to_agent: bool,
        delay: Duration,
        correlation: u64,
        body: messages::Body,
    ) {
        let state = &self.links[link];
        let blocked = match to_agent {
            true => state.to_agent_blocked,
            false => state.to_entry_blocked,
        };
        if !state.up || state.silent || blocked {
            return;
        }
        let epoch = state.epoch;
        let scheduled = match to_agent {
            true => ScheduledEvent::ToAgent {
                link,
                epoch,
                correlation,
                body,
            },
            false => ScheduledEvent::ToEntry {
                link,
                epoch,
                correlation,
                body,
            },
        };
        self.schedule(delay, scheduled);
    }

    fn link_up(&mut self, link: usize) {
        let (entry, agent) = (self.links[link].entry, self.links[link].agent);
        let reachable = self.entries[entry].alive && self.agents[agent].core.is_some();
        let blocked = self.links[link].to_agent_blocked || self.links[link].to_entry_blocked;
        if self.links[link].up {
            return;
        }
        if !reachable || blocked {
            self.schedule(Duration::from_millis(200), ScheduledEvent::LinkUp { link });
            return;
        }
        let state = &mut self.links[link];
        state.up = true;
        state.silent = false;
        state.epoch += 1;
        let epoch = state.epoch;
        self.agent_link_opened(agent, epoch, link);
        self.entry_link_up(entry, agent);
        if link == 0 {
            self.inject_if_due(self.main, WorkStep::Announcing);
        }
    }

    fn link_lost(&mut self, link: usize, epoch: u64) {
        if !self.links[link].up || self.links[link].epoch != epoch {
            return;
        }
        self.links[link].up = false;
        let (entry, agent) = (self.links[link].entry, self.links[link].agent);
        self.agent_link_closed(agent, epoch, link);
        self.entry_link_down(entry, agent);
        self.schedule(Duration::from_millis(100), ScheduledEvent::LinkUp { link });
    }

    /// Closes the links of a killed process.
    fn drop_links(&mut self, dead: impl Fn(&SimulatedLink) -> bool) {
        for link in 0..self.links.len() {
            if dead(&self.links[link]) {
                self.link_lost(link, self.links[link].epoch);
            }
        }
    }

    fn record_event(&mut self, event: RunEvent) {
        self.record.push(self.now, event);
    }

    /// Tells whether a request got an answer that was reported as complete.
    pub(crate) fn was_answered(&self, wanted: ids::RequestId) -> bool {
        self.record.events.iter().any(
            |timed| matches!(timed.event, RunEvent::Answered { request, .. } if request == wanted),
        )
    }

    /// Tells whether a request was answered or refused.
    pub(crate) fn has_outcome(&self, wanted: ids::RequestId) -> bool {
        self.was_answered(wanted)
            || self.record.events.iter().any(|timed| {
                matches!(timed.event, RunEvent::Refused { request, .. } if request == wanted)
            })
    }

    /// Tells whether the planned fault was injected.
    pub(crate) fn was_fault_injected(&self) -> bool {
        self.fault_injected
    }
}
