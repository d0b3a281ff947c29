//! HTTP API of an entry; see `docs/design.md`, section 9.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body, header, http::request};
use serde::Serialize;
use waxwing_core::{clock, counters, ids, reasons};

use crate::{
    caller, control, driver,
    formats::{self, CallerFormat},
    intake, problems, records, request_core, routes, state,
};

/// Path prefix of requests to plain services.
const SERVICE_PREFIX: &str = "/services/";

/// Path prefix of request status queries.
const REQUEST_PREFIX: &str = "/v1/requests/";

/// Body of every response: a fixed text or a streamed answer.
pub type EdgeBody = Either<Full<Bytes>, caller::CallerBody>;

/// Handles the HTTP requests of callers.
#[derive(Debug)]
pub struct HttpEdge<C, P> {
    shared: Arc<state::EntryShared<C, P>>,
}

impl<C, P> Clone for HttpEdge<C, P> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

/// JSON body of a request status response.
#[derive(Serialize)]
struct RequestStatus<'a> {
    request_id: String,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content_type: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<&'a str>,
}

impl<C: clock::Clock, P: control::ControlPort> HttpEdge<C, P> {
    /// Creates the handler.
    #[must_use]
    pub fn new(shared: Arc<state::EntryShared<C, P>>) -> Self {
        Self { shared }
    }

    /// Handles one HTTP request; every response carries the request id.
    pub async fn handle<B>(&self, http: Request<B>) -> Response<EdgeBody>
    where
        B: body::Body<Data = Bytes>,
    {
        let request = ids::RequestId::random();
        let (head, body) = http.into_parts();
        let answered = self.route(request, &head, body).await;
        let mut response = answered.unwrap_or_else(|problem| {
            self.shared.counters.count_refusal(problem.reason);
            refusal_response(&problem, request)
        });
        let id = header::HeaderValue::from_str(&request.to_string());
        if let Ok(id) = id {
            response
                .headers_mut()
                .insert(problems::REQUEST_ID_HEADER, id);
        }
        response
    }

    async fn route<B>(
        &self,
        request: ids::RequestId,
        head: &request::Parts,
        body: B,
    ) -> Result<Response<EdgeBody>, problems::ProblemBody>
    where
        B: body::Body<Data = Bytes>,
    {
        match head.uri.path() {
            "/healthz" => Ok(text_response(StatusCode::OK, "ok\n".into())),
            "/readyz" => Ok(self.readiness()),
            "/metrics" => Ok(text_response(StatusCode::OK, self.shared.counters.render())),
            formats::OpenAiFormat::MODEL_PATH => {
                expect_method(head, &Method::POST)?;
                self.call(request, head, intake::CallTarget::Model, body)
                    .await
            }
            path if path.starts_with(SERVICE_PREFIX) => {
                let target = parse_service_target(head)?;
                self.call(request, head, target, body).await
            }
            path if path.starts_with(REQUEST_PREFIX) => {
                expect_method(head, &Method::GET)?;
                self.status(&path[REQUEST_PREFIX.len()..], &head.headers)
            }
            _ => Err(
                problems::ProblemBody::new(reasons::RefusalReason::UnknownService)
                    .with_detail("no such path"),
            ),
        }
    }

    fn readiness(&self) -> Response<EdgeBody> {
        match self.shared.not_ready_reason() {
            None => text_response(StatusCode::OK, "ready\n".into()),
            Some(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        }
    }

    async fn call<B>(
        &self,
        request: ids::RequestId,
        head: &request::Parts,
        target: intake::CallTarget,
        body: B,
    ) -> Result<Response<EdgeBody>, problems::ProblemBody>
    where
        B: body::Body<Data = Bytes>,
    {
        // Registered before the body is read, so that the request can be evicted at any time.
        let (events, inbox) = tokio::sync::mpsc::unbounded_channel();
        let guard = self.shared.routes.register(request, events.clone());
        let intake = intake::CallIntake::begin(&self.shared, request)?;
        let call = intake.accept(head, target, body).await?;
        self.record_start(&call.view, &call.plan);
        let core = request_core::RequestCore::new(call.plan, self.shared.timing.clone());
        let (driver, reply) = driver::RequestDriver::new(driver::DriverStart {
            shared: self.shared.clone(),
            view: call.view,
            core,
            events,
            inbox,
        });
        let guards = (guard, call.body_reservation, call.account_permit);
        self.shared.tasks.spawn(async move {
            driver.run().await;
            drop(guards);
        });
        Ok(match reply.await {
            Ok(driver::CallerReply::Answer {
                status,
                headers,
                body,
            }) => answer_response(status, headers, body),
            // The driver has already counted this refusal.
            Ok(driver::CallerReply::Refusal(problem)) => refusal_response(&problem, request),
            // The driver panicked, so it is unknown whether the request ran.
            Err(_) => refusal_response(&lost_driver_problem(), request),
        })
    }

    fn record_start(
        &self,
        view: &waxwing_settings::view::SettingsView,
        plan: &request_core::plan::RequestPlan,
    ) {
        self.shared
            .counters
            .count(counters::CounterEvent::RequestsAccepted);
        let limits = state::budget_limits(&view.tree.policy);
        routes::lock(&self.shared.budgets).earn(&plan.account, plan.rank, limits);
        routes::lock(&self.shared.records).begin(plan.request, plan.account.clone());
    }

    /// Returns the state of a request, only to the account that sent it.
    fn status(
        &self,
        id: &str,
        headers: &HeaderMap,
    ) -> Result<Response<EdgeBody>, problems::ProblemBody> {
        let unknown = || problems::ProblemBody::new(reasons::RefusalReason::UnknownRequest);
        let view = self.shared.control.settings();
        let account = intake::authenticate(&view, headers)?;
        let request = id.parse().map_err(|_| unknown())?;
        let records = routes::lock(&self.shared.records);
        let state = records.find(request, &account.name).ok_or_else(unknown)?;
        let json = status_json(request, state);
        let mut response = text_response(StatusCode::OK, json);
        let content_type = header::HeaderValue::from_static("application/json");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        Ok(response)
    }
}

fn status_json(request: ids::RequestId, state: &records::RecordState) -> String {
    let mut status = RequestStatus {
        request_id: request.to_string(),
        state: "running",
        outcome: None,
        reason: None,
        status: None,
        content_type: None,
        answer: None,
    };
    match state {
        records::RecordState::Running => {}
        records::RecordState::Complete(answer) => {
            status.state = "complete";
            status.status = Some(answer.status.as_u16());
            let content_type = answer.content_type.as_ref();
            status.content_type = content_type.and_then(|value| value.to_str().ok());
            // A body that isn't UTF-8 text is omitted, like one that was too long to be stored.
            let body = answer.body.as_ref();
            status.answer = body.and_then(|body| std::str::from_utf8(body).ok());
        }
        records::RecordState::Refused(problem) => {
            status.state = "refused";
            status.outcome = Some(problem.outcome.as_str());
            status.reason = Some(problem.reason.as_str());
            status.status = Some(problem.status.as_u16());
        }
    }
    serde_json::to_string(&status).unwrap_or_default()
}

fn lost_driver_problem() -> problems::ProblemBody {
    let mut problem = problems::ProblemBody::new(reasons::RefusalReason::AgentLost);
    problem.outcome = reasons::Outcome::Unknown;
    problem
}

fn expect_method(head: &request::Parts, method: &Method) -> Result<(), problems::ProblemBody> {
    if head.method == *method {
        return Ok(());
    }
    Err(
        problems::ProblemBody::new(reasons::RefusalReason::Malformed)
            .with_status(StatusCode::METHOD_NOT_ALLOWED)
            .with_detail(&format!("the method is not valid; allowed: {method}")),
    )
}

/// Splits `/services/{service}/…` into the service name and the path sent to its endpoint.
fn parse_service_target(
    head: &request::Parts,
) -> Result<intake::CallTarget, problems::ProblemBody> {
    let rest = &head.uri.path()[SERVICE_PREFIX.len()..];
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = name
        .parse()
        .map_err(|error: waxwing_core::errors::ParseError| {
            problems::ProblemBody::new(reasons::RefusalReason::UnknownService)
                .with_detail(&error.to_string())
        })?;
    let query = head.uri.query();
    let path = match query {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Ok(intake::CallTarget::Plain { service, path })
}

fn text_response(status: StatusCode, text: String) -> Response<EdgeBody> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("text/plain; charset=utf-8");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

fn refusal_response(
    problem: &problems::ProblemBody,
    request: ids::RequestId,
) -> Response<EdgeBody> {
    problem
        .response(request)
        .map(|body| Either::Left(Full::new(body)))
}

fn answer_response(
    status: StatusCode,
    headers: HeaderMap,
    body: caller::CallerBody,
) -> Response<EdgeBody> {
    let mut response = Response::new(Either::Right(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
