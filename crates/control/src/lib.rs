//! Accepted configuration: acceptance by compare-and-swap, and dissemination.

mod accept;
mod acceptance;
mod configuration;
mod follow;
mod keys;
mod upkeep;

pub use accept::{Accepted, Proposal};
pub use acceptance::{
    Acceptance, Candidate, Event as AcceptanceEvent, Next as AcceptanceNext, ReadHead, Verdict,
};
pub use configuration::{ActiveConfig, Configuration};
pub use upkeep::{Event as UpkeepEvent, Next as UpkeepNext, Role, Standing, Times, Upkeep, role};
