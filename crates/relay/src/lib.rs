//! Relays requests of callers to backend servers, following the operators' rules from a store.
//!
//! One entry is one thread. A [`Context`] holds its shared state, background tasks keep it up to
//! date, and each request is admitted, sent and answered with the state at the time of that step.

mod admit;
mod attempt;
mod attempt_guard;
mod body;
mod change_log;
mod client_sweep;
mod context;
mod directory;
mod dispatch;
mod duty;
mod end_check;
mod entry_headers;
mod events;
mod forward;
mod forwarded;
mod headers;
mod limits;
mod log;
mod message;
mod move_call;
mod origin_store;
mod origins;
mod path_probe;
mod paths;
mod peers;
mod planned_stop;
mod pool;
mod protocol;
mod quarantine;
mod quota_exchange;
mod readers;
mod registration;
mod reply;
mod request;
mod retries;
mod run;
mod serve;
mod server_check;
mod server_news;
mod share_claim;
mod shares;
mod shutdown;
mod start_kind;
mod stream;
mod supervise;
mod sync;
mod target;
mod upload;
mod usage_report;
mod version_check;

pub use attempt::{
    AttemptHistory, AttemptResult, NextStep, ResponseClass, classify, next_step,
    next_step_without_budget,
};
pub use change_log::{BatchLimit, ChangeLog, ListingStep, ReaderConfirmation};
pub use context::Context;
pub use events::EventSplitter;
pub use log::{LogQueue, queue};
pub use protocol::{HeaderNames, Protocol, ResolveQuery};
pub use run::{Parts, run, run_until};
pub use shutdown::{Shutdown, ShutdownStep};
pub use supervise::supervise;
