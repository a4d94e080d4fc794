//! Accepted configuration: acceptance by compare-and-swap, and dissemination.

mod accept;
mod configuration;
mod keys;

pub use accept::{Accepted, Offer};
pub use configuration::{Configuration, InForce};
