//! Finds out whether a server has ended after a connection to it broke.

use crate::context::Context;
use crate::pool::{Reachability, probe};
use kernel::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;

/// Checks in the background whether a server has ended, unless such a check is under way.
///
/// All requests at a server that ends break at the same time, so that one check answers for all.
pub(crate) fn check_server(cx: &Rc<Context>, server: &Name, address: SocketAddr) {
    if !cx.servers_checked.borrow_mut().insert(server.clone()) {
        return;
    }
    let (cx, server) = (cx.clone(), server.clone());
    tokio::task::spawn_local(async move {
        let reachability = probe(address).await;
        cx.servers_checked.borrow_mut().remove(&server);
        let leaving = cx.picker.borrow().get(&server).is_none_or(|server| server.info.leaving);
        info!(cx.log, "server checked"; "server" => %server, "leaving" => leaving,
            "ended" => reachability == Reachability::Refused, "result" => ?reachability);
    });
}
