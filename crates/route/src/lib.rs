//! Pure choice of a backend server.

mod choice;
mod demand;
mod policy;
mod pool;
mod predict;
mod prefixes;

pub use choice::{Choice, Reason, Wanted};
pub use policy::Policy;
pub use pool::{Pool, Report, Server};
pub use predict::Prediction;
