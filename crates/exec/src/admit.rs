//! Admission control: checks organisation limits and deadlines before a request is accepted.

use crate::requests::Requests;
use conf::{Service, ServiceKind};
use kernel::prelude::*;
use ledger::{Home, RequestSpec};
use rand::RngExt;
use route::Requirements;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Approximate number of prompt bytes per token.
const BYTES_PER_TOKEN: u64 = 4;
/// Ratio of the longest answer of a service (`max_tokens`) to a typical one.
const MAX_TO_TYPICAL_ANSWER: u64 = 4;
/// Number of leading body bytes that distinguish one conversation from another.
const PREFIX_HASH_BYTES: usize = 1024;

impl Requests {
    /// Admits a request that would start at this entry. A request that is already known was
    /// checked before, and one of another owner is checked by that owner.
    ///
    /// # Errors
    /// The same as [`Requests::admit`].
    pub(crate) fn admit_new(&self, spec: &RequestSpec) -> Result<(), Failure> {
        let owned = Home::parse(&spec.key.id).is_some_and(|home| home.owner == *self.me());
        let known = self.with_table(|table| table.spec(&spec.key).is_some());
        if owned && !known { self.admit(spec) } else { Ok(()) }
    }

    /// Checks a new request against the limit of its organisation and against its deadline.
    ///
    /// # Errors
    /// [`Code::OverLimit`] or [`Code::TooLate`], with the time after which the caller may retry.
    fn admit(&self, spec: &RequestSpec) -> Result<(), Failure> {
        let Ok(current) = self.services.configuration.current() else { return Ok(()) };
        let config = &current.config;
        let Some(service) = config.service(&spec.service) else { return Ok(()) };
        self.services.servers.set_policy(&config.policy);
        let organisation = &spec.key.organisation;
        if let Some(limit) = config.organisations.get(organisation) {
            self.services.servers.check_limit(organisation, limit)?;
        }
        self.services.servers.check_admission(&requirements(spec, service, spec.left_ms))
    }
}

/// Returns what a request requires of a backend server.
pub(crate) fn requirements<'a>(
    spec: &'a RequestSpec,
    service: &'a Service,
    left_ms: u64,
) -> Requirements<'a> {
    let prompt_tokens = spec.body.len() as u64 / BYTES_PER_TOKEN;
    Requirements {
        serves: match service.kind {
            ServiceKind::Model => &service.model,
            ServiceKind::Plain => &spec.service,
        },
        prefix: prefix_hash(spec, service),
        prefix_tokens: prompt_tokens,
        prompt_tokens,
        answer_tokens: service.max_tokens / MAX_TO_TYPICAL_ANSWER,
        first_token_ms: service.first_token.as_millis() as f64,
        between_tokens_ms: service.between_tokens.as_millis() as f64,
        left_ms: left_ms as f64,
        priority: service.priority,
        avoid: &[],
        random: rand::rng().random(),
    }
}

/// Returns a hash that the prompts of one conversation share: organisation, model and first bytes
/// of the body. Plain services have no prompt, so theirs is 0.
fn prefix_hash(spec: &RequestSpec, service: &Service) -> u64 {
    if service.kind == ServiceKind::Plain {
        return 0;
    }
    let start = &spec.body[..spec.body.len().min(PREFIX_HASH_BYTES)];
    let seed = xxh3_64(format!("{}/{}", spec.key.organisation, service.model).as_bytes());
    xxh3_64_with_seed(start, seed)
}
