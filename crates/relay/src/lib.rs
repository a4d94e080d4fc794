//! Relays requests of callers to backend servers, following the operators' rules from a store.
//!
//! One entry is one thread. A [`Context`] holds its shared state, background tasks keep it up to
//! date, and each request is admitted, sent and answered with the state at that moment.

mod admit;
mod answer;
mod attempt;
mod body;
mod change_log;
mod context;
mod deliver;
mod directory;
mod duty;
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
pub use change_log::ChangeLog;
pub use context::Context;
pub use log::{LogQueue, queue};
pub use protocol::{HeaderNames, Protocol, ResolveQuery};
pub use run::{Parts, run, run_until};
pub use stream::Splitter;
