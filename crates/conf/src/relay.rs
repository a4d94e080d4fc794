//! Settings of an entry that relays callers' requests by operators' rules from a store.

use crate::check::{ConfigError, ConfigErrors, Fields};
use crate::source::{Merged, Section, Source};
use kernel::Name;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an entry that relays requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    /// Name, unique in the deployment.
    pub name: Name,
    /// Data centre that the VM stands in.
    pub data_centre: Name,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address that tells whether the entry is ready.
    pub ready: SocketAddr,
    /// Address that tells callers which entries to use.
    pub directory: SocketAddr,
    /// Address for messages from other entries.
    pub peer: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Addresses of the platform's services.
    pub services: Services,
    /// What the deployment promises its callers and operators.
    pub promises: Promises,
    /// How many backend servers are held.
    pub fleet: Fleet,
}

/// How many backend servers are held, where entries order them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fleet {
    /// Part of a server's time that is to be used.
    pub target_load: f64,
    /// Least number of lasting servers while no more reclaimable ones can be had.
    pub on_demand: u32,
    /// Least part of the servers found at the start that is held.
    pub min_share: f64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self { target_load: 0.7, on_demand: 1, min_share: 0.5 }
    }
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Services {
    /// The key-value service.
    pub store: SocketAddr,
    /// The cloud API; none when the entries have no duties there.
    pub cloud: Option<SocketAddr>,
}

/// What the deployment promises its callers and operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promises {
    /// Time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// Longest time that an answer of the directory is kept.
    pub directory_ttl: Duration,
    /// Time in which a new version of the rules is in force everywhere.
    pub apply: Duration,
    /// Time after which a leaving server gets no new request.
    pub drain: Duration,
    /// Whether a key that was taken away must stop working on every entry.
    pub strict_revoke: bool,
    /// Time in which it must.
    pub revoke: Duration,
    /// Least time between two holders of a duty.
    pub lease: Duration,
    /// Length of a window of usage; zero when none is reported.
    pub usage_window: Duration,
    /// Time after its window in which usage is due.
    pub usage_due: Duration,
    /// Whether entries order backend servers.
    pub orders: bool,
    /// Part of the requests of a window that may be sent again.
    pub retry_ratio: f64,
    /// Length of that window.
    pub retry_window: Duration,
    /// Repeats in a window beyond that part.
    pub retry_slack: f64,
    /// Length of the window in which quotas are judged.
    pub quota_window: Duration,
    /// Part of a quota that may be spent beyond it.
    pub quota_overshoot: f64,
    /// Units that may be spent beyond any quota in a window.
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

/// The sections of the settings.
const SECTIONS: [&str; 4] = ["entry", "services", "promises", "fleet"];

impl Relay {
    /// Reads and checks the settings.
    ///
    /// # Errors
    /// Every mistake in the settings.
    pub fn read(source: &Source) -> Result<Self, ConfigErrors> {
        let merged = Merged::read(std::slice::from_ref(source))?;
        let mut errors = ConfigErrors::default();
        let section = |name: &str| {
            let absent = || Section { file: source.file.clone(), ..Section::default() };
            merged.sections.get(name).cloned().unwrap_or_else(absent)
        };
        let (entry, services, promises, fleet) =
            (section("entry"), section("services"), section("promises"), section("fleet"));
        let services = read_services(Fields::new(&services, &mut errors));
        let promises = read_promises(Fields::new(&promises, &mut errors));
        let fleet = read_fleet(Fields::new(&fleet, &mut errors));
        let mut fields = Fields::new(&entry, &mut errors);
        let relay = Self {
            name: fields.required("name", "a name that is unique in the deployment"),
            data_centre: fields.required("data_centre", "the name of a data centre"),
            front: fields.address("front"),
            ready: fields.address("ready"),
            directory: fields.address("directory"),
            peer: fields.address("peer"),
            metrics: fields.address("metrics"),
            services,
            promises,
            fleet,
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
            "repeats a request",
            default.retry_ratio,
            0.0..=10.0,
        ),
        retry_window: fields.duration("retry_window", default.retry_window),
        retry_slack: fields.number("retry_slack", "repeats", default.retry_slack, 0.0..=1e9),
        quota_window: fields.duration("quota_window", default.quota_window),
        quota_overshoot: fields.number(
            "quota_overshoot",
            "parts of the quota",
            default.quota_overshoot,
            0.0..=10.0,
        ),
        quota_slack: fields.number("quota_slack", "units", default.quota_slack, 0.0..=1e12),
    };
    if promises.revoke.is_zero() {
        fields.reject("revoke", "a duration above zero");
    }
    fields.finish();
    promises
}

fn read_fleet(mut fields: Fields<'_>) -> Fleet {
    let default = Fleet::default();
    let fleet = Fleet {
        target_load: fields.number("used", "parts of the time", default.target_load, 0.05..=10.0),
        on_demand: fields.count("lasting", u64::from(default.on_demand), 0..=10_000) as u32,
        min_share: fields.number(
            "least",
            "parts of the servers found",
            default.min_share,
            0.0..=10.0,
        ),
    };
    fields.finish();
    fleet
}
