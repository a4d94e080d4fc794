//! Finds out whether this entry reaches servers, by opening connections without requests.

use crate::context::Context;
use crate::paths;
use futures::future::join_all;
use kernel::boot_ms;
use kernel::prelude::*;
use rand::seq::IteratorRandom;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Interval between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of servers probed at once.
const PROBES_PER_ROUND: usize = 2;
/// Maximum time for a server to accept the connection of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after a connection broke in which an answer of another server shows that the path is whole.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Probes servers of a service until one accepts a connection, unless that is under way.
pub(crate) fn start(cx: &Rc<Context>, service: &Name) {
    if cx.services_probed.borrow_mut().insert(service.clone()) {
        let (cx, service) = (cx.clone(), service.clone());
        tokio::task::spawn_local(async move {
            probe_until_reached(&cx, &service).await;
            cx.services_probed.borrow_mut().remove(&service);
        });
    }
}

async fn probe_until_reached(cx: &Rc<Context>, service: &Name) {
    loop {
        // Servers that want no requests now are not probed, so that there may be none for some time.
        let targets = targets(cx, service);
        join_all(targets.iter().map(|(server, address)| probe(cx, service, server, *address)))
            .await;
        paths::update(cx, service);
        if !cx.server_paths.borrow().is_failing(service) {
            return;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Returns servers to probe, first those to which no connection has failed yet.
fn targets(cx: &Context, service: &Name) -> Vec<(Name, SocketAddr)> {
    let (picker, paths) = (cx.picker.borrow(), cx.server_paths.borrow());
    let now = boot_ms();
    let candidates = || {
        let servers = picker
            .staying(service)
            .filter(|server| !server.is_paused(now) && !paths.has_ended(service, &server.info.id));
        servers.map(|server| (server.info.id.clone(), server.info.address))
    };
    let untried = candidates().filter(|(server, _)| !paths.has_failed(service, server));
    let mut targets = untried.sample(&mut rand::rng(), PROBES_PER_ROUND);
    let missing = PROBES_PER_ROUND - targets.len();
    let failed = candidates().filter(|(server, _)| paths.has_failed(service, server));
    targets.extend(failed.sample(&mut rand::rng(), missing));
    targets
}

async fn probe(cx: &Rc<Context>, service: &Name, server: &Name, address: SocketAddr) {
    let began = boot_ms();
    match tokio::time::timeout(PROBE_TIMEOUT, cx.pool.probe(address)).await {
        Ok(Ok(())) => paths::record_connected(cx, service, server),
        Ok(Err(_)) | Err(_) => paths::record_failed_probe(cx, server, began),
    }
}

/// Probes the servers of services to which connections broke, also idle ones: an entry with little
/// traffic learns of a cut in no other way.
pub(crate) async fn watch_connections(cx: Rc<Context>) {
    loop {
        let broken = cx.pool.broken().await;
        let broke_at = boot_ms();
        tokio::time::sleep(ANSWER_TIME).await;
        let services: BTreeSet<Name> = {
            let (picker, paths) = (cx.picker.borrow(), cx.server_paths.borrow());
            let is_silent = |service: &Name| !paths.is_whole_after(service, broke_at);
            let servers = picker.servers().filter(|known| broken.contains(&known.info.address));
            servers.map(|known| known.info.service.clone()).filter(is_silent).collect()
        };
        for service in services {
            start(&cx, &service);
        }
    }
}
