//! A bench that steps an `AgentCore` without sockets and with its own clock.

#![allow(dead_code, reason = "each test file uses its own part of the bench")]

use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::json;
use waxwing_agent::{
    events::{AgentInput, AgentOutput, EndpointCall, EndpointEvent, LinkId, RunId},
    options,
    state::AgentCore,
};
use waxwing_core::{counters, ids};
use waxwing_wire::messages::{self, Body};

/// The link that every bench opens.
pub(crate) const LINK: LinkId = LinkId(1);

/// The incarnation of the agent on a bench.
pub(crate) const INCARNATION: u64 = 7;

/// A `Bench` holds a core, its clock, and everything it has put out.
pub(crate) struct Bench {
    pub(crate) core: AgentCore,
    pub(crate) now: Instant,
    pub(crate) counters: counters::CounterSet,
    pub(crate) log: Vec<AgentOutput>,
}

pub(crate) fn engine_info() -> messages::EndpointInfo {
    messages::EndpointInfo {
        kind: messages::EndpointKind::Engine as i32,
        models: vec!["m".to_owned()],
        cache_tokens: 65_536,
        prefill_rate: 4_000.0,
        token_millis: 40.0,
        ..messages::EndpointInfo::default()
    }
}

pub(crate) fn plain_info() -> messages::EndpointInfo {
    messages::EndpointInfo {
        kind: messages::EndpointKind::Plain as i32,
        services: vec!["register".to_owned()],
        ..messages::EndpointInfo::default()
    }
}

pub(crate) fn bytes_of(request: u128) -> Vec<u8> {
    ids::RequestId(request).to_bytes().to_vec()
}

pub(crate) fn chat_body(text: &str, stream: bool) -> Bytes {
    let chat =
        json!({"model": "m", "stream": stream, "messages": [{"role": "user", "content": text}]});
    Bytes::from(chat.to_string())
}

pub(crate) fn token_event(index: u64) -> String {
    let chunk = json!({"choices": [{"index": 0, "delta": {"content": format!("t{index} ")}}]});
    format!("data: {chunk}\n\n")
}

/// An offer of a one-line question; fields are changed by the test.
pub(crate) fn offer(request: u128, rank: u32) -> messages::Offer {
    messages::Offer {
        request: bytes_of(request),
        rank,
        account: "shop".to_owned(),
        weight_millis: 1_000,
        model: "m".to_owned(),
        prompt_tokens: 100,
        output_tokens: 50,
        deadline_millis: 60_000,
        idempotent: true,
        ..messages::Offer::default()
    }
}

/// An offer of a call that must not run twice.
pub(crate) fn order_offer(request: u128) -> messages::Offer {
    messages::Offer {
        model: String::new(),
        service: "register".to_owned(),
        prompt_tokens: 0,
        output_tokens: 0,
        idempotent: false,
        ..offer(request, 0)
    }
}

pub(crate) fn handover(request: u128, grant: u64) -> messages::Handover {
    messages::Handover {
        request: bytes_of(request),
        grant,
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        body: chat_body("hello", true),
        deadline_millis: 60_000,
        ..messages::Handover::default()
    }
}

impl Bench {
    pub(crate) fn new() -> Self {
        Self::with(options::AgentLimits::default(), engine_info())
    }

    pub(crate) fn with(limits: options::AgentLimits, info: messages::EndpointInfo) -> Self {
        let now = Instant::now();
        let counters = counters::CounterSet::new();
        let incarnation = ids::Incarnation(INCARNATION);
        let mut bench = Self {
            core: AgentCore::new(incarnation, limits, counters.clone(), now),
            now,
            counters,
            log: Vec::new(),
        };
        bench.step(AgentInput::Info(info));
        bench.step(AgentInput::LinkOpened { link: LINK });
        bench
    }

    /// Gives an input to the core and returns what it puts out.
    pub(crate) fn step(&mut self, input: AgentInput) -> Vec<AgentOutput> {
        let outputs = self.core.handle(self.now, input);
        self.log.extend(outputs.iter().cloned());
        outputs
    }

    /// Lets time pass in steps of a tick.
    pub(crate) fn wait(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.now += Duration::from_millis(20);
            self.step(AgentInput::Tick);
        }
    }

    pub(crate) fn say(&mut self, body: Body) -> Vec<AgentOutput> {
        self.step(AgentInput::Message {
            link: LINK,
            correlation: 0,
            body,
        })
    }

    /// Takes the messages to entries out of the log for which `wanted` gives something.
    pub(crate) fn take<T>(&mut self, wanted: impl Fn(&Body) -> Option<T>) -> Vec<T> {
        let mut taken = Vec::new();
        self.log.retain(|output| match output {
            AgentOutput::Send { body, .. } => match wanted(body) {
                Some(found) => {
                    taken.push(found);
                    false
                }
                None => true,
            },
            _ => true,
        });
        taken
    }

    pub(crate) fn take_grants(&mut self) -> Vec<messages::Grant> {
        self.take(|body| match body {
            Body::Grant(grant) => Some(grant.clone()),
            _ => None,
        })
    }

    pub(crate) fn take_refusals(&mut self) -> Vec<messages::OfferRefused> {
        self.take(|body| match body {
            Body::OfferRefused(refused) => Some(refused.clone()),
            _ => None,
        })
    }

    pub(crate) fn take_acks(&mut self) -> Vec<messages::HandoverAck> {
        self.take(|body| match body {
            Body::HandoverAck(ack) => Some(ack.clone()),
            _ => None,
        })
    }

    /// Offers a request and returns the number of the grant.
    pub(crate) fn granted(&mut self, offer: messages::Offer) -> u64 {
        self.say(Body::Offer(offer));
        let grants = self.take_grants();
        assert_eq!(grants.len(), 1, "the offer was not granted at once");
        grants[0].grant
    }

    /// Brings a request to the endpoint and returns its run.
    pub(crate) fn admit(&mut self, offer: messages::Offer) -> RunId {
        self.admit_with(offer, |_| {})
    }

    pub(crate) fn admit_with(
        &mut self,
        offer: messages::Offer,
        change: impl FnOnce(&mut messages::Handover),
    ) -> RunId {
        let request = ids::RequestId::from_slice(&offer.request).expect("an id");
        let grant = self.granted(offer);
        let mut handover = handover(request.0, grant);
        change(&mut handover);
        self.say(Body::Handover(handover));
        let (run, _) = self.last_start().expect("a call was started");
        run
    }

    /// Returns the last call that was started.
    pub(crate) fn last_start(&self) -> Option<(RunId, EndpointCall)> {
        let starts = self.starts();
        starts.last().cloned()
    }

    /// Returns every call that was started.
    pub(crate) fn starts(&self) -> Vec<(RunId, EndpointCall)> {
        let starts = self.log.iter().filter_map(|output| match output {
            AgentOutput::Start { run, call } => Some((*run, call.clone())),
            _ => None,
        });
        starts.collect()
    }

    pub(crate) fn stops(&self) -> Vec<RunId> {
        let stops = self.log.iter().filter_map(|output| match output {
            AgentOutput::Stop { run, .. } => Some(*run),
            _ => None,
        });
        stops.collect()
    }

    pub(crate) fn event(&mut self, run: RunId, event: EndpointEvent) {
        self.step(AgentInput::Endpoint { run, event });
    }

    pub(crate) fn head(&mut self, run: RunId) {
        let headers = Vec::new();
        self.event(
            run,
            EndpointEvent::Head {
                status: 200,
                headers,
            },
        );
    }

    pub(crate) fn data(&mut self, run: RunId, text: &str) {
        self.event(run, EndpointEvent::Data(Bytes::from(text.to_owned())));
    }

    /// Lets the engine produce tokens, one each 40 ms.
    pub(crate) fn tokens(&mut self, run: RunId, range: std::ops::Range<u64>) {
        for index in range {
            self.wait(40);
            self.data(run, &token_event(index));
        }
    }

    /// Ends a stream as an engine does.
    pub(crate) fn finish(&mut self, run: RunId, prompt: u64, cached: u64) {
        let usage = json!({"prompt_tokens": prompt, "completion_tokens": 9,
            "prompt_tokens_details": {"cached_tokens": cached}});
        let choice = json!({"index": 0, "delta": {}, "finish_reason": "stop"});
        let last = json!({"choices": [choice], "usage": usage});
        self.data(run, &format!("data: {last}\n\ndata: [DONE]\n\n"));
        self.event(run, EndpointEvent::Ended);
    }

    /// Puts the answer of a request together and checks that no byte is missing or out of place.
    pub(crate) fn answer(&self, request: u128) -> (Vec<u8>, Option<messages::AnswerEnd>) {
        let mut received = Vec::new();
        let mut end = None;
        for output in &self.log {
            let AgentOutput::Send {
                body: Body::AnswerChunk(chunk),
                ..
            } = output
            else {
                continue;
            };
            if chunk.request == bytes_of(request) {
                assert_eq!(
                    chunk.offset,
                    received.len() as u64,
                    "a chunk is out of place"
                );
                received.extend_from_slice(&chunk.data);
                end = chunk.end.clone().or(end);
            }
        }
        if let Some(end) = end.as_ref().filter(|end| end.whole) {
            assert_eq!(
                end.total_bytes,
                received.len() as u64,
                "the length is wrong"
            );
            assert_eq!(
                end.checksum,
                crc32c::crc32c(&received),
                "the checksum is wrong"
            );
        }
        (received, end)
    }

    pub(crate) fn settle(
        &mut self,
        request: u128,
        grant: u64,
        incarnation: u64,
    ) -> messages::SettledState {
        let request = bytes_of(request);
        self.say(Body::Settle(messages::Settle {
            request,
            grant,
            incarnation,
        }));
        let settled = self.take(|body| match body {
            Body::Settled(settled) => Some(settled.state()),
            _ => None,
        });
        settled[0]
    }
}
