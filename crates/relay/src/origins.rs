//! Finds the software version that began a stream which its caller resumes, perhaps at another entry.

use crate::context::Context;
use crate::message::Message;
use crate::request::AdmittedRequest;
use kernel::boot_ms;
use kernel::prelude::*;
use rules::RetryPolicy;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Time to wait for the replies of peers.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);
/// Time after a change of the versions of a service for which a stream may still be of an earlier one, in
/// milliseconds.
const MIXED_VERSIONS_MS: Millis = 30_000;

/// Software versions of the servers of a service, as far as this entry has seen them.
#[derive(Clone, Debug)]
pub(crate) struct ServedVersions {
    /// The version, if all servers have the same one.
    sole: Option<Name>,
    /// Time of the last change on the boot clock; `None` if there was none since this entry started.
    changed_at: Option<Millis>,
}

/// A query for the version of a stream that waits for replies.
#[derive(Default)]
pub(crate) struct PendingQuery {
    software_version: RefCell<Option<Name>>,
    replies: Cell<usize>,
    updated: Notify,
}

/// Records that a caller gets the first event of its stream from a server of this version, and tells
/// the entries that keep it.
pub(crate) fn record_began(cx: &Context, request: &AdmittedRequest, software_version: &Name) {
    let is_resumable = request.route.retry_policy == RetryPolicy::Stream { resumable: true };
    if !is_resumable || request.software_version.is_some() {
        return;
    }
    let id = Name::from(request.id_text());
    cx.origins.borrow_mut().record(&id, software_version, boot_ms());
    let holders = cx.origins.borrow().holders(&id);
    let roster = cx.roster.borrow();
    for entry in holders.iter().filter_map(|name| roster.get(name)) {
        let message = Message::StreamBegan {
            request: id.clone(),
            software_version: software_version.clone(),
        };
        cx.peers().send(cx, entry, message);
    }
}

/// Returns the version that began the stream of a caller's earlier request; `None` if it cannot be found
/// out.
pub(crate) async fn find(cx: &Rc<Context>, service: &Name, resumes: Option<&str>) -> Option<Name> {
    let known = resumes.and_then(|resumes| cx.origins.borrow().get(resumes).cloned());
    if known.is_some() {
        return known;
    }
    if let Some(sole) = sole_version(cx, service) {
        return Some(sole);
    }
    query_peers(cx, resumes?).await
}

async fn query_peers(cx: &Rc<Context>, resumes: &str) -> Option<Name> {
    let queried = cx.origins.borrow().queried(resumes);
    let peers = cx.peers();
    let number = peers.next_number();
    let query = Rc::new(PendingQuery::default());
    cx.origin_queries.borrow_mut().insert(number, query.clone());
    {
        let roster = cx.roster.borrow();
        for entry in queried.iter().filter_map(|name| roster.get(name)) {
            peers.send(cx, entry, Message::StreamQuery { number, request: Name::from(resumes) });
        }
    }
    let replied = async {
        while query.software_version.borrow().is_none() && query.replies.get() < queried.len() {
            query.updated.notified().await;
        }
    };
    if tokio::time::timeout(REPLY_TIMEOUT, replied).await.is_err() {
        debug!(cx.log, "version of a stream not known in time"; "resumes" => resumes.to_owned(),
            "asked" => queried.len(), "replies" => query.replies.get());
    }
    cx.origin_queries.borrow_mut().remove(&number);
    query.software_version.take()
}

/// Records the reply of a peer to a query.
pub(crate) fn record_reply(cx: &Context, number: u64, software_version: Option<Name>) {
    if let Some(query) = cx.origin_queries.borrow().get(&number) {
        query.replies.set(query.replies.get() + 1);
        if software_version.is_some() {
            query.software_version.replace(software_version);
        }
        query.updated.notify_one();
    }
}

/// Notes the versions that serve a service; to be called after each change of its servers.
pub(crate) fn observe_versions(cx: &Context, service: &Name) {
    let sole = cx.picker.borrow().sole_software_version(service).cloned();
    let mut services = cx.served_versions.borrow_mut();
    match services.get_mut(service) {
        Some(served) if served.sole == sole => {}
        Some(served) => *served = ServedVersions { sole, changed_at: Some(boot_ms()) },
        None => drop(services.insert(service.clone(), ServedVersions { sole, changed_at: None })),
    }
}

/// Returns the version of a service if no other one can have begun a stream that is still open.
fn sole_version(cx: &Context, service: &Name) -> Option<Name> {
    let services = cx.served_versions.borrow();
    let ServedVersions { sole, changed_at } = services.get(service)?;
    let is_recent = |at: &Millis| boot_ms().saturating_sub(*at) < MIXED_VERSIONS_MS;
    if changed_at.as_ref().is_some_and(is_recent) {
        return None;
    }
    // An entry that has just started did not see earlier servers. A new version starts new ones.
    let now_unix = Clock::unix_ms();
    let has_just_started = |started: u64| now_unix.saturating_sub(started) < MIXED_VERSIONS_MS;
    let is_unsure = has_just_started(cx.incarnation)
        && cx.picker.borrow().servers().any(|server| {
            server.info.service == *service && has_just_started(server.info.started_unix_ms)
        });
    sole.clone().filter(|_| !is_unsure)
}
