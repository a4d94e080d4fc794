//! Settings of an entry process: its name, addresses and platform.

use crate::check::{ConfigError, ConfigErrors, Fields};
use crate::resources::{Resources, read_resources};
use crate::source::{Merged, Section, Source};
use kernel::Name;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an entry process.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Name of the entry, unique in the deployment.
    pub name: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Region of the data centre.
    pub region: Name,
    /// Listen address for callers and operators.
    pub http: SocketAddr,
    /// Listen address for other entries.
    pub peer: SocketAddr,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Discovery and failure detection of other entries.
    pub membership: Membership,
    /// Resources of the VM that the process may use.
    pub resources: Resources,
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
    /// Timeout of a call to the platform.
    pub timeout: Duration,
}

/// Discovery and failure detection of other entries.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    /// Addresses of peers through which the entry joins.
    pub seeds: Vec<SocketAddr>,
    /// Interval between two probes sent by an entry.
    pub probe_interval: Duration,
    /// Time that a probed entry has to answer.
    pub probe_timeout: Duration,
    /// Time that a suspected entry has to refute the suspicion.
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

/// Names of the sections.
const SECTIONS: [&str; 4] = ["node", "platform", "membership", "resources"];

impl Node {
    /// Reads and validates the settings of an entry process.
    ///
    /// # Errors
    /// All errors in the settings.
    pub fn read(sources: &[Source]) -> Result<Self, ConfigErrors> {
        let merged = Merged::read(sources)?;
        let mut errors = ConfigErrors::default();
        let file = sources.first().map(|source| source.file.clone()).unwrap_or_default();
        let section = |name: &str| section_or_empty(&merged, name, &file);
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
        let resources = read_resources(Fields::new(&section("resources"), &mut errors));
        for (name, section) in &merged.sections {
            if !SECTIONS.contains(&name.as_str()) {
                let expected = format!("one of the sections {}", SECTIONS.join(", "));
                errors.push(ConfigError::new(&section.file, section.line, name, &expected, name));
            }
        }
        let node = Self { name, data_centre, region, http, peer, platform, membership, resources };
        errors.into_result(node)
    }
}

fn section_or_empty(merged: &Merged, name: &str, file: &Name) -> Section {
    let empty = || Section { file: file.clone(), ..Section::default() };
    merged.sections.get(name).cloned().unwrap_or_else(empty)
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
        fields.reject("probe_timeout", "a duration shorter than probe_every");
    }
    fields.finish();
    membership
}
