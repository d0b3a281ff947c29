//! Refusals in HTTP: `application/problem+json` (RFC 9457) with the outcome and the reason.

use std::time::Duration;

use bytes::Bytes;
use hyper::{StatusCode, header};
use serde::Serialize;
use smol_str::SmolStr;
use waxwing_core::{ids, reasons};

use crate::request_core;

/// Header with the request id, set on every response and on requests to endpoints.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// A refusal to be sent to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProblemBody {
    /// The reason code.
    pub reason: reasons::RefusalReason,
    /// Whether the request may have run.
    pub outcome: reasons::Outcome,
    /// The HTTP status.
    pub status: StatusCode,
    /// How long the caller should wait before it retries; `None` gives no hint.
    pub retry_after: Option<Duration>,
    /// The value found and the allowed values, if the caller must change the request.
    pub detail: SmolStr,
}

#[derive(Serialize)]
struct ProblemFields<'a> {
    r#type: String,
    title: &'static str,
    status: u16,
    outcome: &'static str,
    reason: &'static str,
    request_id: String,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
}

impl ProblemBody {
    /// Creates a refusal of a request that did not run, with the status of the reason.
    #[must_use]
    pub fn new(reason: reasons::RefusalReason) -> Self {
        Self {
            reason,
            outcome: reasons::Outcome::NotRun,
            status: status_of(reason),
            retry_after: None,
            detail: SmolStr::default(),
        }
    }

    /// Sets the detail, truncated to at most 200 bytes.
    #[must_use]
    pub fn with_detail(mut self, detail: &str) -> Self {
        let end = detail.floor_char_boundary(200);
        self.detail = SmolStr::new(&detail[..end]);
        self
    }

    /// Overrides the status of the reason.
    #[must_use]
    pub fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Option<Duration>) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// Serializes the refusal to JSON.
    #[must_use]
    pub fn to_json(&self, request: ids::RequestId) -> String {
        let fields = ProblemFields {
            r#type: format!("urn:waxwingmill:refusal:{}", self.reason),
            title: title_of(self.reason),
            status: self.status.as_u16(),
            outcome: self.outcome.as_str(),
            reason: self.reason.as_str(),
            request_id: request.to_string(),
            detail: &self.detail,
        };
        serde_json::to_string(&fields).unwrap_or_default()
    }

    /// Builds the HTTP response.
    #[must_use]
    pub fn response(&self, request: ids::RequestId) -> hyper::Response<Bytes> {
        let mut response = hyper::Response::new(Bytes::from(self.to_json(request)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let content_type = header::HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, content_type);
        if let Some(retry_after) = self.retry_after {
            // Rounded up to whole seconds: an earlier retry would only be refused again.
            let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
            let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
            headers.insert(header::RETRY_AFTER, seconds.into());
        }
        response
    }
}

impl From<request_core::CoreRefusal> for ProblemBody {
    fn from(refusal: request_core::CoreRefusal) -> Self {
        Self {
            outcome: refusal.outcome,
            ..Self::new(refusal.reason).with_retry_after(refusal.retry_after)
        }
    }
}

fn status_of(reason: reasons::RefusalReason) -> StatusCode {
    use reasons::RefusalReason as Reason;
    match reason {
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::Forbidden => StatusCode::FORBIDDEN,
        Reason::Malformed | Reason::UnknownTier => StatusCode::BAD_REQUEST,
        Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::UnknownService | Reason::UnknownModel | Reason::UnknownRequest => {
            StatusCode::NOT_FOUND
        }
        Reason::AccountRate | Reason::AccountConcurrency | Reason::AccountTokens => {
            StatusCode::TOO_MANY_REQUESTS
        }
        Reason::KeyMismatch => StatusCode::CONFLICT,
        Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Reason::KeyUnknown | Reason::AgentLost | Reason::EndpointFailed => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn title_of(reason: reasons::RefusalReason) -> &'static str {
    use reasons::RefusalReason as Reason;
    match reason {
        Reason::Unauthorized => "The bearer token is missing or unknown.",
        Reason::Forbidden => "The account may not use this service or tier.",
        Reason::Malformed => "The request could not be read.",
        Reason::BodyTooLarge => "The body is larger than the service allows.",
        Reason::UnknownService => "No service has this name.",
        Reason::UnknownModel => "No service offers this model.",
        Reason::UnknownTier => "No tier has this name.",
        Reason::AccountRate => "The request rate of the account is used up.",
        Reason::AccountConcurrency => "The concurrent requests of the account are used up.",
        Reason::AccountTokens => "The token rate of the account is used up.",
        Reason::EntryMemory => "The memory for waiting requests is used up.",
        Reason::Evicted => "The request made room for a more urgent tier.",
        Reason::NoEndpoint => "No endpoint that could serve the request is known.",
        Reason::DeadlineUnreachable => "No endpoint can end the request by its deadline.",
        Reason::DeadlinePassed => "The deadline has passed.",
        Reason::Draining => "The endpoint is leaving.",
        Reason::ShuttingDown => "The process is shutting down.",
        Reason::StaleSettings => "The process has no current settings.",
        Reason::ClaimUnavailable => "The idempotency key could not be claimed.",
        Reason::KeyMismatch => "The idempotency key was used with another request.",
        Reason::KeyUnknown => "It can't be known how the first request of the key ended.",
        Reason::AgentLost => "The agent was lost after the hand-over.",
        Reason::EndpointFailed => "The endpoint failed after it had taken the request.",
        Reason::CallerGone => "The caller has gone away.",
        Reason::GrantExpired => "The slot for the request had ended.",
        Reason::UnknownRequest => "The request is not known, or its answer is not kept.",
    }
}
