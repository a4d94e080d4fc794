//! Internal endpoints: the directory of entries for callers, readiness, and metrics.

use crate::body::{Reply, full_body};
use crate::context::{Context, PeerStatus};
use crate::reply::empty_reply;
use crate::serve::readiness_reply;
use coord::Entry;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use kernel::boot_ms;
use kernel::prelude::*;

/// Age of its rules from which an entry is left out of the directory, in milliseconds.
const MAX_RULES_AGE_MS: Millis = 2_500;
/// Minimum number of entries returned to a caller, so that it has an alternative when one fails.
const MIN_ADDRESSES: usize = 2;
/// Time without a server after which an entry is left out of the directory, in milliseconds. Callers give
/// up their connections to entries that are not named any more.
const MIN_CUT_MS: Millis = 1_000;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Handles a request to one of the internal endpoints, none of which relays requests of callers.
pub(crate) fn handle_internal<B>(cx: &Context, req: &Request<B>) -> Reply {
    let (path, query) = (req.uri().path(), req.uri().query().unwrap_or_default());
    if cx.protocol.is_ready_path(path) {
        return readiness_reply(cx);
    }
    if path == METRICS_PATH {
        return Response::new(full_body(cx.render()));
    }
    match cx.protocol.parse_resolve(path, query) {
        Some(query) => resolve(cx, &query.data_centre),
        None => empty_reply(StatusCode::NOT_FOUND),
    }
}

fn resolve(cx: &Context, data_centre: &Name) -> Reply {
    let addresses = entry_addresses(cx, data_centre);
    if addresses.is_empty() {
        return empty_reply(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl = cx.settings.promises.directory_ttl.as_secs_f64();
    let mut reply = Response::new(full_body(cx.protocol.resolve_reply(&addresses, ttl)));
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// Returns the addresses of the entries that callers in a data centre should use.
fn entry_addresses(cx: &Context, data_centre: &Name) -> Vec<Name> {
    let (now, silence) = (boot_ms(), cx.silence_ms());
    let roster = cx.roster.borrow();
    let peers = cx.peer_status.borrow();
    let serving: Vec<&Entry> = roster
        .present()
        .filter(|entry| is_serving(cx, entry, peers.get(&entry.name), silence, now))
        .collect();
    let reaching: Vec<&Entry> = serving
        .iter()
        .copied()
        .filter(|entry| !is_cut(cx, entry, peers.get(&entry.name), now))
        .collect();
    // Entries that reach no server take detours, which the others pay for as well.
    let serving = if reaching.len() < MIN_ADDRESSES { serving } else { reaching };
    // If no entry is known to serve callers, all registered ones are returned: an entry that
    // receives no messages from its peers is better than none.
    let all: Vec<&Entry> = if serving.is_empty() { roster.present().collect() } else { serving };
    let (near, far): (Vec<&Entry>, Vec<&Entry>) =
        all.into_iter().partition(|entry| entry.data_centre == *data_centre);
    let mut far = far;
    far.sort_by_key(|entry| peers.get(&entry.name).map_or(0, |status| status.open));
    let missing = MIN_ADDRESSES.saturating_sub(near.len());
    near.into_iter().chain(far.into_iter().take(missing)).map(|entry| entry.front.clone()).collect()
}

/// Whether an entry has not reached the servers of some service for [`MIN_CUT_MS`].
fn is_cut(cx: &Context, entry: &Entry, status: Option<&PeerStatus>, now: Millis) -> bool {
    let since = if entry.name == cx.settings.name {
        cx.server_paths.borrow().cut_since()
    } else {
        status.and_then(|status| status.cut_since)
    };
    since.is_some_and(|since| now.saturating_sub(since) > MIN_CUT_MS)
}

/// Whether an entry serves callers, as far as this one knows. A peer does not that has been silent for
/// `silence` milliseconds.
fn is_serving(
    cx: &Context,
    entry: &Entry,
    status: Option<&PeerStatus>,
    silence: Millis,
    now: Millis,
) -> bool {
    if entry.name == cx.settings.name {
        let age = cx.freshness.borrow().age(now);
        return !cx.stopping.get() && age.is_some_and(|age| age < MAX_RULES_AGE_MS);
    }
    status.is_some_and(|status| {
        !status.stopping
            && now.saturating_sub(status.received_at) < silence
            && status.rules_age.is_some_and(|age| age < MAX_RULES_AGE_MS)
    })
}
