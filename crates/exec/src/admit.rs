//! Limits and admission: refuses a new request before it is accepted.

use crate::requests::Requests;
use conf::{Service, ServiceKind};
use kernel::prelude::*;
use ledger::{Home, RequestSpec};
use rand::RngExt;
use route::Wanted;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of a prompt that make about one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Longest answer of a service over its usual one.
const LONGEST_TO_USUAL: u64 = 4;
/// Bytes at the start of a body that tell one conversation from another.
const PREFIX_BYTES: usize = 1024;

impl Requests {
    /// Checks a request if it would begin here; one that is known already was checked before.
    ///
    /// # Errors
    /// As [`Requests::admit`].
    pub(crate) fn admit_new(&self, terms: &RequestSpec) -> Result<(), Failure> {
        let owned = Home::parse(&terms.key.id).is_some_and(|home| home.owner == *self.me());
        let known = self.with_table(|table| table.spec(&terms.key).is_some());
        if owned && !known { self.admit(terms) } else { Ok(()) }
    }

    /// Checks a new request against its organisation's limit and its own deadline.
    ///
    /// # Errors
    /// [`Code::OverLimit`] or [`Code::TooLate`], with the time after which to come back.
    fn admit(&self, terms: &RequestSpec) -> Result<(), Failure> {
        let Ok(current) = self.to.configuration.current() else { return Ok(()) };
        let config = &current.config;
        let Some(service) = config.service(&terms.service) else { return Ok(()) };
        self.to.servers.set_policy(&config.policy);
        let organisation = &terms.key.organisation;
        if let Some(limit) = config.organisations.get(organisation) {
            self.to.servers.within_limit(organisation, limit)?;
        }
        self.to.servers.admit(&wanted(terms, service, terms.left_ms))
    }
}

/// Says what a request needs of a server.
pub(crate) fn wanted<'a>(terms: &'a RequestSpec, service: &'a Service, left_ms: u64) -> Wanted<'a> {
    let prompt_tokens = terms.body.len() as u64 / BYTES_PER_TOKEN;
    Wanted {
        serves: match service.kind {
            ServiceKind::Model => &service.model,
            ServiceKind::Plain => &terms.service,
        },
        prefix: prefix(terms, service),
        prefix_tokens: prompt_tokens,
        prompt_tokens,
        answer_tokens: service.max_tokens / LONGEST_TO_USUAL,
        first_token_ms: service.first_token.as_millis() as f64,
        between_tokens_ms: service.between_tokens.as_millis() as f64,
        left_ms: left_ms as f64,
        priority: service.priority,
        avoid: &[],
        draw: rand::rng().random(),
    }
}

/// Hashes what the prompts of one conversation share: organisation, model and first bytes.
fn prefix(terms: &RequestSpec, service: &Service) -> u64 {
    if service.kind == ServiceKind::Plain {
        return 0;
    }
    let start = &terms.body[..terms.body.len().min(PREFIX_BYTES)];
    let seed = xxh3_64(format!("{}/{}", terms.key.organisation, service.model).as_bytes());
    xxh3_64_with_seed(start, seed)
}
