//! Stored form of the accepted configuration: a head with an increasing generation, and immutable
//! bodies.

use crate::{Config, ConfigErrors, Merged, Source};
use kernel::Name;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// Value of the head key, which identifies the active configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Generation of the accepted configuration; increases with each one.
    pub generation: u64,
    /// Digest of its body.
    pub digest: Name,
    /// Random number by which the writer recognises its own write.
    pub nonce: Name,
    /// Author of the configuration.
    pub author: Name,
    /// Time of the write, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// Body of a configuration: the merged INI text and its digest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Body {
    /// Digest of the text, in hexadecimal.
    pub digest: Name,
    /// Merged INI text with sorted sections and keys.
    pub text: String,
}

impl Body {
    /// Creates a body from merged settings.
    pub fn new(merged: &Merged) -> Self {
        Self::from_text(merged.render())
    }

    /// Creates a body from rendered text.
    pub fn from_text(text: String) -> Self {
        let digest = Name::from(format!("{:032x}", xxh3_128(text.as_bytes())));
        Self { digest, text }
    }

    /// Parses and validates the configuration in this body.
    ///
    /// # Errors
    /// All errors in the configuration.
    pub fn config(&self) -> Result<Config, ConfigErrors> {
        let merged = Merged::read(&[Source::new("accepted", self.text.clone())])?;
        Config::read(&merged)
    }
}
