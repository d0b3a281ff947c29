//! The life of one request as a state machine without I/O.
//!
//! [`RequestCore`] takes messages, timers and what the caller does, and returns what to send and
//! what the caller gets. The driver carries the actions out; tests feed events in any order. The
//! rules are those of `docs/design.md`, section 5: the first grant gets the request, and once a
//! hand-over may have arrived the request goes nowhere else unless the agent proves that it never
//! did.

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

/// A `CoreEvent` is something that happened to a request.
#[derive(Debug, Clone)]
pub enum CoreEvent {
    /// The request was accepted.
    Start,
    /// The time that [`RequestCore::wake_at`] asked for has come; an early or needless timer does
    /// no harm.
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
    /// A message of an agent that concerns this request.
    Message {
        /// The agent.
        agent: choice::EndpointId,
        /// The correlation number of the message; zero if the agent sets none.
        correlation: u64,
        /// The message.
        body: messages::Body,
    },
    /// The hand-over was never queued on a link, so nothing of it left this process.
    Unsent {
        /// The agent.
        agent: choice::EndpointId,
        /// The grant of the hand-over.
        grant: u64,
    },
    /// The answer of control to a claim.
    Claimed(messages::ClaimResult),
    /// The caller's connection has taken this many bytes in all.
    Delivered(u64),
    /// The caller is gone.
    CallerGone,
    /// The request lost its room to a more urgent tier.
    Evicted,
}

/// A `CoreRefusal` tells the caller that there is no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoreRefusal {
    /// Why.
    pub reason: reasons::RefusalReason,
    /// Whether the request may have run.
    pub outcome: reasons::Outcome,
    /// When a resend may help.
    pub retry_after: Option<Duration>,
}

/// A `CoreAction` is something that the driver has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum CoreAction {
    /// Send a message to an agent.
    Send {
        /// The agent.
        agent: choice::EndpointId,
        /// The correlation number.
        correlation: u64,
        /// The message.
        body: messages::Body,
    },
    /// Ask control for a claim.
    Claim(messages::ClaimKey),
    /// Pass status and headers to the caller.
    Head {
        /// The status.
        status: u16,
        /// The headers.
        headers: Vec<messages::HeaderField>,
    },
    /// Pass bytes of the answer to the caller.
    Data(Bytes),
    /// The answer is whole.
    Finish,
    /// Refuse the request; the caller has got nothing yet.
    Refuse(CoreRefusal),
    /// Break the answer off; the caller has got a part of it.
    Abort(CoreRefusal),
    /// Count an event.
    Count(counters::CounterEvent),
    /// Count a retry.
    Retry(reasons::RetryReason),
}

/// An `AgentLocation` is how a claim names an agent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AgentLocation {
    /// The name of the agent.
    pub name: String,
    /// Its address, as `ip:port`.
    pub address: String,
}

/// A `RequestContext` answers the questions of a request at once, from the shared state of the entry.
pub trait RequestContext {
    /// Appends up to `count` agents for an offer, the best first.
    fn choose_agents(
        &mut self,
        plan: &plan::RequestPlan,
        excluded: &[choice::EndpointId],
        count: usize,
        picks: &mut Vec<choice::EndpointId>,
    );

    /// Takes a retry from the budget and returns its delay, or `None` if there is none left.
    fn allow_retry(&mut self, plan: &plan::RequestPlan, attempt: u32) -> Option<Duration>;

    /// Returns the name and address of an agent, for a claim.
    fn agent_location(&self, agent: choice::EndpointId) -> AgentLocation;

    /// Finds the agent of a claim and keeps a link to it; [`CoreEvent::LinkUp`] follows.
    fn connect_agent(&mut self, name: &str, address: &str) -> Option<choice::EndpointId>;

    /// Tells whether a request of this entry has this id.
    fn is_local(&self, request: ids::RequestId) -> bool;

    /// Keeps the body from eviction; tells whether it is still there.
    fn pin_body(&mut self) -> bool;

    /// Allows eviction again.
    fn unpin_body(&mut self);

    /// Gives the room of the body back.
    fn release_body(&mut self);
}

/// `CoreTiming` holds the time limits of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoreTiming {
    /// Time without a grant after which one more agent gets an offer; 100 ms.
    pub widen_after: Duration,
    /// Time for which a request waits for a first usable endpoint; 2 s, one announcement interval.
    pub endpoint_wait: Duration,
    /// Time between looks for an endpoint when there is none; 100 ms.
    pub endpoint_poll: Duration,
    /// Time after which a claim counts as not obtainable; 2 s, an election.
    pub claim_limit: Duration,
    /// Time between attempts to claim; 200 ms.
    pub claim_interval: Duration,
    /// Time after which an unacknowledged hand-over is settled, and between settlements; 1 s.
    pub settle_interval: Duration,
    /// Time after which an agent that can't be asked counts as lost; 10 s, twice the time after
    /// which an agent cancels the work of an entry that is gone.
    pub settle_limit: Duration,
    /// Time without a byte after which an answer is asked for again; 10 s, the time after which an
    /// agent takes an endpoint without progress for failed.
    pub stall_interval: Duration,
    /// Time past the deadline for which the end of a running request is awaited; 5 s.
    pub deadline_grace: Duration,
}

impl Default for CoreTiming {
    fn default() -> Self {
        Self {
            widen_after: Duration::from_millis(100),
            endpoint_wait: Duration::from_secs(2),
            endpoint_poll: Duration::from_millis(100),
            claim_limit: Duration::from_secs(2),
            claim_interval: Duration::from_millis(200),
            settle_interval: Duration::from_secs(1),
            settle_limit: Duration::from_secs(10),
            stall_interval: Duration::from_secs(10),
            deadline_grace: Duration::from_secs(5),
        }
    }
}

/// A `GrantHold` is the grant that a request uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct GrantHold {
    agent: choice::EndpointId,
    incarnation: ids::Incarnation,
    grant: u64,
    ends: Instant,
}

/// A `CorePhase` is where a request stands.
#[derive(Debug)]
enum CorePhase {
    /// Offers are out, or a retry is due.
    Offering(offering::OfferSet),
    /// A grant is held while control is asked for the claim.
    Claiming {
        hold: GrantHold,
        place: AgentLocation,
        ends: Instant,
        ask_at: Instant,
    },
    /// The request was handed over, or another's run is followed.
    Bound(binding::BoundRun),
    /// The agent is lost; the stored result of the claim is looked up.
    Recalling {
        run: binding::BoundRun,
        ends: Instant,
        ask_at: Instant,
    },
    /// The answer is whole and the caller still reads.
    Delivering(binding::BoundRun),
    /// Nothing is left to do.
    Ended,
}

/// A `RequestCore` is the state machine of one request.
#[derive(Debug)]
pub struct RequestCore {
    plan: plan::RequestPlan,
    timing: CoreTiming,
    phase: CorePhase,
    /// Grants that were used or declined; none of them is used again.
    spent: Vec<(choice::EndpointId, ids::Incarnation, u64)>,
    /// Agents, with their incarnations, that a claim of this request has named. A claim never names
    /// one of them again: another entry may have settled that run as never received and be about
    /// to replace the claim, and only a claim that differs makes its replacement fail.
    claimed: Vec<(choice::EndpointId, ids::Incarnation)>,
    /// Agents in the order in which they got the request, with repeats.
    handed: Vec<choice::EndpointId>,
    /// The epoch of the claim that the next one replaces.
    claim_epoch: u64,
    attempts: u32,
    answer: answers::AnswerBuffer,
    /// Bytes that the caller's connection has taken.
    delivered: u64,
    actions: Vec<CoreAction>,
}

impl RequestCore {
    /// Builds the state machine; [`CoreEvent::Start`] sets it going.
    #[must_use]
    pub fn new(plan: plan::RequestPlan, timing: CoreTiming) -> Self {
        let answer = answers::AnswerBuffer::new(plan.stream);
        Self {
            phase: CorePhase::Offering(offering::OfferSet::new(plan.accepted)),
            plan,
            timing,
            spent: Vec::new(),
            claimed: Vec::new(),
            handed: Vec::new(),
            claim_epoch: 0,
            attempts: 0,
            answer,
            delivered: 0,
            actions: Vec::new(),
        }
    }

    /// Returns the plan of the request.
    #[must_use]
    pub fn plan(&self) -> &plan::RequestPlan {
        &self.plan
    }

    /// Tells whether nothing is left to do.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, CorePhase::Ended)
    }

    /// Tells how often the request was handed over.
    #[must_use]
    pub fn handovers(&self) -> usize {
        self.handed.len()
    }

    /// Returns the request whose messages this one follows besides its own: the first request of
    /// the same idempotency key.
    #[must_use]
    pub fn followed(&self) -> Option<ids::RequestId> {
        match &self.phase {
            CorePhase::Bound(run) if run.followed => Some(run.request),
            _ => None,
        }
    }

    /// Takes an event in and returns what follows from it.
    pub fn handle<H: RequestContext>(
        &mut self,
        now: Instant,
        event: CoreEvent,
        host: &mut H,
    ) -> Vec<CoreAction> {
        match event {
            CoreEvent::Start => self.offer_more(now, host),
            CoreEvent::Timer => self.on_timer(now, host),
            CoreEvent::LinkUp { agent, incarnation } => self.on_link_up(now, agent, incarnation),
            CoreEvent::LinkDown { agent } => self.on_link_down(now, agent, host),
            CoreEvent::Message {
                agent,
                correlation,
                body,
            } => self.on_message(now, agent, correlation, body, host),
            CoreEvent::Unsent { agent, grant } => self.on_unsent(now, agent, grant, host),
            CoreEvent::Claimed(result) => self.on_claimed(now, result, host),
            CoreEvent::Delivered(bytes) => self.on_delivered(bytes),
            CoreEvent::CallerGone => self.on_caller_gone(host),
            CoreEvent::Evicted => self.on_evicted(host),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which [`CoreEvent::Timer`] is due.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        match &self.phase {
            CorePhase::Offering(set) => Some(self.offering_wake(set)),
            CorePhase::Claiming { ends, ask_at, .. } => {
                Some((*ends).min(*ask_at).min(self.plan.deadline))
            }
            CorePhase::Recalling { ends, ask_at, .. } => Some((*ends).min(*ask_at)),
            CorePhase::Bound(run) => Some(self.bound_wake(run)),
            CorePhase::Delivering(_) | CorePhase::Ended => None,
        }
    }

    fn on_timer<H: RequestContext>(&mut self, now: Instant, host: &mut H) {
        match &self.phase {
            CorePhase::Offering(_) => self.on_offering_timer(now, host),
            CorePhase::Claiming { .. } => self.on_claiming_timer(now, host),
            CorePhase::Recalling { .. } => self.on_recalling_timer(now, host),
            CorePhase::Bound(_) => self.on_bound_timer(now, host),
            CorePhase::Delivering(_) | CorePhase::Ended => {}
        }
    }

    fn on_message<H: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        correlation: u64,
        body: messages::Body,
        host: &mut H,
    ) {
        match body {
            messages::Body::Grant(grant) => self.on_grant(now, agent, &grant, host),
            messages::Body::OfferRefused(refused) => {
                self.on_offer_refused(now, agent, &refused, host);
            }
            messages::Body::HandoverAck(ack) => {
                self.on_handover_ack(now, agent, correlation, &ack, host);
            }
            messages::Body::Settled(settled) => {
                self.on_settled(now, agent, correlation, &settled, host);
            }
            messages::Body::AnswerHead(head) => self.on_head(now, agent, head, host),
            messages::Body::AnswerChunk(chunk) => self.on_chunk(now, agent, chunk, host),
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

    fn on_link_down<H: RequestContext>(
        &mut self,
        now: Instant,
        agent: choice::EndpointId,
        host: &mut H,
    ) {
        match &mut self.phase {
            CorePhase::Offering(_) => self.on_offer_lost(now, agent, host),
            // The grant is gone with the link, and nothing was handed over.
            CorePhase::Claiming { hold, .. } if hold.agent == agent => {
                self.offer_again(now, reasons::RetryReason::LinkLost, host);
            }
            CorePhase::Bound(run) if run.agent == agent => {
                run.lose_link(now, self.timing.settle_limit)
            }
            _ => {}
        }
    }

    fn on_caller_gone<H: RequestContext>(&mut self, host: &mut H) {
        let refusal = CoreRefusal {
            reason: reasons::RefusalReason::CallerGone,
            outcome: reasons::Outcome::NotRun,
            retry_after: None,
        };
        match &self.phase {
            CorePhase::Ended => {}
            CorePhase::Offering(_) | CorePhase::Claiming { .. } => self.refuse(refusal, host),
            CorePhase::Delivering(run) => {
                // Nobody needs the rest; the agent may forget the answer.
                let (agent, body) = (run.agent, run.ack_message(self.answer.received()));
                self.send(agent, 0, body);
                self.phase = CorePhase::Ended;
            }
            CorePhase::Bound(run) | CorePhase::Recalling { run, .. } => {
                // A keyed run goes on to its end, so that a resend of the key gets its answer.
                if self.plan.claim.is_none() {
                    let (agent, body) = (run.agent, run.cancel_message());
                    self.send(agent, 0, body);
                }
                let outcome = reasons::Outcome::Unknown;
                self.refuse(CoreRefusal { outcome, ..refusal }, host);
            }
        }
    }

    fn on_evicted<H: RequestContext>(&mut self, host: &mut H) {
        if matches!(self.phase, CorePhase::Offering(_)) {
            let refusal = CoreRefusal {
                reason: reasons::RefusalReason::Evicted,
                outcome: reasons::Outcome::NotRun,
                retry_after: Some(Duration::from_secs(1)),
            };
            self.refuse(refusal, host);
        }
    }

    /// Ends the request without a whole answer, gives up what it holds at agents, and tells the
    /// caller.
    fn refuse<H: RequestContext>(&mut self, refusal: CoreRefusal, host: &mut H) {
        match std::mem::replace(&mut self.phase, CorePhase::Ended) {
            CorePhase::Offering(set) => self.withdraw(&set.open),
            CorePhase::Claiming { hold, .. } => self.decline(hold.agent, hold.grant),
            _ => {}
        }
        host.release_body();
        self.actions.push(if self.answer.is_passed() {
            CoreAction::Abort(refusal)
        } else {
            CoreAction::Refuse(refusal)
        });
    }

    fn refuse_unknown<H: RequestContext>(&mut self, reason: reasons::RefusalReason, host: &mut H) {
        let refusal = CoreRefusal {
            reason,
            outcome: reasons::Outcome::Unknown,
            retry_after: None,
        };
        self.refuse(refusal, host);
    }

    fn refuse_not_run<H: RequestContext>(
        &mut self,
        reason: reasons::RefusalReason,
        retry_after: Option<Duration>,
        host: &mut H,
    ) {
        let refusal = CoreRefusal {
            reason,
            outcome: reasons::Outcome::NotRun,
            retry_after,
        };
        self.refuse(refusal, host);
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
