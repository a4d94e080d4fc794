//! One version of the operators' rules.

use crate::Route;
use kernel::Name;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Unit {
    /// Requests.
    #[default]
    Requests,
    /// Tokens of prompt and answer.
    Tokens,
}

/// What an organisation may ask of all entries together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: Unit,
    /// Units a second.
    pub per_s: f64,
    /// Units at once.
    pub burst: f64,
    /// Units of a request that states no tokens.
    pub default_cost: f64,
}

impl Quota {
    /// Returns what a request costs that states so many tokens, if any.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens => tokens.map_or(self.default_cost, |tokens| tokens as f64),
        }
    }
}

/// An organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name, which backend servers are told.
    pub name: Name,
    /// Rank that replaces that of the route.
    pub priority: Option<u8>,
    /// Its quota; none for no limit.
    pub quota: Option<Quota>,
}

/// How many servers of a service may be ordered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Least servers in a data centre.
    pub min: u32,
    /// Most servers in a data centre.
    pub max: u32,
    /// Time from an order until a server serves, in milliseconds.
    pub boot_ms: u64,
    /// Price of a reclaimable server, as a part of the price of another one.
    pub reclaimable_price_ratio: f64,
    /// Price of a server by data centre.
    pub prices: BTreeMap<Name, f64>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Connections that one server takes from all entries.
    pub max_connections: u32,
    /// Requests that an engine serves at once; none for a plain service.
    pub engine_slots: Option<u32>,
    /// Whether runs can be moved from one engine to another.
    pub supports_moves: bool,
    /// Tokens that an engine's memory holds; 0 for a plain service.
    pub kv_capacity_tokens: u64,
    /// How it is scaled, if it is.
    pub scaling: Option<Scaling>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes of the head of a request.
    pub max_header_bytes: usize,
    /// Bytes of the body of a request.
    pub max_body_bytes: usize,
    /// Time for the head to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may stay idle, in milliseconds.
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

/// One version of the operators' rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// Whether requests need the key of an organisation, unless their route is public.
    pub requires_key: bool,
    services: HashMap<Name, Arc<Service>>,
    routes: HashMap<Name, Vec<Arc<Route>>>,
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
        let at = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(at, Arc::new(route));
        self
    }

    /// Adds a service.
    pub fn with_service(mut self, service: Service) -> Self {
        self.services.insert(service.name.clone(), Arc::new(service));
        self
    }

    /// Adds an organisation and the keys that stand for it.
    pub fn with_organisation(mut self, organisation: Organisation, keys: Vec<Name>) -> Self {
        let organisation = Arc::new(organisation);
        self.requires_key = true;
        self.keys.extend(keys.into_iter().map(|key| (key, organisation.clone())));
        self.organisations.insert(organisation.name.clone(), organisation);
        self
    }

    /// Finds the route with the longest prefix of a path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Finds the organisation of a key.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key)
    }

    /// Finds an organisation by its name.
    pub fn organisation_named(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.organisations.get(name)
    }

    /// Finds a service.
    pub fn service_named(&self, service: &str) -> Option<&Arc<Service>> {
        self.services.get(service)
    }

    /// Lists the services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}
