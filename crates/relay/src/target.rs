//! Where a request is sent next: to a server, or to an entry that reaches servers.

use crate::attempt::{AttemptHistory, AttemptResult};
use crate::context::Context;
use crate::dispatch::{Attempt, ResumePoint, choose_server, try_server};
use crate::forward::{choose_entry, try_entry};
use crate::paths;
use crate::request::AdmittedRequest;
use coord::{Entry, Path};
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use kernel::boot_ms;
use kernel::prelude::*;
use pick::{Choice, Outcome};
use std::rc::Rc;

/// Where a request is sent next.
pub(crate) enum Target {
    /// A backend server.
    Server(Choice),
    /// Another entry, which sends it to a server.
    Entry(Entry),
}

impl Target {
    /// Returns the name of the server or entry.
    pub(crate) fn name(&self) -> &Name {
        match self {
            Self::Server(choice) => &choice.id,
            Self::Entry(entry) => &entry.name,
        }
    }

    /// Records that a request was sent here, so that it goes elsewhere next. Another entry knows several servers, and is
    /// of no use only if it did not take the request over.
    pub(crate) fn record_tried(&self, tried: &mut Vec<Name>, attempt: &Attempt) {
        let has_taken_over = matches!(
            attempt,
            Attempt::Answered(_) | Attempt::NoResponse(AttemptResult::ResponseLost)
        );
        if matches!(self, Self::Server(_)) || !has_taken_over {
            tried.push(self.name().clone());
        }
    }
}

/// Media type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// Number of servers to which a request could not be connected, after which it is found out first whether any is
/// reached.
const MAX_FAILED_CONNECTIONS: usize = 3;

/// Chooses like [`choose_target`], but not before it is known whether servers are reached if the request could not be
/// connected to some: a detour may be about to open.
pub(crate) async fn find_target(
    cx: &Context,
    request: &AdmittedRequest,
    tried: &[Name],
    software_version: Option<&Name>,
) -> Option<Target> {
    let target = || choose_target(cx, request, tried, software_version);
    let failed = paths::failed_among(cx, &request.service, tried);
    if failed < MAX_FAILED_CONNECTIONS
        && let Some(target) = target()
    {
        return Some(target);
    }
    if failed > 0 && request.sender.is_none() {
        paths::settle(cx, &request.service, request.deadline).await;
    }
    target()
}

/// Chooses where to send a request that was not sent to any of `tried` yet.
///
/// A request that another entry passed on goes to a server in any case, so that it makes one detour only.
pub(crate) fn choose_target(
    cx: &Context,
    request: &AdmittedRequest,
    tried: &[Name],
    software_version: Option<&Name>,
) -> Option<Target> {
    let server = || choose_server(cx, request, tried, software_version).map(Target::Server);
    if request.sender.is_some() {
        return server();
    }
    let service = &request.service;
    paths::update(cx, service);
    let path = cx.server_paths.borrow().path_of_request(service, rand::random(), boot_ms());
    let entry = match path {
        Path::Direct => return server(),
        Path::ThroughEntries => choose_entry(cx, service, tried).map(Target::Entry),
        Path::Nowhere => None,
    };
    // Without an entry that helps, a server is tried unless it is certain that none can be reached.
    let servers = paths::servers_up(cx, service);
    let is_certain = cx.server_paths.borrow().is_certain(service, servers);
    entry.or_else(|| if is_certain { None } else { server() })
}

/// Sends a request to its target and waits for the head of the response.
pub(crate) async fn try_target(
    cx: &Rc<Context>,
    request: &AdmittedRequest,
    target: &Target,
    resume: &ResumePoint,
    history: AttemptHistory,
) -> Attempt {
    let attempt = match target {
        Target::Server(choice) => try_server(cx, request, choice, resume, history).await,
        Target::Entry(entry) => try_entry(cx, request, entry, resume, history).await,
    };
    match attempt {
        Attempt::Answered(response) if !is_stream_if_due(request, &response.head) => {
            response.guard.outcome.set(Outcome::Failed);
            info!(cx.log, "attempt ended"; "request" => request.id_text(), "server" => %target.name(),
                "result" => "foreign", "cause" => "response to a stream is no event stream",
                "left_ms" => request.remaining_ms(), "mark" => request.mark_text());
            Attempt::NoResponse(AttemptResult::ResponseLost)
        }
        attempt => attempt,
    }
}

/// Whether a response can be forwarded to a caller that expects events, if it does. A success of another media type is a
/// page, or the text of an error, and no event is told from the next one in it.
fn is_stream_if_due(request: &AdmittedRequest, head: &Response<()>) -> bool {
    if !request.route.retry_policy.is_stream() || !head.status().is_success() {
        return true;
    }
    head.headers().get(CONTENT_TYPE).is_none_or(|media_type| {
        let essence = media_type.as_bytes().split(|byte| *byte == b';').next().unwrap_or_default();
        essence.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM)
    })
}
