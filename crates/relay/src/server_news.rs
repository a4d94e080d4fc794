//! Takes in what a server states about itself in the head of a response.

use crate::context::Context;
use crate::limits::{record_brittle, record_stated_limit};
use crate::request::AdmittedRequest;
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};
use kernel::boot_ms;
use kernel::prelude::*;

/// Maximum time for which a server is left alone after it refused one request.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Records what a server states in its response to a request sent at `sent_at` on the boot clock.
pub(crate) fn record(
    cx: &Context,
    request: &AdmittedRequest,
    server: &Name,
    response: &Response<Incoming>,
    sent_at: Millis,
) {
    record_stated_limit(cx, request, server, response, sent_at);
    record_brittle(cx, request, server, response, sent_at);
    record_leaving(cx, request, server, response);
    record_refusal(cx, request, server, response);
}

/// Records for how long a server that refuses a request wants no further ones from this entry.
pub(crate) fn record_refusal(
    cx: &Context,
    request: &AdmittedRequest,
    server: &Name,
    response: &Response<Incoming>,
) {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let Some(value) = response.headers().get(RETRY_AFTER) else { return };
    let seconds = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    let Some(seconds) = seconds.filter(|seconds| *seconds >= 0.0) else {
        warn!(cx.log, "retry-after of a server unreadable"; "server" => %server,
            "request" => request.id_text(), "value" => format!("{value:?}"));
        return;
    };
    let pause = Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64()));
    let pause_ms = pause.as_millis() as Millis;
    let now = boot_ms();
    cx.picker.borrow_mut().record_pause(server, now + pause_ms, now);
    info!(cx.log, "server wants no requests"; "server" => %server, "request" => request.id_text(),
        "pause_ms" => pause_ms);
}

fn record_leaving(
    cx: &Context,
    request: &AdmittedRequest,
    server: &Name,
    response: &Response<Incoming>,
) {
    if cx.protocol.states_leaving(response.headers())
        && cx.picker.borrow_mut().record_leaving(server)
    {
        info!(cx.log, "server states that it leaves"; "server" => %server,
            "request" => request.id_text());
        cx.schedule_departure(server, cx.settings.promises.drain);
    }
}
