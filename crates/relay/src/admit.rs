//! Admission of callers' requests by the rules in force.

use crate::context::Context;
use crate::protocol::Protocol;
use hyper::HeaderMap;
use hyper::header::HOST;
use kernel::prelude::*;
use pick::Prompt;
use rules::{Organisation, Route, Rules};
use std::rc::Rc;

/// Timeout of a request without a deadline header, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 60_000;

/// Rules and parameters that apply to an admitted request.
pub(crate) struct Admitted {
    pub(crate) rules: Rc<Rules>,
    pub(crate) route: Arc<Route>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) priority: u8,
    pub(crate) timeout_ms: u64,
}

/// Checks a request against the rules in force at this entry.
///
/// # Errors
/// Returns the result code with which the request is refused.
pub(crate) fn admit(
    cx: &Context,
    host: &str,
    path: &str,
    headers: &HeaderMap,
) -> Result<Admitted, Code> {
    let protocol: &dyn Protocol = &*cx.protocol;
    let names = protocol.names();
    let rules = cx.rules.borrow().clone();
    if cx.freshness.borrow().version().is_none() {
        return Err(Code::NoConfiguration);
    }
    let is_fresh = cx.is_fresh();
    // Rules that may be out of date may lack a route or a key, so they must refuse nothing for
    // good: the code for stale rules lets the caller retry.
    let stale_rules_or = |code| if is_fresh { code } else { Code::RulesStale };
    let route = rules.find_route(host, path).ok_or(stale_rules_or(Code::UnknownRoute))?.clone();
    let key = headers.get(&names.key).and_then(|key| key.to_str().ok());
    let mut organisation = None;
    if rules.requires_key && !route.public {
        if !is_fresh {
            return Err(Code::RulesStale);
        }
        let owner = key.and_then(|key| rules.organisation_by_key(key));
        organisation = Some(owner.ok_or(Code::UnknownCredential)?.clone());
    }
    if !headers.contains_key(&names.request) {
        return Err(Code::MalformedHeader);
    }
    let deadline = headers.get(&names.deadline).and_then(|value| value.to_str().ok());
    let timeout_ms = match deadline.map(str::parse::<f64>) {
        None => DEFAULT_TIMEOUT_MS,
        Some(Ok(ms)) if ms >= 0.0 => ms as u64,
        Some(_) => return Err(Code::MalformedHeader),
    };
    let priority = organisation.as_ref().and_then(|owner| owner.priority).unwrap_or(route.priority);
    let prompt = protocol.parse_prompt(headers);
    Ok(Admitted { rules, route, organisation, prompt, priority, timeout_ms })
}

/// Returns the host name of a request without the port.
pub(crate) fn request_host<'a>(uri: &'a hyper::Uri, headers: &'a HeaderMap) -> &'a str {
    let from_header = headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = from_header.or(uri.host()).unwrap_or_default();
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
