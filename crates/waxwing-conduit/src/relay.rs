//! Relays event streams to callers, and resumes a broken stream at another endpoint if the route
//! allows it.

use std::{sync::Arc, time::Duration};

use http_body_util::BodyExt as _;
use hyper::{
    Response,
    body::{self, Body as _},
    http::{HeaderMap, header},
};
use tokio::sync::mpsc;
use waxwing_core::clock::Clock;
use waxwing_fleet::{deployments, dialects};

use crate::{answers, errors, events, forwarding, intake, state, suspects, unread, upstream};

/// Number of chunks that are buffered for a slow caller; the events of a stream are small.
const CHUNK_QUEUE_LENGTH: usize = 32;

/// Shortest time without data after which a stream is resumed at another endpoint.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Stall timeout of a stream in units of the route's longest allowed pause between two events.
const STALL_TIMEOUT_PAUSES: u32 = 3;

type ChunkSender = mpsc::Sender<Result<unread::HeldEvents, errors::RelayError>>;

/// The endpoint's answer that is being relayed, with its connection and slot.
struct StreamSource<C: Clock, D> {
    body: body::Incoming,
    /// Whether the answer shows its end by a length or by chunks, not by the end of its connection.
    is_framed: bool,
    connection: upstream::BusyConnection,
    run: state::StartedRun<C, D>,
    sent: std::time::Instant,
    /// When the first event arrived, and its id if it has one.
    first: Option<(std::time::Instant, Option<u64>)>,
    /// When the run last made progress: its start, the last whole event, or the last attempt to
    /// leave it. Bytes that complete no event are no progress.
    progress: std::time::Instant,
}

impl<C: Clock, D> StreamSource<C, D> {
    fn split(
        usable: intake::UsableAnswer<C, D>,
        now: std::time::Instant,
    ) -> (hyper::http::response::Parts, Self) {
        let (head, body) = usable.response.into_parts();
        let source = Self {
            is_framed: body.size_hint().exact().is_some() || is_chunked(&head.headers),
            body,
            connection: usable.connection,
            run: usable.run,
            sent: usable.sent,
            first: None,
            progress: now,
        };
        (head, source)
    }
}

/// Returns whether the body of an answer comes in chunks.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let last = codings.next_back().and_then(|value| value.to_str().ok());
    let last = last.and_then(|value| value.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Outcome of waiting for the next chunk of a stream.
enum NextChunk<C: Clock, D> {
    Data(bytes::Bytes),
    End,
    Broken,
    /// The run made no progress, and this slot at another endpoint takes its place.
    Moved(Box<state::StartedRun<C, D>>),
    Disconnected,
    TimedOut,
}

/// Outcome of passing events on to the caller.
enum Delivery {
    Sent,
    Disconnected,
    /// There was no room for the events until the caller's deadline.
    Unread,
}

/// Relays one stream to its caller.
struct StreamRelay<C: Clock, D> {
    state: Arc<state::EntryState<C, D>>,
    request: Arc<intake::AcceptedRequest>,
    history: intake::AttemptHistory,
    chunks: ChunkSender,
    /// Room for events that the caller has not read yet.
    room: unread::StreamRoom,
    splitter: events::EventSplitter,
    /// When the last events arrived, and the longest time between two arrivals.
    last_arrival: Option<std::time::Instant>,
    longest_pause: Duration,
    _active: state::ActiveRequest<C, D>,
}

/// Starts a task that relays a stream and returns the answer for the caller.
pub(crate) fn start<C: Clock, D: dialects::RequestDialect>(
    state: Arc<state::EntryState<C, D>>,
    request: Arc<intake::AcceptedRequest>,
    history: intake::AttemptHistory,
    usable: intake::UsableAnswer<C, D>,
) -> Response<answers::AnswerBody> {
    let (chunks, receiver) = mpsc::channel(CHUNK_QUEUE_LENGTH);
    let (head, source) = StreamSource::split(usable, state.clock.now());
    let splitter = events::EventSplitter::starting_after(request.facts.last_event);
    let active = state.count_active();
    let room = state.unread_memory.stream_room();
    let relay = StreamRelay {
        _active: active,
        state,
        request,
        history,
        chunks,
        room,
        splitter,
        last_arrival: None,
        longest_pause: Duration::ZERO,
    };
    tokio::spawn(relay.run(source));
    forwarding::caller_answer(head, answers::AnswerBody::Chunks(receiver))
}

impl<C: Clock, D: dialects::RequestDialect> StreamRelay<C, D> {
    async fn run(mut self, mut source: StreamSource<C, D>) {
        loop {
            match self.next_chunk(&mut source).await {
                NextChunk::Data(data) => {
                    let complete = self.splitter.push(&data);
                    if self.splitter.is_oversized() {
                        drop(source);
                        return self
                            .abort(errors::RelayError::Broken, "event-too-long")
                            .await;
                    }
                    if complete.is_empty() {
                        continue;
                    }
                    let now = self.state.clock.now();
                    if let Some(last) = self.last_arrival.replace(now) {
                        let pause = now.saturating_duration_since(last);
                        self.longest_pause = self.longest_pause.max(pause);
                    }
                    if source.first.is_none() {
                        source.first = Some((now, self.splitter.last_id()));
                        let took = now.saturating_duration_since(source.sent);
                        let parts = &self.request.shared_parts;
                        source.run.record_first_event(took, parts);
                        self.state.metrics.observe_latency("first-event", took);
                    }
                    match self.deliver(complete).await {
                        Delivery::Sent => source.progress = self.state.clock.now(),
                        Delivery::Disconnected => return self.log_disconnect(&source),
                        Delivery::Unread => {
                            drop(source);
                            return self.abort(errors::RelayError::Deadline, "unread").await;
                        }
                    }
                }
                NextChunk::End if self.is_complete(&source) => {
                    let now = self.state.clock.now();
                    self.record_end(&mut source, now);
                    self.state.metrics.count_stream("whole");
                    let (state, request) = (&self.state, &self.request);
                    let status = hyper::StatusCode::OK;
                    let pause = Some(self.longest_pause);
                    intake::log_answer(state, request, &self.history, &source.run, status, pause);
                    drop(source.run);
                    self.state.pool.release(source.connection, now).await;
                    return;
                }
                NextChunk::End | NextChunk::Broken => {
                    source.run.record_failure();
                    if source.first.is_none() {
                        suspects::report_broken(&self.state, &self.request, &source.run);
                    }
                    self.history.excluded.push(source.run.endpoint.clone());
                    match self.resume(source, None).await {
                        Some(next) => source = next,
                        None => return,
                    }
                }
                NextChunk::Moved(next) => {
                    source.run.record_failure();
                    self.history.excluded.push(source.run.endpoint.clone());
                    match self.resume(source, Some(*next)).await {
                        Some(next) => source = next,
                        None => return,
                    }
                }
                NextChunk::Disconnected => return self.log_disconnect(&source),
                NextChunk::TimedOut => {
                    drop(source);
                    return self.abort(errors::RelayError::Deadline, "deadline").await;
                }
            }
        }
    }

    /// Tells whether a stream that has ended is complete: it ends after an event of its run. A resumed
    /// run may have no event left, but an endpoint that crashes before the first one ends an answer
    /// without a length in the same way, so the answer must show its end.
    fn is_complete(&self, source: &StreamSource<C, D>) -> bool {
        let may_be_empty = source.is_framed && self.splitter.last_id().is_some();
        (source.first.is_some() || may_be_empty) && !self.splitter.has_partial()
    }

    /// Reports the token count and times of a finished stream to the gate. The number of events is
    /// taken from their ids.
    fn record_end(&self, source: &mut StreamSource<C, D>, now: std::time::Instant) {
        let Some((first, first_id)) = source.first else {
            return;
        };
        let events = self.splitter.last_id().zip(first_id);
        let events = events.map_or(0, |(last, first)| last.saturating_sub(first));
        let tokens = events * u64::from(self.request.event_tokens);
        let took = now.saturating_duration_since(first);
        let run_time = now.saturating_duration_since(source.sent);
        source.run.record_generation(tokens, took, run_time);
    }

    /// Passes events on to the caller. The connection of a caller that reads nothing is closed
    /// meanwhile, which frees the slot of the run.
    async fn deliver(&self, events: bytes::Bytes) -> Delivery {
        let remaining = intake::remaining_time(&self.state, &self.request);
        tokio::select! {
            delivery = self.queue_events(events) => delivery,
            () = self.chunks.closed() => Delivery::Disconnected,
            () = self.state.clock.sleep(remaining) => Delivery::Unread,
        }
    }

    /// Queues events for the caller once there is room for them.
    async fn queue_events(&self, events: bytes::Bytes) -> Delivery {
        let held = self.room.hold(events).await;
        match self.chunks.send(Ok(held)).await {
            Ok(()) => Delivery::Sent,
            Err(_) => Delivery::Disconnected,
        }
    }

    /// Waits for the next chunk. Once the run has made no progress for its stall timeout, a slot at
    /// another endpoint is sought meanwhile; without one, the run is left as it is, since a slow
    /// stream is better than a broken one.
    async fn next_chunk(&self, source: &mut StreamSource<C, D>) -> NextChunk<C, D> {
        loop {
            let now = self.state.clock.now();
            let remaining = intake::remaining_time(&self.state, &self.request);
            let idle = now.saturating_duration_since(source.progress);
            let timeout = self.stall_timeout(source).saturating_sub(idle);
            tokio::select! {
                frame = source.body.frame() => return self.read_frame(frame, source),
                () = self.chunks.closed() => return NextChunk::Disconnected,
                () = self.state.clock.sleep(remaining.min(timeout)) => {}
            }
            if remaining <= timeout {
                return NextChunk::TimedOut;
            }
            tracing::info!(
                event = "stream-stalled",
                id = %self.request.facts.id,
                endpoint = %source.run.endpoint,
                last = self.splitter.last_id(),
                idle_ms = (idle + timeout).as_millis()
            );
            let history = self.history.while_running(&source.run.endpoint);
            let last = self.splitter.last_id();
            let next = tokio::select! {
                frame = source.body.frame() => return self.read_frame(frame, source),
                () = self.chunks.closed() => return NextChunk::Disconnected,
                next = intake::reserve(&self.state, &self.request, &history, last) => next,
            };
            match next {
                Ok(next) => return NextChunk::Moved(Box::new(next)),
                Err(failure) => {
                    source.progress = self.state.clock.now();
                    tracing::info!(
                        event = "stream-kept",
                        id = %self.request.facts.id,
                        endpoint = %source.run.endpoint,
                        reason = failure.reason
                    );
                }
            }
        }
    }

    fn read_frame(
        &self,
        frame: Option<Result<body::Frame<bytes::Bytes>, hyper::Error>>,
        source: &StreamSource<C, D>,
    ) -> NextChunk<C, D> {
        match frame {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => NextChunk::Data(data),
                Err(_) => NextChunk::Data(bytes::Bytes::new()),
            },
            Some(Err(error)) => {
                tracing::info!(
                    event = "stream-broken",
                    id = %self.request.facts.id,
                    endpoint = %source.run.endpoint,
                    last = self.splitter.last_id(),
                    %error
                );
                NextChunk::Broken
            }
            None => NextChunk::End,
        }
    }

    /// Returns the time without progress after which the stream is resumed elsewhere; unlimited if it
    /// can't be.
    fn stall_timeout(&self, source: &StreamSource<C, D>) -> Duration {
        let route = &self.request.route;
        let can_resume = route.kind == deployments::RouteKind::ResumableStream
            && self.history.possible_runs < route.attempts;
        match can_resume {
            true => (route.max_pause * STALL_TIMEOUT_PAUSES)
                .max(source.run.expected * 3)
                .max(MIN_STALL_TIMEOUT),
            false => Duration::MAX,
        }
    }

    /// Ends the current run and resumes the stream at another endpoint after the last event that
    /// was forwarded; `reserved` is a slot there, if there is one already. Returns `None` if the
    /// stream has ended for the caller.
    async fn resume(
        &mut self,
        source: StreamSource<C, D>,
        reserved: Option<state::StartedRun<C, D>>,
    ) -> Option<StreamSource<C, D>> {
        // The old run must end before the next one starts; this closes its connection and releases
        // its slot.
        drop(source);
        self.splitter.discard_partial();
        if self.request.route.kind != deployments::RouteKind::ResumableStream
            || intake::check_retryable(&self.state, &self.request, &self.history).is_err()
        {
            self.abort(errors::RelayError::Broken, "not-resumable")
                .await;
            return None;
        }
        let last = self.splitter.last_id();
        let outcome = {
            let history = &mut self.history;
            let sending =
                intake::send_with_retries(&self.state, &self.request, history, last, reserved);
            tokio::select! {
                outcome = sending => outcome,
                () = self.chunks.closed() => return None,
            }
        };
        match outcome {
            Ok(usable) if usable.response.status().is_success() => {
                let (_, source) = StreamSource::split(usable, self.state.clock.now());
                self.state.metrics.count_stream("resumed");
                tracing::info!(
                    event = "stream-resumed",
                    id = %self.request.facts.id,
                    endpoint = %source.run.endpoint,
                    last
                );
                Some(source)
            }
            Ok(usable) => {
                let status = usable.response.status().as_u16();
                tracing::info!(event = "resumption-refused", id = %self.request.facts.id, status);
                self.abort(errors::RelayError::Broken, "resumption-refused")
                    .await;
                None
            }
            Err(failure) => {
                self.abort(errors::RelayError::Broken, failure.reason).await;
                None
            }
        }
    }

    /// Logs and counts a stream whose caller has disconnected.
    fn log_disconnect(&self, source: &StreamSource<C, D>) {
        self.state.metrics.count_stream("caller-left");
        tracing::info!(
            event = "caller-left",
            id = %self.request.facts.id,
            endpoint = %source.run.endpoint,
            last = self.splitter.last_id()
        );
    }

    /// Ends the stream with an error, so that the caller sees that it is incomplete.
    async fn abort(&self, error: errors::RelayError, reason: &str) {
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
            sends = self.history.delivered,
            took_ms = took.as_millis()
        );
        let _ = self.chunks.send(Err(error)).await;
    }
}
