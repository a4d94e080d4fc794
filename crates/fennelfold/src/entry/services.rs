//! Builds the services of an entry.

use backend::{Engine, Engines, Plain};
use cluster::Cluster;
use conf::Node;
use control::Configuration;
use exec::{Requests, Services, Settings};
use infra::{Cloud, Etcd, Health, HttpCloud, HttpVmList, Kv, Observed, VmList};
use kernel::Metrics;
use kernel::prelude::*;
use member::{Member, MemberState};
use peer::{PeerSettings, Peers};
use rand::RngExt;
use servers::Servers;

/// Low bits of an incarnation that are drawn, so that two starts in one millisecond differ.
const INCARNATION_RANDOM_BITS: u32 = 10;
/// Divisor of the memory of the process that gives what is kept of requests with large bodies.
const KEPT_DIVISOR: usize = 8;
/// Longest wait for notices in one call to the cloud API.
const NOTICE_WAIT: Duration = Duration::from_secs(20);

/// Adds every service to the kernel.
pub(super) async fn build(node: &Node, log: &Logger) -> Result<Arc<Kernel>, Failure> {
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
    let engine: Arc<dyn Engines> = Arc::new(Engine::new(timeout));
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
        plain: Arc::new(Plain::new(conf::Limits::default().max_answer_bytes)),
    };
    let settings =
        Settings { max_kept_bytes: node.resources.memory / KEPT_DIVISOR, ..Settings::default() };
    let requests = Requests::new(to, settings, &metrics, clock, named(Requests::NAME));
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
