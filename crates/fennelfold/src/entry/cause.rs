//! What ends the run of an entry.

use cluster::Cluster;
use kernel::StopSignal;
use kernel::prelude::*;
use servers::Servers;
use tokio::signal::unix::{SignalKind, signal};

/// Why an entry stops.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Cause {
    /// The operator sent SIGTERM or SIGINT.
    Signal,
    /// A later run of this entry's name exists.
    Superseded,
    /// The VM is reclaimed after this time.
    Reclaim(Duration),
}

/// Waits until there is a reason to stop.
pub(super) async fn wait_for_cause(
    servers: &Servers,
    cluster: &Cluster,
    mut stop: StopSignal,
) -> Cause {
    let mut superseded = cluster.superseded();
    let mut reclaimed = servers.reclaim_notice();
    let notice = async {
        match reclaimed.wait_for(Option::is_some).await {
            Ok(left) => left.unwrap_or_default(),
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        left = notice => Cause::Reclaim(left),
        () = terminated() => Cause::Signal,
        Ok(_) = superseded.wait_for(|superseded| *superseded) => Cause::Superseded,
        () = stop.wait() => Cause::Signal,
    }
}

async fn terminated() {
    let (term, int) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut term), Ok(mut int)) = (term, int) else { return std::future::pending().await };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
