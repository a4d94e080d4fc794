//! Accepted configuration: acceptance by compare-and-swap, and dissemination.

mod accept;
mod acceptance;
mod configuration;
mod keys;

pub use accept::{Accepted, Offer};
pub use acceptance::{Acceptance, Candidate, Event, Next, ReadHead, Verdict};
pub use configuration::{Configuration, InForce};
