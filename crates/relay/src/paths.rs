//! What this entry and the others reach of the backend servers.

use crate::context::Context;
use crate::path_probe;
use coord::{Path, ServerPaths};
use kernel::boot_ms;
use kernel::prelude::*;
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::time::Instant;

/// Age up to which other entries are told when this one reached a server, in milliseconds.
const NEWS_MS: Millis = 2_000;
/// Time since this entry reached a server after which it finds out anew for another entry, in milliseconds.
const RECENT_MS: Millis = 150;
/// Time after which what the other entries reach must be known here.
const MAX_DOUBT: Duration = Duration::from_millis(600);
/// Interval at which it is checked whether a doubt is settled.
const DOUBT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Silence of all servers of a service after which it is found out whether they are reached.
const MAX_SILENCE: Duration = Duration::from_millis(400);

/// Returns the service of a server that this entry knows.
pub(crate) fn service_of(cx: &Context, server: &Name) -> Option<Name> {
    cx.picker.borrow().get(server).map(|known| known.info.service.clone())
}

/// Records that a server of the service answered.
pub(crate) fn record_answer(cx: &Context, service: &Name) {
    cx.server_paths.borrow_mut().record_answer(service, boot_ms());
}

/// Records that a server of the service accepted a connection.
pub(crate) fn record_connected(cx: &Context, service: &Name, server: &Name) {
    change(cx, service, |paths| paths.record_connected(service, server, boot_ms()));
}

/// Forgets a server that is gone.
pub(crate) fn remove_server(cx: &Context, service: &Name, server: &Name) {
    change(cx, service, |paths| paths.remove_server(service, server));
}

/// Changes what is known of the path to a service, and tells who waits when connections to it no longer fail.
fn change(cx: &Context, service: &Name, change: impl FnOnce(&mut ServerPaths)) {
    let mut paths = cx.server_paths.borrow_mut();
    let was_failing = paths.is_failing(service);
    change(&mut paths);
    if was_failing && !paths.is_failing(service) {
        cx.paths_changed.send_modify(|count| *count += 1);
    }
}

/// Records that a server was found to have ended.
pub(crate) fn record_ended(cx: &Context, server: &Name) {
    if let Some(service) = service_of(cx, server) {
        change(cx, &service, |paths| paths.record_ended(&service, server));
        update(cx, &service);
    }
}

/// Records that no connection to a server could be made, which was tried from `began` on.
pub(crate) fn record_unreachable(cx: &Rc<Context>, server: &Name, began: Millis) {
    if let Some(service) = service_of(cx, server) {
        cx.server_paths.borrow_mut().record_unreachable(&service, server, began);
        if cx.server_paths.borrow().is_failing(&service) {
            path_probe::start(cx, &service);
        }
    }
}

/// Records that a probe, which began at `began`, could not connect to a server.
pub(crate) fn record_failed_probe(cx: &Rc<Context>, server: &Name, began: Millis) {
    cx.picker.borrow_mut().record_unreachable(server, boot_ms());
    record_unreachable(cx, server, began);
}

/// Returns the number of servers of a service that stay and were not found to have ended.
pub(crate) fn servers_up(cx: &Context, service: &Name) -> usize {
    let (picker, paths) = (cx.picker.borrow(), cx.server_paths.borrow());
    picker.staying(service).filter(|server| !paths.has_ended(service, &server.info.id)).count()
}

/// Decides the path to the servers of a service by what is known now, and logs a change.
pub(crate) fn update(cx: &Context, service: &Name) -> Path {
    if !cx.server_paths.borrow().is_in_doubt(service) {
        return Path::Direct;
    }
    let now = boot_ms();
    let servers = servers_up(cx, service);
    let others = others_reached_at(cx, service);
    let change = cx.server_paths.borrow_mut().update(service, servers, others, now);
    if let Some(change) = change {
        info!(cx.log, "path to servers"; "service" => %service, "path" => ?change.path,
            "servers" => servers, "failed" => change.failed, "failing_ms" => change.failing_ms,
            "reached_ms" => change.reached_ms,
            "others_ms" => others.map(|at| now.saturating_sub(at)));
    }
    let path = cx.server_paths.borrow().path(service);
    if change.is_some() {
        if path == Path::Direct {
            cx.picker.borrow_mut().forgive(service);
        }
        cx.paths_changed.send_modify(|count| *count += 1);
    }
    path
}

/// Waits until this entry finds that it does not reach the servers of a service.
pub(crate) async fn wait_until_cut(cx: &Context, service: &Name) {
    let mut changed = cx.paths_changed.subscribe();
    // The sender lives as long as the context.
    while changed.changed().await.is_ok() && cx.server_paths.borrow().path(service) == Path::Direct
    {
    }
}

/// Returns how many of these servers accepted no connection while none has succeeded since.
pub(crate) fn failed_among(cx: &Context, service: &Name, servers: &[Name]) -> usize {
    let paths = cx.server_paths.borrow();
    servers.iter().filter(|server| paths.has_failed(service, server)).count()
}

/// Waits until it is known whether this entry reaches the servers of a service, to which connections fail, or until
/// `deadline`. Returns at once if there is no other entry to compare with.
pub(crate) async fn settle(cx: &Context, service: &Name, deadline: Instant) {
    let undecided_since = || cx.server_paths.borrow().undecided_since(service);
    let Some(since) = undecided_since() else { return };
    if cx.roster.borrow().present().all(|entry| entry.name == cx.settings.name) {
        return;
    }
    let left = MAX_DOUBT.saturating_sub(Duration::from_millis(boot_ms().saturating_sub(since)));
    let mut changed = cx.paths_changed.subscribe();
    // The sender lives as long as the context.
    let settled = async { while undecided_since().is_some() && changed.changed().await.is_ok() {} };
    // A doubt that lasts longer is left as it is.
    drop(tokio::time::timeout_at(deadline.min(Instant::now() + left), settled).await);
}

/// Returns whether connections to servers of a service that broke at `broke_at` turn out to be those of this entry's
/// own path: nothing is reached here, while other entries reach servers.
pub(crate) async fn is_at_fault(cx: &Rc<Context>, service: &Name, broke_at: Millis) -> bool {
    let until = Instant::now() + MAX_DOUBT;
    let settle_ms = cx.server_paths.borrow().settle_ms();
    // What is reached must be later than that by a millisecond.
    tokio::time::sleep(Duration::from_millis(settle_ms + 1)).await;
    if !cx.server_paths.borrow().is_whole_after(service, broke_at) {
        path_probe::start(cx, service);
    }
    loop {
        if cx.server_paths.borrow().is_whole_after(service, broke_at) {
            return false;
        }
        if cx.roster.borrow().present().all(|entry| entry.name == cx.settings.name) {
            return false;
        }
        if Instant::now() >= until {
            return others_reached_at(cx, service).is_some_and(|at| at > broke_at);
        }
        tokio::time::sleep(DOUBT_CHECK_INTERVAL).await;
    }
}

/// Finds out whether servers are reached from here that another entry does not reach, so that it can be told.
pub(crate) fn check_for_peer(cx: &Rc<Context>, cut: &BTreeSet<Name>) {
    for service in cut {
        let reached_at = cx.server_paths.borrow().reached_at(service);
        if reached_at.is_none_or(|at| boot_ms().saturating_sub(at) > RECENT_MS) {
            path_probe::start(cx, service);
        }
    }
}

/// Finds out whether servers of a service are reached, if none answers for [`MAX_SILENCE`].
pub(crate) async fn probe_if_silent(cx: &Rc<Context>, service: &Name) -> Infallible {
    let began = boot_ms();
    tokio::time::sleep(MAX_SILENCE).await;
    let reached_at = cx.server_paths.borrow().reached_at(service);
    if reached_at.is_none_or(|at| at <= began) {
        path_probe::start(cx, service);
    }
    std::future::pending().await
}

/// Decides the paths that are in doubt.
pub(crate) fn update_all(cx: &Context) {
    let services: Vec<Name> = cx.server_paths.borrow().in_doubt().cloned().collect();
    for service in services {
        update(cx, &service);
    }
}

/// Returns the last time at which another entry reached a server of a service, as far as it has told.
fn others_reached_at(cx: &Context, service: &Name) -> Option<Millis> {
    let peers = cx.peer_status.borrow();
    peers.values().filter_map(|status| status.reached_at.get(service)).max().copied()
}

/// Returns the time since this entry last reached a server, by service, for the other entries.
pub(crate) fn news(cx: &Context, now: Millis) -> BTreeMap<Name, Millis> {
    let paths = cx.server_paths.borrow();
    let ages = paths.reached().map(|(service, at)| (service.clone(), now.saturating_sub(at)));
    ages.filter(|(_, age)| *age < NEWS_MS).collect()
}
