//! Passes a stream of events on, and goes on at another server when it breaks off.

use crate::attempt::{Ended, Next, Trail, next};
use crate::body::{Reply, streamed};
use crate::deliver::{Attempt, Job, Resume, Sent, attempt, choose, count_usage, passed_on};
use crate::hub::Hub;
use crate::peers;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use futures::stream;
use http_body_util::{BodyExt, Full};
use hyper::body::Frame;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use kernel::prelude::*;
use pick::{Choice, Outcome};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::Instant;

/// Splits a stream of events at their ends.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last_id: Option<Bytes>,
}

impl Splitter {
    /// Takes in bytes and returns those of the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let from = self.rest.len().saturating_sub(1);
        self.rest.extend_from_slice(bytes);
        let ends = self.rest[from..].windows(2).rposition(|pair| pair == b"\n\n");
        let Some(at) = ends else { return Bytes::new() };
        let whole = self.rest.split_to(from + at + 2).freeze();
        let mut ids =
            whole.split(|byte| *byte == b'\n').filter_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = ids.next_back() {
            self.last_id = Some(whole.slice_ref(id.trim_ascii()));
        }
        whole
    }

    /// Tells whether part of an event has arrived.
    pub fn is_partial(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Returns the identity of the last whole event.
    pub fn last_id(&self) -> Option<HeaderValue> {
        self.last_id.as_ref().and_then(|id| HeaderValue::from_bytes(id).ok())
    }

    /// Forgets the part of an event that will not be completed.
    pub fn cut(&mut self) {
        self.rest.clear();
    }
}

struct Passing {
    hub: Rc<Hub>,
    job: Rc<Job>,
    sent: Option<Sent>,
    trail: Trail,
    tried: Vec<Name>,
    events: Splitter,
    chunks: u64,
    departing: watch::Receiver<u64>,
    /// Server that the stream was to be moved from already.
    left: Option<Name>,
    /// Whether a silent server is waited for, as the stream cannot go on elsewhere.
    waits: bool,
}

/// What the stream of a server has brought.
enum Brought {
    Bytes(Bytes),
    End,
    Broke(String),
    /// Nothing came for so long that the next event would be late.
    Silence,
    /// Its server ends soon.
    Departs,
}

/// Builds the answer that passes a stream on.
pub(crate) fn reply(hub: Rc<Hub>, job: Rc<Job>, mut sent: Sent, trail: Trail) -> Reply {
    let mut head = std::mem::replace(&mut sent.head, Response::new(()));
    // A stream that goes on elsewhere may have another length than the one stated first.
    head.headers_mut().remove(CONTENT_LENGTH);
    let tried = vec![sent.slot.server.clone()];
    let trail = Trail { runs: trail.runs + 1, ..trail };
    let events = Splitter::default();
    let departing = hub.departing.subscribe();
    let passing = Passing {
        hub,
        job,
        sent: Some(sent),
        trail,
        tried,
        events,
        chunks: 0,
        departing,
        left: None,
        waits: false,
    };
    let chunks = stream::unfold(passing, |mut passing| async move {
        let next = passing.next().await?;
        Some((next.map(Frame::data), passing))
    });
    passed_on(head, streamed(chunks.boxed_local()))
}

impl Passing {
    /// Returns the next bytes for the caller; none at the end.
    async fn next(&mut self) -> Option<Result<Bytes, Failure>> {
        loop {
            match self.read().await {
                Brought::Bytes(bytes) => {
                    let whole = self.take(&bytes);
                    if !whole.is_empty() {
                        return Some(Ok(whole));
                    }
                }
                Brought::Departs => self.move_on().await,
                // A silent server may still answer: it is left only for one that goes on.
                Brought::Silence => self.waits = !self.change_server().await,
                Brought::End if !self.events.is_partial() => {
                    self.finish();
                    return None;
                }
                Brought::End => {
                    if let Some(failure) = self.go_on("it ended within an event".into()).await {
                        return Some(Err(failure));
                    }
                }
                Brought::Broke(cause) => {
                    if let Some(failure) = self.go_on(cause).await {
                        return Some(Err(failure));
                    }
                }
            }
        }
    }

    async fn read(&mut self) -> Brought {
        // After a failure the answer was cut; nothing is read any more.
        let Some(sent) = &mut self.sent else { return Brought::End };
        let limit = match silence(&self.job, self.trail, self.chunks) {
            Some(silence) if !self.waits => self.job.deadline.min(Instant::now() + silence),
            _ => self.job.deadline,
        };
        let departure = departure(&self.hub, &sent.slot.server, &mut self.departing);
        let is_moved = self.left.as_ref() == Some(&sent.slot.server);
        let read = tokio::select! {
            biased;
            read = tokio::time::timeout_at(limit, sent.body.frame()) => read,
            () = departure, if !is_moved => return Brought::Departs,
        };
        match read {
            Ok(Some(Ok(frame))) => Brought::Bytes(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(e))) => Brought::Broke(e.to_string()),
            Ok(None) => Brought::End,
            Err(_) if limit < self.job.deadline => Brought::Silence,
            Err(_) => Brought::Broke("the deadline passed".into()),
        }
    }

    /// Takes bytes in and returns what the caller gets now.
    fn take(&mut self, bytes: &Bytes) -> Bytes {
        if bytes.is_empty() {
            return Bytes::new();
        }
        if self.chunks == 0 {
            count_usage(&self.hub, &self.job);
        }
        self.chunks += 1;
        self.waits = false;
        if let Some(sent) = &self.sent {
            sent.slot.read();
        }
        self.events.push(bytes)
    }

    fn finish(&mut self) {
        let Some(sent) = self.sent.take() else { return };
        sent.slot.outcome.set(Outcome::Answered);
        self.hub.pool.keep(sent.link, sent.head.headers());
        debug!(self.hub.log, "stream ended"; "request" => self.job.name(),
            "server" => %sent.slot.server, "chunks" => self.chunks, "runs" => self.trail.runs,
            "took_ms" => self.job.began.elapsed().as_millis() as u64);
    }

    /// Chooses the server that the stream goes on at, and takes the repeat from the budget.
    async fn next_server(&self) -> Option<Choice> {
        let (job, hub) = (&self.job, &self.hub);
        let step = next(
            Ended::Broke,
            job.route.retry_policy,
            self.trail,
            job.route.max_attempts,
            job.left_ms(),
        );
        if !matches!(step, Next::Again { .. }) {
            return None;
        }
        let choice = choose(hub, job, &self.tried)?;
        peers::take_repeat(hub, &job.service).await.then_some(choice)
    }

    /// Moves the stream to a server that stays; without success it goes on where it is.
    async fn move_on(&mut self) {
        let (job, hub) = (self.job.clone(), self.hub.clone());
        let Some(from) = self.sent.as_ref().map(|sent| sent.slot.server.clone()) else { return };
        self.left = Some(from.clone());
        let can_move = hub
            .rules
            .borrow()
            .service_named(&job.service)
            .is_some_and(|service| service.supports_moves);
        let Some(after) = self.events.last_id().filter(|_| can_move) else { return };
        self.tried.push(from.clone());
        let Some(choice) = choose(&hub, &job, &self.tried) else { return };
        if !peers::take_repeat(&hub, &job.service).await {
            return;
        }
        let Some(address) = self.sent.as_ref().map(|sent| sent.link.address()) else { return };
        let moved_from = match order_move(&hub, &job, address, choice.address).await {
            Ok(moved_from) => moved_from,
            Err(cause) => {
                info!(hub.log, "stream stays"; "request" => job.name(), "server" => %from,
                    "to" => %choice.id, "cause" => cause);
                return;
            }
        };
        // The run has stopped; what its stream still holds is generated again from the copy.
        self.events.cut();
        let resume = Resume { after: Some(after), moved_from: Some(moved_from) };
        let attempted = attempt(&hub, &job, &choice, &resume, self.trail).await;
        let is_moved = match attempted {
            Attempt::Answered(sent) if sent.head.status().is_success() => {
                if let Some(old) = self.sent.replace(*sent) {
                    old.slot.outcome.set(Outcome::Answered);
                }
                true
            }
            _ => false,
        };
        info!(hub.log, "stream moved"; "request" => job.name(), "server" => %from,
            "to" => %choice.id, "moved" => is_moved, "chunks" => self.chunks);
    }

    /// Has another server go on in place of a silent one; tells whether it does.
    ///
    /// The silent server is kept until the other one answers.
    async fn change_server(&mut self) -> bool {
        let Some(choice) = self.next_server().await else { return false };
        let (job, hub) = (self.job.clone(), self.hub.clone());
        self.tried.push(choice.id.clone());
        self.trail.sends += 1;
        let resume = Resume { after: self.events.last_id(), moved_from: None };
        let began = Instant::now();
        let attempted =
            tokio::time::timeout(CHANGE_TIME, attempt(&hub, &job, &choice, &resume, self.trail))
                .await;
        if !matches!(attempted, Ok(Attempt::Ended(Ended::Unsent | Ended::NotRun))) {
            self.trail.runs += 1;
        }
        let goes_on = match attempted {
            Ok(Attempt::Answered(sent)) if sent.head.status().is_success() => {
                self.events.cut();
                if let Some(old) = self.sent.replace(*sent) {
                    old.slot.outcome.set(Outcome::Failed);
                }
                true
            }
            _ => false,
        };
        info!(hub.log, "server silent"; "request" => job.name(), "to" => %choice.id,
            "goes_on" => goes_on, "chunks" => self.chunks, "runs" => self.trail.runs,
            "took_ms" => began.elapsed().as_millis() as u64);
        goes_on
    }

    /// Goes on at another server after the last whole event; returns a failure when that cannot be.
    async fn go_on(&mut self, cause: String) -> Option<Failure> {
        if let Some(sent) = self.sent.take() {
            sent.slot.outcome.set(Outcome::Failed);
            info!(self.hub.log, "stream broke"; "request" => self.job.name(),
                "server" => %sent.slot.server, "cause" => cause.clone(), "chunks" => self.chunks,
                "runs" => self.trail.runs, "left_ms" => self.job.left_ms());
        }
        let (job, hub) = (self.job.clone(), self.hub.clone());
        self.events.cut();
        loop {
            let Some(choice) = self.next_server().await else {
                return Some(Failure::new(Code::Incomplete, cause));
            };
            self.tried.push(choice.id.clone());
            self.trail.sends += 1;
            let resume = Resume { after: self.events.last_id(), moved_from: None };
            match attempt(&hub, &job, &choice, &resume, self.trail).await {
                Attempt::Answered(sent) if sent.head.status().is_success() => {
                    self.trail.runs += 1;
                    info!(hub.log, "stream goes on"; "request" => job.name(),
                        "server" => %choice.id, "chunks" => self.chunks);
                    self.sent = Some(*sent);
                    return None;
                }
                Attempt::Answered(_) | Attempt::Ended(Ended::Broke) => self.trail.runs += 1,
                Attempt::Ended(_) if self.tried.len() > MOST_TRIED => {
                    return Some(Failure::new(Code::Incomplete, cause));
                }
                Attempt::Ended(_) => {}
            }
        }
    }
}

/// Waits until a server is about to end.
async fn departure(hub: &Hub, server: &Name, departing: &mut watch::Receiver<u64>) {
    loop {
        departing.mark_unchanged();
        let at = hub.departures.borrow().get(server).copied();
        match at {
            Some(at) => return tokio::time::sleep_until(at).await,
            // The sender lives as long as the hub.
            None => drop(departing.changed().await),
        }
    }
}

/// Time for an engine to stop a run and copy its memory.
const MOVE_TIME: Duration = Duration::from_millis(600);

/// Orders an engine to stop a run and copy its memory to another one.
async fn order_move(
    hub: &Hub,
    job: &Job,
    at: SocketAddr,
    to: SocketAddr,
) -> Result<HeaderValue, String> {
    let (target, body) = hub.dialect.move_run(job.name(), to);
    let mut req = Request::new(Full::new(Bytes::from(body)));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = Uri::from(target);
    let host = HeaderValue::from_str(&at.to_string()).map_err(|e| e.to_string())?;
    req.headers_mut().insert(HOST, host);
    req.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let call = async {
        let mut link = hub.pool.link(at).await.map_err(|failure| failure.context)?;
        let answer = link.send(req).await.map_err(|e| format!("{e:?}"))?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
        hub.pool.keep(link, &head.headers);
        if !head.status.is_success() {
            return Err(format!("{}: {}", head.status, String::from_utf8_lossy(&body)));
        }
        hub.dialect.moved_run(at, &body).ok_or_else(|| "the answer names no copy".to_owned())
    };
    tokio::time::timeout(MOVE_TIME, call).await.map_err(|_| "no answer in time".to_owned())?
}

/// Most servers that a stream is tried at.
const MOST_TRIED: usize = 5;
/// Part of the longest pause that is on time after which a stream goes on elsewhere; the rest is
/// for the other server to begin.
const SILENT_PAUSE: f64 = 0.6;

/// Time that another server gets to answer while a silent one still holds the stream: both may work
/// on it together for less than 400 ms.
const CHANGE_TIME: Duration = Duration::from_millis(300);

/// Returns how long the server of a stream may be silent when another one can go on.
fn silence(job: &Job, trail: Trail, chunks: u64) -> Option<Duration> {
    let may_go_on = job.route.retry_policy.is_retryable() && trail.runs < job.route.max_attempts;
    if !may_go_on || chunks == 0 || job.route.target_gap_ms == 0 {
        return None;
    }
    Some(Duration::from_millis(job.route.target_gap_ms).mul_f64(SILENT_PAUSE))
}
