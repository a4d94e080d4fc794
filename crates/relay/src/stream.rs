//! Passes a stream of events on, and goes on at another server when it breaks off.

use crate::attempt::{Ended, Next, Trail, next};
use crate::body::{Reply, streamed};
use crate::deliver::{Attempt, Job, Sent, attempt, choose, count_usage, passed_on};
use crate::hub::Hub;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use kernel::boot_ms;
use kernel::prelude::*;
use pick::Outcome;
use std::rc::Rc;
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
}

/// What the stream of a server has brought.
enum Brought {
    Bytes(Bytes),
    End,
    Broke(String),
}

/// Builds the answer that passes a stream on.
pub(crate) fn reply(hub: Rc<Hub>, job: Rc<Job>, mut sent: Sent, trail: Trail) -> Reply {
    let mut head = std::mem::replace(&mut sent.head, Response::new(()));
    // A resumed stream may have another length than the one stated first.
    if job.route.repeat.is_repeatable() {
        head.headers_mut().remove(CONTENT_LENGTH);
    }
    let tried = vec![sent.slot.server.clone()];
    let trail = Trail { runs: trail.runs + 1, ..trail };
    let events = Splitter::default();
    let passing = Passing { hub, job, sent: Some(sent), trail, tried, events, chunks: 0 };
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
            Some(silence) => self.job.deadline.min(Instant::now() + silence),
            None => self.job.deadline,
        };
        match tokio::time::timeout_at(limit, sent.body.frame()).await {
            Ok(Some(Ok(frame))) => Brought::Bytes(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(e))) => Brought::Broke(e.to_string()),
            Ok(None) => Brought::End,
            Err(_) if limit < self.job.deadline => Brought::Broke("its server is silent".into()),
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
        if let Some(sent) = &self.sent {
            sent.slot.read();
        }
        let whole = self.events.push(bytes);
        if self.job.route.repeat.is_repeatable() { whole } else { bytes.clone() }
    }

    fn finish(&mut self) {
        let Some(sent) = self.sent.take() else { return };
        sent.slot.outcome.set(Outcome::Answered);
        self.hub.pool.keep(sent.link, sent.head.headers());
        debug!(self.hub.log, "stream ended"; "request" => self.job.name(),
            "server" => %sent.slot.server, "chunks" => self.chunks, "runs" => self.trail.runs,
            "took_ms" => self.job.began.elapsed().as_millis() as u64);
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
            let step =
                next(Ended::Broke, job.route.repeat, self.trail, job.route.attempts, job.left_ms());
            let is_allowed = matches!(step, Next::Again { .. })
                && hub.retries.borrow_mut().take(&job.service, boot_ms());
            let choice = if is_allowed { choose(&hub, &job, &self.tried) } else { None };
            let Some(choice) = choice else {
                return Some(Failure::new(Code::Incomplete, cause));
            };
            self.tried.push(choice.id.clone());
            self.trail.sends += 1;
            let resume = self.events.last_id();
            match attempt(&hub, &job, &choice, resume.as_ref(), self.trail).await {
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

/// Most servers that a stream is tried at.
const MOST_TRIED: usize = 5;
/// Part of the longest pause that is on time after which a stream goes on elsewhere; the rest is
/// for the other server to begin.
const SILENT_PAUSE: f64 = 0.6;

/// Returns how long the server of a stream may be silent when another one can go on.
fn silence(job: &Job, trail: Trail, chunks: u64) -> Option<Duration> {
    let may_go_on = job.route.repeat.is_repeatable() && trail.runs < job.route.attempts;
    if !may_go_on || chunks == 0 || job.route.pause_ms == 0 {
        return None;
    }
    Some(Duration::from_millis(job.route.pause_ms).mul_f64(SILENT_PAUSE))
}
