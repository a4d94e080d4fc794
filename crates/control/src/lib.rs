//! Accepted configuration: acceptance by compare-and-swap, and dissemination.

mod accept;
mod acceptance;
mod config_sync;
mod configuration;
mod keys;
mod sync;

pub use accept::{Accepted, Proposal};
pub use acceptance::{
    Acceptance, Candidate, Event as AcceptanceEvent, Next as AcceptanceNext, ReadHead, Verdict,
};
pub use config_sync::{
    Availability, ConfigSync, Event as SyncEvent, Next as SyncStep, Role, Times, role,
};
pub use configuration::{ActiveConfig, Configuration};
