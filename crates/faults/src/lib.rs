//! Puts every fault at every step of a request's life and checks the promises.
//!
//! A [`World`] runs several [`ledger::RequestTable`]s over an in-memory network with a key-value
//! service
//! and a backend server, all on a virtual clock. [`check`] sees only the [`Log`]: what callers and
//! the backend server saw.

mod check;
mod fault;
mod life;
mod log;
mod matrix;
mod world;

pub use check::{Promise, Violation, check};
pub use fault::{Fault, Mutation, Plan};
pub use life::{LIVES, Life};
pub use log::{Log, Seen, Word};
pub use matrix::{Cell, Report, pairs, run, singles, steps};
pub use world::World;

/// Virtual milliseconds.
pub type Time = u64;
