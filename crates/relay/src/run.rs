//! Runs an entry from its start to its stop.

use crate::dialect::Dialect;
use crate::duty::{self, Tenure};
use crate::hub::Hub;
use crate::message::Followed;
use crate::peers::{self, Peers};
use crate::serve::{ListenerKind, accept_connections};
use crate::sync;
use infra::{Duties, Store};
use kernel::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Callers that wait for their connection to be accepted.
const BACKLOG: u32 = 1_024;
/// Time after SIGTERM for which new callers are still served: they keep the directory's answers.
const LINGER: Duration = Duration::from_millis(3_500);
/// Part of the grace after which no new stream begins: callers know other entries by then, and one
/// that begins later may not end in time.
const STREAMS_UNTIL: f64 = 0.25;
/// Time before the end of the grace at which the process ends in any case.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Time between two sweeps of idle connections.
const SWEEP: Duration = Duration::from_secs(1);

/// What an entry is built from.
pub struct Parts {
    /// Its settings.
    pub settings: conf::Relay,
    /// The platform's way to write things.
    pub dialect: Rc<dyn Dialect>,
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// Duties towards the platform, if there are any.
    pub duties: Option<Arc<dyn Duties>>,
    /// Where log lines go.
    pub log: Logger,
}

/// Runs an entry until SIGTERM has stopped it; must run inside a `LocalSet`.
///
/// # Errors
/// [`Code::PortInUse`] when an address cannot be listened on, [`Code::Internal`] when signals
/// cannot be handled.
pub async fn run(parts: Parts) -> Result<(), Failure> {
    let log = parts.log.clone();
    run_until(parts, async move { wait_for_stop(&log).await }).await
}

/// Runs an entry until a stop comes; must run inside a `LocalSet`.
///
/// # Errors
/// [`Code::PortInUse`] when an address cannot be listened on, and the failure of the stop.
pub async fn run_until(
    parts: Parts,
    stopped: impl Future<Output = Result<(), Failure>>,
) -> Result<(), Failure> {
    let Parts { settings, dialect, store, duties, log } = parts;
    let hub = Hub::new(settings, log, dialect, store, duties)?;
    info!(hub.log, "start"; "incarnation" => hub.incarnation,
        "front" => %hub.settings.front, "data_centre" => %hub.settings.data_centre);
    listen(&hub).await?;
    spawn_local(sync::rules(hub.clone()));
    spawn_local(sync::follow(hub.clone(), Followed::Servers));
    spawn_local(sync::follow(hub.clone(), Followed::Live));
    let registration = spawn_local(sync::register(hub.clone()));
    spawn_local(peers::listen(hub.clone()));
    spawn_local(peers::tell(hub.clone()));
    spawn_local(sync::missing(hub.clone()));
    spawn_local(sweep(hub.clone()));
    let tenure = Rc::new(Tenure::new(hub.settings.promises.lease));
    if let Some(duties) = hub.duties.clone() {
        spawn_local(duty::hold(hub.clone(), tenure.clone()));
        spawn_local(duty::act(hub.clone(), duties, tenure.clone()));
    }
    stopped.await?;
    spawn_local(duty::resign(hub.clone(), tenure));
    stop(&hub).await;
    registration.abort();
    info!(hub.log, "stop"; "open" => hub.open.get());
    Ok(())
}

async fn listen(hub: &Rc<Hub>) -> Result<(), Failure> {
    let settings = &hub.settings;
    let used = |address: SocketAddr, e: std::io::Error| {
        Failure::new(Code::PortInUse, format!("{address}: {e}"))
    };
    let socket = UdpSocket::bind(settings.peer).await.map_err(|e| used(settings.peer, e))?;
    hub.set_peers(Peers::new(socket));
    let mut listeners = vec![(settings.front, ListenerKind::Callers)];
    // Some deployments serve the side listeners at one address.
    for address in [settings.ready, settings.directory, settings.metrics] {
        if !listeners.iter().any(|(taken, _)| *taken == address) {
            listeners.push((address, ListenerKind::Internal));
        }
    }
    for (address, kind) in listeners {
        let listener = bind(address).map_err(|e| used(address, e))?;
        spawn_local(accept_connections(hub.clone(), listener, kind));
    }
    Ok(())
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn sweep(hub: Rc<Hub>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        hub.pool.sweep();
    }
}

/// Waits for SIGTERM; SIGHUP changes nothing here, as addresses and promises are read at the start.
async fn wait_for_stop(log: &Logger) -> Result<(), Failure> {
    let internal = |e: std::io::Error| Failure::new(Code::Internal, e.to_string());
    let mut term = signal(SignalKind::terminate()).map_err(internal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(internal)?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = hangup.recv() => info!(log, "reload"; "changed" => false),
        }
    }
}

/// Serves what is open, and who still comes, until the grace ends.
async fn stop(hub: &Rc<Hub>) {
    hub.stopping.set(true);
    info!(hub.log, "stopping"; "open" => hub.open.get());
    let began = Instant::now();
    let end = began + hub.settings.promises.grace.saturating_sub(GRACE_MARGIN);
    let quiet = began + LINGER.min(hub.settings.promises.grace / 2);
    while Instant::now() < end && (Instant::now() < quiet || hub.open.get() > 0) {
        tokio::time::sleep(Duration::from_millis(50)).await;
        hub.ending
            .set(Instant::now() >= began + hub.settings.promises.grace.mul_f64(STREAMS_UNTIL));
    }
    peers::tell_once(hub, true);
}
