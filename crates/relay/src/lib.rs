//! Relays callers' requests to backend servers by operators' rules from a store.
//!
//! One entry is one thread: a [`Hub`] holds what it believes, tasks keep it up to date, and each
//! request is admitted, sent and answered by what it says at that moment.

mod admit;
mod attempt;
mod body;
mod dialect;
mod directory;
mod dispatch;
mod duty;
mod feed;
mod hub;
mod log;
mod message;
mod peers;
mod pool;
mod reply;
mod run;
mod serve;
mod stream;
mod sync;

pub use attempt::{
    AttemptHistory, AttemptResult, NextStep, ResponseClass, classify, next_step,
    next_step_without_budget,
};
pub use dialect::{Demand, Dialect, Names};
pub use feed::Feed;
pub use hub::Hub;
pub use log::{LogQueue, queue};
pub use run::{Parts, run, run_until};
pub use stream::EventSplitter;
