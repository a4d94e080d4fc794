//! Connections of clients, which hold no more of a process than [`coord::Clients`] allows.

use coord::{ClientCharge, ClientSettings, ClientUse, Clients, ConnectionId, Content, Room};
use kernel::{Clock, Code, Failure, Millis};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Retry-after time of a request for which there is no room. Clients that make no progress lose theirs by then.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How often clients were refused or told to go.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClientCounts {
    /// Connections closed at once, as there was no room for another one.
    pub refused_connections: u64,
    /// Requests, bodies or heads refused, as there was no room for them.
    pub refused_requests: u64,
    /// Connections closed to make room for others.
    pub dismissed: u64,
    /// Connections closed as they were idle, or the head of a request did not arrive, for too long.
    pub expired: u64,
}

impl ClientCounts {
    /// Returns how often clients were turned away for want of room.
    pub fn turned_away(&self) -> u64 {
        self.refused_connections + self.refused_requests + self.dismissed
    }
}

struct State {
    clients: Clients,
    /// Tells a connection to go.
    dismissals: HashMap<ConnectionId, Arc<Notify>>,
    counts: ClientCounts,
    /// Number of connections on which bytes wait until the client reads.
    blocked: u32,
}

/// Connections of the clients of a process.
pub struct ClientRegistry {
    clock: Clock,
    state: Mutex<State>,
}

impl std::fmt::Debug for ClientRegistry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ClientRegistry").field("usage", &self.usage()).finish_non_exhaustive()
    }
}

impl ClientRegistry {
    /// Creates a registry without connections.
    pub fn new(settings: ClientSettings) -> Arc<Self> {
        let state = State {
            clients: Clients::new(settings),
            dismissals: HashMap::new(),
            counts: ClientCounts::default(),
            blocked: 0,
        };
        Arc::new(Self { clock: Clock::start(), state: Mutex::new(state) })
    }

    /// Takes up a connection that was accepted by the listener with this index; `None` if it has to be closed.
    pub fn open(self: &Arc<Self>, listener: usize) -> Option<Arc<ClientConnection>> {
        let mut state = self.lock();
        let room = state.clients.open(listener, self.clock.now());
        state.dismiss(&room.dismissed);
        let Some(id) = room.granted else {
            state.counts.refused_connections += 1;
            return None;
        };
        let dismissal = Arc::new(Notify::new());
        state.dismissals.insert(id, dismissal.clone());
        Some(Arc::new(ClientConnection {
            registry: self.clone(),
            id,
            dismissal,
            runs_request: AtomicBool::new(false),
            ends_request: AtomicBool::new(false),
            has_unread_body: AtomicBool::new(false),
            has_failed_body: AtomicBool::new(false),
            is_blocked: AtomicBool::new(false),
        }))
    }

    /// Closes connections that have been idle for longer than `idle`, or whose head has been arriving for longer than
    /// `head`.
    pub fn expire(&self, head: Duration, idle: Duration) {
        let millis = |time: Duration| time.as_millis() as Millis;
        let mut state = self.lock();
        let expired = state.clients.expire(millis(head), millis(idle), self.clock.now());
        state.counts.expired += expired.len() as u64;
        state.tell(&expired);
    }

    /// Returns what is in use.
    pub fn usage(&self) -> ClientUse {
        self.lock().clients.usage()
    }

    /// Returns how often clients were refused or told to go.
    pub fn counts(&self) -> ClientCounts {
        self.lock().counts
    }

    /// Returns the number of connections on which bytes wait until the client reads.
    pub fn blocked(&self) -> u32 {
        self.lock().blocked
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn dismiss(&mut self, connections: &[ConnectionId]) {
        self.counts.dismissed += connections.len() as u64;
        self.tell(connections);
    }

    fn tell(&self, connections: &[ConnectionId]) {
        for id in connections {
            if let Some(dismissal) = self.dismissals.get(id) {
                dismissal.notify_one();
            }
        }
    }

    /// Dismisses the connections that have to go for something; returns the room for it.
    fn settle<T>(&mut self, room: Room<T>) -> Option<T> {
        self.dismiss(&room.dismissed);
        if room.granted.is_none() {
            self.counts.refused_requests += 1;
        }
        room.granted
    }
}

/// A connection of a client.
pub struct ClientConnection {
    registry: Arc<ClientRegistry>,
    id: ConnectionId,
    dismissal: Arc<Notify>,
    runs_request: AtomicBool,
    /// Whether the request ends once its answer is sent.
    ends_request: AtomicBool,
    has_unread_body: AtomicBool,
    /// Whether a body was given up before its end.
    has_failed_body: AtomicBool,
    is_blocked: AtomicBool,
}

impl std::fmt::Debug for ClientConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ClientConnection").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let mut state = self.registry.lock();
        state.clients.close(self.id);
        state.dismissals.remove(&self.id);
        if *self.is_blocked.get_mut() {
            state.blocked = state.blocked.saturating_sub(1);
        }
    }
}

impl ClientConnection {
    /// Waits until the connection has to be closed.
    pub async fn dismissed(&self) {
        self.dismissal.notified().await;
        // Others wait as well.
        self.dismissal.notify_one();
    }

    /// Begins a request, whose head has arrived.
    ///
    /// # Errors
    /// [`Code::Overloaded`] if there is no room for it.
    pub fn begin_request(self: &Arc<Self>) -> Result<ClientRequest, Failure> {
        // The answer to the request before may be sent together with that to this one.
        self.flushed();
        let mut state = self.registry.lock();
        let room = state.clients.begin_request(self.id, self.now());
        state.settle(room).ok_or_else(|| no_room("requests"))?;
        self.runs_request.store(true, Ordering::Relaxed);
        Ok(ClientRequest { client: self.clone() })
    }

    /// Notes that the client of a connection that does not carry HTTP sent something. It counts as idle from then on.
    pub fn mark_used(&self) {
        let (now, mut state) = (self.now(), self.registry.lock());
        let room = state.clients.begin_request(self.id, now);
        state.settle(room);
        state.clients.end_request(self.id, now);
    }

    /// Whether a request runs or its answer is sent.
    pub fn runs_request(&self) -> bool {
        self.runs_request.load(Ordering::Relaxed)
    }

    /// Notes whether the request has a body that has not been read to its end. If the connection is closed then, the rest
    /// is passed over first: else the client might not see the answer, which the system drops when bytes arrive for a
    /// closed connection.
    pub fn set_unread_body(&self, has_unread_body: bool) {
        self.has_unread_body.store(has_unread_body, Ordering::Relaxed);
    }

    pub(crate) fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(Ordering::Relaxed)
    }

    pub(crate) fn fail_body(&self) {
        self.has_failed_body.store(true, Ordering::Relaxed);
    }

    /// Whether a body was given up before its end, so that no request can follow.
    pub fn has_failed_body(&self) -> bool {
        self.has_failed_body.load(Ordering::Relaxed)
    }

    /// Notes bytes that arrived; returns whether they may be kept.
    pub(crate) fn receive_head(&self, bytes: usize) -> bool {
        if self.runs_request() {
            return true;
        }
        let mut state = self.registry.lock();
        let room = state.clients.receive_head(self.id, bytes, self.now());
        state.settle(room).is_some()
    }

    /// Notes whether bytes of an answer wait until the client reads, after it has read this number of them.
    pub(crate) fn send(&self, bytes: usize, is_blocked: bool) {
        let was_blocked = self.is_blocked.swap(is_blocked, Ordering::Relaxed);
        if !was_blocked && !is_blocked {
            return;
        }
        let mut state = self.registry.lock();
        state.clients.send(self.id, bytes, is_blocked, self.now());
        match (was_blocked, is_blocked) {
            (false, true) => state.blocked += 1,
            (true, false) => state.blocked = state.blocked.saturating_sub(1),
            _ => {}
        }
    }

    /// Notes that all bytes were sent that were to be sent so far.
    pub(crate) fn flushed(&self) {
        if self.ends_request.swap(false, Ordering::Relaxed) {
            self.runs_request.store(false, Ordering::Relaxed);
            self.registry.lock().clients.end_request(self.id, self.now());
        }
    }

    pub(crate) fn begin_body(&self) {
        self.registry.lock().clients.begin_body(self.id, self.now());
    }

    pub(crate) fn receive_body(&self, bytes: usize) {
        self.registry.lock().clients.receive_body(self.id, bytes, self.now());
    }

    pub(crate) fn end_body(&self) {
        self.registry.lock().clients.end_body(self.id, self.now());
    }

    /// Charges further bytes before they are kept.
    pub(crate) fn hold(&self, bytes: usize, content: Content) -> Option<ClientCharge> {
        let mut state = self.registry.lock();
        let room = state.clients.hold(self.id, bytes, content, self.now());
        match content {
            Content::Body(_) => state.settle(room),
            // An answer waits for its room.
            Content::Answer(_) => {
                state.dismiss(&room.dismissed);
                room.granted
            }
        }
    }

    /// Takes bytes of an answer out that are no longer kept.
    pub(crate) fn release(&self, bytes: usize) {
        self.registry.lock().clients.release(self.id, bytes);
    }

    /// Whether the answer that waits for memory has to be given up.
    pub(crate) fn gives_way(&self) -> bool {
        self.registry.lock().clients.gives_way(self.id, self.now())
    }

    fn now(&self) -> Millis {
        self.registry.clock.now()
    }
}

/// A request that runs. It ends when this is dropped and its answer has been sent.
#[derive(Debug)]
pub struct ClientRequest {
    client: Arc<ClientConnection>,
}

impl ClientRequest {
    /// Returns the connection of the client.
    pub fn client(&self) -> &Arc<ClientConnection> {
        &self.client
    }
}

impl Drop for ClientRequest {
    fn drop(&mut self) {
        self.client.ends_request.store(true, Ordering::Relaxed);
    }
}

/// Returns the failure of a request for which there is no room.
pub(crate) fn no_room(what: &str) -> Failure {
    Failure::new(Code::Overloaded, format!("no memory is left for {what}"))
        .rejected()
        .retry_after(NO_ROOM_RETRY_AFTER)
}
