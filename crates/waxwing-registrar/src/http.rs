//! The HTTP interface of a control host for operators and endpoints.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode, body,
    http::{HeaderValue, header},
};
use tokio::net;
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;
use waxwing_fleet::{deployments, dialects};
use waxwing_process::{bodies, listening};
use waxwing_rollout::errors as rollout_errors;
use waxwing_wire::messages;

use crate::{documents, errors, host, rollouts};

/// The longest accepted document; one with thousands of routes has a few megabytes.
const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// The longest accepted body of any other call. Notices of endpoints have some hundred bytes.
const MAX_CALL_BYTES: usize = bodies::UNBUDGETED_BYTES;

/// The longest time for reading the body of a call. The largest document takes a third of it on a
/// link of 22 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The path of roll-outs in the operators' own interface.
const ROLLOUTS_PATH: &str = "/v1/rollouts";

type HttpResponse = Response<Full<Bytes>>;

/// Serves HTTP calls until `shutdown`.
pub(crate) async fn serve<C: Clock, D: dialects::ControlDialect>(
    listener: net::TcpListener,
    host: host::RegistrarHost<C>,
    dialect: D,
    shutdown: CancellationToken,
) {
    let clock = host.clock.clone();
    let respond = move |request| {
        let (host, dialect) = (host.clone(), dialect.clone());
        async move { handle_call(&host, &dialect, request).await }
    };
    listening::serve(listener, clock, respond, shutdown).await;
}

async fn handle_call<C: Clock, D: dialects::ControlDialect>(
    host: &host::RegistrarHost<C>,
    dialect: &D,
    request: Request<body::Incoming>,
) -> HttpResponse {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let call = dialect.call(&method, &path);
    let max_bytes = match call {
        dialects::ControlCall::PutDeployment => MAX_DOCUMENT_BYTES,
        _ => MAX_CALL_BYTES,
    };
    let reading = host.body_memory.read(request.into_body(), max_bytes);
    let body = tokio::select! {
        body = reading => body,
        () = host.clock.sleep(BODY_TIMEOUT) => {
            tracing::info!(event = "call-refused", path, "the body didn't arrive in time");
            return text_response(StatusCode::REQUEST_TIMEOUT, "the body didn't arrive in time");
        }
    };
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            tracing::info!(event = "call-refused", path, %error);
            let status = match error {
                bodies::BodyError::TooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
                bodies::BodyError::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
                bodies::BodyError::Broken(_) => StatusCode::BAD_REQUEST,
            };
            return text_response(status, "the body can't be read");
        }
    };
    match call {
        dialects::ControlCall::PutDeployment => put(host, dialect, &path, body).await,
        dialects::ControlCall::GetDeployment => get(host, dialect, &path).await,
        dialects::ControlCall::Notice { endpoint } => match dialect.notice(&endpoint, &body) {
            Ok(notice) => acknowledge(host.handle_notice(notice).await),
            Err(error) => {
                host.metrics.count_notice("refused");
                tracing::info!(event = "notice-refused", %endpoint, %error);
                text_response(StatusCode::BAD_REQUEST, &error.to_string())
            }
        },
        dialects::ControlCall::Deregister { endpoint } => {
            let born = dialect.deregistration(&body);
            acknowledge(host.deregister(&endpoint, born).await)
        }
        dialects::ControlCall::StartRollout => {
            let started = match dialect.rollout_order(&body) {
                Ok(request) => host.start_rollout(dialect, &request).await,
                Err(error) => Err(rollout_errors::OrderError::Unreadable(error.0).into()),
            };
            match started {
                Ok(()) => json_response(StatusCode::OK, Bytes::from_static(b"{}")),
                Err(rollouts::StartError::Refused(error)) => {
                    tracing::info!(event = "rollout-refused", %error);
                    text_response(refused_order_status(&error), &error.to_string())
                }
                Err(rollouts::StartError::Group(failure)) => {
                    redirect(host, dialect, &path, failure)
                }
            }
        }
        dialects::ControlCall::ShowRollout { service } => match host.find_rollout(&service).await {
            Ok(Some(record)) => {
                let state = match record.phase() {
                    messages::RolloutPhase::Active => dialects::RolloutState::Active,
                    messages::RolloutPhase::Completed => dialects::RolloutState::Completed,
                    messages::RolloutPhase::RolledBack => dialects::RolloutState::RolledBack,
                };
                let body = dialect.rollout_status(&record.order.target, state);
                json_response(StatusCode::OK, body)
            }
            Ok(None) => text_response(StatusCode::NOT_FOUND, "the service has had no roll-out"),
            Err(failure) => redirect(host, dialect, &path, failure),
        },
        dialects::ControlCall::Unknown => {
            handle_own_call(host, dialect, &method, &path, &body).await
        }
    }
}

/// Returns the status of a refused order; it must not be sent again.
const fn refused_order_status(error: &rollout_errors::OrderError) -> StatusCode {
    match error.is_conflict() {
        true => StatusCode::CONFLICT,
        false => StatusCode::BAD_REQUEST,
    }
}

/// Answers a call of the operators' own interface, which `waxwingctl` uses. A host that doesn't lead
/// answers 503, upon which the tool asks the next one.
async fn handle_own_call<C: Clock, D: dialects::ControlDialect>(
    host: &host::RegistrarHost<C>,
    dialect: &D,
    method: &Method,
    path: &str,
    body: &[u8],
) -> HttpResponse {
    let error_response = |status, error: &dyn std::fmt::Display| {
        let retry = status == StatusCode::SERVICE_UNAVAILABLE;
        let body = serde_json::json!({ "error": error.to_string(), "retry": retry });
        json_response(status, body.to_string().into())
    };
    match (method, path) {
        (&Method::GET, ROLLOUTS_PATH) => match host.list_rollouts().await {
            Ok(statuses) => {
                let body = serde_json::json!({ "rollouts": statuses });
                json_response(StatusCode::OK, body.to_string().into())
            }
            Err(error) => error_response(StatusCode::SERVICE_UNAVAILABLE, &error),
        },
        (&Method::POST, ROLLOUTS_PATH) => {
            let order: rollouts::OrderRecord = match serde_json::from_slice(body) {
                Ok(order) => order,
                Err(error) => return error_response(StatusCode::BAD_REQUEST, &error),
            };
            match host.start_rollout(dialect, &order.into()).await {
                Ok(()) => json_response(StatusCode::OK, Bytes::from_static(b"{}")),
                Err(rollouts::StartError::Refused(error)) => {
                    error_response(refused_order_status(&error), &error)
                }
                Err(rollouts::StartError::Group(error)) => {
                    error_response(StatusCode::SERVICE_UNAVAILABLE, &error)
                }
            }
        }
        _ => text_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

/// Answers the call of an endpoint, which asks another host after an error.
fn acknowledge(handled: Result<(), errors::GroupError>) -> HttpResponse {
    match handled {
        Ok(()) => json_response(StatusCode::OK, Bytes::from_static(b"{}")),
        Err(error) => text_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}

async fn put<C: Clock, D: dialects::ControlDialect>(
    host: &host::RegistrarHost<C>,
    dialect: &D,
    path: &str,
    body: Bytes,
) -> HttpResponse {
    let parts = dialect.deployment(&body);
    let checked = parts.and_then(deployments::FleetDeployment::new);
    let version = match checked {
        Ok(deployment) => deployment.version(),
        Err(error) => {
            host.metrics.count_deployment("refused");
            tracing::info!(event = "deployment-refused", %error);
            return text_response(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    let document = documents::StoredDocument { version, body };
    let change = host.group.put(document);
    let changed = tokio::select! {
        changed = change => changed,
        () = host.clock.sleep(host.options.call_limit()) => Err(errors::GroupError::Unavailable),
    };
    host.metrics.count_deployment(match changed {
        Ok(_) => "acknowledged",
        Err(errors::GroupError::NotLeader(_)) => "redirected",
        Err(errors::GroupError::Unavailable) => "unavailable",
    });
    tracing::info!(event = "deployment-answered", version, outcome = ?changed);
    match changed {
        Ok(_) => json_response(StatusCode::OK, Bytes::from_static(b"{}")),
        Err(failure) => redirect(host, dialect, path, failure),
    }
}

async fn get<C: Clock, D: dialects::ControlDialect>(
    host: &host::RegistrarHost<C>,
    dialect: &D,
    path: &str,
) -> HttpResponse {
    let read = tokio::select! {
        read = host.group.read() => read,
        () = host.clock.sleep(host.options.call_limit()) => Err(errors::GroupError::Unavailable),
    };
    match read {
        Ok(Some(document)) => json_response(StatusCode::OK, document.body),
        Ok(None) => text_response(StatusCode::SERVICE_UNAVAILABLE, "no deployment yet"),
        Err(failure) => redirect(host, dialect, path, failure),
    }
}

/// Redirects the caller to the leader. If no leader is known, answers with an error status, upon
/// which callers try another host.
fn redirect<C: Clock, D: dialects::ControlDialect>(
    host: &host::RegistrarHost<C>,
    dialect: &D,
    path: &str,
    failure: errors::GroupError,
) -> HttpResponse {
    let leader: Option<SocketAddr> = match failure {
        errors::GroupError::NotLeader(leader) => leader,
        errors::GroupError::Unavailable => None,
    };
    let location = leader
        .map(|leader| dialect.location(host.options.http_address_of(leader), path))
        .and_then(|location| HeaderValue::try_from(location).ok());
    let Some(location) = location else {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, &failure.to_string());
    };
    let mut response = text_response(StatusCode::TEMPORARY_REDIRECT, "ask the leader");
    response.headers_mut().insert(header::LOCATION, location);
    response
}

fn json_response(status: StatusCode, body: Bytes) -> HttpResponse {
    response_with_type(status, body, HeaderValue::from_static("application/json"))
}

fn text_response(status: StatusCode, body: &str) -> HttpResponse {
    let body = Bytes::copy_from_slice(body.as_bytes());
    response_with_type(status, body, HeaderValue::from_static("text/plain"))
}

fn response_with_type(status: StatusCode, body: Bytes, content_type: HeaderValue) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
