//! One version of the rules: services, routes, organisations and limits.

use crate::Route;
use kernel::Name;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Unit of a quota.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Unit {
    /// Requests.
    #[default]
    Requests,
    /// Tokens of the prompt and of the answer.
    Tokens,
}

/// Limit on the requests of an organisation at all entries together, as a token bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// Unit of the other fields.
    pub unit: Unit,
    /// Quota units per second.
    pub per_s: f64,
    /// Quota units that may be used at once.
    pub burst: f64,
    /// Cost of a request without a token count, when the unit is tokens.
    pub default_cost: f64,
}

impl Quota {
    /// Returns the cost of a request in quota units; `tokens` is its token count, if known.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens => tokens.map_or(self.default_cost, |tokens| tokens as f64),
        }
    }
}

/// An organisation, which requests belong to by the key that they carry.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, which is sent to backend servers.
    pub name: Name,
    /// Priority that overrides the priority of the route.
    pub priority: Option<u8>,
    /// Quota; `None` for no limit.
    pub quota: Option<Quota>,
}

/// Limits and prices for the automatic scaling of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Minimum number of servers in a data centre.
    pub min: u32,
    /// Maximum number of servers in a data centre.
    pub max: u32,
    /// Time from the order of a server until it accepts requests, in milliseconds.
    pub boot_ms: u64,
    /// Price of a reclaimable server as a fraction of the price of an on-demand server.
    pub reclaimable_price_ratio: f64,
    /// Price of an on-demand server, by data centre.
    pub prices: BTreeMap<Name, f64>,
}

/// A group of backend servers that serve the same kind of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Maximum number of connections from all entries to one server.
    pub max_connections: u32,
    /// Number of requests that an engine processes at the same time; `None` for a plain service.
    pub engine_slots: Option<u32>,
    /// Whether running requests can be moved from one engine to another.
    pub supports_moves: bool,
    /// Capacity of the KV cache of an engine, in tokens; 0 for a plain service.
    pub kv_capacity_tokens: u64,
    /// Scaling; `None` if the service is not scaled automatically.
    pub scaling: Option<Scaling>,
}

/// Limits on the connections and requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of the request line and header fields, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for the header fields to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// One version of the rules that operators configure.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Version; a higher version replaces a lower one.
    pub version: u64,
    /// Limits on the connections and requests of callers.
    pub limits: Limits,
    /// Whether requests must carry the key of an organisation, unless their route is public.
    pub requires_key: bool,
    services: HashMap<Name, Arc<Service>>,
    /// Routes by host, the longest prefix first.
    routes: HashMap<Name, Vec<Arc<Route>>>,
    /// Organisations by key.
    keys: HashMap<Name, Arc<Organisation>>,
    organisations: HashMap<Name, Arc<Organisation>>,
}

impl Rules {
    /// Creates rules without routes.
    pub fn new(version: u64, limits: Limits) -> Self {
        Self { version, limits, ..Self::default() }
    }

    /// Adds a route for requests to a host.
    pub fn with_route(mut self, host: Name, route: Route) -> Self {
        let routes = self.routes.entry(host).or_default();
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, Arc::new(route));
        self
    }

    /// Adds a service.
    pub fn with_service(mut self, service: Service) -> Self {
        self.services.insert(service.name.clone(), Arc::new(service));
        self
    }

    /// Adds an organisation with its keys; from then on, requests need a key.
    pub fn with_organisation(mut self, organisation: Organisation, keys: Vec<Name>) -> Self {
        let organisation = Arc::new(organisation);
        self.requires_key = true;
        self.keys.extend(keys.into_iter().map(|key| (key, organisation.clone())));
        self.organisations.insert(organisation.name.clone(), organisation);
        self
    }

    /// Returns the route of a host with the longest prefix that matches a path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the organisation that a key belongs to.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key)
    }

    /// Returns an organisation by its name.
    pub fn organisation_named(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.organisations.get(name)
    }

    /// Returns all organisations.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.values()
    }

    /// Returns a service by its name.
    pub fn service_named(&self, service: &str) -> Option<&Arc<Service>> {
        self.services.get(service)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}
