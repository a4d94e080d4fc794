//! An HTTP server with bounds on connections, requests and time.

use crate::body::Body;
use crate::client_io::ClientIo;
use crate::clients::{ClientConnection, ClientRegistry, ClientRequest};
use crate::head::check_head;
use crate::reply::{Reply, problem};
use crate::stall::StallGuard;
use bytes::Bytes;
use coord::{ClientSettings, Listeners};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use kernel::{Code, Failure, StopSignal};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio_util::task::AbortOnDropHandle;
use tower::ServiceBuilder;

/// A request whose body is still to be read.
pub type Request = hyper::Request<Incoming>;

/// Connections above the bound that are told so at one time; further ones are closed at once.
const REFUSALS: usize = 256;
/// Time for a connection above the bound to send its request and read the refusal.
const REFUSAL_TIME: Duration = Duration::from_secs(2);
/// Interval between two looks for connections that wait for too long.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Time to send the answer to a request whose connection has to go.
const DISMISSAL_TIME: Duration = Duration::from_secs(1);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
    /// Open connections; a further one is told at once that the process is overloaded.
    pub connections: usize,
    /// Memory of the process, in bytes, a part of which clients may use.
    pub memory: usize,
    /// File descriptors of the process, a part of which clients may use.
    pub descriptors: usize,
    /// Number of copies of a body that the process makes while it handles a request.
    pub body_copies: usize,
    /// Bytes of the target and the header fields of a request.
    pub head_bytes: usize,
    /// Header fields of a request.
    pub headers: usize,
    /// Time that a connection may be idle, and time for the head of a request to arrive.
    pub head_time: Duration,
    /// Time a reader may take nothing before its connection ends.
    pub stall: Duration,
    /// Time for open connections to finish after the stop.
    pub drain: Duration,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            connections: 20_000,
            memory: 1 << 30,
            descriptors: kernel::descriptor_limit(),
            body_copies: 1,
            head_bytes: 32 << 10,
            headers: 64,
            head_time: Duration::from_secs(10),
            stall: Duration::from_secs(30),
            drain: Duration::from_secs(60),
        }
    }
}

impl ServerSettings {
    /// Creates the registry of the clients of a server.
    pub fn clients(&self) -> Arc<ClientRegistry> {
        let clients = ClientSettings::divide(self.memory, self.descriptors, Listeners::default());
        ClientRegistry::new(ClientSettings { body_copies: self.body_copies, ..clients })
    }
}

/// Listens on an address.
///
/// # Errors
/// [`Code::PortInUse`] when the address cannot be listened on.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, Failure> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|e| Failure::new(Code::PortInUse, format!("{address}: {e}")))
}

/// Serves connections until the stop, then lets open requests finish.
///
/// A handler whose caller goes away is given up at its next await.
pub async fn serve<F, R>(
    listener: TcpListener,
    settings: ServerSettings,
    stop: StopSignal,
    handler: F,
) where
    F: Fn(Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Reply, Failure>> + Send + 'static,
{
    serve_clients(listener, settings, settings.clients(), stop, handler).await;
}

/// Serves connections as [`serve`] does, and keeps them in this registry.
pub async fn serve_clients<F, R>(
    listener: TcpListener,
    settings: ServerSettings,
    clients: Arc<ClientRegistry>,
    mut stop: StopSignal,
    handler: F,
) where
    F: Fn(Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Reply, Failure>> + Send + 'static,
{
    let slots = Slots::new(settings.connections);
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut open = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = sweep.tick() => {
                clients.expire(settings.head_time, settings.head_time);
                continue;
            }
            () = stop.wait() => break,
        };
        // A failed accept concerns one connection, or too many open files: wait and go on.
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without room for it, the connection is closed.
        let Some(client) = clients.open(0) else { continue };
        match slots.admit() {
            Admission::Serve(slot) => {
                let client = Client { stream, connection: client };
                let connection = connection(client, settings, stop.clone(), handler.clone());
                open.spawn(with_slot(slot, connection));
            }
            Admission::Refuse(slot) => drop(open.spawn(with_slot(slot, refuse(stream, settings)))),
            Admission::Drop => drop(stream),
        }
        while open.try_join_next().is_some() {}
    }
    let rest = async { while open.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(settings.drain, rest).await;
}

/// What to do with a new connection.
enum Admission {
    /// Serve it.
    Serve(OwnedSemaphorePermit),
    /// Tell it that the process is overloaded.
    Refuse(OwnedSemaphorePermit),
    /// Close it at once: there are too many to tell.
    Drop,
}

/// Places for connections, and for those that are told to come back.
struct Slots {
    serve: Arc<Semaphore>,
    refuse: Arc<Semaphore>,
}

impl Slots {
    fn new(connections: usize) -> Self {
        let slots = |count| Arc::new(Semaphore::new(count));
        Self { serve: slots(connections), refuse: slots(REFUSALS) }
    }

    fn admit(&self) -> Admission {
        if let Ok(slot) = self.serve.clone().try_acquire_owned() {
            return Admission::Serve(slot);
        }
        match self.refuse.clone().try_acquire_owned() {
            Ok(slot) => Admission::Refuse(slot),
            Err(_) => Admission::Drop,
        }
    }
}

async fn with_slot(slot: OwnedSemaphorePermit, connection: impl Future<Output = ()>) {
    connection.await;
    drop(slot);
}

/// Answers one request of a connection above the bound.
async fn refuse(stream: TcpStream, settings: ServerSettings) {
    let text = format!("{} connections are open", settings.connections);
    let failure = Failure::new(Code::Overloaded, text).rejected();
    let service = service_fn(move |_req: Request| {
        let reply = problem(&failure);
        async move { Ok::<_, Infallible>(reply) }
    });
    let io = TokioIo::new(StallGuard::new(stream, settings.stall));
    let refusing = builder(&settings).keep_alive(false).serve_connection(io, service);
    let _ = tokio::time::timeout(REFUSAL_TIME, refusing).await;
}

/// A client that was accepted.
struct Client {
    stream: TcpStream,
    connection: Arc<ClientConnection>,
}

async fn connection<F, R>(
    client: Client,
    settings: ServerSettings,
    mut stop: StopSignal,
    handler: F,
) where
    F: Fn(Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Reply, Failure>> + Send + 'static,
{
    let Client { stream, connection: client } = client;
    let _ = stream.set_nodelay(true);
    let served = client.clone();
    let service = ServiceBuilder::new().service_fn(move |mut req: Request| {
        let client = served.clone();
        client.set_unread_body(!req.body().is_end_stream());
        let handled = client.begin_request().and_then(|request| {
            check_head(&req, &settings)?;
            req.extensions_mut().insert(client.clone());
            Ok((request, handler(req)))
        });
        async move {
            let reply = match handled {
                // A handler that panics must not take the connection's answer with it, and one
                // whose caller is gone is given up.
                Ok((request, handled)) => {
                    let handled = AbortOnDropHandle::new(tokio::spawn(handled)).await;
                    handled.unwrap_or_else(internal).map(|reply| until_sent(reply, request))
                }
                Err(failure) => Err(failure),
            };
            let mut reply = reply.unwrap_or_else(|failure| problem(&failure));
            if client.has_failed_body() {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(reply)
        }
    });
    let io = TokioIo::new(StallGuard::new(ClientIo::new(stream, client.clone()), settings.stall));
    let connection = builder(&settings).serve_connection(io, TowerToHyperService::new(service));
    tokio::pin!(connection);
    tokio::select! {
        _ = &mut connection => return,
        () = stop.wait() => connection.as_mut().graceful_shutdown(),
        () = client.dismissed() => {
            if client.runs_request() {
                let _ = tokio::time::timeout(DISMISSAL_TIME, connection).await;
            }
            return;
        }
    }
    let _ = connection.await;
}

/// The body of a reply, which keeps its request running until it has been handed to the connection.
struct ReplyBody {
    body: Body,
    _request: ClientRequest,
}

impl hyper::body::Body for ReplyBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Keeps a request running until the body of its reply has been handed to the connection.
fn until_sent(reply: Reply, request: ClientRequest) -> Reply {
    reply.map(|body| ReplyBody { body, _request: request }.boxed_unsync())
}

/// Sets the parser to twice the limits, so that a head a little above them gets a numbered error.
fn builder(settings: &ServerSettings) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        // The sweep of the clients ends connections that wait for too long.
        .header_read_timeout(None)
        .max_buf_size(settings.head_bytes * 2)
        .max_headers(settings.headers * 2);
    builder
}

fn internal(e: tokio::task::JoinError) -> Result<Reply, Failure> {
    Err(Failure::new(Code::Internal, e.to_string()))
}
