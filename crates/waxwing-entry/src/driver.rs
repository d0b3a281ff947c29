//! Drives the state machine of a request: feeds it events and executes its actions.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode, header};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinHandle,
};
use waxwing_core::{clock, counters, ids, reasons};
use waxwing_policy::choice;
use waxwing_settings::view;
use waxwing_wire::messages;

use crate::{
    caller, control,
    formats::{self, CallerFormat, gate},
    headers, problems, records, request_core, routes, state,
};

/// First reply of a driver to the HTTP handler.
#[derive(Debug)]
pub enum CallerReply {
    /// A response whose body follows.
    Answer {
        /// The HTTP status.
        status: StatusCode,
        /// The response headers.
        headers: HeaderMap,
        /// The body, streamed as it arrives.
        body: caller::CallerBody,
    },
    /// The request was refused.
    Refusal(problems::ProblemBody),
}

/// State of the response to the caller.
#[derive(Debug)]
enum CallerChannel {
    /// Nothing was sent yet.
    Pending(oneshot::Sender<CallerReply>),
    /// Status and headers were sent; the body is streaming.
    Streaming {
        parts: mpsc::UnboundedSender<caller::AnswerPart>,
        counter: Arc<caller::DeliveryCounter>,
    },
    /// The caller disconnected or nothing more will be sent.
    Closed,
}

impl CallerChannel {
    async fn next_event(&mut self) -> request_core::CoreEvent {
        match self {
            Self::Pending(reply) => reply.closed().await,
            Self::Streaming { parts, counter } => {
                tokio::select! {
                    () = parts.closed() => {}
                    () = counter.changed() => {
                        return request_core::CoreEvent::Delivered(counter.delivered());
                    }
                }
            }
            Self::Closed => std::future::pending().await,
        }
        *self = Self::Closed;
        request_core::CoreEvent::CallerGone
    }
}

/// Runs one request from its start to its end.
pub struct RequestDriver<C, P> {
    shared: Arc<state::EntryShared<C, P>>,
    view: Arc<view::SettingsView>,
    core: request_core::RequestCore,
    events: routes::EventSender,
    inbox: mpsc::UnboundedReceiver<request_core::CoreEvent>,
    followed: Option<routes::RouteGuard>,
    caller: CallerChannel,
    /// The latest claim or lookup, with the task that waits for its result.
    claim_task: Option<(messages::ClaimKey, JoinHandle<()>)>,
    gate: Option<gate::StreamGate>,
    answer_copy: records::AnswerCopy,
    status: StatusCode,
    content_type: Option<header::HeaderValue>,
}

/// Parameters of [`RequestDriver::new`].
pub struct DriverStart<C, P> {
    /// The process-wide state.
    pub shared: Arc<state::EntryShared<C, P>>,
    /// The settings that the request was accepted under.
    pub view: Arc<view::SettingsView>,
    /// The state machine, not started yet.
    pub core: request_core::RequestCore,
    /// The event queue of the request, already registered in the route table.
    pub events: routes::EventSender,
    /// The receiving end of the event queue.
    pub inbox: mpsc::UnboundedReceiver<request_core::CoreEvent>,
}

impl<C: clock::Clock, P: control::ControlPort> RequestDriver<C, P> {
    /// Creates a driver and the channel that delivers its first reply to the HTTP handler.
    #[must_use]
    pub fn new(start: DriverStart<C, P>) -> (Self, oneshot::Receiver<CallerReply>) {
        let (reply, receiver) = oneshot::channel();
        let driver = Self {
            shared: start.shared,
            view: start.view,
            core: start.core,
            events: start.events,
            inbox: start.inbox,
            followed: None,
            caller: CallerChannel::Pending(reply),
            claim_task: None,
            gate: None,
            answer_copy: records::AnswerCopy::default(),
            status: StatusCode::OK,
            content_type: None,
        };
        (driver, receiver)
    }

    /// Runs the request until it has ended.
    pub async fn run(mut self) {
        let mut event = request_core::CoreEvent::Start;
        loop {
            let now = self.shared.clock.now();
            let mut context = state::EntryContext {
                shared: &self.shared,
                view: &self.view,
                request: self.core.plan().request,
                events: &self.events,
            };
            let actions = self.core.handle(now, event, &mut context);
            self.register_followed();
            for action in actions {
                self.execute(action).await;
            }
            if self.core.is_ended() {
                return;
            }
            event = self.next_event().await;
        }
    }

    async fn next_event(&mut self) -> request_core::CoreEvent {
        let now = self.shared.clock.now();
        let wake_at = self.core.wake_at();
        let delay = wake_at.map(|due| due.saturating_duration_since(now));
        let clock = self.shared.clock.clone();
        let timer = async {
            match delay {
                Some(delay) => clock.sleep(delay).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            event = self.inbox.recv() => event.unwrap_or(request_core::CoreEvent::CallerGone),
            event = self.caller.next_event() => event,
            () = timer => request_core::CoreEvent::Timer,
        }
    }

    /// Registers this request for the messages of the run that it follows.
    fn register_followed(&mut self) {
        if let (Some(request), None) = (self.core.followed(), &self.followed) {
            let guard = self.shared.routes.register(request, self.events.clone());
            self.followed = Some(guard);
        }
    }

    async fn execute(&mut self, action: request_core::CoreAction) {
        match action {
            request_core::CoreAction::Send {
                agent,
                correlation,
                body,
            } => self.send(agent, correlation, body).await,
            request_core::CoreAction::Claim(key) => self.claim(key),
            request_core::CoreAction::Head { status, headers } => {
                self.start_response(status, &headers)
            }
            request_core::CoreAction::Data(data) => self.send_data(data),
            request_core::CoreAction::Finish => self.finish(),
            request_core::CoreAction::Refuse(refusal) => self.refuse(refusal.into()),
            request_core::CoreAction::Abort(refusal) => self.abort_response(refusal.into()),
            request_core::CoreAction::Count(event) => self.shared.counters.count(event),
            request_core::CoreAction::Retry(reason) => self.shared.counters.count_retry(reason),
        }
    }

    /// Sends a claim or lookup to the control plane. The client retries by itself, so an equal one
    /// that is still in progress isn't repeated.
    fn claim(&mut self, key: messages::ClaimKey) {
        if let Some((last_key, task)) = &self.claim_task {
            if *last_key == key && !task.is_finished() {
                return;
            }
            task.abort();
        }
        let control = self.shared.control.clone();
        let events = self.events.clone();
        let claim_key = key.clone();
        let task = tokio::spawn(async move {
            if let Some(result) = control.claim(claim_key).await {
                // The queue is closed if the request has ended meanwhile.
                let _ = events.send(request_core::CoreEvent::Claimed(result));
            }
        });
        self.claim_task = Some((key, task));
    }

    async fn send(&mut self, agent: choice::EndpointId, correlation: u64, body: messages::Body) {
        let handle = self.shared.agents.snapshot().by_id.get(&agent).cloned();
        let link = handle.as_ref().and_then(|handle| handle.link.load_full());
        let failure = match &body {
            messages::Body::Handover(handover) => Some(request_core::CoreEvent::Unsent {
                agent,
                grant: handover.grant,
            }),
            messages::Body::Offer(_) | messages::Body::Settle(_) | messages::Body::Resume(_) => {
                Some(request_core::CoreEvent::LinkDown { agent })
            }
            _ => None,
        };
        let is_handover = matches!(body, messages::Body::Handover(_));
        let cancel = matches!(body, messages::Body::Cancel(_)).then(|| body.clone());
        // An error means that the frame was never queued, so no byte of it left the process.
        let sent = match link {
            Some(link) => link.sender.send(correlation, body).await.is_ok(),
            None => false,
        };
        if sent && is_handover {
            self.record_prefixes(agent);
        }
        if !sent {
            if let (Some(handle), Some(cancel)) = (handle, cancel) {
                handle.queue_cancel(cancel);
            }
            if let Some(event) = failure {
                // Can't fail: this driver holds the receiver.
                let _ = self.events.send(event);
            }
        }
    }

    /// Records that the agent will probably cache the prefixes of this request.
    fn record_prefixes(&self, agent: choice::EndpointId) {
        let mut prefixes = routes::lock(&self.shared.prefixes);
        for prefix in &self.core.plan().prefixes {
            prefixes.insert(prefix.hash, agent);
        }
    }

    fn start_response(&mut self, status: u16, fields: &[messages::HeaderField]) {
        self.status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = headers::response_headers(fields);
        self.content_type = headers.get(header::CONTENT_TYPE).cloned();
        let is_stream = self
            .content_type
            .as_ref()
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        self.gate = is_stream.then(|| gate::StreamGate::new(formats::OpenAiFormat::end_marker()));
        let (parts, counter, body) = caller::channel();
        let streaming = CallerChannel::Streaming { parts, counter };
        if let CallerChannel::Pending(reply) = std::mem::replace(&mut self.caller, streaming) {
            // A disconnected caller is detected by its closed body.
            let _ = reply.send(CallerReply::Answer {
                status: self.status,
                headers,
                body,
            });
        }
    }

    fn send_data(&mut self, data: Bytes) {
        self.answer_copy.push(&data);
        let data = match &mut self.gate {
            Some(gate) => gate.push(data),
            None => data,
        };
        self.send_part(data);
    }

    fn send_part(&mut self, data: Bytes) {
        if let (CallerChannel::Streaming { parts, .. }, false) = (&self.caller, data.is_empty()) {
            let _ = parts.send(caller::AnswerPart::Data(data));
        }
    }

    fn finish(&mut self) {
        let rest = self.gate.as_mut().map(gate::StreamGate::release);
        self.send_part(rest.unwrap_or_default());
        self.end_body();
        self.shared
            .counters
            .count(counters::CounterEvent::RequestsAnswered);
        let answer = records::StoredAnswer {
            status: self.status,
            content_type: self.content_type.take(),
            body: self.answer_copy.take(),
        };
        self.record(records::RecordState::Complete(answer));
    }

    fn end_body(&self) {
        if let CallerChannel::Streaming { parts, .. } = &self.caller {
            let _ = parts.send(caller::AnswerPart::End);
        }
    }

    fn refuse(&mut self, problem: problems::ProblemBody) {
        self.shared.counters.count_refusal(problem.reason);
        self.record(records::RecordState::Refused(problem.clone()));
        let caller = std::mem::replace(&mut self.caller, CallerChannel::Closed);
        if let CallerChannel::Pending(reply) = caller {
            let _ = reply.send(CallerReply::Refusal(problem));
        }
    }

    /// Aborts a partly sent response: an event stream with an error event, any other by closing the
    /// connection.
    fn abort_response(&mut self, problem: problems::ProblemBody) {
        self.shared.counters.count_refusal(problem.reason);
        self.record(records::RecordState::Refused(problem.clone()));
        if self.gate.is_some() && problem.reason != reasons::RefusalReason::CallerGone {
            let request = self.core.plan().request;
            self.send_part(formats::OpenAiFormat::error_event(&problem, request));
            self.end_body();
        }
        self.caller = CallerChannel::Closed;
    }

    fn record(&self, state: records::RecordState) {
        let request: ids::RequestId = self.core.plan().request;
        routes::lock(&self.shared.records).end(request, state);
    }
}
