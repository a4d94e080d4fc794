//! Sends a request to backend servers until one answers.

use crate::answer::refuse;
use crate::attempt::{Class, Ended, Next, Trail, classify, next, without_budget};
use crate::body::{Reply, whole};
use crate::hub::Hub;
use crate::peers;
use crate::pool::{Link, ServerRequest, Unsent};
use crate::stream;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use kernel::boot_ms;
use kernel::prelude::*;
use pick::{Choice, Outcome, Prompt, Requirements};
use rules::{Organisation, Route};
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Largest answer that is read whole before it is passed on, in bytes.
const WHOLE_ANSWER: usize = 4 << 20;
/// Times of its target, or of the expected time, that a server gets when there is another one.
const PATIENCE: u32 = 2;
/// Time after which a caller may come back that no server could take, in milliseconds.
const COME_BACK_MS: u64 = 250;

/// A request that was let in.
pub(crate) struct Job {
    pub(crate) id: HeaderValue,
    pub(crate) method: Method,
    pub(crate) target: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Name,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) rank: u8,
    pub(crate) began: Instant,
    pub(crate) deadline: Instant,
    /// Whether it was counted as begun.
    pub(crate) counted: Cell<bool>,
}

impl Job {
    pub(crate) fn left_ms(&self) -> u64 {
        self.deadline.saturating_duration_since(Instant::now()).as_millis() as u64
    }

    pub(crate) fn name(&self) -> &str {
        self.id.to_str().unwrap_or("unreadable")
    }
}

/// A request that is open at a server; its end is noted when this is dropped.
pub(crate) struct Slot {
    hub: Rc<Hub>,
    pub(crate) server: Name,
    unread: Cell<u64>,
    pub(crate) outcome: Cell<Outcome>,
}

impl Slot {
    fn open(hub: &Rc<Hub>, choice: &Choice, prompt: Option<&Prompt>) -> Self {
        hub.picker.borrow_mut().record_sent(&choice.id, choice.uncached_tokens, prompt);
        Self {
            hub: hub.clone(),
            server: choice.id.clone(),
            unread: Cell::new(choice.uncached_tokens),
            outcome: Cell::new(Outcome::Unknown),
        }
    }

    /// Notes that the server has read the prompt.
    pub(crate) fn read(&self) {
        self.hub.picker.borrow_mut().record_prompt_read(&self.server, self.unread.replace(0));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.read();
        self.hub.picker.borrow_mut().record_outcome(&self.server, self.outcome.get(), boot_ms());
    }
}

/// An answer whose body is still to be read.
pub(crate) struct Sent {
    pub(crate) head: Response<()>,
    pub(crate) body: Incoming,
    pub(crate) link: Link,
    pub(crate) slot: Slot,
}

/// How a stream goes on at another server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Resume {
    /// Last event that the caller has.
    pub(crate) after: Option<HeaderValue>,
    /// Where the memory of the run is.
    pub(crate) moved_from: Option<HeaderValue>,
}

/// How an attempt went.
pub(crate) enum Attempt {
    /// The server answers.
    Answered(Box<Sent>),
    /// It does not.
    Ended(Ended),
}

/// Sends a request to servers until one answers or nothing more can be done.
pub(crate) async fn deliver(hub: &Rc<Hub>, job: Rc<Job>) -> (Reply, Option<Code>) {
    let mut tried: Vec<Name> = Vec::new();
    let mut trail = Trail::default();
    loop {
        if job.left_ms() == 0 {
            let code = if trail.runs > 0 { Code::DeadlinePassed } else { Code::Expired };
            return failed(hub, &job, code, trail);
        }
        let Some(choice) = choose(hub, &job, &tried) else {
            if tried.is_empty() {
                count_demand(hub, &job, job.prompt.as_ref().map_or(0, |prompt| prompt.tokens));
            }
            let code = if trail.runs > 0 { Code::BackendBroke } else { Code::NoServer };
            return failed(hub, &job, code, trail);
        };
        if tried.is_empty() {
            count_demand(hub, &job, choice.uncached_tokens);
        }
        tried.push(choice.id.clone());
        trail.sends += 1;
        let (ended, reply) = match attempt(hub, &job, &choice, &Resume::default(), trail).await {
            Attempt::Ended(ended) => (ended, None),
            Attempt::Answered(sent) => {
                let status = sent.head.status();
                if job.route.retry_policy.is_stream() && status.is_success() {
                    hub.count_attempt("answered");
                    return (stream::reply(hub.clone(), job.clone(), *sent, trail), None);
                }
                match read_whole(hub, &job, *sent).await {
                    Some(reply) if status.is_success() => (Ended::Succeeded, Some(reply)),
                    Some(reply) => (Ended::Failed(status), Some(reply)),
                    None => (Ended::Broke, None),
                }
            }
        };
        if matches!(ended, Ended::Broke | Ended::Succeeded | Ended::Failed(_)) {
            trail.runs += 1;
            // A stream begins to run with its first event, or when its server says that it failed.
            if !job.route.retry_policy.is_stream() || matches!(ended, Ended::Failed(_)) {
                count_usage(hub, &job);
            }
        }
        let mut step =
            next(ended, job.route.retry_policy, trail, job.route.max_attempts, job.left_ms());
        if step == (Next::Again { is_repeat: true }) && !peers::take_repeat(hub, &job.service).await
        {
            step = without_budget(ended, trail);
        }
        match (step, reply) {
            (Next::Again { .. }, _) => {}
            (Next::Pass, Some(reply)) => return (reply, None),
            (Next::Pass, None) => return failed(hub, &job, Code::BackendBroke, trail),
            (Next::Refuse(code) | Next::Fail(code), _) => return failed(hub, &job, code, trail),
        }
    }
}

/// Counts the work that a request asks of an engine.
fn count_demand(hub: &Hub, job: &Job, unread: u64) {
    let Some(prompt) = &job.prompt else { return };
    let work_ms = hub.picker.borrow().latency_model().engine_time_ms(unread, prompt.answer_tokens);
    hub.demand.borrow_mut().add(&job.service, work_ms, boot_ms());
}

/// Counts a request that began to run, once.
pub(crate) fn count_usage(hub: &Hub, job: &Job) {
    if job.counted.replace(true) {
        return;
    }
    if let Some(organisation) = &job.organisation {
        hub.usage.borrow_mut().began(&organisation.name, Clock::unix_ms());
    }
}

/// Chooses a server and logs the choice.
pub(crate) fn choose(hub: &Hub, job: &Job, tried: &[Name]) -> Option<Choice> {
    let requirements = Requirements {
        service: &job.service,
        prompt: job.prompt.as_ref(),
        data_centre: &hub.settings.data_centre,
        tried,
        random: rand::random(),
    };
    let choice = hub.picker.borrow().choose(&requirements, boot_ms())?;
    debug!(hub.log, "placed"; "request" => job.name(), "server" => %choice.id,
        "why" => ?choice.reason, "expected_ms" => choice.expected_ms, "open" => choice.open,
        "unread" => choice.uncached_tokens,
        "candidates" => choice.candidates, "tried" => tried.len());
    Some(choice)
}

fn failed(hub: &Hub, job: &Job, code: Code, trail: Trail) -> (Reply, Option<Code>) {
    let mut failure = Failure::new(code, job.name());
    failure.retry_after = failure.retry_after.map(|_| Duration::from_millis(COME_BACK_MS));
    info!(hub.log, "request failed"; "request" => job.name(), "code" => code.number(),
        "cause" => code.text(), "service" => %job.service, "sends" => trail.sends,
        "runs" => trail.runs, "left_ms" => job.left_ms());
    (refuse(&failure), Some(code))
}

/// Sends a request to one server and waits for the head of its answer.
pub(crate) async fn attempt(
    hub: &Rc<Hub>,
    job: &Job,
    choice: &Choice,
    resume: &Resume,
    trail: Trail,
) -> Attempt {
    let slot = Slot::open(hub, choice, job.prompt.as_ref());
    let end = |outcome, ended, result: &'static str, cause: &str| {
        slot.outcome.set(outcome);
        hub.count_attempt(result);
        info!(hub.log, "attempt ended"; "request" => job.name(), "server" => %choice.id,
            "result" => result, "cause" => cause.to_owned(), "left_ms" => job.left_ms());
        Attempt::Ended(ended)
    };
    // A request that waits for a connection in vain has other servers to go to.
    let mut link = match hub.pool.link(choice.address).await {
        Ok(link) => link,
        Err(failure) => {
            return end(Outcome::Unreachable, Ended::Unsent, "unreachable", &failure.context);
        }
    };
    let req = match server_request(hub, job, choice, resume) {
        Ok(req) => req,
        Err(e) => return end(Outcome::Unknown, Ended::Unsent, "unsent", &e.to_string()),
    };
    let limit = patience(job, choice, trail);
    let sent = match tokio::time::timeout(limit, link.send(req)).await {
        Err(_) => return end(Outcome::Failed, Ended::Broke, "late", "no answer in time"),
        Ok(Err(Unsent::Unwritten(failure))) => {
            return end(Outcome::Unknown, Ended::Unsent, "unsent", &failure.context);
        }
        Ok(Err(Unsent::Broke(failure))) => {
            return end(Outcome::Failed, Ended::Broke, "broke", &failure.context);
        }
        Ok(Ok(sent)) => sent,
    };
    let names = hub.dialect.names();
    match classify(sent.status(), sent.headers(), names, job.id.as_bytes()) {
        Class::Foreign(cause) => end(Outcome::Failed, Ended::Broke, "foreign", cause),
        Class::NotRun if sent.status() == hyper::StatusCode::MISDIRECTED_REQUEST => {
            end(Outcome::Unreachable, Ended::NotRun, "misdirected", "another server is there")
        }
        Class::NotRun => {
            let status = sent.status();
            // The rest of the refusal is short; its connection can be used again.
            let (head, body) = sent.into_parts();
            if Limited::new(body, WHOLE_ANSWER).collect().await.is_ok() {
                hub.pool.keep(link, &head.headers);
            }
            end(Outcome::Full, Ended::NotRun, "not run", status.as_str())
        }
        Class::Own => {
            let (head, body) = sent.into_parts();
            let head = Response::from_parts(head, ());
            Attempt::Answered(Box::new(Sent { head, body, link, slot }))
        }
    }
}

/// Returns how long a server may take to begin its answer.
fn patience(job: &Job, choice: &Choice, trail: Trail) -> Duration {
    let left = job.deadline.saturating_duration_since(Instant::now());
    if !job.route.retry_policy.is_retryable() || trail.runs + 1 >= job.route.max_attempts {
        return left;
    }
    let target = Duration::from_millis(job.route.target_latency_ms);
    let expected = Duration::from_secs_f64(choice.expected_ms.max(0.0) / 1000.0);
    (PATIENCE * target.max(expected)).min(left)
}

/// Builds the request as the server gets it.
fn server_request(
    hub: &Hub,
    job: &Job,
    choice: &Choice,
    resume: &Resume,
) -> Result<ServerRequest, hyper::http::Error> {
    let names = hub.dialect.names();
    let mut req = Request::builder()
        .method(job.method.clone())
        .uri(Uri::from(job.target.clone()))
        .body(Full::new(job.body.clone()))?;
    let headers = req.headers_mut();
    *headers = job.headers.clone();
    headers.insert(&names.request, job.id.clone());
    headers.insert(&names.deadline, HeaderValue::from(job.left_ms()));
    headers.insert(&names.expected, HeaderValue::from_str(&choice.id)?);
    if job.prompt.is_some() {
        headers.insert(&names.urgency, HeaderValue::from(u16::from(urgency(job, choice))));
    }
    if let Some(organisation) = &job.organisation {
        headers.insert(&names.organisation, HeaderValue::from_str(&organisation.name)?);
    }
    if let Some(after) = &resume.after {
        headers.insert(LAST_EVENT_ID, after.clone());
    }
    if let Some(from) = &resume.moved_from {
        headers.insert(&names.moved_from, from.clone());
    }
    Ok(req)
}

/// Largest number that engines take for the rank of a request.
const LEAST_URGENT: u8 = 9;
/// Part of its target that a request is expected to take from which it goes before others of its
/// rank and above: a long prompt has no time to wait for short ones.
const TIGHT: f64 = 0.4;

/// Returns the rank of a request at its engine; 0 goes first.
fn urgency(job: &Job, choice: &Choice) -> u8 {
    let is_tight = choice.expected_ms > TIGHT * job.route.target_latency_ms as f64;
    if is_tight { 0 } else { job.rank.min(LEAST_URGENT) }
}

/// The standard field in which a stream goes on after an event.
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Reads a whole answer; none when it breaks off.
async fn read_whole(hub: &Rc<Hub>, job: &Job, sent: Sent) -> Option<Reply> {
    let Sent { head, body, link, slot } = sent;
    slot.read();
    let read = Limited::new(body, WHOLE_ANSWER).collect();
    let read = tokio::time::timeout_at(job.deadline, read).await;
    let cause = match read {
        Ok(Ok(bytes)) => {
            let failed = head.status().is_server_error();
            slot.outcome.set(if failed { Outcome::Failed } else { Outcome::Answered });
            hub.count_attempt(if failed { "failed" } else { "answered" });
            hub.pool.keep(link, head.headers());
            return Some(passed_on(head, whole(bytes.to_bytes())));
        }
        Ok(Err(e)) => e.to_string(),
        Err(_) => "no whole answer in time".to_owned(),
    };
    slot.outcome.set(Outcome::Failed);
    hub.count_attempt("broke");
    info!(hub.log, "attempt ended"; "request" => job.name(), "server" => %slot.server,
        "result" => "broke", "cause" => cause, "left_ms" => job.left_ms());
    None
}

/// Builds the answer to the caller from that of a server.
pub(crate) fn passed_on(head: Response<()>, body: crate::body::Body) -> Reply {
    let (mut parts, ()) = head.into_parts();
    strip_connection_fields(&mut parts.headers);
    let mut reply = Response::new(body);
    *reply.status_mut() = parts.status;
    *reply.headers_mut() = parts.headers;
    reply
}

/// Header fields that concern one connection only.
const CONNECTION_FIELDS: [&str; 7] = [
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// Removes the header fields that concern one connection only.
pub(crate) fn strip_connection_fields(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
    for name in CONNECTION_FIELDS {
        headers.remove(name);
    }
}
