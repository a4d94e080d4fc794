//! Starts an entry, runs its tasks and stops it.

use crate::client_sweep::ClientSweep;
use crate::context::Context;
use crate::duty::{self, LeaderLease};
use crate::message::WatchedPrefix;
use crate::origin_store;
use crate::path_probe;
use crate::peers::{self, Peers};
use crate::protocol::Protocol;
use crate::registration;
use crate::serve::{Listener, ListenerKind, accept_connections};
use crate::server_check;
use crate::share_claim;
use crate::shutdown::{Shutdown, ShutdownStep};
use crate::supervise::supervise;
use crate::sync;
use infra::{Duties, Store};
use kernel::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// Size of the buffer of the kernel for bytes that a client has sent and the entry has not read.
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;
/// Interval between two checks whether a stopping entry may exit.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two sweeps of expired idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Settings and interfaces with which an entry is created.
pub struct Parts {
    /// Settings of the entry.
    pub settings: conf::Relay,
    /// Formats of the platform.
    pub protocol: Rc<dyn Protocol>,
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// Interface to the platform for the leader's duties, if there are any.
    pub duties: Option<Arc<dyn Duties>>,
    /// Destination of log messages.
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

/// Runs an entry until the future `stopped` completes; must run inside a `LocalSet`.
///
/// # Errors
/// [`Code::PortInUse`] when an address cannot be listened on, and any failure of `stopped`.
pub async fn run_until(
    parts: Parts,
    stopped: impl Future<Output = Result<(), Failure>>,
) -> Result<(), Failure> {
    let Parts { settings, protocol, store, duties, log } = parts;
    let cx = Context::new(settings, log, protocol, store, duties)?;
    info!(cx.log, "start"; "incarnation" => cx.incarnation,
        "front" => %cx.settings.front, "data_centre" => %cx.settings.data_centre,
        "first_start" => cx.settings.first_start);
    listen(&cx).await?;
    supervise_with(&cx, "rules", sync::poll_rules);
    supervise_with(&cx, "servers", |cx| sync::watch_prefix(cx, WatchedPrefix::Servers));
    supervise_with(&cx, "entries", |cx| sync::watch_prefix(cx, WatchedPrefix::Live));
    let registration = spawn_local(registration::keep_registered(cx.clone()));
    supervise_with(&cx, "claim", share_claim::keep);
    supervise_with(&cx, "messages", peers::receive);
    supervise_with(&cx, "state", peers::broadcast_state);
    supervise_with(&cx, "missing servers", sync::remove_missing_servers);
    supervise_with(&cx, "origins", origin_store::run);
    supervise_with(&cx, "idle connections", sweep);
    supervise_with(&cx, "paths", path_probe::watch_connections);
    supervise_with(&cx, "early closes", server_check::watch_early_closes);
    let lease = Rc::new(LeaderLease::new(cx.clone()));
    if let Some(duties) = cx.duties.clone() {
        let held = lease.clone();
        supervise_with(&cx, "lease", move |cx| duty::hold_lease(cx, held.clone()));
        let held = lease.clone();
        supervise_with(&cx, "duties", move |cx| duty::run_duties(cx, duties.clone(), held.clone()));
    }
    stopped.await?;
    spawn_local(duty::release_lease(cx.clone(), lease));
    stop(&cx).await;
    registration.abort();
    info!(cx.log, "stop"; "open" => cx.open_requests.get());
    Ok(())
}

/// Runs a background task of the entry and starts it again if it panics.
fn supervise_with<F>(
    cx: &Rc<Context>,
    name: &'static str,
    start: impl Fn(Rc<Context>) -> F + 'static,
) where
    F: Future<Output = ()> + 'static,
{
    let shared = cx.clone();
    supervise(&cx.log, name, move || start(shared.clone()));
}

async fn listen(cx: &Rc<Context>) -> Result<(), Failure> {
    let settings = &cx.settings;
    let port_in_use = |address: SocketAddr, e: std::io::Error| {
        Failure::new(Code::PortInUse, format!("{address}: {e}"))
    };
    let socket = UdpSocket::bind(settings.peer).await.map_err(|e| port_in_use(settings.peer, e))?;
    cx.set_peers(Peers::new(socket));
    let mut listeners =
        vec![(settings.front, ListenerKind::Callers), (settings.peer, ListenerKind::Entries)];
    let internal = settings.internal_addresses().into_iter();
    listeners.extend(internal.map(|address| (address, ListenerKind::Internal)));
    for (index, (address, kind)) in listeners.into_iter().enumerate() {
        let listener = bind(address).map_err(|e| port_in_use(address, e))?;
        let listener = Rc::new(Listener { listener, kind, index });
        supervise_with(cx, "connections", move |cx| accept_connections(cx, listener.clone()));
    }
    Ok(())
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    // Connections inherit it.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

async fn sweep(cx: Rc<Context>) {
    let mut clients = ClientSweep::default();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        cx.pool.remove_expired();
        clients.sweep(&cx);
    }
}

/// Waits for SIGTERM. SIGHUP is only logged, as the settings are read once at startup.
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

/// Serves open requests, and new callers for some time. Ends once no request is open and every response
/// is sent, or with the grace period.
async fn stop(cx: &Rc<Context>) {
    let schedule = Shutdown::new(cx.settings.promises.grace);
    let began = Instant::now();
    cx.stopping.set(true);
    cx.shutdown.send_replace(Some((schedule, began)));
    info!(cx.log, "stopping"; "open" => cx.open_requests.get());
    let unfinished = || cx.open_requests.get() + cx.clients.blocked();
    while schedule.next_step(unfinished(), began.elapsed()) == ShutdownStep::Serve {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    peers::send_state(cx, true);
}
