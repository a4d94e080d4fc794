//! Heads of requests to backend servers and of responses to callers.

use crate::body::{Body, Reply};
use crate::context::Context;
use crate::dispatch::ResumePoint;
use crate::pool::{ServerRequest, is_chunked};
use crate::request::AdmittedRequest;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, Uri};
use pick::Choice;

/// Standard header with the ID of the event after which a stream resumes.
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Largest priority number that engines accept, which is the lowest priority.
const MAX_ENGINE_PRIORITY: u8 = 9;
/// Fraction of the target latency. A request with a longer expected latency gets priority 0 at the
/// engine instead of its own priority: a long prompt has no time to wait behind short ones.
const TIGHT_TARGET_FRACTION: f64 = 0.4;

/// Builds the request that is sent to the backend server.
pub(crate) fn build_server_request(
    cx: &Context,
    request: &AdmittedRequest,
    choice: &Choice,
    resume: &ResumePoint,
) -> Result<ServerRequest, hyper::http::Error> {
    let names = cx.protocol.names();
    let mut req = Request::builder()
        .method(request.method.clone())
        .uri(Uri::from(request.target.clone()))
        .body(request.body.clone())?;
    let headers = req.headers_mut();
    *headers = request.headers.clone();
    headers.insert(&names.request, request.id.clone());
    headers.insert(&names.deadline, HeaderValue::from(request.remaining_ms()));
    headers.insert(&names.expected, HeaderValue::from_str(&choice.id)?);
    if request.prompt.is_some() {
        headers
            .insert(&names.urgency, HeaderValue::from(u16::from(engine_priority(request, choice))));
    }
    // A moved request brings its whole KV cache along.
    if let Some(from) = choice.copy_from.filter(|_| resume.moved_from.is_none()) {
        headers.insert(&names.copy_from, HeaderValue::from_str(&from.to_string())?);
    }
    if let Some(organisation) = &request.organisation {
        headers.insert(&names.organisation, HeaderValue::from_str(&organisation.name)?);
    }
    if let Some(id) = &resume.last_event_id {
        headers.insert(LAST_EVENT_ID, id.clone());
    }
    if let Some(from) = &resume.moved_from {
        headers.insert(&names.moved_from, from.clone());
    }
    Ok(req)
}

/// Returns the priority of a request at its engine; 0 is served first.
fn engine_priority(request: &AdmittedRequest, choice: &Choice) -> u8 {
    let is_tight =
        choice.expected_ms > TIGHT_TARGET_FRACTION * request.route.target_latency_ms as f64;
    if is_tight { 0 } else { request.priority.min(MAX_ENGINE_PRIORITY) }
}

/// Builds the response to the caller from the response of a server.
pub(crate) fn forwarded_reply(head: Response<()>, body: Body) -> Reply {
    let (mut parts, ()) = head.into_parts();
    strip_hop_by_hop_headers(&mut parts.headers);
    let mut reply = Response::new(body);
    *reply.status_mut() = parts.status;
    *reply.headers_mut() = parts.headers;
    reply
}

/// Whether only the end of its connection ends a body of which nothing was read yet. A body that the request or the
/// status rules out has the length 0.
pub(crate) fn ends_with_connection(headers: &HeaderMap, body: &Incoming) -> bool {
    let has_chunks = headers.get_all(TRANSFER_ENCODING).iter().any(is_chunked);
    body.size_hint().exact().is_none() && !has_chunks
}

/// Hop-by-hop headers besides `connection` and `transfer-encoding`.
const HOP_BY_HOP_HEADERS: [&str; 7] = [
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// Removes headers that apply to a single connection, with those that `connection` lists.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
