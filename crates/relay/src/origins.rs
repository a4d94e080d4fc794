//! Finds the software version that began a stream which its caller resumes, perhaps at another entry.

use crate::context::Context;
use crate::message::Message;
use crate::origin_store;
use crate::peers::sample_live_peers;
use crate::request::AdmittedRequest;
use crate::version_check::{self, Checked};
use coord::{Entry, MIXED_VERSIONS_MS};
use kernel::boot_ms;
use kernel::prelude::*;
use rules::RetryPolicy;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Time to wait for the replies of peers.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);
/// Time to wait until peers have read from the store which versions serve.
const CHECK_REPLY_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of peers that are asked to do so.
const CHECKING_PEERS: usize = 3;

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

/// The version that began a stream, and how it became known.
#[derive(Clone, Debug)]
pub(crate) struct Origin {
    pub(crate) software_version: Name,
    /// Source of the knowledge, for the log.
    pub(crate) known_by: &'static str,
}

/// Returns the version that began the stream of a caller's earlier request; `None` if it cannot be found
/// out.
pub(crate) async fn find(
    cx: &Rc<Context>,
    service: &Name,
    resumes: Option<&str>,
) -> Option<Origin> {
    let origin = |known_by| move |software_version| Origin { software_version, known_by };
    let own = || resumes.and_then(|resumes| cx.origins.borrow().get(resumes).cloned());
    if let Some(version) = own() {
        return Some(origin("own record")(version));
    }
    if let Some(resumes) = resumes
        && let Some(version) = query_origin(cx, resumes).await
    {
        return Some(origin("record of a peer")(version));
    }
    if let Some(version) = find_sole_version(cx, service).await {
        return Some(origin("only version")(version));
    }
    resumes?;
    origin_store::load(cx).await;
    own().map(origin("record in the store"))
}

/// Asks the entries that may keep it for the version that began a stream.
async fn query_origin(cx: &Rc<Context>, resumes: &str) -> Option<Name> {
    let asked: Vec<Entry> = {
        let (queried, roster) = (cx.origins.borrow().queried(resumes), cx.roster.borrow());
        queried.iter().filter_map(|name| roster.get(name).cloned()).collect()
    };
    let message = |number| Message::StreamQuery { number, request: Name::from(resumes) };
    query(cx, &asked, message, REPLY_TIMEOUT).await
}

/// Returns the version that this entry takes for the only one of a service, if the store confirms that to it
/// or to a peer.
async fn find_sole_version(cx: &Rc<Context>, service: &Name) -> Option<Name> {
    let believed = sole_version(cx, service)?;
    match version_check::check(cx, service, &believed).await {
        Checked::Sole => return Some(believed),
        Checked::Mixed => return None,
        Checked::Unknown => {}
    }
    let asked = sample_live_peers(cx, boot_ms(), CHECKING_PEERS);
    let message = |number| Message::SoleVersionQuery { number, service: service.clone() };
    let told = query(cx, &asked, message, CHECK_REPLY_TIMEOUT).await;
    told.filter(|version| *version == believed)
}

/// Replies to the query of an entry that the store does not answer.
pub(crate) fn reply_with_sole_version(
    cx: &Rc<Context>,
    to: SocketAddr,
    number: u64,
    service: Name,
) {
    let cx = cx.clone();
    tokio::task::spawn_local(async move {
        let believed = sole_version(&cx, &service);
        let software_version = match believed {
            Some(version) => {
                let checked = version_check::check(&cx, &service, &version).await;
                (checked == Checked::Sole).then_some(version)
            }
            None => None,
        };
        cx.peers().reply(&cx, to, Message::StreamOrigin { number, software_version });
    });
}

/// Asks entries for a version and waits until one of them tells it, or all have replied.
async fn query(
    cx: &Rc<Context>,
    asked: &[Entry],
    message: impl FnOnce(u64) -> Message,
    timeout: Duration,
) -> Option<Name> {
    let peers = cx.peers();
    let number = peers.next_number();
    let query = Rc::new(PendingQuery::default());
    cx.origin_queries.borrow_mut().insert(number, query.clone());
    peers.send_to_all(cx, asked.iter(), message(number));
    let replied = async {
        while query.software_version.borrow().is_none() && query.replies.get() < asked.len() {
            query.updated.notified().await;
        }
    };
    if tokio::time::timeout(timeout, replied).await.is_err() {
        debug!(cx.log, "version of a stream not known in time"; "asked" => asked.len(),
            "replies" => query.replies.get());
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

/// Returns the version of a service if no other one can have begun a stream that is still open, as far as this
/// entry has seen. Its copy of the servers may be out of date.
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
    let store = &cx.origin_store;
    let has_run_long = now_unix.saturating_sub(cx.incarnation) >= MIXED_VERSIONS_MS;
    let has_seen_enough = (has_run_long && !store.is_in_doubt(service, now_unix))
        || (cx.restore.get().is_none()
            && store.sole_version(service, now_unix).as_ref() == Some(sole));
    has_seen_enough.then(|| sole.clone())
}
