//! Passing a stream of events on, and going on at another endpoint where the route allows it.

use std::{sync::Arc, time::Duration};

use http_body_util::BodyExt as _;
use hyper::{Response, body};
use tokio::sync::mpsc;
use waxwing_core::clock::Clock;
use waxwing_fleet::{deployments, dialects};

use crate::{answers, errors, events, forwarding, intake, state, upstream};

/// Pieces that may wait for a slow caller; a stream's events are small.
const PIECE_QUEUE: usize = 32;

/// The shortest silence within a stream after which it goes on elsewhere.
const MIN_STALL: Duration = Duration::from_millis(1_200);

/// Pauses of the longest allowed length after which a stream goes on elsewhere.
const STALL_PAUSES: u32 = 3;

type PieceSender = mpsc::Sender<Result<bytes::Bytes, errors::RelayError>>;

/// A `StreamSource` is the run from which events come at present.
struct StreamSource<C: Clock, D> {
    body: body::Incoming,
    connection: upstream::BusyConnection,
    run: state::StartedRun<C, D>,
    sent: std::time::Instant,
    /// When the first event came, and its id.
    first: Option<(std::time::Instant, Option<u64>)>,
}

impl<C: Clock, D> StreamSource<C, D> {
    fn split(given: intake::GivenAnswer<C, D>) -> (hyper::http::response::Parts, Self) {
        let (head, body) = given.response.into_parts();
        let source = Self {
            body,
            connection: given.connection,
            run: given.run,
            sent: given.sent,
            first: None,
        };
        (head, source)
    }
}

/// What came of waiting for the next piece.
enum NextPiece {
    Data(bytes::Bytes),
    End,
    Broken,
    CallerLeft,
    Late,
}

/// A `StreamRelay` passes one stream on.
struct StreamRelay<C: Clock, D> {
    state: Arc<state::EntryState<C, D>>,
    request: Arc<intake::AcceptedRequest>,
    history: intake::SendHistory,
    pieces: PieceSender,
    splitter: events::EventSplitter,
    _active: state::ActiveRequest<C, D>,
}

/// Starts to pass a stream on and returns the answer to the caller.
pub(crate) fn start<C: Clock, D: dialects::RequestDialect>(
    state: Arc<state::EntryState<C, D>>,
    request: Arc<intake::AcceptedRequest>,
    history: intake::SendHistory,
    given: intake::GivenAnswer<C, D>,
) -> Response<answers::AnswerBody> {
    let (pieces, receiver) = mpsc::channel(PIECE_QUEUE);
    let (head, source) = StreamSource::split(given);
    let splitter = events::EventSplitter::starting_after(request.facts.last_event);
    let active = state.count_active();
    let relay = StreamRelay {
        _active: active,
        state,
        request,
        history,
        pieces,
        splitter,
    };
    tokio::spawn(relay.run(source));
    forwarding::caller_answer(head, answers::AnswerBody::Chunks(receiver))
}

impl<C: Clock, D: dialects::RequestDialect> StreamRelay<C, D> {
    async fn run(mut self, mut source: StreamSource<C, D>) {
        loop {
            match self.next_piece(&mut source).await {
                NextPiece::Data(data) => {
                    let complete = self.splitter.push(&data);
                    if self.splitter.is_oversized() {
                        return self
                            .break_off(errors::RelayError::Broken, "event-too-long")
                            .await;
                    }
                    if complete.is_empty() {
                        continue;
                    }
                    if source.first.is_none() {
                        let now = self.state.clock.now();
                        source.first = Some((now, self.splitter.last_id()));
                        let took = now.saturating_duration_since(source.sent);
                        source.run.record_first_event(took);
                        self.state.metrics.observe_latency("first-event", took);
                    }
                    if self.pieces.send(Ok(complete)).await.is_err() {
                        return self.caller_left(&source);
                    }
                }
                NextPiece::End if !self.splitter.has_partial() => {
                    let now = self.state.clock.now();
                    self.take_end(&mut source, now);
                    self.state.metrics.count_stream("whole");
                    let (state, request) = (&self.state, &self.request);
                    let status = hyper::StatusCode::OK;
                    intake::log_answer(state, request, &self.history, &source.run, status);
                    drop(source.run);
                    self.state.pool.release(source.connection, now).await;
                    return;
                }
                NextPiece::End | NextPiece::Broken => {
                    source.run.record_failure();
                    match self.go_on(source).await {
                        Some(next) => source = next,
                        None => return,
                    }
                }
                NextPiece::CallerLeft => return self.caller_left(&source),
                NextPiece::Late => {
                    return self
                        .break_off(errors::RelayError::Deadline, "deadline")
                        .await;
                }
            }
        }
    }

    /// Tells the gate how fast a run was that has ended.
    fn take_end(&self, source: &mut StreamSource<C, D>, now: std::time::Instant) {
        let Some((first, first_id)) = source.first else {
            return;
        };
        let events = self.splitter.last_id().zip(first_id);
        let events = events.map_or(0, |(last, first)| last.saturating_sub(first));
        let tokens = events * u64::from(self.request.event_tokens);
        let took = now.saturating_duration_since(first);
        let whole = now.saturating_duration_since(source.sent);
        source.run.record_generation(tokens, took, whole);
    }

    async fn next_piece(&self, source: &mut StreamSource<C, D>) -> NextPiece {
        let left = intake::remaining_time(&self.state, &self.request);
        let stall = self.stall_limit(source);
        tokio::select! {
            frame = source.body.frame() => match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => NextPiece::Data(data),
                    Err(_) => NextPiece::Data(bytes::Bytes::new()),
                },
                Some(Err(error)) => {
                    tracing::info!(
                        event = "stream-broken",
                        id = %self.request.facts.id,
                        endpoint = %source.run.endpoint,
                        last = self.splitter.last_id(),
                        %error
                    );
                    NextPiece::Broken
                }
                None => NextPiece::End,
            },
            () = self.pieces.closed() => NextPiece::CallerLeft,
            () = self.state.clock.sleep(left.min(stall)) => match left <= stall {
                true => NextPiece::Late,
                false => {
                    tracing::info!(
                        event = "stream-stalled",
                        id = %self.request.facts.id,
                        endpoint = %source.run.endpoint,
                        last = self.splitter.last_id(),
                        limit_ms = stall.as_millis()
                    );
                    NextPiece::Broken
                }
            },
        }
    }

    fn stall_limit(&self, source: &StreamSource<C, D>) -> Duration {
        let route = &self.request.route;
        let may_go_on = route.kind == deployments::RouteKind::ResumableStream
            && self.history.runs < route.attempts;
        match may_go_on {
            true => (route.max_pause * STALL_PAUSES)
                .max(source.run.expected * 3)
                .max(MIN_STALL),
            false => Duration::MAX,
        }
    }

    /// Ends the run so far and starts the next one behind the last event that the caller has.
    async fn go_on(&mut self, source: StreamSource<C, D>) -> Option<StreamSource<C, D>> {
        self.history.excluded.push(source.run.endpoint.clone());
        // The former run must have ended before the next one starts.
        drop(source);
        self.splitter.discard_partial();
        if self.request.route.kind != deployments::RouteKind::ResumableStream
            || intake::check_repeat(&self.state, &self.request, &self.history).is_err()
        {
            self.break_off(errors::RelayError::Broken, "not-resumable")
                .await;
            return None;
        }
        let last = self.splitter.last_id();
        let obtained = {
            let obtaining = intake::obtain(&self.state, &self.request, &mut self.history, last);
            tokio::select! {
                obtained = obtaining => obtained,
                () = self.pieces.closed() => return None,
            }
        };
        match obtained {
            Ok(given) if given.response.status().is_success() => {
                let (_, source) = StreamSource::split(given);
                self.state.metrics.count_stream("resumed");
                tracing::info!(
                    event = "stream-resumed",
                    id = %self.request.facts.id,
                    endpoint = %source.run.endpoint,
                    last
                );
                Some(source)
            }
            Ok(given) => {
                let status = given.response.status().as_u16();
                tracing::info!(event = "resumption-refused", id = %self.request.facts.id, status);
                self.break_off(errors::RelayError::Broken, "resumption-refused")
                    .await;
                None
            }
            Err(failure) => {
                self.break_off(errors::RelayError::Broken, failure.reason)
                    .await;
                None
            }
        }
    }

    fn caller_left(&self, source: &StreamSource<C, D>) {
        self.state.metrics.count_stream("caller-left");
        tracing::info!(
            event = "caller-left",
            id = %self.request.facts.id,
            endpoint = %source.run.endpoint,
            last = self.splitter.last_id()
        );
    }

    async fn break_off(&self, error: errors::RelayError, reason: &str) {
        self.state.metrics.count_stream("cut");
        let took = self
            .state
            .clock
            .now()
            .saturating_duration_since(self.request.arrival);
        tracing::info!(
            event = "stream-cut",
            id = %self.request.facts.id,
            route = %self.request.route.name,
            reason,
            last = self.splitter.last_id(),
            sends = self.history.arrivals,
            took_ms = took.as_millis()
        );
        let _ = self.pieces.send(Err(error)).await;
    }
}
