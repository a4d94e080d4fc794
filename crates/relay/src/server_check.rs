//! Finds out whether a server has crashed after a connection to it broke.

use crate::context::Context;
use crate::paths;
use crate::pool::{Reachability, probe};
use crate::quarantine;
use coord::ServerRun;
use kernel::boot_ms;
use kernel::prelude::*;
use pick::Server;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum time for which a request that may be to blame for a crash waits for the check.
const CHECK_WAIT: Duration = Duration::from_millis(50);

/// Divisor of the drain time that gives the time for which a server without registration serves after this entry has
/// noticed its removal, which may take a while.
const UNLISTED_MARGIN: Millis = 2;

/// Checks in the background whether a server has crashed, unless such a check is under way.
///
/// All requests at a server that ends break at the same time, so that one check answers for all.
pub(crate) fn check_server(cx: &Rc<Context>, server: &Name, address: SocketAddr) {
    if !cx.servers_checked.borrow_mut().insert(server.clone()) {
        return;
    }
    cx.quarantine.borrow_mut().begin_check(server);
    let broke_at = boot_ms();
    // The server may be off the list, or back as another run, before it is known whether it ended.
    let run = staying_run(cx, server, broke_at);
    let (cx, server) = (cx.clone(), server.clone());
    cx.pool.record_broken(address);
    tokio::task::spawn_local(async move {
        let reachability = probe(address).await;
        let is_path_at_fault = record_reachability(&cx, &server, reachability, broke_at).await;
        // A server that leaves ends because it was told to.
        let leaving =
            run.is_none() || cx.picker.borrow().get(&server).is_some_and(Server::is_leaving);
        let ended = reachability == Reachability::Refused && !is_path_at_fault;
        info!(cx.log, "server checked"; "server" => %server, "leaving" => leaving,
            "ended" => ended, "result" => ?reachability, "path_at_fault" => is_path_at_fault);
        if ended {
            paths::record_ended(&cx, &server);
        }
        if let Some(run) = run
            && ended
            && !leaving
        {
            quarantine::record_crash(&cx, run, broke_at);
        } else if reachability != Reachability::Listening {
            cx.quarantine.borrow_mut().discard_requests(&server);
        }
        cx.quarantine.borrow_mut().end_check(&server);
        cx.servers_checked.borrow_mut().remove(&server);
        cx.server_check_ended.notify_waiters();
    });
}

/// Returns the run of a server that has no reason to end now; `None` if it leaves or is not known.
fn staying_run(cx: &Context, server: &Name, now: Millis) -> Option<ServerRun> {
    let picker = cx.picker.borrow();
    let Some(known) = picker.get(server) else {
        let unlisted = cx.unlisted_servers.borrow();
        return unlisted
            .get(server)
            .filter(|unlisted| now < unlisted.serves_until)
            .map(|it| it.run.clone());
    };
    let run = ServerRun { server: server.clone(), started_unix_ms: known.info.started_unix_ms };
    (!known.is_leaving()).then_some(run)
}

/// A server whose registration was removed without notice.
pub(crate) struct UnlistedServer {
    run: ServerRun,
    /// Time until which it serves at least, on the boot clock.
    serves_until: Millis,
}

/// Records that the registration of a server is removed, which had not said that it leaves.
pub(crate) fn record_unlisted(cx: &Context, server: &Name, started_unix_ms: u64) {
    let now = boot_ms();
    let serves_ms = cx.settings.promises.drain.as_millis() as Millis / UNLISTED_MARGIN;
    let run = ServerRun { server: server.clone(), started_unix_ms };
    let mut unlisted = cx.unlisted_servers.borrow_mut();
    unlisted.retain(|_, server| now < server.serves_until);
    unlisted.insert(server.clone(), UnlistedServer { run, serves_until: now + serves_ms });
}

/// Checks servers that closed connections right after a response: requests after whose answers they crash would look
/// sound.
pub(crate) async fn watch_early_closes(cx: Rc<Context>) {
    loop {
        let closed = cx.pool.closed_early().await;
        let servers: Vec<(Name, SocketAddr)> = {
            let picker = cx.picker.borrow();
            let known = picker.servers().map(|known| (known.info.id.clone(), known.info.address));
            known.filter(|(_, address)| closed.contains(address)).collect()
        };
        for (server, address) in servers {
            check_server(&cx, &server, address);
        }
    }
}

/// Records whether the server could be reached; returns whether this entry reaches no server at all.
async fn record_reachability(
    cx: &Rc<Context>,
    server: &Name,
    reachability: Reachability,
    broke_at: Millis,
) -> bool {
    let Some(service) = paths::service_of(cx, server) else { return false };
    if reachability == Reachability::Listening {
        paths::record_connected(cx, &service, server);
        return false;
    }
    paths::record_failed_probe(cx, server, broke_at);
    paths::is_at_fault(cx, &service, broke_at).await
}

/// Waits until a check of a server is over, or for [`CHECK_WAIT`].
pub(crate) async fn wait_for_check(cx: &Context, server: &Name) {
    let ended = async {
        while cx.servers_checked.borrow().contains(server) {
            cx.server_check_ended.notified().await;
        }
    };
    // A check that takes longer finds out nothing, or later than the request can wait.
    let _ = tokio::time::timeout(CHECK_WAIT, ended).await;
}
