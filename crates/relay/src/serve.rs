//! HTTP server for callers and for the entry's internal endpoints.

use crate::admit::{Admitted, admit, request_host};
use crate::body::Reply;
use crate::context::Context;
use crate::directory;
use crate::dispatch::dispatch;
use crate::entry_headers;
use crate::forwarded;
use crate::headers::{LAST_EVENT_ID, strip_hop_by_hop_headers};
use crate::origin_store;
use crate::origins;
use crate::planned_stop;
use crate::pool::set_socket_options;
use crate::quota_exchange;
use crate::reply::{empty_reply, error_reply};
use crate::request::AdmittedRequest;
use coord::request_mark;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use kernel::boot_ms;
use kernel::prelude::*;
use rules::{Quota, RetryPolicy, Route};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use web::{ClientConnection, ClientIo, ClientRequest};

/// Time that bytes sent to a caller may stay unacknowledged before the connection is treated as dead. A caller may
/// read slowly for as long as its requests last.
const CALLER_UNACKED_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of bytes buffered for a connection before they are read.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Timeout for the body of a request.
pub(crate) const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time to send the answer to a request whose connection has to go.
const DISMISSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Retry-after time of an entry that is about to shut down. It is short because another entry can
/// serve the caller at once.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Retry-after time when the rules of this entry may be out of date.
const STALE_RULES_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry-after time when the version that began a stream is unknown. Another entry may know it.
const UNKNOWN_ORIGIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Kind of requests that a listener serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ListenerKind {
    /// Requests of callers.
    Callers,
    /// Requests of callers that other entries pass on.
    Entries,
    /// Readiness, the directory and metrics.
    Internal,
}

/// A socket that accepts connections.
pub(crate) struct Listener {
    pub(crate) listener: TcpListener,
    pub(crate) kind: ListenerKind,
    /// Index among the listeners of the entry.
    pub(crate) index: usize,
}

/// Accepts connections for as long as the process lives.
pub(crate) async fn accept_connections(cx: Rc<Context>, listener: Rc<Listener>) {
    let mut failures = 0_u64;
    loop {
        match listener.listener.accept().await {
            Ok((stream, _)) => {
                if failures > 0 {
                    info!(cx.log, "accepting again"; "failures" => failures);
                    failures = 0;
                }
                // Without room for it, the connection is closed.
                if let Some(client) = cx.clients.open(listener.index) {
                    let serving = serve_connection(cx.clone(), stream, client, listener.kind);
                    drop(tokio::task::spawn_local(serving));
                }
                // Connections that have to go for this one go now.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                if failures == 0 {
                    warn!(cx.log, "accept failed"; "cause" => %e);
                }
                failures += 1;
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    cx: Rc<Context>,
    stream: TcpStream,
    client: Arc<ClientConnection>,
    kind: ListenerKind,
) {
    if set_socket_options(&stream, CALLER_UNACKED_TIMEOUT).is_err() {
        // The caller has already disconnected.
        return;
    }
    let service = service_fn(|req: Request<Incoming>| {
        let (cx, client) = (cx.clone(), client.clone());
        // Boxed, as an idle connection has the size of its largest future.
        Box::pin(async move { Ok::<_, Infallible>(answer(&cx, &client, kind, req).await) })
    });
    let mut builder = http1::Builder::new();
    // The sweep of the clients ends connections that wait for too long.
    builder.header_read_timeout(None).max_buf_size(READ_BUFFER_BYTES);
    let io = TokioIo::new(ClientIo::new(stream, client.clone()));
    let mut serving = std::pin::pin!(builder.serve_connection(io, service));
    let served = tokio::select! {
        served = &mut serving => served,
        () = client.dismissed() => {
            if !client.runs_request() {
                return;
            }
            // The body of the request is read no further, or its answer is not read: there may be a refusal to send.
            let Ok(served) = tokio::time::timeout(DISMISSAL_TIMEOUT, serving).await else { return };
            served
        }
    };
    // A connection error affects only its caller, who notices it too.
    drop(served);
}

/// Answers a request to a listener of this kind.
async fn answer(
    cx: &Rc<Context>,
    client: &Arc<ClientConnection>,
    kind: ListenerKind,
    req: Request<Incoming>,
) -> Reply {
    // The HTTP parser may have dropped a content-length next to the transfer-encoding, so
    // the sender may regard the following bytes as part of the body. The connection is
    // closed to prevent request smuggling.
    let has_transfer_encoding = req.headers().contains_key(TRANSFER_ENCODING);
    client.set_unread_body(!req.body().is_end_stream());
    let mut reply = match client.begin_request() {
        Err(failure) => return refuse(cx, kind, &req, &failure),
        Ok(request) => match kind {
            ListenerKind::Callers => handle_request(cx, request, req).await,
            ListenerKind::Entries => {
                let open_request = OpenRequest::new(cx, request, true);
                let (parts, body) = req.into_parts();
                let reply = forwarded::handle(cx, client, parts, body).await;
                track_body(reply, open_request)
            }
            ListenerKind::Internal => directory::handle_internal(cx, &req),
        },
    };
    if cx.stopping.get() || has_transfer_encoding || client.has_failed_body() {
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

/// Refuses a request for which there is no room, and ends its connection.
fn refuse(cx: &Context, kind: ListenerKind, req: &Request<Incoming>, failure: &Failure) -> Reply {
    let id = req.headers().get(&cx.protocol.names().request);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("");
    debug!(cx.log, "refused"; "request" => id, "code" => failure.code.number(),
        "cause" => failure.context.clone());
    let mut reply = error_reply(failure);
    cx.count_request(reply.status().as_u16(), Some(failure.code));
    let headers = reply.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    if kind == ListenerKind::Entries {
        // The sender may pass the request on to another entry.
        headers.insert(&entry_headers::DECLINED, HeaderValue::from_static("no room"));
    }
    reply
}

/// Counts a request as open until dropped.
struct OpenRequest {
    cx: Rc<Context>,
    _request: ClientRequest,
    /// Whether another entry passed the request on.
    is_forwarded: bool,
}

impl OpenRequest {
    fn new(cx: &Rc<Context>, request: ClientRequest, is_forwarded: bool) -> Self {
        cx.open_requests.set(cx.open_requests.get() + 1);
        if is_forwarded {
            cx.open_forwarded.set(cx.open_forwarded.get() + 1);
        }
        Self { cx: cx.clone(), _request: request, is_forwarded }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let decrement = |count: &Cell<u32>| count.set(count.get().saturating_sub(1));
        decrement(&self.cx.open_requests);
        if self.is_forwarded {
            decrement(&self.cx.open_forwarded);
        }
    }
}

async fn handle_request(cx: &Rc<Context>, request: ClientRequest, req: Request<Incoming>) -> Reply {
    let started = Instant::now();
    let client = request.client().clone();
    let open_request = OpenRequest::new(cx, request, false);
    let (parts, body) = req.into_parts();
    let id = parts.headers.get(&cx.protocol.names().request).cloned();
    let id = id.unwrap_or(HeaderValue::from_static(""));
    let (reply, code) = match admit_and_dispatch(cx, &client, parts, body, started).await {
        Ok(served) => served,
        Err(failure) => {
            info!(cx.log, "refused"; "request" => id.to_str().unwrap_or(""),
                "code" => failure.code.number(), "cause" => failure.context.clone(),
                "version" => cx.freshness.borrow().version(),
                "sight_ms" => cx.freshness.borrow().age(boot_ms()));
            (error_reply(&failure), Some(failure.code))
        }
    };
    cx.count_request(reply.status().as_u16(), code);
    cx.record_first_byte(started.elapsed());
    debug!(cx.log, "answered"; "request" => id.to_str().unwrap_or(""),
        "status" => reply.status().as_u16(), "head_ms" => started.elapsed().as_millis() as u64);
    track_body(reply, open_request)
}

/// Keeps a request counted as open until the body of its response has been handed to the connection, which
/// counts as blocked until it has sent all of it.
fn track_body(reply: Reply, open_request: OpenRequest) -> Reply {
    use futures::StreamExt;
    reply.map(|body| match body {
        http_body_util::Either::Left(full) => http_body_util::Either::Left(full),
        http_body_util::Either::Right(chunks) => {
            let chunks = futures::stream::StreamExt::map(
                http_body_util::BodyStream::new(chunks),
                move |frame| {
                    let _ = &open_request;
                    frame
                },
            );
            crate::body::streamed_body(chunks.boxed_local())
        }
    })
}

/// Serves a request. One that has no answer when the entry is about to exit gets a failure instead.
async fn admit_and_dispatch(
    cx: &Rc<Context>,
    client: &Arc<ClientConnection>,
    parts: Parts,
    body: Incoming,
    started: Instant,
) -> Result<(Reply, Option<Code>), Failure> {
    let (request, charge) = tokio::select! {
        biased;
        admitted = admit_request(cx, client, parts, body, started) => admitted?,
        () = planned_stop::wait_until_answers_due(cx) => return Err(leaving("the entry exits")),
    };
    let request = Rc::new(request);
    let (reply, code) = tokio::select! {
        biased;
        served = dispatch(cx, request.clone()) => served,
        () = planned_stop::wait_until_answers_due(cx) => {
            let context = format!("{}: the entry exits", request.id_text());
            return Err(Failure::new(Code::DeadlinePassed, context));
        }
    };
    if code.is_some_and(|code| code.outcome() == kernel::Outcome::NotRun) {
        charge.refund(cx);
    }
    Ok((reply, code))
}

fn leaving(context: impl Into<String>) -> Failure {
    Failure::new(Code::Leaving, context).retry_after(LEAVING_RETRY_AFTER)
}

/// Quota units that a request was charged.
struct Charge(Option<(Name, Quota, f64)>);

impl Charge {
    /// Returns the units, as the request has not run.
    fn refund(&self, cx: &Context) {
        if let Some((organisation, quota, units)) = &self.0 {
            cx.quota_shares.borrow_mut().refund(organisation, quota, *units, boot_ms());
        }
    }
}

/// Admits a request: reads its body and charges its organisation.
async fn admit_request(
    cx: &Rc<Context>,
    client: &Arc<ClientConnection>,
    parts: Parts,
    body: Incoming,
    started: Instant,
) -> Result<(AdmittedRequest, Charge), Failure> {
    let Parts { method, uri, mut headers, .. } = parts;
    let header_bytes = header_bytes(&uri, &headers);
    if header_bytes > cx.rules.borrow().limits.max_header_bytes {
        return Err(Failure::new(Code::HeadTooLarge, format!("{header_bytes} bytes")));
    }
    if headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH) {
        return Err(Failure::new(Code::AmbiguousLength, uri.path()));
    }
    let host = request_host(&uri, &headers).to_owned();
    let admitted = admit(cx, &host, uri.path(), &headers).map_err(|code| {
        let failure = Failure::new(code, format!("{host}{}", uri.path()));
        if failure.retry_after.is_some() {
            failure.retry_after(STALE_RULES_RETRY_AFTER)
        } else {
            failure
        }
    })?;
    let Admitted { rules, route, organisation, prompt, priority, timeout_ms } = admitted;
    let deadline = started + Duration::from_millis(timeout_ms.min(route.timeout_ms));
    if !planned_stop::accepts(cx, &route, deadline) {
        return Err(leaving(host));
    }
    let body = client.receive(body, rules.limits.max_body_bytes, BODY_TIMEOUT).await?;
    let service = route.choose_service(rand::random()).cloned();
    let service = service.ok_or_else(|| Failure::new(Code::NoServer, route.name.as_str()))?;
    let software_version = version_to_resume(cx, &route, &service, &headers).await?;
    let tokens = prompt.as_ref().map(|prompt| prompt.tokens + prompt.answer_tokens);
    let charge = Charge(organisation.as_ref().and_then(|organisation| {
        let quota = organisation.quota?;
        Some((organisation.name.clone(), quota, quota.cost(tokens)))
    }));
    if let Charge(Some((organisation, quota, units))) = &charge {
        quota_exchange::charge(cx, organisation, quota, *units, route.target_latency_ms).await?;
    }
    let begins = software_version.is_none()
        && route.retry_policy == (RetryPolicy::Stream { resumable: true });
    if begins && !origin_store::wait_for_history(cx, &service, deadline).await {
        charge.refund(cx);
        return Err(Failure::new(Code::OriginUnknown, "the store holds no history of the service")
            .retry_after(UNKNOWN_ORIGIN_RETRY_AFTER));
    }
    // The rules may have become stale, and the entry may have begun to stop, while the request waited for its body, for
    // quota or for the store.
    if organisation.is_some() && !cx.is_fresh() {
        charge.refund(cx);
        return Err(Failure::new(Code::RulesStale, host).retry_after(STALE_RULES_RETRY_AFTER));
    }
    if !planned_stop::accepts(cx, &route, deadline) {
        charge.refund(cx);
        return Err(leaving(host));
    }
    cx.retry_budget.borrow_mut().record_request(&service, boot_ms());
    let names = cx.protocol.names();
    let id = headers.get(&names.request).cloned().unwrap_or(HeaderValue::from_static(""));
    strip_hop_by_hop_headers(&mut headers);
    for name in [&CONTENT_LENGTH, &EXPECT, &names.key, &names.organisation, &names.expected] {
        headers.remove(name);
    }
    for name in
        [&names.urgency, &names.copy_from, &names.moved_from].into_iter().chain(&names.reserved)
    {
        headers.remove(name);
    }
    let target = uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
    let prompt = prompt.filter(|_| route.has_prompt);
    let mark = request_mark(
        method.as_str(),
        target.as_str(),
        organisation.as_ref().map(|organisation| &organisation.name),
        &body,
    );
    let request = AdmittedRequest {
        id,
        method,
        target,
        headers,
        body,
        service,
        organisation,
        prompt,
        priority,
        software_version,
        started,
        deadline,
        usage_counted: Cell::new(false),
        mark,
        rules_version: rules.version,
        sender: None,
        runs_before: 0,
        client: client.clone(),
        route,
    };
    Ok((request, charge))
}

/// Returns the software version at which a stream has to go on that its caller resumes; `None` for any
/// other request.
async fn version_to_resume(
    cx: &Rc<Context>,
    route: &Route,
    service: &Name,
    headers: &HeaderMap,
) -> Result<Option<Name>, Failure> {
    let Some(last_event_id) = headers.get(LAST_EVENT_ID) else { return Ok(None) };
    if route.retry_policy != (RetryPolicy::Stream { resumable: true }) {
        return Ok(None);
    }
    let names = cx.protocol.names();
    let header = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    let resumes = header(&names.resumes);
    let origin = origins::find(cx, service, resumes).await;
    info!(cx.log, "stream resumed by its caller"; "request" => header(&names.request).unwrap_or(""),
        "resumes" => resumes, "last_event_id" => last_event_id.to_str().unwrap_or(""),
        "software" => origin.as_ref().map(|origin| origin.software_version.to_string()),
        "known_by" => origin.as_ref().map(|origin| origin.known_by));
    match origin {
        Some(origin) => Ok(Some(origin.software_version)),
        None => Err(Failure::new(Code::OriginUnknown, resumes.unwrap_or("no request is named"))
            .retry_after(UNKNOWN_ORIGIN_RETRY_AFTER)),
    }
}

/// Returns the size of the target and the headers of a request.
fn header_bytes(uri: &hyper::Uri, headers: &hyper::HeaderMap) -> usize {
    // Colon, space and CR LF.
    const FIELD_OVERHEAD_BYTES: usize = 4;
    let target = uri.path_and_query().map_or(0, |target| target.as_str().len());
    let field = |(name, value): (&hyper::header::HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES
    };
    target + headers.iter().map(field).sum::<usize>()
}

/// Returns the readiness of the entry as a response.
pub(crate) fn readiness_reply(cx: &Context) -> Reply {
    empty_reply(if cx.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}
