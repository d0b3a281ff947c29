//! The simulated agents: their processes, and the inputs and outputs of their state machines.

use std::{collections::BTreeMap, time::Duration};

use prost::Message as _;
use waxwing_agent::{events, options, state};
use waxwing_control::commands;
use waxwing_core::{counters, ids};
use waxwing_proof::{events::RunEvent, steps::WorkStep};
use waxwing_wire::messages;

use super::{LINK_DELAY, RequestSimulation, ScheduledEvent, endpoints};

/// An agent across all its incarnations, with its endpoint.
pub(crate) struct SimulatedAgent {
    pub(crate) core: Option<state::AgentCore>,
    pub(crate) incarnation: u64,
    pub(crate) endpoint_up: bool,
    pub(crate) slowdown: u32,
    pub(crate) leaving: bool,
    pub(crate) restart_after_drain: bool,
    pub(crate) limits: options::AgentLimits,
    runs: BTreeMap<events::RunId, ids::RequestId>,
}

impl SimulatedAgent {
    /// Builds an agent that is not started yet; a busy one runs one request at a time.
    pub(crate) fn new(busy: bool) -> Self {
        let mut limits = options::AgentLimits::default();
        if busy {
            limits.engine_running = 1;
            limits.plain_running = 1;
        }
        Self {
            core: None,
            incarnation: 0,
            endpoint_up: true,
            slowdown: 1,
            leaving: false,
            restart_after_drain: false,
            limits,
            runs: BTreeMap::new(),
        }
    }
}

fn run_request(name: &str) -> ids::RequestId {
    // The name of a run begins with the request id, written as 32 hexadecimal digits.
    let digits = name.get(..32).unwrap_or_default();
    digits.parse().expect("run names begin with the request id")
}

impl RequestSimulation {
    pub(super) fn start_agent(&mut self, agent: usize) {
        let now = self.instant();
        let plain = self.plain;
        self.record_event(RunEvent::Returned {
            endpoint: agent_name(agent),
        });
        let simulated = &mut self.agents[agent];
        simulated.incarnation += 1;
        simulated.leaving = false;
        simulated.restart_after_drain = false;
        simulated.runs.clear();
        let incarnation = ids::Incarnation(simulated.incarnation);
        let counters = counters::CounterSet::new();
        let core = state::AgentCore::new(incarnation, simulated.limits.clone(), counters, now);
        simulated.core = Some(core);
        let kind = match plain {
            true => messages::EndpointKind::Plain,
            false => messages::EndpointKind::Engine,
        };
        let info = messages::EndpointInfo {
            kind: kind.into(),
            models: vec!["writer".into()],
            services: vec!["register".into()],
            cache_tokens: 100_000,
            prefill_rate: 10_000.0,
            token_millis: 10.0,
            ..messages::EndpointInfo::default()
        };
        if self.agents[agent].endpoint_up {
            self.agent_input(agent, events::AgentInput::Info(info));
        }
        self.schedule(
            Duration::from_millis(100),
            ScheduledEvent::AgentTick { agent },
        );
        for link in 0..self.links.len() {
            if self.links[link].agent == agent {
                self.schedule(LINK_DELAY, ScheduledEvent::LinkUp { link });
            }
        }
    }

    /// Kills the process; all its links and its calls to the endpoint are closed.
    pub(super) fn kill_agent(&mut self, agent: usize) {
        self.agents[agent].core = None;
        self.agents[agent].runs.clear();
        self.drop_links(|link| link.agent == agent);
    }

    pub(super) fn drain_agent(&mut self, agent: usize) {
        self.agents[agent].leaving = true;
        self.agents[agent].restart_after_drain = true;
        let endpoint = agent_name(agent);
        self.record_event(RunEvent::Leaving {
            endpoint: endpoint.clone(),
        });
        self.record_event(RunEvent::ShutdownBegan { process: endpoint });
        self.agent_input(agent, events::AgentInput::Shutdown);
        if agent == 0 {
            self.inject_if_due(self.main, WorkStep::Leaving);
            self.inject_if_due(self.main, WorkStep::AgentStops);
        }
    }

    /// Records the calls that are still running when a draining process ends.
    fn record_interrupted_calls(&mut self, agent: usize) {
        let interrupted: Vec<_> = self.agents[agent].runs.values().copied().collect();
        for request in interrupted {
            self.record_event(RunEvent::InterruptedByShutdown { request });
        }
    }

    /// Kills the endpoint with all its calls; the agent notices.
    pub(super) fn kill_endpoint(&mut self, agent: usize) {
        self.agents[agent].endpoint_up = false;
        let runs: Vec<_> = self.agents[agent].runs.keys().copied().collect();
        let incarnation = self.agents[agent].incarnation;
        for run in runs {
            let event = events::EndpointEvent::Failed;
            self.schedule(
                LINK_DELAY,
                ScheduledEvent::Endpoint {
                    agent,
                    incarnation,
                    run,
                    event,
                },
            );
        }
        self.agent_input(agent, events::AgentInput::EndpointDown);
    }

    pub(super) fn tick_agent(&mut self, agent: usize) {
        if self.agents[agent].core.is_none() {
            return;
        }
        self.agent_input(agent, events::AgentInput::Tick);
        self.schedule(
            Duration::from_millis(100),
            ScheduledEvent::AgentTick { agent },
        );
        let simulated = &self.agents[agent];
        let drained = simulated
            .core
            .as_ref()
            .is_some_and(state::AgentCore::is_drained);
        if simulated.restart_after_drain && drained {
            self.record_interrupted_calls(agent);
            self.kill_agent(agent);
            self.schedule(
                Duration::from_millis(500),
                ScheduledEvent::AgentStart { agent },
            );
            if agent == 0 {
                self.inject_if_due(self.main, WorkStep::Gone);
            }
        }
    }

    pub(super) fn agent_message(
        &mut self,
        link: usize,
        epoch: u64,
        correlation: u64,
        body: messages::Body,
    ) {
        if self.links[link].up && self.links[link].epoch == epoch {
            let agent = self.links[link].agent;
            let link = link_id(link, epoch);
            self.agent_input(
                agent,
                events::AgentInput::Message {
                    link,
                    correlation,
                    body,
                },
            );
        }
    }

    pub(super) fn agent_link_opened(&mut self, agent: usize, epoch: u64, link: usize) {
        let link = link_id(link, epoch);
        self.agent_input(agent, events::AgentInput::LinkOpened { link });
    }

    pub(super) fn agent_link_closed(&mut self, agent: usize, epoch: u64, link: usize) {
        let link = link_id(link, epoch);
        self.agent_input(agent, events::AgentInput::LinkClosed { link });
    }

    pub(super) fn agent_control(
        &mut self,
        agent: usize,
        incarnation: u64,
        correlation: u64,
        body: messages::Body,
    ) {
        if self.agents[agent].incarnation == incarnation {
            self.agent_input(agent, events::AgentInput::Control { correlation, body });
        }
    }

    pub(super) fn endpoint_event(
        &mut self,
        agent: usize,
        incarnation: u64,
        run: events::RunId,
        event: events::EndpointEvent,
    ) {
        let simulated = &mut self.agents[agent];
        if simulated.incarnation != incarnation || !simulated.runs.contains_key(&run) {
            return;
        }
        let failed = matches!(
            event,
            events::EndpointEvent::Failed | events::EndpointEvent::NotSent
        );
        if !simulated.endpoint_up && !failed {
            return;
        }
        if failed || event == events::EndpointEvent::Ended {
            simulated.runs.remove(&run);
        }
        self.agent_input(agent, events::AgentInput::Endpoint { run, event });
    }

    pub(super) fn agent_input(&mut self, agent: usize, input: events::AgentInput) {
        let now = self.instant();
        let Some(core) = self.agents[agent].core.as_mut() else {
            return;
        };
        let outputs = core.handle(now, input);
        for output in outputs {
            self.agent_output(agent, output);
        }
    }

    fn agent_output(&mut self, agent: usize, output: events::AgentOutput) {
        match output {
            events::AgentOutput::Send {
                link,
                correlation,
                body,
            } => {
                let (link, epoch) = (link.0 as usize % 16, link.0 / 16);
                if self.links[link].epoch == epoch {
                    self.send_on(link, false, correlation, body);
                }
            }
            events::AgentOutput::Control { correlation, body } => {
                self.control_message(agent, correlation, body);
            }
            events::AgentOutput::Start { run, call } => self.start_call(agent, run, &call),
            events::AgentOutput::Stop { run, .. } => {
                self.agents[agent].runs.remove(&run);
            }
            events::AgentOutput::PauseReading(_)
            | events::AgentOutput::ResumeReading(_)
            | events::AgentOutput::Order(_) => {}
        }
    }

    fn start_call(&mut self, agent: usize, run: events::RunId, call: &events::EndpointCall) {
        let request = run_request(&call.request_id);
        let incarnation = self.agents[agent].incarnation;
        self.agents[agent].runs.insert(run, request);
        if !self.agents[agent].endpoint_up {
            let event = events::EndpointEvent::NotSent;
            self.schedule(
                LINK_DELAY,
                ScheduledEvent::Endpoint {
                    agent,
                    incarnation,
                    run,
                    event,
                },
            );
            return;
        }
        // A resumed generation belongs to the dispatch that it continues.
        if !endpoints::is_resumed(&call.body) {
            self.record_event(RunEvent::Dispatched {
                request,
                endpoint: agent_name(agent),
            });
            self.record_event(RunEvent::Executed { request });
        }
        let slowdown = self.agents[agent].slowdown;
        for (delay, event) in endpoints::script(self.plain, &call.body, slowdown) {
            self.schedule(
                delay,
                ScheduledEvent::Endpoint {
                    agent,
                    incarnation,
                    run,
                    event,
                },
            );
        }
    }

    fn control_message(&mut self, agent: usize, correlation: u64, body: messages::Body) {
        if self.now < self.control_down_until {
            return;
        }
        let answer = match body {
            messages::Body::CompleteClaim(complete) => {
                self.apply(commands::LogAction::Complete(complete));
                messages::Body::ClaimCompleted(messages::ClaimCompleted {})
            }
            messages::Body::AskFencing(_) => messages::Body::Fencing(messages::Fencing {
                number: self.control.fencing().0,
            }),
            _ => return,
        };
        let incarnation = self.agents[agent].incarnation;
        let body = answer;
        self.schedule(
            2 * LINK_DELAY,
            ScheduledEvent::ToAgentControl {
                agent,
                incarnation,
                correlation,
                body,
            },
        );
    }

    pub(super) fn apply(&mut self, action: commands::LogAction) -> commands::CommandResult {
        self.control_index += 1;
        let log_millis = u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX);
        // The state machine uses log time only; a jump of the wall clock shows up in `wall_millis`,
        // which is informational.
        let wall_millis = if self.wall_clock_jumped {
            log_millis + (1 << 40)
        } else {
            log_millis
        };
        let command = commands::LogCommand {
            log_millis,
            wall_millis,
            action: Some(action),
        };
        self.control
            .apply(self.control_index, &command.encode_to_vec())
    }
}

/// Combines a link with its connection epoch, so that messages of an earlier connection are
/// recognised.
pub(crate) fn link_id(link: usize, epoch: u64) -> events::LinkId {
    events::LinkId(epoch * 16 + link as u64)
}

/// Returns the process name of an agent.
pub(crate) fn agent_name(agent: usize) -> smol_str::SmolStr {
    smol_str::format_smolstr!("agent-{agent}")
}
