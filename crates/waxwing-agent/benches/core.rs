//! The cost of the agent's decisions with a full engine, many ended answers and many waiting
//! offers: an offer that is withdrawn, and a token that is forwarded and acknowledged.

use std::{hint::black_box, time::Instant};

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use waxwing_agent::{
    events::{AgentInput, AgentOutput, EndpointEvent, LinkId, RunId},
    options,
    state::AgentCore,
};
use waxwing_core::{counters, ids};
use waxwing_wire::messages::{self, Body};

const LINK: LinkId = LinkId(1);

const TOKEN: &[u8] = b"data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token \"}}]}\n\n";

const LAST: &[u8] = b"data: [DONE]\n\n";

fn offer(request: u128) -> messages::Offer {
    messages::Offer {
        request: ids::RequestId(request).to_bytes().to_vec(),
        rank: (request % 5) as u32,
        account: format!("account-{}", request % 350),
        weight_millis: 1_000,
        model: "m".to_owned(),
        prompt_tokens: 1_500,
        output_tokens: 400,
        prefix_hashes: (0..24).collect(),
        deadline_millis: 3_600_000,
        idempotent: true,
        ..messages::Offer::default()
    }
}

/// An agent core under load, driven without I/O.
struct CoreBench {
    core: AgentCore,
    now: Instant,
}

impl CoreBench {
    fn receive(&mut self, body: Body) -> Vec<AgentOutput> {
        let correlation = 0;
        let input = AgentInput::Message {
            link: LINK,
            correlation,
            body,
        };
        self.core.handle(self.now, input)
    }

    fn event(&mut self, run: RunId, event: EndpointEvent) -> Vec<AgentOutput> {
        let input = AgentInput::Endpoint { run, event };
        self.core.handle(self.now, input)
    }

    /// Offers a request, hands it over, and returns its run.
    fn start_request(&mut self, request: u128, immediate: bool) -> Option<RunId> {
        let outputs = self.receive(Body::Offer(messages::Offer {
            immediate,
            ..offer(request)
        }));
        let grant = outputs.iter().find_map(|output| match output {
            AgentOutput::Send {
                body: Body::Grant(grant),
                ..
            } => Some(grant.grant),
            _ => None,
        })?;
        let text = r#"{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}"#;
        let outputs = self.receive(Body::Handover(messages::Handover {
            request: ids::RequestId(request).to_bytes().to_vec(),
            grant,
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
            body: Bytes::from_static(text.as_bytes()),
            deadline_millis: 3_600_000,
            ..messages::Handover::default()
        }));
        let run = outputs.iter().find_map(|output| match output {
            AgentOutput::Start { run, .. } => Some(*run),
            _ => None,
        })?;
        let headers = Vec::new();
        self.event(
            run,
            EndpointEvent::Head {
                status: 200,
                headers,
            },
        );
        Some(run)
    }

    /// Creates an agent with 600 ended answers, a full engine and `waiting` offers.
    fn busy(waiting: u128) -> (Self, RunId) {
        let now = Instant::now();
        let limits = options::AgentLimits::default();
        let counters = counters::CounterSet::new();
        let core = AgentCore::new(ids::Incarnation(1), limits, counters, now);
        let mut bench = Self { core, now };
        bench
            .core
            .handle(now, AgentInput::LinkOpened { link: LINK });
        let info = messages::EndpointInfo {
            kind: messages::EndpointKind::Engine as i32,
            models: vec!["m".to_owned()],
            cache_tokens: 65_536,
            prefill_rate: 4_000.0,
            token_millis: 40.0,
            ..messages::EndpointInfo::default()
        };
        bench.core.handle(now, AgentInput::Info(info));
        for request in 0..600 {
            let run = bench.start_request(request, true).expect("a run");
            bench.event(run, EndpointEvent::Data(Bytes::from_static(LAST)));
        }
        let runs: Vec<_> = (1_000..1_032)
            .filter_map(|request| bench.start_request(request, true))
            .collect();
        for request in 0..waiting {
            bench.receive(Body::Offer(offer(10_000 + request)));
        }
        (bench, runs[0])
    }
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("agent-core");
    for waiting in [0_u128, 136, 3_400] {
        let (mut bench, run) = CoreBench::busy(waiting);
        let mut next = 1_000_000;
        group.bench_function(BenchmarkId::new("offer-and-withdraw", waiting), |bencher| {
            bencher.iter(|| {
                next += 1;
                let mut outputs = bench.receive(Body::Offer(offer(next)));
                let request = ids::RequestId(next).to_bytes().to_vec();
                outputs.extend(bench.receive(Body::Withdraw(messages::Withdraw { request })));
                black_box(outputs)
            });
        });
        let request = ids::RequestId(1_000).to_bytes().to_vec();
        let mut offset = 0;
        group.bench_function(BenchmarkId::new("token-and-ack", waiting), |bencher| {
            bencher.iter(|| {
                let data = EndpointEvent::Data(Bytes::from_static(TOKEN));
                let mut outputs = bench.event(run, data);
                offset += TOKEN.len() as u64;
                let request = request.clone();
                let ack = messages::AnswerAck { request, offset };
                outputs.extend(bench.receive(Body::AnswerAck(ack)));
                black_box(outputs)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
