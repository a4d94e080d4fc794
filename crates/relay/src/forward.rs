//! Passes requests on to another entry while this one does not reach the servers of a service.

use crate::attempt::{AttemptHistory, AttemptResult, ResponseClass, classify};
use crate::attempt_guard::AttemptGuard;
use crate::body::full_body;
use crate::context::Context;
use crate::dispatch::{Attempt, ResumePoint, ServerResponse};
use crate::entry_headers as fields;
use crate::headers::{LAST_EVENT_ID, ends_with_connection, forwarded_reply};
use crate::peers::sample_live_peers;
use crate::pool::{SendError, ServerRequest};
use crate::request::AdmittedRequest;
use coord::Entry;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, Uri};
use kernel::boot_ms;
use kernel::prelude::*;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// Time since an entry last reached a server up to which requests are passed on to it, in milliseconds.
const MAX_REACHED_MS: Millis = 3_000;
/// Maximum number of live entries from which one is chosen.
const MAX_CANDIDATES: usize = 64;
/// Number of servers that may run a request at the other entry. The sender decides about each further one, so that
/// it knows their number even if the other entry ends.
pub(crate) const RUNS_PER_DETOUR: u32 = 1;
/// Multiple of the target latency after which a further attempt is made, if one is allowed. A detour takes longer than
/// an attempt of this entry.
const TIMEOUT_FACTOR: u32 = 3;
/// Maximum size of the body of a failure that another entry reports, in bytes.
const MAX_FAILURE_BYTES: usize = 64 << 10;

/// Chooses an entry that reaches servers of the service: the less busy one of two random ones.
pub(crate) fn choose_entry(cx: &Context, service: &Name, tried: &[Name]) -> Option<Entry> {
    let now = boot_ms();
    let live = sample_live_peers(cx, now, MAX_CANDIDATES);
    let peers = cx.peer_status.borrow();
    let open = |entry: &Entry| peers.get(&entry.name).map_or(u32::MAX, |status| status.open);
    let candidates: Vec<&Entry> = live
        .iter()
        .filter(|entry| entry.name != cx.settings.name && !tried.contains(&entry.name))
        .filter(|entry| {
            peers.get(&entry.name).is_some_and(|status| {
                let reached_at = status.reached_at.get(service);
                !status.stopping
                    && !status.cut.contains(service)
                    && reached_at.is_some_and(|at| now.saturating_sub(*at) < MAX_REACHED_MS)
            })
        })
        .collect();
    let two = candidates.sample(&mut rand::rng(), 2);
    two.min_by_key(|entry| open(entry)).map(|entry| (*entry).clone())
}

/// Passes a request on to another entry and waits for the head of the response.
pub(crate) async fn try_entry(
    cx: &Rc<Context>,
    request: &AdmittedRequest,
    entry: &Entry,
    resume: &ResumePoint,
    history: AttemptHistory,
) -> Attempt {
    let end = |result, label: &'static str, cause: &str| {
        cx.count_forwarded("sent", label);
        info!(cx.log, "forwarding ended"; "request" => request.id_text(), "entry" => %entry.name,
            "result" => label, "cause" => cause.to_owned(), "left_ms" => request.remaining_ms());
        Attempt::NoResponse(result)
    };
    let Ok(address) = entry.peer.parse::<SocketAddr>() else {
        return end(AttemptResult::Unsent, "unsent", "the address of the entry is invalid");
    };
    let mut connection = match cx.pool.connection(address).await {
        Ok(connection) => connection,
        Err(failure) => return end(AttemptResult::Unsent, "unreachable", &failure.context),
    };
    if request.remaining_ms() == 0 {
        cx.pool.give_back(connection);
        return end(AttemptResult::Unsent, "expired", "the deadline has passed");
    }
    let req = match build_request(cx, request, resume, history) {
        Ok(req) => req,
        Err(e) => return end(AttemptResult::Unsent, "unsent", &e.to_string()),
    };
    debug!(cx.log, "forwarded"; "request" => request.id_text(), "entry" => %entry.name,
        "service" => %request.service);
    let sent = tokio::time::timeout(response_timeout(request, history), connection.send(req)).await;
    let response = match sent {
        Err(_) => {
            return end(AttemptResult::ResponseLost, "late", "no response before the timeout");
        }
        Ok(Err(SendError::Unwritten(failure))) => {
            return end(AttemptResult::Unsent, "unsent", &failure.context);
        }
        Ok(Err(SendError::Broke(failure))) => {
            return end(AttemptResult::ResponseLost, "broke", &failure.context);
        }
        Ok(Ok(response)) => response,
    };
    if let Some(reason) = fields::text(response.headers(), &fields::DECLINED) {
        let version = fields::number(response.headers(), &fields::RULES_VERSION);
        if version.is_some_and(|version| version > cx.rules.borrow().version) {
            cx.poll_rules_now.notify_one();
        }
        return end(AttemptResult::Unsent, "declined", reason);
    }
    if let Some(code) = fields::text(response.headers(), &fields::CODE) {
        // An unreadable code does not tell whether the request has run.
        let code = code.parse().ok().and_then(Code::from_number).unwrap_or(Code::BackendBroke);
        if code.outcome() != kernel::Outcome::NotRun {
            return end(AttemptResult::ResponseLost, "failed", code.title());
        }
        return failed_there(cx, request, entry, response, code).await;
    }
    let names = cx.protocol.names();
    match classify(response.status(), response.headers(), names, request.id.as_bytes()) {
        ResponseClass::Valid => {}
        ResponseClass::Invalid(cause) => {
            return end(AttemptResult::ResponseLost, "foreign", cause);
        }
        ResponseClass::NotRun => {
            return end(AttemptResult::NotRun, "not run", "a server refused it");
        }
    }
    cx.count_forwarded("sent", "answered");
    let (mut head, body) = response.into_parts();
    let software_version = fields::name(&head.headers, &fields::SOFTWARE_VERSION);
    if let Some(server) = fields::name(&head.headers, &fields::SERVER)
        && cx.protocol.states_leaving(&head.headers)
    {
        cx.picker.borrow_mut().record_leaving(&server);
    }
    fields::strip(&mut head.headers);
    Attempt::Answered(Box::new(ServerResponse {
        ends_with_connection: ends_with_connection(&head.headers, &body),
        head: Response::from_parts(head, ()),
        body,
        connection,
        guard: AttemptGuard::for_entry(cx, &entry.name),
        software_version: software_version.unwrap_or_default(),
        answered_at: Instant::now(),
        is_forwarded: true,
    }))
}

/// Passes on the failure with which a request ended at the other entry without having run.
async fn failed_there(
    cx: &Context,
    request: &AdmittedRequest,
    entry: &Entry,
    response: Response<Incoming>,
    code: Code,
) -> Attempt {
    cx.count_forwarded("sent", "failed");
    info!(cx.log, "request failed"; "request" => request.id_text(), "entry" => %entry.name,
        "code" => code.number(), "cause" => code.title(), "service" => %request.service,
        "left_ms" => request.remaining_ms(), "mark" => request.mark_text());
    let (mut head, body) = response.into_parts();
    fields::strip(&mut head.headers);
    match Limited::new(body, MAX_FAILURE_BYTES).collect().await {
        Ok(body) => {
            let head = Response::from_parts(head, ());
            Attempt::Failed(Box::new(forwarded_reply(head, full_body(body.to_bytes()))), code)
        }
        // The head told how the request ended.
        Err(_) => Attempt::Failed(
            Box::new(crate::reply::error_reply(&Failure::new(code, request.id_text()))),
            code,
        ),
    }
}

fn build_request(
    cx: &Context,
    request: &AdmittedRequest,
    resume: &ResumePoint,
    history: AttemptHistory,
) -> Result<ServerRequest, hyper::http::Error> {
    let mut req = Request::builder()
        .method(request.method.clone())
        .uri(Uri::from(request.target.clone()))
        .body(request.body.clone())?;
    let headers = req.headers_mut();
    *headers = request.headers.clone();
    fields::strip(headers);
    let names = cx.protocol.names();
    headers.insert(&names.request, request.id.clone());
    headers.insert(&names.deadline, HeaderValue::from(request.remaining_ms()));
    headers.insert(&fields::RULES_VERSION, HeaderValue::from(request.rules_version));
    headers.insert(&fields::RUNS, HeaderValue::from(runs_for_earlier_builds(request, history)));
    headers.insert(&fields::FORMER_RUNS, HeaderValue::from(history.runs));
    fields::set(headers, &fields::SENDER, &cx.settings.name);
    fields::set(headers, &fields::SERVICE, &request.service);
    if let Some(organisation) = &request.organisation {
        fields::set(headers, &fields::ORGANISATION, &organisation.name);
    }
    let software_version = resume.software_version.as_ref().or(request.software_version.as_ref());
    if let Some(version) = software_version {
        fields::set(headers, &fields::SOFTWARE_VERSION, version);
    }
    if let Some(id) = &resume.last_event_id {
        headers.insert(LAST_EVENT_ID, id.clone());
    }
    Ok(req)
}

/// Returns the number of runs that leaves an entry of an earlier build [`RUNS_PER_DETOUR`] of the attempts.
fn runs_for_earlier_builds(request: &AdmittedRequest, history: AttemptHistory) -> u32 {
    let route = &request.route;
    if !route.retry_policy.is_retryable() {
        return history.runs;
    }
    history.runs.max(route.max_attempts.saturating_sub(RUNS_PER_DETOUR))
}

/// Returns the time in which the other entry has to send the head of the response.
fn response_timeout(request: &AdmittedRequest, history: AttemptHistory) -> Duration {
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    if !request.route.retry_policy.is_retryable()
        || history.runs + RUNS_PER_DETOUR >= request.route.max_attempts
    {
        return remaining;
    }
    (TIMEOUT_FACTOR * Duration::from_millis(request.route.target_latency_ms)).min(remaining)
}
