//! Validation that reports all errors of the settings at once.

mod config_error;
mod fields;

pub use config_error::{ConfigError, ConfigErrors};
pub(crate) use fields::Fields;
