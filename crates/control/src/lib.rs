//! Configuration of the entries: acceptance by compare-and-swap, and distribution to all entries.

mod accept;
mod acceptance;
mod config_sync;
mod configuration;
mod keys;
mod sync;

pub use accept::{Accepted, Proposal};
pub use acceptance::{
    Acceptance, Candidate, Event as AcceptanceEvent, Outcome, Step as AcceptanceStep, StoredHead,
};
pub use config_sync::{
    Availability, ConfigSync, Event as SyncEvent, Role, Step as SyncStep, SyncSettings, role,
};
pub use configuration::{ActiveConfig, Configuration};
