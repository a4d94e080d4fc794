//! Requests and replies between entries as plain Rust types.

use arcstr::ArcStr;
use kernel::{Failure, Key, NodeId};
use ledger::{AnswerPart, Message, MessageReply};
use std::future::Future;
use std::pin::Pin;

/// A message from one entry to another.
#[derive(Clone, Debug)]
pub enum Request {
    /// A message of the membership protocol.
    Gossip(member::Message),
    /// A message about the record of a request.
    Record(Message),
    /// Reads the answer of a request from a chunk on; waits for the next one if there is none yet.
    Read {
        /// Key of the request.
        key: Key,
        /// Number of the first chunk to return.
        from: usize,
        /// Longest wait for a chunk or the ending, in milliseconds.
        wait_ms: u64,
        /// Whether the sender could not reach the owner.
        owner_silent: bool,
    },
    /// Fetches the active configuration.
    Configuration,
}

/// The reply to a [`Request`].
#[derive(Clone, Debug)]
pub enum Reply {
    /// The request was handled; there is nothing to return.
    Done,
    /// The request failed.
    Failure(Failure),
    /// Reply to [`Request::Gossip`].
    Gossip(member::Message),
    /// Reply to [`Request::Record`].
    Record(MessageReply),
    /// Reply to [`Request::Read`].
    Read(AnswerPart),
    /// Reply to [`Request::Configuration`].
    Configuration {
        /// Head of the configuration as JSON.
        head: ArcStr,
        /// Merged settings as INI text.
        body: ArcStr,
    },
}

/// Handles the requests of other entries.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request and returns its reply.
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>>;

    /// Whether `to` is the incarnation of this process, so that a message to it is handled here.
    fn is_this_incarnation(&self, to: &NodeId) -> bool;
}
