//! Decisions about requests, without I/O: choice of a backend server, limits of organisations,
//! retry budgets and admission.

mod admission;
mod budget;
mod choice;
mod demand;
mod limit;
mod policy;
mod pool;
mod predict;
mod prefixes;

pub use admission::{AdmissionDecision, AdmissionPolicy};
pub use budget::{RetryBudgets, RetryDecision};
pub use choice::{Choice, ChoiceReason, Requirements};
pub use limit::{Limit, LimitDecision, Limits, OfferedLoad};
pub use policy::Policy;
pub use pool::{LoadReport, Pool, Server};
pub use predict::Prediction;
