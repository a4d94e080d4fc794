//! Formats of the platform that the relay depends on.

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use kernel::{Failure, Name};
use pick::{Prompt, ServerInfo};
use rules::Rules;
use std::net::SocketAddr;

/// Names of header fields between callers, entries and backend servers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identity of a request; servers echo it.
    pub request: HeaderName,
    /// Time that the sender will wait, in milliseconds.
    pub deadline: HeaderName,
    /// API key of the caller.
    pub key: HeaderName,
    /// Organisation of the caller, sent to servers.
    pub organisation: HeaderName,
    /// Incarnation of the server that may run the request; any other must refuse it.
    pub expected: HeaderName,
    /// Set by a server on a response to guarantee that it did not run the request.
    pub not_run: HeaderName,
    /// Identifies a response as made by a backend server.
    pub signature: HeaderName,
    /// Priority of a request at an engine.
    pub urgency: HeaderName,
    /// Address of an engine from which the KV cache of shared prompt parts is copied.
    pub copy_from: HeaderName,
    /// ID of the caller's request whose response began the stream that this request resumes.
    pub resumes: HeaderName,
    /// Location of the copied KV cache of a request that resumes at another engine.
    pub moved_from: HeaderName,
    /// Fields for servers that callers must not set.
    pub reserved: Vec<HeaderName>,
}

/// A query to the directory.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResolveQuery {
    /// Data centre of the caller.
    pub data_centre: Name,
}

/// Formats of a platform. An implementation only translates and makes no decisions.
pub trait Protocol {
    /// Returns the names of header fields.
    fn names(&self) -> &HeaderNames;

    /// Returns the key of the operators' rules in the store.
    fn rules_key(&self) -> &str;

    /// Returns the prefix of the servers' keys in the store.
    fn servers_prefix(&self) -> &str;

    /// Parses the operators' rules.
    ///
    /// # Errors
    /// [`kernel::Code::ConfigInvalid`] for rules that cannot be read.
    fn parse_rules(&self, bytes: &[u8]) -> Result<Rules, Failure>;

    /// Parses the registration that a server stored under a key.
    ///
    /// # Errors
    /// [`kernel::Code::MalformedBody`] for a registration that describes no usable server.
    fn parse_server(&self, key: &str, bytes: &[u8]) -> Result<ServerInfo, Failure>;

    /// Parses the description of the prompt in a request head, if there is one.
    fn parse_prompt(&self, headers: &HeaderMap) -> Option<Prompt>;

    /// Parses the limit that a server states in a response: the number of requests per second that
    /// it accepts from all entries together. `None` if it states no limit.
    ///
    /// # Errors
    /// [`kernel::Code::MalformedHeader`] for a limit that is not a number of at least 0.
    fn parse_server_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, Failure>;

    /// Parses the number of refusals in a second beyond which a server states that it falls over. `None` if
    /// it states nothing.
    ///
    /// # Errors
    /// [`kernel::Code::MalformedHeader`] for a value that is not a number of at least 0.
    fn parse_brittle(&self, headers: &HeaderMap) -> Result<Option<f64>, Failure>;

    /// Returns whether a server states in a response that it leaves.
    fn states_leaving(&self, headers: &HeaderMap) -> bool;

    /// Returns the target of a GET request that a server answers at once, and without a slot, for as long as it
    /// runs. With [`HeaderNames::expected`], another server that listens at its address refuses it.
    fn life_query(&self) -> PathAndQuery;

    /// Builds the call that stops a request and copies its KV cache to the engine at `to`. Returns
    /// the path to post to and the body.
    fn move_request(&self, request: &str, to: SocketAddr) -> (PathAndQuery, Vec<u8>);

    /// Parses the reply of the engine at `at` to [`Self::move_request`]. Returns the value of
    /// [`HeaderNames::moved_from`] for the resumed request, if that engine made a copy.
    fn parse_move_reply(&self, at: SocketAddr, reply: &[u8]) -> Option<HeaderValue>;

    /// Parses a query to the directory; `None` for another path.
    fn parse_resolve(&self, path: &str, query: &str) -> Option<ResolveQuery>;

    /// Builds the directory's reply.
    fn resolve_reply(&self, addresses: &[Name], ttl_s: f64) -> Vec<u8>;

    /// Returns whether a path is the one for readiness checks.
    fn is_ready_path(&self, path: &str) -> bool;
}
