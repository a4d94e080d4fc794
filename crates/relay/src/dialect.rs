//! What the relay needs to know of a platform's way to write things.

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use kernel::{Failure, Name};
use pick::{Prompt, ServerInfo};
use rules::Rules;
use std::net::SocketAddr;

/// Names of header fields between callers, entries and backend servers.
#[derive(Clone, Debug)]
pub struct Names {
    /// Identity of a request; servers echo it.
    pub request: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// Organisation of the caller, told to servers.
    pub organisation: HeaderName,
    /// Run of a server that alone may take the request.
    pub expected: HeaderName,
    /// Mark of an answer that the request did not run.
    pub not_run: HeaderName,
    /// Mark of an answer that a server made.
    pub seal: HeaderName,
    /// Rank of a request at an engine.
    pub urgency: HeaderName,
    /// Where the memory of a run is that goes on at another engine.
    pub moved_from: HeaderName,
    /// Fields that callers may not set for servers.
    pub reserved: Vec<HeaderName>,
}

/// A question to the directory.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Data centre of the caller.
    pub data_centre: Name,
}

/// A platform's way to write things; it translates and decides nothing.
pub trait Dialect {
    /// Returns the names of header fields.
    fn names(&self) -> &Names;

    /// Returns the key of the operators' rules in the store.
    fn rules_key(&self) -> &str;

    /// Returns the prefix of the servers' keys in the store.
    fn servers_prefix(&self) -> &str;

    /// Reads the operators' rules.
    ///
    /// # Errors
    /// [`kernel::Code::ConfigInvalid`] for rules that cannot be read.
    fn rules(&self, bytes: &[u8]) -> Result<Rules, Failure>;

    /// Reads what a server registered under a key.
    ///
    /// # Errors
    /// [`kernel::Code::MalformedBody`] for an entry that names no server to use.
    fn server(&self, key: &str, bytes: &[u8]) -> Result<ServerInfo, Failure>;

    /// Reads the prompt out of the head of a request, if it states one.
    fn prompt(&self, headers: &HeaderMap) -> Option<Prompt>;

    /// Writes the order to stop the run of a request and copy its memory to the engine at `to`:
    /// a path to post to, and a body.
    fn move_run(&self, request: &str, to: SocketAddr) -> (PathAndQuery, Vec<u8>);

    /// Reads the answer to such an order: the value of [`Names::moved_from`] with which the run
    /// goes on, if the copy was made by the engine at `at`.
    fn moved_run(&self, at: SocketAddr, answer: &[u8]) -> Option<HeaderValue>;

    /// Reads a question to the directory; none for another path.
    fn demand(&self, path: &str, query: &str) -> Option<Demand>;

    /// Writes the answer of the directory.
    fn addresses(&self, addresses: &[Name], ttl_s: f64) -> Vec<u8>;

    /// Tells whether a path asks whether the entry is ready.
    fn is_ready_path(&self, path: &str) -> bool;
}
