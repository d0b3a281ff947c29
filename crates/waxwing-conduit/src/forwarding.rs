//! Builds the requests that are sent to endpoints and the answers that are sent to callers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    http::{self, HeaderMap, HeaderName, header},
};
use waxwing_core::clock::Clock;
use waxwing_fleet::dialects;

use crate::{answers, intake, state};

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Builds the request that is sent to the endpoint of `run`; `last_event` is the last event that
/// the caller already has.
pub(crate) fn endpoint_request<C: Clock, D: dialects::RequestDialect>(
    state: &state::EntryState<C, D>,
    request: &intake::AcceptedRequest,
    run: &state::StartedRun<C, D>,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    let path = request.uri.path_and_query().cloned();
    *outgoing.uri_mut() = path.map_or_else(|| request.uri.clone(), http::Uri::from);
    let mut headers = request.headers.clone();
    let facts = dialects::DispatchFacts {
        endpoint: &run.endpoint,
        account: request
            .account
            .as_ref()
            .map(|account| account.name.as_str()),
        deadline: request
            .facts
            .deadline
            .map(|_| intake::remaining_time(state, request)),
        last_event,
    };
    state.dialect.dispatch(&mut headers, &facts);
    *outgoing.headers_mut() = headers;
    outgoing
}

/// Returns the caller's headers without those that apply to its connection only, those that concern
/// the transfer of its body, and those that the platform reserves.
pub(crate) fn forwarded_headers<D: dialects::RequestDialect>(
    dialect: &D,
    headers: &HeaderMap,
) -> HeaderMap {
    let named = connection_options(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let excluded = HOP_BY_HOP_HEADERS.contains(name)
            || named.contains(name)
            || *name == header::CONTENT_LENGTH
            || *name == header::EXPECT;
        if !excluded && !dialect.is_reserved(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Returns the names of the headers that are listed in `Connection`.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let names = values.filter_map(|value| value.to_str().ok());
    let names = names.flat_map(|value| value.split(','));
    names.filter_map(|name| name.trim().parse().ok()).collect()
}

/// Returns whether a status ends an exchange. The HTTP client also passes on 101, which switches the
/// protocol, and numbers from 600 up, which are no status of HTTP.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Builds the answer to the caller from the head of the endpoint's answer and a body.
pub(crate) fn caller_answer(
    head: http::response::Parts,
    body: answers::AnswerBody,
) -> Response<answers::AnswerBody> {
    let named = connection_options(&head.headers);
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    let headers = answer.headers_mut();
    for (name, value) in &head.headers {
        let excluded = HOP_BY_HOP_HEADERS.contains(name)
            || named.contains(name)
            || *name == header::CONTENT_LENGTH;
        if !excluded {
            headers.append(name.clone(), value.clone());
        }
    }
    answer
}
