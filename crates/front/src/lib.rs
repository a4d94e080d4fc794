//! HTTP for callers and operators.

mod answer;
mod ask;
mod chat_body;
mod entries;
mod limit;
mod operator;
mod router;

pub use entries::{EntryList, ListedEntry};
pub use operator::{ConfigReport, DrainAsk, EntryStatus, Explanation, ServerStatus, Status};
pub use router::{Front, Ready};
