//! Errors in settings files.

use kernel::Name;
use std::fmt;

/// An error in a settings file, with its location and the expected and the actual value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigError {
    /// Name of the file, as given by the operator.
    pub file: Name,
    /// Line number, starting at 1; 0 when the error belongs to no line.
    pub line: usize,
    /// Key or section; empty when the error concerns the whole file.
    pub key: String,
    /// Description of the valid values, with the unit.
    pub expected: String,
    /// Value in the file.
    pub found: String,
}

impl ConfigError {
    /// Creates an error.
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

/// All errors found in the settings.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// Adds an error.
    pub fn push(&mut self, error: ConfigError) {
        self.0.push(error);
    }

    /// Returns an iterator over the errors.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigError> {
        self.0.iter()
    }

    /// Returns `value` if there are no errors.
    ///
    /// # Errors
    /// All errors that were added.
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
