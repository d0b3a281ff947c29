//! The simulated entries with their requests and callers.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use waxwing_control::commands;
use waxwing_core::{ids, units};
use waxwing_entry::request_core::{
    AgentLocation, CoreAction, CoreEvent, CoreTiming, RequestContext, RequestCore, plan,
};
use waxwing_policy::choice;
use waxwing_proof::{events::RunEvent, steps::WorkStep};
use waxwing_wire::messages;

use super::{
    ELECTION_TIME, LINK_DELAY, RequestSimulation, RequestSpec, ScheduledEvent, agents, endpoints,
};

/// An entry with its requests.
pub(crate) struct SimulatedEntry {
    pub(crate) alive: bool,
    stopping: bool,
    requests: BTreeMap<ids::RequestId, OpenRequest>,
}

impl Default for SimulatedEntry {
    fn default() -> Self {
        Self {
            alive: true,
            stopping: false,
            requests: BTreeMap::new(),
        }
    }
}

/// A request with the answer that its caller has received so far and the one that it expects.
struct OpenRequest {
    core: RequestCore,
    spec: RequestSpec,
    actual: Vec<u8>,
    expected: Vec<u8>,
}

/// What an entry tells a request about agents and resources.
struct SimulatedContext {
    usable: Vec<choice::EndpointId>,
    linked: Vec<choice::EndpointId>,
}

impl RequestContext for SimulatedContext {
    fn choose_agents(
        &mut self,
        _plan: &plan::RequestPlan,
        excluded: &[choice::EndpointId],
        count: usize,
        picks: &mut Vec<choice::EndpointId>,
    ) {
        let free = self.usable.iter().filter(|agent| !excluded.contains(agent));
        picks.extend(free.take(count));
    }

    fn allow_retry(&mut self, _plan: &plan::RequestPlan, attempt: u32) -> Option<Duration> {
        (attempt < 20).then(|| Duration::from_millis(100))
    }

    fn agent_location(&self, agent: choice::EndpointId) -> AgentLocation {
        let name = agents::agent_name(agent.0 as usize).to_string();
        AgentLocation {
            address: format!("127.0.0.1:{}", 1_000 + agent.0),
            name,
        }
    }

    fn connect_agent(&mut self, name: &str, _address: &str) -> Option<choice::EndpointId> {
        let number = name.strip_prefix("agent-")?.parse().ok()?;
        Some(choice::EndpointId(number))
    }

    fn is_local(&self, _request: ids::RequestId) -> bool {
        false
    }

    fn pin_body(&mut self) -> bool {
        true
    }

    fn unpin_body(&mut self) {}

    fn release_body(&mut self) {}
}

impl RequestSimulation {
    fn request_context(&self, entry: usize) -> SimulatedContext {
        let up = |agent: &usize| self.links[self.find_link(entry, *agent)].up;
        let linked = (0..2).filter(up);
        // Entry 1 is never told that an agent is draining, so the agent itself has to refuse.
        let leaves = |agent: &usize| entry == 0 && self.agents[*agent].leaving;
        let usable = (0..2).filter(up).filter(|agent| !leaves(agent));
        let id = |agent: usize| choice::EndpointId(agent as u32);
        SimulatedContext {
            usable: usable.map(id).collect(),
            linked: linked.map(id).collect(),
        }
    }

    pub(super) fn accept(&mut self, entry: usize, spec: RequestSpec) {
        // A load balancer sends new requests elsewhere once the readiness check fails.
        let entry = if self.entries[entry].stopping {
            1 - entry
        } else {
            entry
        };
        if !self.entries[entry].alive {
            return;
        }
        let request = spec.request;
        let body = Bytes::from(match spec.key {
            Some(key) => format!("{{\"order\":\"{key}\"}}"),
            None => {
                "{\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}],\"stream\":true}".into()
            }
        });
        let expected = endpoints::expected_answer(self.plain, &body);
        let core = RequestCore::new(self.plan_of(&spec, body), CoreTiming::default());
        if self.requested.insert(request) {
            self.record_event(RunEvent::Requested {
                request,
                rank: ids::TierRank(spec.rank),
                idempotent: !self.plain,
                key: spec.key.map(Into::into),
            });
        }
        let open = OpenRequest {
            core,
            spec,
            actual: Vec::new(),
            expected,
        };
        self.entries[entry].requests.insert(request, open);
        self.inject_if_due(request, WorkStep::Accepted);
        self.request_event(entry, request, CoreEvent::Start);
    }

    fn plan_of(&self, spec: &RequestSpec, body: Bytes) -> plan::RequestPlan {
        let now = self.instant();
        let (method, path) = match self.plain {
            true => ("POST", "/orders-book"),
            false => ("POST", "/v1/chat/completions"),
        };
        let digest = xxhash_rust::xxh3::xxh3_128(&body).to_be_bytes().to_vec();
        let claim = spec.key.map(|key| plan::ClaimPlan {
            name: messages::ClaimName {
                account: "bench".into(),
                service: "register".into(),
                key: key.into(),
            },
            digest: [digest.clone(), digest].concat(),
            group: ids::GroupId(0),
        });
        plan::RequestPlan {
            request: spec.request,
            account: "bench".parse().expect("valid name"),
            weight_millis: 1_000,
            rank: ids::TierRank(spec.rank),
            model: (!self.plain).then(|| "writer".parse().expect("valid name")),
            service: "register".parse().expect("valid name"),
            prompt: units::TokenCount(20),
            output: units::TokenCount(endpoints::TOKENS),
            prefixes: Vec::new(),
            idempotent: !self.plain,
            stream: !self.plain,
            accepted: now,
            deadline: now + Duration::from_secs(20),
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            body,
            claim,
            offers: plan::OfferLimits {
                initial: 2,
                max_open: 2,
                immediate: false,
            },
        }
    }

    pub(super) fn request_event(
        &mut self,
        entry: usize,
        request: ids::RequestId,
        event: CoreEvent,
    ) {
        let now = self.instant();
        let mut context = self.request_context(entry);
        let Some(open) = self.entries[entry].requests.get_mut(&request) else {
            return;
        };
        let followed = open.core.followed();
        let actions = open.core.handle(now, event, &mut context);
        // A request that just began to follow the run of an earlier request has missed the link
        // events, so it gets them now.
        let now_followed = open.core.followed().filter(|_| followed.is_none());
        if let Some(due) = open.core.wake_at() {
            let delay = due.saturating_duration_since(now);
            self.schedule(delay, ScheduledEvent::Timer { entry, request });
        }
        for action in actions {
            self.perform(entry, request, action);
        }
        if now_followed.is_some() {
            for agent in context.linked {
                let incarnation = ids::Incarnation(self.agents[agent.0 as usize].incarnation);
                self.request_event(entry, request, CoreEvent::LinkUp { agent, incarnation });
            }
        }
    }

    fn perform(&mut self, entry: usize, request: ids::RequestId, action: CoreAction) {
        match action {
            CoreAction::Send {
                agent,
                correlation,
                body,
            } => {
                self.send_to_agent(entry, request, agent, correlation, body);
            }
            CoreAction::Claim(key) => self.send_claim(entry, request, key),
            CoreAction::Data(data) => self.deliver_to_caller(entry, request, &data),
            CoreAction::Finish => {
                let Some(open) = self.entries[entry].requests.get(&request) else {
                    return;
                };
                let digest = xxhash_rust::xxh3::xxh3_64;
                let (actual, expected) = (digest(&open.actual), digest(&open.expected));
                self.record_event(RunEvent::Answered {
                    request,
                    actual,
                    expected,
                });
            }
            CoreAction::Refuse(refusal) | CoreAction::Abort(refusal) => {
                self.record_shed(entry, request, &refusal);
                let (outcome, reason) = (refusal.outcome, refusal.reason);
                self.record_event(RunEvent::Refused {
                    request,
                    outcome,
                    reason,
                });
            }
            CoreAction::Head { .. } | CoreAction::Count(_) | CoreAction::Retry(_) => {}
        }
    }

    /// Records a request that was shed because a queue or memory was full, with the lowest tier that
    /// still waits in any entry.
    fn record_shed(
        &mut self,
        entry: usize,
        request: ids::RequestId,
        refusal: &waxwing_entry::request_core::CoreRefusal,
    ) {
        use waxwing_core::reasons::RefusalReason;
        if !matches!(
            refusal.reason,
            RefusalReason::Evicted | RefusalReason::EntryMemory
        ) {
            return;
        }
        let Some(open) = self.entries[entry].requests.get(&request) else {
            return;
        };
        let rank = ids::TierRank(open.spec.rank);
        let waiting = self
            .entries
            .iter()
            .flat_map(|entry| entry.requests.values());
        let waiting = waiting.filter(|open| !open.core.is_ended() && open.core.handovers() == 0);
        let kept = waiting.map(|open| ids::TierRank(open.spec.rank)).max();
        self.record_event(RunEvent::Shed { rank, kept });
    }

    fn send_to_agent(
        &mut self,
        entry: usize,
        request: ids::RequestId,
        agent: choice::EndpointId,
        correlation: u64,
        body: messages::Body,
    ) {
        let link = self.find_link(entry, agent.0 as usize);
        if !self.links[link].up {
            if let messages::Body::Handover(handover) = body {
                let grant = handover.grant;
                self.request_event(entry, request, CoreEvent::Unsent { agent, grant });
            }
            return;
        }
        self.send_on(link, true, correlation, body);
    }

    fn send_claim(&mut self, entry: usize, request: ids::RequestId, key: messages::ClaimKey) {
        let mut delay = 2 * LINK_DELAY;
        if request == self.main && self.is_due(WorkStep::Claimed) {
            delay += self.claim_delay();
            self.inject(None);
        }
        if self.now < self.control_down_until {
            return;
        }
        if std::mem::take(&mut self.drop_claim) {
            return;
        }
        let result = self.apply(commands::LogAction::Claim(key)).kind;
        let Some(commands::ResultKind::Claim(result)) = result else {
            return;
        };
        if std::mem::take(&mut self.drop_claim_reply) {
            self.control_down_until = self.now + ELECTION_TIME;
            return;
        }
        self.schedule(
            delay,
            ScheduledEvent::ClaimReply {
                entry,
                request,
                result,
            },
        );
    }

    pub(super) fn claim_reply(
        &mut self,
        entry: usize,
        request: ids::RequestId,
        result: messages::ClaimResult,
    ) {
        self.request_event(entry, request, CoreEvent::Claimed(result));
    }

    fn deliver_to_caller(&mut self, entry: usize, request: ids::RequestId, data: &[u8]) {
        let Some(open) = self.entries[entry].requests.get_mut(&request) else {
            return;
        };
        open.actual.extend_from_slice(data);
        let bytes = open.actual.len() as u64;
        let delay = Duration::from_millis(open.spec.read_millis);
        self.schedule(
            delay,
            ScheduledEvent::CallerRead {
                entry,
                request,
                bytes,
            },
        );
    }

    pub(super) fn caller_read(&mut self, entry: usize, request: ids::RequestId, bytes: u64) {
        self.request_event(entry, request, CoreEvent::Delivered(bytes));
    }

    pub(super) fn timer(&mut self, entry: usize, request: ids::RequestId) {
        self.request_event(entry, request, CoreEvent::Timer);
    }

    pub(super) fn entry_message(
        &mut self,
        link: usize,
        epoch: u64,
        correlation: u64,
        body: messages::Body,
    ) {
        let state = &self.links[link];
        if !state.up || state.epoch != epoch {
            return;
        }
        let (entry, agent) = (state.entry, choice::EndpointId(state.agent as u32));
        if matches!(body, messages::Body::Leaving(_)) {
            self.agents[agent.0 as usize].leaving = true;
        }
        let Some(wanted) = request_of(&body) else {
            return;
        };
        let concerned: Vec<_> = self.entries[entry]
            .requests
            .iter()
            .filter(|(request, open)| **request == wanted || open.core.followed() == Some(wanted))
            .map(|(request, _)| *request)
            .collect();
        for request in concerned {
            let event = CoreEvent::Message {
                agent,
                correlation,
                body: body.clone(),
            };
            self.request_event(entry, request, event);
        }
    }

    pub(super) fn entry_link_up(&mut self, entry: usize, agent: usize) {
        let incarnation = ids::Incarnation(self.agents[agent].incarnation);
        let agent = choice::EndpointId(agent as u32);
        self.notify_requests(entry, CoreEvent::LinkUp { agent, incarnation });
    }

    pub(super) fn entry_link_down(&mut self, entry: usize, agent: usize) {
        let agent = choice::EndpointId(agent as u32);
        self.notify_requests(entry, CoreEvent::LinkDown { agent });
    }

    fn notify_requests(&mut self, entry: usize, event: CoreEvent) {
        let requests: Vec<_> = self.entries[entry].requests.keys().copied().collect();
        for request in requests {
            self.request_event(entry, request, event.clone());
        }
    }

    /// Shuts an entry down gracefully: the process ends once all its requests have ended.
    pub(super) fn stop_entry(&mut self, entry: usize) {
        if !self.entries[entry].stopping {
            self.entries[entry].stopping = true;
            self.record_event(RunEvent::ShutdownBegan {
                process: smol_str::format_smolstr!("entry-{entry}"),
            });
            self.inject_if_due(self.main, WorkStep::EntryStops);
        }
        let simulated = &self.entries[entry];
        if simulated.requests.values().all(|open| open.core.is_ended()) {
            self.kill_entry(entry);
        } else if simulated.alive {
            self.schedule(
                Duration::from_millis(50),
                ScheduledEvent::EntryStop { entry },
            );
        }
    }

    /// Kills the process with all its requests.
    pub(super) fn kill_entry(&mut self, entry: usize) {
        self.entries[entry].alive = false;
        self.entries[entry].requests.clear();
        self.drop_links(|link| link.entry == entry);
    }
}

/// Returns the request that a message belongs to, if any.
pub(crate) fn request_of(body: &messages::Body) -> Option<ids::RequestId> {
    ids::RequestId::from_slice(body.request()?).ok()
}
