//! Header fields of requests that an entry passes on to another one, and of the responses.

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use kernel::Name;

/// Version of the rules by which the sender admitted the request.
pub(crate) static RULES_VERSION: HeaderName = HeaderName::from_static("entry-rules-version");
/// Name of the entry that passes the request on.
pub(crate) static SENDER: HeaderName = HeaderName::from_static("entry-sender");
/// Service that the sender chose.
pub(crate) static SERVICE: HeaderName = HeaderName::from_static("entry-service");
/// Organisation of the caller.
pub(crate) static ORGANISATION: HeaderName = HeaderName::from_static("entry-organisation");
/// Number of servers that count as having run the request before. Receivers of earlier builds use up what is left of
/// the attempts, so that only one is.
pub(crate) static RUNS: HeaderName = HeaderName::from_static("entry-runs");
/// Number of servers that may have run the request before, from a sender that lets it run at one further server.
pub(crate) static FORMER_RUNS: HeaderName = HeaderName::from_static("entry-former-runs");
/// In a request, the version that began the stream; in a response, that of the server.
pub(crate) static SOFTWARE_VERSION: HeaderName = HeaderName::from_static("entry-software-version");
/// Server that responded.
pub(crate) static SERVER: HeaderName = HeaderName::from_static("entry-server");
/// Reason for which the receiver does not take the request over; it has not run there.
pub(crate) static DECLINED: HeaderName = HeaderName::from_static("entry-declined");
/// Result code of a request that the receiver took over and no server answered.
pub(crate) static CODE: HeaderName = HeaderName::from_static("entry-code");

static ALL: [&HeaderName; 10] = [
    &RULES_VERSION,
    &SENDER,
    &SERVICE,
    &ORGANISATION,
    &RUNS,
    &FORMER_RUNS,
    &SOFTWARE_VERSION,
    &SERVER,
    &DECLINED,
    &CODE,
];

/// Removes all these fields.
pub(crate) fn strip(headers: &mut HeaderMap) {
    for name in ALL {
        headers.remove(name);
    }
}

/// Returns the value of a field as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the value of a field that holds a number.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Returns the value of a field that holds a name.
pub(crate) fn name(headers: &HeaderMap, name: &HeaderName) -> Option<Name> {
    text(headers, name).map(Name::from)
}

/// Sets a field, if its value can be sent.
pub(crate) fn set(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
