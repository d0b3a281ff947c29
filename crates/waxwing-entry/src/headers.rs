//! HTTP headers: those that callers control their requests with, and those that are forwarded.

use std::time::Duration;

use hyper::{
    HeaderMap,
    header::{self, HeaderName, HeaderValue},
};
use waxwing_core::{ids, reasons};
use waxwing_wire::messages;

use crate::problems;

/// Request header with the name of the tier.
pub const TIER_HEADER: &str = "x-tier";
/// Request header with the time until the deadline in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Request header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Maximum deadline in milliseconds, one hour; the same as for the default deadline of a tier.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Maximum length of an idempotency key in bytes; keys are stored in the control log.
const MAX_KEY_BYTES: usize = 255;

/// Headers that are not forwarded: hop-by-hop headers, and those that the entry consumes or sets.
/// The idempotency key is not among them; endpoints receive it too.
const STRIPPED_HEADERS: [&str; 15] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "authorization",
    "expect",
    "host",
    TIER_HEADER,
    DEADLINE_HEADER,
    problems::REQUEST_ID_HEADER,
];

fn is_stripped(name: &HeaderName) -> bool {
    STRIPPED_HEADERS.contains(&name.as_str())
}

/// Returns the headers to send to the endpoint: those of the caller that are forwarded, and the
/// request id.
#[must_use]
pub fn request_headers(headers: &HeaderMap, request: ids::RequestId) -> Vec<messages::HeaderField> {
    let passed = headers.iter().filter(|(name, _)| !is_stripped(name));
    let fields = passed.map(|(name, value)| messages::HeaderField {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    let id = messages::HeaderField {
        name: problems::REQUEST_ID_HEADER.to_owned(),
        value: request.to_string().into_bytes(),
    };
    fields.chain([id]).collect()
}

/// Returns the endpoint's headers that are forwarded to the caller. `content-length` is not
/// forwarded, so that an aborted response is never as long as announced.
#[must_use]
pub fn response_headers(fields: &[messages::HeaderField]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value)
            && !is_stripped(&name)
        {
            headers.append(name, value);
        }
    }
    headers
}

/// Returns the bearer token of the `authorization` header.
#[must_use]
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(token.trim())
}

fn malformed(detail: &str) -> problems::ProblemBody {
    problems::ProblemBody::new(reasons::RefusalReason::Malformed).with_detail(detail)
}

/// Headers by which a caller controls the processing of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// The requested tier; `None` for the default of the service.
    pub tier: Option<ids::TierName>,
    /// The time until the deadline; `None` for the default of the tier.
    pub deadline: Option<Duration>,
    /// The idempotency key.
    pub key: Option<String>,
}

impl CallerHeaders {
    /// Parses the headers.
    ///
    /// # Errors
    /// Fails if one of them isn't valid; the detail names the allowed values.
    pub fn read(headers: &HeaderMap) -> Result<Self, problems::ProblemBody> {
        Ok(Self {
            tier: headers.get(TIER_HEADER).map(parse_tier).transpose()?,
            deadline: headers
                .get(DEADLINE_HEADER)
                .map(parse_deadline)
                .transpose()?,
            key: headers.get(KEY_HEADER).map(parse_key).transpose()?,
        })
    }
}

fn parse_tier(value: &HeaderValue) -> Result<ids::TierName, problems::ProblemBody> {
    let text = String::from_utf8_lossy(value.as_bytes());
    text.parse()
        .map_err(|error: waxwing_core::errors::ParseError| {
            problems::ProblemBody::new(reasons::RefusalReason::UnknownTier)
                .with_detail(&error.to_string())
        })
}

fn parse_deadline(value: &HeaderValue) -> Result<Duration, problems::ProblemBody> {
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    millis
        .filter(|millis| (1..=MAX_DEADLINE_MS).contains(millis))
        .map(Duration::from_millis)
        .ok_or_else(|| malformed("X-Deadline-Ms is not valid; allowed: 1 to 3600000"))
}

fn parse_key(value: &HeaderValue) -> Result<String, problems::ProblemBody> {
    let text = value.to_str().ok();
    let valid = text.filter(|text| !text.is_empty() && text.len() <= MAX_KEY_BYTES);
    valid.map(str::to_owned).ok_or_else(|| {
        malformed("Idempotency-Key is not valid; allowed: 1 to 255 visible ASCII characters")
    })
}
