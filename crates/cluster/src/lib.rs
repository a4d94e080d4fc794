//! Membership between entries: the shell that runs the machine over the peer transport.

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

/// Changes that a slow listener may lag behind.
const CHANGES: usize = 1024;

/// The entries that this one knows, and the way to reach them.
pub struct Cluster {
    me: Member,
    machine: Mutex<Machine>,
    answers: Mutex<HashMap<u64, oneshot::Sender<Message>>>,
    tickets: AtomicU64,
    peers: Peers,
    tick: Duration,
    clock: Clock,
    log: Logger,
    changes: broadcast::Sender<Change>,
    heard: watch::Sender<(u64, Option<NodeId>)>,
    leaving_servers: watch::Sender<Vec<Name>>,
    superseded: watch::Sender<bool>,
    counts: Counts,
}

/// Counters of the membership protocol.
struct Counts {
    exchanges: Counter<u64>,
    failures: Counter<u64>,
    asked: Counter<u64>,
    deaths: Counter<u64>,
}

impl Counts {
    fn new(metrics: &Metrics) -> Self {
        Self {
            exchanges: metrics
                .counter("membership_exchanges", "Membership exchanges started by this entry"),
            failures: metrics
                .counter("membership_failures", "Membership exchanges without an answer in time"),
            asked: metrics
                .counter("membership_asked", "Membership messages received from other entries"),
            deaths: metrics.counter("membership_deaths", "Entries that were declared dead here"),
        }
    }
}

impl Cluster {
    /// The name under which services find the cluster.
    pub const NAME: &'static str = "cluster";

    /// Creates the cluster as seen by one entry that knows only itself.
    pub fn new(
        me: Member,
        settings: conf::Membership,
        peers: Peers,
        metrics: &Metrics,
        clock: Clock,
        log: Logger,
    ) -> Arc<Self> {
        let protocol = member::Settings {
            probe_every: millis(settings.probe_interval),
            probe_timeout: millis(settings.probe_timeout),
            suspect_for: millis(settings.suspicion_timeout),
            pause: 3 * millis(settings.probe_interval),
            seeds: settings.seeds.into_iter().filter(|seed| *seed != me.peer).collect(),
            ..member::Settings::default()
        };
        Arc::new(Self {
            machine: Mutex::new(Machine::new(me.clone(), protocol)),
            answers: Mutex::default(),
            tickets: AtomicU64::new(0),
            me,
            peers,
            tick: settings.probe_interval,
            clock,
            log,
            changes: broadcast::channel(CHANGES).0,
            heard: watch::channel((0, None)).0,
            leaving_servers: watch::channel(Vec::new()).0,
            superseded: watch::channel(false).0,
            counts: Counts::new(metrics),
        })
    }

    /// Returns the run of this entry.
    pub fn me(&self) -> &NodeId {
        &self.me.node
    }

    /// Returns this entry as others see it.
    pub fn me_as_member(&self) -> Member {
        self.read(|table| table.me().clone())
    }

    /// Lists every entry that is remembered, this one too.
    pub fn members(&self) -> Vec<Member> {
        self.read(|table| table.all().cloned().collect())
    }

    /// Tells whether the run of an entry is over, as far as is known.
    pub fn is_gone(&self, node: &NodeId) -> bool {
        self.read(|table| table.is_gone(node))
    }

    /// Draws a witness for this entry among those that stay: in another data centre of this region,
    /// else in another data centre, else anywhere.
    pub fn pick_witness(&self, avoid: &[NodeId]) -> Option<NodeId> {
        let stays =
            |member: &&Member| member.state == MemberState::Alive && !avoid.contains(&member.node);
        let candidates: Vec<Member> =
            self.read(|table| table.others().filter(stays).cloned().collect());
        let best = candidates.iter().map(|member| self.distance(member)).min()?;
        let fits = candidates.iter().filter(|member| self.distance(member) == best);
        fits.choose(&mut rand::rng()).map(|member| member.node.clone())
    }

    fn distance(&self, member: &Member) -> Distance {
        if member.data_centre == self.me.data_centre {
            Distance::SameDataCentre
        } else if member.region == self.me.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    /// Subscribes to changes of membership.
    pub fn changes(&self) -> broadcast::Receiver<Change> {
        self.changes.subscribe()
    }

    /// Follows the highest generation heard of, and from whom.
    pub fn heard_generation(&self) -> watch::Receiver<(u64, Option<NodeId>)> {
        self.heard.subscribe()
    }

    /// Follows the backend servers that some entry knows to be leaving.
    pub fn leaving_servers(&self) -> watch::Receiver<Vec<Name>> {
        self.leaving_servers.subscribe()
    }

    /// Tells whether a later run of this entry's name exists, so that this one must stop.
    pub fn superseded(&self) -> watch::Receiver<bool> {
        self.superseded.subscribe()
    }

    /// Says which generation is in force here, and passes it on at once.
    pub fn set_generation(self: &Arc<Self>, generation: u64) {
        drop(self.step(Event::Generation(generation)));
    }

    /// Tells the others that a backend server is leaving.
    pub fn announce_leaving_server(self: &Arc<Self>, server: &Name) {
        drop(self.step(Event::ServerLeaving(server.clone())));
    }

    /// Tells the others that this entry is leaving; returns once the first of them were told.
    pub async fn leave(self: &Arc<Self>) {
        self.step(Event::Leave).join_all().await;
    }

    /// Sends a request to a run of an entry.
    ///
    /// # Errors
    /// [`Code::PeerUnreachable`] when it is unknown or did not answer in time.
    pub async fn call(
        &self,
        node: &NodeId,
        req: Request,
        limit: Option<Duration>,
    ) -> Result<Reply, Failure> {
        let address = self.read(|table| table.get(&node.name).map(|member| member.peer));
        let unknown = || Failure::new(Code::PeerUnreachable, format!("{node} is unknown"));
        self.peers.call(address.ok_or_else(unknown)?, node, req, limit).await
    }

    /// Answers a message of another entry.
    pub async fn on_gossip(self: &Arc<Self>, message: Message) -> Option<Message> {
        self.counts.asked.add(1, &[]);
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        lock(&self.answers).insert(ticket, tx);
        drop(self.step(Event::Asked { ticket, message }));
        let answer = rx.await.ok();
        lock(&self.answers).remove(&ticket);
        answer
    }

    /// Probes other entries until the stop.
    pub async fn run(self: Arc<Self>, mut stop: kernel::StopSignal) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(self.tick) => {}
                () = stop.wait() => return,
            }
            drop(self.step(Event::Tick));
        }
    }

    /// Takes an event to the machine and carries its actions out; the tasks returned are its
    /// exchanges, which go on when the handle is dropped.
    fn step(self: &Arc<Self>, event: Event) -> Exchanges {
        let actions = lock(&self.machine).step(event, self.clock.now(), rand::random());
        let mut exchanges = Exchanges::default();
        for action in actions {
            self.carry_out(action, &mut exchanges);
        }
        exchanges
    }

    fn carry_out(self: &Arc<Self>, action: Action, exchanges: &mut Exchanges) {
        match action {
            Action::Exchange { exchange, address, to, message, limit } => {
                let limit = Duration::from_millis(limit);
                exchanges.spawn(self.clone().exchange(exchange, address, to, message, limit));
            }
            Action::Answer { ticket, message } => {
                if let Some(tx) = lock(&self.answers).remove(&ticket) {
                    // The asker may have given up.
                    let _ = tx.send(message);
                }
            }
            Action::Publish(change) => self.publish(change),
            Action::Heard { generation, from } => {
                self.heard.send_replace((generation, Some(from)));
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
        limit: Duration,
    ) {
        self.counts.exchanges.add(1, &[]);
        let reply = self.peers.call(address, &to, Request::Gossip(message), Some(limit)).await;
        let event = match reply {
            Ok(Reply::Gossip(message)) => Event::Answered { exchange, message },
            _ => Event::Failed { exchange },
        };
        if matches!(event, Event::Failed { .. }) {
            self.counts.failures.add(1, &[]);
        }
        drop(self.step(event));
    }

    fn publish(&self, change: Change) {
        info!(self.log, "membership"; "change" => format!("{change:?}"));
        if matches!(change, Change::Died(_)) {
            self.counts.deaths.add(1, &[]);
        }
        // Nobody may be listening.
        let _ = self.changes.send(change);
    }

    fn read<T>(&self, f: impl FnOnce(&Table) -> T) -> T {
        f(lock(&self.machine).table())
    }
}

/// How far a witness is from this entry; the least one is preferred.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Distance {
    SameRegion,
    OtherRegion,
    SameDataCentre,
}

/// The exchanges that one step started.
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
