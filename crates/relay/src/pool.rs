//! Pool of connections to backend servers.

use crate::context::Context;
use crate::request::AdmittedRequest;
use crate::upload::{Upload, UploadProgress};
use bytes::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use kernel::{Code, Failure};
use socket2::{SockRef, TcpKeepalive};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that bytes sent to a server may stay unacknowledged before the connection is treated as dead. Servers read
/// at once, and a request to a dead one has to go elsewhere soon.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a probe keeps its connection open to see whether the server is ending.
const PROBE_HOLD: Duration = Duration::from_millis(40);
/// Silence before the first keep-alive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Idle time after which a connection is not reused if its server states no limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after a response in which a server closes no connection that it offers to reuse, unless it ends.
const EARLY_CLOSE: Duration = Duration::from_millis(150);
/// Safety margin before the idle limit stated by a server, within which a connection is not reused.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Maximum number of bytes of a response that are buffered for a connection before they are read.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Header field in which a server states how long it keeps an idle connection open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A request to a backend server.
pub(crate) type ServerRequest = Request<Bytes>;

/// A connection to a backend server that carries one request at a time.
pub(crate) struct Connection {
    address: SocketAddr,
    tx: SendRequest<Upload>,
    /// How far the body of the last request was written.
    upload: UploadProgress,
    /// Whether the connection has carried a request before.
    is_reused: bool,
    /// Time from which the connection has been idle, if it is.
    idle_since: Rc<Cell<Option<Instant>>>,
}

/// Error of a request that got no response.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request was written.
    Unwritten(Failure),
    /// The request was written at least in part.
    Broke(Failure),
}

struct Idle {
    connection: Connection,
    until: Instant,
}

/// Whether a server accepts connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reachability {
    /// The server accepted a connection.
    Listening,
    /// The VM refused the connection: no process listens at the address.
    Refused,
    /// The connection failed in another way, which shows nothing about the server.
    Unknown,
}

/// Remote ends of connections to which something happened.
#[derive(Default)]
struct RemoteEnds {
    addresses: RefCell<HashSet<SocketAddr>>,
    added: Notify,
}

impl RemoteEnds {
    fn add(&self, address: SocketAddr) {
        self.addresses.borrow_mut().insert(address);
        self.added.notify_one();
    }

    /// Waits for remote ends and returns them.
    async fn take(&self) -> HashSet<SocketAddr> {
        self.added.notified().await;
        std::mem::take(&mut *self.addresses.borrow_mut())
    }
}

/// Idle connections by server.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    broken: Rc<RemoteEnds>,
    closed_early: Rc<RemoteEnds>,
}

impl Pool {
    /// Returns an idle connection or opens a new one.
    pub(crate) async fn connection(&self, address: SocketAddr) -> Result<Connection, Failure> {
        if let Some(connection) = self.take(address) {
            return Ok(connection);
        }
        self.connect(address).await
    }

    /// Opens a connection to find out whether a server can be reached, and keeps it for a request.
    pub(crate) async fn probe(&self, address: SocketAddr) -> Result<(), Failure> {
        let connection = self.connect(address).await?;
        self.give_back(connection);
        Ok(())
    }

    /// Records that a connection broke whose request took the error.
    pub(crate) fn record_broken(&self, address: SocketAddr) {
        self.broken.add(address);
    }

    /// Waits until connections broke; returns their remote ends.
    pub(crate) async fn broken(&self) -> HashSet<SocketAddr> {
        self.broken.take().await
    }

    /// Waits until servers closed connections right after a response after which they were to be reused; returns their
    /// remote ends.
    pub(crate) async fn closed_early(&self) -> HashSet<SocketAddr> {
        self.closed_early.take().await
    }

    /// Opens a new connection.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Connection, Failure> {
        let failed = |e: String| Failure::new(Code::NotDispatched, format!("{address}: {e}"));
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| failed("connection timed out".into()))?;
        let stream = stream.map_err(|e| failed(e.to_string()))?;
        set_socket_options(&stream, UNACKED_TIMEOUT).map_err(|e| failed(e.to_string()))?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (tx, connection) = handshake.map_err(|e| failed(e.to_string()))?;
        let (broken, closed_early) = (self.broken.clone(), self.closed_early.clone());
        let idle_since = Rc::new(Cell::new(None));
        let idle = idle_since.clone();
        tokio::task::spawn_local(async move {
            // The error itself is returned to the request in progress, if there is one.
            if connection.await.is_err() {
                broken.add(address);
            }
            if idle.get().is_some_and(|since: Instant| since.elapsed() < EARLY_CLOSE) {
                closed_early.add(address);
            }
        });
        let upload = UploadProgress::default();
        Ok(Connection { address, tx, upload, is_reused: false, idle_since })
    }

    /// Returns a connection that has carried no request since it was taken to the pool.
    pub(crate) fn give_back(&self, connection: Connection) {
        self.release(connection, &HeaderMap::new());
    }

    /// Returns a connection to the pool after its response was read, if the response allows reuse.
    pub(crate) fn release(&self, mut connection: Connection, headers: &HeaderMap) {
        let Some(time) = reusable_for(headers) else { return };
        if connection.tx.is_closed() {
            return;
        }
        connection.is_reused = true;
        let now = Instant::now();
        connection.idle_since.set(Some(now));
        let until = now + time;
        self.idle
            .borrow_mut()
            .entry(connection.address)
            .or_default()
            .push(Idle { connection, until });
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn remove_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| idle.until > now && !idle.connection.tx.is_closed());
            !idle.is_empty()
        });
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&address)?;
        let now = Instant::now();
        while let Some(last) = idle.pop() {
            if last.until > now && last.connection.tx.is_ready() {
                last.connection.idle_since.set(None);
                return Some(last.connection);
            }
        }
        None
    }
}

impl Connection {
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether part of the last request has not been written yet.
    pub(crate) fn is_sending(&self) -> bool {
        self.upload.is_unfinished()
    }

    /// Whether the connection has carried a request before.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and waits for the response head.
    pub(crate) async fn send(
        &mut self,
        req: ServerRequest,
    ) -> Result<Response<Incoming>, SendError> {
        let failure = |code, cause: &dyn std::fmt::Display| {
            Failure::new(code, format!("{}: {cause}", self.address))
        };
        let req = req.map(|body| Upload::new(body, self.upload.clone()));
        let sent = self.tx.try_send_request(req).await;
        let response = sent.map_err(|mut e| {
            if e.take_message().is_some() {
                SendError::Unwritten(failure(Code::NotDispatched, e.error()))
            } else {
                SendError::Broke(failure(Code::BackendBroke, e.error()))
            }
        })?;
        match framing_error(&response) {
            Some(cause) => Err(SendError::Broke(failure(Code::BackendBroke, &cause))),
            None => Ok(response),
        }
    }
}

/// Returns a connection to the pool after the response to a request was read, if the response allows reuse.
///
/// A server may send a response once more where that to the next request is due. Only the ID of its request tells
/// such a copy from it, so that no request may follow a response without one.
pub(crate) fn release_connection(
    cx: &Context,
    request: &AdmittedRequest,
    connection: Connection,
    headers: &HeaderMap,
) {
    let echoed = headers.get(&cx.protocol.names().request);
    if echoed.is_some_and(|echoed| *echoed == request.id) {
        cx.pool.release(connection, headers);
    }
}

/// Opens a connection to find out whether a server still runs, and closes it again.
///
/// The kernel accepts connections for a process that is ending, and closes them when it has ended.
pub(crate) async fn probe(address: SocketAddr) -> Reachability {
    let mut stream = match connect_once(address).await {
        Ok(stream) => stream,
        Err(reachability) => return reachability,
    };
    match tokio::time::timeout(PROBE_HOLD, stream.read_u8()).await {
        Err(_) | Ok(Ok(_)) => Reachability::Listening,
        // A server that has too many connections closes them, too.
        Ok(Err(_)) => connect_once(address).await.map_or_else(|it| it, |_| Reachability::Listening),
    }
}

async fn connect_once(address: SocketAddr) -> Result<TcpStream, Reachability> {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Err(Reachability::Refused),
        Ok(Err(_)) | Err(_) => Err(Reachability::Unknown),
    }
}

/// Disables Nagle's algorithm, and sets timeouts that detect a silent remote end.
///
/// `unacked_timeout` also limits for how long the remote end may read nothing, although it answers.
pub(crate) fn set_socket_options(
    stream: &TcpStream,
    unacked_timeout: Duration,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(unacked_timeout))
}

/// Returns why the bytes after a head are not the body of its response; `None` if they are.
///
/// The HTTP library reads a body with an unknown transfer coding to the end of its connection, with the coding in it.
fn framing_error(response: &Response<Incoming>) -> Option<&'static str> {
    if response.status().is_informational() {
        return Some("response switches to another protocol");
    }
    let codings: Vec<&HeaderValue> = response.headers().get_all(TRANSFER_ENCODING).iter().collect();
    let is_known = match codings[..] {
        [coding] => is_chunked(coding) || is_identity(coding),
        _ => codings.iter().all(|coding| is_identity(coding)),
    };
    (!is_known).then_some("response body has an unknown transfer coding")
}

/// Whether a value of the transfer coding is that of chunks.
pub(crate) fn is_chunked(coding: &HeaderValue) -> bool {
    coding.as_bytes().eq_ignore_ascii_case(b"chunked")
}

/// Whether a value of the transfer coding states that there is none.
fn is_identity(coding: &HeaderValue) -> bool {
    coding.as_bytes().eq_ignore_ascii_case(b"identity")
}

/// Returns how long a connection may stay idle after a response; `None` if it must not be reused.
fn reusable_for(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    if text(CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let stated = text(KEEP_ALIVE).and_then(|value| {
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.parse().ok().map(Duration::from_secs)
    });
    Some(stated.unwrap_or(DEFAULT_IDLE_TIMEOUT + IDLE_MARGIN).saturating_sub(IDLE_MARGIN))
}
