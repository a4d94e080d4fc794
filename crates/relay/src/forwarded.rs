//! Takes over requests of entries that do not reach the servers of a service.

use crate::admit::request_host;
use crate::body::Reply;
use crate::context::Context;
use crate::dispatch::dispatch;
use crate::entry_headers as fields;
use crate::forward::RUNS_PER_DETOUR;
use crate::paths;
use crate::planned_stop;
use crate::reply::error_reply;
use crate::request::AdmittedRequest;
use crate::serve::BODY_TIMEOUT;
use coord::{Path, request_mark};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use kernel::prelude::*;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;
use web::ClientConnection;

/// Number of open requests of other entries for each one of this entry's own callers, up to which further
/// ones are taken over.
const MAX_FORWARDED_PER_OWN: u32 = 3;
/// Number of open requests of other entries that are taken over in any case.
const MIN_FORWARDED: u32 = 48;

/// Handles a request that another entry passes on. It was admitted, charged and counted there.
pub(crate) async fn handle(
    cx: &Rc<Context>,
    client: &Arc<ClientConnection>,
    parts: Parts,
    body: Incoming,
) -> Reply {
    let sender = fields::name(&parts.headers, &fields::SENDER).unwrap_or_default();
    let id = parts.headers.get(&cx.protocol.names().request).cloned();
    let id = id.unwrap_or(HeaderValue::from_static(""));
    let declined = |reason: &'static str| {
        cx.count_forwarded("taken", "declined");
        info!(cx.log, "declined"; "request" => id.to_str().unwrap_or(""), "entry" => %sender,
            "cause" => reason);
        let mut reply = error_reply(&Failure::new(Code::NotDispatched, reason));
        let headers = reply.headers_mut();
        headers.insert(&fields::DECLINED, HeaderValue::from_static(reason));
        headers.insert(&fields::RULES_VERSION, HeaderValue::from(cx.rules.borrow().version));
        reply
    };
    let request = match take_over(cx, client, parts, body, id.clone()).await {
        Ok(request) => Rc::new(request),
        Err(reason) => return declined(reason),
    };
    debug!(cx.log, "taken over"; "request" => request.id_text(), "entry" => %sender,
        "service" => %request.service, "runs" => request.runs_before);
    let (mut reply, code) = dispatch(cx, request).await;
    cx.count_forwarded("taken", if code.is_some() { "failed" } else { "answered" });
    if let Some(code) = code {
        reply.headers_mut().insert(&fields::CODE, HeaderValue::from(code.number()));
    }
    reply
}

/// Reads a request of another entry; fails with the reason for which it is not taken over.
async fn take_over(
    cx: &Rc<Context>,
    client: &Arc<ClientConnection>,
    parts: Parts,
    body: Incoming,
    id: HeaderValue,
) -> Result<AdmittedRequest, &'static str> {
    let started = Instant::now();
    let Parts { method, uri, mut headers, .. } = parts;
    let rules = cx.rules.borrow().clone();
    let stated = fields::number(&headers, &fields::RULES_VERSION)
        .ok_or("the version of the rules is missing")?;
    // Both entries have to decide by the same rules: neither may fall behind what a server has seen.
    if stated != rules.version {
        if stated > rules.version {
            cx.poll_rules_now.notify_one();
        }
        return Err("other rules are in force");
    }
    let route = rules.find_route(request_host(&uri, &headers), uri.path());
    let mut route = route.ok_or("the route is unknown")?.clone();
    let service = fields::name(&headers, &fields::SERVICE).ok_or("the service is missing")?;
    let organisation = match fields::text(&headers, &fields::ORGANISATION) {
        Some(name) => {
            Some(rules.organisation_named(name).ok_or("the organisation is unknown")?.clone())
        }
        None => None,
    };
    if organisation.is_some() && !cx.is_fresh() {
        return Err("the rules may be out of date");
    }
    if paths::update(cx, &service) != Path::Direct {
        return Err("no server is reached from here either");
    }
    let forwarded = cx.open_forwarded.get();
    let own = cx.open_requests.get().saturating_sub(forwarded);
    if forwarded > MIN_FORWARDED.max(MAX_FORWARDED_PER_OWN * own) {
        return Err("too many requests of other entries are open");
    }
    let names = cx.protocol.names();
    let deadline_ms = fields::number(&headers, &names.deadline).ok_or("the deadline is missing")?;
    let deadline = started + Duration::from_millis(deadline_ms);
    if !planned_stop::accepts(cx, &route, deadline) {
        return Err("the entry is leaving");
    }
    let former_runs = fields::number(&headers, &fields::FORMER_RUNS);
    let runs_before = former_runs.or_else(|| fields::number(&headers, &fields::RUNS));
    let runs_before = runs_before.unwrap_or(0) as u32;
    let max_attempts = runs_before.saturating_add(RUNS_PER_DETOUR).min(route.max_attempts);
    Arc::make_mut(&mut route).max_attempts = max_attempts;
    let software_version = fields::name(&headers, &fields::SOFTWARE_VERSION);
    let sender = fields::name(&headers, &fields::SENDER).unwrap_or_default();
    let prompt = cx.protocol.parse_prompt(&headers).filter(|_| route.has_prompt);
    let priority = organisation.as_ref().and_then(|owner| owner.priority).unwrap_or(route.priority);
    let body = client.receive(body, rules.limits.max_body_bytes, BODY_TIMEOUT).await;
    let body = body.map_err(|_| "the body is incomplete")?;
    if !planned_stop::accepts(cx, &route, deadline) {
        return Err("the entry is leaving");
    }
    headers.remove(CONTENT_LENGTH);
    headers.remove(hyper::header::CONNECTION);
    fields::strip(&mut headers);
    let target = uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
    let mark = request_mark(
        method.as_str(),
        target.as_str(),
        organisation.as_ref().map(|organisation| &organisation.name),
        &body,
    );
    Ok(AdmittedRequest {
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
        // A sender that decides about each run also counts it.
        usage_counted: Cell::new(runs_before > 0 || former_runs.is_some()),
        mark,
        rules_version: rules.version,
        sender: Some(sender),
        runs_before,
        client: client.clone(),
        route,
    })
}
