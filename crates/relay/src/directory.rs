//! Tells callers which entries to use, and the platform whether this one is ready.

use crate::answer::bare;
use crate::body::{Reply, whole};
use crate::context::{Context, Heard};
use crate::intake::readiness;
use coord::Entry;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use kernel::boot_ms;
use kernel::prelude::*;

/// Age of an entry's rules from which it is no longer named, in milliseconds.
const OLD_RULES_MS: Millis = 2_500;
/// Least number of entries that a caller is told, so that it has another one when one fails.
const LEAST_NAMED: usize = 2;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers a request that no caller's answer depends on.
pub(crate) fn side<B>(cx: &Context, req: &Request<B>) -> Reply {
    let (path, query) = (req.uri().path(), req.uri().query().unwrap_or_default());
    if cx.protocol.is_ready_path(path) {
        return readiness(cx);
    }
    if path == METRICS_PATH {
        return Response::new(whole(cx.render()));
    }
    match cx.protocol.parse_resolve(path, query) {
        Some(demand) => directory(cx, &demand.data_centre),
        None => bare(StatusCode::NOT_FOUND),
    }
}

fn directory(cx: &Context, data_centre: &Name) -> Reply {
    let named = named(cx, data_centre);
    if named.is_empty() {
        return bare(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl = cx.settings.promises.directory_ttl.as_secs_f64();
    let mut reply = Response::new(whole(cx.protocol.resolve_reply(&named, ttl)));
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// Returns the addresses of the entries for callers of a data centre.
fn named(cx: &Context, data_centre: &Name) -> Vec<Name> {
    let now = boot_ms();
    let roster = cx.roster.borrow();
    let heard = cx.peer_status.borrow();
    let alive: Vec<&Entry> = roster
        .present()
        .filter(|entry| is_serving(cx, entry, heard.get(&entry.name), now))
        .collect();
    // A lone entry that hears nobody is better than none.
    let all: Vec<&Entry> = if alive.is_empty() { roster.present().collect() } else { alive };
    let (near, far): (Vec<&Entry>, Vec<&Entry>) =
        all.into_iter().partition(|entry| entry.data_centre == *data_centre);
    let mut far = far;
    far.sort_by_key(|entry| heard.get(&entry.name).map_or(0, |heard| heard.open));
    let missing = LEAST_NAMED.saturating_sub(near.len());
    near.into_iter().chain(far.into_iter().take(missing)).map(|entry| entry.front.clone()).collect()
}

fn is_serving(cx: &Context, entry: &Entry, heard: Option<&Heard>, now: Millis) -> bool {
    if entry.name == cx.settings.name {
        let age = cx.freshness.borrow().age(now);
        return !cx.stopping.get() && age.is_some_and(|age| age < OLD_RULES_MS);
    }
    heard.is_some_and(|heard| {
        !heard.stopping
            && now.saturating_sub(heard.at) < cx.silence_ms()
            && heard.sight_age.is_some_and(|age| age < OLD_RULES_MS)
    })
}
