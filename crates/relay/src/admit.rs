//! Whether a request is let in, by the rules in force.

use crate::dialect::Dialect;
use crate::hub::Hub;
use hyper::HeaderMap;
use hyper::header::HOST;
use kernel::prelude::*;
use pick::Prompt;
use rules::{Organisation, Route, Rules};
use std::rc::Rc;

/// Time that a caller waits who states none, in milliseconds.
const USUAL_WAIT_MS: u64 = 60_000;

/// What is known of a request that the rules allow.
pub(crate) struct Allowed {
    pub(crate) rules: Rc<Rules>,
    pub(crate) route: Arc<Route>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) rank: u8,
    pub(crate) wait_ms: u64,
}

/// Decides by the rules in force here whether a request may be served.
///
/// # Errors
/// The code that tells the caller why not.
pub(crate) fn allow(
    hub: &Hub,
    host: &str,
    path: &str,
    headers: &HeaderMap,
) -> Result<Allowed, Code> {
    let dialect: &dyn Dialect = &*hub.dialect;
    let names = dialect.names();
    let rules = hub.rules.borrow().clone();
    if hub.sight.borrow().version().is_none() {
        return Err(Code::NoConfiguration);
    }
    let is_fresh = hub.is_fresh();
    // Rules that may be out of date refuse nothing for good: they may lack a route or a key.
    let stale_or = |code| if is_fresh { code } else { Code::RulesStale };
    let route = rules.find_route(host, path).ok_or(stale_or(Code::UnknownRoute))?.clone();
    let key = headers.get(&names.key).and_then(|key| key.to_str().ok());
    let mut organisation = None;
    if rules.requires_key && !route.public {
        if !is_fresh {
            return Err(Code::RulesStale);
        }
        let holder = key.and_then(|key| rules.organisation_by_key(key));
        organisation = Some(holder.ok_or(Code::UnknownCredential)?.clone());
    }
    if !headers.contains_key(&names.request) {
        return Err(Code::MalformedHeader);
    }
    let stated = headers.get(&names.deadline).and_then(|value| value.to_str().ok());
    let wait_ms = match stated.map(str::parse::<f64>) {
        None => USUAL_WAIT_MS,
        Some(Ok(ms)) if ms >= 0.0 => ms as u64,
        Some(_) => return Err(Code::MalformedHeader),
    };
    let rank = organisation.as_ref().and_then(|holder| holder.priority).unwrap_or(route.priority);
    let prompt = dialect.prompt(headers);
    Ok(Allowed { rules, route, organisation, prompt, rank, wait_ms })
}

/// Returns the host that a request names, without its port.
pub(crate) fn host<'a>(uri: &'a hyper::Uri, headers: &'a HeaderMap) -> &'a str {
    let named = headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = named.or(uri.host()).unwrap_or_default();
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
