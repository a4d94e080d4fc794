//! Takes in what a server states about itself in the head of a response.

use crate::context::Context;
use crate::dispatch::AdmittedRequest;
use crate::limits::record_stated_limit;
use hyper::Response;
use hyper::body::Incoming;
use kernel::prelude::*;

/// Records what a server states in its response to a request sent at `sent_at` on the boot clock.
pub(crate) fn record(
    cx: &Context,
    request: &AdmittedRequest,
    server: &Name,
    response: &Response<Incoming>,
    sent_at: Millis,
) {
    record_stated_limit(cx, request, server, response, sent_at);
    record_leaving(cx, request, server, response);
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
