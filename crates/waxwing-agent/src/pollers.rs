//! What the agent asks its endpoint for at intervals: its description, its load, its cache events;
//! and the orders that it passes on.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;
use waxwing_core::clock::Clock;
use waxwing_wire::messages;

use crate::{endpoint, errors, events};

/// The time between descriptions; a failed endpoint is found within this time and a call limit.
const INFO_INTERVAL: Duration = Duration::from_secs(1);

/// The time between load reports and cache events.
const CACHE_INTERVAL: Duration = Duration::from_millis(250);

/// Attempts to have a cancellation confirmed; with the limit of a call they last over a minute,
/// and an endpoint that is silent for so long has lost its calls.
const CANCEL_ATTEMPTS: u32 = 30;

/// The pause between two attempts.
const CANCEL_PAUSE: Duration = Duration::from_millis(200);

/// The time in which the rest of a cancelled call is read.
const DRAIN_LIMIT: Duration = Duration::from_millis(200);

/// The time allowed for an export, which holds back the higher tier that needs the room.
const EXPORT_LIMIT: Duration = Duration::from_millis(250);

/// The description of an endpoint as `GET /info` gives it.
#[derive(Debug, Deserialize)]
#[serde(default)]
struct InfoAnswer {
    kind: String,
    hardware: String,
    models: Vec<String>,
    services: Vec<String>,
    checks_fencing: bool,
    cache_tokens: u64,
    prefill_rate: f64,
    token_millis: f64,
}

impl Default for InfoAnswer {
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

impl InfoAnswer {
    fn endpoint_info(self, role: &str) -> messages::EndpointInfo {
        let kind = match self.kind.as_str() {
            "engine" => messages::EndpointKind::Engine,
            _ => messages::EndpointKind::Plain,
        };
        let finite = |number: f64| {
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
            prefill_rate: finite(self.prefill_rate),
            token_millis: finite(self.token_millis),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct LoadAnswer {
    running: u32,
    waiting: u32,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct EventsAnswer {
    next: u64,
    events: Vec<EventAnswer>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct EventAnswer {
    number: u64,
    kind: String,
    hashes: Vec<u64>,
}

/// A `PollTask` asks one endpoint and reports to the core.
#[derive(Debug)]
pub(crate) struct PollTask<C> {
    pub(crate) client: endpoint::EndpointClient<C>,
    pub(crate) role: String,
    pub(crate) report: mpsc::Sender<events::AgentInput>,
    pub(crate) clock: C,
}

impl<C: Clock> PollTask<C> {
    pub(crate) async fn run(self) {
        let mut after = 0;
        let mut since_info = INFO_INTERVAL;
        let mut engine = false;
        while !self.report.is_closed() {
            if since_info >= INFO_INTERVAL {
                since_info = Duration::ZERO;
                engine = self.poll_info().await;
            }
            if engine {
                self.poll_load().await;
                after = self.poll_events(after).await;
            }
            self.clock.sleep(CACHE_INTERVAL).await;
            since_info += CACHE_INTERVAL;
        }
    }

    async fn tell(&self, input: events::AgentInput) {
        // A closed queue means that the process ends.
        let _ = self.report.send(input).await;
    }

    async fn get<T: for<'de> Deserialize<'de>>(&self, path: &str) -> Result<T, errors::CallError> {
        let value = self.client.short(Method::GET, path, None).await?;
        Ok(serde_json::from_value(value)?)
    }

    /// Returns whether the endpoint is a model engine that answers.
    async fn poll_info(&self) -> bool {
        match self.get::<InfoAnswer>("/info").await {
            Ok(answer) => {
                let info = answer.endpoint_info(&self.role);
                let engine = info.kind == messages::EndpointKind::Engine as i32;
                self.tell(events::AgentInput::Info(info)).await;
                engine
            }
            Err(error) => {
                tracing::debug!(%error, "endpoint did not describe itself");
                self.tell(events::AgentInput::EndpointDown).await;
                false
            }
        }
    }

    async fn poll_load(&self) {
        if let Ok(load) = self.get::<LoadAnswer>("/load").await {
            let (running, waiting) = (load.running, load.waiting);
            self.tell(events::AgentInput::Load { running, waiting })
                .await;
        }
    }

    async fn poll_events(&self, after: u64) -> u64 {
        let path = format!("/events?after={after}");
        let Ok(answer) = self.get::<EventsAnswer>(&path).await else {
            return after;
        };
        let changes = answer.events.into_iter().map(|event| events::CacheChange {
            number: event.number,
            stored: event.kind == "stored",
            hashes: event.hashes,
        });
        let changes: Vec<_> = changes.collect();
        if !changes.is_empty() {
            self.tell(events::AgentInput::CacheChanges(changes)).await;
        }
        answer.next
    }
}

fn order_name(kind: i32) -> Option<&'static str> {
    match messages::OrderKind::try_from(kind).ok()? {
        messages::OrderKind::LoadModel => Some("load-model"),
        messages::OrderKind::UnloadModel => Some("unload-model"),
        messages::OrderKind::LoadAdapter => Some("load-adapter"),
        messages::OrderKind::ChangeRole => Some("change-role"),
        _ => None,
    }
}

/// Gives an order to the engine and returns what it made of it.
pub(crate) async fn give_order<C: Clock>(
    client: endpoint::EndpointClient<C>,
    order: messages::Order,
) -> events::OrderOutcome {
    let Some(kind) = order_name(order.kind) else {
        return events::OrderOutcome::Failed("the kind of the order is not known".to_owned());
    };
    let body = json!({
        "fencing": order.fencing,
        "order": order.order,
        "kind": kind,
        "target": order.target,
        "version": order.target_version,
    });
    match client.short(Method::POST, "/orders", Some(body)).await {
        Ok(_) => events::OrderOutcome::Done,
        Err(errors::CallError::Status(409)) => events::OrderOutcome::Fenced,
        Err(error) => events::OrderOutcome::Failed(error.to_string()),
    }
}

/// Exports the KV cache of a call that runs; `None` if the engine can't, or not in time.
pub(crate) async fn export_kv<C: Clock>(
    client: &endpoint::EndpointClient<C>,
    name: &str,
) -> Option<Bytes> {
    let body = json!({"request_id": name});
    let exported = client.raw(Method::POST, "/kv/export", Some(body), EXPORT_LIMIT);
    exported.await.ok()
}

/// Tells the engine that a call is cancelled, until it has confirmed that. Closing its connection
/// says the same, but a silent connection may keep that from the engine. What the engine sent
/// before the cancellation is still read, since the call may have ended by itself.
pub(crate) async fn cancel_call<C: Clock>(
    client: &endpoint::EndpointClient<C>,
    name: &str,
    control: Option<endpoint::RunControl>,
) {
    let mut control = control;
    for _ in 0..CANCEL_ATTEMPTS {
        let body = json!({"request_id": name});
        match client.short(Method::POST, "/cancel", Some(body)).await {
            Ok(_) | Err(errors::CallError::Status(_)) => {
                if let Some(control) = control {
                    client.drain(control, DRAIN_LIMIT).await;
                }
                return;
            }
            Err(error) => tracing::debug!(%error, "endpoint did not confirm a cancellation"),
        }
        if let Some(control) = control.take() {
            control.stop();
        }
        client.pause(CANCEL_PAUSE).await;
    }
}
