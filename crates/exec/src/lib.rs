//! Executes the decisions of the ledger: peer messages, claims, dispatches and replies to callers.
//!
//! [`Requests`] is the service. Its [`ledger::RequestTable`] makes the decisions; this crate does
//! the I/O. Callers read an answer through [`Requests::read`], whichever entry holds it.

mod admit;
mod claim;
mod dispatch;
mod home;
mod peers;
mod perform;
mod read;
mod record;
mod requests;
mod submit;

pub use ledger::Holder;
pub use record::{Decision, RecordView};
pub use requests::{Requests, Services, Settings};
