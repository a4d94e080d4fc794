//! Parses INI text and merges overlays into a base; each value keeps its file and line.

use crate::check::{ConfigError, ConfigErrors};
use ini::Ini;
use kernel::Name;
use std::collections::BTreeMap;

/// A settings file: its name for error messages, and its text.
#[derive(Clone, Debug)]
pub struct Source {
    /// Name of the file in error messages.
    pub file: Name,
    /// Text of the file.
    pub text: String,
}

impl Source {
    /// Creates a source from text.
    pub fn new(file: impl Into<Name>, text: impl Into<String>) -> Self {
        Self { file: file.into(), text: text.into() }
    }
}

/// A value with its file and line.
#[derive(Clone, Debug)]
pub(crate) struct Value {
    pub(crate) text: String,
    pub(crate) file: Name,
    pub(crate) line: usize,
}

/// A section with its values by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct Section {
    pub(crate) file: Name,
    pub(crate) line: usize,
    pub(crate) values: BTreeMap<String, Value>,
}

/// Settings merged from a base and its overlays, section by section and key by key.
#[derive(Clone, Debug, Default)]
pub struct Merged {
    pub(crate) sections: BTreeMap<String, Section>,
}

impl Merged {
    /// Merges sources; a key of a later source replaces the same key of an earlier one.
    ///
    /// # Errors
    /// All syntax errors, duplicate keys and keys outside of a section.
    pub fn read(sources: &[Source]) -> Result<Self, ConfigErrors> {
        let mut merged = Self::default();
        let mut errors = ConfigErrors::default();
        for source in sources {
            merged.merge(source, &mut errors);
        }
        errors.into_result(merged)
    }

    /// Renders the merged settings as INI text with sorted sections and keys.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (name, section) in &self.sections {
            text.push_str(&format!("[{name}]\n"));
            for (key, value) in &section.values {
                text.push_str(&format!("{key} = {}\n", value.text));
            }
            text.push('\n');
        }
        text
    }

    fn merge(&mut self, source: &Source, errors: &mut ConfigErrors) {
        let line_numbers = LineNumbers::scan(source, errors);
        let parsed = match Ini::load_from_str_noescape(&source.text) {
            Ok(parsed) => parsed,
            Err(e) => {
                errors.push(ConfigError::new(&source.file, e.line, "", "valid INI syntax", &e.msg));
                return;
            }
        };
        for (name, properties) in parsed.iter() {
            let Some(name) = name else {
                for (key, value) in properties.iter() {
                    let line = line_numbers.key("", key);
                    errors.push(ConfigError::new(
                        &source.file,
                        line,
                        key,
                        "a section header before the first key",
                        value,
                    ));
                }
                continue;
            };
            let name = normalize_name(name);
            let section = self.sections.entry(name.clone()).or_default();
            section.file = source.file.clone();
            section.line = line_numbers.section(&name);
            for (key, value) in properties.iter() {
                let line = line_numbers.key(&name, key);
                let value =
                    Value { text: value.trim().to_owned(), file: source.file.clone(), line };
                section.values.insert(key.to_owned(), value);
            }
        }
    }
}

/// Reduces each run of spaces in the name of a section to one, since spacing does not distinguish
/// sections.
fn normalize_name(name: &str) -> String {
    name.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Line numbers of sections and keys, which the INI library does not report.
#[derive(Default)]
struct LineNumbers {
    sections: BTreeMap<String, usize>,
    keys: BTreeMap<(String, String), usize>,
}

impl LineNumbers {
    fn scan(source: &Source, errors: &mut ConfigErrors) -> Self {
        let mut lines = Self::default();
        let mut section = String::new();
        for (index, line) in source.text.lines().enumerate() {
            let line = line.trim();
            let number = index + 1;
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                section = normalize_name(name);
                lines.sections.entry(section.clone()).or_insert(number);
            } else if let Some((key, value)) =
                line.split_once('=').filter(|_| !line.starts_with([';', '#']))
            {
                let path = (section.clone(), key.trim().to_owned());
                if let Some(first) = lines.keys.get(&path) {
                    let expected = format!(
                        "each key only once in its section; it is already set in line {first}"
                    );
                    errors.push(ConfigError::new(
                        &source.file,
                        number,
                        &path.1,
                        &expected,
                        value.trim(),
                    ));
                } else {
                    lines.keys.insert(path, number);
                }
            }
        }
        lines
    }

    fn section(&self, name: &str) -> usize {
        self.sections.get(name).copied().unwrap_or(0)
    }

    fn key(&self, section: &str, key: &str) -> usize {
        self.keys.get(&(section.to_owned(), key.to_owned())).copied().unwrap_or(0)
    }
}
