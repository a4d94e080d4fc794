//! Configuration of a whole deployment, as operators write it.

use crate::check::{ConfigError, ConfigErrors, Fields};
use crate::source::{Merged, Section};
use kernel::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Configuration of a deployment, merged and validated.
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
    /// Limits for requests and stored answers.
    pub limits: Limits,
    /// Routing policy.
    pub policy: Policy,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct DataCentre {
    /// Region that the data centre belongs to.
    pub region: Name,
}

/// An organisation with its quota and weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Maximum rate of requests over all entries, in requests per second.
    pub requests_per_s: f64,
    /// Maximum number of requests in a burst over all entries.
    pub burst: u64,
    /// Weight by which capacity is divided among organisations when it is short.
    pub weight: f64,
}

/// A model served by engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Version of the weights.
    pub version: Name,
    /// Maximum length of prompt and answer together, in tokens.
    pub context_tokens: u64,
    /// Whether its engines reject orders with an outdated fencing token.
    pub engines_check_fencing: bool,
}

/// Kind of the backend servers of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ServiceKind {
    /// A model engine.
    Model,
    /// A plain service.
    Plain,
}

/// Priority of requests when capacity is short.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Priority {
    /// Served when no request of a higher priority waits.
    Low,
    /// Default priority.
    Normal,
    /// Served first.
    High,
}

/// A service that callers can request.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Kind of its backend servers.
    pub kind: ServiceKind,
    /// Name of the model; empty for a plain service.
    pub model: Name,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
    /// Priority of its requests.
    pub priority: Priority,
    /// Maximum time until the answer is complete.
    pub deadline: Duration,
    /// Target time to the first token, or to the complete answer of a plain service.
    pub first_token: Duration,
    /// Target time between two tokens.
    pub between_tokens: Duration,
    /// Maximum length of an answer, in tokens.
    pub max_tokens: u64,
}

/// Limits for requests and stored answers.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum length of an idempotency key, in bytes.
    pub max_key_bytes: usize,
    /// Maximum size of an answer stored for a caller that lost its connection, in bytes.
    pub max_answer_bytes: usize,
    /// Time for which a finished answer is stored.
    pub answer_retention: Duration,
    /// Maximum number of requests that an entry serves at the same time.
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
    /// Maximum number of retries, as a fraction of the organisation's own requests.
    pub retry_share: f64,
    /// Time for which callers may cache the list of entries.
    pub entries_valid: Duration,
    /// Fraction of its batch up to which a server is filled before the next one is used.
    pub fill: f64,
    /// Minimum number of prompt and answer tokens from which a request goes to a server that
    /// cannot be reclaimed; 0 treats all requests alike.
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
    /// Reads and validates a merged configuration.
    ///
    /// # Errors
    /// All errors in the configuration.
    pub fn read(merged: &Merged) -> Result<Self, ConfigErrors> {
        let mut errors = ConfigErrors::default();
        let mut config = Self::default();
        for (name, section) in &merged.sections {
            config.read_section(name, section, &mut errors);
        }
        config.check_consistency(merged, &mut errors);
        errors.into_result(config)
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    fn read_section(&mut self, name: &str, section: &Section, errors: &mut ConfigErrors) {
        let (kind, label) = name.split_once(' ').unwrap_or((name, ""));
        let label = Name::from(label.trim());
        let needs_label = ["data_centre", "organisation", "model", "service"].contains(&kind);
        if needs_label == label.is_empty() {
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

    fn check_consistency(&self, merged: &Merged, errors: &mut ConfigErrors) {
        let file = merged.sections.values().next().map(|s| s.file.clone()).unwrap_or_default();
        let mut require = |present: bool, section: &str| {
            if !present {
                errors.push(ConfigError::new(
                    &file,
                    0,
                    section,
                    "at least one section of this kind",
                    "none",
                ));
            }
        };
        require(merged.sections.contains_key("deployment"), "deployment");
        require(!self.data_centres.is_empty(), "data_centre NAME");
        require(!self.organisations.is_empty(), "organisation NAME");
        require(!self.services.is_empty(), "service NAME");
        for (name, service) in &self.services {
            if service.kind == ServiceKind::Model && !self.models.contains_key(&service.model) {
                let Some(section) = merged.sections.get(&format!("service {name}")) else {
                    continue;
                };
                let line = section.values.get("model").map_or(section.line, |value| value.line);
                let expected = "the name of a model with a [model NAME] section";
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
        requests_per_s: fields.number("requests_per_s", "requests per second", 100.0, 0.01..=1e6),
        burst: fields.count("burst", 200, 1..=1_000_000),
        weight: fields.number("weight", "weight", 1.0, 0.01..=1e3),
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
        fields.reject("first_token", "a duration not longer than the deadline");
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
            "fraction of own requests",
            default.retry_share,
            0.0..=1.0,
        ),
        entries_valid: fields.duration("entries_valid", default.entries_valid),
        fill: fields.number("fill", "fraction of a batch", default.fill, 0.05..=1.0),
        guard_tokens: fields.count("guard_tokens", default.guard_tokens, 0..=100_000_000),
    };
    fields.finish();
    policy
}
