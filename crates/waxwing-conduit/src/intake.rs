//! Life cycle of a request: validation, quota, queue, dispatch to an endpoint, and retries after
//! failures.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{
    Request, Response, StatusCode, body,
    http::{self, HeaderMap, HeaderName, HeaderValue, header},
};
use smol_str::SmolStr;
use waxwing_core::clock::Clock;
use waxwing_fleet::{deployments, dialects};
use waxwing_gate::{crashes, pauses, tickets};

use crate::{answers, checks, errors, forwarding, relay, state, suspects, upstream};

/// Size limit of an answer that is not streamed; it is buffered whole before its head is forwarded.
/// All of them share the memory of the entry's settings.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A request is given up after this many attempts that failed before a byte was written. They cost
/// endpoints nothing, but each uses up a part of the caller's time.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// Part of the latency objective that is reserved for delivering the answer to the caller.
const DELIVERY_MARGIN: Duration = Duration::from_millis(15);

/// Idle time of caller connections that answers announce in `Keep-Alive`. It is short because each
/// connection takes about 20 KB and a busy day has thousands of them.
pub(crate) const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(4);

/// A validated request with its body, route, client account and deadline.
pub(crate) struct AcceptedRequest {
    pub(crate) facts: dialects::RequestFacts,
    pub(crate) route: Arc<deployments::ServiceRoute>,
    pub(crate) service: SmolStr,
    pub(crate) account: Option<Arc<deployments::ClientAccount>>,
    pub(crate) size: tickets::WorkSize,
    /// The ids of the prompt parts that other requests can share.
    pub(crate) shared_parts: Vec<u64>,
    pub(crate) arrival: Instant,
    pub(crate) deadline: Instant,
    /// Whether its caller was probably refused before and is now retrying.
    pub(crate) returned: bool,
    /// Whether it belongs to the part of the requests that a version under roll-out gets.
    pub(crate) prefers_target: bool,
    /// Tokens per event of a stream.
    pub(crate) event_tokens: u32,
    pub(crate) method: http::Method,
    pub(crate) uri: http::Uri,
    /// The caller's headers that are forwarded to endpoints.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl AcceptedRequest {
    /// Returns the tier of the client account, or of the route if the account has none, and the
    /// tier of the route. Lower values are more urgent.
    pub(crate) fn rank(&self) -> (u32, u32) {
        let rank = self.account.as_ref().and_then(|account| account.rank);
        (rank.unwrap_or(self.route.rank), self.route.rank)
    }

    /// Returns the longest pause between two events that its route allows; `None` if the answer is
    /// no stream or the route sets none.
    fn stream_pause(&self) -> Option<pauses::StreamPause> {
        let is_stream = matches!(self.size, tickets::WorkSize::Generation { .. });
        (is_stream && !self.route.max_pause.is_zero()).then_some(pauses::StreamPause {
            longest: self.route.max_pause,
            event_tokens: self.event_tokens,
        })
    }
}

/// An answer of an endpoint that is forwarded to the caller; its body has not been read.
pub(crate) struct UsableAnswer<C: Clock, D> {
    pub(crate) response: Response<body::Incoming>,
    pub(crate) connection: upstream::BusyConnection,
    pub(crate) run: state::StartedRun<C, D>,
    pub(crate) sent: Instant,
}

/// Why a request ends without an answer of an endpoint, and the status for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestFailure {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Option<Duration>,
    /// State that the gate based its refusal on, if the gate refused.
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

/// Attempts made so far to send one request to endpoints.
#[derive(Debug, Clone, Default)]
pub(crate) struct AttemptHistory {
    /// Number of attempts that reached an endpoint.
    pub(crate) delivered: u32,
    /// Number of attempts in which the request may have run.
    pub(crate) possible_runs: u32,
    /// Number of attempts that failed before a byte was written.
    unsent: u32,
    /// Endpoints that failed or refused the request.
    pub(crate) excluded: Vec<SmolStr>,
    /// Whether the last of them may still be at work on it.
    is_running: bool,
}

impl AttemptHistory {
    /// Returns the history for the search for another endpoint while the run at `endpoint` goes on.
    pub(crate) fn while_running(&self, endpoint: &SmolStr) -> Self {
        let mut history = self.clone();
        history.excluded.push(endpoint.clone());
        history.is_running = true;
        history
    }

    /// Returns the same with the attempt in progress at `endpoint`, which has sent no head yet.
    fn while_silent(&self, endpoint: &SmolStr) -> Self {
        let mut history = self.while_running(endpoint);
        history.delivered += 1;
        history.possible_runs += 1;
        history
    }
}

/// Logs a request whose caller disconnects before the head of its answer is ready: the server then
/// drops the future of the request and this guard with it.
struct DisconnectGuard<'a, C: Clock, D> {
    state: &'a state::EntryState<C, D>,
    id: Option<&'a str>,
    arrival: Instant,
    answered: bool,
}

impl<C: Clock, D> Drop for DisconnectGuard<'_, C, D> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let waited = self.state.clock.now();
        let waited = waited.saturating_duration_since(self.arrival);
        self.state.metrics.count_refusal("caller-left");
        tracing::info!(
            event = "caller-left",
            id = self.id,
            waited_ms = waited.as_millis()
        );
    }
}

/// Serves one request of a caller; failures become refusals.
pub(crate) async fn serve<C: Clock, D: dialects::RequestDialect>(
    state: Arc<state::EntryState<C, D>>,
    request: Request<body::Incoming>,
) -> Response<answers::AnswerBody> {
    let arrival = state.clock.now();
    let (head, incoming) = request.into_parts();
    let facts = state.dialect.request(&head);
    let id = facts.as_ref().ok().map(|facts| facts.id.clone());
    let active = state.count_active();
    let mut guard = DisconnectGuard {
        state: &state,
        id: id.as_deref(),
        arrival,
        answered: false,
    };
    let result = match facts {
        Ok(facts) => respond(&state, arrival, head, incoming, facts).await,
        Err(error) => {
            tracing::info!(event = "request-malformed", %error);
            Err(RequestFailure::new(StatusCode::BAD_REQUEST, "malformed"))
        }
    };
    let mut answer = result.unwrap_or_else(|failure| {
        let waited = state.clock.now().saturating_duration_since(arrival);
        state.metrics.count_refusal(failure.reason);
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
    guard.answered = true;
    drop(guard);
    drop(active);
    let headers = answer.headers_mut();
    if state.is_stopping() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    } else {
        let timeout = format!("timeout={}", KEEP_ALIVE_TIMEOUT.as_secs());
        if let Ok(timeout) = HeaderValue::try_from(timeout) {
            headers.insert(HeaderName::from_static("keep-alive"), timeout);
        }
    }
    answer
}

/// Validates a request, charges its quota and forwards it. The quota is refunded if the request did
/// not run.
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
    checks::check_parts(state, &request)?;
    let cost = checks::charge_quota(state, &request)?;
    let result = forward(state, &request).await;
    if let (Err(failure), Some((account, cost))) = (&result, cost)
        && failure.status == StatusCode::SERVICE_UNAVAILABLE
    {
        state.gate().core.quotas.refund(&account, cost);
    }
    result
}

/// Sends a request to endpoints until one answers, and builds the answer to its caller.
async fn forward<C: Clock, D: dialects::RequestDialect>(
    state: &Arc<state::EntryState<C, D>>,
    request: &Arc<AcceptedRequest>,
) -> Result<Response<answers::AnswerBody>, RequestFailure> {
    let mut history = AttemptHistory::default();
    let last_event = request.facts.last_event;
    loop {
        let mut usable = send_with_retries(state, request, &mut history, last_event, None).await?;
        if request.route.kind.is_stream() && usable.response.status().is_success() {
            return Ok(relay::start(
                state.clone(),
                request.clone(),
                history,
                usable,
            ));
        }
        let (head, incoming) = usable.response.into_parts();
        let remaining = remaining_time(state, request);
        let collected = tokio::select! {
            collected = state.answer_memory.read(incoming, MAX_ANSWER_BYTES) => collected,
            () = state.clock.sleep(remaining) => return Err(timeout_failure(&history)),
        };
        match collected {
            Ok(body) => {
                let now = state.clock.now();
                let took = now.saturating_duration_since(usable.sent);
                // A failure has been recorded with the head.
                if !head.status.is_server_error() {
                    usable.run.record_answer(took, &request.shared_parts);
                }
                log_answer(state, request, &history, &usable.run, head.status, None);
                let connection = usable.connection;
                let state = state.clone();
                tokio::spawn(async move {
                    let now = state.clock.now();
                    state.pool.release(connection, now).await;
                });
                let body = answers::AnswerBody::whole(body);
                return Ok(forwarding::caller_answer(head, body));
            }
            Err(error) => {
                usable.run.record_failure();
                suspects::report_broken(state, request, &usable.run);
                tracing::info!(
                    event = "answer-broken",
                    id = %request.facts.id,
                    endpoint = %usable.run.endpoint,
                    %error
                );
                history.excluded.push(usable.run.endpoint.clone());
                drop(usable.run);
                check_retryable(state, request, &history)?;
            }
        }
    }
}

/// Logs and counts an answer that was received completely.
pub(crate) fn log_answer<C: Clock, D: dialects::RequestDialect>(
    state: &state::EntryState<C, D>,
    request: &AcceptedRequest,
    history: &AttemptHistory,
    run: &state::StartedRun<C, D>,
    status: StatusCode,
    longest_pause: Option<Duration>,
) {
    let took = state.clock.now().saturating_duration_since(request.arrival);
    state.metrics.count_answer(status.as_u16());
    state.metrics.observe_latency("whole", took);
    tracing::info!(
        event = "request-answered",
        id = %request.facts.id,
        route = %request.route.name,
        account = request.account.as_ref().map(|account| account.name.as_str()),
        endpoint = %run.endpoint,
        status = status.as_u16(),
        sends = history.delivered,
        first_event_ms = run.first_event_time().map(|first| first.as_millis()),
        longest_pause_ms = longest_pause.map(|pause| pause.as_millis()),
        took_ms = took.as_millis()
    );
}

/// Sends a request to one endpoint after another until one gives a usable answer. `reserved` is a
/// slot that the caller of this function holds already for the first attempt.
pub(crate) async fn send_with_retries<C: Clock, D: dialects::RequestDialect>(
    state: &Arc<state::EntryState<C, D>>,
    request: &AcceptedRequest,
    history: &mut AttemptHistory,
    last_event: Option<u64>,
    reserved: Option<state::StartedRun<C, D>>,
) -> Result<UsableAnswer<C, D>, RequestFailure> {
    let mut reserved = reserved;
    loop {
        let run = match reserved.take() {
            Some(run) => run,
            None => reserve(state, request, history, last_event).await?,
        };
        match attempt(state, request, history, last_event, run).await? {
            AttemptOutcome::Usable(usable) => return Ok(usable),
            AttemptOutcome::Retry => {}
            AttemptOutcome::Moved(next) => reserved = Some(next),
        }
    }
}

/// Waits for a slot for the next attempt. Once an attempt has reached an endpoint, each further one
/// is charged to the retry budget.
pub(crate) async fn reserve<C: Clock, D: dialects::RequestDialect>(
    state: &Arc<state::EntryState<C, D>>,
    request: &AcceptedRequest,
    history: &AttemptHistory,
    last_event: Option<u64>,
) -> Result<state::StartedRun<C, D>, RequestFailure> {
    let run = acquire_slot(state, request, history, last_event).await?;
    if history.possible_runs == 0 {
        checks::check_stopping(state, request)?;
    }
    claim_parts(state, request, history)?;
    if history.delivered > 0 {
        let now = state.clock.now();
        if !state.gate().core.take_retry(now, &request.service) {
            return Err(dispatch_failure(history, "retry-budget"));
        }
    }
    Ok(run)
}

/// Checks the parts of a prompt again when the request is about to be sent, since one of them may
/// have been blocked while it was queued or sent before.
fn claim_parts<C: Clock, D: dialects::RequestDialect>(
    state: &state::EntryState<C, D>,
    request: &AcceptedRequest,
    history: &AttemptHistory,
) -> Result<(), RequestFailure> {
    let now = state.clock.now();
    let mut gate = state.gate();
    match gate.core.decide_parts(now, &request.shared_parts) {
        crashes::PartDecision::Send => Ok(()),
        crashes::PartDecision::Trial => {
            tracing::info!(event = "part-tried", id = %request.facts.id);
            gate.core.crashes.start_trial(now, &request.shared_parts);
            Ok(())
        }
        crashes::PartDecision::Block(_) => Err(dispatch_failure(history, "crashing-part")),
    }
}

/// Result of an attempt that didn't end the request.
enum AttemptOutcome<C: Clock, D> {
    /// The endpoint gave an answer that is forwarded.
    Usable(UsableAnswer<C, D>),
    /// The request may be sent to another endpoint.
    Retry,
    /// The endpoint was silent and was given up for this slot at another one.
    Moved(state::StartedRun<C, D>),
}

/// Sends a request to one endpoint.
async fn attempt<C: Clock, D: dialects::RequestDialect>(
    state: &Arc<state::EntryState<C, D>>,
    request: &AcceptedRequest,
    history: &mut AttemptHistory,
    last_event: Option<u64>,
    run: state::StartedRun<C, D>,
) -> Result<AttemptOutcome<C, D>, RequestFailure> {
    let repeatable = request.route.kind.is_repeatable();
    let sent = state.clock.now();
    let waited = sent.saturating_duration_since(request.arrival);
    state.metrics.observe_latency("waited", waited);
    state.metrics.count_place(run.inputs.is_remote);
    tracing::info!(
        event = "request-started",
        id = %request.facts.id,
        service = %request.service,
        endpoint = %run.endpoint,
        address = %run.address,
        expected_ms = run.expected.as_millis(),
        running = run.inputs.running,
        backlog = run.inputs.backlog,
        pace_percent = run.inputs.pace.map(|(pace, _)| (pace * 100.0).round()),
        pace_age_ms = run.inputs.pace.map(|(_, age)| age.as_millis()),
        remote = run.inputs.is_remote,
        shortage = run.inputs.shortage,
        waited_ms = waited.as_millis(),
        left_ms = remaining_time(state, request).as_millis(),
        rank = request.rank().0,
        route_rank = request.rank().1,
        returned = request.returned,
        size = ?request.size,
        send = history.delivered + 1,
        last_event
    );
    let head = await_head(state, request, history, last_event, &run, sent).await?;
    let outcome = match head {
        HeadOutcome::Received(outcome) => outcome,
        HeadOutcome::Moved(next) => return Ok(AttemptOutcome::Moved(next)),
    };
    let answer = match outcome {
        Ok(answer) => {
            history.delivered += 1;
            answer
        }
        Err(error) => {
            match error {
                errors::SendError::NotSent(_) => run.record_connect_failure(),
                errors::SendError::Lost(_) => run.record_failure(),
            }
            state.metrics.count_attempt(match error {
                errors::SendError::NotSent(_) => "not-sent",
                errors::SendError::Lost(_) => "lost",
            });
            log_failed_send(state, request, &run, sent, &error);
            history.excluded.push(run.endpoint.clone());
            match error {
                errors::SendError::NotSent(_) => {
                    history.unsent += 1;
                    if history.unsent >= MAX_UNSENT_ATTEMPTS {
                        return Err(dispatch_failure(history, "unreachable"));
                    }
                }
                errors::SendError::Lost(_) => {
                    history.delivered += 1;
                    history.possible_runs += 1;
                    check_retryable(state, request, history)?;
                }
            }
            return Ok(AttemptOutcome::Retry);
        }
    };
    let (response, connection) = answer.split();
    let (head, incoming) = response.into_parts();
    let facts = state.dialect.answer(&request.facts.id, &head);
    // The headers of an answer without a valid status are not trusted either.
    let is_own = facts.id_matches && forwarding::is_final(head.status);
    if is_own {
        run.record_statements(&facts, sent);
    }
    // An endpoint may write the refusal of an earlier request where this one's answer is due.
    if facts.not_run && is_own {
        state.metrics.count_attempt("refused");
        tracing::info!(
            event = "endpoint-refused",
            id = %request.facts.id,
            endpoint = %run.endpoint,
            status = head.status.as_u16(),
            load = ?facts.load
        );
        run.record_refusal();
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            run.record_connect_failure();
        }
        history.excluded.push(run.endpoint.clone());
        return Ok(AttemptOutcome::Retry);
    }
    history.possible_runs += 1;
    if !is_own || !facts.sealed {
        run.record_failure();
        state.metrics.count_attempt("rejected");
        tracing::info!(
            event = "answer-rejected",
            id = %request.facts.id,
            endpoint = %run.endpoint,
            status = head.status.as_u16(),
            own = facts.id_matches,
            sealed = facts.sealed
        );
        history.excluded.push(run.endpoint.clone());
        check_retryable(state, request, history)?;
        return Ok(AttemptOutcome::Retry);
    }
    if head.status.is_server_error() {
        run.record_failure();
        state.metrics.count_attempt("failed");
        tracing::info!(
            event = "endpoint-failed",
            id = %request.facts.id,
            endpoint = %run.endpoint,
            status = head.status.as_u16(),
            load = ?facts.load,
            repeatable
        );
        let retry = repeatable && history.possible_runs < request.route.attempts;
        if retry {
            history.excluded.push(run.endpoint.clone());
            return Ok(AttemptOutcome::Retry);
        }
    }
    if !head.status.is_server_error() {
        state.metrics.count_attempt("answered");
    }
    let response = Response::from_parts(head, incoming);
    Ok(AttemptOutcome::Usable(UsableAnswer {
        response,
        connection,
        run,
        sent,
    }))
}

/// Result of waiting for the head of an answer.
enum HeadOutcome<C: Clock, D> {
    Received(Result<upstream::EndpointAnswer, errors::SendError>),
    /// The endpoint was silent and was given up for this slot at another one.
    Moved(state::StartedRun<C, D>),
}

/// Sends a request and waits for the head of the answer. While a repeatable request gets none, a
/// slot at another endpoint is sought; without one, the silent endpoint may still answer.
async fn await_head<C: Clock, D: dialects::RequestDialect>(
    state: &Arc<state::EntryState<C, D>>,
    request: &AcceptedRequest,
    history: &mut AttemptHistory,
    last_event: Option<u64>,
    run: &state::StartedRun<C, D>,
    sent: Instant,
) -> Result<HeadOutcome<C, D>, RequestFailure> {
    let sending = state.pool.send(
        &state.clock,
        &run.endpoint,
        run.address,
        forwarding::endpoint_request(state, request, run, last_event),
        request.route.kind.is_repeatable(),
    );
    tokio::pin!(sending);
    loop {
        let remaining = remaining_time(state, request);
        let head_timeout = answer_head_timeout(request, run, history);
        tokio::select! {
            outcome = &mut sending => return Ok(HeadOutcome::Received(outcome)),
            () = state.clock.sleep(remaining.min(head_timeout)) => {}
        }
        if remaining <= head_timeout {
            history.delivered += 1;
            history.possible_runs += 1;
            state.metrics.count_attempt("timed-out");
            return Err(timeout_failure(history));
        }
        let next_history = history.while_silent(&run.endpoint);
        let next = tokio::select! {
            outcome = &mut sending => return Ok(HeadOutcome::Received(outcome)),
            next = reserve(state, request, &next_history, last_event) => next,
        };
        if let Ok(next) = next {
            run.record_failure();
            state.metrics.count_attempt("lost");
            log_failed_send(
                state,
                request,
                run,
                sent,
                &errors::SendError::Lost("silent"),
            );
            *history = AttemptHistory {
                is_running: false,
                ..next_history
            };
            return Ok(HeadOutcome::Moved(next));
        }
    }
}

/// Logs an attempt that got no answer.
fn log_failed_send<C: Clock, D: dialects::RequestDialect>(
    state: &state::EntryState<C, D>,
    request: &AcceptedRequest,
    run: &state::StartedRun<C, D>,
    sent: Instant,
    error: &errors::SendError,
) {
    tracing::info!(
        event = "send-failed",
        id = %request.facts.id,
        endpoint = %run.endpoint,
        after_ms = state.clock.now().saturating_duration_since(sent).as_millis(),
        %error
    );
}

/// Returns how long to wait for the head of an answer before the request is sent to another
/// endpoint; unlimited if it must not run again.
fn answer_head_timeout<C: Clock, D>(
    request: &AcceptedRequest,
    run: &state::StartedRun<C, D>,
    history: &AttemptHistory,
) -> Duration {
    let may_retry =
        request.route.kind.is_repeatable() && history.possible_runs + 1 < request.route.attempts;
    match may_retry {
        true => (run.expected * 4).max(request.route.objective.mul_f64(1.2)),
        false => Duration::MAX,
    }
}

/// Queues a request until the gate assigns it a slot at an endpoint.
async fn acquire_slot<C: Clock, D: dialects::RequestDialect>(
    state: &Arc<state::EntryState<C, D>>,
    request: &AcceptedRequest,
    history: &AttemptHistory,
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
        pause: request.stream_pause(),
        returned: request.returned,
        // A caller that resumes a stream already has a part of the answer, so less work is left.
        resumed: history.possible_runs > 0 || last_event.is_some(),
        excluded: history.excluded.clone(),
        may_go_back: !history.is_running,
        prefers_target: request.prefers_target && history.delivered == 0,
    };
    let started = state.wait_for_slot(ticket, &request.route.name).await;
    started.map_err(|refusal| {
        let mut failure = dispatch_failure(history, refusal.reason.as_str());
        if failure.status == StatusCode::SERVICE_UNAVAILABLE {
            failure.retry_after = refusal.retry_after;
        }
        failure.inputs = Some(refusal.inputs);
        failure
    })
}

/// Fails unless a request that may have run is allowed another run and has time left for it.
pub(crate) fn check_retryable<C: Clock, D: dialects::RequestDialect>(
    state: &state::EntryState<C, D>,
    request: &AcceptedRequest,
    history: &AttemptHistory,
) -> Result<(), RequestFailure> {
    let allowed =
        request.route.kind.is_repeatable() && history.possible_runs < request.route.attempts;
    match allowed && !remaining_time(state, request).is_zero() {
        true => Ok(()),
        false => Err(RequestFailure::new(StatusCode::BAD_GATEWAY, "answer-lost")),
    }
}

/// Returns the time until the deadline of a request.
pub(crate) fn remaining_time<C: Clock, D>(
    state: &state::EntryState<C, D>,
    request: &AcceptedRequest,
) -> Duration {
    request
        .deadline
        .saturating_duration_since(state.clock.now())
}

/// Builds the failure of a request whose deadline has passed: 503 if it has not run, 504 if it may
/// have run.
fn timeout_failure(history: &AttemptHistory) -> RequestFailure {
    match history.possible_runs {
        0 => RequestFailure::new(StatusCode::SERVICE_UNAVAILABLE, "deadline"),
        _ => RequestFailure::new(StatusCode::GATEWAY_TIMEOUT, "deadline"),
    }
}

/// Builds the failure of a request that no endpoint answered: 503 if it has not run, 502 if it
/// may have run.
fn dispatch_failure(history: &AttemptHistory, reason: &'static str) -> RequestFailure {
    match history.possible_runs {
        0 => RequestFailure::new(StatusCode::SERVICE_UNAVAILABLE, reason),
        _ => RequestFailure::new(StatusCode::BAD_GATEWAY, reason),
    }
}
