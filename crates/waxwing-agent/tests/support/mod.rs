//! A test harness that drives an `AgentCore` without sockets, on a simulated clock.

#![allow(dead_code, reason = "each test file uses only part of the harness")]

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

/// The link that every harness opens.
pub(crate) const LINK: LinkId = LinkId(1);

/// The incarnation of the agent under test.
pub(crate) const INCARNATION: u64 = 7;

/// An `AgentCore` with its clock and a log of all its outputs.
pub(crate) struct CoreHarness {
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

pub(crate) fn request_bytes(request: u128) -> Vec<u8> {
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

/// A small chat offer; tests override its fields.
pub(crate) fn offer(request: u128, rank: u32) -> messages::Offer {
    messages::Offer {
        request: request_bytes(request),
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

/// An offer of a non-idempotent call.
pub(crate) fn non_idempotent_offer(request: u128) -> messages::Offer {
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
        request: request_bytes(request),
        grant,
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        body: chat_body("hello", true),
        deadline_millis: 60_000,
        ..messages::Handover::default()
    }
}

impl CoreHarness {
    pub(crate) fn new() -> Self {
        Self::with(options::AgentLimits::default(), engine_info())
    }

    pub(crate) fn with(limits: options::AgentLimits, info: messages::EndpointInfo) -> Self {
        let now = Instant::now();
        let counters = counters::CounterSet::new();
        let incarnation = ids::Incarnation(INCARNATION);
        let mut harness = Self {
            core: AgentCore::new(incarnation, limits, counters.clone(), now),
            now,
            counters,
            log: Vec::new(),
        };
        harness.step(AgentInput::Info(info));
        harness.step(AgentInput::LinkOpened { link: LINK });
        harness
    }

    /// Passes an input to the core, and logs and returns its outputs.
    pub(crate) fn step(&mut self, input: AgentInput) -> Vec<AgentOutput> {
        let outputs = self.core.handle(self.now, input);
        self.log.extend(outputs.iter().cloned());
        outputs
    }

    /// Advances the clock in ticks of 20 ms.
    pub(crate) fn advance(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.now += Duration::from_millis(20);
            self.step(AgentInput::Tick);
        }
    }

    /// Passes a message of an entry to the core.
    pub(crate) fn receive(&mut self, body: Body) -> Vec<AgentOutput> {
        self.step(AgentInput::Message {
            link: LINK,
            correlation: 0,
            body,
        })
    }

    /// Removes the messages to entries for which `wanted` returns a value from the log, and returns
    /// these values.
    pub(crate) fn take_messages<T>(&mut self, wanted: impl Fn(&Body) -> Option<T>) -> Vec<T> {
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
        self.take_messages(|body| match body {
            Body::Grant(grant) => Some(grant.clone()),
            _ => None,
        })
    }

    pub(crate) fn take_refusals(&mut self) -> Vec<messages::OfferRefused> {
        self.take_messages(|body| match body {
            Body::OfferRefused(refused) => Some(refused.clone()),
            _ => None,
        })
    }

    pub(crate) fn take_acks(&mut self) -> Vec<messages::HandoverAck> {
        self.take_messages(|body| match body {
            Body::HandoverAck(ack) => Some(ack.clone()),
            _ => None,
        })
    }

    /// Offers a request that is granted at once, and returns the number of the grant.
    pub(crate) fn offer_granted(&mut self, offer: messages::Offer) -> u64 {
        self.receive(Body::Offer(offer));
        let grants = self.take_grants();
        assert_eq!(grants.len(), 1, "the offer was not granted at once");
        grants[0].grant
    }

    /// Offers a request, hands it over, and returns its run.
    pub(crate) fn start_request(&mut self, offer: messages::Offer) -> RunId {
        self.start_request_with(offer, |_| {})
    }

    pub(crate) fn start_request_with(
        &mut self,
        offer: messages::Offer,
        change: impl FnOnce(&mut messages::Handover),
    ) -> RunId {
        let request = ids::RequestId::from_slice(&offer.request).expect("an id");
        let grant = self.offer_granted(offer);
        let mut handover = handover(request.0, grant);
        change(&mut handover);
        self.receive(Body::Handover(handover));
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

    pub(crate) fn send_head(&mut self, run: RunId) {
        let headers = Vec::new();
        self.event(
            run,
            EndpointEvent::Head {
                status: 200,
                headers,
            },
        );
    }

    pub(crate) fn send_data(&mut self, run: RunId, text: &str) {
        self.event(run, EndpointEvent::Data(Bytes::from(text.to_owned())));
    }

    /// Sends token events of the engine, one every 40 ms.
    pub(crate) fn send_tokens(&mut self, run: RunId, range: std::ops::Range<u64>) {
        for index in range {
            self.advance(40);
            self.send_data(run, &token_event(index));
        }
    }

    /// Ends a stream with usage and `[DONE]`, as an engine does.
    pub(crate) fn finish_stream(&mut self, run: RunId, prompt: u64, cached: u64) {
        let usage = json!({"prompt_tokens": prompt, "completion_tokens": 9,
            "prompt_tokens_details": {"cached_tokens": cached}});
        let choice = json!({"index": 0, "delta": {}, "finish_reason": "stop"});
        let last = json!({"choices": [choice], "usage": usage});
        self.send_data(run, &format!("data: {last}\n\ndata: [DONE]\n\n"));
        self.event(run, EndpointEvent::Ended);
    }

    /// Reassembles the answer of a request, and checks the offset of each chunk and, of a complete
    /// answer, length and checksum.
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
            if chunk.request == request_bytes(request) {
                assert_eq!(
                    chunk.offset,
                    received.len() as u64,
                    "a chunk has the wrong offset"
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
        let request = request_bytes(request);
        self.receive(Body::Settle(messages::Settle {
            request,
            grant,
            incarnation,
        }));
        let settled = self.take_messages(|body| match body {
            Body::Settled(settled) => Some(settled.state()),
            _ => None,
        });
        settled[0]
    }
}
