//! In-memory network of membership machines with virtual time and a seeded random source.
//!
//! It is used by tests and by the measurement in `scripts/measure-membership`, and is not shipped.

mod check;
mod fault;
mod measure;
mod net;

pub use check::{Violation, disagreements};
pub use fault::{Effect, Fault, Phase};
pub use measure::{Figures, measure};
pub use net::{Net, Shape};
