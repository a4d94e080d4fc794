//! The accepted configuration: one head that only rises, and immutable bodies.

use crate::{Config, ConfigErrors, Merged, Source};
use kernel::Name;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// The head key: which configuration is in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Number of the accepted configuration; only ever rises.
    pub generation: u64,
    /// Digest of the body.
    pub digest: Name,
    /// Number that the writer drew, by which it recognises its own write.
    pub nonce: Name,
    /// Who wrote it.
    pub author: Name,
    /// Wall-clock milliseconds since 1970 when it was written.
    pub at_unix_ms: u64,
}

/// The body of a configuration: merged INI text under its digest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Body {
    /// Digest of the text, in hexadecimal.
    pub digest: Name,
    /// Merged INI text with sorted sections and keys.
    pub text: String,
}

impl Body {
    /// Creates the body of merged settings.
    pub fn new(merged: &Merged) -> Self {
        Self::from_text(merged.render())
    }

    /// Creates a body from rendered text.
    pub fn from_text(text: String) -> Self {
        let digest = Name::from(format!("{:032x}", xxh3_128(text.as_bytes())));
        Self { digest, text }
    }

    /// Reads and checks the configuration in this body.
    ///
    /// # Errors
    /// Every mistake in it.
    pub fn config(&self) -> Result<Config, ConfigErrors> {
        let merged = Merged::read(&[Source::new("accepted", self.text.clone())])?;
        Config::read(&merged)
    }
}
