//! The agent over loopback sockets, with a minimal fake engine.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, StreamBody, combinators::BoxBody};
use hyper::{Request, Response, body, body::Frame, server::conn::http1, service};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net, sync::mpsc, task};
use tokio_util::sync::CancellationToken;
use waxwing_agent::{BoundAgent, options};
use waxwing_core::{clock, counters, ids};
use waxwing_wire::{links, messages, security};

type Reply = Response<BoxBody<Bytes, Infallible>>;

fn event(content: &str) -> String {
    let delta = json!({"choices": [{"index": 0, "delta": {"content": content}}]});
    format!("data: {delta}\n\n")
}

/// Streams five tokens; with `slow`, the third one comes 300 ms late.
fn stream(slow: bool) -> Reply {
    let (sender, mut receiver) = mpsc::channel::<Bytes>(8);
    task::spawn(async move {
        for token in 0..5 {
            if slow && token == 2 {
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            if sender
                .send(Bytes::from(event(&format!("t{token} "))))
                .await
                .is_err()
            {
                return;
            }
        }
        let usage = json!({"choices": [], "usage": {"prompt_tokens": 4, "completion_tokens": 5}});
        let last = format!("data: {usage}\n\ndata: [DONE]\n\n");
        let _ = sender.send(Bytes::from(last)).await;
    });
    let frames = futures_util::stream::poll_fn(move |context| {
        let next = receiver.poll_recv(context);
        next.map(|data| data.map(|data| Ok::<_, Infallible>(Frame::data(data))))
    });
    Response::new(BoxBody::new(StreamBody::new(frames)))
}

fn plain(value: &Value) -> Reply {
    Response::new(BoxBody::new(Full::new(Bytes::from(value.to_string()))))
}

async fn answer(request: Request<body::Incoming>) -> Result<Reply, Infallible> {
    let path = request.uri().path().to_owned();
    let content = request.into_body().collect().await;
    let content = content
        .map(|content| content.to_bytes())
        .unwrap_or_default();
    Ok(match path.as_str() {
        "/info" => plain(&json!({
            "kind": "engine", "hardware": "h1", "models": ["m"], "services": [],
            "checks_fencing": false, "cache_tokens": 100_000, "prefill_rate": 4000.0,
            "token_millis": 5.0, "block_tokens": 16,
        })),
        "/v1/chat/completions" if content.windows(3).any(|part| part == b"odd") => {
            let mut reply = plain(&json!({"error": "trouble"}));
            *reply.status_mut() = hyper::StatusCode::from_u16(999).expect("three digits");
            reply
        }
        "/v1/chat/completions" => stream(content.windows(4).any(|part| part == b"slow")),
        "/events" => plain(&json!({"next": 0, "events": []})),
        _ => plain(&json!({})),
    })
}

async fn fake_engine() -> SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let serving = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service::service_fn(answer));
            task::spawn(serving);
        }
    });
    address
}

async fn bound_agent(engine: SocketAddr) -> BoundAgent<clock::SystemClock> {
    let text = format!(
        r#"{{
            // The port is chosen by the system.
            "name": "a1", "data_centre": "d1", "region": "r1", "link_address": "127.0.0.1:0",
            "endpoint": "http://{engine}", "role": "chat"
        }}"#
    );
    let options: options::AgentOptions =
        waxwing_settings::files::parse("test", &text).expect("valid options");
    waxwing_agent::bind(options, clock::SystemClock)
        .await
        .expect("bound")
}

async fn entry_link(address: SocketAddr) -> links::Link {
    let hello = messages::Hello {
        kind: messages::ProcessKind::Entry as i32,
        name: "e1".to_owned(),
        incarnation: 1,
        data_centre: "d1".to_owned(),
    };
    let options = links::LinkOptions::default();
    let plain = security::LinkSecurity::Plain;
    links::connect(address, hello, options, plain, clock::SystemClock)
        .await
        .expect("a link")
}

/// Receives messages until `wanted` returns a value for one, and returns that value.
async fn next<T>(link: &mut links::Link, mut wanted: impl FnMut(messages::Body) -> Option<T>) -> T {
    loop {
        let body = link.receiver.recv().await.expect("an open link").body;
        if let Some(found) = body.and_then(&mut wanted) {
            return found;
        }
    }
}

async fn ready(link: &mut links::Link) {
    next(link, |body| match body {
        messages::Body::Report(report) if !report.draining => Some(()),
        _ => None,
    })
    .await;
}

async fn granted(link: &mut links::Link, request: ids::RequestId) -> messages::Grant {
    let offer = messages::Offer {
        request: request.to_bytes().to_vec(),
        account: "shop".to_owned(),
        weight_millis: 1_000,
        model: "m".to_owned(),
        prompt_tokens: 4,
        output_tokens: 5,
        deadline_millis: 30_000,
        idempotent: true,
        ..messages::Offer::default()
    };
    link.sender
        .send(0, messages::Body::Offer(offer))
        .await
        .expect("sent");
    next(link, |body| match body {
        messages::Body::Grant(grant) => Some(grant),
        _ => None,
    })
    .await
}

async fn hand_over(link: &mut links::Link, request: ids::RequestId, text: &str, streams: bool) {
    let grant = granted(link, request).await;
    let body = json!({
        "model": "m", "stream": streams, "messages": [{"role": "user", "content": text}],
    });
    let handover = messages::Handover {
        request: request.to_bytes().to_vec(),
        grant: grant.grant,
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        body: Bytes::from(body.to_string()),
        deadline_millis: 30_000,
        ..messages::Handover::default()
    };
    link.sender
        .send(7, messages::Body::Handover(handover))
        .await
        .expect("sent");
    let taken = next(link, |body| match body {
        messages::Body::HandoverAck(ack) => Some(ack.taken),
        _ => None,
    });
    assert!(taken.await, "the handover of a live grant was refused");
}

async fn acknowledge(link: &links::Link, request: ids::RequestId, length: usize) {
    let ack = messages::AnswerAck {
        request: request.to_bytes().to_vec(),
        offset: length as u64,
    };
    let body = messages::Body::AnswerAck(ack);
    link.sender.send(0, body).await.expect("sent");
}

/// Collects an answer and checks offsets, length and checksum.
async fn complete_answer(link: &mut links::Link, mut received: Vec<u8>) -> Vec<u8> {
    loop {
        let chunk = next(link, |body| match body {
            messages::Body::AnswerChunk(chunk) => Some(chunk),
            _ => None,
        })
        .await;
        assert_eq!(
            chunk.offset,
            received.len() as u64,
            "a chunk has the wrong offset"
        );
        received.extend_from_slice(&chunk.data);
        if let Some(end) = chunk.end {
            assert!(end.whole, "the answer is incomplete: {}", end.reason);
            assert_eq!(end.total_bytes, received.len() as u64);
            assert_eq!(end.checksum, crc32c::crc32c(&received));
            return received;
        }
    }
}

/// Guards against lost or reordered events on the way from the engine to the entry.
#[tokio::test]
async fn stream_arrives_complete() {
    let agent = bound_agent(fake_engine().await).await;
    let (address, counters) = (agent.address(), agent.counters());
    let shutdown = CancellationToken::new();
    let running = task::spawn(agent.run(shutdown.clone()));
    let mut link = entry_link(address).await;
    ready(&mut link).await;
    hand_over(&mut link, ids::RequestId(1), "hello", true).await;
    let received = complete_answer(&mut link, Vec::new()).await;
    let text = String::from_utf8(received).expect("text");
    let expected: String = (0..5).map(|token| event(&format!("t{token} "))).collect();
    assert!(text.starts_with(&expected), "unexpected stream: {text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "unexpected end: {text}");
    assert_eq!(counters.event(counters::CounterEvent::Dispatches), 1);
    acknowledge(&link, ids::RequestId(1), text.len()).await;
    shutdown.cancel();
    running.await.expect("joined").expect("ended well");
}

/// Guards against sending events to a caller that did not ask for a stream.
#[tokio::test]
async fn object_is_assembled() {
    let agent = bound_agent(fake_engine().await).await;
    let address = agent.address();
    task::spawn(agent.run(CancellationToken::new()));
    let mut link = entry_link(address).await;
    ready(&mut link).await;
    hand_over(&mut link, ids::RequestId(2), "hello", false).await;
    let received = complete_answer(&mut link, Vec::new()).await;
    let object: Value = serde_json::from_slice(&received).expect("one object");
    assert_eq!(object["object"], "chat.completion");
    assert_eq!(
        object["choices"][0]["message"]["content"],
        "t0 t1 t2 t3 t4 "
    );
    assert_eq!(object["usage"]["completion_tokens"], 5);
}

/// Guards against an answer whose status is no status of HTTP and that reaches its caller as a whole one.
#[tokio::test]
async fn answer_without_a_final_status_is_incomplete() {
    let agent = bound_agent(fake_engine().await).await;
    let address = agent.address();
    task::spawn(agent.run(CancellationToken::new()));
    let mut link = entry_link(address).await;
    ready(&mut link).await;
    hand_over(&mut link, ids::RequestId(5), "odd", false).await;
    let end = next(&mut link, |body| match body {
        messages::Body::AnswerHead(head) => panic!("an answer with status {}", head.status),
        messages::Body::AnswerChunk(chunk) => chunk.end,
        _ => None,
    })
    .await;
    assert!(!end.whole);
}

/// Guards against bytes that are lost or duplicated when a link breaks in the middle of an answer.
#[tokio::test]
async fn answer_resumes_over_another_link() {
    let agent = bound_agent(fake_engine().await).await;
    let address = agent.address();
    task::spawn(agent.run(CancellationToken::new()));
    let mut link = entry_link(address).await;
    ready(&mut link).await;
    let request = ids::RequestId(3);
    hand_over(&mut link, request, "slow", true).await;
    let first = next(&mut link, |body| match body {
        messages::Body::AnswerChunk(chunk) => Some(chunk.data),
        _ => None,
    })
    .await;
    link.sender.close();
    let mut second = entry_link(address).await;
    let resume = messages::Resume {
        request: request.to_bytes().to_vec(),
        offset: first.len() as u64,
    };
    second
        .sender
        .send(0, messages::Body::Resume(resume))
        .await
        .expect("sent");
    let received = complete_answer(&mut second, first.to_vec()).await;
    assert!(received.ends_with(b"data: [DONE]\n\n"));
}

/// Guards against a shutdown that truncates a running answer, or accepts new work meanwhile.
#[tokio::test]
async fn shutdown_finishes_running_work() {
    let agent = bound_agent(fake_engine().await).await;
    let address = agent.address();
    let shutdown = CancellationToken::new();
    let running = task::spawn(agent.run(shutdown.clone()));
    let mut link = entry_link(address).await;
    ready(&mut link).await;
    hand_over(&mut link, ids::RequestId(4), "slow", true).await;
    shutdown.cancel();
    let received = complete_answer(&mut link, Vec::new()).await;
    assert!(received.ends_with(b"data: [DONE]\n\n"));
    acknowledge(&link, ids::RequestId(4), received.len()).await;
    running.await.expect("joined").expect("ended well");
}
