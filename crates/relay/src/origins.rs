//! Finds the software version that began a stream which its caller resumes, perhaps at another entry.

use crate::context::Context;
use crate::message::Message;
use crate::origin_store;
use crate::request::AdmittedRequest;
use coord::MIXED_VERSIONS_MS;
use kernel::boot_ms;
use kernel::prelude::*;
use rules::RetryPolicy;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::Notify;

/// Time to wait for the replies of peers.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);

/// Software versions of the servers of a service, as far as this entry has seen them.
#[derive(Clone, Debug)]
pub(crate) struct ServedVersions {
    pub(crate) present: BTreeSet<Name>,
    /// Time of the last change on the boot clock; `None` if there was none since this entry started.
    changed_at: Option<Millis>,
}

impl ServedVersions {
    /// Returns the version if all servers have the same one.
    fn sole(&self) -> Option<&Name> {
        self.present.first().filter(|_| self.present.len() == 1)
    }
}

/// A query for the version of a stream that waits for replies.
#[derive(Default)]
pub(crate) struct PendingQuery {
    software_version: RefCell<Option<Name>>,
    replies: Cell<usize>,
    updated: Notify,
}

/// Records that a caller gets the first event of its stream from a server of this version, and tells
/// the entries that keep it. While several versions serve, the store keeps it as well.
pub(crate) fn record_began(cx: &Context, request: &AdmittedRequest, software_version: &Name) {
    let is_resumable = request.route.retry_policy == RetryPolicy::Stream { resumable: true };
    if !is_resumable || request.software_version.is_some() {
        return;
    }
    let id = Name::from(request.id_text());
    cx.origins.borrow_mut().record_begun(&id, software_version, boot_ms());
    if sole_version(cx, &request.service).is_none() {
        origin_store::record(cx, software_version, vec![id.clone()]);
    }
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
    let resumes = resumes?;
    let known = query_peers(cx, resumes).await;
    if known.is_some() {
        return known;
    }
    origin_store::load(cx).await;
    cx.origins.borrow().get(resumes).cloned()
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
    let present = cx.picker.borrow().software_versions(service);
    let only_before = sole_version(cx, service);
    {
        let mut services = cx.served_versions.borrow_mut();
        match services.get_mut(service) {
            Some(served) if served.present == present => return,
            Some(served) => {
                *served = ServedVersions { present, changed_at: Some(boot_ms()) };
            }
            None => {
                services.insert(service.clone(), ServedVersions { present, changed_at: None });
            }
        }
    }
    // What began at the only version had not been worth a record until now.
    if let Some(version) = only_before {
        let begun = cx.origins.borrow().begun_here(&version, MIXED_VERSIONS_MS, boot_ms());
        origin_store::record(cx, &version, begun);
    }
}

/// Returns the version of a service if no other one can have begun a stream that is still open.
fn sole_version(cx: &Context, service: &Name) -> Option<Name> {
    let services = cx.served_versions.borrow();
    let served = services.get(service)?;
    let sole = served.sole()?;
    let is_recent = |at: Millis| boot_ms().saturating_sub(at) < MIXED_VERSIONS_MS;
    if served.changed_at.is_some_and(is_recent) {
        return None;
    }
    // An entry that has just started did not see which servers left before. A store that was restored
    // from an older copy may lack what its history told.
    let now_unix = Clock::unix_ms();
    let has_seen_enough = cx.settings.first_start
        || now_unix.saturating_sub(cx.incarnation) >= MIXED_VERSIONS_MS
        || (cx.restore.get().is_none()
            && cx.origin_store.sole_version(service, now_unix).as_ref() == Some(sole));
    has_seen_enough.then(|| sole.clone())
}
