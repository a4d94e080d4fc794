//! Typed access to the keys of a section, with an error for each invalid value.

use crate::check::{ConfigError, ConfigErrors};
use crate::source::{Section, Value};
use kernel::Name;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Reads the values of a section and collects the errors.
pub(crate) struct Fields<'a> {
    section: &'a Section,
    errors: &'a mut ConfigErrors,
    known_keys: BTreeSet<&'static str>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(section: &'a Section, errors: &'a mut ConfigErrors) -> Self {
        Self { section, errors, known_keys: BTreeSet::new() }
    }

    /// Reads a text; returns the default if the key is not set.
    pub(crate) fn text(&mut self, key: &'static str, default: &str) -> Name {
        self.value(key).map_or_else(|| Name::from(default), |value| Name::from(value.text.as_str()))
    }

    /// Reads a text that must be set and not empty.
    pub(crate) fn required(&mut self, key: &'static str, expected: &str) -> Name {
        match self.value(key) {
            Some(value) if !value.text.is_empty() => Name::from(value.text.as_str()),
            Some(value) => self.record_invalid(key, expected, &value, Name::default()),
            None => self.record_missing(key, expected, Name::default()),
        }
    }

    /// Reads a boolean, written as `yes` or `no`.
    pub(crate) fn flag(&mut self, key: &'static str, default: bool) -> bool {
        self.parse(key, "yes or no", default, |text| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })
    }

    /// Reads one of the given choices and returns its value.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        key: &'static str,
        choices: &[(&str, T)],
        default: T,
    ) -> T {
        let names: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        let expected = format!("one of {}", names.join(", "));
        self.parse(key, &expected, default, |text| {
            choices.iter().find(|(word, _)| *word == text).map(|(_, value)| *value)
        })
    }

    /// Reads a whole number in the given range.
    pub(crate) fn count(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.parse(key, &expected, default, |text| text.parse().ok().filter(|n| range.contains(n)))
    }

    /// Reads a whole number in the given range, which may be left out.
    pub(crate) fn optional_count(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.parse(key, &expected, None, |text| {
            text.parse().ok().filter(|n| range.contains(n)).map(Some)
        })
    }

    /// Reads a number in the given range; `unit` describes it in the error.
    pub(crate) fn number(
        &mut self,
        key: &'static str,
        unit: &str,
        default: f64,
        range: RangeInclusive<f64>,
    ) -> f64 {
        let expected = format!("a number from {} to {} ({unit})", range.start(), range.end());
        self.parse(key, &expected, default, |text| text.parse().ok().filter(|n| range.contains(n)))
    }

    /// Reads a duration with its unit, such as `350ms` or `16s`.
    pub(crate) fn duration(&mut self, key: &'static str, default: Duration) -> Duration {
        self.parse(key, "a duration with its unit, such as 350ms or 16s", default, |text| {
            humantime::parse_duration(text).ok()
        })
    }

    /// Reads a size in bytes with its unit, such as `256KiB`.
    pub(crate) fn bytes(&mut self, key: &'static str, default: usize) -> usize {
        self.parse(key, "a size with its unit, such as 256KiB or 4MiB", default, parse_bytes)
    }

    /// Reads an address that must be set.
    pub(crate) fn address(&mut self, key: &'static str) -> SocketAddr {
        let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
        let expected = "an IP address and a port, such as 127.0.0.1:7101";
        if !self.section.values.contains_key(key) {
            self.known_keys.insert(key);
            return self.record_missing(key, expected, fallback);
        }
        self.parse(key, expected, fallback, |text| text.parse().ok())
    }

    /// Reads a list of addresses separated by commas.
    pub(crate) fn addresses(&mut self, key: &'static str) -> Vec<SocketAddr> {
        self.parse(key, "IP addresses with ports, separated by commas", Vec::new(), |text| {
            let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
            parts.map(|part| part.parse().ok()).collect()
        })
    }

    /// Records an error for a value that is well formed but not valid.
    pub(crate) fn reject(&mut self, key: &'static str, expected: &str) {
        let value = self.value(key);
        match value {
            Some(value) => self.record_invalid(key, expected, &value, ()),
            None => self.record_missing(key, expected, ()),
        }
    }

    /// Records an error for each key of the section that was not read.
    pub(crate) fn finish(self) {
        for (key, value) in &self.section.values {
            if !self.known_keys.contains(key.as_str()) {
                let known: Vec<&str> = self.known_keys.iter().copied().collect();
                let expected = format!("one of the keys {}", known.join(", "));
                self.errors.push(ConfigError::new(
                    &value.file,
                    value.line,
                    key,
                    &expected,
                    &value.text,
                ));
            }
        }
    }

    fn value(&mut self, key: &'static str) -> Option<Value> {
        self.known_keys.insert(key);
        self.section.values.get(key).cloned()
    }

    fn parse<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        default: T,
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        let Some(value) = self.value(key) else { return default };
        match parse(&value.text) {
            Some(parsed) => parsed,
            None => self.record_invalid(key, expected, &value, default),
        }
    }

    fn record_invalid<T>(&mut self, key: &str, expected: &str, value: &Value, fallback: T) -> T {
        self.errors.push(ConfigError::new(&value.file, value.line, key, expected, &value.text));
        fallback
    }

    fn record_missing<T>(&mut self, key: &str, expected: &str, fallback: T) -> T {
        let Section { file, line, .. } = self.section;
        self.errors.push(ConfigError::new(file, *line, key, expected, "no value"));
        fallback
    }
}

fn parse_bytes(text: &str) -> Option<usize> {
    let units = [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("MB", 1_000_000), ("B", 1)];
    let (unit, size) = units.iter().find(|(unit, _)| text.ends_with(unit))?;
    let number: usize = text.strip_suffix(unit)?.trim().parse().ok()?;
    number.checked_mul(*size)
}
