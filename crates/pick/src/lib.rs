//! Selection of the backend server for a request, without I/O.
//!
//! The load of a server is derived from the requests that entries have open at it. Entries send
//! these counts to each other. Servers are not polled for their load, because every request
//! reaches them through an entry.

mod cache;
mod choose;
mod demand;
mod outcome;
mod peer_loads;
mod picker;
mod server;

pub use choose::{Choice, ChoiceReason, LatencyModel, Prompt, PromptPart, Requirements};
pub use demand::DemandTracker;
pub use outcome::Outcome;
pub use picker::Picker;
pub use server::{Load, Server, ServerInfo};
