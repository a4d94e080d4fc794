//! Keeps requests under which servers crash away from servers.

use crate::context::Context;
use crate::peers;
use crate::request::AdmittedRequest;
use crate::server_check::wait_for_check;
use coord::{QuarantineChange, QuarantineCheck, QuarantineNews, ServerRun, is_request_mark};
use kernel::boot_ms;
use kernel::prelude::*;
use std::rc::Rc;

/// Decides whether a request may be sent to a server, as far as its marks tell.
pub(crate) fn check(cx: &Context, request: &AdmittedRequest) -> QuarantineCheck {
    let checked = cx.quarantine.borrow_mut().check(request.marks(), boot_ms());
    if let QuarantineCheck::Quarantined { mark, retry_after_ms } = checked {
        debug!(cx.log, "in quarantine"; "request" => request.id_text(), "kind" => kind(mark),
            "mark" => format!("{mark:x}"), "retry_after_ms" => retry_after_ms);
    }
    checked
}

/// Returns what a mark belongs to, for logs.
fn kind(mark: u64) -> &'static str {
    if is_request_mark(mark) { "request" } else { "part" }
}

/// Whether a mark of the request is in quarantine.
pub(crate) fn is_held(cx: &Context, request: &AdmittedRequest) -> bool {
    cx.quarantine.borrow().is_held(request.marks())
}

/// Whether a mark of the request is in quarantine, now that its attempt at a server broke.
///
/// If servers crashed under the request before, waits until it is known whether this one did too.
pub(crate) async fn is_held_after(cx: &Context, request: &AdmittedRequest, server: &Name) -> bool {
    if cx.quarantine.borrow().is_suspect(request.marks()) {
        wait_for_check(cx, server).await;
    }
    is_held(cx, request)
}

/// Waits until a mark of the request is put into quarantine.
pub(crate) async fn wait_until_held(cx: &Context, request: &AdmittedRequest) {
    let mut changed = cx.quarantine_changed.subscribe();
    // The sender lives as long as the context.
    while changed.changed().await.is_ok() && !is_held(cx, request) {}
}

/// Records that a server crashed at this time on the boot clock, and tells the peers.
pub(crate) fn record_crash(cx: &Rc<Context>, run: ServerRun, at: Millis) {
    let suspects = cx.quarantine.borrow_mut().record_crash(run.clone(), at);
    if suspects.is_empty() {
        // A peer may have told of the crash first, so that its suspects are known but not judged yet.
        return update(cx);
    }
    let suspects: Vec<String> = suspects.iter().map(|part| format!("{part:x}")).collect();
    info!(cx.log, "server crashed"; "server" => %run.server, "suspects" => suspects.join(","));
    update(cx);
    peers::send_state(cx, false);
}

/// Takes in the evidence of a peer. What follows from it is decided with the next state message, as peers
/// tell the same evidence many times.
pub(crate) fn record_peer_news(cx: &Context, news: QuarantineNews) {
    if !news.is_empty() {
        cx.quarantine.borrow_mut().record_news(news, boot_ms());
    }
}

/// Applies new evidence and the time that has passed, and logs what changed.
pub(crate) fn update(cx: &Context) {
    let changes = cx.quarantine.borrow_mut().update(boot_ms());
    for change in &changes {
        match change {
            QuarantineChange::Held(mark, crashes) => {
                warn!(cx.log, "quarantined"; "kind" => kind(*mark), "mark" => format!("{mark:x}"),
                    "crashes" => crashes);
            }
            QuarantineChange::Released(mark) => {
                info!(cx.log, "released"; "kind" => kind(*mark), "mark" => format!("{mark:x}"));
            }
        }
    }
    if !changes.is_empty() {
        cx.quarantine_changed.send_modify(|count| *count += 1);
    }
}
