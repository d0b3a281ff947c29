//! Calls to the endpoint over HTTP/1.1. Each call uses its own connection: closing it cancels the
//! call, and a failed connect proves that the endpoint received nothing.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Method, Request, Response,
    body::{Body as _, Incoming},
    client::conn::http1,
    header,
};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{
    net,
    sync::{mpsc, watch},
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};
use waxwing_core::clock::Clock;
use waxwing_wire::messages;

use crate::{errors, events};

/// Timeout for connecting to the endpoint, which runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a short call, such as a poll or a cancellation.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum response size of a short call, in bytes.
const MAX_SHORT_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Hop-by-hop and framing headers, which are not forwarded.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

type Sender = http1::SendRequest<Full<Bytes>>;

/// HTTP client of one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct EndpointClient<C> {
    address: SocketAddr,
    clock: C,
}

/// Handle to pause or stop a call in progress.
#[derive(Debug)]
pub(crate) struct RunControl {
    stop: CancellationToken,
    pause: watch::Sender<bool>,
}

impl RunControl {
    pub(crate) fn stop(&self) {
        self.stop.cancel();
    }

    /// Returns whether the task of the call has ended.
    pub(crate) fn is_ended(&self) -> bool {
        self.pause.is_closed()
    }

    pub(crate) fn pause(&self, paused: bool) {
        self.pause.send_replace(paused);
    }
}

fn is_connection_header(name: &str) -> bool {
    CONNECTION_HEADERS.contains(&name)
}

async fn with_timeout<C: Clock, F: Future>(
    clock: &C,
    limit: Duration,
    work: F,
) -> Result<F::Output, errors::CallError> {
    tokio::select! {
        output = work => Ok(output),
        () = clock.sleep(limit) => Err(errors::CallError::Timeout),
    }
}

impl<C: Clock> EndpointClient<C> {
    pub(crate) fn new(address: SocketAddr, clock: C) -> Self {
        Self { address, clock }
    }

    /// Lets a cancelled call read for up to `limit` what the engine still sends, then stops it.
    pub(crate) async fn drain_and_stop(&self, control: RunControl, limit: Duration) {
        tokio::select! {
            () = control.pause.closed() => {}
            () = self.clock.sleep(limit) => {}
        }
        control.stop();
    }

    pub(crate) async fn wait(&self, length: Duration) {
        self.clock.sleep(length).await;
    }

    async fn connect(&self) -> Result<(Sender, AbortOnDropHandle<()>), errors::CallError> {
        let connecting = net::TcpStream::connect(self.address);
        let stream = with_timeout(&self.clock, CONNECT_TIMEOUT, connecting).await?;
        let stream = stream.map_err(errors::CallError::Connect)?;
        stream
            .set_nodelay(true)
            .map_err(errors::CallError::Connect)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = tokio::spawn(async move {
            // Connection errors surface as errors of the request or of the response body.
            let _ = connection.await;
        });
        Ok((sender, AbortOnDropHandle::new(task)))
    }

    /// Makes a short call and parses the response as JSON; an empty response is `null`.
    pub(crate) async fn call_json(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Value, errors::CallError> {
        let content = self
            .call_bytes(method, path, body, SHORT_CALL_TIMEOUT)
            .await?;
        match content.is_empty() {
            true => Ok(Value::Null),
            false => Ok(serde_json::from_slice(&content)?),
        }
    }

    /// Makes a short call within `limit` and returns the response body.
    pub(crate) async fn call_bytes(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
        limit: Duration,
    ) -> Result<Bytes, errors::CallError> {
        let content = body.map_or_else(Bytes::new, |body| Bytes::from(body.to_string()));
        let work = self.exchange(method, path, content);
        with_timeout(&self.clock, limit, work).await?
    }

    /// Imports a KV cache into the engine. On failure the engine only has to recompute it.
    async fn import(&self, kv: Bytes) {
        let work = self.exchange(Method::POST, "/kv/import", kv);
        if let Ok(Err(error)) = with_timeout(&self.clock, SHORT_CALL_TIMEOUT, work).await {
            tracing::debug!(%error, "KV cache import failed");
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        content: Bytes,
    ) -> Result<Bytes, errors::CallError> {
        let (mut sender, _connection) = self.connect().await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(content))?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let limited = Limited::new(response.into_body(), MAX_SHORT_RESPONSE_BYTES);
        let collected = limited.collect().await;
        let content =
            collected.map_err(|_| errors::CallError::TooLong(MAX_SHORT_RESPONSE_BYTES))?;
        if !status.is_success() {
            return Err(errors::CallError::Status(status.as_u16()));
        }
        Ok(content.to_bytes())
    }

    /// Starts a call, whose events go to `core_sender` until it ends or is stopped.
    pub(crate) fn start(
        &self,
        run: events::RunId,
        call: events::EndpointCall,
        core_sender: mpsc::Sender<events::AgentInput>,
    ) -> RunControl {
        let (pause, paused) = watch::channel(false);
        let stop = CancellationToken::new();
        let control = RunControl {
            stop: stop.clone(),
            pause,
        };
        let task = RunTask {
            client: self.clone(),
            run,
            core_sender,
            paused,
        };
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task.execute(call) => {}
            }
        });
        control
    }
}

/// Performs one call and reports its events to the core.
struct RunTask<C> {
    client: EndpointClient<C>,
    run: events::RunId,
    core_sender: mpsc::Sender<events::AgentInput>,
    paused: watch::Receiver<bool>,
}

impl<C: Clock> RunTask<C> {
    async fn send_event(&self, event: events::EndpointEvent) {
        let run = self.run;
        let input = events::AgentInput::Endpoint { run, event };
        // The core outlives its runs; a closed input queue means that the process is ending.
        let _ = self.core_sender.send(input).await;
    }

    async fn execute(mut self, call: events::EndpointCall) {
        let last = self.exchange(call).await;
        self.send_event(last).await;
    }

    async fn exchange(&mut self, mut call: events::EndpointCall) -> events::EndpointEvent {
        if let Some(kv) = call.import.take() {
            self.client.import(kv).await;
        }
        let Ok(request) = build_request(&self.client, call) else {
            return events::EndpointEvent::NotSent;
        };
        let Ok((mut sender, _connection)) = self.client.connect().await else {
            return events::EndpointEvent::NotSent;
        };
        match sender.send_request(request).await {
            Ok(response) => self.read(response).await,
            Err(_) => events::EndpointEvent::Failed,
        }
    }

    async fn read(&mut self, response: Response<Incoming>) -> events::EndpointEvent {
        let status = response.status().as_u16();
        // The HTTP client also passes on 101, which switches the protocol, and numbers from 600 up.
        if !(200..600).contains(&status) {
            return events::EndpointEvent::Failed;
        }
        let chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
        let headers = header_fields(response.headers());
        self.send_event(events::EndpointEvent::Head { status, headers })
            .await;
        let mut body = response.into_body();
        // Without a length or chunked encoding, the end of the body looks like a lost connection.
        let framed = chunked || body.size_hint().exact().is_some();
        loop {
            let proceed = self.paused.wait_for(|paused| !*paused).await.is_ok();
            match body.frame().await.filter(|_| proceed) {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.send_event(events::EndpointEvent::Data(data)).await;
                    }
                }
                Some(Err(_)) => return events::EndpointEvent::Failed,
                None if framed => return events::EndpointEvent::Ended,
                None => return events::EndpointEvent::Failed,
            }
        }
    }
}

fn build_request<C>(
    client: &EndpointClient<C>,
    call: events::EndpointCall,
) -> Result<Request<Full<Bytes>>, errors::CallError> {
    let mut builder = Request::builder()
        .method(call.method.as_str())
        .uri(call.path.as_str())
        .header(header::HOST, client.address.to_string())
        .header("x-request-id", call.request_id);
    for field in &call.headers {
        if !is_connection_header(&field.name) && field.name != "x-request-id" {
            builder = builder.header(field.name.as_str(), field.value.as_slice());
        }
    }
    Ok(builder.body(Full::new(call.body))?)
}

fn header_fields(headers: &header::HeaderMap) -> Vec<messages::HeaderField> {
    let kept = headers
        .iter()
        .filter(|(name, _)| !is_connection_header(name.as_str()));
    kept.map(|(name, value)| messages::HeaderField {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    })
    .collect()
}
