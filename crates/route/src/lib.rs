//! Pure choice of a backend server.

mod choice;
mod pool;

pub use choice::{Choice, Reason, Wanted};
pub use pool::{Pool, Report, Server};
