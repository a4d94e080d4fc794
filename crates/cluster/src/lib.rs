//! Membership between entries: drives the protocol state machine over the peer transport.

mod start;

pub use start::next_incarnation;

use kernel::Metrics;
use kernel::prelude::*;
use member::{Action, Change, Event, Machine, Member, MemberState, Message, Table};
use opentelemetry::metrics::Counter;
use peer::{Peers, Reply, Request};
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::{broadcast, oneshot, watch};
use tokio::task::JoinSet;

/// Maximum number of changes that a subscriber may lag behind; a slower one misses changes.
const CHANGE_BUFFER: usize = 1024;

/// The entries known to this one, with the transport to reach them.
pub struct Cluster {
    local: Member,
    machine: Mutex<Machine>,
    /// Channels for the replies to open requests of other entries, by request ID.
    replies: Mutex<HashMap<u64, oneshot::Sender<Message>>>,
    next_request_id: AtomicU64,
    peers: Peers,
    probe_interval: Duration,
    clock: Clock,
    log: Logger,
    changes: broadcast::Sender<Change>,
    /// Highest generation seen in gossip, with the entry that reported it.
    highest_generation: watch::Sender<(u64, Option<NodeId>)>,
    leaving_servers: watch::Sender<Vec<Name>>,
    superseded: watch::Sender<bool>,
    counters: Counters,
}

/// Counters of the membership protocol.
struct Counters {
    exchanges: Counter<u64>,
    failures: Counter<u64>,
    requests: Counter<u64>,
    deaths: Counter<u64>,
}

impl Counters {
    fn new(metrics: &Metrics) -> Self {
        Self {
            exchanges: metrics
                .counter("membership_exchanges", "Membership exchanges started by this entry"),
            failures: metrics
                .counter("membership_failures", "Membership exchanges without an answer in time"),
            requests: metrics
                .counter("membership_asked", "Membership messages received from other entries"),
            deaths: metrics.counter("membership_deaths", "Entries that were declared dead here"),
        }
    }
}

impl Cluster {
    /// Name under which other services look up this one.
    pub const NAME: &'static str = "cluster";

    /// Creates the membership of an entry that knows only itself and its seeds.
    pub fn new(
        local: Member,
        settings: conf::Membership,
        peers: Peers,
        metrics: &Metrics,
        clock: Clock,
        log: Logger,
    ) -> Arc<Self> {
        let protocol = member::Settings {
            probe_interval: millis(settings.probe_interval),
            probe_timeout: millis(settings.probe_timeout),
            suspicion_timeout: millis(settings.suspicion_timeout),
            pause_threshold: 3 * millis(settings.probe_interval),
            seeds: settings.seeds.into_iter().filter(|seed| *seed != local.peer).collect(),
            ..member::Settings::default()
        };
        Arc::new(Self {
            machine: Mutex::new(Machine::new(local.clone(), protocol)),
            replies: Mutex::default(),
            next_request_id: AtomicU64::new(0),
            local,
            peers,
            probe_interval: settings.probe_interval,
            clock,
            log,
            changes: broadcast::channel(CHANGE_BUFFER).0,
            highest_generation: watch::channel((0, None)).0,
            leaving_servers: watch::channel(Vec::new()).0,
            superseded: watch::channel(false).0,
            counters: Counters::new(metrics),
        })
    }

    /// Returns the name and incarnation of this entry.
    pub fn local_node(&self) -> &NodeId {
        &self.local.node
    }

    /// Returns this entry as announced to others.
    pub fn local_member(&self) -> Member {
        self.read(|table| table.local().clone())
    }

    /// Lists all known entries, including this one and those declared dead.
    pub fn members(&self) -> Vec<Member> {
        self.read(|table| table.members().cloned().collect())
    }

    /// Returns whether the incarnation is declared dead or was replaced by a later one.
    pub fn is_gone(&self, node: &NodeId) -> bool {
        self.read(|table| table.is_gone(node))
    }

    /// Picks a random witness for this entry among the alive entries: in another data centre of
    /// this region, else in another region, else in the same data centre.
    pub fn pick_witness(&self, avoid: &[NodeId]) -> Option<NodeId> {
        let is_eligible =
            |member: &&Member| member.state == MemberState::Alive && !avoid.contains(&member.node);
        let candidates: Vec<Member> =
            self.read(|table| table.others().filter(is_eligible).cloned().collect());
        let min_distance = candidates.iter().map(|member| self.distance(member)).min()?;
        let nearest = candidates.iter().filter(|member| self.distance(member) == min_distance);
        nearest.choose(&mut rand::rng()).map(|member| member.node.clone())
    }

    fn distance(&self, member: &Member) -> Distance {
        if member.data_centre == self.local.data_centre {
            Distance::SameDataCentre
        } else if member.region == self.local.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    /// Subscribes to changes of membership.
    pub fn changes(&self) -> broadcast::Receiver<Change> {
        self.changes.subscribe()
    }

    /// Subscribes to the highest generation seen in gossip and the entry that reported it.
    pub fn highest_generation(&self) -> watch::Receiver<(u64, Option<NodeId>)> {
        self.highest_generation.subscribe()
    }

    /// Subscribes to the backend servers that were announced as leaving.
    pub fn leaving_servers(&self) -> watch::Receiver<Vec<Name>> {
        self.leaving_servers.subscribe()
    }

    /// Subscribes to whether a later incarnation of this entry exists, in which case this process
    /// must stop.
    pub fn superseded(&self) -> watch::Receiver<bool> {
        self.superseded.subscribe()
    }

    /// Records the generation that is active at this entry, and announces a higher one immediately.
    pub fn set_generation(self: &Arc<Self>, generation: u64) {
        drop(self.step(Event::Generation(generation)));
    }

    /// Announces that a backend server is leaving.
    pub fn announce_leaving_server(self: &Arc<Self>, server: &Name) {
        drop(self.step(Event::ServerLeaving(server.clone())));
    }

    /// Announces that this entry is leaving; returns when the first messages have been answered or
    /// have timed out.
    pub async fn leave(self: &Arc<Self>) {
        self.step(Event::Leave).join_all().await;
    }

    /// Sends a request to an incarnation of an entry.
    ///
    /// # Errors
    /// [`Code::PeerUnreachable`] if the entry is unknown or did not reply in time.
    pub async fn call(
        &self,
        node: &NodeId,
        req: Request,
        timeout: Option<Duration>,
    ) -> Result<Reply, Failure> {
        let address = self.read(|table| table.get(&node.name).map(|member| member.peer));
        let unknown =
            || Failure::new(Code::PeerUnreachable, format!("entry {node} is not a known member"));
        self.peers.call(address.ok_or_else(unknown)?, node, req, timeout).await
    }

    /// Handles a request of another entry and returns the reply.
    pub async fn handle_gossip(self: &Arc<Self>, message: Message) -> Option<Message> {
        self.counters.requests.add(1, &[]);
        let request_id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        lock(&self.replies).insert(request_id, tx);
        drop(self.step(Event::Request { request_id, message }));
        let reply = rx.await.ok();
        lock(&self.replies).remove(&request_id);
        reply
    }

    /// Runs the periodic timer until `stop`.
    pub async fn run(self: Arc<Self>, mut stop: kernel::StopSignal) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(self.probe_interval) => {}
                () = stop.wait() => return,
            }
            drop(self.step(Event::Tick));
        }
    }

    /// Processes an event in the state machine and executes the resulting actions. Returns the
    /// tasks of the exchanges, which continue when the handle is dropped.
    fn step(self: &Arc<Self>, event: Event) -> Exchanges {
        let actions = lock(&self.machine).step(event, self.clock.now(), rand::random());
        let mut exchanges = Exchanges::default();
        for action in actions {
            self.execute(action, &mut exchanges);
        }
        exchanges
    }

    fn execute(self: &Arc<Self>, action: Action, exchanges: &mut Exchanges) {
        match action {
            Action::Exchange { exchange, address, to, message, timeout } => {
                let timeout = Duration::from_millis(timeout);
                exchanges.spawn(self.clone().exchange(exchange, address, to, message, timeout));
            }
            Action::Reply { request_id, message } => {
                if let Some(tx) = lock(&self.replies).remove(&request_id) {
                    // The receiver is gone if the requester has given up.
                    let _ = tx.send(message);
                }
            }
            Action::Publish(change) => self.publish(change),
            Action::HigherGeneration { generation, from } => {
                self.highest_generation.send_replace((generation, Some(from)));
            }
            Action::LeavingServers(servers) => {
                self.leaving_servers.send_replace(servers);
            }
            Action::Superseded(incarnation) => {
                error!(self.log, "superseded by a later run"; "incarnation" => incarnation);
                self.superseded.send_replace(true);
            }
        }
    }

    async fn exchange(
        self: Arc<Self>,
        exchange: u64,
        address: SocketAddr,
        to: NodeId,
        message: Message,
        timeout: Duration,
    ) {
        self.counters.exchanges.add(1, &[]);
        let reply = self.peers.call(address, &to, Request::Gossip(message), Some(timeout)).await;
        let event = match reply {
            Ok(Reply::Gossip(message)) => Event::Reply { exchange, message },
            _ => Event::Failed { exchange },
        };
        if matches!(event, Event::Failed { .. }) {
            self.counters.failures.add(1, &[]);
        }
        drop(self.step(event));
    }

    fn publish(&self, change: Change) {
        info!(self.log, "membership"; "change" => format!("{change:?}"));
        if matches!(change, Change::Died(_)) {
            self.counters.deaths.add(1, &[]);
        }
        // Sending fails if there are no subscribers.
        let _ = self.changes.send(change);
    }

    fn read<T>(&self, f: impl FnOnce(&Table) -> T) -> T {
        f(lock(&self.machine).table())
    }
}

/// Distance of a witness from this entry, in order of preference.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Distance {
    SameRegion,
    OtherRegion,
    SameDataCentre,
}

/// The exchanges started by one step; they continue when this is dropped.
#[derive(Default)]
struct Exchanges(JoinSet<()>);

impl Exchanges {
    fn spawn(&mut self, exchange: impl Future<Output = ()> + Send + 'static) {
        self.0.spawn(exchange);
    }

    async fn join_all(mut self) {
        while self.0.join_next().await.is_some() {}
    }
}

impl Drop for Exchanges {
    fn drop(&mut self) {
        self.0.detach_all();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn millis(time: Duration) -> Millis {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
