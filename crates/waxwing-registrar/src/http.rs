//! The HTTP interface of a control host for operators and endpoints.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Request, Response, StatusCode, body,
    http::{HeaderValue, header},
};
use tokio::net;
use tokio_util::sync::CancellationToken;
use waxwing_core::clock::Clock;
use waxwing_fleet::{deployments, dialects};
use waxwing_process::listening;

use crate::{documents, errors, host};

/// The longest body; a document with thousands of routes is a few megabytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

type Answer = Response<Full<Bytes>>;

/// Serves calls until `shutdown`.
pub(crate) async fn serve<C: Clock, D: dialects::ControlDialect>(
    listener: net::TcpListener,
    host: host::RegistrarHost<C>,
    dialect: D,
    shutdown: CancellationToken,
) {
    let clock = host.clock.clone();
    let respond = move |request| {
        let (host, dialect) = (host.clone(), dialect.clone());
        async move { answer(&host, &dialect, request).await }
    };
    listening::serve(listener, clock, respond, shutdown).await;
}

async fn answer<C: Clock, D: dialects::ControlDialect>(
    host: &host::RegistrarHost<C>,
    dialect: &D,
    request: Request<body::Incoming>,
) -> Answer {
    let call = dialect.call(request.method(), request.uri().path());
    let path = request.uri().path().to_owned();
    let body = match Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            tracing::info!(event = "call-refused", path, %error);
            return text(StatusCode::PAYLOAD_TOO_LARGE, "the body can't be read");
        }
    };
    match call {
        dialects::ControlCall::PutDeployment => put(host, dialect, &path, body).await,
        dialects::ControlCall::GetDeployment => get(host, dialect, &path).await,
        dialects::ControlCall::Notice { endpoint } => match dialect.notice(&endpoint, &body) {
            Ok(notice) => {
                host.take_notice(notice);
                json(StatusCode::OK, Bytes::from_static(b"{}"))
            }
            Err(error) => {
                host.metrics.noticed("refused");
                tracing::info!(event = "notice-refused", %endpoint, %error);
                text(StatusCode::BAD_REQUEST, &error.to_string())
            }
        },
        dialects::ControlCall::Goodbye { endpoint } => {
            let born = dialect.goodbye_born(&body);
            let notice = host.registry().goodbye(&endpoint, born);
            host.take_notice(notice);
            json(StatusCode::OK, Bytes::from_static(b"{}"))
        }
        dialects::ControlCall::Unknown => text(StatusCode::NOT_FOUND, "no such call"),
    }
}

async fn put<C: Clock, D: dialects::ControlDialect>(
    host: &host::RegistrarHost<C>,
    dialect: &D,
    path: &str,
    body: Bytes,
) -> Answer {
    let parts = dialect.deployment(&body);
    let checked = parts.and_then(deployments::FleetDeployment::new);
    let version = match checked {
        Ok(deployment) => deployment.version(),
        Err(error) => {
            host.metrics.changed("refused");
            tracing::info!(event = "deployment-refused", %error);
            return text(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    let document = documents::StoredDocument { version, body };
    let change = host.group.put(document);
    let changed = tokio::select! {
        changed = change => changed,
        () = host.clock.sleep(host.options.call_limit()) => Err(errors::ChangeFailure::Unavailable),
    };
    host.metrics.changed(match changed {
        Ok(_) => "acknowledged",
        Err(errors::ChangeFailure::NotLeader(_)) => "redirected",
        Err(errors::ChangeFailure::Unavailable) => "unavailable",
    });
    tracing::info!(event = "deployment-answered", version, outcome = ?changed);
    match changed {
        Ok(_) => json(StatusCode::OK, Bytes::from_static(b"{}")),
        Err(failure) => redirect(host, dialect, path, failure),
    }
}

async fn get<C: Clock, D: dialects::ControlDialect>(
    host: &host::RegistrarHost<C>,
    dialect: &D,
    path: &str,
) -> Answer {
    let read = tokio::select! {
        read = host.group.read() => read,
        () = host.clock.sleep(host.options.call_limit()) => Err(errors::ChangeFailure::Unavailable),
    };
    match read {
        Ok(document) if document.version > 0 => json(StatusCode::OK, document.body),
        Ok(_) => text(StatusCode::SERVICE_UNAVAILABLE, "no deployment yet"),
        Err(failure) => redirect(host, dialect, path, failure),
    }
}

/// Sends the caller to the leader, or elsewhere if no leader is known.
fn redirect<C: Clock, D: dialects::ControlDialect>(
    host: &host::RegistrarHost<C>,
    dialect: &D,
    path: &str,
    failure: errors::ChangeFailure,
) -> Answer {
    let leader: Option<SocketAddr> = match failure {
        errors::ChangeFailure::NotLeader(leader) => leader,
        errors::ChangeFailure::Unavailable => None,
    };
    let location = leader
        .map(|leader| dialect.location(host.options.http_of(leader), path))
        .and_then(|location| HeaderValue::try_from(location).ok());
    let Some(location) = location else {
        return text(StatusCode::SERVICE_UNAVAILABLE, &failure.to_string());
    };
    let mut answer = text(StatusCode::TEMPORARY_REDIRECT, "ask the leader");
    answer.headers_mut().insert(header::LOCATION, location);
    answer
}

fn json(status: StatusCode, body: Bytes) -> Answer {
    with_type(status, body, HeaderValue::from_static("application/json"))
}

fn text(status: StatusCode, body: &str) -> Answer {
    let body = Bytes::copy_from_slice(body.as_bytes());
    with_type(status, body, HeaderValue::from_static("text/plain"))
}

fn with_type(status: StatusCode, body: Bytes, kind: HeaderValue) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}
