//! What operators configure for a whole deployment.

use crate::check::{ConfigError, ConfigErrors, Fields};
use crate::source::{Merged, Section};
use kernel::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The configuration of a deployment, merged and checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Name of the deployment.
    pub deployment: Name,
    /// Data centres by name.
    pub data_centres: BTreeMap<Name, DataCentre>,
    /// Organisations by name.
    pub organisations: BTreeMap<Name, Organisation>,
    /// Models by name.
    pub models: BTreeMap<Name, Model>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Bounds on what callers may send and hold.
    pub limits: Limits,
    /// Routing policy.
    pub policy: Policy,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct DataCentre {
    /// Region it belongs to.
    pub region: Name,
}

/// An organisation and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Requests a second over all entries.
    pub requests_per_s: f64,
    /// Requests that may come at once over all entries.
    pub burst: u64,
    /// Weight of its share when capacity is short.
    pub weight: f64,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Version of the weights.
    pub version: Name,
    /// Longest prompt and answer together, in tokens.
    pub context_tokens: u64,
    /// Whether its engines reject orders with an old fencing number.
    pub engines_check_fencing: bool,
}

/// What kind of backend server answers a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ServiceKind {
    /// A model engine.
    Model,
    /// A plain service.
    Plain,
}

/// Which requests go first when capacity is short.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Priority {
    /// Served when nothing else waits.
    Low,
    /// The usual priority.
    Normal,
    /// Served first.
    High,
}

/// A service that callers reach.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Kind of backend server.
    pub kind: ServiceKind,
    /// Model, for a service of kind model.
    pub model: Name,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Priority of its requests.
    pub priority: Priority,
    /// Time by which the answer must be complete.
    pub deadline: Duration,
    /// Target for the first token, or for the whole answer of a plain service.
    pub first_token: Duration,
    /// Target for the time between two tokens.
    pub between_tokens: Duration,
    /// Longest answer in tokens.
    pub max_tokens: u64,
}

/// Bounds on what callers may send and hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest idempotency key, in bytes.
    pub max_key_bytes: usize,
    /// Largest answer kept for a caller that lost its connection, in bytes.
    pub max_answer_bytes: usize,
    /// Time that a finished answer is kept.
    pub answer_retention: Duration,
    /// Requests held by one entry at once.
    pub max_open_requests: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 256 << 10,
            max_key_bytes: 200,
            max_answer_bytes: 4 << 20,
            answer_retention: Duration::from_secs(120),
            max_open_requests: 4096,
        }
    }
}

/// Routing policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Share of an organisation's own requests that may be sent again.
    pub retry_share: f64,
    /// Time that callers may keep the list of entries.
    pub entries_valid: Duration,
    /// Share of its batch up to which a server is filled before another one is used.
    pub fill: f64,
    /// Tokens of prompt and answer from which a request goes to a server that is not reclaimed; 0
    /// for none.
    pub guard_tokens: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            retry_share: 0.1,
            entries_valid: Duration::from_secs(10),
            fill: 0.35,
            guard_tokens: 8_192,
        }
    }
}

impl Config {
    /// Reads and checks a merged configuration.
    ///
    /// # Errors
    /// Every mistake in it.
    pub fn read(merged: &Merged) -> Result<Self, ConfigErrors> {
        let mut errors = ConfigErrors::default();
        let mut config = Self::default();
        for (name, section) in &merged.sections {
            config.read_section(name, section, &mut errors);
        }
        config.check_whole(merged, &mut errors);
        errors.into_result(config)
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    fn read_section(&mut self, name: &str, section: &Section, errors: &mut ConfigErrors) {
        let (kind, label) = name.split_once(' ').unwrap_or((name, ""));
        let label = Name::from(label.trim());
        let labelled = ["data_centre", "organisation", "model", "service"].contains(&kind);
        if labelled == label.is_empty() {
            let expected = "a section such as [deployment], [limits], [policy] or [service NAME]";
            errors.push(ConfigError::new(&section.file, section.line, name, expected, name));
            return;
        }
        let fields = Fields::new(section, errors);
        match kind {
            "deployment" => self.deployment = read_deployment(fields),
            "data_centre" => drop(self.data_centres.insert(label, read_data_centre(fields))),
            "organisation" => drop(self.organisations.insert(label, read_organisation(fields))),
            "model" => drop(self.models.insert(label, read_model(fields))),
            "service" => drop(self.services.insert(label, read_service(fields))),
            "limits" => self.limits = read_limits(fields),
            "policy" => self.policy = read_policy(fields),
            _ => {
                let expected = "a section deployment, data_centre, organisation, model, service, limits or policy";
                errors.push(ConfigError::new(&section.file, section.line, name, expected, name));
            }
        }
    }

    fn check_whole(&self, merged: &Merged, errors: &mut ConfigErrors) {
        let file = merged.sections.values().next().map(|s| s.file.clone()).unwrap_or_default();
        let mut needed = |present: bool, section: &str| {
            if !present {
                errors.push(ConfigError::new(
                    &file,
                    0,
                    section,
                    "at least one such section",
                    "none",
                ));
            }
        };
        needed(merged.sections.contains_key("deployment"), "deployment");
        needed(!self.data_centres.is_empty(), "data_centre NAME");
        needed(!self.organisations.is_empty(), "organisation NAME");
        needed(!self.services.is_empty(), "service NAME");
        for (name, service) in &self.services {
            if service.kind == ServiceKind::Model && !self.models.contains_key(&service.model) {
                let Some(section) = merged.sections.get(&format!("service {name}")) else {
                    continue;
                };
                let line = section.values.get("model").map_or(section.line, |value| value.line);
                let expected = "the name of a model that has a section of its own";
                errors.push(ConfigError::new(
                    &section.file,
                    line,
                    "model",
                    expected,
                    &service.model,
                ));
            }
        }
    }
}

fn read_deployment(mut fields: Fields<'_>) -> Name {
    let name = fields.required("name", "the name of the deployment");
    fields.finish();
    name
}

fn read_data_centre(mut fields: Fields<'_>) -> DataCentre {
    let data_centre = DataCentre { region: fields.required("region", "the name of a region") };
    fields.finish();
    data_centre
}

fn read_organisation(mut fields: Fields<'_>) -> Organisation {
    let organisation = Organisation {
        requests_per_s: fields.number("requests_per_s", "requests a second", 100.0, 0.01..=1e6),
        burst: fields.count("burst", 200, 1..=1_000_000),
        weight: fields.number("weight", "shares", 1.0, 0.01..=1e3),
    };
    fields.finish();
    organisation
}

fn read_model(mut fields: Fields<'_>) -> Model {
    let model = Model {
        version: fields.required("version", "the version of the weights"),
        context_tokens: fields.count("context_tokens", 8192, 128..=10_000_000),
        engines_check_fencing: fields.flag("engines_check_fencing", false),
    };
    fields.finish();
    model
}

fn read_service(mut fields: Fields<'_>) -> Service {
    let kinds = [("model", ServiceKind::Model), ("plain", ServiceKind::Plain)];
    let priorities =
        [("low", Priority::Low), ("normal", Priority::Normal), ("high", Priority::High)];
    let kind = fields.choice("kind", &kinds, ServiceKind::Plain);
    let model = match kind {
        ServiceKind::Model => fields.required("model", "the name of a model"),
        ServiceKind::Plain => Name::default(),
    };
    let service = Service {
        kind,
        model,
        repeatable: fields.flag("repeatable", kind == ServiceKind::Model),
        priority: fields.choice("priority", &priorities, Priority::Normal),
        deadline: fields.duration("deadline", Duration::from_secs(60)),
        first_token: fields.duration("first_token", Duration::from_millis(350)),
        between_tokens: fields.duration("between_tokens", Duration::from_millis(40)),
        max_tokens: fields.count("max_tokens", 1024, 1..=1_000_000),
    };
    if service.first_token > service.deadline {
        fields.reject("first_token", "a duration of at most the deadline");
    }
    fields.finish();
    service
}

fn read_limits(mut fields: Fields<'_>) -> Limits {
    let default = Limits::default();
    let limits = Limits {
        max_body_bytes: fields.bytes("body", default.max_body_bytes),
        max_key_bytes: fields.bytes("key", default.max_key_bytes),
        max_answer_bytes: fields.bytes("answer", default.max_answer_bytes),
        answer_retention: fields.duration("keep", default.answer_retention),
        max_open_requests: fields.count("open", default.max_open_requests as u64, 1..=1_000_000)
            as usize,
    };
    fields.finish();
    limits
}

fn read_policy(mut fields: Fields<'_>) -> Policy {
    let default = Policy::default();
    let policy = Policy {
        retry_share: fields.number(
            "retry_share",
            "the share of own requests",
            default.retry_share,
            0.0..=1.0,
        ),
        entries_valid: fields.duration("entries_valid", default.entries_valid),
        fill: fields.number("fill", "the share of a batch", default.fill, 0.05..=1.0),
        guard_tokens: fields.count("guard_tokens", default.guard_tokens, 0..=100_000_000),
    };
    fields.finish();
    policy
}
