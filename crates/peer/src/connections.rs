//! Connections of the transport thread, opened on demand and closed when idle.

use crate::traffic::Traffic;
use crate::transport::{PeerSettings, network};
use capnp_rpc::{Disconnector, RpcSystem, rpc_twoparty_capnp};
use kernel::prelude::*;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;
use wire::peer_capnp::peer;

/// One connection to another entry.
struct Connection {
    address: SocketAddr,
    client: peer::Client,
    disconnector: Cell<Option<Disconnector<rpc_twoparty_capnp::Side>>>,
    open_calls: Cell<usize>,
    last_used: Cell<Instant>,
}

/// Keeps a connection open for a call until dropped.
pub(crate) struct ActiveConnection(Rc<Connection>);

impl ActiveConnection {
    fn new(connection: Rc<Connection>) -> Self {
        connection.open_calls.set(connection.open_calls.get() + 1);
        Self(connection)
    }

    pub(crate) fn client(&self) -> &peer::Client {
        &self.0.client
    }
}

impl Drop for ActiveConnection {
    fn drop(&mut self) {
        self.0.open_calls.set(self.0.open_calls.get() - 1);
        self.0.last_used.set(Instant::now());
    }
}

type ConnectionMap = Rc<RefCell<HashMap<SocketAddr, Rc<Connection>>>>;

/// Open connections by address; clones share them.
#[derive(Clone)]
pub(crate) struct Connections {
    by_address: ConnectionMap,
    settings: PeerSettings,
    traffic: Traffic,
}

impl Connections {
    pub(crate) fn new(settings: PeerSettings, traffic: Traffic) -> Self {
        Self { by_address: ConnectionMap::default(), settings, traffic }
    }

    /// Returns the connection to an address and opens it if there is none.
    ///
    /// # Errors
    /// [`Code::PeerUnreachable`] when it cannot be opened within the connect timeout.
    pub(crate) async fn get(&self, address: SocketAddr) -> Result<ActiveConnection, Failure> {
        let known = self.by_address.borrow().get(&address).cloned();
        match known {
            Some(connection) => Ok(ActiveConnection::new(connection)),
            None => self.connect(address).await.map(ActiveConnection::new),
        }
    }

    /// Removes a connection that failed; the next call opens a new one.
    pub(crate) fn remove(&self, connection: &ActiveConnection) {
        remove(&self.by_address, &connection.0);
    }

    /// Closes the connections without open calls that were not used for the idle timeout.
    pub(crate) fn close_idle(&self) {
        let now = Instant::now();
        let is_idle = |connection: &Connection| {
            connection.open_calls.get() == 0
                && now >= connection.last_used.get() + self.settings.idle_timeout
        };
        self.by_address.borrow_mut().retain(|_, connection| {
            if !is_idle(connection) {
                return true;
            }
            if let Some(disconnector) = connection.disconnector.take() {
                spawn_local(disconnector);
            }
            false
        });
    }

    async fn connect(&self, address: SocketAddr) -> Result<Rc<Connection>, Failure> {
        let unreachable =
            |e: String| Failure::new(Code::PeerUnreachable, format!("{address}: {e}"));
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(self.settings.connect_timeout, connecting).await;
        let stream = stream
            .map_err(|e| unreachable(e.to_string()))?
            .map_err(|e| unreachable(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let network =
            network(self.traffic.count_stream(stream, None), rpc_twoparty_capnp::Side::Client);
        let mut system = RpcSystem::new(network, None);
        let connection = Rc::new(Connection {
            address,
            client: system.bootstrap(rpc_twoparty_capnp::Side::Server),
            disconnector: Cell::new(Some(system.get_disconnector())),
            open_calls: Cell::new(0),
            last_used: Cell::new(Instant::now()),
        });
        self.by_address.borrow_mut().insert(address, connection.clone());
        let (by_address, weak) = (self.by_address.clone(), Rc::downgrade(&connection));
        spawn_local(async move {
            let _ = system.await;
            if let Some(connection) = weak.upgrade() {
                remove(&by_address, &connection);
            }
        });
        Ok(connection)
    }
}

fn remove(by_address: &ConnectionMap, connection: &Rc<Connection>) {
    let mut by_address = by_address.borrow_mut();
    if by_address.get(&connection.address).is_some_and(|known| Rc::ptr_eq(known, connection)) {
        by_address.remove(&connection.address);
    }
}
