//! Runs an entry from its start to its stop.

use crate::context::Context;
use crate::duty::{self, Tenure};
use crate::intake::{Door, accept};
use crate::message::Followed;
use crate::peers::{self, Peers};
use crate::protocol::Protocol;
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
    pub protocol: Rc<dyn Protocol>,
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
    let Parts { settings, protocol, store, duties, log } = parts;
    let cx = Context::new(settings, log, protocol, store, duties)?;
    info!(cx.log, "start"; "incarnation" => cx.incarnation,
        "front" => %cx.settings.front, "data_centre" => %cx.settings.data_centre);
    listen(&cx).await?;
    spawn_local(sync::rules(cx.clone()));
    spawn_local(sync::follow(cx.clone(), Followed::Servers));
    spawn_local(sync::follow(cx.clone(), Followed::Live));
    let registration = spawn_local(sync::register(cx.clone()));
    spawn_local(peers::listen(cx.clone()));
    spawn_local(peers::tell(cx.clone()));
    spawn_local(sync::missing(cx.clone()));
    spawn_local(sweep(cx.clone()));
    let tenure = Rc::new(Tenure::new(cx.settings.promises.lease));
    if let Some(duties) = cx.duties.clone() {
        spawn_local(duty::hold(cx.clone(), tenure.clone()));
        spawn_local(duty::act(cx.clone(), duties, tenure.clone()));
    }
    stopped.await?;
    spawn_local(duty::resign(cx.clone(), tenure));
    stop(&cx).await;
    registration.abort();
    info!(cx.log, "stop"; "open" => cx.open_requests.get());
    Ok(())
}

async fn listen(cx: &Rc<Context>) -> Result<(), Failure> {
    let settings = &cx.settings;
    let used = |address: SocketAddr, e: std::io::Error| {
        Failure::new(Code::PortInUse, format!("{address}: {e}"))
    };
    let socket = UdpSocket::bind(settings.peer).await.map_err(|e| used(settings.peer, e))?;
    cx.set_peers(Peers::new(socket));
    let mut doors = vec![(settings.front, Door::Front)];
    // Some deployments serve the side doors at one address.
    for address in [settings.ready, settings.directory, settings.metrics] {
        if !doors.iter().any(|(taken, _)| *taken == address) {
            doors.push((address, Door::Side));
        }
    }
    for (address, door) in doors {
        let listener = bind(address).map_err(|e| used(address, e))?;
        spawn_local(accept(cx.clone(), listener, door));
    }
    Ok(())
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn sweep(cx: Rc<Context>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        cx.pool.sweep();
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
async fn stop(cx: &Rc<Context>) {
    cx.stopping.set(true);
    info!(cx.log, "stopping"; "open" => cx.open_requests.get());
    let began = Instant::now();
    let end = began + cx.settings.promises.grace.saturating_sub(GRACE_MARGIN);
    let quiet = began + LINGER.min(cx.settings.promises.grace / 2);
    while Instant::now() < end && (Instant::now() < quiet || cx.open_requests.get() > 0) {
        tokio::time::sleep(Duration::from_millis(50)).await;
        cx.refuses_streams
            .set(Instant::now() >= began + cx.settings.promises.grace.mul_f64(STREAMS_UNTIL));
    }
    peers::tell_once(cx, true);
}
