//! A request that passed admission.

use bytes::Bytes;
use coord::part_mark;
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use kernel::prelude::*;
use pick::Prompt;
use rules::{Organisation, Route};
use std::cell::Cell;
use tokio::time::Instant;
use web::ClientConnection;

/// A request that passed admission.
pub(crate) struct AdmittedRequest {
    pub(crate) id: HeaderValue,
    pub(crate) method: Method,
    pub(crate) target: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Name,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) priority: u8,
    /// Version that began the stream which the request resumes; `None` for a new request.
    pub(crate) software_version: Option<Name>,
    pub(crate) started: Instant,
    pub(crate) deadline: Instant,
    /// Whether the usage of the organisation includes this request.
    pub(crate) usage_counted: Cell<bool>,
    /// Mark of all requests with the same content.
    pub(crate) mark: u64,
    /// Version of the rules by which the request was admitted.
    pub(crate) rules_version: u64,
    /// Entry that passed the request on to this one; `None` for a request of a caller.
    pub(crate) sender: Option<Name>,
    /// Number of servers that may have run the request before it came here.
    pub(crate) runs_before: u32,
    /// Connection on which the request came.
    pub(crate) client: Arc<ClientConnection>,
}

impl AdmittedRequest {
    /// Returns the time to the deadline in milliseconds.
    pub(crate) fn remaining_ms(&self) -> u64 {
        self.deadline.saturating_duration_since(Instant::now()).as_millis() as u64
    }

    /// Returns the marks of the parts of the prompt that other requests may share.
    pub(crate) fn part_marks(&self) -> impl Iterator<Item = u64> {
        self.prompt.iter().flat_map(Prompt::shared_parts).map(|part| part_mark(part.id))
    }

    /// Returns the marks of the request under which servers may crash.
    pub(crate) fn marks(&self) -> impl Iterator<Item = u64> {
        self.part_marks().chain([self.mark])
    }

    /// Returns the shared parts of the prompt for logs.
    pub(crate) fn prompt_parts(&self) -> Option<String> {
        self.prompt.as_ref().map(Prompt::shared_ids)
    }

    /// Returns the mark of the request's content for logs.
    pub(crate) fn mark_text(&self) -> String {
        format!("{:x}", self.mark)
    }

    /// Returns the request ID for logs.
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("unreadable")
    }
}
