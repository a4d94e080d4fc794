//! Settings: INI files, overlays, checks that report every mistake, and generations.
//!
//! [`Node`] tells one process its name, addresses and platform; [`Relay`] does so for an entry that
//! relays requests by rules from a store.
//! [`Config`] is what operators edit: a base file and a small overlay for a site, merged, checked
//! whole, and then accepted for the whole deployment.

mod check;
mod config;
mod generation;
mod node;
mod relay;
mod source;

pub use check::{ConfigError, ConfigErrors};
pub use config::{
    Config, DataCentre, Limits, Model, Organisation, Policy, Priority, Service, ServiceKind,
};
pub use generation::{Body, Head};
pub use node::{Membership, Node, Platform};
pub use relay::{Fleet, Promises, Relay, Services};
pub use source::{Merged, Source};
