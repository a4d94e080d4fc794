//! Drives requests: ledger decisions against peers, platform and backend servers.
//!
//! [`Requests`] is the service. A request that arrives at its owner gets a [`Record`] and a task
//! that drives it; a request that arrives elsewhere is passed to its home. Callers read the answer
//! of a request through [`Requests::read`], wherever it is.

mod admit;
mod claim;
mod dispatch;
mod drive;
mod leave;
mod peers;
mod read;
mod record;
mod replicate;
mod requests;
mod submit;

pub use record::{Note, Record, View};
pub use requests::{Requests, Services, Settings};
pub use submit::Holder;
