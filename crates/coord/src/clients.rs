//! Decides what the clients of a process may make it hold: connections, heads, bodies and answers.
//!
//! Everything is charged to one account of memory before it is kept, and each connection to the descriptors of its
//! listener. When there is too little of either, those go that use it worst: connections that have said nothing, bodies
//! that make no progress, connections that have been idle for longest. A newcomer is refused if all others do as they
//! should.

use crate::client_account::{Account, ClientCharge};
use crate::client_settings::{CONNECTION_BYTES, ClientSettings, ListenerShare};
use kernel::Millis;
use std::collections::BTreeMap;

/// Memory of a request that runs, in bytes: its state and a connection to a backend server.
pub const REQUEST_BYTES: usize = 32 << 10;
/// Size of the head of a request from which its buffer is charged on top of [`CONNECTION_BYTES`].
pub const LARGE_HEAD_BYTES: usize = 8 << 10;
/// Memory of a large head, in bytes: its buffer, which grows in powers of two, while it is copied.
const HEAD_BUFFER_BYTES: usize = 128 << 10;
/// Size up to which a body or an answer may use all memory for clients, in bytes.
const SMALL_BYTES: usize = 16 << 10;
/// Eighths of the memory for clients that may be in use once a large body is charged.
const BODY_EIGHTHS: usize = 5;
/// The same for a large answer, which ends what its request holds.
const ANSWER_EIGHTHS: usize = 6;
/// The same for everything else.
const ALL_EIGHTHS: usize = 8;
/// Pace of a client that sends a body or reads an answer, in bytes per second, below which it may have to go.
const PACE_BYTES_PER_S: u64 = 64 << 10;
/// Time for which a client may fall behind that pace, in milliseconds.
const GRACE_MS: Millis = 1_000;
/// The same for a client that reads an answer, which may be on a bad line.
const ANSWER_GRACE_MS: Millis = 5_000;
/// Time for which answers have to wait for memory before those with the largest parts are given up, in milliseconds.
const ANSWER_WAIT_MS: Millis = 500;
/// Number of connections that were told to go and have not gone, from which none is taken up.
const MAX_LEAVING: usize = 32;
/// Maximum number of connections that are closed to make room for one.
const MAX_DISMISSED: usize = 64;

/// Identity of a connection.
pub type ConnectionId = u64;

/// What is charged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Content {
    /// The body of a request, which has this size so far.
    Body(usize),
    /// An answer, which has this size so far.
    Answer(usize),
}

impl Content {
    /// Returns the fraction of the memory that may be in use afterwards, in eighths.
    fn eighths(self) -> usize {
        match self {
            Self::Body(bytes) if bytes > SMALL_BYTES => BODY_EIGHTHS,
            Self::Answer(bytes) if bytes > SMALL_BYTES => ANSWER_EIGHTHS,
            Self::Body(_) | Self::Answer(_) => ALL_EIGHTHS,
        }
    }
}

/// What becomes of something that needs room.
#[derive(Debug)]
pub struct Room<T> {
    /// The room; `None` if there is none.
    pub granted: Option<T>,
    /// Connections that have to be closed.
    pub dismissed: Vec<ConnectionId>,
}

impl<T> Room<T> {
    fn granted(room: T, dismissed: Vec<ConnectionId>) -> Self {
        Self { granted: Some(room), dismissed }
    }

    fn refused(dismissed: Vec<ConnectionId>) -> Self {
        Self { granted: None, dismissed }
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Activity {
    /// It has sent nothing yet.
    Silent,
    /// The head of a request arrives.
    Head,
    /// The body of a request arrives.
    Body,
    /// A request runs, or its answer is sent.
    Running,
    /// It waits for the next request.
    Idle,
    /// It was told to go.
    Leaving,
}

#[derive(Debug)]
struct Connection {
    listener: usize,
    activity: Activity,
    /// Start of the activity.
    since: Millis,
    /// Time at which the client falls behind the pace, unless it sends or reads more.
    due: Millis,
    /// Whether bytes of an answer wait until the client reads.
    is_blocked: bool,
    /// Size of the head that arrives, in bytes.
    head: usize,
    /// Memory of the connection, of a large head, and of a request that runs.
    charge: ClientCharge,
    /// Memory of the body that arrives, or of the answer that is sent, in bytes. Its own charge counts it.
    content: usize,
    /// Whether the answer waits for memory.
    is_waiting: bool,
}

impl Connection {
    fn bytes(&self) -> usize {
        self.charge.bytes() + self.content
    }

    fn begin(&mut self, activity: Activity, now: Millis) {
        (self.activity, self.since) = (activity, now);
    }

    fn is_overdue(&self, now: Millis) -> bool {
        let waits_for_client = match self.activity {
            Activity::Head | Activity::Body => true,
            Activity::Running => self.is_blocked,
            Activity::Silent | Activity::Idle | Activity::Leaving => false,
        };
        waits_for_client && self.due < now
    }

    fn progress(&mut self, bytes: usize, grace: Millis, now: Millis) {
        let earned = bytes as u64 * 1_000 / PACE_BYTES_PER_S;
        self.due = (self.due.max(now) + earned).min(now + grace);
    }
}

/// Use of memory and descriptors by clients.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClientUse {
    /// Number of open connections.
    pub connections: usize,
    /// Memory in use, in bytes.
    pub memory: usize,
}

/// Connections of clients and what they hold.
#[derive(Debug)]
pub struct Clients {
    settings: ClientSettings,
    account: Account,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Descriptors in use, by listener.
    descriptors: Vec<usize>,
    /// Memory of connections that were told to go, in bytes, and their number.
    leaving: usize,
    leaving_count: usize,
    /// Number of connections whose answers wait for memory, and the time since which there have been any.
    waiting: usize,
    waiting_since: Option<Millis>,
    next: ConnectionId,
}

impl Clients {
    /// Creates the state without connections.
    pub fn new(settings: ClientSettings) -> Self {
        let descriptors = vec![0; settings.listeners.len()];
        Self {
            settings,
            account: Account::default(),
            connections: BTreeMap::new(),
            descriptors,
            leaving: 0,
            leaving_count: 0,
            waiting: 0,
            waiting_since: None,
            next: 0,
        }
    }

    /// Returns what is in use.
    pub fn usage(&self) -> ClientUse {
        ClientUse { connections: self.connections.len(), memory: self.account.used() }
    }

    /// Takes up a connection that was accepted by the listener with this index.
    pub fn open(&mut self, listener: usize, now: Millis) -> Room<ConnectionId> {
        let has_descriptor =
            self.descriptors[listener] < self.settings.listeners[listener].descriptors;
        let mut dismissed = Vec::new();
        if self.leaving_count >= MAX_LEAVING {
            return Room::refused(dismissed);
        }
        if !(has_descriptor && self.fits(CONNECTION_BYTES, ALL_EIGHTHS)) {
            // A connection of the same listener, so that no other has to pay.
            let Some(worst) = self.worst_connection(listener, None, now) else {
                return Room::refused(dismissed);
            };
            self.dismiss(worst, now);
            dismissed.push(worst);
        }
        let id = self.next;
        self.next += 1;
        self.descriptors[listener] += 1;
        let connection = Connection {
            listener,
            activity: Activity::Silent,
            since: now,
            due: now + GRACE_MS,
            is_blocked: false,
            head: 0,
            charge: self.account.charge(CONNECTION_BYTES),
            content: 0,
            is_waiting: false,
        };
        self.connections.insert(id, connection);
        Room::granted(id, dismissed)
    }

    /// Takes a connection out that has been closed.
    pub fn close(&mut self, id: ConnectionId) {
        self.set_waiting(id, false, 0);
        let Some(connection) = self.connections.remove(&id) else { return };
        self.descriptors[connection.listener] -= self.descriptors_of(&connection);
        if connection.activity == Activity::Leaving {
            self.leaving = self.leaving.saturating_sub(connection.bytes());
            self.leaving_count -= 1;
        }
    }

    /// Notes bytes that arrived on a connection on which no request runs; returns whether they may be kept.
    pub fn receive_head(&mut self, id: ConnectionId, bytes: usize, now: Millis) -> Room<()> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Room::refused(Vec::new());
        };
        match connection.activity {
            Activity::Silent | Activity::Idle => {
                connection.begin(Activity::Head, now);
                connection.due = now + GRACE_MS;
                connection.head = bytes;
            }
            Activity::Head => connection.head += bytes,
            Activity::Body | Activity::Running | Activity::Leaving => {
                return Room::granted((), Vec::new());
            }
        }
        connection.progress(bytes, GRACE_MS, now);
        let is_charged = connection.charge.bytes() > CONNECTION_BYTES;
        if connection.head <= LARGE_HEAD_BYTES || is_charged {
            return Room::granted((), Vec::new());
        }
        let room = self.charge(id, HEAD_BUFFER_BYTES, BODY_EIGHTHS, now);
        self.keep(id, room)
    }

    /// Begins a request, whose head has arrived.
    pub fn begin_request(&mut self, id: ConnectionId, now: Millis) -> Room<()> {
        let Some(connection) = self.connections.get(&id) else {
            return Room::refused(Vec::new());
        };
        if connection.activity == Activity::Leaving {
            return Room::refused(Vec::new());
        }
        let listener = connection.listener;
        let ListenerShare { descriptors, per_request } = self.settings.listeners[listener];
        let mut dismissed = Vec::new();
        while self.descriptors[listener] + per_request > descriptors {
            let Some(worst) = self.worst_connection(listener, Some(id), now) else {
                return Room::refused(dismissed);
            };
            self.dismiss(worst, now);
            dismissed.push(worst);
        }
        let bytes = if per_request == 0 { 0 } else { REQUEST_BYTES };
        let room = self.charge(id, bytes, ALL_EIGHTHS, now);
        let mut room = self.keep(id, room);
        room.dismissed.extend(dismissed);
        if room.granted.is_some() {
            self.descriptors[listener] += per_request;
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.begin(Activity::Running, now);
                connection.content = 0;
            }
        }
        room
    }

    /// Begins to receive the body of the request that runs.
    pub fn begin_body(&mut self, id: ConnectionId, now: Millis) {
        if let Some(connection) = self.connections.get_mut(&id)
            && connection.activity == Activity::Running
        {
            connection.begin(Activity::Body, now);
            connection.due = now + GRACE_MS;
        }
    }

    /// Notes bytes of the body that arrived.
    pub fn receive_body(&mut self, id: ConnectionId, bytes: usize, now: Millis) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.progress(bytes, GRACE_MS, now);
        }
    }

    /// Ends the receipt of a body.
    pub fn end_body(&mut self, id: ConnectionId, now: Millis) {
        if let Some(connection) = self.connections.get_mut(&id)
            && connection.activity == Activity::Body
        {
            connection.content = 0;
            connection.begin(Activity::Running, now);
        }
    }

    /// Charges further bytes of a body or an answer before they are kept.
    pub fn hold(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        content: Content,
        now: Millis,
    ) -> Room<ClientCharge> {
        let bytes = match content {
            Content::Body(_) => bytes * self.settings.body_copies,
            Content::Answer(_) => bytes,
        };
        let room = self.charge(id, bytes, content.eighths(), now);
        if room.granted.is_some()
            && let Some(connection) = self.connections.get_mut(&id)
            && connection.activity != Activity::Leaving
        {
            connection.content += bytes;
        }
        let is_waiting = room.granted.is_none() && matches!(content, Content::Answer(_));
        self.set_waiting(id, is_waiting, now);
        room
    }

    /// Notes whether the answer on a connection waits for memory.
    fn set_waiting(&mut self, id: ConnectionId, is_waiting: bool, now: Millis) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.is_waiting == is_waiting {
            return;
        }
        connection.is_waiting = is_waiting;
        self.waiting = if is_waiting { self.waiting + 1 } else { self.waiting - 1 };
        match self.waiting {
            0 => self.waiting_since = None,
            _ => self.waiting_since = self.waiting_since.or(Some(now)),
        }
    }

    /// Takes bytes of an answer out that are no longer kept. Their charge is given back by itself.
    pub fn release(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.content = connection.content.saturating_sub(bytes);
        }
    }

    /// Whether an answer that waits for memory has to be given up: the parts of answers have left no room for each other
    /// for some time, and it has the largest part. One that has nothing yet keeps nobody waiting.
    pub fn gives_way(&self, id: ConnectionId, now: Millis) -> bool {
        let Some(own) = self.connections.get(&id) else { return true };
        let has_lasted =
            self.waiting_since.is_some_and(|since| now.saturating_sub(since) >= ANSWER_WAIT_MS);
        let waiting = self.connections.iter().filter(|(_, other)| other.is_waiting);
        let largest = waiting.map(|(other, connection)| (connection.content, *other)).max();
        has_lasted && own.content > 0 && largest == Some((own.content, id))
    }

    /// Notes whether bytes of an answer wait until the client reads, after it has read this number of them.
    pub fn send(&mut self, id: ConnectionId, bytes: usize, is_blocked: bool, now: Millis) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if is_blocked && !connection.is_blocked {
            connection.due = now + ANSWER_GRACE_MS;
        }
        connection.is_blocked = is_blocked;
        connection.progress(bytes, ANSWER_GRACE_MS, now);
    }

    /// Ends the request that runs, after its answer was sent. The connection waits for the next one.
    pub fn end_request(&mut self, id: ConnectionId, now: Millis) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !matches!(connection.activity, Activity::Running | Activity::Body) {
            return;
        }
        let ListenerShare { per_request, .. } = self.settings.listeners[connection.listener];
        self.descriptors[connection.listener] -= per_request;
        connection.begin(Activity::Idle, now);
        (connection.content, connection.head) = (0, 0);
        if per_request > 0 {
            drop(connection.charge.split(REQUEST_BYTES));
        }
        self.set_waiting(id, false, now);
    }

    /// Tells all connections to go that have kept the process waiting for too long, and returns them.
    pub fn expire(&mut self, head_ms: Millis, idle_ms: Millis, now: Millis) -> Vec<ConnectionId> {
        let has_expired = |connection: &Connection| {
            let limit = match connection.activity {
                Activity::Head => head_ms,
                Activity::Silent | Activity::Idle => idle_ms,
                Activity::Body | Activity::Running | Activity::Leaving => return false,
            };
            now.saturating_sub(connection.since) > limit
        };
        let expired: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| has_expired(connection))
            .map(|(id, _)| *id)
            .collect();
        expired.iter().for_each(|id| self.dismiss(*id, now));
        expired
    }

    fn fits(&self, bytes: usize, eighths: usize) -> bool {
        self.fits_without(0, bytes, eighths)
    }

    /// Whether these bytes fit once others have been given back.
    fn fits_without(&self, given_back: usize, bytes: usize, eighths: usize) -> bool {
        let used = self.account.used().saturating_sub(self.leaving + given_back);
        used + bytes <= self.settings.memory / 8 * eighths
    }

    /// Charges memory. Connections go for it whose clients are overdue, the largest first, if that makes enough room.
    fn charge(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        eighths: usize,
        now: Millis,
    ) -> Room<ClientCharge> {
        let mut dismissed = Vec::new();
        if !self.fits(bytes, eighths) {
            let overdue = self
                .connections
                .iter()
                .filter(|(other, connection)| **other != id && connection.is_overdue(now));
            let mut overdue: Vec<(usize, ConnectionId)> =
                overdue.map(|(other, connection)| (connection.bytes(), *other)).collect();
            overdue.sort_unstable_by(|one, other| other.cmp(one));
            overdue.truncate(MAX_DISMISSED);
            let freed: usize = overdue.iter().map(|(bytes, _)| bytes).sum();
            if !self.fits_without(freed, bytes, eighths) {
                return Room::refused(dismissed);
            }
            for (_, other) in overdue {
                if self.fits(bytes, eighths) {
                    break;
                }
                self.dismiss(other, now);
                dismissed.push(other);
            }
        }
        if self.fits(bytes, eighths) {
            Room::granted(self.account.charge(bytes), dismissed)
        } else {
            Room::refused(dismissed)
        }
    }

    /// Adds granted memory to the charge of a connection.
    fn keep(&mut self, id: ConnectionId, room: Room<ClientCharge>) -> Room<()> {
        let granted = room.granted.map(|charge| {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.charge.merge(charge);
            }
        });
        Room { granted, dismissed: room.dismissed }
    }

    /// Returns the connection of a listener that is missed least: one that has said nothing, one whose client is
    /// overdue, the one that has been idle for longest.
    fn worst_connection(
        &self,
        listener: usize,
        except: Option<ConnectionId>,
        now: Millis,
    ) -> Option<ConnectionId> {
        let rank = |connection: &Connection| match connection.activity {
            Activity::Silent => Some((0, connection.since)),
            Activity::Head | Activity::Body if connection.is_overdue(now) => {
                Some((1, connection.due))
            }
            Activity::Idle => Some((2, connection.since)),
            Activity::Head | Activity::Body | Activity::Running | Activity::Leaving => None,
        };
        let ranked = self
            .connections
            .iter()
            .filter(|(id, connection)| connection.listener == listener && Some(**id) != except)
            .filter_map(|(id, connection)| Some((rank(connection)?, *id)));
        ranked.min().map(|(_, id)| id)
    }

    /// Tells a connection to go. It counts no more, although it holds its part until it is closed.
    fn dismiss(&mut self, id: ConnectionId, now: Millis) {
        let Some(connection) = self.connections.get(&id) else { return };
        let descriptors = self.descriptors_of(connection);
        self.descriptors[connection.listener] -= descriptors;
        self.leaving += connection.bytes();
        self.leaving_count += 1;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.begin(Activity::Leaving, now);
        }
    }

    fn descriptors_of(&self, connection: &Connection) -> usize {
        let per_request = self.settings.listeners[connection.listener].per_request;
        match connection.activity {
            Activity::Silent | Activity::Head | Activity::Idle => 1,
            Activity::Body | Activity::Running => 1 + per_request,
            Activity::Leaving => 0,
        }
    }
}
