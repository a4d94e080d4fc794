//! Entries in this process that talk to each other over loopback.

use crate::kv::Client;
use cluster::Cluster;
use control::{Configuration, Times};
use kernel::prelude::*;
use kernel::{Kernel, Metrics};
use member::{Member, MemberState};
use peer::{Handler, PeerSettings, Peers, Reply, Request, Traffic};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};

/// How an entry is started.
pub(crate) struct Start {
    pub(crate) name: &'static str,
    pub(crate) data_centre: &'static str,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) kv: Arc<Client>,
    /// Requests for the configuration that it fails to answer.
    pub(crate) fails: usize,
    /// Whether it never looks for a newer configuration.
    pub(crate) frozen: bool,
}

/// An entry that runs until it is dropped.
pub(crate) struct Entry {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) address: SocketAddr,
    kernel: Arc<Kernel>,
}

impl Entry {
    pub(crate) fn start(start: Start) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let me = Member {
            node: NodeId::new(start.name, 1),
            http: address,
            peer: address,
            region: "coast".into(),
            data_centre: start.data_centre.into(),
            state: MemberState::Alive,
            refutation: 0,
        };
        let log = Logger::root(slog::Discard, o!());
        let settings = conf::Membership { seeds: start.seeds, ..conf::Membership::default() };
        let metrics = Metrics::new().expect("metrics");
        let traffic = Traffic::new(&metrics);
        let peers = Peers::start(PeerSettings::default(), traffic.clone()).expect("a thread");
        let cluster = Cluster::new(me, settings, peers, &metrics, Clock::start(), log.clone());
        let times = Times { first: 100, ..Times::default() };
        let configuration = Configuration::with_times(start.kv, cluster.clone(), times, log);
        let kernel = Kernel::new();
        let fails = AtomicUsize::new(start.fails);
        let answers =
            Answers { cluster: cluster.clone(), configuration: configuration.clone(), fails };
        let stop = kernel.stop_signal();
        Peers::serve(listener, Arc::new(answers), traffic, stop).expect("a thread");
        tokio::spawn(cluster.run(kernel.stop_signal()));
        if !start.frozen {
            tokio::spawn(configuration.clone().run(kernel.stop_signal()));
        }
        Self { configuration, address, kernel }
    }

    /// Waits until a generation is in force here, at most the stated bound.
    pub(crate) async fn reaches(&self, generation: u64) -> bool {
        let mut follow = self.configuration.follow();
        let there =
            follow.wait_for(|c| c.as_ref().is_some_and(|c| c.head.generation >= generation));
        tokio::time::timeout(Duration::from_secs(16), there).await.is_ok()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kernel.stop();
    }
}

struct Answers {
    cluster: Arc<Cluster>,
    configuration: Arc<Configuration>,
    fails: AtomicUsize,
}

impl Handler for Answers {
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(async move {
            match req {
                Request::Gossip(gossip) => match self.cluster.handle_gossip(gossip).await {
                    Some(answer) => Reply::Gossip(answer),
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

impl Answers {
    fn configuration(&self) -> Reply {
        let less = |left: usize| left.checked_sub(1);
        if self.fails.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less).is_ok() {
            return Reply::Failure(Failure::new(Code::Overloaded, "a fault"));
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
