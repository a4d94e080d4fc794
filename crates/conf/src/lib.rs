//! Settings in INI files: overlays, validation that reports all errors, and generations.
//!
//! [`Node`] holds the name, addresses and platform of an entry process; [`Relay`] holds them for an
//! entry that relays requests according to rules from a store.
//! [`Config`] is the configuration that operators edit: a base file and a small overlay for each
//! site. Both are merged and validated before the result is accepted for the whole deployment.

mod check;
mod config;
mod generation;
mod node;
mod relay;
mod resources;
mod source;

pub use check::{ConfigError, ConfigErrors};
pub use config::{
    Config, DataCentre, Limits, Model, Organisation, Policy, Priority, Service, ServiceKind,
};
pub use generation::{Body, Head};
pub use node::{Membership, Node, Platform};
pub use relay::{Fleet, Promises, Relay, Services};
pub use resources::Resources;
pub use source::{Merged, Source};
