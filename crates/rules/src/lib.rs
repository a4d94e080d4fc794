//! Configuration by operators: routes, services, organisations and limits.
//!
//! The platform adapter decodes the configuration documents into these types.

mod route;
mod rules;

pub use route::{RetryPolicy, Route, WeightedService};
pub use rules::{Limits, Organisation, Quota, Rules, Scaling, Service, Unit};
