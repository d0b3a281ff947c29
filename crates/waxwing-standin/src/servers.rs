//! The HTTP server of the stand-ins, for the endpoint protocol of `docs/design.md`, section 10.

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

/// Maximum length of a request body in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The simulated system behind a server; clones share its state.
#[derive(Debug, Clone)]
pub enum StandinService<C> {
    /// A model engine.
    Engine(engines::StandinEngine<C>),
    /// A register.
    Register(registers::StandinRegister<C>),
}

/// A stand-in with its listening socket, ready to serve.
#[derive(Debug)]
pub struct BoundStandin<C> {
    listener: net::TcpListener,
    address: SocketAddr,
    service: StandinService<C>,
}

/// Opens the listening socket of a stand-in. A register gets its own record store.
///
/// # Errors
/// Fails if an option is outside of its range or the address can't be listened on.
pub async fn bind<C: Clock>(
    options: options::StandinOptions,
    clock: C,
) -> Result<BoundStandin<C>, errors::StandinError> {
    bind_shared(options, registers::RecordStore::default(), clock).await
}

/// Opens the listening socket of a stand-in. A register writes to `records`.
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
    /// Returns the address of the listening socket.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle to the simulated system, for reading counts and injecting faults.
    #[must_use]
    pub fn service(&self) -> StandinService<C> {
        self.service.clone()
    }

    /// Serves until `shutdown` or until a fault kills the stand-in. Open connections are closed.
    pub async fn run(self, shutdown: CancellationToken) {
        let kill_token = self.service.faults().kill_token().clone();
        let service = self.service.clone();
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = kill_token.cancelled() => {}
            () = serve(self.listener, &service) => {}
            () = run_engine(&service, shutdown.clone()) => {}
        }
        // `select!` may have dropped the engine's loop before it ended its requests, since both wait
        // for the same tokens. They are ended here.
        if let StandinService::Engine(engine) = &service {
            let stopped = CancellationToken::new();
            stopped.cancel();
            engine.run(stopped).await;
        }
    }
}

async fn run_engine<C: Clock>(service: &StandinService<C>, shutdown: CancellationToken) {
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
            connection_number: service.faults().open_connection(),
        };
        tasks.spawn(async move {
            let service = service::service_fn(move |request| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler.answer(request).await) }
            });
            // Errors are ignored, since callers may disconnect at any time.
            let _ = server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        while tasks.try_join_next().is_some() {}
    }
}

impl<C: Clock> StandinService<C> {
    /// Returns the switch for faults of the stand-in.
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
    connection_number: u64,
}

/// The answer to `GET /info`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointInfo {
    /// `engine` or `plain`.
    pub kind: SmolStr,
    /// Hardware class of the endpoint.
    pub hardware: SmolStr,
    /// Names of the loaded models; empty for registers.
    pub models: Vec<SmolStr>,
    /// Names of the offered services; empty for engines.
    pub services: Vec<SmolStr>,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// KV cache memory in tokens.
    pub cache_tokens: u64,
    /// Prefill rate in prompt tokens per second.
    pub prefill_rate: f64,
    /// Time between the tokens of a request that runs alone, in milliseconds.
    pub token_millis: f64,
    /// Number of tokens in a block of the prefix cache.
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
            self.wait_if_silent().await;
        }
        let (parts, body) = request.into_parts();
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return replies::refusal(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        };
        let body = body.to_bytes();
        let response = match (&self.service, parts.method, path.as_str()) {
            (_, Method::POST, "/faults") => self.apply_faults(&body),
            (StandinService::Engine(engine), Method::POST, "/v1/chat/completions") => {
                let id = parts.headers.get("x-request-id");
                let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
                self.chat(engine, SmolStr::new(id), &body).await
            }
            (StandinService::Engine(engine), Method::GET, _) => {
                engine_get(engine, &path, parts.uri.query())
            }
            (StandinService::Engine(engine), _, _) => engine_post(engine, &path, &body),
            (StandinService::Register(register), method, _) => {
                register_call(register, &method, &path, body).await
            }
        };
        if path != "/faults" {
            self.wait_if_silent().await;
        }
        response
    }

    /// Never returns on a silent connection.
    async fn wait_if_silent(&self) {
        if self.service.faults().is_silent(self.connection_number) {
            std::future::pending::<()>().await;
        }
    }

    fn apply_faults(&self, body: &[u8]) -> StandinResponse<C> {
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
        let spec = request.to_sequence(id.clone());
        let (seed, from) = (spec.seed, spec.resume);
        let mut stream = match engine.submit(&request.model, spec) {
            Ok(stream) => stream,
            Err(error) => return replies::refusal(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let model = request.model;
        let format = chats::ChatFormatter { id, model, seed };
        if request.stream {
            return replies::events(replies::EventBody {
                stream,
                format,
                connection: self.connection_number,
                faults: engine.faults().clone(),
            });
        }
        while let Some(progress) = stream.progress.recv().await {
            if let simulation::StepProgress::Done(usage) = progress {
                return replies::json_text(StatusCode::OK, format.format_body(from, &usage));
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

fn engine_get<C: Clock>(
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

fn engine_post<C: Clock>(
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

fn order_reply<C: Clock>(result: engines::OrderResult) -> StandinResponse<C> {
    match result {
        engines::OrderResult::Done => {
            replies::json(StatusCode::OK, &serde_json::json!({ "done": true }))
        }
        engines::OrderResult::Fenced { highest } => replies::json(
            StatusCode::CONFLICT,
            &serde_json::json!({ "highest": highest }),
        ),
        engines::OrderResult::Unknown => {
            replies::refusal(StatusCode::BAD_REQUEST, "no such kind of order")
        }
    }
}

/// Strips `/services/{service}`, so that the register can also be called directly with the path
/// that callers use at entries.
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
            register.process_call().await;
            let text = answers::expected_record(kind, &body);
            register.records().record(kind, body);
            replies::json_text(StatusCode::CREATED, text)
        }
        (&Method::GET, _) if known => {
            register.process_call().await;
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
