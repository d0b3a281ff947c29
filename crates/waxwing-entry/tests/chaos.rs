//! Fault-injection property tests: two requests with the same idempotency key, or one without, run
//! against simulated agents and a claim store. Messages are reordered, duplicated or lost, links
//! break and agents restart. As on a real connection, messages in transit are lost with their link.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use proptest::prelude::*;
use support::{AGENT_COUNT, CoreHarness};
use waxwing_core::{ids, reasons};
use waxwing_entry::request_core::{CoreAction, CoreEvent};
use waxwing_policy::choice;
use waxwing_wire::messages::{self, Body};

const ANSWER: &[u8] = b"the whole answer";

#[derive(Debug, Clone)]
enum SimulationStep {
    /// Delivers a message; `true` keeps a copy to be delivered again.
    Deliver(prop::sample::Index, bool),
    Lose(prop::sample::Index),
    /// Lets time pass, in milliseconds.
    Wait(u64),
    /// Breaks the link between an entry and an agent and opens a new one.
    Reconnect(usize, usize),
    Restart(usize),
    Evict(usize),
    /// Disconnects the caller of a request.
    HangUp(usize),
}

fn steps() -> impl Strategy<Value = SimulationStep> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        24 => (index(), prop::bool::weighted(0.2)).prop_map(|(i, k)| SimulationStep::Deliver(i, k)),
        2 => index().prop_map(SimulationStep::Lose),
        4 => (1_u64..1_500).prop_map(SimulationStep::Wait),
        2 => (0_usize..2, 0..AGENT_COUNT as usize)
            .prop_map(|(e, a)| SimulationStep::Reconnect(e, a)),
        1 => (0..AGENT_COUNT as usize).prop_map(SimulationStep::Restart),
        1 => (0_usize..2).prop_map(SimulationStep::Evict),
        1 => (0_usize..2).prop_map(SimulationStep::HangUp),
    ]
}

#[derive(Debug, Clone)]
enum Packet {
    ToAgent {
        link: (usize, usize),
        generation: u64,
        correlation: u64,
        body: Body,
    },
    ToEntry {
        link: (usize, usize),
        generation: u64,
        correlation: u64,
        body: Body,
    },
    ClaimRequest {
        entry: usize,
        key: messages::ClaimKey,
    },
    ClaimReply {
        entry: usize,
        result: messages::ClaimResult,
    },
}

/// An agent that follows the protocol. Its grants never expire, which makes it only easier to run a
/// request twice.
#[derive(Debug, Default)]
struct FakeAgent {
    incarnation: u64,
    grants: u64,
    /// Unused grants with their requests.
    open_grants: BTreeMap<u64, Vec<u8>>,
    /// Requests that were accepted.
    accepted: BTreeSet<Vec<u8>>,
}

impl FakeAgent {
    fn restart(&mut self) {
        *self = Self {
            incarnation: self.incarnation + 1,
            ..Self::default()
        };
    }

    fn offer(&mut self, request: Vec<u8>) -> Vec<Body> {
        if self.accepted.contains(&request) {
            return Vec::new();
        }
        self.grants += 1;
        if self.grants.is_multiple_of(4) {
            let reason = "draining".into();
            return vec![Body::OfferRefused(messages::OfferRefused {
                request,
                reason,
                retry_after_millis: 0,
            })];
        }
        self.open_grants.insert(self.grants, request.clone());
        vec![Body::Grant(messages::Grant {
            request,
            grant: self.grants,
            incarnation: self.incarnation,
            lease_millis: 2_000,
            cached_tokens: 0,
        })]
    }

    fn settle(&mut self, settle: &messages::Settle) -> messages::SettledState {
        if settle.incarnation != self.incarnation {
            return messages::SettledState::OtherIncarnation;
        }
        if self.accepted.contains(&settle.request) {
            return messages::SettledState::Finished;
        }
        self.open_grants
            .retain(|_, request| *request != settle.request);
        messages::SettledState::NeverReceived
    }
}

fn answer(request: &[u8], offset: u64) -> Vec<Body> {
    let start = usize::try_from(offset).unwrap().min(ANSWER.len());
    let middle = start.midpoint(ANSWER.len());
    let chunk = |from: usize, to: usize, end| {
        Body::AnswerChunk(messages::AnswerChunk {
            request: request.to_vec(),
            offset: from as u64,
            data: bytes::Bytes::from_static(&ANSWER[from..to]),
            end,
        })
    };
    let mut parts = vec![
        chunk(start, middle, None),
        chunk(middle, ANSWER.len(), Some(support::complete_end(ANSWER))),
    ];
    if start == 0 {
        parts.insert(
            0,
            Body::AnswerHead(messages::AnswerHead {
                request: request.to_vec(),
                status: 200,
                headers: Vec::new(),
            }),
        );
    }
    parts
}

struct Simulation {
    requests: Vec<CoreHarness>,
    agents: Vec<FakeAgent>,
    /// Number of times that each link was replaced, by entry and agent.
    link_generations: BTreeMap<(usize, usize), u64>,
    claim: Option<messages::ClaimRecord>,
    packets: Vec<Packet>,
    /// Number of runs by request.
    runs: BTreeMap<Vec<u8>, u32>,
}

impl Simulation {
    fn new(key: Option<&str>, count: usize) -> Self {
        let requests = (0..count).map(|position| {
            CoreHarness::start(key, |plan| {
                plan.request = ids::RequestId(position as u128 + 1)
            })
        });
        let mut simulation = Self {
            requests: requests.collect(),
            agents: (0..AGENT_COUNT).map(|_| FakeAgent::default()).collect(),
            link_generations: BTreeMap::new(),
            claim: None,
            packets: Vec::new(),
            runs: BTreeMap::new(),
        };
        for entry in 0..count {
            let actions = simulation.requests[entry].actions.clone();
            simulation.execute(entry, &actions);
        }
        simulation
    }

    fn link_generation(&self, link: (usize, usize)) -> u64 {
        self.link_generations
            .get(&link)
            .copied()
            .unwrap_or_default()
    }

    fn feed(&mut self, entry: usize, event: CoreEvent) {
        if entry < self.requests.len() {
            let actions = self.requests[entry].feed(event);
            self.execute(entry, &actions);
        }
    }

    fn execute(&mut self, entry: usize, actions: &[CoreAction]) {
        let followed = self.requests[entry].core.followed().is_some();
        for action in actions {
            match action {
                CoreAction::Send {
                    agent,
                    correlation,
                    body,
                } => {
                    let link = (entry, agent.0 as usize);
                    self.packets.push(Packet::ToAgent {
                        link,
                        generation: self.link_generation(link),
                        correlation: *correlation,
                        body: body.clone(),
                    });
                }
                CoreAction::Claim(key) => {
                    self.packets.push(Packet::ClaimRequest {
                        entry,
                        key: key.clone(),
                    });
                }
                _ => {}
            }
        }
        let attached = actions.iter().any(|action| {
            matches!(
                action,
                CoreAction::Count(waxwing_core::counters::CounterEvent::ClaimsExisting)
            )
        });
        if attached && followed {
            for agent in 0..self.agents.len() {
                self.notify_link_up(entry, agent);
            }
        }
    }

    fn notify_link_up(&mut self, entry: usize, agent: usize) {
        let incarnation = ids::Incarnation(self.agents[agent].incarnation);
        let agent = choice::EndpointId(agent as u32);
        self.feed(entry, CoreEvent::LinkUp { agent, incarnation });
    }

    fn reconnect(&mut self, entry: usize, agent: usize) {
        *self.link_generations.entry((entry, agent)).or_default() += 1;
        let down = CoreEvent::LinkDown {
            agent: choice::EndpointId(agent as u32),
        };
        self.feed(entry, down);
        self.notify_link_up(entry, agent);
    }

    fn step(&mut self, step: &SimulationStep) {
        match step {
            SimulationStep::Deliver(index, keep) if !self.packets.is_empty() => {
                let position = index.index(self.packets.len());
                let packet = self.packets[position].clone();
                if !keep {
                    self.packets.swap_remove(position);
                }
                self.deliver(packet);
            }
            SimulationStep::Lose(index) if !self.packets.is_empty() => {
                self.packets.swap_remove(index.index(self.packets.len()));
            }
            SimulationStep::Wait(millis) => self.run_for(Duration::from_millis(*millis)),
            SimulationStep::Reconnect(entry, agent) => self.reconnect(*entry, *agent),
            SimulationStep::Restart(agent) => {
                self.agents[*agent].restart();
                (0..self.requests.len()).for_each(|entry| self.reconnect(entry, *agent));
            }
            SimulationStep::Evict(entry) => self.feed(*entry, CoreEvent::Evicted),
            SimulationStep::HangUp(entry) => self.feed(*entry, CoreEvent::CallerGone),
            SimulationStep::Deliver(..) | SimulationStep::Lose(_) => {}
        }
    }

    fn run_for(&mut self, time: Duration) {
        for entry in 0..self.requests.len() {
            let actions = self.requests[entry].run_for(time);
            self.execute(entry, &actions);
        }
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::ToAgent {
                link,
                generation,
                correlation,
                body,
            } if generation == self.link_generation(link) => {
                for body in self.deliver_to_agent(link.1, body) {
                    self.packets.push(Packet::ToEntry {
                        link,
                        generation,
                        correlation,
                        body,
                    });
                }
            }
            Packet::ToEntry {
                link,
                generation,
                correlation,
                body,
            } if generation == self.link_generation(link) => {
                let agent = choice::EndpointId(link.1 as u32);
                self.feed(
                    link.0,
                    CoreEvent::Message {
                        agent,
                        correlation,
                        body,
                    },
                );
            }
            Packet::ClaimRequest { entry, key } => {
                let result = self.decide_claim(&key);
                self.packets.push(Packet::ClaimReply { entry, result });
            }
            Packet::ClaimReply { entry, result } => self.feed(entry, CoreEvent::Claimed(result)),
            Packet::ToAgent { .. } | Packet::ToEntry { .. } => {}
        }
    }

    fn deliver_to_agent(&mut self, position: usize, body: Body) -> Vec<Body> {
        let agent = &mut self.agents[position];
        match body {
            Body::Offer(offer) => agent.offer(offer.request),
            Body::Decline(decline) => {
                agent.open_grants.remove(&decline.grant);
                Vec::new()
            }
            Body::Handover(handover) => self.on_handover(position, &handover),
            Body::Settle(settle) => {
                let state = agent.settle(&settle).into();
                let request = settle.request;
                vec![Body::Settled(messages::Settled { request, state })]
            }
            Body::Resume(resume) if agent.accepted.contains(&resume.request) => {
                answer(&resume.request, resume.offset)
            }
            _ => Vec::new(),
        }
    }

    fn on_handover(&mut self, position: usize, handover: &messages::Handover) -> Vec<Body> {
        let agent = &mut self.agents[position];
        let request = handover.request.clone();
        let first = agent.open_grants.get(&handover.grant) == Some(&request);
        let taken = agent.accepted.contains(&request) || first;
        let mut replies = vec![Body::HandoverAck(messages::HandoverAck {
            request: request.clone(),
            taken,
            reason: String::new(),
        })];
        if first && agent.accepted.insert(request.clone()) {
            agent.open_grants.remove(&handover.grant);
            *self.runs.entry(request.clone()).or_default() += 1;
            replies.extend(answer(&request, 0));
        }
        replies
    }

    /// Decides a claim as the control log does: an equal claim is granted again, and a different
    /// one is replaced only if its epoch is named.
    fn decide_claim(&mut self, key: &messages::ClaimKey) -> messages::ClaimResult {
        let found = self.claim.clone();
        if key.lookup {
            return messages::ClaimResult {
                granted: false,
                record: found,
            };
        }
        let wanted = key.record.clone().unwrap();
        let same = |found: &messages::ClaimRecord| {
            (&found.request, &found.agent, found.incarnation)
                == (&wanted.request, &wanted.agent, wanted.incarnation)
        };
        let granted = match &found {
            Some(found) => same(found) || found.epoch == key.replaces,
            None => true,
        };
        if granted && !found.as_ref().is_some_and(same) {
            let epoch = key.replaces + 1;
            self.claim = Some(messages::ClaimRecord { epoch, ..wanted });
        }
        messages::ClaimResult {
            granted,
            record: self.claim.clone(),
        }
    }

    /// Delivers all messages in transit and lets every timer expire.
    fn run_to_completion(&mut self) {
        for _ in 0..600 {
            for packet in std::mem::take(&mut self.packets) {
                self.deliver(packet);
            }
            self.run_for(Duration::from_millis(100));
        }
    }
}

fn check_invariants(simulation: &Simulation) {
    let total: u32 = simulation.runs.values().sum();
    assert!(total <= 1, "{total} runs: {:?}", simulation.runs);
    for (position, harness) in simulation.requests.iter().enumerate() {
        let own = support::id_bytes(position as u128 + 1);
        let refusal = support::refusal(&harness.actions);
        if refusal.is_some_and(|refusal| refusal.outcome == reasons::Outcome::NotRun) {
            assert_eq!(
                simulation.runs.get(&own),
                None,
                "a request reported as not run has run"
            );
        }
        let got = support::data(&harness.actions);
        assert!(
            ANSWER.starts_with(&got),
            "the response is not a prefix of the answer"
        );
        if support::is_finished(&harness.actions) {
            assert_eq!(got, ANSWER, "a truncated answer was delivered as complete");
        }
        let ends = harness.actions.iter().filter(|action| {
            matches!(
                action,
                CoreAction::Finish | CoreAction::Refuse(_) | CoreAction::Abort(_)
            )
        });
        assert_eq!(ends.count(), 1, "every request ends exactly once");
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1_500,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a second run, a false `not-run`, a wrong or truncated answer that is
    /// delivered as complete, and a request that never ends, whatever happens to its messages.
    #[test]
    fn request_without_a_key_runs_at_most_once(steps in prop::collection::vec(steps(), 0..120)) {
        let mut simulation = Simulation::new(None, 1);
        steps.iter().for_each(|step| simulation.step(step));
        simulation.run_to_completion();
        check_invariants(&simulation);
    }

    /// Guards against two runs of a key when a retry reaches another entry at the same time.
    #[test]
    fn requests_with_one_key_run_at_most_once(steps in prop::collection::vec(steps(), 0..160)) {
        let mut simulation = Simulation::new(Some("k"), 2);
        steps.iter().for_each(|step| simulation.step(step));
        simulation.run_to_completion();
        check_invariants(&simulation);
    }
}

/// Guards against a simulation in which nothing ever runs, so that the properties hold trivially.
#[test]
fn fault_free_simulation_answers() {
    for (key, count) in [(None, 1), (Some("k"), 2)] {
        let mut simulation = Simulation::new(key, count);
        simulation.run_to_completion();
        check_invariants(&simulation);
        assert_eq!(simulation.runs.values().sum::<u32>(), 1);
        let answered = simulation.requests.iter();
        let answered = answered.filter(|harness| support::is_finished(&harness.actions));
        assert!(answered.count() >= 1);
    }
}
