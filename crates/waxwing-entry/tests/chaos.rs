//! Two requests with one idempotency key, or one request without, against agents and a claim store,
//! with messages that are delivered in any order, doubled or lost, links that break and agents that
//! restart. Messages die with their link, as on a real connection.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use proptest::prelude::*;
use support::{AGENTS, CoreHarness};
use waxwing_core::{ids, reasons};
use waxwing_entry::request_core::{CoreAction, CoreEvent};
use waxwing_policy::choice;
use waxwing_wire::messages::{self, Body};

const ANSWER: &[u8] = b"the whole answer";

#[derive(Debug, Clone)]
enum WorldStep {
    /// Deliver a message, and keep a copy of it or not.
    Deliver(prop::sample::Index, bool),
    Lose(prop::sample::Index),
    Pass(u64),
    Cut(usize, usize),
    Restart(usize),
    Evict(usize),
    Leave(usize),
}

fn steps() -> impl Strategy<Value = WorldStep> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        24 => (index(), prop::bool::weighted(0.2)).prop_map(|(i, k)| WorldStep::Deliver(i, k)),
        2 => index().prop_map(WorldStep::Lose),
        4 => (1_u64..1_500).prop_map(WorldStep::Pass),
        2 => (0_usize..2, 0..AGENTS as usize).prop_map(|(e, a)| WorldStep::Cut(e, a)),
        1 => (0..AGENTS as usize).prop_map(WorldStep::Restart),
        1 => (0_usize..2).prop_map(WorldStep::Evict),
        1 => (0_usize..2).prop_map(WorldStep::Leave),
    ]
}

#[derive(Debug, Clone)]
enum Flight {
    ToAgent {
        link: (usize, usize),
        life: u64,
        correlation: u64,
        body: Body,
    },
    ToEntry {
        link: (usize, usize),
        life: u64,
        correlation: u64,
        body: Body,
    },
    Ask {
        entry: usize,
        key: messages::ClaimKey,
    },
    Told {
        entry: usize,
        result: messages::ClaimResult,
    },
}

/// An agent that keeps its side of the protocol. Its grants never expire, which only makes it
/// easier to run a request twice.
#[derive(Debug, Default)]
struct FakeAgent {
    incarnation: u64,
    grants: u64,
    live: BTreeMap<u64, Vec<u8>>,
    taken: BTreeSet<Vec<u8>>,
}

impl FakeAgent {
    fn restart(&mut self) {
        *self = Self {
            incarnation: self.incarnation + 1,
            ..Self::default()
        };
    }

    fn offer(&mut self, request: Vec<u8>) -> Vec<Body> {
        if self.taken.contains(&request) {
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
        self.live.insert(self.grants, request.clone());
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
        if self.taken.contains(&settle.request) {
            return messages::SettledState::Finished;
        }
        self.live.retain(|_, request| *request != settle.request);
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
        chunk(middle, ANSWER.len(), Some(support::whole_end(ANSWER))),
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

struct World {
    requests: Vec<CoreHarness>,
    agents: Vec<FakeAgent>,
    lives: BTreeMap<(usize, usize), u64>,
    claim: Option<messages::ClaimRecord>,
    flights: Vec<Flight>,
    /// Runs by request.
    runs: BTreeMap<Vec<u8>, u32>,
}

impl World {
    fn new(key: Option<&str>, count: usize) -> Self {
        let requests = (0..count).map(|place| {
            CoreHarness::start(key, |plan| plan.request = ids::RequestId(place as u128 + 1))
        });
        let mut world = Self {
            requests: requests.collect(),
            agents: (0..AGENTS).map(|_| FakeAgent::default()).collect(),
            lives: BTreeMap::new(),
            claim: None,
            flights: Vec::new(),
            runs: BTreeMap::new(),
        };
        for entry in 0..count {
            let actions = world.requests[entry].actions.clone();
            world.perform(entry, &actions);
        }
        world
    }

    fn life(&self, link: (usize, usize)) -> u64 {
        self.lives.get(&link).copied().unwrap_or_default()
    }

    fn feed(&mut self, entry: usize, event: CoreEvent) {
        if entry < self.requests.len() {
            let actions = self.requests[entry].feed(event);
            self.perform(entry, &actions);
        }
    }

    fn perform(&mut self, entry: usize, actions: &[CoreAction]) {
        let followed = self.requests[entry].core.followed().is_some();
        for action in actions {
            match action {
                CoreAction::Send {
                    agent,
                    correlation,
                    body,
                } => {
                    let link = (entry, agent.0 as usize);
                    self.flights.push(Flight::ToAgent {
                        link,
                        life: self.life(link),
                        correlation: *correlation,
                        body: body.clone(),
                    });
                }
                CoreAction::Claim(key) => {
                    self.flights.push(Flight::Ask {
                        entry,
                        key: key.clone(),
                    });
                }
                _ => {}
            }
        }
        let claim_told = actions.iter().any(|action| {
            matches!(
                action,
                CoreAction::Count(waxwing_core::counters::CounterEvent::ClaimsExisting)
            )
        });
        if claim_told && followed {
            for agent in 0..self.agents.len() {
                self.tell_link_up(entry, agent);
            }
        }
    }

    fn tell_link_up(&mut self, entry: usize, agent: usize) {
        let incarnation = ids::Incarnation(self.agents[agent].incarnation);
        let agent = choice::EndpointId(agent as u32);
        self.feed(entry, CoreEvent::LinkUp { agent, incarnation });
    }

    fn cut(&mut self, entry: usize, agent: usize) {
        *self.lives.entry((entry, agent)).or_default() += 1;
        let down = CoreEvent::LinkDown {
            agent: choice::EndpointId(agent as u32),
        };
        self.feed(entry, down);
        self.tell_link_up(entry, agent);
    }

    fn step(&mut self, step: &WorldStep) {
        match step {
            WorldStep::Deliver(index, keep) if !self.flights.is_empty() => {
                let place = index.index(self.flights.len());
                let flight = self.flights[place].clone();
                if !keep {
                    self.flights.swap_remove(place);
                }
                self.deliver(flight);
            }
            WorldStep::Lose(index) if !self.flights.is_empty() => {
                self.flights.swap_remove(index.index(self.flights.len()));
            }
            WorldStep::Pass(millis) => self.pass(Duration::from_millis(*millis)),
            WorldStep::Cut(entry, agent) => self.cut(*entry, *agent),
            WorldStep::Restart(agent) => {
                self.agents[*agent].restart();
                (0..self.requests.len()).for_each(|entry| self.cut(entry, *agent));
            }
            WorldStep::Evict(entry) => self.feed(*entry, CoreEvent::Evicted),
            WorldStep::Leave(entry) => self.feed(*entry, CoreEvent::CallerGone),
            WorldStep::Deliver(..) | WorldStep::Lose(_) => {}
        }
    }

    fn pass(&mut self, time: Duration) {
        for entry in 0..self.requests.len() {
            let actions = self.requests[entry].pass(time);
            self.perform(entry, &actions);
        }
    }

    fn deliver(&mut self, flight: Flight) {
        match flight {
            Flight::ToAgent {
                link,
                life,
                correlation,
                body,
            } if life == self.life(link) => {
                for body in self.at_agent(link.1, body) {
                    self.flights.push(Flight::ToEntry {
                        link,
                        life,
                        correlation,
                        body,
                    });
                }
            }
            Flight::ToEntry {
                link,
                life,
                correlation,
                body,
            } if life == self.life(link) => {
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
            Flight::Ask { entry, key } => {
                let result = self.decide_claim(&key);
                self.flights.push(Flight::Told { entry, result });
            }
            Flight::Told { entry, result } => self.feed(entry, CoreEvent::Claimed(result)),
            Flight::ToAgent { .. } | Flight::ToEntry { .. } => {}
        }
    }

    fn at_agent(&mut self, place: usize, body: Body) -> Vec<Body> {
        let agent = &mut self.agents[place];
        match body {
            Body::Offer(offer) => agent.offer(offer.request),
            Body::Decline(decline) => {
                agent.live.remove(&decline.grant);
                Vec::new()
            }
            Body::Handover(handover) => self.at_handover(place, &handover),
            Body::Settle(settle) => {
                let state = agent.settle(&settle).into();
                let request = settle.request;
                vec![Body::Settled(messages::Settled { request, state })]
            }
            Body::Resume(resume) if agent.taken.contains(&resume.request) => {
                answer(&resume.request, resume.offset)
            }
            _ => Vec::new(),
        }
    }

    fn at_handover(&mut self, place: usize, handover: &messages::Handover) -> Vec<Body> {
        let agent = &mut self.agents[place];
        let request = handover.request.clone();
        let first = agent.live.get(&handover.grant) == Some(&request);
        let taken = agent.taken.contains(&request) || first;
        let mut replies = vec![Body::HandoverAck(messages::HandoverAck {
            request: request.clone(),
            taken,
            reason: String::new(),
        })];
        if first && agent.taken.insert(request.clone()) {
            agent.live.remove(&handover.grant);
            *self.runs.entry(request.clone()).or_default() += 1;
            replies.extend(answer(&request, 0));
        }
        replies
    }

    /// Decides a claim as the log does: an equal claim is the asker's own, and another one is
    /// replaced only by its epoch.
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

    /// Delivers all that is under way, and lets every timer run out.
    fn settle_down(&mut self) {
        for _ in 0..600 {
            for flight in std::mem::take(&mut self.flights) {
                self.deliver(flight);
            }
            self.pass(Duration::from_millis(100));
        }
    }
}

fn check(world: &World) {
    let total: u32 = world.runs.values().sum();
    assert!(total <= 1, "{total} runs: {:?}", world.runs);
    for (place, harness) in world.requests.iter().enumerate() {
        let own = support::id_bytes(place as u128 + 1);
        let refusal = support::refusal(&harness.actions);
        if refusal.is_some_and(|refusal| refusal.outcome == reasons::Outcome::NotRun) {
            assert_eq!(
                world.runs.get(&own),
                None,
                "a request that is said not to have run"
            );
        }
        let got = support::data(&harness.actions);
        assert!(ANSWER.starts_with(&got), "a mixed answer");
        if support::is_finished(&harness.actions) {
            assert_eq!(got, ANSWER, "a part is passed on as whole");
        }
        let ends = harness.actions.iter().filter(|action| {
            matches!(
                action,
                CoreAction::Finish | CoreAction::Refuse(_) | CoreAction::Abort(_)
            )
        });
        assert_eq!(ends.count(), 1, "every request ends once");
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

    /// Guards against a second run, a false `not-run`, a wrong or truncated answer that is passed
    /// on as whole, and a request that never ends, whatever becomes of its messages.
    #[test]
    fn unkeyed_request_keeps_its_promises(steps in prop::collection::vec(steps(), 0..120)) {
        let mut world = World::new(None, 1);
        steps.iter().for_each(|step| world.step(step));
        world.settle_down();
        check(&world);
    }

    /// Guards against two runs of one key when a resend reaches another entry at the same time.
    #[test]
    fn requests_of_one_key_run_once(steps in prop::collection::vec(steps(), 0..160)) {
        let mut world = World::new(Some("k"), 2);
        steps.iter().for_each(|step| world.step(step));
        world.settle_down();
        check(&world);
    }
}

/// Guards against a world in which nothing ever runs, which would make the properties empty.
#[test]
fn world_without_faults_answers() {
    for (key, count) in [(None, 1), (Some("k"), 2)] {
        let mut world = World::new(key, count);
        world.settle_down();
        check(&world);
        assert_eq!(world.runs.values().sum::<u32>(), 1);
        let answered = world.requests.iter();
        let answered = answered.filter(|harness| support::is_finished(&harness.actions));
        assert!(answered.count() >= 1);
    }
}
