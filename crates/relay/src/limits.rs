//! Takes in the limits that servers state in their responses and that peers pass on, and whether they
//! are brittle.

use crate::context::Context;
use crate::request::AdmittedRequest;
use coord::{BrittleNews, ServerLimitNews, ServerRoom};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use kernel::boot_ms;
use kernel::prelude::*;

/// Records the limit that a server states in its response to a request sent at `sent_at`.
///
/// Only a success tells that there is no limit any more: a server that refuses a request is still in
/// need.
pub(crate) fn record_stated_limit(
    cx: &Context,
    request: &AdmittedRequest,
    server: &Name,
    response: &Response<Incoming>,
    sent_at: Millis,
) {
    let now = boot_ms();
    let news = match cx.protocol.parse_server_limit(response.headers()) {
        Ok(Some(per_s)) => ServerLimitNews { per_s: Some(per_s), at: now },
        Ok(None) if response.status().is_success() => ServerLimitNews { per_s: None, at: sent_at },
        Ok(None) => return,
        Err(failure) => {
            warn!(cx.log, "server limit unreadable"; "server" => %server,
                "request" => request.id_text(), "cause" => failure.context);
            return;
        }
    };
    if cx.server_limits.borrow_mut().record(server, news, now) {
        info!(cx.log, "server limit"; "server" => %server, "request" => request.id_text(),
            "per_s" => news.per_s);
    }
}

/// Takes in the limits of servers that a peer knows of.
pub(crate) fn record_peer_limits(
    cx: &Context,
    from: &Name,
    limits: &BTreeMap<Name, (Option<f64>, Millis)>,
) {
    let now = boot_ms();
    for (server, (per_s, age)) in limits {
        // A peer may not have noticed yet that a server is gone.
        if cx.picker.borrow().get(server).is_none() || !is_valid(cx, from, server, *per_s) {
            continue;
        }
        let news = ServerLimitNews { per_s: *per_s, at: now.saturating_sub(*age) };
        if cx.server_limits.borrow_mut().record(server, news, now) {
            info!(cx.log, "server limit"; "server" => %server, "other" => %from,
                "per_s" => *per_s, "age_ms" => *age);
        }
    }
}

/// Whether a peer's figure per second for a server can be one.
fn is_valid(cx: &Context, from: &Name, server: &Name, per_s: Option<f64>) -> bool {
    let is_valid = per_s.is_none_or(|per_s| per_s.is_finite() && per_s >= 0.0);
    if !is_valid {
        warn!(cx.log, "limit of a server ignored"; "server" => %server, "other" => %from,
            "per_s" => per_s);
    }
    is_valid
}

/// Records whether a server states in its response to a request sent at `sent_at` that it is brittle, and
/// whether it has refused the request.
pub(crate) fn record_brittle(
    cx: &Context,
    request: &AdmittedRequest,
    server: &Name,
    response: &Response<Incoming>,
    sent_at: Millis,
) {
    let now = boot_ms();
    let (refusals_per_s, at) = match cx.protocol.parse_brittle(response.headers()) {
        Ok(Some(refusals_per_s)) => (Some(refusals_per_s), now),
        Ok(None) if response.status().is_success() => (None, sent_at),
        Ok(None) => return,
        Err(failure) => {
            warn!(cx.log, "brittleness of a server unreadable"; "server" => %server,
                "request" => request.id_text(), "cause" => failure.context);
            return;
        }
    };
    let news = BrittleNews { refusals_per_s, at, refused_at: None };
    let mut servers = cx.brittle_servers.borrow_mut();
    if servers.record(server, news) {
        info!(cx.log, "server brittle"; "server" => %server, "request" => request.id_text(),
            "refusals_per_s" => refusals_per_s);
    }
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        servers.record_refusal(server, now);
    }
}

/// Returns the servers of a service that are brittle and have no room.
pub(crate) fn full_brittle_servers(cx: &Context, service: &Name, now: Millis) -> Vec<Name> {
    let (picker, brittle) = (cx.picker.borrow(), cx.brittle_servers.borrow());
    let is_full = |server: &&pick::Server| {
        let (own, open) = (server.local.open, server.load().open);
        let room = ServerRoom { own, open, slots: server.info.slots };
        brittle.is_full(&server.info.id, room, now)
    };
    picker.staying(service).filter(is_full).map(|server| server.info.id.clone()).collect()
}

/// Returns what is known of brittle servers, for the other entries.
pub(crate) fn brittle_news(
    cx: &Context,
    now: Millis,
) -> BTreeMap<Name, (Option<f64>, Millis, Option<Millis>)> {
    let servers = cx.brittle_servers.borrow();
    let age = |at: Millis| now.saturating_sub(at);
    let news = servers.news().map(|(server, news)| {
        (server.clone(), (news.refusals_per_s, age(news.at), news.refused_at.map(age)))
    });
    news.collect()
}

/// Takes in what a peer knows of brittle servers.
pub(crate) fn record_peer_brittle(
    cx: &Context,
    from: &Name,
    brittle: &BTreeMap<Name, (Option<f64>, Millis, Option<Millis>)>,
) {
    let now = boot_ms();
    let time = |age: Millis| now.saturating_sub(age);
    for (server, (refusals_per_s, age, refused_age)) in brittle {
        let is_known = cx.picker.borrow().get(server).is_some();
        if !is_known || !is_valid(cx, from, server, *refusals_per_s) {
            continue;
        }
        let news = BrittleNews {
            refusals_per_s: *refusals_per_s,
            at: time(*age),
            refused_at: refused_age.map(time),
        };
        if cx.brittle_servers.borrow_mut().record(server, news) {
            info!(cx.log, "server brittle"; "server" => %server, "other" => %from,
                "refusals_per_s" => *refusals_per_s, "age_ms" => *age);
        }
    }
}
