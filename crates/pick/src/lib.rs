//! Which backend server takes a request of an operator's route; pure.
//!
//! Load is known from the requests that entries have open, which they tell each other: all work
//! reaches the servers through entries, so that nothing has to be asked of the servers.

mod cache;
mod choose;
mod demand;
mod outcome;
mod picker;
mod server;

pub use choose::{Choice, ChoiceReason, LatencyModel, Prompt, PromptPart, Requirements};
pub use demand::DemandTracker;
pub use outcome::Outcome;
pub use picker::Picker;
pub use server::{Load, Server, ServerInfo};
