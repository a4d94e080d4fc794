//! In-memory network of membership state machines with virtual time and a seeded random source.
//!
//! Used by tests and by `scripts/measure-membership`; not shipped.

mod check;
mod fault;
mod measure;
mod net;

pub use check::{Violation, disagreements};
pub use fault::{Effect, Fault, Phase};
pub use measure::{Figures, measure};
pub use net::{Net, NetOptions};
