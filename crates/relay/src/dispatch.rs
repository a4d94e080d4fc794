//! Sends a request to backend servers until one responds.

use crate::attempt::{
    AttemptHistory, AttemptResult, NextStep, ResponseClass, classify, next_step,
    next_step_without_budget,
};
use crate::attempt_guard::AttemptGuard;
use crate::body::{Reply, full_body};
use crate::context::Context;
use crate::end_check;
use crate::entry_headers;
use crate::headers::{build_server_request, ends_with_connection, forwarded_reply};
use crate::limits::full_brittle_servers;
use crate::path_probe;
use crate::paths;
use crate::pool::{Connection, SendError, release_connection};
use crate::quarantine;
use crate::reply::error_reply;
use crate::request::AdmittedRequest;
use crate::retries;
use crate::server_check::check_server;
use crate::server_news;
use crate::stream;
use crate::target::{Target, find_target, try_target};
use coord::QuarantineCheck;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use kernel::boot_ms;
use kernel::prelude::*;
use pick::{Choice, Outcome, Requirements};
use std::rc::Rc;
use tokio::time::Instant;

/// Maximum size of a response that is read completely before it is forwarded, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum size of the body of a refusal that is read to reuse its connection, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Maximum time to read the body of a refusal, before another server is tried.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);
/// Multiple of the target latency, or of the expected latency if that is longer, after which an
/// attempt times out when a further attempt is allowed.
const TIMEOUT_FACTOR: u32 = 2;
/// Time to make a connection after which it is found out whether other servers are reached.
const SLOW_CONNECT: Duration = Duration::from_millis(60);
/// Minimum retry-after time for a request that could not be dispatched.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Response of a backend server whose body has not been read yet.
pub(crate) struct ServerResponse {
    pub(crate) head: Response<()>,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) guard: AttemptGuard,
    /// Version of the server's software.
    pub(crate) software_version: Name,
    /// Time at which the head of the response arrived.
    pub(crate) answered_at: Instant,
    /// Whether only the end of the connection ends the body.
    pub(crate) ends_with_connection: bool,
    /// Whether the response came through another entry.
    pub(crate) is_forwarded: bool,
}

/// Position from which another server resumes a stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResumePoint {
    /// ID of the last event that the caller received.
    pub(crate) last_event_id: Option<HeaderValue>,
    /// Location of the KV cache of the interrupted run.
    pub(crate) moved_from: Option<HeaderValue>,
    /// Version of the server that began the stream.
    pub(crate) software_version: Option<Name>,
}

/// Outcome of sending a request to one server.
pub(crate) enum Attempt {
    /// The server sent a valid response, with whatever status.
    Answered(Box<ServerResponse>),
    /// There is no response to forward.
    NoResponse(AttemptResult),
    /// Another entry could not send the request to a server and reports the failure for the caller.
    Failed(Box<Reply>, Code),
}

/// Sends a request to servers until one responds or no further attempt is allowed.
pub(crate) async fn dispatch(
    cx: &Rc<Context>,
    request: Rc<AdmittedRequest>,
) -> (Reply, Option<Code>) {
    let mut tried: Vec<Name> = Vec::new();
    let mut history = AttemptHistory { runs: request.runs_before, ..AttemptHistory::default() };
    loop {
        if request.remaining_ms() == 0 {
            let code = if history.runs > 0 { Code::DeadlinePassed } else { Code::Expired };
            return failure_reply(cx, &request, code, history, retry_after(cx, &request));
        }
        if let QuarantineCheck::Quarantined { retry_after_ms, .. } = quarantine::check(cx, &request)
        {
            let code = if history.runs > 0 { Code::BackendBroke } else { Code::Quarantined };
            let retry_after = RETRY_AFTER.max(Duration::from_millis(retry_after_ms));
            return failure_reply(cx, &request, code, history, retry_after);
        }
        let software_version = request.software_version.as_ref();
        let Some(target) = find_target(cx, &request, &tried, software_version).await else {
            if tried.is_empty() {
                record_demand(
                    cx,
                    &request,
                    request.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
                );
            }
            let code = if history.runs > 0 { Code::BackendBroke } else { Code::NoServer };
            return failure_reply(cx, &request, code, history, retry_after(cx, &request));
        };
        if request.remaining_ms() == 0 {
            continue;
        }
        // An entry that takes the request over counts its demand.
        if let (true, Target::Server(choice)) = (tried.is_empty(), &target) {
            record_demand(cx, &request, choice.uncached_tokens);
        }
        history.sends += 1;
        let attempt = try_target(cx, &request, &target, &ResumePoint::default(), history).await;
        target.record_tried(&mut tried, &attempt);
        let (result, reply) = match attempt {
            Attempt::Failed(reply, code) => return (*reply, Some(code)),
            Attempt::NoResponse(result) => (result, None),
            Attempt::Answered(response) => {
                let status = response.head.status();
                if request.route.retry_policy.is_stream() && status.is_success() {
                    cx.count_attempt("answered");
                    return (stream::reply(cx.clone(), request.clone(), *response, history), None);
                }
                match read_full_response(cx, &request, *response).await {
                    Some(reply) if status.is_success() => (AttemptResult::Succeeded, Some(reply)),
                    Some(reply) => (AttemptResult::Failed(status), Some(reply)),
                    None => (AttemptResult::ResponseLost, None),
                }
            }
        };
        if matches!(
            result,
            AttemptResult::ResponseLost | AttemptResult::Succeeded | AttemptResult::Failed(_)
        ) {
            history.runs += 1;
            // A stream counts as usage from its first event, or when its server reports a failure.
            if !request.route.retry_policy.is_stream() || matches!(result, AttemptResult::Failed(_))
            {
                record_usage(cx, &request);
            }
        }
        let mut step = next_step(
            result,
            request.route.retry_policy,
            history,
            request.route.max_attempts,
            request.remaining_ms(),
        );
        if step == (NextStep::Retry { uses_budget: true })
            && (quarantine::is_held_after(cx, &request, target.name()).await
                || !retries::take_retry(cx, &request).await)
        {
            step = next_step_without_budget(result, history);
        }
        match (step, reply) {
            (NextStep::Retry { .. }, _) => {}
            (NextStep::Forward, Some(reply)) => return (reply, None),
            (NextStep::Forward, None) => {
                return failure_reply(cx, &request, Code::BackendBroke, history, RETRY_AFTER);
            }
            (NextStep::Refuse(code) | NextStep::Fail(code), _) => {
                return failure_reply(cx, &request, code, history, retry_after(cx, &request));
            }
        }
    }
}

/// Adds the engine time that a request needs to the demand for its service.
fn record_demand(cx: &Context, request: &AdmittedRequest, uncached_tokens: u64) {
    let Some(prompt) = &request.prompt else { return };
    let work_ms =
        cx.picker.borrow().latency_model().engine_time_ms(uncached_tokens, prompt.answer_tokens);
    cx.demand.borrow_mut().add(&request.service, work_ms, boot_ms());
}

/// Counts a request that started to run in the usage of its organisation, at most once.
pub(crate) fn record_usage(cx: &Context, request: &AdmittedRequest) {
    if request.usage_counted.replace(true) {
        return;
    }
    if let Some(organisation) = &request.organisation {
        cx.usage.borrow_mut().record_start(&organisation.name, Clock::unix_ms());
    }
}

/// Chooses a server that has not been tried yet, counts the request against the limit that the
/// server may have stated, and logs the choice. With `software_version`, only servers of that version
/// can go on with the stream.
pub(crate) fn choose_server(
    cx: &Context,
    request: &AdmittedRequest,
    tried: &[Name],
    software_version: Option<&Name>,
) -> Option<Choice> {
    let now = boot_ms();
    let mut exhausted = cx.server_limits.borrow_mut().exhausted(now);
    exhausted.extend(full_brittle_servers(cx, &request.service, now));
    let requirements = Requirements {
        service: &request.service,
        prompt: request.prompt.as_ref(),
        software_version,
        data_centre: &cx.settings.data_centre,
        tried,
        exhausted: &exhausted,
        random: rand::random(),
    };
    let Some(choice) = cx.picker.borrow().choose(&requirements, now) else {
        debug!(cx.log, "no server"; "request" => request.id_text(),
            "service" => %request.service, "limited" => exhausted.len(), "tried" => tried.len(),
            "software" => software_version.map(|version| version.to_string()));
        return None;
    };
    cx.server_limits.borrow_mut().record_sent(&choice.id, now);
    debug!(cx.log, "placed"; "request" => request.id_text(), "server" => %choice.id,
        "software" => %choice.software_version, "why" => ?choice.reason, "expected_ms" => choice.expected_ms, "open" => choice.open,
        "unread" => choice.uncached_tokens,
        "copy_from" => choice.copy_from.map(|address| address.to_string()),
        "candidates" => choice.candidates, "tried" => tried.len(),
        "parts" => request.prompt_parts(), "mark" => request.mark_text());
    Some(choice)
}

/// Returns the time after which a request that could not be dispatched may find a server.
fn retry_after(cx: &Context, request: &AdmittedRequest) -> Duration {
    let pause_left = cx.picker.borrow().pause_left(&request.service, boot_ms());
    RETRY_AFTER.max(Duration::from_millis(pause_left))
}

fn failure_reply(
    cx: &Context,
    request: &AdmittedRequest,
    code: Code,
    history: AttemptHistory,
    retry_after: Duration,
) -> (Reply, Option<Code>) {
    let mut failure = Failure::new(code, request.id_text());
    failure.retry_after = failure.retry_after.map(|_| retry_after);
    info!(cx.log, "request failed"; "request" => request.id_text(), "code" => code.number(),
        "cause" => code.title(), "service" => %request.service, "sends" => history.sends,
        "runs" => history.runs, "left_ms" => request.remaining_ms(),
        "mark" => request.mark_text());
    (error_reply(&failure), Some(code))
}

/// Sends a request to one server and waits for the headers of its response.
pub(crate) async fn try_server(
    cx: &Rc<Context>,
    request: &AdmittedRequest,
    choice: &Choice,
    resume: &ResumePoint,
    history: AttemptHistory,
) -> Attempt {
    let guard = AttemptGuard::start(cx, choice, request.prompt.as_ref());
    let end = |outcome, result, label: &'static str, cause: &str| {
        guard.outcome.set(outcome);
        cx.count_attempt(label);
        info!(cx.log, "attempt ended"; "request" => request.id_text(), "server" => %choice.id,
            "result" => label, "cause" => cause.to_owned(), "left_ms" => request.remaining_ms(),
            "parts" => request.prompt_parts(), "mark" => request.mark_text());
        Attempt::NoResponse(result)
    };
    // A request for which no connection can be made can still go to other servers.
    let began = boot_ms();
    let mut connection = match connect(cx, request, choice).await {
        Ok(connection) => connection,
        Err(failure) => {
            paths::record_unreachable(cx, &choice.id, began);
            return end(
                Outcome::Unreachable,
                AttemptResult::Unsent,
                "unreachable",
                &failure.context,
            );
        }
    };
    if !connection.is_reused() {
        paths::record_connected(cx, &request.service, &choice.id);
    }
    // The server may have asked for rest since it was chosen.
    if cx.picker.borrow().is_paused(&choice.id, boot_ms()) {
        cx.pool.give_back(connection);
        return end(
            Outcome::Unknown,
            AttemptResult::Unsent,
            "paused",
            "the server wants no requests",
        );
    }
    if request.remaining_ms() == 0 {
        cx.pool.give_back(connection);
        let cause = "the deadline has passed";
        return end(Outcome::Unknown, AttemptResult::Unsent, "expired", cause);
    }
    let req = match build_server_request(cx, request, choice, resume) {
        Ok(req) => req,
        Err(e) => return end(Outcome::Unknown, AttemptResult::Unsent, "unsent", &e.to_string()),
    };
    let timeout = response_timeout(request, choice, history);
    let sent_at = boot_ms();
    guard.mark_sent(request);
    let response = tokio::select! {
        response = tokio::time::timeout(timeout, connection.send(req)) => response,
        () = quarantine::wait_until_held(cx, request) => {
            return end(
                Outcome::Unknown,
                AttemptResult::ResponseLost,
                "quarantined",
                "servers crash under the request",
            );
        }
        never = paths::probe_if_silent(cx, &request.service) => match never {},
    };
    let response = match response {
        Err(_) => {
            return end(
                Outcome::Failed,
                AttemptResult::ResponseLost,
                "late",
                "no response before the timeout",
            );
        }
        Ok(Err(SendError::Unwritten(failure))) => {
            guard.mark_not_run();
            return end(Outcome::Unknown, AttemptResult::Unsent, "unsent", &failure.context);
        }
        Ok(Err(SendError::Broke(failure))) => {
            check_server(cx, &choice.id, choice.address);
            return end(Outcome::Failed, AttemptResult::ResponseLost, "broke", &failure.context);
        }
        Ok(Ok(response)) => response,
    };
    paths::record_answer(cx, &request.service);
    let names = cx.protocol.names();
    match classify(response.status(), response.headers(), names, request.id.as_bytes()) {
        ResponseClass::Invalid(cause) => {
            server_news::record_refusal(cx, request, &choice.id, &response);
            end(Outcome::Failed, AttemptResult::ResponseLost, "foreign", cause)
        }
        ResponseClass::NotRun if response.status() == hyper::StatusCode::MISDIRECTED_REQUEST => {
            guard.mark_not_run();
            end(
                Outcome::Unreachable,
                AttemptResult::NotRun,
                "misdirected",
                "another server listens at this address",
            )
        }
        ResponseClass::NotRun => {
            guard.mark_not_run();
            server_news::record(cx, request, &choice.id, &response, sent_at);
            let status = response.status();
            // The body of a refusal is short; reading it allows the connection to be reused.
            let (head, body) = response.into_parts();
            let read = Limited::new(body, MAX_REFUSAL_BYTES).collect();
            if matches!(tokio::time::timeout(REFUSAL_TIMEOUT, read).await, Ok(Ok(_))) {
                release_connection(cx, request, connection, &head.headers);
            }
            end(Outcome::Full, AttemptResult::NotRun, "not run", status.as_str())
        }
        ResponseClass::Valid => {
            guard.mark_answered();
            server_news::record(cx, request, &choice.id, &response, sent_at);
            let response = begin_answer(request, choice, response, connection, guard);
            Attempt::Answered(Box::new(response))
        }
    }
}

/// Returns a connection to a server. Gives up early if this entry finds meanwhile that it reaches none.
async fn connect(
    cx: &Rc<Context>,
    request: &AdmittedRequest,
    choice: &Choice,
) -> Result<Connection, Failure> {
    let mut connecting = std::pin::pin!(cx.pool.connection(choice.address));
    tokio::select! {
        connected = &mut connecting => return connected,
        () = tokio::time::sleep(SLOW_CONNECT) => path_probe::start(cx, &request.service),
    }
    tokio::select! {
        connected = &mut connecting => connected,
        () = paths::wait_until_cut(cx, &request.service), if request.sender.is_none() => {
            Err(Failure::new(Code::NotDispatched, "no server is reached from this entry"))
        }
    }
}

/// Returns the response of a server that began to answer a request.
fn begin_answer(
    request: &AdmittedRequest,
    choice: &Choice,
    response: Response<Incoming>,
    connection: Connection,
    guard: AttemptGuard,
) -> ServerResponse {
    let (mut head, body) = response.into_parts();
    if request.sender.is_some() {
        entry_headers::set(&mut head.headers, &entry_headers::SERVER, &choice.id);
        let version = &choice.software_version;
        entry_headers::set(&mut head.headers, &entry_headers::SOFTWARE_VERSION, version);
    }
    let head = Response::from_parts(head, ());
    ServerResponse {
        ends_with_connection: ends_with_connection(head.headers(), &body),
        head,
        body,
        connection,
        guard,
        software_version: choice.software_version.clone(),
        answered_at: Instant::now(),
        is_forwarded: false,
    }
}

/// Returns the time in which a server has to send the headers of its response.
fn response_timeout(
    request: &AdmittedRequest,
    choice: &Choice,
    history: AttemptHistory,
) -> Duration {
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    let may_try_another = request.route.retry_policy.is_retryable()
        && history.runs + 1 < request.route.max_attempts
        && choice.has_alternative;
    if !may_try_another {
        return remaining;
    }
    let target = Duration::from_millis(request.route.target_latency_ms);
    let expected = Duration::from_secs_f64(choice.expected_ms.max(0.0) / 1000.0);
    (TIMEOUT_FACTOR * target.max(expected)).min(remaining)
}

/// Reads a response completely; returns `None` if it breaks off, may not be whole or is late.
async fn read_full_response(
    cx: &Rc<Context>,
    request: &AdmittedRequest,
    mut response: ServerResponse,
) -> Option<Reply> {
    response.guard.mark_prompt_read();
    let read = request.client.collect_answer(&mut response.body, MAX_BUFFERED_RESPONSE_BYTES);
    let read = tokio::time::timeout_at(request.deadline, read).await;
    let doubt = if matches!(read, Ok(Ok(_))) {
        end_check::doubt(cx, request, &response).await
    } else {
        None
    };
    let ServerResponse { head, connection, guard, answered_at, .. } = response;
    let cause = match (read, doubt) {
        (Ok(Ok(_)), Some(cause)) => {
            check_server(cx, &guard.server, connection.address());
            cause.to_owned()
        }
        (Ok(Ok(bytes)), None) => {
            let failed = head.status().is_server_error();
            guard.outcome.set(if failed { Outcome::Failed } else { Outcome::Answered });
            cx.count_attempt(if failed { "failed" } else { "answered" });
            guard.mark_completed(head.status());
            release_connection(cx, request, connection, head.headers());
            return Some(forwarded_reply(head, full_body(bytes)));
        }
        (Ok(Err(e)), _) => {
            check_server(cx, &guard.server, connection.address());
            e.context.to_string()
        }
        (Err(_), _) => "response incomplete at the deadline".to_owned(),
    };
    guard.outcome.set(Outcome::Failed);
    cx.count_attempt("broke");
    info!(cx.log, "attempt ended"; "request" => request.id_text(), "server" => %guard.server,
        "result" => "broke", "cause" => cause, "left_ms" => request.remaining_ms(),
        "answered_ms" => answered_at.elapsed().as_millis() as u64,
        "parts" => request.prompt_parts(), "mark" => request.mark_text());
    None
}
