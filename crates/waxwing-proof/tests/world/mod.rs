//! Two entries, two agents with their endpoints and a control group, as state machines on one
//! stepped clock. The requests and agents are the real ones; links, endpoints and the control
//! group's availability are small fakes at the interfaces.

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

/// One-way time of a message between processes.
pub(crate) const HOP: Duration = Duration::from_millis(1);

/// Silence after which both ends of a link count it as lost.
pub(crate) const SILENCE: Duration = Duration::from_millis(2_500);

/// Time without a leader of the control group after the leader's end.
pub(crate) const ELECTION: Duration = Duration::from_millis(1_500);

/// How long a long partition lasts.
pub(crate) const PARTITION: Duration = Duration::from_secs(30);

/// A `Delivery` is something that will happen.
#[derive(Debug, Clone)]
enum Delivery {
    ToAgent {
        link: usize,
        life: u64,
        correlation: u64,
        body: messages::Body,
    },
    ToEntry {
        link: usize,
        life: u64,
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
    Delivered {
        entry: usize,
        request: ids::RequestId,
        bytes: u64,
    },
    Tick {
        agent: usize,
    },
    LinkUp {
        link: usize,
    },
    LinkLost {
        link: usize,
        life: u64,
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
    Ask {
        entry: usize,
        spec: RequestSpec,
    },
    Inject,
}

/// A `RequestSpec` is a request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct RequestSpec {
    /// Its id.
    pub(crate) request: ids::RequestId,
    /// The rank of its tier.
    pub(crate) rank: u8,
    /// Whether it goes to the plain service, with this key.
    pub(crate) key: Option<&'static str>,
    /// Milliseconds for which the caller reads each piece.
    pub(crate) read_millis: u64,
}

/// A `WorldLink` is the link of an entry to an agent over all its lives.
#[derive(Debug)]
struct WorldLink {
    entry: usize,
    agent: usize,
    life: u64,
    up: bool,
    silent: bool,
    to_agent_blocked: bool,
    to_entry_blocked: bool,
}

/// A `World` is the whole system in one place.
pub(crate) struct World {
    start: Instant,
    now: Duration,
    sequence: u64,
    queue: BTreeMap<(Duration, u64), Delivery>,
    agents: Vec<agents::AgentSlot>,
    entries: Vec<entries::EntrySlot>,
    links: Vec<WorldLink>,
    control: machine::StateMachine,
    control_index: u64,
    control_down_until: Duration,
    lose_claim_reply: bool,
    drop_claim: bool,
    healing: Vec<(Duration, usize)>,
    /// The fault that strikes the next messages of the first link, and how many.
    mood: Option<(SystemFault, u32)>,
    wall_jump: bool,
    plan: Option<FaultPlan>,
    fired: bool,
    plain: bool,
    main: ids::RequestId,
    asked: BTreeSet<ids::RequestId>,
    /// What callers, endpoints and operators observed.
    pub(crate) record: RunRecord,
}

impl World {
    /// Builds a world whose endpoints are engines, or plain services.
    pub(crate) fn new(plain: bool, plan: Option<FaultPlan>) -> Self {
        let busy = plan.is_some_and(|plan| plan.step == WorkStep::Waiting);
        let start = Instant::now();
        let mut world = Self {
            start,
            now: Duration::ZERO,
            sequence: 0,
            queue: BTreeMap::new(),
            agents: (0..2).map(|_| agents::AgentSlot::new(busy)).collect(),
            entries: (0..2).map(|_| entries::EntrySlot::default()).collect(),
            links: Vec::new(),
            control: machine::StateMachine::default(),
            control_index: 0,
            control_down_until: Duration::ZERO,
            lose_claim_reply: false,
            drop_claim: false,
            healing: Vec::new(),
            mood: None,
            wall_jump: false,
            plan,
            fired: false,
            plain,
            main: ids::RequestId(1),
            asked: BTreeSet::new(),
            record: RunRecord::default(),
        };
        for (entry, agent) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            world.links.push(WorldLink {
                entry,
                agent,
                life: 0,
                up: false,
                silent: false,
                to_agent_blocked: false,
                to_entry_blocked: false,
            });
        }
        for agent in 0..2 {
            world.start_agent(agent);
        }
        world
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn later(&mut self, delay: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay, self.sequence), delivery);
    }

    /// Asks for a request after a delay.
    pub(crate) fn ask(&mut self, delay: Duration, entry: usize, spec: RequestSpec) {
        self.later(delay, Delivery::Ask { entry, spec });
    }

    /// Runs until `end`.
    pub(crate) fn run(&mut self, end: Duration) {
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > end {
                break;
            }
            let Some(((at, _), delivery)) = self.queue.pop_first() else {
                break;
            };
            self.now = at;
            self.heal();
            self.deliver(delivery);
        }
        self.now = end;
        self.record.end = end;
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::ToAgent {
                link,
                life,
                correlation,
                body,
            } => {
                self.agent_message(link, life, correlation, body);
            }
            Delivery::ToEntry {
                link,
                life,
                correlation,
                body,
            } => {
                self.entry_message(link, life, correlation, body);
            }
            Delivery::Endpoint {
                agent,
                incarnation,
                run,
                event,
            } => {
                self.endpoint_event(agent, incarnation, run, event);
            }
            Delivery::ToAgentControl {
                agent,
                incarnation,
                correlation,
                body,
            } => {
                self.agent_control(agent, incarnation, correlation, body);
            }
            Delivery::ClaimReply {
                entry,
                request,
                result,
            } => {
                self.claim_reply(entry, request, result);
            }
            Delivery::Timer { entry, request } => self.timer(entry, request),
            Delivery::Delivered {
                entry,
                request,
                bytes,
            } => {
                self.caller_read(entry, request, bytes);
            }
            Delivery::Tick { agent } => self.tick(agent),
            Delivery::LinkUp { link } => self.link_up(link),
            Delivery::LinkLost { link, life } => self.link_lost(link, life),
            Delivery::AgentStart { agent } => self.start_agent(agent),
            Delivery::AgentKill { agent } => self.kill_agent(agent),
            Delivery::AgentDrain { agent } => self.drain_agent(agent),
            Delivery::EntryStop { entry } => self.stop_entry(entry),
            Delivery::Ask { entry, spec } => self.accept(entry, spec),
            Delivery::Inject => self.inject(None),
        }
    }

    fn find_link(&self, entry: usize, agent: usize) -> usize {
        self.links
            .iter()
            .position(|link| link.entry == entry && link.agent == agent)
            .expect("every entry has a link to every agent")
    }

    /// Sends a message over a link; the fault of the plan may lose, double or delay it.
    fn send_on(&mut self, link: usize, to_agent: bool, correlation: u64, body: messages::Body) {
        let step = self.step_of(&body);
        let due = step.is_some_and(|step| self.is_due(step));
        let fault = match due {
            true => self.plan.map(|plan| plan.fault),
            false => self.take_mood(link),
        };
        let (copies, delay) = match fault {
            Some(SystemFault::MessageLost) => (0, HOP),
            Some(SystemFault::MessageDoubled) => (2, HOP),
            Some(SystemFault::MessageReordered) => (1, 20 * HOP),
            Some(SystemFault::MessageLate) => (1, inject::lateness(step)),
            _ => (1, HOP),
        };
        if due {
            self.inject(Some(link));
        }
        for copy in 0..copies {
            let delay = delay + copy * HOP;
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
        let life = state.life;
        let delivery = match to_agent {
            true => Delivery::ToAgent {
                link,
                life,
                correlation,
                body,
            },
            false => Delivery::ToEntry {
                link,
                life,
                correlation,
                body,
            },
        };
        self.later(delay, delivery);
    }

    fn link_up(&mut self, link: usize) {
        let (entry, agent) = (self.links[link].entry, self.links[link].agent);
        let reachable = self.entries[entry].alive && self.agents[agent].core.is_some();
        let blocked = self.links[link].to_agent_blocked || self.links[link].to_entry_blocked;
        if self.links[link].up {
            return;
        }
        if !reachable || blocked {
            self.later(Duration::from_millis(200), Delivery::LinkUp { link });
            return;
        }
        let state = &mut self.links[link];
        state.up = true;
        state.silent = false;
        state.life += 1;
        let life = state.life;
        self.agent_link_opened(agent, life, link);
        self.entry_link_up(entry, agent);
        if link == 0 {
            self.strike_if_due(self.main, WorkStep::Announcing);
        }
    }

    fn link_lost(&mut self, link: usize, life: u64) {
        if !self.links[link].up || self.links[link].life != life {
            return;
        }
        self.links[link].up = false;
        let (entry, agent) = (self.links[link].entry, self.links[link].agent);
        self.agent_link_closed(agent, life, link);
        self.entry_link_down(entry, agent);
        self.later(Duration::from_millis(100), Delivery::LinkUp { link });
    }

    /// Ends every link of a process that died.
    fn drop_links(&mut self, dead: impl Fn(&WorldLink) -> bool) {
        for link in 0..self.links.len() {
            if dead(&self.links[link]) {
                self.link_lost(link, self.links[link].life);
            }
        }
    }

    fn note(&mut self, event: RunEvent) {
        self.record.push(self.now, event);
    }

    /// Tells whether a request was answered whole.
    pub(crate) fn was_answered(&self, wanted: ids::RequestId) -> bool {
        self.record.events.iter().any(
            |timed| matches!(timed.event, RunEvent::Answered { request, .. } if request == wanted),
        )
    }

    /// Tells whether a request has got a last word, whichever it is.
    pub(crate) fn has_ended(&self, wanted: ids::RequestId) -> bool {
        self.was_answered(wanted)
            || self.record.events.iter().any(|timed| {
                matches!(timed.event, RunEvent::Refused { request, .. } if request == wanted)
            })
    }

    /// Tells whether the fault of the plan has struck.
    pub(crate) fn has_struck(&self) -> bool {
        self.fired
    }
}
