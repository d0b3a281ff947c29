//! Checks before a request is queued: route, key, size limits, quota, and whether it can end before
//! the process stops.

use std::time::{Duration, Instant};

use hyper::{
    StatusCode, body,
    http::{self, header},
};
use smol_str::SmolStr;
use waxwing_core::clock::Clock;
use waxwing_fleet::{deployments, dialects};
use waxwing_gate::{crashes, quotas, tickets};
use waxwing_process::bodies;

use crate::{forwarding, intake, state, stopping};

/// Retry delay for callers that reach a stopping entry; another entry serves the retry.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Shortest retry delay for callers over their quota; a few round trips.
const MIN_QUOTA_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Range of the retry delay before the first deployment and of blocked prompts, as a share of the
/// caller's remaining time; callers honour delays up to a third of it.
const RETRY_AFTER_SHARES: std::ops::Range<f64> = 0.2..0.33;

/// Validates a request against the current deployment and reads its body.
pub(crate) async fn accept<C: Clock, D: dialects::RequestDialect>(
    state: &state::EntryState<C, D>,
    arrival: Instant,
    head: http::request::Parts,
    incoming: body::Incoming,
    facts: dialects::RequestFacts,
) -> Result<intake::AcceptedRequest, intake::RequestFailure> {
    let no_deployment = intake::RequestFailure {
        retry_after: facts.deadline.map(late_retry_after),
        ..intake::RequestFailure::new(StatusCode::SERVICE_UNAVAILABLE, "no-deployment")
    };
    if !state.await_confirmation(facts.deadline).await {
        return Err(no_deployment);
    }
    let limits = state
        .deployment
        .load()
        .as_ref()
        .ok_or(no_deployment)?
        .limits();
    if head_length(&head) > limits.head_bytes.0 {
        return Err(intake::RequestFailure::new(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head-too-long",
        ));
    }
    let size_limit = usize::try_from(limits.body_bytes.0).unwrap_or(usize::MAX);
    let reading = state.request_memory.read(incoming, size_limit);
    // An answer after the deadline would be of no use, so a slower body isn't either.
    let body_time = facts.deadline.unwrap_or(limits.idle_time);
    let body = tokio::select! {
        body = reading => body,
        () = state.clock.sleep(body_time) => {
            return Err(intake::RequestFailure::new(
                StatusCode::REQUEST_TIMEOUT,
                "body-timeout",
            ));
        }
    };
    let body = body.map_err(|error| body_failure(&error, no_deployment.retry_after))?;
    // The deployment may have changed while the body was read; the current one decides.
    let deployment = state.deployment.load_full().ok_or(no_deployment)?;
    let host = head.uri.host().or_else(|| {
        let value = head.headers.get(header::HOST)?.to_str().ok()?;
        Some(value.split_once(':').map_or(value, |(host, _)| host))
    });
    let route = host.and_then(|host| deployment.route(host, head.uri.path()));
    let route = route.ok_or(intake::RequestFailure::new(
        StatusCode::NOT_FOUND,
        "no-route",
    ))?;
    let account = match deployment.needs_keys() && !route.public {
        true => {
            let account = facts.key.as_ref().and_then(|key| deployment.account(key));
            let refused = intake::RequestFailure::new(StatusCode::UNAUTHORIZED, "unknown-key");
            Some(account.ok_or(refused)?.clone())
        }
        false => None,
    };
    let draw = rand::random_range(0..route.total_weight().max(1));
    let service = route.target(draw).cloned().unwrap_or_default();
    let facts = dialects::RequestFacts {
        tokens: facts.tokens.map(dialects::TokenCounts::clamped),
        ..facts
    };
    let size = match facts.tokens {
        Some(tokens) => tickets::WorkSize::Generation {
            prompt: tokens.prompt,
            answer: tokens
                .expected
                .unwrap_or(tokens.max_answer)
                .min(tokens.max_answer),
        },
        None => tickets::WorkSize::Call,
    };
    let caller_timeout = facts.deadline.unwrap_or(route.timeout);
    let time_limit = caller_timeout.min(route.timeout);
    let returned = state
        .gate()
        .core
        .patience
        .observe(arrival, &route.name, caller_timeout);
    let prefers_target =
        state
            .gate()
            .core
            .rollouts
            .draw(arrival, &service, &route.name, rand::random());
    let profile = deployment.service(&service).and_then(|found| found.engine);
    Ok(intake::AcceptedRequest {
        event_tokens: profile.map_or(1, |profile| profile.event_tokens),
        headers: forwarding::forwarded_headers(&state.dialect, &head.headers),
        shared_parts: crashes::shared_parts(&facts.parts),
        facts,
        route: route.clone(),
        service,
        account,
        size,
        arrival,
        deadline: arrival + time_limit,
        returned,
        prefers_target,
        method: head.method,
        uri: head.uri,
        body,
    })
}

/// Returns the length of the head of a request in bytes, without the line ends.
fn head_length(head: &http::request::Parts) -> u64 {
    let target = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let fields = head.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len());
    let length = fields.fold(head.method.as_str().len() + target, usize::saturating_add);
    u64::try_from(length).unwrap_or(u64::MAX)
}

/// Builds the failure for a body that was not read; `retry_after` is for a lack of memory.
fn body_failure(
    error: &bodies::BodyError<hyper::Error>,
    retry_after: Option<Duration>,
) -> intake::RequestFailure {
    match error {
        bodies::BodyError::TooLong(_) => {
            intake::RequestFailure::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-long")
        }
        bodies::BodyError::Broken(_) => {
            intake::RequestFailure::new(StatusCode::BAD_REQUEST, "body-broken")
        }
        bodies::BodyError::OutOfMemory => intake::RequestFailure {
            retry_after,
            ..intake::RequestFailure::new(StatusCode::SERVICE_UNAVAILABLE, "no-memory")
        },
    }
}

/// Returns a retry delay that uses most of what callers honour, with the caller's remaining time
/// `left`, for refusals whose cause won't have gone sooner.
fn late_retry_after(left: Duration) -> Duration {
    left.mul_f64(rand::random_range(RETRY_AFTER_SHARES))
}

/// Refuses a request that may be cut off when the process stops.
pub(crate) fn check_stopping<C: Clock, D: dialects::RequestDialect>(
    state: &state::EntryState<C, D>,
    request: &intake::AcceptedRequest,
) -> Result<(), intake::RequestFailure> {
    let Some(requested_at) = state.stop_time.get() else {
        return Ok(());
    };
    let expected_run_time = state
        .gate()
        .core
        .expected_run(&request.service, request.size);
    let starting = stopping::StartingRequest {
        expected_run_time,
        time_limit: intake::remaining_time(state, request),
    };
    let elapsed = state.clock.now().saturating_duration_since(*requested_at);
    match stopping::may_start(elapsed, state.options.grace(), starting) {
        true => Ok(()),
        false => Err(intake::RequestFailure {
            retry_after: Some(STOPPING_RETRY_AFTER),
            ..intake::RequestFailure::new(StatusCode::SERVICE_UNAVAILABLE, "stopping")
        }),
    }
}

/// Refuses a request with a prompt part that crashes endpoints.
pub(crate) fn check_parts<C: Clock, D: dialects::RequestDialect>(
    state: &state::EntryState<C, D>,
    request: &intake::AcceptedRequest,
) -> Result<(), intake::RequestFailure> {
    let now = state.clock.now();
    let decision = state.gate().core.decide_parts(now, &request.shared_parts);
    let crashes::PartDecision::Block(part) = decision else {
        return Ok(());
    };
    tracing::info!(
        event = "part-refused",
        id = %request.facts.id,
        part = %format_args!("{part:x}")
    );
    let left = request.deadline.saturating_duration_since(now);
    Err(intake::RequestFailure {
        retry_after: Some(late_retry_after(left)),
        ..intake::RequestFailure::new(StatusCode::SERVICE_UNAVAILABLE, "crashing-part")
    })
}

/// Counts the request and charges it to the quota of its client account, if there is one. Returns
/// the account and the units charged.
pub(crate) fn charge_quota<C: Clock, D: dialects::RequestDialect>(
    state: &state::EntryState<C, D>,
    request: &intake::AcceptedRequest,
) -> Result<Option<(SmolStr, f64)>, intake::RequestFailure> {
    let now = state.clock.now();
    let mut gate = state.gate();
    gate.core.count_request(now, &request.service);
    let Some(account) = &request.account else {
        return Ok(None);
    };
    let Some(quota) = &account.quota else {
        return Ok(None);
    };
    let cost = match (quota.unit, request.facts.tokens) {
        (deployments::QuotaUnit::Requests, _) => 1.0,
        (deployments::QuotaUnit::Tokens, None) => quota.default_cost,
        (deployments::QuotaUnit::Tokens, Some(tokens)) => {
            let sum = tokens.prompt.saturating_add(tokens.max_answer);
            let sum = u32::try_from(sum).unwrap_or(u32::MAX);
            f64::from(sum)
        }
    };
    let quota_request = quotas::QuotaRequest {
        account: &account.name,
        quota,
        cost,
        rank: request.rank(),
    };
    match gate.core.admit(now, quota_request) {
        Ok(()) => Ok(Some((account.name.clone(), cost))),
        Err(refill_time) => {
            tracing::info!(
                event = "quota-reached",
                id = %request.facts.id,
                account = %account.name,
                route = %request.route.name,
                cost,
                rate = quota.rate,
                burst = quota.burst,
                room_after_ms = refill_time.as_millis()
            );
            let left = request.deadline.saturating_duration_since(now);
            Err(intake::RequestFailure {
                retry_after: Some(refill_time.max(MIN_QUOTA_RETRY_AFTER).min(left)),
                ..intake::RequestFailure::new(StatusCode::TOO_MANY_REQUESTS, "over-quota")
            })
        }
    }
}
