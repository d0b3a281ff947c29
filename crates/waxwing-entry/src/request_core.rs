//! Sans-I/O state machine of a single request.
//!
//! [`RequestCore`] consumes events (agent messages, timers, caller activity) and returns the
//! actions that follow. The driver executes the actions; tests feed events in any order. The rules
//! are those of `docs/design.md`, section 5: the request is handed over to the agent whose grant
//! arrives first, and once a handover may have arrived, the request is not sent to any other agent
//! unless that agent confirms that it never received it.

pub mod answers;
mod attaching;
mod binding;
mod offering;
pub mod plan;

use std::time::{Duration, Instant};

use bytes::Bytes;
use waxwing_core::{counters, ids, reasons};
use waxwing_policy::choice;
use waxwing_wire::messages;

/// Input of [`RequestCore::handle`].
#[derive(Debug, Clone)]
pub enum CoreEvent {
    /// The request was accepted.
    Start,
    /// The time returned by [`RequestCore::wake_at`] has come; early and spurious timers are
    /// harmless.
    Timer,
    /// A link to an agent was opened.
    LinkUp {
        /// The agent.
        agent: choice::EndpointId,
        /// Its incarnation.
        incarnation: ids::Incarnation,
    },
    /// The link to an agent was lost.
    LinkDown {
        /// The agent.
        agent: choice::EndpointId,
    },
    /// An agent sent a message about this request.
    Message {
        /// The agent.
        agent: choice::EndpointId,
        /// The correlation id of the message; zero if the agent sets none.
        correlation: u64,
        /// The message.
        body: messages::Body,
    },
    /// The handover was never queued on a link, so no byte of it left this process.
    Unsent {
        /// The agent.
        agent: choice::EndpointId,
        /// The grant that the handover used.
        grant: u64,
    },
    /// The control plane replied to a claim or lookup.
    Claimed(messages::ClaimResult),
    /// Total number of response bytes consumed by the caller's connection so far.
    Delivered(u64),
    /// The caller disconnected.
    CallerGone,
    /// The body memory of this request was reclaimed for a more urgent tier.
    Evicted,
}

/// Why the caller gets no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoreRefusal {
    /// The reason code.
    pub reason: reasons::RefusalReason,
    /// Whether the request may have run.
    pub outcome: reasons::Outcome,
    /// How long the caller should wait before it retries; `None` gives no hint.
    pub retry_after: Option<Duration>,
}

/// Output of [`RequestCore::handle`], executed by the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum CoreAction {
    /// Send a message to an agent.
    Send {
        /// The agent.
        agent: choice::EndpointId,
        /// The correlation id; zero for none.
        correlation: u64,
        /// The message.
        body: messages::Body,
    },
    /// Make or look up a claim in the control plane.
    Claim(messages::ClaimKey),
    /// Start the response to the caller.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers, in the order received.
        headers: Vec<messages::HeaderField>,
    },
    /// Send response body bytes to the caller.
    Data(Bytes),
    /// Complete the response.
    Finish,
    /// Refuse the request; no part of a response was sent yet.
    Refuse(CoreRefusal),
    /// Abort a response that was partly sent.
    Abort(CoreRefusal),
    /// Increment a counter.
    Count(counters::CounterEvent),
    /// Increment the counter of retries with this reason.
    Retry(reasons::RetryReason),
}

/// Identifies an agent in a claim record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AgentLocation {
    /// The agent's process name; empty if the agent is unknown.
    pub name: String,
    /// The agent's link address, as `ip:port`.
    pub address: String,
}

/// Synchronous access of a request to the shared state of the entry.
pub trait RequestContext {
    /// Appends up to `count` agents that should get an offer, best first, to `picks`.
    fn choose_agents(
        &mut self,
        plan: &plan::RequestPlan,
        excluded: &[choice::EndpointId],
        count: usize,
        picks: &mut Vec<choice::EndpointId>,
    );

    /// Takes a retry from the retry budget and returns its backoff delay, or `None` if the budget
    /// is exhausted.
    fn allow_retry(&mut self, plan: &plan::RequestPlan, attempt: u32) -> Option<Duration>;

    /// Returns the name and address of an agent for a claim record.
    fn agent_location(&self, agent: choice::EndpointId) -> AgentLocation;

    /// Finds the agent named in a claim and connects to it; [`CoreEvent::LinkUp`] follows. `None`
    /// if the address is not valid.
    fn connect_agent(&mut self, name: &str, address: &str) -> Option<choice::EndpointId>;

    /// Returns whether a request with this id is in flight in this process.
    fn is_local(&self, request: ids::RequestId) -> bool;

    /// Protects the body from eviction; returns `false` if it was evicted already.
    fn pin_body(&mut self) -> bool;

    /// Allows the body to be evicted again.
    fn unpin_body(&mut self);

    /// Frees the memory reserved for the body.
    fn release_body(&mut self);
}

/// Timeouts and intervals of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoreTiming {
    /// Delay after which one more agent gets an offer if there is no grant; 100 ms.
    pub extra_offer_delay: Duration,
    /// How long a request waits for a usable endpoint; 2 s, one announcement interval.
    pub endpoint_wait: Duration,
    /// Interval of looking for a usable endpoint while there is none; 100 ms.
    pub endpoint_poll_interval: Duration,
    /// Timeout of a claim; 2 s, the duration of a leader election.
    pub claim_timeout: Duration,
    /// Interval of retrying a claim; 200 ms.
    pub claim_retry_interval: Duration,
    /// Time after which the agent is asked about an unacknowledged handover, and the interval of
    /// asking again; 1 s.
    pub settle_interval: Duration,
    /// Time after which an agent that doesn't reply counts as lost; 10 s, twice the time after
    /// which an agent cancels the work of a disconnected entry.
    pub settle_timeout: Duration,
    /// Time without a byte after which the entry asks the agent to resume the answer; 10 s, the
    /// time after which an agent considers an endpoint without progress failed.
    pub stall_timeout: Duration,
    /// How long past its deadline a running request may still complete; 5 s.
    pub deadline_grace: Duration,
}

impl Default for CoreTiming {
    fn default() -> Self {
        Self {
            extra_offer_delay: Duration::from_millis(100),
            endpoint_wait: Duration::from_secs(2),
            endpoint_poll_interval: Duration::from_millis(100),
            claim_timeout: Duration::from_secs(2),
            claim_retry_interval: Duration::from_millis(200),
            settle_interval: Duration::from_secs(1),
            settle_timeout: Duration::from_secs(10),
            stall_timeout: Duration::from_secs(10),
            deadline_grace: Duration::from_secs(5),
        }
    }
}

/// A grant that the request holds: an agent's permission, valid for a limited time, to hand the
/// request over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldGrant {
    agent: choice::EndpointId,
    incarnation: ids::Incarnation,
    grant: u64,
    expires_at: Instant,
}

/// Phase of a request.
#[derive(Debug)]
enum CorePhase {
    /// Waiting for a grant or for the next retry.
    Offering(offering::OfferSet),
    /// Holding a grant while the control plane decides on the claim.
    Claiming {
        held: HeldGrant,
        location: AgentLocation,
        /// When the claim is given up.
        timeout_at: Instant,
        /// When the claim is sent again.
        retry_at: Instant,
    },
    /// The request was handed over, or it follows the run of an earlier request with the same key.
    Bound(binding::BoundRun),
    /// The agent was lost; looking up the result stored with the claim.
    Recovering {
        run: binding::BoundRun,
        timeout_at: Instant,
        retry_at: Instant,
    },
    /// The answer is complete but not fully delivered to the caller.
    Delivering(binding::BoundRun),
    /// Final state.
    Ended,
}

/// State machine of one request, from acceptance to the end of the response.
#[derive(Debug)]
pub struct RequestCore {
    plan: plan::RequestPlan,
    timing: CoreTiming,
    phase: CorePhase,
    /// Grants that were used or declined; a grant is never used twice.
    used_grants: Vec<(choice::EndpointId, ids::Incarnation, u64)>,
    /// Agent incarnations that a claim of this request has named. A claim never names one of them
    /// again: another entry may have learned that the agent never received that handover and be
    /// about to replace the claim. Its replacement fails only if the claim has changed meanwhile.
    claimed_agents: Vec<(choice::EndpointId, ids::Incarnation)>,
    /// Agent of each handover, in order; an agent may occur several times.
    handover_agents: Vec<choice::EndpointId>,
    /// Epoch of the claim that the next claim replaces.
    claim_epoch: u64,
    /// Retries taken from the retry budget so far.
    attempts: u32,
    answer: answers::AnswerBuffer,
    /// Response bytes consumed by the caller's connection.
    delivered: u64,
    actions: Vec<CoreAction>,
}

impl RequestCore {
    /// Creates the state machine. The first event must be [`CoreEvent::Start`].
    #[must_use]
    pub fn new(plan: plan::RequestPlan, timing: CoreTiming) -> Self {
        let answer = answers::AnswerBuffer::new(plan.stream);
        Self {
            phase: CorePhase::Offering(offering::OfferSet::new(plan.accepted)),
            plan,
            timing,
            used_grants: Vec::new(),
            claimed_agents: Vec::new(),
            handover_agents: Vec::new(),
            claim_epoch: 0,
            attempts: 0,
            answer,
            delivered: 0,
            actions: Vec::new(),
        }
    }

    /// Returns the plan; its body is empty once an agent has accepted the handover.
    #[must_use]
    pub fn plan(&self) -> &plan::RequestPlan {
        &self.plan
    }

    /// Returns whether the request has ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, CorePhase::Ended)
    }

    /// Returns the number of handovers that may have left this process.
    #[must_use]
    pub fn handovers(&self) -> usize {
        self.handover_agents.len()
    }

    /// Returns the earlier request with the same idempotency key whose run this request follows,
    /// and whose messages it therefore needs too.
    #[must_use]
    pub fn followed(&self) -> Option<ids::RequestId> {
        match &self.phase {
            CorePhase::Bound(run) if run.followed => Some(run.request),
            _ => None,
        }
    }

    /// Processes an event and returns the actions to execute, in order.
    pub fn handle<C: RequestContext>(
        &mut self,
        now: Instant,
        event: CoreEvent,
        context: &mut C,
    ) -> Vec<CoreAction> {
        match event {
            CoreEvent::Start => self.fill_offers(now, context),
            CoreEvent::Timer => self.on_timer(now, context),
            CoreEvent::LinkUp { agent, incarnation } => self.on_link_up(now, agent, incarnation),
            CoreEvent::LinkDown { agent } => self.on_link_down(now, agent, context),
            CoreEvent::Message {
                agent,
                correlation,
                body,
            } => self.on_message(now, agent, correlation, body, context),
            CoreEvent::Unsent { agent, grant } => self.on_unsent(now, agent, grant, context),
            CoreEvent::Claimed(result) => self.on_claimed(now, result, context),
            CoreEvent::Delivered(bytes) => self.on_delivered(bytes),
            CoreEvent::CallerGone => self.on_caller_gone(context),
            CoreEvent::Evicted => self.on_evicted(context),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`CoreEvent::Timer`] is due; `None` if no timer is needed.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        match &self.phase {
            CorePhase::Offering(set) => Some(self.next_offer_timer(set)),
            CorePhase::Claiming {
                timeout_at,
                retry_at,
                ..
            } => Some((*timeout_at).min(*retry_at).min(self.plan.deadline)),
            CorePhase::Recovering {
                timeout_at,
                retry_at,
                ..
            } => Some((*timeout_at).min(*retry_at)),
            CorePhase::Bound(run) => Some(self.next_run_timer(run)),
            CorePhase::Delivering(_) | CorePhase::Ended => None,
        }
    }

    fn on_timer<C: RequestContext>(&mut self, now: Instant, context: &mut C) {
        match &self.phase {
            CorePhase::Offering(_) => self.on_offering_timer(now, context),
            CorePhase::Claiming { .. } => self.on_claiming_timer(now, context),
            CorePhase::Recovering { .. } => self.on_recovering_timer(now, context),
            CorePhase::Bound(_) => self.on_bound_timer(now, context),
            CorePhase::Delivering(_) | CorePhase::Ended => {}
        }
    }

    fn on_message<C: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        correlation: u64,
        body: messages::Body,
        context: &mut C,
    ) {
        match body {
            messages::Body::Grant(grant) => self.on_grant(now, agent, &grant, context),
            messages::Body::OfferRefused(refused) => {
                self.on_offer_refused(now, agent, &refused, context);
            }
            messages::Body::HandoverAck(ack) => {
                self.on_handover_ack(now, agent, correlation, &ack, context);
            }
            messages::Body::Settled(settled) => {
                self.on_settled(now, agent, correlation, &settled, context);
            }
            messages::Body::AnswerHead(head) => self.on_answer_head(now, agent, head, context),
            messages::Body::AnswerChunk(chunk) => self.on_answer_chunk(now, agent, chunk, context),
            _ => {}
        }
    }

    fn on_link_up(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        incarnation: ids::Incarnation,
    ) {
        if matches!(&self.phase, CorePhase::Bound(run) if run.agent == agent) {
            self.on_bound_link_up(now, incarnation);
        }
    }

    fn on_link_down<C: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        context: &mut C,
    ) {
        match &mut self.phase {
            CorePhase::Offering(_) => self.on_offer_lost(now, agent, context),
            // The grant ends with the link, and nothing was handed over yet.
            CorePhase::Claiming { held, .. } if held.agent == agent => {
                self.restart_offers(now, reasons::RetryReason::LinkLost, context);
            }
            CorePhase::Bound(run) if run.agent == agent => {
                run.on_link_lost(now, self.timing.settle_timeout)
            }
            _ => {}
        }
    }

    fn on_caller_gone<C: RequestContext>(&mut self, context: &mut C) {
        let refusal = CoreRefusal {
            reason: reasons::RefusalReason::CallerGone,
            outcome: reasons::Outcome::NotRun,
            retry_after: None,
        };
        match &self.phase {
            CorePhase::Ended => {}
            CorePhase::Offering(_) | CorePhase::Claiming { .. } => self.refuse(refusal, context),
            CorePhase::Delivering(run) => {
                // The rest is no longer needed; acknowledges everything, so that the agent can
                // drop the answer.
                let (agent, body) = (run.agent, run.ack_message(self.answer.received()));
                self.send(agent, 0, body);
                self.phase = CorePhase::Ended;
            }
            CorePhase::Bound(run) | CorePhase::Recovering { run, .. } => {
                // A run with an idempotency key is not cancelled, so that a retry with the same key
                // gets its answer.
                if self.plan.claim.is_none() {
                    let (agent, body) = (run.agent, run.cancel_message());
                    self.send(agent, 0, body);
                }
                let outcome = reasons::Outcome::Unknown;
                self.refuse(CoreRefusal { outcome, ..refusal }, context);
            }
        }
    }

    fn on_evicted<C: RequestContext>(&mut self, context: &mut C) {
        if matches!(self.phase, CorePhase::Offering(_)) {
            let refusal = CoreRefusal {
                reason: reasons::RefusalReason::Evicted,
                outcome: reasons::Outcome::NotRun,
                retry_after: Some(Duration::from_secs(1)),
            };
            self.refuse(refusal, context);
        }
    }

    /// Ends the request without a complete response: withdraws open offers or declines the held
    /// grant, frees the body and tells the caller.
    fn refuse<C: RequestContext>(&mut self, refusal: CoreRefusal, context: &mut C) {
        match std::mem::replace(&mut self.phase, CorePhase::Ended) {
            CorePhase::Offering(set) => self.withdraw(&set.open),
            CorePhase::Claiming { held, .. } => self.decline(held.agent, held.grant),
            _ => {}
        }
        context.release_body();
        self.actions.push(if self.answer.has_started() {
            CoreAction::Abort(refusal)
        } else {
            CoreAction::Refuse(refusal)
        });
    }

    fn refuse_unknown<C: RequestContext>(
        &mut self,
        reason: reasons::RefusalReason,
        context: &mut C,
    ) {
        let refusal = CoreRefusal {
            reason,
            outcome: reasons::Outcome::Unknown,
            retry_after: None,
        };
        self.refuse(refusal, context);
    }

    fn refuse_not_run<C: RequestContext>(
        &mut self,
        reason: reasons::RefusalReason,
        retry_after: Option<Duration>,
        context: &mut C,
    ) {
        let refusal = CoreRefusal {
            reason,
            outcome: reasons::Outcome::NotRun,
            retry_after,
        };
        self.refuse(refusal, context);
    }

    fn send(&mut self, agent: choice::EndpointId, correlation: u64, body: messages::Body) {
        self.actions.push(CoreAction::Send {
            agent,
            correlation,
            body,
        });
    }

    fn count(&mut self, event: counters::CounterEvent) {
        self.actions.push(CoreAction::Count(event));
    }

    fn withdraw(&mut self, agents: &[choice::EndpointId]) {
        for agent in agents {
            let request = self.plan.request_bytes();
            self.send(
                *agent,
                0,
                messages::Body::Withdraw(messages::Withdraw { request }),
            );
        }
    }

    fn decline(&mut self, agent: choice::EndpointId, grant: u64) {
        let request = self.plan.request_bytes();
        let decline = messages::Decline { request, grant };
        self.send(agent, grant, messages::Body::Decline(decline));
        self.count(counters::CounterEvent::GrantsDeclined);
    }
}
