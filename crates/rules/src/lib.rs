//! What operators ask for: routes, services, organisations and limits.
//!
//! The adapter of a platform decodes the operators' documents into these types.

mod route;
mod rules;

pub use route::{RetryPolicy, Route, WeightedService};
pub use rules::{Limits, Organisation, Quota, Rules, Scaling, Service, Unit};
