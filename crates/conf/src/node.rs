//! Settings of one process: its name, addresses and platform.

use crate::check::{ConfigError, ConfigErrors, Fields};
use crate::source::{Merged, Section, Source};
use kernel::Name;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one entry process.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Name, unique in the deployment.
    pub name: Name,
    /// Data centre that the VM stands in.
    pub data_centre: Name,
    /// Region that the data centre belongs to.
    pub region: Name,
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address for other entries.
    pub peer: SocketAddr,
    /// Where the platform's services are.
    pub platform: Platform,
    /// How other entries are found and watched.
    pub membership: Membership,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Key-value service.
    pub kv: SocketAddr,
    /// VM list.
    pub vm_list: SocketAddr,
    /// Cloud API.
    pub cloud: SocketAddr,
    /// Time after which a call to the platform counts as failed.
    pub timeout: Duration,
}

/// How other entries are found and watched.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    /// Peer addresses to join by.
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes by one entry.
    pub probe_interval: Duration,
    /// Time a probed entry may take to answer.
    pub probe_timeout: Duration,
    /// Time a suspected entry has to refute the suspicion.
    pub suspicion_timeout: Duration,
}

impl Default for Membership {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            probe_interval: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(100),
            suspicion_timeout: Duration::from_millis(800),
        }
    }
}

impl Node {
    /// Reads and checks the settings of a process.
    ///
    /// # Errors
    /// Every mistake in the settings.
    pub fn read(sources: &[Source]) -> Result<Self, ConfigErrors> {
        let merged = Merged::read(sources)?;
        let mut errors = ConfigErrors::default();
        let file = sources.first().map(|source| source.file.clone()).unwrap_or_default();
        let section = |name: &str| find(&merged, name, &file);
        let (node, platform, membership) =
            (section("node"), section("platform"), section("membership"));

        let mut fields = Fields::new(&node, &mut errors);
        let name = fields.required("name", "a name that is unique in the deployment");
        if name.chars().any(|c| !c.is_ascii_alphanumeric() && c != '-') {
            fields.reject("name", "a name of letters, digits and hyphens");
        }
        let data_centre = fields.required("data_centre", "the name of a data centre");
        let region = fields.text("region", "");
        let http = fields.address("http");
        let peer = fields.address("peer");
        fields.finish();

        let platform = read_platform(Fields::new(&platform, &mut errors));
        let membership = read_membership(Fields::new(&membership, &mut errors));
        for (name, section) in &merged.sections {
            if !["node", "platform", "membership"].contains(&name.as_str()) {
                let expected = "one of the sections node, platform, membership";
                errors.push(ConfigError::new(&section.file, section.line, name, expected, name));
            }
        }
        errors.into_result(Self { name, data_centre, region, http, peer, platform, membership })
    }
}

fn find(merged: &Merged, name: &str, file: &Name) -> Section {
    let absent = || Section { file: file.clone(), ..Section::default() };
    merged.sections.get(name).cloned().unwrap_or_else(absent)
}

fn read_platform(mut fields: Fields<'_>) -> Platform {
    let platform = Platform {
        kv: fields.address("kv"),
        vm_list: fields.address("vm_list"),
        cloud: fields.address("cloud"),
        timeout: fields.duration("timeout", Duration::from_secs(2)),
    };
    fields.finish();
    platform
}

fn read_membership(mut fields: Fields<'_>) -> Membership {
    let default = Membership::default();
    let membership = Membership {
        seeds: fields.addresses("seeds"),
        probe_interval: fields.duration("probe_every", default.probe_interval),
        probe_timeout: fields.duration("probe_timeout", default.probe_timeout),
        suspicion_timeout: fields.duration("suspect_for", default.suspicion_timeout),
    };
    if membership.probe_timeout >= membership.probe_interval {
        fields.reject("probe_timeout", "a duration below probe_every");
    }
    fields.finish();
    membership
}
