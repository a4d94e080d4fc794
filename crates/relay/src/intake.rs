//! Takes callers' connections and requests in.

use crate::admit::{Allowed, allow, host};
use crate::answer::{bare, refuse};
use crate::body::Reply;
use crate::deliver::{Job, deliver, strip_connection_fields};
use crate::directory;
use crate::hub::Hub;
use crate::peers;
use crate::pool::tune;
use coord::Ask;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use kernel::boot_ms;
use kernel::prelude::*;
use rules::Quota;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Time for the head of a request to arrive, and for an idle connection to stay.
const HEAD_TIME: Duration = Duration::from_secs(90);
/// Bytes kept of what a connection has sent and nobody has read.
const READ_BUFFER: usize = 64 << 10;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Time within which a body has to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Least and largest time after which a caller over its quota may come back, in seconds.
const QUOTA_RETRY_S: (f64, f64) = (0.2, 4.0);
/// Time after which a caller may come back that met an entry about to end: another one serves it.
const LEAVING_RETRY: Duration = Duration::from_millis(20);
/// Time after which a caller may come back that met rules out of date.
const STALE_RETRY: Duration = Duration::from_millis(300);

/// What a listener serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Door {
    /// Callers' requests.
    Front,
    /// Whether the entry is ready, the directory and the metrics.
    Side,
}

/// Accepts connections for as long as the process lives.
pub(crate) async fn accept(hub: Rc<Hub>, listener: TcpListener, door: Door) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                drop(tokio::task::spawn_local(connection(hub.clone(), stream, door)))
            }
            Err(e) => {
                warn!(hub.log, "accept failed"; "cause" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(hub: Rc<Hub>, stream: TcpStream, door: Door) {
    if tune(&stream).is_err() {
        // The caller has gone already.
        return;
    }
    let service = service_fn(|req: Request<Incoming>| {
        let hub = hub.clone();
        async move {
            // A length beside chunks may have been dropped before it is seen here, and what
            // follows may be part of the body to whoever sent it.
            let is_chunked = req.headers().contains_key(TRANSFER_ENCODING);
            let mut reply = match door {
                Door::Front => front(&hub, req).await,
                Door::Side => directory::side(&hub, &req),
            };
            if hub.stopping.get() || is_chunked {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(reply)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIME).max_buf_size(READ_BUFFER);
    // A connection that breaks concerns its caller only, who sees it too.
    drop(builder.serve_connection(TokioIo::new(stream), service).await);
}

/// Counts a request as open for as long as it lives.
struct Opened(Rc<Hub>);

impl Opened {
    fn new(hub: &Rc<Hub>) -> Self {
        hub.open.set(hub.open.get() + 1);
        Self(hub.clone())
    }
}

impl Drop for Opened {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

async fn front(hub: &Rc<Hub>, req: Request<Incoming>) -> Reply {
    let began = Instant::now();
    let opened = Opened::new(hub);
    let (parts, body) = req.into_parts();
    let id = parts.headers.get(&hub.dialect.names().request).cloned();
    let id = id.unwrap_or(HeaderValue::from_static(""));
    let (reply, code) = match serve(hub, parts, body, began).await {
        Ok(served) => served,
        Err(failure) => {
            info!(hub.log, "refused"; "request" => id.to_str().unwrap_or(""),
                "code" => failure.code.number(), "cause" => failure.context.clone(),
                "version" => hub.sight.borrow().version(),
                "sight_ms" => hub.sight.borrow().age(boot_ms()));
            (refuse(&failure), Some(failure.code))
        }
    };
    hub.count_request(reply.status().as_u16(), code);
    hub.record_first(began.elapsed());
    debug!(hub.log, "answered"; "request" => id.to_str().unwrap_or(""),
        "status" => reply.status().as_u16(), "head_ms" => began.elapsed().as_millis() as u64);
    hold(reply, opened)
}

/// Keeps a request open until its body has been sent.
fn hold(reply: Reply, opened: Opened) -> Reply {
    use futures::StreamExt;
    reply.map(|body| match body {
        http_body_util::Either::Left(full) => http_body_util::Either::Left(full),
        http_body_util::Either::Right(chunks) => {
            let chunks = futures::stream::StreamExt::map(
                http_body_util::BodyStream::new(chunks),
                move |frame| {
                    let _ = &opened;
                    frame
                },
            );
            crate::body::streamed(chunks.boxed_local())
        }
    })
}

async fn serve(
    hub: &Rc<Hub>,
    parts: Parts,
    body: Incoming,
    began: Instant,
) -> Result<(Reply, Option<Code>), Failure> {
    let Parts { method, uri, mut headers, .. } = parts;
    let head_bytes = head_bytes(&uri, &headers);
    if head_bytes > hub.rules.borrow().limits.max_header_bytes {
        return Err(Failure::new(Code::HeadTooLarge, format!("{head_bytes} bytes")));
    }
    if headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH) {
        return Err(Failure::new(Code::AmbiguousLength, uri.path()));
    }
    let named = host(&uri, &headers).to_owned();
    let allowed = allow(hub, &named, uri.path(), &headers).map_err(|code| {
        let failure = Failure::new(code, format!("{named}{}", uri.path()));
        if failure.retry_after.is_some() { failure.retry_after(STALE_RETRY) } else { failure }
    })?;
    let Allowed { rules, route, organisation, prompt, rank, wait_ms } = allowed;
    if hub.ending.get() && route.retry_policy.is_stream() {
        return Err(Failure::new(Code::Leaving, named).retry_after(LEAVING_RETRY));
    }
    let body = read_body(body, rules.limits.max_body_bytes).await?;
    let quota = organisation.as_ref().and_then(|o| o.quota.map(|quota| (o.name.clone(), quota)));
    let tokens = prompt.as_ref().map(|prompt| prompt.tokens + prompt.answer_tokens);
    if let Some((holder, quota)) = &quota {
        pay(hub, holder, quota, quota.cost(tokens)).await?;
    }
    let refund = || {
        if let Some((holder, quota)) = &quota {
            hub.purses.borrow_mut().refund(holder, quota, quota.cost(tokens), boot_ms());
        }
    };
    // A request that had to wait is held to what is believed now.
    if organisation.is_some() && !hub.is_fresh() {
        refund();
        return Err(Failure::new(Code::RulesStale, named).retry_after(STALE_RETRY));
    }
    let service = route.choose_service(rand::random()).cloned();
    let service = service.ok_or_else(|| Failure::new(Code::NoServer, route.name.as_str()))?;
    hub.retries.borrow_mut().request(&service, boot_ms());
    let names = hub.dialect.names();
    let id = headers.get(&names.request).cloned().unwrap_or(HeaderValue::from_static(""));
    strip_connection_fields(&mut headers);
    for name in [&CONTENT_LENGTH, &EXPECT, &names.key, &names.organisation, &names.expected] {
        headers.remove(name);
    }
    for name in [&names.urgency, &names.moved_from].into_iter().chain(&names.reserved) {
        headers.remove(name);
    }
    let time = Duration::from_millis(wait_ms.min(route.timeout_ms));
    let target = uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
    let prompt = prompt.filter(|_| route.has_prompt);
    let job = Job {
        id,
        method,
        target,
        headers,
        body,
        service,
        organisation,
        prompt,
        rank,
        began,
        deadline: began + time,
        counted: Cell::new(false),
        route,
    };
    let (reply, code) = deliver(hub, Rc::new(job)).await;
    if code.is_some_and(|code| code.outcome() == kernel::Outcome::NotRun) {
        refund();
    }
    Ok((reply, code))
}

/// Returns the bytes of the target and the header fields of a request.
fn head_bytes(uri: &hyper::Uri, headers: &hyper::HeaderMap) -> usize {
    // A colon, a space and the line end.
    const OVERHEAD: usize = 4;
    let target = uri.path_and_query().map_or(0, |target| target.as_str().len());
    let field = |(name, value): (&hyper::header::HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + OVERHEAD
    };
    target + headers.iter().map(field).sum::<usize>()
}

async fn read_body(body: Incoming, limit: usize) -> Result<bytes::Bytes, Failure> {
    let read = tokio::time::timeout(BODY_TIME, Limited::new(body, limit).collect()).await;
    let read = read.map_err(|_| Failure::new(Code::BodyLate, format!("{BODY_TIME:?}")))?;
    read.map(|body| body.to_bytes()).map_err(|e| {
        let code =
            if e.is::<LengthLimitError>() { Code::BodyTooLarge } else { Code::MalformedBody };
        Failure::new(code, e.to_string())
    })
}

/// Pays for a request, with units of other entries where this one's do not do.
async fn pay(hub: &Rc<Hub>, holder: &Name, quota: &Quota, cost: f64) -> Result<(), Failure> {
    let try_pay = || hub.purses.borrow_mut().pay(holder, quota, cost, boot_ms());
    let mut ask = try_pay();
    if let Ask::Short(missing) = ask {
        peers::pull(hub, holder, quota, missing).await;
        ask = try_pay();
    }
    match ask {
        Ask::Paid => Ok(()),
        Ask::Short(missing) => {
            let (least, most) = QUOTA_RETRY_S;
            let after = (missing / quota.per_s.max(1.0)).clamp(least, most);
            let text = format!("{holder}: {missing:.0} of {cost:.0} units are missing");
            Err(Failure::new(Code::OverLimit, text).retry_after(Duration::from_secs_f64(after)))
        }
    }
}

/// Answers whether the entry is ready.
pub(crate) fn readiness(hub: &Hub) -> Reply {
    bare(if hub.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}
