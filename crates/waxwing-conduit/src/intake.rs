//! From the head of a request to its answer: checks, quota, queue, endpoint, and what is tried
//! again after a failure.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};
use hyper::{
    Request, Response, StatusCode, body,
    http::{self, HeaderMap, HeaderName, HeaderValue, header},
};
use smol_str::SmolStr;
use waxwing_core::clock::Clock;
use waxwing_fleet::{deployments, dialects};
use waxwing_gate::tickets;

use crate::{answers, checks, errors, forwarding, relay, state, upstream};

/// The longest plain answer that is read whole before its head is passed on.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Sends that failed before a byte was written, after which a request is given up. They cost
/// endpoints nothing, but each takes a part of the caller's time.
const MAX_UNSENT: u32 = 4;

/// Time before an objective at which an answer must leave the entry to be on time at the caller.
const DELIVERY_MARGIN: Duration = Duration::from_millis(15);

/// Time for which a caller may leave a connection idle, as every answer tells. Each connection
/// takes some 20 KB, and a heavy day has thousands of them.
pub(crate) const KEPT_IDLE: Duration = Duration::from_secs(4);

/// An `AcceptedRequest` is a request that is proper and allowed.
pub(crate) struct AcceptedRequest {
    pub(crate) facts: dialects::RequestFacts,
    pub(crate) route: Arc<deployments::ServiceRoute>,
    pub(crate) service: SmolStr,
    pub(crate) account: Option<Arc<deployments::ClientAccount>>,
    pub(crate) size: tickets::WorkSize,
    pub(crate) arrival: Instant,
    pub(crate) deadline: Instant,
    /// Whether its caller has probably been refused before.
    pub(crate) returned: bool,
    /// Tokens in one event of a stream.
    pub(crate) event_tokens: u32,
    pub(crate) method: http::Method,
    pub(crate) uri: http::Uri,
    /// The caller's headers that go on to endpoints.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl AcceptedRequest {
    /// Returns the rank of its client account, or else of its route, and that of its route.
    pub(crate) fn rank(&self) -> (u32, u32) {
        let rank = self.account.as_ref().and_then(|account| account.rank);
        (rank.unwrap_or(self.route.rank), self.route.rank)
    }
}

/// A `GivenAnswer` is an answer of an endpoint that is worth passing on.
pub(crate) struct GivenAnswer<C: Clock, D> {
    pub(crate) response: Response<body::Incoming>,
    pub(crate) connection: upstream::SpentConnection,
    pub(crate) run: state::StartedRun<C, D>,
    pub(crate) sent: Instant,
}

/// A `RequestFailure` ends a request without an answer of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestFailure {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Option<Duration>,
    /// What the gate decided on, if it did.
    pub(crate) inputs: Option<tickets::RefusalInputs>,
}

impl RequestFailure {
    pub(crate) const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
            inputs: None,
        }
    }
}

/// The sends of one request so far.
#[derive(Debug, Default)]
pub(crate) struct SendHistory {
    /// Sends that reached an endpoint.
    pub(crate) arrivals: u32,
    /// Sends after which the request may have run.
    pub(crate) runs: u32,
    /// Sends that failed before a byte was written.
    unsent: u32,
    /// Endpoints that are not asked again.
    pub(crate) excluded: Vec<SmolStr>,
}

/// An `AnswerWatch` logs a request whose caller leaves before the head of its answer is there: the
/// connection drops what still works on it.
struct AnswerWatch<'a, C: Clock, D> {
    state: &'a state::EntryState<C, D>,
    id: Option<&'a str>,
    arrival: Instant,
    answered: bool,
}

impl<C: Clock, D> Drop for AnswerWatch<'_, C, D> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let waited = self.state.clock.now();
        let waited = waited.saturating_duration_since(self.arrival);
        self.state.metrics.refused("caller-left");
        tracing::info!(
            event = "caller-left",
            id = self.id,
            waited_ms = waited.as_millis()
        );
    }
}

/// Answers a request of a caller.
pub(crate) async fn serve<C: Clock, D: dialects::RequestDialect>(
    state: Arc<state::EntryState<C, D>>,
    request: Request<body::Incoming>,
) -> Response<answers::AnswerBody> {
    let arrival = state.clock.now();
    let (head, incoming) = request.into_parts();
    let facts = state.dialect.request(&head);
    let id = facts.as_ref().ok().map(|facts| facts.id.clone());
    let active = state.count_active();
    let mut watch = AnswerWatch {
        state: &state,
        id: id.as_deref(),
        arrival,
        answered: false,
    };
    let answered = match facts {
        Ok(facts) => respond(&state, arrival, head, incoming, facts).await,
        Err(error) => {
            tracing::info!(event = "request-malformed", %error);
            Err(RequestFailure::new(StatusCode::BAD_REQUEST, "malformed"))
        }
    };
    let mut answer = answered.unwrap_or_else(|failure| {
        let waited = state.clock.now().saturating_duration_since(arrival);
        state.metrics.refused(failure.reason);
        tracing::info!(
            event = "request-refused",
            id = id.as_deref(),
            status = failure.status.as_u16(),
            reason = failure.reason,
            waited_ms = waited.as_millis(),
            retry_after_ms = failure.retry_after.map(|after| after.as_millis()),
            rank = failure.inputs.map(|inputs| inputs.rank.0),
            route_rank = failure.inputs.map(|inputs| inputs.rank.1),
            returned = failure.inputs.map(|inputs| inputs.returned),
            ahead = failure.inputs.map(|inputs| inputs.ahead),
            slots = failure.inputs.map(|inputs| inputs.slots),
            free = failure.inputs.map(|inputs| inputs.free),
            slot_interval_ms = failure
                .inputs
                .map(|inputs| inputs.slot_interval.as_millis()),
            version = state.deployment.load().as_ref().map(|held| held.version()),
        );
        answers::refuse(
            &state.dialect,
            failure.status,
            id.as_deref(),
            failure.reason,
            failure.retry_after,
        )
    });
    watch.answered = true;
    drop(watch);
    drop(active);
    let headers = answer.headers_mut();
    if state.is_stopping() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    } else {
        let timeout = format!("timeout={}", KEPT_IDLE.as_secs());
        if let Ok(timeout) = HeaderValue::try_from(timeout) {
            headers.insert(HeaderName::from_static("keep-alive"), timeout);
        }
    }
    answer
}

async fn respond<C: Clock, D: dialects::RequestDialect>(
    state: &Arc<state::EntryState<C, D>>,
    arrival: Instant,
    head: http::request::Parts,
    incoming: body::Incoming,
    facts: dialects::RequestFacts,
) -> Result<Response<answers::AnswerBody>, RequestFailure> {
    let request = checks::accept(state, arrival, head, incoming, facts).await?;
    let request = Arc::new(request);
    checks::check_stopping(state, &request)?;
    let cost = checks::admit(state, &request)?;
    let answered = run(state, &request).await;
    if let (Err(failure), Some((account, cost))) = (&answered, cost)
        && failure.status == StatusCode::SERVICE_UNAVAILABLE
    {
        state.gate().core.quotas.refund(&account, cost);
    }
    answered
}

/// Runs a request and builds the answer to its caller.
async fn run<C: Clock, D: dialects::RequestDialect>(
    state: &Arc<state::EntryState<C, D>>,
    request: &Arc<AcceptedRequest>,
) -> Result<Response<answers::AnswerBody>, RequestFailure> {
    let mut history = SendHistory::default();
    let last_event = request.facts.last_event;
    loop {
        let mut given = obtain(state, request, &mut history, last_event).await?;
        if request.route.kind.is_stream() && given.response.status().is_success() {
            return Ok(relay::start(state.clone(), request.clone(), history, given));
        }
        let (head, incoming) = given.response.into_parts();
        let limited = Limited::new(incoming, MAX_ANSWER_BYTES);
        let left = remaining(state, request);
        let collected = tokio::select! {
            collected = limited.collect() => collected,
            () = state.clock.sleep(left) => return Err(timed_out(&history)),
        };
        match collected {
            Ok(body) => {
                let now = state.clock.now();
                given
                    .run
                    .answered(now.saturating_duration_since(given.sent));
                log_answer(state, request, &history, &given.run, head.status);
                let connection = given.connection;
                let state = state.clone();
                tokio::spawn(async move {
                    let now = state.clock.now();
                    state.pool.give_back(connection, now).await;
                });
                let body = answers::AnswerBody::whole(body.to_bytes());
                return Ok(forwarding::returned_answer(head, body));
            }
            Err(error) => {
                given.run.failed();
                tracing::info!(
                    event = "answer-broken",
                    id = %request.facts.id,
                    endpoint = %given.run.endpoint,
                    %error
                );
                history.excluded.push(given.run.endpoint.clone());
                drop(given.run);
                check_repeat(state, request, &history)?;
            }
        }
    }
}

/// Logs an answer that is passed on whole.
pub(crate) fn log_answer<C: Clock, D: dialects::RequestDialect>(
    state: &state::EntryState<C, D>,
    request: &AcceptedRequest,
    history: &SendHistory,
    run: &state::StartedRun<C, D>,
    status: StatusCode,
) {
    let took = state.clock.now().saturating_duration_since(request.arrival);
    state.metrics.answered(status.as_u16());
    state.metrics.took("whole", took);
    tracing::info!(
        event = "request-answered",
        id = %request.facts.id,
        route = %request.route.name,
        account = request.account.as_ref().map(|account| account.name.as_str()),
        endpoint = %run.endpoint,
        status = status.as_u16(),
        sends = history.arrivals,
        first_event_ms = run.first_event_time().map(|first| first.as_millis()),
        took_ms = took.as_millis()
    );
}

/// Sends a request until an endpoint gives an answer that is worth passing on.
pub(crate) async fn obtain<C: Clock, D: dialects::RequestDialect>(
    state: &Arc<state::EntryState<C, D>>,
    request: &AcceptedRequest,
    history: &mut SendHistory,
    last_event: Option<u64>,
) -> Result<GivenAnswer<C, D>, RequestFailure> {
    loop {
        let run = start(state, request, history, last_event).await?;
        if history.arrivals > 0 {
            let now = state.clock.now();
            if !state.gate().core.take_retry(now, &request.service) {
                return Err(given_up(history, "retry-budget"));
            }
        }
        if let Some(given) = attempt(state, request, history, last_event, run).await? {
            return Ok(given);
        }
    }
}

/// Sends a request once. `None` says that it may be sent to another endpoint.
async fn attempt<C: Clock, D: dialects::RequestDialect>(
    state: &Arc<state::EntryState<C, D>>,
    request: &AcceptedRequest,
    history: &mut SendHistory,
    last_event: Option<u64>,
    mut run: state::StartedRun<C, D>,
) -> Result<Option<GivenAnswer<C, D>>, RequestFailure> {
    let repeatable = request.route.kind.is_repeatable();
    let sent = state.clock.now();
    let waited = sent.saturating_duration_since(request.arrival);
    state.metrics.took("waited", waited);
    tracing::info!(
        event = "request-started",
        id = %request.facts.id,
        service = %request.service,
        endpoint = %run.endpoint,
        address = %run.address,
        expected_ms = run.expected.as_millis(),
        waited_ms = waited.as_millis(),
        left_ms = remaining(state, request).as_millis(),
        rank = request.rank().0,
        route_rank = request.rank().1,
        returned = request.returned,
        size = ?request.size,
        send = history.arrivals + 1,
        last_event
    );
    let outgoing = forwarding::outgoing(state, request, &run, last_event);
    let sending = state.pool.send(
        &state.clock,
        &run.endpoint,
        run.address,
        outgoing,
        repeatable,
    );
    let left = remaining(state, request);
    let patience = silence_limit(request, &run, history);
    let outcome = tokio::select! {
        outcome = sending => outcome,
        () = state.clock.sleep(left.min(patience)) => {
            history.arrivals += 1;
            history.runs += 1;
            if left <= patience {
                state.metrics.sent("timed-out");
                return Err(timed_out(history));
            }
            Err(errors::SendError::Lost("silent"))
        }
    };
    let answer = match outcome {
        Ok(answer) => {
            history.arrivals += 1;
            answer
        }
        Err(error) => {
            match error {
                errors::SendError::NotSent(_) => run.unreachable(),
                errors::SendError::Lost(_) => run.failed(),
            }
            state.metrics.sent(match error {
                errors::SendError::NotSent(_) => "not-sent",
                errors::SendError::Lost(_) => "lost",
            });
            tracing::info!(
                event = "send-failed",
                id = %request.facts.id,
                endpoint = %run.endpoint,
                after_ms = state.clock.now().saturating_duration_since(sent).as_millis(),
                %error
            );
            history.excluded.push(run.endpoint.clone());
            match error {
                errors::SendError::NotSent(_) => {
                    history.unsent += 1;
                    if history.unsent >= MAX_UNSENT {
                        return Err(given_up(history, "unreachable"));
                    }
                }
                errors::SendError::Lost(reason) => {
                    if reason != "silent" {
                        history.arrivals += 1;
                        history.runs += 1;
                    }
                    check_repeat(state, request, history)?;
                }
            }
            return Ok(None);
        }
    };
    let (response, connection) = answer.split();
    let (head, incoming) = response.into_parts();
    let facts = state.dialect.answer(&request.facts.id, &head);
    if let Some(load) = facts.load {
        run.reported(load);
    }
    if facts.not_run {
        state.metrics.sent("refused");
        tracing::info!(
            event = "endpoint-refused",
            id = %request.facts.id,
            endpoint = %run.endpoint,
            status = head.status.as_u16(),
            load = ?facts.load
        );
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            run.unreachable();
        }
        history.excluded.push(run.endpoint.clone());
        return Ok(None);
    }
    history.runs += 1;
    if !facts.id_matches || !facts.sealed {
        run.failed();
        state.metrics.sent("rejected");
        tracing::info!(
            event = "answer-rejected",
            id = %request.facts.id,
            endpoint = %run.endpoint,
            status = head.status.as_u16(),
            own = facts.id_matches,
            sealed = facts.sealed
        );
        history.excluded.push(run.endpoint.clone());
        check_repeat(state, request, history)?;
        return Ok(None);
    }
    if head.status.is_server_error() {
        run.failed();
        state.metrics.sent("failed");
        tracing::info!(
            event = "endpoint-failed",
            id = %request.facts.id,
            endpoint = %run.endpoint,
            status = head.status.as_u16(),
            load = ?facts.load,
            repeatable
        );
        let again = repeatable && history.runs < request.route.attempts;
        if again {
            history.excluded.push(run.endpoint.clone());
            return Ok(None);
        }
    }
    if !head.status.is_server_error() {
        state.metrics.sent("answered");
    }
    let response = Response::from_parts(head, incoming);
    Ok(Some(GivenAnswer {
        response,
        connection,
        run,
        sent,
    }))
}

/// Returns how long an endpoint may say nothing before a request that may be repeated goes
/// elsewhere.
fn silence_limit<C: Clock, D>(
    request: &AcceptedRequest,
    run: &state::StartedRun<C, D>,
    history: &SendHistory,
) -> Duration {
    let may_repeat =
        request.route.kind.is_repeatable() && history.runs + 1 < request.route.attempts;
    match may_repeat {
        true => (run.expected * 4).max(request.route.objective.mul_f64(1.2)),
        false => Duration::MAX,
    }
}

/// Waits for an endpoint.
async fn start<C: Clock, D: dialects::RequestDialect>(
    state: &Arc<state::EntryState<C, D>>,
    request: &AcceptedRequest,
    history: &SendHistory,
    last_event: Option<u64>,
) -> Result<state::StartedRun<C, D>, RequestFailure> {
    let ticket = tickets::WaitingTicket {
        service: request.service.clone(),
        rank: request.rank(),
        arrival: request.arrival,
        queued: state.clock.now(),
        due: request.arrival + request.route.objective.saturating_sub(DELIVERY_MARGIN),
        deadline: request.deadline,
        size: request.size,
        returned: request.returned,
        // A caller that resumes a stream has a part of the answer, and less is left to do.
        resumed: history.runs > 0 || last_event.is_some(),
        excluded: history.excluded.clone(),
    };
    let started = state.await_start(ticket).await;
    started.map_err(|refusal| {
        let mut failure = given_up(history, refusal.reason.as_str());
        if failure.status == StatusCode::SERVICE_UNAVAILABLE {
            failure.retry_after = refusal.retry_after;
        }
        failure.inputs = Some(refusal.inputs);
        failure
    })
}

/// Fails unless a request that may have run may run again.
pub(crate) fn check_repeat<C: Clock, D: dialects::RequestDialect>(
    state: &state::EntryState<C, D>,
    request: &AcceptedRequest,
    history: &SendHistory,
) -> Result<(), RequestFailure> {
    let allowed = request.route.kind.is_repeatable() && history.runs < request.route.attempts;
    match allowed && !remaining(state, request).is_zero() {
        true => Ok(()),
        false => Err(RequestFailure::new(StatusCode::BAD_GATEWAY, "answer-lost")),
    }
}

/// Returns the time that a request has left.
pub(crate) fn remaining<C: Clock, D>(
    state: &state::EntryState<C, D>,
    request: &AcceptedRequest,
) -> Duration {
    request
        .deadline
        .saturating_duration_since(state.clock.now())
}

fn timed_out(history: &SendHistory) -> RequestFailure {
    match history.runs {
        0 => RequestFailure::new(StatusCode::SERVICE_UNAVAILABLE, "deadline"),
        _ => RequestFailure::new(StatusCode::GATEWAY_TIMEOUT, "deadline"),
    }
}

/// Says "not run" only if no endpoint may have run the request.
fn given_up(history: &SendHistory, reason: &'static str) -> RequestFailure {
    match history.runs {
        0 => RequestFailure::new(StatusCode::SERVICE_UNAVAILABLE, reason),
        _ => RequestFailure::new(StatusCode::BAD_GATEWAY, reason),
    }
}
