//! Carries out what the ledger decides: sends messages, claims, dispatches, tells callers.
//!
//! [`Requests`] is the service. Its [`ledger::RequestTable`] decides; everything here is input and
//! output.
//! Callers read the answer of a request through [`Requests::read`], wherever it is.

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
pub use record::{Note, View};
pub use requests::{Requests, Services, Settings};
