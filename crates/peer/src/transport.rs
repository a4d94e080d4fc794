//! The threads that run capnp-rpc: the transport thread for calls to other entries, with its handle
//! [`Peers`], and the server thread.

use crate::codec::{malformed, read_reply, read_request, write_reply, write_request};
use crate::connections::Connections;
use crate::message::{Handler, Reply, Request};
use crate::traffic::{CountedStream, Traffic};
use capnp::capability::Promise;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use kernel::prelude::*;
use ledger::{Message, MessageReply};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use web::ClientRegistry;
use wire::peer_capnp::peer;

/// Maximum number of calls that wait for the transport thread.
const MAX_QUEUED_CALLS: usize = 8192;

/// Timeouts of the transport.
#[derive(Clone, Copy, Debug)]
pub struct PeerSettings {
    /// Timeout of opening a connection.
    pub connect_timeout: Duration,
    /// Timeout of a call when the caller of [`Peers::call`] sets none.
    pub call_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            call_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(5),
        }
    }
}

/// A call for the transport thread.
struct Call {
    address: SocketAddr,
    to: NodeId,
    req: Request,
    timeout: Duration,
    tx: oneshot::Sender<Result<Reply, Failure>>,
}

/// A handle to the transport thread; clones share it.
#[derive(Clone)]
pub struct Peers {
    tx: mpsc::Sender<Call>,
    settings: PeerSettings,
}

impl Peers {
    /// Starts the transport thread without a listener, which is enough for a process that only
    /// makes calls; [`Peers::serve`] adds a listener.
    ///
    /// # Errors
    /// [`Code::Internal`] when the thread cannot be started.
    pub fn start(settings: PeerSettings, traffic: Traffic) -> Result<Self, Failure> {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_CALLS);
        let internal = |e: std::io::Error| Failure::new(Code::Internal, e.to_string());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(internal)?;
        let body = move || LocalSet::new().block_on(&runtime, run_calls(rx, settings, traffic));
        std::thread::Builder::new().name("peers".into()).spawn(body).map_err(internal)?;
        Ok(Self { tx, settings })
    }

    /// Sends a request to an entry and waits for its reply.
    ///
    /// # Errors
    /// [`Code::PeerUnreachable`] when no reply came in time; the request may have been handled. A
    /// failure that the entry returned is returned as it is.
    pub async fn call(
        &self,
        address: SocketAddr,
        to: &NodeId,
        req: Request,
        timeout: Option<Duration>,
    ) -> Result<Reply, Failure> {
        let (tx, rx) = oneshot::channel();
        let timeout = timeout.unwrap_or(self.settings.call_timeout);
        let call = Call { address, to: to.clone(), req, timeout, tx };
        let unreachable = || Failure::new(Code::PeerUnreachable, format!("{to} at {address}"));
        self.tx.try_send(call).map_err(|_| unreachable())?;
        match tokio::time::timeout(timeout, rx).await {
            Ok(Ok(Ok(Reply::Failure(failure)))) => Err(failure),
            Ok(Ok(reply)) => reply,
            _ => Err(unreachable()),
        }
    }

    /// Serves other entries on a listener, on a dedicated thread, until the stop signal. Connections are kept in the
    /// registry.
    ///
    /// # Errors
    /// [`Code::Internal`] when the thread cannot be started.
    pub fn serve(
        listener: std::net::TcpListener,
        handler: Arc<dyn Handler>,
        traffic: Traffic,
        clients: Arc<ClientRegistry>,
        mut stop: kernel::StopSignal,
    ) -> Result<(), Failure> {
        let internal = |e: std::io::Error| Failure::new(Code::Internal, e.to_string());
        let main_runtime = tokio::runtime::Handle::current();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(internal)?;
        listener.set_nonblocking(true).map_err(internal)?;
        let body = move || {
            let serving = async move {
                tokio::select! {
                    () = accept_connections(listener, handler, traffic, clients, main_runtime) => {}
                    () = stop.wait() => {}
                }
            };
            LocalSet::new().block_on(&runtime, serving);
        };
        std::thread::Builder::new().name("peer-server".into()).spawn(body).map_err(internal)?;
        Ok(())
    }
}

async fn run_calls(mut rx: mpsc::Receiver<Call>, settings: PeerSettings, traffic: Traffic) {
    let connections = Connections::new(settings, traffic);
    let mut sweep = tokio::time::interval(settings.idle_timeout / 2);
    loop {
        let call = tokio::select! {
            call = rx.recv() => call,
            _ = sweep.tick() => {
                connections.close_idle();
                continue;
            }
        };
        let Some(call) = call else { return };
        let connections = connections.clone();
        spawn_local(async move {
            let timeout = call.timeout;
            let result = tokio::time::timeout(timeout, run_call(&connections, &call)).await;
            let timed_out = || {
                Failure::new(Code::PeerUnreachable, format!("{} did not reply in time", call.to))
            };
            let result = result.unwrap_or_else(|_| Err(timed_out()));
            // The caller may have stopped waiting.
            let _ = call.tx.send(result);
        });
    }
}

async fn run_call(connections: &Connections, call: &Call) -> Result<Reply, Failure> {
    let connection = connections.get(call.address).await?;
    let mut params = connection.client().call_request();
    write_request(params.get().init_request(), &call.to, &call.req);
    let result = match params.send().promise.await {
        Ok(response) => {
            response.get().and_then(|r| r.get_reply()).and_then(read_reply).map_err(malformed)
        }
        Err(e) => Err(Failure::new(Code::PeerUnreachable, format!("{}: {e}", call.address))),
    };
    if result.is_err() {
        connections.remove(&connection);
    }
    result
}

pub(crate) fn network(
    stream: CountedStream,
    side: rpc_twoparty_capnp::Side,
) -> Box<twoparty::VatNetwork<impl futures::AsyncRead + Unpin>> {
    let (reader, writer) = tokio::io::split(stream);
    Box::new(twoparty::VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        side,
        Default::default(),
    ))
}

async fn accept_connections(
    listener: std::net::TcpListener,
    handler: Arc<dyn Handler>,
    traffic: Traffic,
    clients: Arc<ClientRegistry>,
    main_runtime: tokio::runtime::Handle,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        // Without room for it, the connection is closed.
        let Some(connection) = clients.open(0) else { continue };
        let _ = stream.set_nodelay(true);
        let server = Server { handler: handler.clone(), main_runtime: main_runtime.clone() };
        let client: peer::Client = capnp_rpc::new_client(server);
        let stream = traffic.count_stream(stream, Some(connection.clone()));
        let network = network(stream, rpc_twoparty_capnp::Side::Server);
        let serving = RpcSystem::new(network, Some(client.client));
        spawn_local(async move {
            tokio::select! {
                // An error affects only the entry at the other end, which notices it too.
                _ = serving => {}
                () = connection.dismissed() => {}
            }
        });
        // Connections that have to go for this one go now.
        tokio::task::yield_now().await;
    }
}

struct Server {
    handler: Arc<dyn Handler>,
    main_runtime: tokio::runtime::Handle,
}

impl peer::Server for Server {
    fn call(
        self: Rc<Self>,
        params: peer::CallParams,
        mut results: peer::CallResults,
    ) -> impl std::future::Future<Output = Result<(), capnp::Error>> + 'static {
        let (handler, main_runtime) = (self.handler.clone(), self.main_runtime.clone());
        Promise::from_future(async move {
            let (to, req) = read_request(params.get()?.get_request()?)?;
            let handling =
                main_runtime.spawn(async move { handle_request(&*handler, &to, req).await });
            let reply = handling.await.map_err(|e| capnp::Error::failed(e.to_string()))?;
            write_reply(results.get().init_reply(), &reply);
            Ok(())
        })
    }
}

/// Handles a request, or replies that it was sent to another incarnation of this entry.
async fn handle_request(handler: &dyn Handler, to: &NodeId, req: Request) -> Reply {
    // A sender that does not know its receiver, such as an entry that joins through the address of
    // a seed, leaves the name empty.
    if to.name.is_empty() || handler.is_this_incarnation(to) {
        return handler.handle(req).await;
    }
    match req {
        Request::Record(Message::Hold { .. }) => {
            Reply::Record(MessageReply::Hold(ledger::HoldReply::OtherRun))
        }
        Request::Record(Message::Ask { .. }) => {
            Reply::Record(MessageReply::Ask(ledger::AskReply::NotHeld))
        }
        Request::Record(Message::Void { .. }) => {
            Reply::Record(MessageReply::Void(ledger::VoidReply::Undecided))
        }
        _ => Reply::Failure(Failure::new(
            Code::PeerUnreachable,
            format!("{to} is another incarnation"),
        )),
    }
}
