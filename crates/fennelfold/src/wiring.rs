//! Builds the services of an entry, runs them, and stops them in order.

use backend::{Engine, Plain};
use cluster::Cluster;
use conf::Node;
use control::Configuration;
use exec::{Requests, Services, Settings};
use front::Front;
use kernel::prelude::*;
use kernel::{Metrics, Stop};
use member::{Member, MemberState};
use peer::{Handler, PeerSettings, Peers, Reply, Request};
use platform::{Cloud, Etcd, Health, HttpCloud, HttpVmList, Kv, Observed, VmList};
use rand::RngExt;
use servers::Servers;
use std::future::Future;
use std::pin::Pin;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;

/// Low bits of an incarnation that are drawn, so that two starts in one millisecond differ.
const INCARNATION_RANDOM_BITS: u32 = 10;
/// Longest wait for notices in one call to the cloud API.
const NOTICE_WAIT: Duration = Duration::from_secs(20);
/// Time kept back from a reclaim notice for the last bytes to leave.
const NOTICE_MARGIN: Duration = Duration::from_millis(300);
/// Time that open requests may take after SIGTERM.
const DRAIN_LIMIT: Duration = Duration::from_secs(120);

/// Answers other entries: each request goes to the service that it concerns.
struct PeerHandler {
    cluster: Arc<Cluster>,
    configuration: Arc<Configuration>,
    requests: Arc<Requests>,
}

impl Handler for PeerHandler {
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(async move {
            match req {
                Request::Gossip(message) => match self.cluster.on_gossip(message).await {
                    Some(answer) => Reply::Gossip(answer),
                    None => Reply::Failure(Failure::new(Code::PeerUnreachable, "superseded")),
                },
                Request::Configuration => match self.configuration.current() {
                    Ok(current) => Reply::Configuration {
                        head: serde_json::to_string(&current.head).unwrap_or_default().into(),
                        body: current.body.text.as_str().into(),
                    },
                    Err(failure) => Reply::Failure(failure),
                },
                req => self.requests.on_peer(req).await,
            }
        })
    }

    fn is_me(&self, to: &NodeId) -> bool {
        to == self.cluster.me()
    }
}

/// Why an entry stops.
enum Cause {
    /// The operator sent SIGTERM or SIGINT.
    Signal,
    /// A later run of this entry's name exists.
    Superseded,
    /// The VM is reclaimed after this time.
    Reclaim(Duration),
}

/// Runs an entry until it is told to stop.
///
/// # Errors
/// [`Code::PortInUse`] when an address cannot be listened on.
pub(crate) async fn run_entry(node: Node) -> Result<(), Failure> {
    let log = kernel::logger(&node.name);
    let http = web::bind(node.http).await?;
    let peer_listener = std::net::TcpListener::bind(node.peer);
    let in_use = |e: std::io::Error| Failure::new(Code::PortInUse, format!("{}: {e}", node.peer));
    let peer_listener = peer_listener.map_err(in_use)?;

    let kernel = build(&node, &log).await?;
    let cluster: Arc<Cluster> = kernel.find(Cluster::NAME)?;
    let configuration: Arc<Configuration> = kernel.find(Configuration::NAME)?;
    let requests: Arc<Requests> = kernel.find(Requests::NAME)?;
    let servers: Arc<Servers> = kernel.find(Servers::NAME)?;
    let handler = PeerHandler {
        cluster: cluster.clone(),
        configuration: configuration.clone(),
        requests: requests.clone(),
    };
    let traffic: Arc<peer::Traffic> = kernel.find(peer::Traffic::NAME)?;
    Peers::serve(peer_listener, Arc::new(handler), (*traffic).clone(), kernel.stop_signal())?;

    let mut tasks = JoinSet::new();
    let stop = || kernel.stop_signal();
    tasks.spawn(cluster.clone().run(stop()));
    tasks.spawn(configuration.run(stop()));
    tasks.spawn(servers.clone().run(stop()));
    tasks.spawn(requests.clone().run(stop()));
    let front = Front::new(&kernel, log.new(o!("service" => "front")))?;
    let handler = move |req| front.clone().handle(req);
    tasks.spawn(web::serve(http, web::ServerSettings::default(), stop(), handler));
    info!(log, "started"; "node" => cluster.me().to_string(), "http" => node.http.to_string(),
        "services" => format!("{:?}", kernel.names()));

    let cause = wait_for_cause(&servers, &cluster, stop()).await;
    shut_down(&cause, &cluster, &requests, &log).await;
    kernel.stop();
    while tasks.join_next().await.is_some() {}
    info!(log, "stopped");
    Ok(())
}

/// Adds every service to the kernel.
async fn build(node: &Node, log: &Logger) -> Result<Arc<Kernel>, Failure> {
    let kernel = Kernel::new();
    let clock = Clock::start();
    let metrics = Arc::new(Metrics::new()?);
    let named = |service: &'static str| log.new(o!("service" => service));
    let timeout = node.platform.timeout;
    let health = Health::new(&metrics);
    let kv = Etcd::new(node.platform.kv, timeout);
    let kv: Arc<dyn Kv> = Arc::new(Observed::new(kv, &health));
    let list = HttpVmList::new(node.platform.vm_list, timeout);
    let list: Arc<dyn VmList> = Arc::new(Observed::new(list, &health));
    let cloud = HttpCloud::new(node.platform.cloud, NOTICE_WAIT);
    let cloud: Arc<dyn Cloud> = Arc::new(Observed::new(cloud, &health));
    let engine = Engine::new(timeout);
    let traffic = peer::Traffic::new(&metrics);
    let peers = Peers::start(PeerSettings::default(), traffic.clone())?;
    let seeds: Vec<_> =
        node.membership.seeds.iter().filter(|seed| **seed != node.peer).copied().collect();
    let incarnation = cluster::next_incarnation(&peers, &node.name, &seeds, incarnation()).await;

    let me = Member {
        node: NodeId::new(node.name.clone(), incarnation),
        http: node.http,
        peer: node.peer,
        region: node.region.clone(),
        data_centre: node.data_centre.clone(),
        state: MemberState::Alive,
        refutation: 0,
    };
    let log_of_cluster = named(Cluster::NAME);
    let cluster = Cluster::new(me, node.membership.clone(), peers, &metrics, clock, log_of_cluster);
    let configuration = Configuration::new(kv.clone(), cluster.clone(), named(Configuration::NAME));
    let servers =
        Servers::new(engine.clone(), list, cloud, cluster.clone(), clock, named(Servers::NAME));
    let to = Services {
        cluster: cluster.clone(),
        configuration: configuration.clone(),
        servers: servers.clone(),
        kv,
        engine,
        plain: Plain::new(conf::Limits::default().answer),
    };
    let requests = Requests::new(to, Settings::default(), &metrics, clock, named(Requests::NAME));
    kernel.add("metrics", metrics);
    kernel.add(Health::NAME, health);
    kernel.add(peer::Traffic::NAME, Arc::new(traffic));
    kernel.add(Cluster::NAME, cluster);
    kernel.add(Configuration::NAME, configuration);
    kernel.add(Servers::NAME, servers);
    kernel.add(Requests::NAME, requests);
    Ok(kernel)
}

fn incarnation() -> u64 {
    let drawn = rand::rng().random_range(0..1_u64 << INCARNATION_RANDOM_BITS);
    (Clock::unix_ms() << INCARNATION_RANDOM_BITS) | drawn
}

async fn wait_for_cause(servers: &Servers, cluster: &Cluster, mut stop: Stop) -> Cause {
    let mut superseded = cluster.superseded();
    let mut reclaimed = servers.reclaimed();
    let notice = async {
        match reclaimed.wait_for(Option::is_some).await {
            Ok(left) => left.unwrap_or_default(),
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        left = notice => Cause::Reclaim(left),
        () = terminated() => Cause::Signal,
        Ok(_) = superseded.wait_for(|superseded| *superseded) => Cause::Superseded,
        () = stop.wait() => Cause::Signal,
    }
}

async fn terminated() {
    let (term, int) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut term), Ok(mut int)) = (term, int) else { return std::future::pending().await };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

/// Leaves in order: not offered, nothing new, records given away or finished.
async fn shut_down(cause: &Cause, cluster: &Arc<Cluster>, requests: &Arc<Requests>, log: &Logger) {
    requests.refuse_new();
    cluster.leave().await;
    match cause {
        Cause::Signal | Cause::Superseded => {
            let superseded = matches!(cause, Cause::Superseded);
            info!(log, "leaving"; "cause" => if superseded { "superseded" } else { "signal" });
            let _ = tokio::time::timeout(DRAIN_LIMIT, requests.wait_until_idle()).await;
        }
        Cause::Reclaim(left) => {
            info!(log, "leaving"; "cause" => "reclaim", "left_ms" => left.as_millis() as u64);
            let limit = left.saturating_sub(NOTICE_MARGIN);
            let _ = tokio::time::timeout(limit, requests.hand_over_all()).await;
        }
    }
}
