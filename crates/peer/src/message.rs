//! The requests and replies between entries, as plain types.

use arcstr::ArcStr;
use kernel::{Failure, Key, NodeId};
use ledger::{AnswerPart, Message, MessageReply};
use std::future::Future;
use std::pin::Pin;

/// A message from one entry to another.
#[derive(Clone, Debug)]
pub enum Request {
    /// Membership news.
    Gossip(member::Message),
    /// A message about a request.
    Record(Message),
    /// Read the answer from a chunk on; waits a while for the next one.
    Read {
        /// Identity of the request.
        key: Key,
        /// Number of the first chunk wanted.
        from: usize,
        /// Milliseconds to wait for a chunk or the ending.
        wait_ms: u64,
        /// Whether the sender could not reach the owner.
        owner_silent: bool,
    },
    /// Send the configuration in force.
    Configuration,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug)]
pub enum Reply {
    /// Done, nothing to say.
    Done,
    /// It failed.
    Failure(Failure),
    /// To [`Request::Gossip`].
    Gossip(member::Message),
    /// To [`Request::Record`].
    Record(MessageReply),
    /// To [`Request::Read`].
    Read(AnswerPart),
    /// To [`Request::Configuration`].
    Configuration {
        /// JSON of the head.
        head: ArcStr,
        /// Merged INI text.
        body: ArcStr,
    },
}

/// Answers the requests of other entries.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>>;

    /// Tells whether a message to this run is meant for this process.
    fn is_me(&self, to: &NodeId) -> bool;
}
