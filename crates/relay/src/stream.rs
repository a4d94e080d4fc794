//! Forwards event streams to callers and resumes them at another server when they break off.

mod moving;

use crate::attempt::{AttemptHistory, AttemptResult, NextStep, next_step};
use crate::body::{Reply, streamed_body};
use crate::context::Context;
use crate::dispatch::{Attempt, ResumePoint, ServerResponse, record_usage};
use crate::end_check;
use crate::events::EventSplitter;
use crate::headers::{LAST_EVENT_ID, forwarded_reply};
use crate::origins;
use crate::paths;
use crate::pool::release_connection;
use crate::quarantine;
use crate::request::AdmittedRequest;
use crate::retries;
use crate::server_check::check_server;
use crate::target::{Target, choose_target, find_target, try_target};
use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::header::CONTENT_LENGTH;
use kernel::prelude::*;
use pick::Outcome;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::Instant;
use web::AnswerRoom;

/// State of a stream that is forwarded to a caller.
struct StreamRelay {
    cx: Rc<Context>,
    request: Rc<AdmittedRequest>,
    response: Option<ServerResponse>,
    history: AttemptHistory,
    tried: Vec<Name>,
    events: EventSplitter,
    /// Memory for an event that is not complete.
    event_room: AnswerRoom,
    chunks: u64,
    /// Whether the present response has brought an event.
    has_event: bool,
    /// Software version of the server that wrote the first event which the caller got. The output of
    /// two versions does not fit together, so that only servers of this version can go on.
    software_version: Option<Name>,
    departures_changed: watch::Receiver<u64>,
    /// Departing server from which a move was already tried.
    departing_server: Option<Name>,
    /// Whether the present server may have stopped the run for a move, so that the end of its connection is
    /// not the end of the stream.
    may_have_stopped: bool,
    /// Whether to wait for a stalled server because the stream cannot resume elsewhere.
    ignores_stall: bool,
    /// Time from which a stall counts: when the caller could take the next event, or a response began. Bytes
    /// that complete no event are no progress.
    progress_at: Instant,
}

/// Input from the stream of a server.
enum StreamInput {
    Bytes(Bytes),
    End,
    Error(String),
    /// The server has been silent for so long that the next event is likely to be late.
    Stalled,
    /// The server will shut down soon.
    ServerDeparting,
}

/// Builds the response that forwards a stream.
pub(crate) fn reply(
    cx: Rc<Context>,
    request: Rc<AdmittedRequest>,
    response: ServerResponse,
    history: AttemptHistory,
) -> Reply {
    // The response keeps its head, which tells whether its connection can be reused.
    let mut head = response.head.clone();
    // A stream that resumes elsewhere may differ in length from what the first server stated.
    head.headers_mut().remove(CONTENT_LENGTH);
    // Another entry may send the rest of the stream to another server.
    let tried =
        if response.is_forwarded { Vec::new() } else { vec![response.guard.server.clone()] };
    let history = AttemptHistory { runs: history.runs + 1, ..history };
    let software_version = request.software_version.clone();
    let is_resumable = request.route.retry_policy.is_retryable();
    let events = EventSplitter::after(request.headers.get(LAST_EVENT_ID).filter(|_| is_resumable));
    let departures_changed = cx.departures_changed.subscribe();
    let event_room = AnswerRoom::new(request.client.clone());
    let relay = StreamRelay {
        cx,
        request,
        response: Some(response),
        history,
        tried,
        events,
        event_room,
        chunks: 0,
        has_event: false,
        software_version,
        departures_changed,
        departing_server: None,
        may_have_stopped: false,
        ignores_stall: false,
        progress_at: Instant::now(),
    };
    let chunks = stream::unfold(relay, |mut relay| async move {
        let next = relay.next_chunk().await?;
        Some((next.map(Frame::data), relay))
    });
    forwarded_reply(head, streamed_body(chunks.boxed_local()))
}

impl StreamRelay {
    /// Returns the next bytes for the caller; `None` at the end of the stream.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, Failure>> {
        self.progress_at = Instant::now();
        if !self.events.has_incomplete_event() {
            self.event_room.clear();
        }
        loop {
            match self.read_input().await {
                StreamInput::Bytes(bytes) => {
                    if let Err(cause) = self.make_room(bytes.len()).await {
                        match self.resume_elsewhere(cause).await {
                            Some(failure) => return Some(Err(failure)),
                            None => continue,
                        }
                    }
                    let complete = self.accept(&bytes);
                    if !complete.is_empty() {
                        return Some(Ok(complete));
                    }
                    if let Some(cause) = self.events.invalid()
                        && let Some(failure) = self.resume_elsewhere(cause.into()).await
                    {
                        return Some(Err(failure));
                    }
                }
                StreamInput::ServerDeparting => {
                    if let Some(failure) = self.move_stream().await {
                        return Some(Err(failure));
                    }
                }
                // A silent server may still send data, so its response is kept until another
                // server has resumed the stream.
                StreamInput::Stalled => self.ignores_stall = !self.replace_stalled_server().await,
                StreamInput::End => match self.incomplete_end().await {
                    None => {
                        self.finish();
                        return None;
                    }
                    Some(cause) => {
                        if let Some(failure) = self.resume_elsewhere(cause.into()).await {
                            return Some(Err(failure));
                        }
                    }
                },
                StreamInput::Error(cause) => {
                    if let Some(failure) = self.resume_elsewhere(cause).await {
                        return Some(Err(failure));
                    }
                }
            }
        }
    }

    /// Waits for the next input from the server.
    async fn read_input(&mut self) -> StreamInput {
        // After a failure the response was aborted and there is nothing left to read.
        let Some(response) = &mut self.response else { return StreamInput::End };
        let read_until = match stall_timeout(&self.request, self.history, self.chunks) {
            Some(stall_timeout) if !self.ignores_stall => {
                self.request.deadline.min(self.progress_at + stall_timeout)
            }
            _ => self.request.deadline,
        };
        let departure =
            wait_for_departure(&self.cx, &response.guard.server, &mut self.departures_changed);
        let move_was_tried = self.departing_server.as_ref() == Some(&response.guard.server);
        let read = tokio::select! {
            biased;
            read = tokio::time::timeout_at(read_until, response.body.frame()) => read,
            () = departure, if !move_was_tried => return StreamInput::ServerDeparting,
        };
        match read {
            Ok(Some(Ok(frame))) => StreamInput::Bytes(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(e))) => StreamInput::Error(e.to_string()),
            Ok(None) => StreamInput::End,
            Err(_) if read_until < self.request.deadline => StreamInput::Stalled,
            Err(_) => StreamInput::Error("deadline passed while waiting for data".into()),
        }
    }

    /// Waits until there is memory for further bytes from the server; returns why there is none.
    async fn make_room(&mut self, bytes: usize) -> Result<(), String> {
        let needed = EVENT_COPIES * (self.events.buffered() + bytes);
        if needed <= SMALL_EVENT_BYTES {
            return Ok(());
        }
        let room = tokio::time::timeout_at(self.request.deadline, self.event_room.grow_to(needed));
        match room.await {
            Ok(room) => room.map_err(|e| e.context),
            Err(_) => Err("deadline passed while waiting for memory".into()),
        }
    }

    /// Records bytes from the server and returns the complete events to forward.
    fn accept(&mut self, bytes: &Bytes) -> Bytes {
        if bytes.is_empty() {
            return Bytes::new();
        }
        if self.chunks == 0 {
            record_usage(&self.cx, &self.request);
        }
        let is_first = self.chunks == 0;
        self.chunks += 1;
        if self.response.as_ref().is_some_and(|response| !response.is_forwarded) {
            paths::record_answer(&self.cx, &self.request.service);
        }
        if let Some(response) = &self.response {
            response.guard.mark_prompt_read();
            response.guard.mark_progress();
        }
        let complete = self.events.push(bytes);
        if is_first {
            self.progress_at = Instant::now();
        }
        if !complete.is_empty() {
            self.ignores_stall = false;
            self.has_event = true;
        }
        if !complete.is_empty() && self.software_version.is_none() {
            let version = self.response.as_ref().map(|response| response.software_version.clone());
            if let Some(version) = &version {
                origins::record_began(&self.cx, &self.request, version);
            }
            self.software_version = version;
        }
        complete
    }

    /// Returns why the end of the response is not that of the stream; `None` if it is.
    async fn incomplete_end(&self) -> Option<&'static str> {
        if self.events.has_incomplete_event() {
            return Some("response ended within an event");
        }
        let response = self.response.as_ref()?;
        if !response.ends_with_connection {
            return None;
        }
        if self.may_have_stopped {
            Some("response ended after its run may have been stopped")
        } else if !self.has_event {
            Some("response ended before its first event")
        } else {
            end_check::doubt(&self.cx, &self.request, response).await
        }
    }

    /// Goes on with the response of another server. Nothing of the previous response is read any more.
    fn replace_response(&mut self, response: ServerResponse) -> Option<ServerResponse> {
        self.events.discard_incomplete();
        self.progress_at = Instant::now();
        self.may_have_stopped = false;
        self.has_event = false;
        self.response.replace(response)
    }

    /// Records the end of the stream and releases the connection.
    fn finish(&mut self) {
        let Some(response) = self.response.take() else { return };
        response.guard.outcome.set(Outcome::Answered);
        response.guard.mark_completed(response.head.status());
        release_connection(&self.cx, &self.request, response.connection, response.head.headers());
        debug!(self.cx.log, "stream ended"; "request" => self.request.id_text(),
            "server" => %response.guard.server, "chunks" => self.chunks,
            "runs" => self.history.runs,
            "took_ms" => self.request.started.elapsed().as_millis() as u64);
    }

    /// Chooses where to resume the stream and takes a retry from the budget.
    async fn next_target(&self) -> Option<Target> {
        let (request, cx) = (&self.request, &self.cx);
        let step = next_step(
            AttemptResult::ResponseLost,
            request.route.retry_policy,
            self.history,
            request.route.max_attempts,
            request.remaining_ms(),
        );
        if !matches!(step, NextStep::Retry { .. }) {
            return None;
        }
        let is_held = match self.tried.last() {
            Some(last) => quarantine::is_held_after(cx, request, last).await,
            None => quarantine::is_held(cx, request),
        };
        if is_held {
            return None;
        }
        let software_version = self.software_version.as_ref();
        // A stream whose silent server still holds it goes on being read instead of waiting.
        let target = if self.response.is_some() {
            choose_target(cx, request, &self.tried, software_version)
        } else {
            find_target(cx, request, &self.tried, software_version).await
        }?;
        retries::take_retry(cx, request).await.then_some(target)
    }

    /// Resumes the stream at another server in place of a silent one; returns whether it did.
    ///
    /// The connection to the silent server is kept until the other one responds.
    async fn replace_stalled_server(&mut self) -> bool {
        let Some(target) = self.next_target().await else { return false };
        let (request, cx) = (self.request.clone(), self.cx.clone());
        self.history.sends += 1;
        let resume = self.resume_point();
        let started = Instant::now();
        let attempted = tokio::time::timeout(
            REPLACEMENT_TIMEOUT,
            try_target(&cx, &request, &target, &resume, self.history),
        )
        .await
        .unwrap_or(Attempt::NoResponse(AttemptResult::ResponseLost));
        target.record_tried(&mut self.tried, &attempted);
        if !matches!(attempted, Attempt::NoResponse(AttemptResult::Unsent | AttemptResult::NotRun))
        {
            self.history.runs += 1;
        }
        let is_replaced = match attempted {
            Attempt::Answered(response) if response.head.status().is_success() => {
                if let Some(previous) = self.replace_response(*response) {
                    previous.guard.outcome.set(Outcome::Failed);
                }
                true
            }
            _ => false,
        };
        info!(cx.log, "server silent"; "request" => request.id_text(), "to" => %target.name(),
            "goes_on" => is_replaced, "chunks" => self.chunks, "runs" => self.history.runs,
            "took_ms" => started.elapsed().as_millis() as u64);
        is_replaced
    }

    /// Returns the position after the last complete event.
    fn resume_point(&self) -> ResumePoint {
        ResumePoint {
            last_event_id: self.events.last_event_id(),
            moved_from: None,
            software_version: self.software_version.clone(),
        }
    }

    /// Resumes the stream at another server after the last complete event; returns a failure if
    /// no server can.
    async fn resume_elsewhere(&mut self, cause: String) -> Option<Failure> {
        if let Some(response) = self.response.take() {
            response.guard.outcome.set(Outcome::Failed);
            info!(self.cx.log, "stream broke"; "request" => self.request.id_text(),
                "server" => %response.guard.server, "cause" => cause.clone(),
                "chunks" => self.chunks, "runs" => self.history.runs,
                "left_ms" => self.request.remaining_ms(),
                "answered_ms" => response.answered_at.elapsed().as_millis() as u64,
                "parts" => self.request.prompt_parts(), "mark" => self.request.mark_text());
            let address = response.connection.address();
            if !response.is_forwarded {
                check_server(&self.cx, &response.guard.server, address);
            }
        }
        let (request, cx) = (self.request.clone(), self.cx.clone());
        self.events.discard_incomplete();
        self.event_room.clear();
        loop {
            let Some(target) = self.next_target().await else {
                return Some(Failure::new(Code::Incomplete, cause));
            };
            self.history.sends += 1;
            let resume = self.resume_point();
            let attempt = try_target(&cx, &request, &target, &resume, self.history).await;
            target.record_tried(&mut self.tried, &attempt);
            match attempt {
                Attempt::Answered(response) if response.head.status().is_success() => {
                    self.history.runs += 1;
                    info!(cx.log, "stream goes on"; "request" => request.id_text(),
                        "server" => %target.name(), "chunks" => self.chunks);
                    drop(self.replace_response(*response));
                    return None;
                }
                Attempt::Failed(..) => {}
                Attempt::Answered(_) | Attempt::NoResponse(AttemptResult::ResponseLost) => {
                    self.history.runs += 1
                }
                Attempt::NoResponse(_) if self.tried.len() > MAX_SERVERS_TRIED => {
                    return Some(Failure::new(Code::Incomplete, cause));
                }
                Attempt::NoResponse(_) => {}
            }
        }
    }
}

/// Waits until the streams of a server have to move because it will shut down.
async fn wait_for_departure(
    cx: &Context,
    server: &Name,
    departures_changed: &mut watch::Receiver<u64>,
) {
    loop {
        departures_changed.mark_unchanged();
        let at = cx.departures.borrow().get(server).copied();
        match at {
            Some(at) => return tokio::time::sleep_until(at).await,
            // The sender lives as long as the context.
            None => drop(departures_changed.changed().await),
        }
    }
}

/// Copies of an incomplete event that are kept while its buffer grows.
const EVENT_COPIES: usize = 2;
/// Memory of an incomplete event that is part of what each request is charged, in bytes.
const SMALL_EVENT_BYTES: usize = 16 << 10;
/// Number of servers tried for a stream; after more than this, an attempt without a response ends
/// the stream.
const MAX_SERVERS_TRIED: usize = 5;
/// Fraction of the target gap between events after which a silent stream resumes elsewhere; the
/// rest of the gap is left for the other server to start.
const STALL_FRACTION: f64 = 0.6;

/// Time for another server to respond while a silent one still holds the stream: both may work on
/// the stream together for less than 400 ms.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns how long a server may be silent before the stream resumes at another one; `None` if the
/// stream may not resume elsewhere, has not received its first chunk or has no target gap.
fn stall_timeout(
    request: &AdmittedRequest,
    history: AttemptHistory,
    chunks: u64,
) -> Option<Duration> {
    let may_resume =
        request.route.retry_policy.is_retryable() && history.runs < request.route.max_attempts;
    if !may_resume || chunks == 0 || request.route.target_gap_ms == 0 {
        return None;
    }
    Some(Duration::from_millis(request.route.target_gap_ms).mul_f64(STALL_FRACTION))
}
