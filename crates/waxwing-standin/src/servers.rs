//! The HTTP side of the stand-ins: the endpoint protocol of `docs/design.md`, section 10.

use std::{convert::Infallible, net::SocketAddr};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, server, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol_str::SmolStr;
use tokio::{net, task::JoinSet};
use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, prompts};

use crate::{
    answers, chats, engines, errors, faults, options, registers,
    replies::{self, ReplyBody},
    simulation,
};

/// The longest request body in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A `StandinService` is what a stand-in serves; clones share it.
#[derive(Debug, Clone)]
pub enum StandinService<C> {
    /// A model engine.
    Engine(engines::StandinEngine<C>),
    /// A register.
    Register(registers::StandinRegister<C>),
}

/// A `BoundStandin` listens and is ready to run.
#[derive(Debug)]
pub struct BoundStandin<C> {
    listener: net::TcpListener,
    address: SocketAddr,
    service: StandinService<C>,
}

/// Opens the socket of a stand-in; a register gets records of its own.
///
/// # Errors
/// Fails if an option is outside of its range or the address can't be listened on.
pub async fn bind<C: Clock>(
    options: options::StandinOptions,
    clock: C,
) -> Result<BoundStandin<C>, errors::StandinError> {
    bind_shared(options, registers::RecordStore::default(), clock).await
}

/// Opens the socket of a stand-in; a register writes to the given records.
///
/// # Errors
/// Fails if an option is outside of its range or the address can't be listened on.
pub async fn bind_shared<C: Clock>(
    options: options::StandinOptions,
    records: registers::RecordStore,
    clock: C,
) -> Result<BoundStandin<C>, errors::StandinError> {
    options.check()?;
    let address = options.listen;
    let bind_error = |error| errors::StandinError::Bind { address, error };
    let listener = net::TcpListener::bind(address).await.map_err(bind_error)?;
    let address = listener.local_addr().map_err(bind_error)?;
    let scale = options.time_scale;
    let faults = faults::FaultSwitch::default();
    let service = match options.role {
        options::StandinRole::Engine(options) => {
            StandinService::Engine(engines::StandinEngine::new(options, scale, faults, clock))
        }
        options::StandinRole::Register(options) => {
            let register = registers::StandinRegister::new(options, scale, records, faults, clock);
            StandinService::Register(register)
        }
    };
    Ok(BoundStandin {
        listener,
        address,
        service,
    })
}

impl<C: Clock> BoundStandin<C> {
    /// Returns the address with the port that was taken.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle to what is served, for counts and faults.
    #[must_use]
    pub fn service(&self) -> StandinService<C> {
        self.service.clone()
    }

    /// Serves until `shutdown` or a fault that kills the stand-in; open connections are closed.
    pub async fn run(self, shutdown: CancellationToken) {
        let death = self.service.faults().death().clone();
        let service = self.service.clone();
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = death.cancelled() => {}
            () = serve(self.listener, &service) => {}
            () = work(&service, shutdown.clone()) => {}
        }
        // The work is ended here too, since a death may win against the loop of the engine.
        if let StandinService::Engine(engine) = &service {
            let ended = CancellationToken::new();
            ended.cancel();
            engine.run(ended).await;
        }
    }
}

async fn work<C: Clock>(service: &StandinService<C>, shutdown: CancellationToken) {
    match service {
        StandinService::Engine(engine) => engine.run(shutdown).await,
        StandinService::Register(_) => shutdown.cancelled().await,
    }
}

async fn serve<C: Clock>(listener: net::TcpListener, service: &StandinService<C>) {
    let mut tasks = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = ConnectionHandler {
            service: service.clone(),
            number: service.faults().open_connection(),
        };
        tasks.spawn(async move {
            let service = service::service_fn(move |request| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler.answer(request).await) }
            });
            // A caller that goes away in the middle is no fault of the stand-in.
            let _ = server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        while tasks.try_join_next().is_some() {}
    }
}

impl<C: Clock> StandinService<C> {
    /// Returns the faults of the stand-in.
    #[must_use]
    pub fn faults(&self) -> &faults::FaultSwitch {
        match self {
            Self::Engine(engine) => engine.faults(),
            Self::Register(register) => register.faults(),
        }
    }
}

#[derive(Debug, Clone)]
struct ConnectionHandler<C> {
    service: StandinService<C>,
    number: u64,
}

/// An `EndpointInfo` is the answer to `GET /info`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointInfo {
    /// `engine` or `plain`.
    pub kind: SmolStr,
    /// The hardware class.
    pub hardware: SmolStr,
    /// Models that are loaded.
    pub models: Vec<SmolStr>,
    /// Plain services that are offered.
    pub services: Vec<SmolStr>,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Memory for KV cache in tokens.
    pub cache_tokens: u64,
    /// Prompt tokens per second.
    pub prefill_rate: f64,
    /// Milliseconds between the tokens of a lone request.
    pub token_millis: f64,
    /// Tokens in one block of the prefix cache.
    pub block_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct CancelBody {
    request_id: SmolStr,
}

#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct CacheBlob {
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<SmolStr>,
    hashes: Vec<u64>,
}

type StandinResponse<C> = Response<ReplyBody<C>>;

impl<C: Clock> ConnectionHandler<C> {
    async fn answer(&self, request: Request<Incoming>) -> StandinResponse<C> {
        let path = request.uri().path().to_owned();
        if path != "/faults" {
            self.pass_silence().await;
        }
        let (parts, body) = request.into_parts();
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return replies::refusal(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        };
        let body = body.to_bytes();
        let response = match (&self.service, parts.method, path.as_str()) {
            (_, Method::POST, "/faults") => self.fault(&body),
            (StandinService::Engine(engine), Method::POST, "/v1/chat/completions") => {
                let id = parts.headers.get("x-request-id");
                let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
                self.chat(engine, SmolStr::new(id), &body).await
            }
            (StandinService::Engine(engine), Method::GET, _) => {
                engine_page(engine, &path, parts.uri.query())
            }
            (StandinService::Engine(engine), _, _) => engine_call(engine, &path, &body),
            (StandinService::Register(register), method, _) => {
                register_call(register, &method, &path, body).await
            }
        };
        if path != "/faults" {
            self.pass_silence().await;
        }
        response
    }

    /// Never returns on a connection that has gone silent.
    async fn pass_silence(&self) {
        if self.service.faults().is_silent(self.number) {
            std::future::pending::<()>().await;
        }
    }

    fn fault(&self, body: &[u8]) -> StandinResponse<C> {
        let Some(order) = parse::<faults::FaultOrder>(body) else {
            return replies::refusal(StatusCode::BAD_REQUEST, "the body is not a fault order");
        };
        self.service.faults().apply(&order);
        replies::json(StatusCode::OK, &order)
    }

    async fn chat(
        &self,
        engine: &engines::StandinEngine<C>,
        id: SmolStr,
        body: &[u8],
    ) -> StandinResponse<C> {
        let request = match chats::parse_request(body) {
            Ok(request) => request,
            Err(error) => return replies::refusal(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let spec = request.sequence(id.clone());
        let (seed, from) = (spec.seed, spec.resume);
        let mut stream = match engine.submit(&request.model, spec) {
            Ok(stream) => stream,
            Err(error) => return replies::refusal(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let model = request.model;
        let format = chats::ChatFormat { id, model, seed };
        if request.stream {
            return replies::events(replies::EventBody {
                stream,
                format,
                connection: self.number,
                faults: engine.faults().clone(),
            });
        }
        while let Some(progress) = stream.progress.recv().await {
            if let simulation::StepProgress::Done(usage) = progress {
                return replies::json_text(StatusCode::OK, format.whole(from, &usage));
            }
        }
        replies::refusal(StatusCode::SERVICE_UNAVAILABLE, "the request was cancelled")
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn engine_info<C: Clock>(engine: &engines::StandinEngine<C>) -> EndpointInfo {
    let options = engine.options();
    EndpointInfo {
        kind: SmolStr::new_static("engine"),
        hardware: SmolStr::new(options.hardware.as_str()),
        models: engine.models().into_iter().collect(),
        services: Vec::new(),
        checks_fencing: options.checks_fencing,
        cache_tokens: options.cache_tokens.0,
        prefill_rate: options.prefill_rate.0 * engine.time_scale(),
        token_millis: options.token_millis / engine.time_scale(),
        block_tokens: prompts::BLOCK_TOKENS as u64,
    }
}

fn engine_page<C: Clock>(
    engine: &engines::StandinEngine<C>,
    path: &str,
    query: Option<&str>,
) -> StandinResponse<C> {
    match path {
        "/info" => replies::json(StatusCode::OK, &engine_info(engine)),
        "/load" => replies::json(StatusCode::OK, &engine.load()),
        "/counts" => replies::json(StatusCode::OK, &engine.counts()),
        "/runs" => replies::json(StatusCode::OK, &engine.runs()),
        "/events" => {
            let after = query.and_then(|query| query.strip_prefix("after="));
            let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
            replies::json(StatusCode::OK, &engine.events(after))
        }
        _ => replies::refusal(StatusCode::NOT_FOUND, "no such page"),
    }
}

fn engine_call<C: Clock>(
    engine: &engines::StandinEngine<C>,
    path: &str,
    body: &[u8],
) -> StandinResponse<C> {
    let response = match path {
        "/cancel" => parse::<CancelBody>(body).map(|cancel| {
            let cancelled = engine.cancel_id(&cancel.request_id);
            replies::json(
                StatusCode::OK,
                &serde_json::json!({ "cancelled": cancelled }),
            )
        }),
        "/orders" => parse(body).map(|order| order_reply(engine.order(&order))),
        "/kv/export" => parse::<CacheBlob>(body).map(|wanted| {
            let id = wanted.request_id.as_deref();
            let hashes = engine.export(id, &wanted.hashes);
            let blob = CacheBlob {
                request_id: None,
                hashes,
            };
            replies::json(StatusCode::OK, &blob)
        }),
        "/kv/import" => parse::<CacheBlob>(body).map(|blob| {
            let blocks = engine.import(&blob.hashes);
            replies::json(StatusCode::OK, &serde_json::json!({ "blocks": blocks }))
        }),
        _ => return replies::refusal(StatusCode::NOT_FOUND, "no such call"),
    };
    response.unwrap_or_else(|| replies::refusal(StatusCode::BAD_REQUEST, "the body is not valid"))
}

fn order_reply<C: Clock>(verdict: engines::OrderVerdict) -> StandinResponse<C> {
    match verdict {
        engines::OrderVerdict::Done => {
            replies::json(StatusCode::OK, &serde_json::json!({ "done": true }))
        }
        engines::OrderVerdict::Fenced { highest } => replies::json(
            StatusCode::CONFLICT,
            &serde_json::json!({ "highest": highest }),
        ),
        engines::OrderVerdict::Unknown => {
            replies::refusal(StatusCode::BAD_REQUEST, "no such kind of order")
        }
    }
}

/// Strips `/services/{service}`, so that the register also answers under the path of the edge.
fn register_path(path: &str) -> &str {
    let inner = path.strip_prefix("/services/");
    let inner = inner.and_then(|inner| inner.find('/').map(|start| &inner[start..]));
    inner.unwrap_or(path)
}

async fn register_call<C: Clock>(
    register: &registers::StandinRegister<C>,
    method: &Method,
    path: &str,
    body: Bytes,
) -> StandinResponse<C> {
    let path = register_path(path).trim_matches('/');
    let (kind, id) = path.split_once('/').unwrap_or((path, ""));
    let known = registers::RECORD_KINDS.contains(&kind);
    match (method, kind) {
        (&Method::GET, "info") => replies::json(StatusCode::OK, &register_info(register)),
        (&Method::GET, "counts") => replies::json(StatusCode::OK, &register.records().counts()),
        (&Method::GET, "load") => replies::json(StatusCode::OK, &register.load()),
        (&Method::POST, _) if known && id.is_empty() => {
            register.work().await;
            let text = answers::expected_record(kind, &body);
            register.records().record(kind, body);
            replies::json_text(StatusCode::CREATED, text)
        }
        (&Method::GET, _) if known => {
            register.work().await;
            match register.records().find(kind, id) {
                Some(body) => {
                    replies::json_text(StatusCode::OK, answers::expected_record(kind, &body))
                }
                None => replies::refusal(StatusCode::NOT_FOUND, "no such record"),
            }
        }
        _ => replies::refusal(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn register_info<C: Clock>(register: &registers::StandinRegister<C>) -> EndpointInfo {
    let options = register.options();
    let services = options.services.iter();
    EndpointInfo {
        kind: SmolStr::new_static("plain"),
        hardware: options.hardware.clone(),
        services: services.map(|name| SmolStr::new(name.as_str())).collect(),
        block_tokens: prompts::BLOCK_TOKENS as u64,
        ..EndpointInfo::default()
    }
}
