//! Carries out what the state machine of a request decides.

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

/// A `CallerReply` is what the HTTP side gets first.
#[derive(Debug)]
pub enum CallerReply {
    /// An answer whose body follows.
    Answer {
        /// The status.
        status: StatusCode,
        /// The headers.
        headers: HeaderMap,
        /// The body.
        body: caller::CallerBody,
    },
    /// A refusal.
    Refusal(problems::ProblemBody),
}

/// A `CallerSide` is the way to the caller.
#[derive(Debug)]
enum CallerSide {
    /// Nothing was sent.
    Silent(oneshot::Sender<CallerReply>),
    /// Status and headers were sent.
    Open {
        parts: mpsc::UnboundedSender<caller::AnswerPart>,
        gauge: Arc<caller::DeliveryGauge>,
    },
    /// The caller is gone or has got everything.
    Closed,
}

impl CallerSide {
    async fn next_event(&mut self) -> request_core::CoreEvent {
        match self {
            Self::Silent(reply) => reply.closed().await,
            Self::Open { parts, gauge } => {
                tokio::select! {
                    () = parts.closed() => {}
                    () = gauge.changed() => {
                        return request_core::CoreEvent::Delivered(gauge.taken());
                    }
                }
            }
            Self::Closed => std::future::pending().await,
        }
        *self = Self::Closed;
        request_core::CoreEvent::CallerGone
    }
}

/// A `RequestDriver` runs one request.
pub struct RequestDriver<C, P> {
    shared: Arc<state::EntryShared<C, P>>,
    view: Arc<view::SettingsView>,
    core: request_core::RequestCore,
    events: routes::EventSender,
    inbox: mpsc::UnboundedReceiver<request_core::CoreEvent>,
    followed: Option<routes::RouteGuard>,
    caller: CallerSide,
    /// The last question to control.
    question: Option<(messages::ClaimKey, JoinHandle<()>)>,
    gate: Option<gate::StreamGate>,
    copy: records::AnswerCopy,
    status: StatusCode,
    content_type: Option<header::HeaderValue>,
}

/// A `DriverStart` is what a driver begins with.
pub struct DriverStart<C, P> {
    /// The state of the process.
    pub shared: Arc<state::EntryShared<C, P>>,
    /// The settings under which the request was accepted.
    pub view: Arc<view::SettingsView>,
    /// The state machine.
    pub core: request_core::RequestCore,
    /// The queue of the request, already routed.
    pub events: routes::EventSender,
    /// Its other end.
    pub inbox: mpsc::UnboundedReceiver<request_core::CoreEvent>,
}

impl<C: clock::Clock, P: control::ControlPort> RequestDriver<C, P> {
    /// Builds a driver and the channel on which the caller's side gets its answer.
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
            caller: CallerSide::Silent(reply),
            question: None,
            gate: None,
            copy: records::AnswerCopy::default(),
            status: StatusCode::OK,
            content_type: None,
        };
        (driver, receiver)
    }

    /// Runs the request to its end.
    pub async fn run(mut self) {
        let mut event = request_core::CoreEvent::Start;
        loop {
            let now = self.shared.clock.now();
            let mut host = state::RequestHost {
                shared: &self.shared,
                view: &self.view,
                request: self.core.plan().request,
                events: &self.events,
            };
            let actions = self.core.handle(now, event, &mut host);
            self.follow();
            for action in actions {
                self.perform(action).await;
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
        let pause = wake_at.map(|due| due.saturating_duration_since(now));
        let clock = self.shared.clock.clone();
        let timer = async {
            match pause {
                Some(pause) => clock.sleep(pause).await,
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

    /// Opens the route to the run that this request follows.
    fn follow(&mut self) {
        if let (Some(request), None) = (self.core.followed(), &self.followed) {
            let guard = self.shared.routes.open(request, self.events.clone());
            self.followed = Some(guard);
        }
    }

    async fn perform(&mut self, action: request_core::CoreAction) {
        match action {
            request_core::CoreAction::Send {
                agent,
                correlation,
                body,
            } => self.send(agent, correlation, body).await,
            request_core::CoreAction::Claim(key) => self.claim(key),
            request_core::CoreAction::Head { status, headers } => self.pass_head(status, &headers),
            request_core::CoreAction::Data(data) => self.pass_data(data),
            request_core::CoreAction::Finish => self.finish(),
            request_core::CoreAction::Refuse(refusal) => self.refuse(refusal.into()),
            request_core::CoreAction::Abort(refusal) => self.break_off(refusal.into()),
            request_core::CoreAction::Count(event) => self.shared.counters.count(event),
            request_core::CoreAction::Retry(reason) => self.shared.counters.retry(reason),
        }
    }

    /// Asks control, which asks again by itself; a question that is still open isn't repeated.
    fn claim(&mut self, key: messages::ClaimKey) {
        if let Some((asked, task)) = &self.question {
            if *asked == key && !task.is_finished() {
                return;
            }
            task.abort();
        }
        let control = self.shared.control.clone();
        let events = self.events.clone();
        let question = key.clone();
        let task = tokio::spawn(async move {
            if let Some(result) = control.claim(question).await {
                // A closed queue belongs to a request that has ended meanwhile.
                let _ = events.send(request_core::CoreEvent::Claimed(result));
            }
        });
        self.question = Some((key, task));
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
        // An error means that the frame was never queued, so nothing of it left the process.
        let sent = match link {
            Some(link) => link.sender.send(correlation, body).await.is_ok(),
            None => false,
        };
        if sent && is_handover {
            self.remember_prefixes(agent);
        }
        if !sent {
            if let (Some(handle), Some(cancel)) = (handle, cancel) {
                handle.owe(cancel);
            }
            if let Some(event) = failure {
                // The queue is the request's own, so that it is open.
                let _ = self.events.send(event);
            }
        }
    }

    fn remember_prefixes(&self, agent: choice::EndpointId) {
        let mut prefixes = routes::lock(&self.shared.prefixes);
        for prefix in &self.core.plan().prefixes {
            prefixes.insert(prefix.hash, agent);
        }
    }

    fn pass_head(&mut self, status: u16, fields: &[messages::HeaderField]) {
        self.status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = headers::answer_headers(fields);
        self.content_type = headers.get(header::CONTENT_TYPE).cloned();
        let is_stream = self
            .content_type
            .as_ref()
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        self.gate = is_stream.then(|| gate::StreamGate::new(formats::OpenAiFormat::end_marker()));
        let (parts, gauge, body) = caller::channel();
        let open = CallerSide::Open { parts, gauge };
        if let CallerSide::Silent(reply) = std::mem::replace(&mut self.caller, open) {
            // A caller that is gone is noticed by its closed body.
            let _ = reply.send(CallerReply::Answer {
                status: self.status,
                headers,
                body,
            });
        }
    }

    fn pass_data(&mut self, data: Bytes) {
        self.copy.push(&data);
        let data = match &mut self.gate {
            Some(gate) => gate.push(data),
            None => data,
        };
        self.pass(data);
    }

    fn pass(&mut self, data: Bytes) {
        if let (CallerSide::Open { parts, .. }, false) = (&self.caller, data.is_empty()) {
            let _ = parts.send(caller::AnswerPart::Data(data));
        }
    }

    fn finish(&mut self) {
        let rest = self.gate.as_mut().map(gate::StreamGate::open);
        self.pass(rest.unwrap_or_default());
        self.end_body();
        self.shared
            .counters
            .count(counters::CounterEvent::RequestsAnswered);
        let answer = records::KeptAnswer {
            status: self.status,
            content_type: self.content_type.take(),
            body: self.copy.take(),
        };
        self.record(records::RecordState::Complete(answer));
    }

    fn end_body(&self) {
        if let CallerSide::Open { parts, .. } = &self.caller {
            let _ = parts.send(caller::AnswerPart::End);
        }
    }

    fn refuse(&mut self, problem: problems::ProblemBody) {
        self.shared.counters.refuse(problem.reason);
        self.record(records::RecordState::Refused(problem.clone()));
        let caller = std::mem::replace(&mut self.caller, CallerSide::Closed);
        if let CallerSide::Silent(reply) = caller {
            let _ = reply.send(CallerReply::Refusal(problem));
        }
    }

    /// Ends an answer of which the caller has a part: an event stream with an error event, any other
    /// by cutting the connection.
    fn break_off(&mut self, problem: problems::ProblemBody) {
        self.shared.counters.refuse(problem.reason);
        self.record(records::RecordState::Refused(problem.clone()));
        if self.gate.is_some() && problem.reason != reasons::RefusalReason::CallerGone {
            let request = self.core.plan().request;
            self.pass(formats::OpenAiFormat::error_event(&problem, request));
            self.end_body();
        }
        self.caller = CallerSide::Closed;
    }

    fn record(&self, state: records::RecordState) {
        let request: ids::RequestId = self.core.plan().request;
        routes::lock(&self.shared.records).end(request, state);
    }
}
