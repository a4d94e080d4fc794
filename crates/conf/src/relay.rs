//! Settings of an entry that relays requests according to the operators' rules in a store.

use crate::check::{ConfigError, ConfigErrors, Fields};
use crate::resources::{Resources, read_resources};
use crate::source::{Merged, Section, Source};
use kernel::Name;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an entry that relays requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    /// Name of the entry, unique in the deployment.
    pub name: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Listen address for requests of callers.
    pub front: SocketAddr,
    /// Listen address of the readiness endpoint.
    pub ready: SocketAddr,
    /// Listen address of the directory, which lists the entries for callers.
    pub directory: SocketAddr,
    /// Listen address for messages from other entries.
    pub peer: SocketAddr,
    /// Listen address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Whether the whole deployment starts for the first time, so that no entry ran before.
    pub first_start: bool,
    /// Addresses of the platform's services.
    pub services: Services,
    /// Guarantees of the deployment to its callers and operators.
    pub promises: Promises,
    /// Number of backend servers, if entries order them.
    pub fleet: Fleet,
    /// Resources of the VM that the process may use.
    pub resources: Resources,
}

/// Number of backend servers in a deployment whose entries order them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fleet {
    /// Target utilisation of a server, as a fraction of its time.
    pub used: f64,
    /// Minimum number of servers, as a fraction of the number found at the start.
    pub least: f64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self { used: 0.7, least: 0.5 }
    }
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Services {
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the cloud API; `None` if the entries have no duties that use it.
    pub cloud: Option<SocketAddr>,
}

/// Guarantees of the deployment to its callers and operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promises {
    /// Maximum time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// Maximum time for which an answer of the directory may be cached.
    pub directory_ttl: Duration,
    /// Maximum time until a new version of the rules is active on all entries.
    pub apply: Duration,
    /// Maximum time until a leaving server receives no new requests.
    pub drain: Duration,
    /// Whether a revoked key must stop working on every entry.
    pub strict_revoke: bool,
    /// Maximum time until a revoked key stops working.
    pub revoke: Duration,
    /// Minimum time between two leaders; the duration of the lease of the duties.
    pub lease: Duration,
    /// Length of a usage window; zero if usage is not reported.
    pub usage_window: Duration,
    /// Maximum time from the end of a usage window until its usage is reported.
    pub usage_due: Duration,
    /// Whether entries order backend servers.
    pub orders: bool,
    /// Number of retries allowed in a window, as a fraction of its requests.
    pub retry_ratio: f64,
    /// Length of the retry window.
    pub retry_window: Duration,
    /// Number of retries allowed in a window in addition to `retry_ratio`.
    pub retry_slack: f64,
    /// Length of the window in which quotas must hold.
    pub quota_window: Duration,
    /// Fraction by which the usage in a window may exceed the quota.
    pub quota_overshoot: f64,
    /// Number of quota units that may be used in a window in addition to `quota_overshoot`.
    pub quota_slack: f64,
}

impl Default for Promises {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            directory_ttl: Duration::from_secs(2),
            apply: Duration::from_secs(2),
            drain: Duration::from_secs(2),
            strict_revoke: false,
            revoke: Duration::from_secs(5),
            lease: Duration::from_secs(3),
            usage_window: Duration::ZERO,
            usage_due: Duration::from_secs(10),
            orders: false,
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_slack: 0.0,
            quota_window: Duration::from_secs(8),
            quota_overshoot: 0.0,
            quota_slack: 0.0,
        }
    }
}

/// Names of the sections.
const SECTIONS: [&str; 5] = ["entry", "services", "promises", "fleet", "resources"];

impl Relay {
    /// Reads and validates the settings.
    ///
    /// # Errors
    /// All errors in the settings.
    pub fn read(source: &Source) -> Result<Self, ConfigErrors> {
        let merged = Merged::read(std::slice::from_ref(source))?;
        let mut errors = ConfigErrors::default();
        let section = |name: &str| {
            let empty = || Section { file: source.file.clone(), ..Section::default() };
            merged.sections.get(name).cloned().unwrap_or_else(empty)
        };
        let (entry, services, promises, fleet) =
            (section("entry"), section("services"), section("promises"), section("fleet"));
        let services = read_services(Fields::new(&services, &mut errors));
        let promises = read_promises(Fields::new(&promises, &mut errors));
        let fleet = read_fleet(Fields::new(&fleet, &mut errors));
        let resources = read_resources(Fields::new(&section("resources"), &mut errors));
        let mut fields = Fields::new(&entry, &mut errors);
        let relay = Self {
            name: fields.required("name", "a name that is unique in the deployment"),
            data_centre: fields.required("data_centre", "the name of a data centre"),
            front: fields.address("front"),
            ready: fields.address("ready"),
            directory: fields.address("directory"),
            peer: fields.address("peer"),
            metrics: fields.address("metrics"),
            first_start: fields.flag("first_start", false),
            services,
            promises,
            fleet,
            resources,
        };
        fields.finish();
        for (name, section) in &merged.sections {
            if !SECTIONS.contains(&name.as_str()) {
                let expected = format!("one of the sections {}", SECTIONS.join(", "));
                errors.push(ConfigError::new(&section.file, section.line, name, &expected, name));
            }
        }
        errors.into_result(relay)
    }

    /// Returns the addresses at which the entry answers itself. Some deployments use one address for all.
    pub fn internal_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for address in [self.ready, self.directory, self.metrics] {
            if ![self.front, self.peer].contains(&address) && !addresses.contains(&address) {
                addresses.push(address);
            }
        }
        addresses
    }
}

fn read_services(mut fields: Fields<'_>) -> Services {
    let store = fields.address("store");
    let cloud = fields.addresses("cloud").first().copied();
    fields.finish();
    Services { store, cloud }
}

fn read_promises(mut fields: Fields<'_>) -> Promises {
    let default = Promises::default();
    let promises = Promises {
        grace: fields.duration("grace", default.grace),
        directory_ttl: fields.duration("directory_ttl", default.directory_ttl),
        apply: fields.duration("apply", default.apply),
        drain: fields.duration("drain", default.drain),
        strict_revoke: fields.flag("strict_revoke", default.strict_revoke),
        revoke: fields.duration("revoke", default.revoke),
        lease: fields.duration("lease", default.lease),
        usage_window: fields.duration("usage_window", default.usage_window),
        usage_due: fields.duration("usage_due", default.usage_due),
        orders: fields.flag("orders", default.orders),
        retry_ratio: fields.number(
            "retry_ratio",
            "retries per request",
            default.retry_ratio,
            0.0..=10.0,
        ),
        retry_window: fields.duration("retry_window", default.retry_window),
        retry_slack: fields.number("retry_slack", "retries", default.retry_slack, 0.0..=1e9),
        quota_window: fields.duration("quota_window", default.quota_window),
        quota_overshoot: fields.number(
            "quota_overshoot",
            "fraction of the quota",
            default.quota_overshoot,
            0.0..=10.0,
        ),
        quota_slack: fields.number("quota_slack", "quota units", default.quota_slack, 0.0..=1e12),
    };
    if promises.revoke.is_zero() {
        fields.reject("revoke", "a duration longer than zero");
    }
    fields.finish();
    promises
}

fn read_fleet(mut fields: Fields<'_>) -> Fleet {
    let default = Fleet::default();
    let fleet = Fleet {
        used: fields.number("used", "fraction of the time", default.used, 0.05..=10.0),
        least: fields.number("least", "fraction of the servers found", default.least, 0.0..=10.0),
    };
    fields.finish();
    fleet
}
