//! Entries that run in the test process and communicate over loopback.

use crate::fake_kv::FaultyClient;
use cluster::Cluster;
use control::{Configuration, SyncSettings};
use kernel::prelude::*;
use kernel::{Kernel, Metrics};
use member::{Member, MemberState};
use peer::{Handler, PeerSettings, Peers, Reply, Request, Traffic};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Parameters of an entry.
pub(crate) struct EntryOptions {
    pub(crate) name: &'static str,
    pub(crate) data_centre: &'static str,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) kv: Arc<FaultyClient>,
    /// Number of requests for the configuration that the entry fails before it answers the others.
    pub(crate) failing_replies: usize,
    /// Whether configuration sync is off, so that no newer configuration is fetched.
    pub(crate) sync_disabled: bool,
}

/// A running entry; stops when dropped.
pub(crate) struct Entry {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) address: SocketAddr,
    kernel: Arc<Kernel>,
}

impl Entry {
    pub(crate) fn start(options: EntryOptions) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let me = Member {
            node: NodeId::new(options.name, 1),
            http: address,
            peer: address,
            region: "coast".into(),
            data_centre: options.data_centre.into(),
            state: MemberState::Alive,
            refutation: 0,
        };
        let log = Logger::root(slog::Discard, o!());
        let settings = conf::Membership { seeds: options.seeds, ..conf::Membership::default() };
        let metrics = Metrics::new().expect("metrics");
        let traffic = Traffic::new(&metrics);
        let peers = Peers::start(PeerSettings::default(), traffic.clone()).expect("a thread");
        let cluster = Cluster::new(me, settings, peers, &metrics, Clock::start(), log.clone());
        let sync_settings = SyncSettings { max_start_delay: 100, ..SyncSettings::default() };
        let configuration =
            Configuration::with_settings(options.kv, cluster.clone(), sync_settings, log);
        let kernel = Kernel::new();
        let failing_replies = AtomicUsize::new(options.failing_replies);
        let handler = PeerHandler {
            cluster: cluster.clone(),
            configuration: configuration.clone(),
            failing_replies,
        };
        let stop = kernel.stop_signal();
        let senders = coord::ClientSettings::for_messages(160_000_000, 4_100);
        let senders = web::ClientRegistry::new(senders);
        Peers::serve(listener, Arc::new(handler), traffic, senders, stop).expect("a thread");
        tokio::spawn(cluster.run(kernel.stop_signal()));
        if !options.sync_disabled {
            tokio::spawn(configuration.clone().run(kernel.stop_signal()));
        }
        Self { configuration, address, kernel }
    }

    /// Returns whether the generation becomes active here within 16 s, the guaranteed distribution
    /// time.
    pub(crate) async fn reaches(&self, generation: u64) -> bool {
        let mut changes = self.configuration.subscribe();
        let reached =
            changes.wait_for(|c| c.as_ref().is_some_and(|c| c.head.generation >= generation));
        tokio::time::timeout(Duration::from_secs(16), reached).await.is_ok()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kernel.stop();
    }
}

struct PeerHandler {
    cluster: Arc<Cluster>,
    configuration: Arc<Configuration>,
    failing_replies: AtomicUsize,
}

impl Handler for PeerHandler {
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(async move {
            match req {
                Request::Gossip(gossip) => match self.cluster.handle_gossip(gossip).await {
                    Some(reply) => Reply::Gossip(reply),
                    None => Reply::Done,
                },
                _ => self.configuration(),
            }
        })
    }

    fn is_this_incarnation(&self, to: &NodeId) -> bool {
        to == self.cluster.local_node()
    }
}

impl PeerHandler {
    fn configuration(&self) -> Reply {
        let decrement = |left: usize| left.checked_sub(1);
        if self.failing_replies.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok()
        {
            return Reply::Failure(Failure::new(Code::Overloaded, "injected failure"));
        }
        match self.configuration.current() {
            Ok(current) => Reply::Configuration {
                head: serde_json::to_string(&current.head).expect("a head").into(),
                body: current.body.text.as_str().into(),
            },
            Err(failure) => Reply::Failure(failure),
        }
    }
}
