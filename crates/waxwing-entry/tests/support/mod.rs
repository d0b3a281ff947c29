//! Fake context, request plan and harness for tests of the request state machine.
#![allow(dead_code, unreachable_pub)]

use std::time::{Duration, Instant};

use bytes::Bytes;
use waxwing_core::{clock::Clock as _, clock::ManualClock, ids, units};
use waxwing_entry::request_core::{self, plan};
use waxwing_policy::choice;
use waxwing_wire::messages;

/// Number of agents known to a [`FakeContext`].
pub const AGENT_COUNT: u32 = 3;

/// Chooses agents in ascending order of their ids.
#[derive(Debug)]
pub struct FakeContext {
    pub agents: Vec<u32>,
    /// Remaining retry budget.
    pub retries: u32,
    /// Result of `is_local`.
    pub local: bool,
    /// Whether the body is still in memory, that is, not evicted.
    pub body_present: bool,
    pub pinned: bool,
    pub released: bool,
}

impl Default for FakeContext {
    fn default() -> Self {
        Self {
            agents: (0..AGENT_COUNT).collect(),
            retries: 100,
            local: false,
            body_present: true,
            pinned: false,
            released: false,
        }
    }
}

impl request_core::RequestContext for FakeContext {
    fn choose_agents(
        &mut self,
        _plan: &plan::RequestPlan,
        excluded: &[choice::EndpointId],
        count: usize,
        picks: &mut Vec<choice::EndpointId>,
    ) {
        let agents = self.agents.iter().map(|agent| choice::EndpointId(*agent));
        picks.extend(agents.filter(|agent| !excluded.contains(agent)).take(count));
    }

    fn allow_retry(&mut self, _plan: &plan::RequestPlan, _attempt: u32) -> Option<Duration> {
        self.retries = self.retries.checked_sub(1)?;
        Some(Duration::from_millis(50))
    }

    fn agent_location(&self, agent: choice::EndpointId) -> request_core::AgentLocation {
        request_core::AgentLocation {
            name: agent.0.to_string(),
            address: "127.0.0.1:1".into(),
        }
    }

    fn connect_agent(&mut self, name: &str, _address: &str) -> Option<choice::EndpointId> {
        name.parse().ok().map(choice::EndpointId)
    }

    fn is_local(&self, _request: ids::RequestId) -> bool {
        self.local
    }

    fn pin_body(&mut self) -> bool {
        self.pinned = self.body_present;
        self.body_present
    }

    fn unpin_body(&mut self) {
        self.pinned = false;
    }

    fn release_body(&mut self) {
        self.released = true;
    }
}

/// Builds the plan of a request, with a claim if there is an idempotency key.
pub fn plan(request: u128, key: Option<&str>, now: Instant) -> plan::RequestPlan {
    let claim = key.map(|key| plan::ClaimPlan {
        name: messages::ClaimName {
            account: "orders".into(),
            service: "register".into(),
            key: key.into(),
        },
        digest: vec![7; 32],
        group: ids::GroupId(0),
    });
    plan::RequestPlan {
        request: ids::RequestId(request),
        account: "orders".parse().unwrap(),
        weight_millis: 1_000,
        rank: ids::TierRank(1),
        model: None,
        service: "register".parse().unwrap(),
        prompt: units::TokenCount(1),
        output: units::TokenCount(1),
        prefixes: Vec::new(),
        idempotent: false,
        stream: true,
        accepted: now,
        deadline: now + Duration::from_secs(30),
        method: "POST".into(),
        path: "/donations".into(),
        headers: Vec::new(),
        body: Bytes::from_static(b"tin"),
        claim,
        offers: plan::OfferLimits {
            initial: 2,
            max_open: 3,
            immediate: false,
        },
    }
}

/// Feeds events to a request and collects its actions.
pub struct CoreHarness {
    pub clock: ManualClock,
    pub core: request_core::RequestCore,
    pub context: FakeContext,
    pub actions: Vec<request_core::CoreAction>,
}

impl CoreHarness {
    /// Starts a request with the plan as modified by `change`.
    pub fn start(key: Option<&str>, change: impl FnOnce(&mut plan::RequestPlan)) -> Self {
        let clock = ManualClock::new();
        let mut plan = plan(1, key, clock.now());
        change(&mut plan);
        let core = request_core::RequestCore::new(plan, request_core::CoreTiming::default());
        let mut harness = Self {
            clock,
            core,
            context: FakeContext::default(),
            actions: Vec::new(),
        };
        harness.feed(request_core::CoreEvent::Start);
        harness
    }

    /// Feeds an event and returns the resulting actions.
    pub fn feed(&mut self, event: request_core::CoreEvent) -> Vec<request_core::CoreAction> {
        let now = self.clock.now();
        let actions = self.core.handle(now, event, &mut self.context);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Feeds a message from an agent.
    pub fn message(
        &mut self,
        agent: u32,
        correlation: u64,
        body: messages::Body,
    ) -> Vec<request_core::CoreAction> {
        self.feed(request_core::CoreEvent::Message {
            agent: choice::EndpointId(agent),
            correlation,
            body,
        })
    }

    /// Advances the clock by `time`, firing every timer that becomes due.
    pub fn run_for(&mut self, time: Duration) -> Vec<request_core::CoreAction> {
        let end = self.clock.now() + time;
        let mut actions = Vec::new();
        while let Some(due) = self.core.wake_at().filter(|due| *due <= end) {
            let now = self.clock.now();
            self.clock.advance(due.saturating_duration_since(now));
            actions.extend(self.feed(request_core::CoreEvent::Timer));
        }
        let now = self.clock.now();
        self.clock.advance(end.saturating_duration_since(now));
        actions
    }

    /// Feeds a grant, upon which the request is handed over unless it needs a claim first.
    pub fn grant(&mut self, agent: u32, grant: u64) -> Vec<request_core::CoreAction> {
        self.message(agent, 0, grant_message(grant))
    }
}

/// The incarnation of every agent that has not restarted.
pub const INCARNATION: u64 = 5;

/// The request id as encoded in messages.
pub fn id_bytes(request: u128) -> Vec<u8> {
    ids::RequestId(request).to_bytes().to_vec()
}

pub fn grant_message(grant: u64) -> messages::Body {
    messages::Body::Grant(messages::Grant {
        request: id_bytes(1),
        grant,
        incarnation: INCARNATION,
        lease_millis: 2_000,
        cached_tokens: 0,
    })
}

pub fn refused_message(reason: &str) -> messages::Body {
    messages::Body::OfferRefused(messages::OfferRefused {
        request: id_bytes(1),
        reason: reason.into(),
        retry_after_millis: 0,
    })
}

pub fn ack_message(taken: bool) -> messages::Body {
    messages::Body::HandoverAck(messages::HandoverAck {
        request: id_bytes(1),
        taken,
        reason: String::new(),
    })
}

pub fn settled_message(request: u128, state: messages::SettledState) -> messages::Body {
    messages::Body::Settled(messages::Settled {
        request: id_bytes(request),
        state: state.into(),
    })
}

pub fn head_message(request: u128) -> messages::Body {
    messages::Body::AnswerHead(messages::AnswerHead {
        request: id_bytes(request),
        status: 200,
        headers: Vec::new(),
    })
}

pub fn chunk_message(
    request: u128,
    offset: u64,
    data: &'static [u8],
    end: Option<messages::AnswerEnd>,
) -> messages::Body {
    messages::Body::AnswerChunk(messages::AnswerChunk {
        request: id_bytes(request),
        offset,
        data: Bytes::from_static(data),
        end,
    })
}

/// Builds the end of a complete answer.
pub fn complete_end(answer: &[u8]) -> messages::AnswerEnd {
    messages::AnswerEnd {
        whole: true,
        total_bytes: answer.len() as u64,
        checksum: crc32c::crc32c(answer),
        reason: String::new(),
        outcome: String::new(),
    }
}

/// Returns the messages sent, with the agents that they were sent to.
pub fn sent(actions: &[request_core::CoreAction]) -> Vec<(u32, &messages::Body)> {
    let sends = actions.iter().filter_map(|action| match action {
        request_core::CoreAction::Send { agent, body, .. } => Some((agent.0, body)),
        _ => None,
    });
    sends.collect()
}

/// Returns the agents that were sent a message matching `kind`.
pub fn sent_to(
    actions: &[request_core::CoreAction],
    kind: impl Fn(&messages::Body) -> bool,
) -> Vec<u32> {
    let sends = sent(actions).into_iter().filter(|(_, body)| kind(body));
    sends.map(|(agent, _)| agent).collect()
}

/// Returns the first refusal, if any.
pub fn refusal(actions: &[request_core::CoreAction]) -> Option<request_core::CoreRefusal> {
    actions.iter().find_map(|action| match action {
        request_core::CoreAction::Refuse(refusal) | request_core::CoreAction::Abort(refusal) => {
            Some(*refusal)
        }
        _ => None,
    })
}

/// Returns the response bytes sent to the caller.
pub fn data(actions: &[request_core::CoreAction]) -> Vec<u8> {
    let parts = actions.iter().filter_map(|action| match action {
        request_core::CoreAction::Data(data) => Some(data.as_ref()),
        _ => None,
    });
    parts.collect::<Vec<_>>().concat()
}

/// Returns whether the response was completed.
pub fn is_finished(actions: &[request_core::CoreAction]) -> bool {
    actions.contains(&request_core::CoreAction::Finish)
}
