//! The life cycle of an entry: it starts, serves, leaves and stops, in this order.

mod cause;
mod peers;
mod services;

use cause::Cause;
use cluster::Cluster;
use conf::Node;
use control::Configuration;
use coord::ClientSettings;
use exec::Requests;
use front::Front;
use kernel::prelude::*;
use peer::Peers;
use peers::PeerHandler;
use servers::Servers;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use web::{ClientRegistry, ServerSettings};

/// Time kept back from a reclaim notice for the last bytes to leave.
const NOTICE_MARGIN: Duration = Duration::from_millis(300);
/// Time that open requests may take after SIGTERM.
const DRAIN_LIMIT: Duration = Duration::from_secs(120);

/// Copies of the body of a request: the record, the message that takes it to the witness, and its buffer.
const BODY_COPIES: usize = 3;

/// An entry in one state of its life cycle.
struct Entry<S> {
    kernel: Arc<Kernel>,
    cluster: Arc<Cluster>,
    configuration: Arc<Configuration>,
    requests: Arc<Requests>,
    servers: Arc<Servers>,
    log: Logger,
    state: S,
}

/// It listens and has its services, and answers nobody yet.
struct Starting {
    http: TcpListener,
    http_settings: ServerSettings,
    peer: std::net::TcpListener,
}

/// It serves callers and other entries.
struct Serving {
    tasks: JoinSet<()>,
}

/// It takes nothing new; its requests end or move.
struct Leaving {
    tasks: JoinSet<()>,
    cause: Cause,
}

/// Runs an entry until it is told to stop.
///
/// # Errors
/// [`Code::PortInUse`] when an address cannot be listened on.
pub(crate) async fn run(node: Node) -> Result<(), Failure> {
    let (log, _guard) = kernel::logger(&node.name);
    let entry = Entry::start(&node, log).await?;
    let entry = entry.serve()?;
    let entry = entry.leave().await;
    entry.stop().await;
    Ok(())
}

impl<S> Entry<S> {
    /// Moves on to another state, and returns the former one.
    fn change<T>(self, state: T) -> (Entry<T>, S) {
        let former = self.state;
        let entry = Entry {
            kernel: self.kernel,
            cluster: self.cluster,
            configuration: self.configuration,
            requests: self.requests,
            servers: self.servers,
            log: self.log,
            state,
        };
        (entry, former)
    }
}

impl Entry<Starting> {
    async fn start(node: &Node, log: Logger) -> Result<Self, Failure> {
        let http = web::bind(node.http).await?;
        let in_use = |e| Failure::new(Code::PortInUse, format!("{}: {e}", node.peer));
        let peer = std::net::TcpListener::bind(node.peer).map_err(in_use)?;
        let kernel = services::build(node, &log).await?;
        let conf::Resources { memory, descriptors } = node.resources;
        let http_settings = ServerSettings {
            memory,
            descriptors: descriptors.unwrap_or_else(kernel::descriptor_limit),
            body_copies: BODY_COPIES,
            ..ServerSettings::default()
        };
        Ok(Self {
            cluster: kernel.find(Cluster::NAME)?,
            configuration: kernel.find(Configuration::NAME)?,
            requests: kernel.find(Requests::NAME)?,
            servers: kernel.find(Servers::NAME)?,
            kernel,
            log,
            state: Starting { http, http_settings, peer },
        })
    }

    fn serve(self) -> Result<Entry<Serving>, Failure> {
        let (mut entry, Starting { http, http_settings, peer }) =
            self.change(Serving { tasks: JoinSet::new() });
        let kernel = entry.kernel.clone();
        let stop = || kernel.stop_signal();
        let handler = PeerHandler {
            cluster: entry.cluster.clone(),
            configuration: entry.configuration.clone(),
            requests: entry.requests.clone(),
        };
        let traffic: Arc<peer::Traffic> = kernel.find(peer::Traffic::NAME)?;
        let ServerSettings { memory, descriptors, .. } = http_settings;
        let senders = ClientRegistry::new(ClientSettings::for_messages(memory, descriptors));
        Peers::serve(peer, Arc::new(handler), (*traffic).clone(), senders, stop())?;
        let at = http.local_addr().map(|at| at.to_string()).unwrap_or_default();
        let clients = http_settings.clients();
        let front = Front::new(&kernel, clients.clone(), entry.log.new(o!("service" => "front")))?;
        let handler = move |req| front.clone().handle(req);

        let tasks = &mut entry.state.tasks;
        tasks.spawn(entry.cluster.clone().run(stop()));
        tasks.spawn(entry.configuration.clone().run(stop()));
        tasks.spawn(entry.servers.clone().run(stop()));
        tasks.spawn(entry.requests.clone().run(stop()));
        tasks.spawn(web::serve_clients(http, http_settings, clients, stop(), handler));
        info!(entry.log, "started"; "node" => entry.cluster.local_node().to_string(), "http" => at,
            "services" => format!("{:?}", kernel.names()));
        Ok(entry)
    }
}

impl Entry<Serving> {
    /// Waits for a reason to stop; from then on the entry is not offered and takes nothing new.
    async fn leave(self) -> Entry<Leaving> {
        let stop = self.kernel.stop_signal();
        let cause = cause::wait_for_cause(&self.servers, &self.cluster, stop).await;
        info!(self.log, "leaving"; "cause" => format!("{cause:?}"));
        self.requests.refuse_new();
        self.cluster.leave().await;
        let (mut entry, Serving { tasks }) = self.change(Leaving { tasks: JoinSet::new(), cause });
        entry.state.tasks = tasks;
        entry
    }
}

impl Entry<Leaving> {
    /// Lets requests end, or gives them away before the VM is reclaimed, and stops every service.
    async fn stop(mut self) {
        match self.state.cause {
            Cause::Signal | Cause::Superseded => {
                let _ = tokio::time::timeout(DRAIN_LIMIT, self.requests.wait_until_idle()).await;
            }
            Cause::Reclaim(left) => {
                let limit = left.saturating_sub(NOTICE_MARGIN);
                let _ = tokio::time::timeout(limit, self.requests.hand_over_all()).await;
            }
        }
        self.kernel.stop();
        while self.state.tasks.join_next().await.is_some() {}
        info!(self.log, "stopped");
    }
}
