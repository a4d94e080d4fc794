//! Relays callers' requests to backend servers by operators' rules from a store.
//!
//! One entry is one thread: a [`Context`] holds what it believes, tasks keep it up to date, and each
//! request is admitted, sent and answered by what it says at that moment.

mod admit;
mod answer;
mod attempt;
mod body;
mod context;
mod deliver;
mod directory;
mod duty;
mod feed;
mod intake;
mod log;
mod message;
mod peers;
mod pool;
mod protocol;
mod run;
mod stream;
mod sync;

pub use attempt::{Class, Ended, Next, Trail, classify, next, without_budget};
pub use context::Context;
pub use feed::Feed;
pub use log::{LogQueue, queue};
pub use protocol::{HeaderNames, Protocol, ResolveQuery};
pub use run::{Parts, run, run_until};
pub use stream::Splitter;
