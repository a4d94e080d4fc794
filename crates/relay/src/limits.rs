//! Takes in the limits that servers state in their responses and that peers pass on.

use crate::context::Context;
use crate::dispatch::AdmittedRequest;
use coord::ServerLimitNews;
use hyper::Response;
use hyper::body::Incoming;
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
        if cx.picker.borrow().get(server).is_none() {
            continue;
        }
        let news = ServerLimitNews { per_s: *per_s, at: now.saturating_sub(*age) };
        if cx.server_limits.borrow_mut().record(server, news, now) {
            info!(cx.log, "server limit"; "server" => %server, "other" => %from,
                "per_s" => *per_s, "age_ms" => *age);
        }
    }
}
