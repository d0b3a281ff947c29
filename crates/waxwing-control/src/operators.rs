//! The operators' HTTP interface to settings, history, status and membership. The types of its JSON
//! bodies are in `waxwing_settings::operations`.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body, header, service};
use hyper_util::{rt, server::graceful};
use serde::Serialize;
use tokio::net;
use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, ids};
use waxwing_settings::{checks, credentials, operations, ownership, patches};

use crate::{commands, host, status};

/// The longest time for which a history request may wait for a change.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Timeout for the headers of a request, after which an idle connection is closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

type OperatorResponse = Response<Full<Bytes>>;

/// Serves the operators' interface until `shutdown`, then waits up to [`host::SUBMIT_TIMEOUT`] for
/// running requests.
pub(crate) async fn serve<C: Clock>(
    host: host::HostHandle<C>,
    listener: net::TcpListener,
    shutdown: CancellationToken,
) {
    let graceful = graceful::GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            host.clock.sleep(host::SWEEP_INTERVAL).await;
            continue;
        };
        let state = host.clone();
        let handler = service::service_fn(move |request| {
            let state = state.clone();
            async move { Ok::<_, Infallible>(respond(&state, request).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(rt::TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .serve_connection(rt::TokioIo::new(stream), handler);
        tokio::spawn(graceful.watch(connection));
    }
    tokio::select! {
        () = graceful.shutdown() => {}
        () = host.clock.sleep(host::SUBMIT_TIMEOUT) => {}
    }
}

/// An error response.
#[derive(Debug)]
struct OperatorError {
    status: StatusCode,
    detail: &'static str,
    retry: bool,
}

impl OperatorError {
    fn new(status: StatusCode, detail: &'static str) -> Self {
        Self {
            status,
            detail,
            retry: false,
        }
    }

    fn unavailable() -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            detail: "no quorum of control hosts answered; send the same request again",
            retry: true,
        }
    }
}

/// An authenticated request.
struct OperatorCall<'a, C> {
    host: &'a host::HostState<C>,
    operator: ownership::OperatorIdentity,
    digest: credentials::TokenDigest,
    query: String,
}

async fn respond<C: Clock>(
    host: &host::HostState<C>,
    request: Request<body::Incoming>,
) -> OperatorResponse {
    let answer = match request.uri().path() {
        "/healthz" => Ok(text(StatusCode::OK, "ok\n".to_owned())),
        "/readyz" => Ok(readiness(host).await),
        "/metrics" => Ok(text(StatusCode::OK, host.counters.render())),
        _ => route(host, request).await,
    };
    answer.unwrap_or_else(|error| {
        let body = operations::ErrorAnswer {
            error: error.detail.to_owned(),
            retry: error.retry,
        };
        json(error.status, &body)
    })
}

async fn readiness<C: Clock>(host: &host::HostState<C>) -> OperatorResponse {
    match host.read_barrier().await {
        Ok(()) => text(StatusCode::OK, "ready\n".to_owned()),
        Err(error) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n")),
    }
}

async fn route<C: Clock>(
    host: &host::HostState<C>,
    request: Request<body::Incoming>,
) -> Result<OperatorResponse, OperatorError> {
    let (operator, digest) = authenticate(host, &request).await?;
    let call = OperatorCall {
        host,
        operator,
        digest,
        query: request.uri().query().unwrap_or_default().to_owned(),
    };
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/settings") => call.read_settings().await,
        (&Method::GET, "/v1/settings/changes") => call.read_history().await,
        (&Method::POST, "/v1/settings/changes") => call.change(read_body(request).await?).await,
        (&Method::GET, "/v1/status") => Ok(call.read_status().await),
        (&Method::POST, "/v1/members") => call.change_member(read_body(request).await?).await,
        _ => Err(OperatorError::new(StatusCode::NOT_FOUND, "no such path")),
    }
}

/// Finds the operator of a request by its bearer token. An unknown token is looked up again after a
/// read barrier, because the operator may have been added after this host's last applied entry.
async fn authenticate<C: Clock>(
    host: &host::HostState<C>,
    request: &Request<body::Incoming>,
) -> Result<(ownership::OperatorIdentity, credentials::TokenDigest), OperatorError> {
    let unauthorized =
        || OperatorError::new(StatusCode::UNAUTHORIZED, "the token is missing or unknown");
    let value = request.headers().get(header::AUTHORIZATION);
    let token = value
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(unauthorized)?;
    let digest = credentials::TokenDigest::of(token);
    let find = || {
        let machine = host.log.shared.read();
        ownership::find_operator(machine.settings().typed(), digest)
    };
    if let Some(operator) = find() {
        return Ok((operator, digest));
    }
    host.read_barrier()
        .await
        .map_err(|_| OperatorError::unavailable())?;
    find()
        .map(|operator| (operator, digest))
        .ok_or_else(unauthorized)
}

async fn read_body(request: Request<body::Incoming>) -> Result<Bytes, OperatorError> {
    let limited = Limited::new(request.into_body(), operations::MAX_BODY_BYTES);
    let collected = limited.collect().await.map_err(|_| {
        OperatorError::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body could not be read or is longer than 16 MiB",
        )
    })?;
    Ok(collected.to_bytes())
}

impl<C: Clock> OperatorCall<'_, C> {
    fn parameter(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    async fn read_barrier(&self) -> Result<(), OperatorError> {
        let confirmed = self.host.read_barrier().await;
        confirmed.map_err(|_| OperatorError::unavailable())
    }

    async fn read_settings(&self) -> Result<OperatorResponse, OperatorError> {
        self.read_barrier().await?;
        let path = self.parameter("path").unwrap_or("").trim_end_matches('/');
        let machine = self.host.log.shared.read();
        let settings = machine.settings();
        let found = settings.tree().pointer(path);
        let not_found = || OperatorError::new(StatusCode::NOT_FOUND, "the tree has no such path");
        let mut tree = found.ok_or_else(not_found)?.clone();
        ownership::hide_digests(settings.typed(), &self.operator.scope, path, &mut tree);
        let answer = operations::SettingsAnswer {
            version: settings.version(),
            tree,
        };
        drop(machine);
        Ok(json(StatusCode::OK, &answer))
    }

    async fn read_history(&self) -> Result<OperatorResponse, OperatorError> {
        self.read_barrier().await?;
        let after = self.integer_parameter("after").unwrap_or(0);
        let wait =
            Duration::from_millis(self.integer_parameter("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let mut versions = self.host.log.shared.version.subscribe();
        tokio::select! {
            _ = versions.wait_for(|version| version.0 > after) => {}
            () = self.host.clock.sleep(wait) => {}
        }
        let machine = self.host.log.shared.read();
        let settings = machine.settings();
        let changes = settings
            .history()
            .filter(|change| change.summary.version > after)
            .map(|change| {
                let mut patch = serde_json::from_slice(&change.patch).unwrap_or_default();
                self.hide_digests_in_patch(settings.typed(), &mut patch);
                let mut record = change_record(&change.summary);
                record.patch = Some(patch);
                record
            });
        let answer = operations::HistoryAnswer {
            version: settings.version(),
            changes: changes.collect(),
        };
        drop(machine);
        Ok(json(StatusCode::OK, &answer))
    }

    fn hide_digests_in_patch(
        &self,
        tree: &waxwing_settings::view::SettingsTree,
        patch: &mut serde_json::Value,
    ) {
        if let Some(entries) = patch.as_object_mut() {
            for (path, value) in entries {
                ownership::hide_digests(tree, &self.operator.scope, path, value);
            }
        }
    }

    fn integer_parameter(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }

    async fn change(&self, body: Bytes) -> Result<OperatorResponse, OperatorError> {
        let request: operations::ChangeRequest = serde_json::from_slice(&body).map_err(|_| {
            OperatorError::new(
                StatusCode::BAD_REQUEST,
                "the body is not a change: id, base, patch and dry_run are allowed",
            )
        })?;
        let bytes = request.patch.to_vec();
        let answer = match patches::SettingsPatch::from_slice(&bytes) {
            Ok(_) => self.submit_change(&request, bytes).await?,
            Err(error) => operations::ChangeAnswer::Refused {
                findings: vec![checks::SettingFinding::new(
                    error.path(),
                    &error.to_string(),
                    "a JSON object from paths to values, with null for removal",
                )],
            },
        };
        let status = match answer {
            operations::ChangeAnswer::Changed { .. } | operations::ChangeAnswer::Checked { .. } => {
                StatusCode::OK
            }
            operations::ChangeAnswer::Conflict { .. } => StatusCode::CONFLICT,
            operations::ChangeAnswer::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            operations::ChangeAnswer::Forbidden { .. } => StatusCode::FORBIDDEN,
        };
        Ok(json(status, &answer))
    }

    async fn submit_change(
        &self,
        request: &operations::ChangeRequest,
        patch: Vec<u8>,
    ) -> Result<operations::ChangeAnswer, OperatorError> {
        let change = commands::ChangeSettings {
            id: request.id.to_bytes().to_vec(),
            base: request.base.0,
            patch: patch.into(),
            token_digest: self.digest.to_string(),
        };
        let kind = if request.dry_run {
            self.read_barrier().await?;
            let machine = self.host.log.shared.read();
            machine.settings().dry_run_change(&change)
        } else {
            let action = commands::LogAction::Change(change);
            let submitted = self.host.submit(action).await;
            submitted.map_err(|_| OperatorError::unavailable())?
        };
        change_answer(kind, request.dry_run)
    }

    async fn read_status(&self) -> OperatorResponse {
        let confirmed = self.host.read_barrier().await.is_ok();
        json(StatusCode::OK, &status::collect(self.host, confirmed))
    }

    async fn change_member(&self, body: Bytes) -> Result<OperatorResponse, OperatorError> {
        if self.operator.scope != ownership::OperatorScope::Root {
            return Err(OperatorError::new(
                StatusCode::FORBIDDEN,
                "only operators of root may change the control hosts",
            ));
        }
        let request: operations::MemberRequest = serde_json::from_slice(&body).map_err(|_| {
            OperatorError::new(
                StatusCode::BAD_REQUEST,
                "the body is not a member change: action, name, store and link are allowed",
            )
        })?;
        let change = commands::MemberRequest::from_operator(&request);
        let submitted = self.host.change_member(change).await;
        let kind = submitted.map_err(|_| OperatorError::unavailable())?;
        // The result of an accepted membership change carries no version.
        let answer = match kind {
            commands::ResultKind::Done(_) => operations::ChangeAnswer::Changed {
                version: self.host.log.shared.read().settings().version(),
            },
            other => change_answer(other, false)?,
        };
        let status = match answer {
            operations::ChangeAnswer::Changed { .. } => StatusCode::OK,
            _ => StatusCode::CONFLICT,
        };
        Ok(json(status, &answer))
    }
}

fn change_answer(
    kind: commands::ResultKind,
    dry_run: bool,
) -> Result<operations::ChangeAnswer, OperatorError> {
    match kind {
        commands::ResultKind::Changed(changed) => {
            let version = ids::SettingsVersion(changed.version);
            Ok(if dry_run {
                operations::ChangeAnswer::Checked { version }
            } else {
                operations::ChangeAnswer::Changed { version }
            })
        }
        commands::ResultKind::Conflict(conflict) => Ok(operations::ChangeAnswer::Conflict {
            version: ids::SettingsVersion(conflict.version),
            winner: conflict.winner.as_ref().map(change_record),
        }),
        commands::ResultKind::Refused(refused) => {
            let findings = refused.findings.iter().map(|finding| {
                checks::SettingFinding::new(&finding.path, &finding.found, &finding.allowed)
            });
            Ok(operations::ChangeAnswer::Refused {
                findings: findings.collect(),
            })
        }
        commands::ResultKind::Forbidden(forbidden) => Ok(operations::ChangeAnswer::Forbidden {
            path: forbidden.path,
            operator: forbidden.operator,
        }),
        _ => Err(OperatorError::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the log gave an answer of another kind",
        )),
    }
}

fn change_record(summary: &commands::ChangeSummary) -> operations::ChangeRecord {
    operations::ChangeRecord {
        id: ids::ChangeId::from_slice(&summary.id).unwrap_or(ids::ChangeId(0)),
        base: ids::SettingsVersion(summary.base),
        version: ids::SettingsVersion(summary.version),
        operator: summary.operator.clone(),
        at_ms: summary.wall_millis,
        patch: None,
    }
}

fn json(status: StatusCode, body: &impl Serialize) -> OperatorResponse {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    build_response(status, "application/json", Bytes::from(bytes))
}

fn text(status: StatusCode, body: String) -> OperatorResponse {
    build_response(status, "text/plain; charset=utf-8", Bytes::from(body))
}

fn build_response(status: StatusCode, kind: &'static str, body: Bytes) -> OperatorResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
