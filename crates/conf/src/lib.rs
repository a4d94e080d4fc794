//! Settings: INI files, overlays, checks that report every mistake, and generations.
//!
//! Two kinds of settings exist. [`Node`] tells one process its name, addresses and platform.
//! [`Config`] is what operators edit: a base file and a small overlay for a site, merged, checked
//! whole, and then accepted for the whole deployment.

mod check;
mod config;
mod generation;
mod node;
mod source;

pub use check::{Mistake, Mistakes};
pub use config::{
    Config, DataCentre, Limits, Model, Organisation, Policy, Priority, Service, ServiceKind,
};
pub use generation::{Body, Head};
pub use node::{Membership, Node, Platform};
pub use source::{Merged, Source};
