//! Keys in the key-value service.

/// The head: which configuration is in force.
pub(crate) const HEAD: &str = "fennelfold/config/head";

/// The key of a body; bodies are immutable.
pub(crate) fn body(digest: &str) -> String {
    format!("fennelfold/config/body/{digest}")
}

/// The prefix of all accepted heads.
pub(crate) const HISTORY: &str = "fennelfold/config/history/";

/// The key of one accepted head; the number is padded, so that keys sort by it.
pub(crate) fn history(generation: u64) -> String {
    format!("{HISTORY}{generation:012}")
}
