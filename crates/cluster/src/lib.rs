//! Membership between entries, run over the peer transport.

use kernel::prelude::*;
use member::{Change, Gossip, Member, MemberState, Table};
use peer::{Peers, Reply, Request};
use rand::seq::{IteratorRandom, SliceRandom};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::{broadcast, watch};

/// Changes that a slow listener may lag behind.
const CHANGES: usize = 1024;

/// The entries that this one knows, and the way to reach them.
pub struct Cluster {
    me: Member,
    table: Mutex<Table>,
    peers: Peers,
    settings: conf::Membership,
    clock: Clock,
    log: Logger,
    changes: broadcast::Sender<Change>,
    generation: watch::Sender<u64>,
    heard: watch::Sender<(u64, Option<NodeId>)>,
    leaving_servers: watch::Sender<Vec<Name>>,
}

impl Cluster {
    /// The name under which services find the cluster.
    pub const NAME: &'static str = "cluster";

    /// Creates the cluster as seen by one entry that knows only itself.
    pub fn new(
        me: Member,
        settings: conf::Membership,
        peers: Peers,
        clock: Clock,
        log: Logger,
    ) -> Arc<Self> {
        let times = member::Settings {
            suspect_for: settings.suspect_for.as_millis() as Millis,
            ..member::Settings::default()
        };
        Arc::new(Self {
            table: Mutex::new(Table::new(me.clone(), times)),
            me,
            peers,
            settings,
            clock,
            log,
            changes: broadcast::channel(CHANGES).0,
            generation: watch::channel(0).0,
            heard: watch::channel((0, None)).0,
            leaving_servers: watch::channel(Vec::new()).0,
        })
    }

    /// Returns the run of this entry.
    pub fn me(&self) -> &NodeId {
        &self.me.node
    }

    /// Returns this entry as others see it.
    pub fn me_as_member(&self) -> Member {
        self.table().me().clone()
    }

    /// Lists every entry that is remembered, this one too.
    pub fn members(&self) -> Vec<Member> {
        self.table().all().cloned().collect()
    }

    /// Tells whether the run of an entry is over, as far as is known.
    pub fn is_gone(&self, node: &NodeId) -> bool {
        self.table().is_gone(node)
    }

    /// Draws a witness for this entry: an entry that stays, in another data centre if there is one.
    pub fn pick_witness(&self, avoid: &[NodeId]) -> Option<NodeId> {
        let table = self.table();
        let stays =
            |member: &&Member| member.state == MemberState::Alive && !avoid.contains(&member.node);
        let rng = &mut rand::rng();
        let elsewhere = |member: &&Member| member.data_centre != self.me.data_centre;
        let far = table.others().filter(stays).filter(elsewhere).choose(rng);
        let any = far.or_else(|| table.others().filter(stays).choose(rng));
        any.map(|member| member.node.clone())
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

    /// Says which generation is in force here, and passes it on at once.
    pub fn set_generation(self: &Arc<Self>, generation: u64) {
        let rose = self.generation.send_if_modified(|known| {
            let rose = generation > *known;
            *known = generation.max(*known);
            rose
        });
        if rose {
            self.spread_now();
        }
    }

    /// Tells the others that a backend server is leaving.
    pub fn announce_leaving_server(self: &Arc<Self>, server: &Name) {
        if self.add_leaving(std::slice::from_ref(server)) {
            self.spread_now();
        }
    }

    /// Tells the others that this entry is leaving.
    pub async fn leave(self: &Arc<Self>) {
        self.table().leave();
        let others: Vec<Member> = self.table().others().cloned().collect();
        for member in others {
            self.exchange(member.peer, member.node).await;
        }
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
        let address = self.table().get(&node.name).map(|member| member.peer);
        let unknown = || Failure::new(Code::PeerUnreachable, format!("{node} is unknown"));
        self.peers.call(address.ok_or_else(unknown)?, node, req, limit).await
    }

    /// Answers the gossip of another entry.
    pub fn on_gossip(self: &Arc<Self>, gossip: Gossip) -> Gossip {
        self.take_in(gossip);
        self.gossip()
    }

    /// Probes other entries until the stop.
    pub async fn run(self: Arc<Self>, mut stop: kernel::Stop) {
        let mut round: Vec<Member> = Vec::new();
        loop {
            tokio::select! {
                () = tokio::time::sleep(self.settings.probe_every) => {}
                () = stop.wait() => return,
            }
            self.tick();
            if round.is_empty() {
                round = self.table().others().cloned().collect();
                round.shuffle(&mut rand::rng());
                self.join_by_seed().await;
            }
            if let Some(member) = round.pop() {
                self.exchange(member.peer, member.node).await;
            }
        }
    }

    /// Joins by one seed, so that groups which lost each other find together again.
    async fn join_by_seed(self: &Arc<Self>) {
        let known: HashSet<SocketAddr> = self.table().others().map(|member| member.peer).collect();
        let strangers = |seed: &&SocketAddr| **seed != self.me.peer && !known.contains(*seed);
        let seed = self.settings.seeds.iter().filter(strangers).choose(&mut rand::rng());
        if let Some(seed) = seed {
            self.exchange(*seed, NodeId::default()).await;
        }
    }

    /// Exchanges news with one entry; an empty name addresses whoever answers there.
    async fn exchange(self: &Arc<Self>, address: SocketAddr, to: NodeId) {
        let req = Request::Gossip(self.gossip());
        let reply = self.peers.call(address, &to, req, Some(self.settings.probe_timeout)).await;
        let now = self.clock.now();
        match reply {
            Ok(Reply::Gossip(gossip)) => {
                let heard = self.table().heard(&gossip.from, now);
                self.publish(heard.into_iter().collect());
                self.take_in(gossip);
            }
            _ if to.name.is_empty() => {}
            _ => {
                let silent = self.table().silent(&to, now);
                self.publish(silent.into_iter().collect());
            }
        }
    }

    /// Exchanges news with a few entries at once, outside of the usual round.
    fn spread_now(self: &Arc<Self>) {
        let others: Vec<Member> = self.table().others().cloned().collect();
        for member in others.into_iter().sample(&mut rand::rng(), SPREAD) {
            let cluster = self.clone();
            tokio::spawn(async move { cluster.exchange(member.peer, member.node).await });
        }
    }

    fn tick(&self) {
        let now = self.clock.now();
        let changes = self.table().tick(now);
        self.publish(changes);
    }

    fn gossip(&self) -> Gossip {
        Gossip {
            from: self.me.node.clone(),
            members: self.members(),
            generation: *self.generation.borrow(),
            leaving_servers: self.leaving_servers.borrow().clone(),
        }
    }

    fn take_in(self: &Arc<Self>, gossip: Gossip) {
        let changes = self.table().merge(gossip.members, self.clock.now());
        self.publish(changes);
        self.heard.send_if_modified(|heard| {
            let newer = gossip.generation > heard.0;
            if newer {
                *heard = (gossip.generation, Some(gossip.from.clone()));
            }
            newer
        });
        if self.add_leaving(&gossip.leaving_servers) {
            self.spread_now();
        }
    }

    fn add_leaving(&self, servers: &[Name]) -> bool {
        self.leaving_servers.send_if_modified(|known| {
            let news: Vec<Name> =
                servers.iter().filter(|server| !known.contains(server)).cloned().collect();
            let any = !news.is_empty();
            known.extend(news);
            any
        })
    }

    fn publish(&self, changes: Vec<Change>) {
        for change in changes {
            info!(self.log, "membership"; "change" => format!("{change:?}"));
            // Nobody may be listening.
            let _ = self.changes.send(change);
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Entries that hear urgent news at once from each entry that learns them.
const SPREAD: usize = 3;
