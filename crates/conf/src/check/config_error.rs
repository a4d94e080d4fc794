//! A mistake in a settings file, and a list of them.

use kernel::Name;
use std::fmt;

/// One mistake: where it stands, what was expected and what was found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigError {
    /// File, as named by the operator.
    pub file: Name,
    /// Line from 1; 0 when the mistake has no line of its own.
    pub line: usize,
    /// Key, empty for a mistake about the file.
    pub key: String,
    /// What was expected, with its unit.
    pub expected: String,
    /// What was found.
    pub found: String,
}

impl ConfigError {
    /// Creates a mistake.
    pub fn new(file: &Name, line: usize, key: &str, expected: &str, found: &str) -> Self {
        Self {
            file: file.clone(),
            line,
            key: key.to_owned(),
            expected: expected.to_owned(),
            found: found.to_owned(),
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, line, key, expected, found } = self;
        write!(f, "{file}:{line}: {key}: expected {expected}, found {found:?}")
    }
}

/// Every mistake that was found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// Adds a mistake.
    pub fn push(&mut self, error: ConfigError) {
        self.0.push(error);
    }

    /// Lists the mistakes.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigError> {
        self.0.iter()
    }

    /// Returns the value when there is no mistake.
    ///
    /// # Errors
    /// The mistakes, when there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, ConfigErrors> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.0 {
            writeln!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}
