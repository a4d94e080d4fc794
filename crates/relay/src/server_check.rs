//! Finds out whether a server has crashed after a connection to it broke.

use crate::context::Context;
use crate::pool::{Reachability, probe};
use crate::quarantine;
use coord::ServerRun;
use kernel::boot_ms;
use kernel::prelude::*;
use pick::Server;
use std::net::SocketAddr;
use std::rc::Rc;

/// Checks in the background whether a server has crashed, unless such a check is under way.
///
/// All requests at a server that ends break at the same time, so that one check answers for all.
pub(crate) fn check_server(cx: &Rc<Context>, server: &Name, address: SocketAddr) {
    if !cx.servers_checked.borrow_mut().insert(server.clone()) {
        return;
    }
    let (cx, server) = (cx.clone(), server.clone());
    let broke_at = boot_ms();
    tokio::task::spawn_local(async move {
        let reachability = probe(address).await;
        cx.servers_checked.borrow_mut().remove(&server);
        let started_unix_ms =
            cx.picker.borrow().get(&server).map(|known| known.info.started_unix_ms);
        // A server that leaves ends because it was told to.
        let leaving = cx.picker.borrow().get(&server).is_none_or(Server::is_leaving);
        info!(cx.log, "server checked"; "server" => %server, "leaving" => leaving,
            "ended" => reachability == Reachability::Refused, "result" => ?reachability);
        if let Some(started_unix_ms) = started_unix_ms
            && reachability == Reachability::Refused
            && !leaving
        {
            quarantine::record_crash(&cx, ServerRun { server, started_unix_ms }, broke_at);
        } else if reachability != Reachability::Listening {
            cx.quarantine.borrow_mut().discard_answers(&server);
        }
    });
}
