//! Typed access to one section; each bad value becomes a mistake.

use crate::check::{ConfigError, ConfigErrors};
use crate::source::{Section, Value};
use kernel::Name;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Reads the fields of one section and notes the mistakes.
pub(crate) struct Fields<'a> {
    section: &'a Section,
    errors: &'a mut ConfigErrors,
    seen: BTreeSet<&'static str>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(section: &'a Section, errors: &'a mut ConfigErrors) -> Self {
        Self { section, errors, seen: BTreeSet::new() }
    }

    /// Reads a text, or the default.
    pub(crate) fn text(&mut self, key: &'static str, default: &str) -> Name {
        self.value(key).map_or_else(|| Name::from(default), |value| Name::from(value.text.as_str()))
    }

    /// Reads a text that must be there.
    pub(crate) fn required(&mut self, key: &'static str, expected: &str) -> Name {
        match self.value(key) {
            Some(value) if !value.text.is_empty() => Name::from(value.text.as_str()),
            Some(value) => self.wrong(key, expected, &value, Name::default()),
            None => self.missing(key, expected, Name::default()),
        }
    }

    /// Reads a yes or no.
    pub(crate) fn flag(&mut self, key: &'static str, default: bool) -> bool {
        self.parsed(key, "yes or no", default, |text| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })
    }

    /// Reads one of a few words.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        key: &'static str,
        words: &[(&str, T)],
        default: T,
    ) -> T {
        let names: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let expected = format!("one of {}", names.join(", "));
        self.parsed(key, &expected, default, |text| {
            words.iter().find(|(word, _)| *word == text).map(|(_, value)| *value)
        })
    }

    /// Reads a whole number within a range.
    pub(crate) fn count(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.parsed(key, &expected, default, |text| text.parse().ok().filter(|n| range.contains(n)))
    }

    /// Reads a number within a range; `unit` names it.
    pub(crate) fn number(
        &mut self,
        key: &'static str,
        unit: &str,
        default: f64,
        range: RangeInclusive<f64>,
    ) -> f64 {
        let expected = format!("a number of {unit} from {} to {}", range.start(), range.end());
        self.parsed(key, &expected, default, |text| text.parse().ok().filter(|n| range.contains(n)))
    }

    /// Reads a duration with its unit, such as `350ms` or `16s`.
    pub(crate) fn duration(&mut self, key: &'static str, default: Duration) -> Duration {
        self.parsed(key, "a duration with its unit, such as 350ms or 16s", default, |text| {
            humantime::parse_duration(text).ok()
        })
    }

    /// Reads a size in bytes with its unit, such as `256KiB`.
    pub(crate) fn bytes(&mut self, key: &'static str, default: usize) -> usize {
        self.parsed(key, "a size with its unit, such as 256KiB or 4MiB", default, parse_bytes)
    }

    /// Reads an address that must be there.
    pub(crate) fn address(&mut self, key: &'static str) -> SocketAddr {
        let none = SocketAddr::from(([127, 0, 0, 1], 0));
        let expected = "an IP number and a port, such as 127.0.0.1:7101";
        if !self.section.values.contains_key(key) {
            self.seen.insert(key);
            return self.missing(key, expected, none);
        }
        self.parsed(key, expected, none, |text| text.parse().ok())
    }

    /// Reads a list of addresses separated by commas.
    pub(crate) fn addresses(&mut self, key: &'static str) -> Vec<SocketAddr> {
        self.parsed(key, "IP numbers with ports, separated by commas", Vec::new(), |text| {
            let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
            parts.map(|part| part.parse().ok()).collect()
        })
    }

    /// Notes a mistake about a value that is well formed but wrong.
    pub(crate) fn reject(&mut self, key: &'static str, expected: &str) {
        let value = self.value(key);
        match value {
            Some(value) => self.wrong(key, expected, &value, ()),
            None => self.missing(key, expected, ()),
        }
    }

    /// Notes every key that nothing has read.
    pub(crate) fn finish(self) {
        for (key, value) in &self.section.values {
            if !self.seen.contains(key.as_str()) {
                let known: Vec<&str> = self.seen.iter().copied().collect();
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
        self.seen.insert(key);
        self.section.values.get(key).cloned()
    }

    fn parsed<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        default: T,
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        let Some(value) = self.value(key) else { return default };
        match parse(&value.text) {
            Some(parsed) => parsed,
            None => self.wrong(key, expected, &value, default),
        }
    }

    fn wrong<T>(&mut self, key: &str, expected: &str, value: &Value, instead: T) -> T {
        self.errors.push(ConfigError::new(&value.file, value.line, key, expected, &value.text));
        instead
    }

    fn missing<T>(&mut self, key: &str, expected: &str, instead: T) -> T {
        let Section { file, line, .. } = self.section;
        self.errors.push(ConfigError::new(file, *line, key, expected, "nothing"));
        instead
    }
}

fn parse_bytes(text: &str) -> Option<usize> {
    let units = [("KiB", 10), ("MiB", 20), ("GiB", 30), ("B", 0)];
    let (unit, shift) = units.iter().find(|(unit, _)| text.ends_with(unit))?;
    let number: usize = text.strip_suffix(unit)?.trim().parse().ok()?;
    number.checked_mul(1 << shift)
}
