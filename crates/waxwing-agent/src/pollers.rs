//! Periodic polling of the endpoint (description, load, cache events), and short calls to it:
//! engine orders, KV cache export and cancellation.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;
use waxwing_core::clock::Clock;
use waxwing_wire::messages;

use crate::{endpoint, errors, events};

/// Interval between polls of the description. A failed endpoint is detected within this interval
/// and the timeout of a call.
const INFO_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between polls of load and cache events.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);

/// Attempts to get a cancellation confirmed. With the timeout of a call they last over a minute; an
/// endpoint that is silent for that long has lost its calls.
const CANCEL_ATTEMPTS: u32 = 30;

/// Delay between two such attempts.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time allowed for reading the rest of a cancelled call.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of an export, which delays the higher tier that needs the capacity.
const EXPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// The description of an endpoint, as returned by `GET /info`.
#[derive(Debug, Deserialize)]
#[serde(default)]
struct InfoResponse {
    kind: String,
    hardware: String,
    models: Vec<String>,
    services: Vec<String>,
    checks_fencing: bool,
    cache_tokens: u64,
    prefill_rate: f64,
    token_millis: f64,
}

impl Default for InfoResponse {
    fn default() -> Self {
        Self {
            kind: "plain".to_owned(),
            hardware: String::new(),
            models: Vec::new(),
            services: Vec::new(),
            checks_fencing: false,
            cache_tokens: 0,
            prefill_rate: 0.0,
            token_millis: 0.0,
        }
    }
}

impl InfoResponse {
    fn endpoint_info(self, role: &str) -> messages::EndpointInfo {
        let kind = match self.kind.as_str() {
            "engine" => messages::EndpointKind::Engine,
            _ => messages::EndpointKind::Plain,
        };
        let finite_or_zero = |number: f64| {
            if number.is_finite() {
                number.max(0.0)
            } else {
                0.0
            }
        };
        messages::EndpointInfo {
            kind: kind as i32,
            role: role.to_owned(),
            hardware: self.hardware,
            models: self.models,
            services: self.services,
            checks_fencing: self.checks_fencing,
            cache_tokens: self.cache_tokens,
            prefill_rate: finite_or_zero(self.prefill_rate),
            token_millis: finite_or_zero(self.token_millis),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct LoadResponse {
    running: u32,
    waiting: u32,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct EventsResponse {
    next: u64,
    events: Vec<CacheEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CacheEvent {
    number: u64,
    kind: String,
    hashes: Vec<u64>,
}

/// Polls one endpoint and reports to the core.
#[derive(Debug)]
pub(crate) struct PollTask<C> {
    pub(crate) client: endpoint::EndpointClient<C>,
    pub(crate) role: String,
    pub(crate) core_sender: mpsc::Sender<events::AgentInput>,
    pub(crate) clock: C,
}

impl<C: Clock> PollTask<C> {
    pub(crate) async fn run(self) {
        let mut after = 0;
        let mut since_info = INFO_INTERVAL;
        let mut engine = false;
        while !self.core_sender.is_closed() {
            if since_info >= INFO_INTERVAL {
                since_info = Duration::ZERO;
                engine = self.poll_info().await;
            }
            if engine {
                self.poll_load().await;
                after = self.poll_events(after).await;
            }
            self.clock.sleep(LOAD_INTERVAL).await;
            since_info += LOAD_INTERVAL;
        }
    }

    async fn send_input(&self, input: events::AgentInput) {
        // A closed input queue means that the process is ending.
        let _ = self.core_sender.send(input).await;
    }

    async fn get<T: for<'de> Deserialize<'de>>(&self, path: &str) -> Result<T, errors::CallError> {
        let value = self.client.call_json(Method::GET, path, None).await?;
        Ok(serde_json::from_value(value)?)
    }

    /// Polls the description; returns whether the endpoint responded and is a model engine.
    async fn poll_info(&self) -> bool {
        match self.get::<InfoResponse>("/info").await {
            Ok(response) => {
                let info = response.endpoint_info(&self.role);
                let engine = info.kind == messages::EndpointKind::Engine as i32;
                self.send_input(events::AgentInput::Info(info)).await;
                engine
            }
            Err(error) => {
                tracing::debug!(%error, "endpoint description could not be polled");
                self.send_input(events::AgentInput::EndpointDown).await;
                false
            }
        }
    }

    async fn poll_load(&self) {
        if let Ok(load) = self.get::<LoadResponse>("/load").await {
            let (running, waiting) = (load.running, load.waiting);
            self.send_input(events::AgentInput::Load { running, waiting })
                .await;
        }
    }

    async fn poll_events(&self, after: u64) -> u64 {
        let path = format!("/events?after={after}");
        let Ok(response) = self.get::<EventsResponse>(&path).await else {
            return after;
        };
        let changes = response
            .events
            .into_iter()
            .map(|event| events::CacheChange {
                number: event.number,
                stored: event.kind == "stored",
                hashes: event.hashes,
            });
        let changes: Vec<_> = changes.collect();
        if !changes.is_empty() {
            self.send_input(events::AgentInput::CacheChanges(changes))
                .await;
        }
        response.next
    }
}

fn order_kind_name(kind: i32) -> Option<&'static str> {
    match messages::OrderKind::try_from(kind).ok()? {
        messages::OrderKind::LoadModel => Some("load-model"),
        messages::OrderKind::UnloadModel => Some("unload-model"),
        messages::OrderKind::LoadAdapter => Some("load-adapter"),
        messages::OrderKind::ChangeRole => Some("change-role"),
        _ => None,
    }
}

/// Sends an order to the engine and returns the outcome.
pub(crate) async fn send_order<C: Clock>(
    client: endpoint::EndpointClient<C>,
    order: messages::Order,
) -> events::OrderOutcome {
    let Some(kind) = order_kind_name(order.kind) else {
        return events::OrderOutcome::Failed("the kind of the order is not known".to_owned());
    };
    let body = json!({
        "fencing": order.fencing,
        "order": order.order,
        "kind": kind,
        "target": order.target,
        "version": order.target_version,
    });
    match client.call_json(Method::POST, "/orders", Some(body)).await {
        Ok(_) => events::OrderOutcome::Done,
        Err(errors::CallError::Status(409)) => events::OrderOutcome::Fenced,
        Err(error) => events::OrderOutcome::Failed(error.to_string()),
    }
}

/// Exports the KV cache of a running call; `None` if the engine can't, or not in time.
pub(crate) async fn export_kv<C: Clock>(
    client: &endpoint::EndpointClient<C>,
    request_id: &str,
) -> Option<Bytes> {
    let body = json!({"request_id": request_id});
    let exported = client.call_bytes(Method::POST, "/kv/export", Some(body), EXPORT_TIMEOUT);
    exported.await.ok()
}

/// Cancels a call at the engine and retries up to [`CANCEL_ATTEMPTS`] times until the engine
/// confirms. Closing the connection would cancel it as well, but the engine may not notice if the
/// connection has gone silent. What the engine sent before the cancellation is still read, since
/// the call may have completed by itself.
pub(crate) async fn cancel_call<C: Clock>(
    client: &endpoint::EndpointClient<C>,
    request_id: &str,
    control: Option<endpoint::RunControl>,
) {
    let mut control = control;
    for _ in 0..CANCEL_ATTEMPTS {
        let body = json!({"request_id": request_id});
        match client.call_json(Method::POST, "/cancel", Some(body)).await {
            Ok(_) | Err(errors::CallError::Status(_)) => {
                if let Some(control) = control {
                    client.drain_and_stop(control, DRAIN_TIMEOUT).await;
                }
                return;
            }
            Err(error) => tracing::debug!(%error, "endpoint did not confirm a cancellation"),
        }
        if let Some(control) = control.take() {
            control.stop();
        }
        client.wait(CANCEL_RETRY_DELAY).await;
    }
}
