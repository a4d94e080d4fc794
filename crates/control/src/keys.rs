//! Keys in the key-value service.

/// Key of the head, which identifies the active configuration.
pub(crate) const HEAD: &str = "fennelfold/config/head";

/// Returns the key of a body; bodies are immutable.
pub(crate) fn body(digest: &str) -> String {
    format!("fennelfold/config/body/{digest}")
}

/// Prefix of the keys of all accepted heads.
pub(crate) const HISTORY: &str = "fennelfold/config/history/";

/// Returns the key of one accepted head; the generation is zero-padded so that keys sort by it.
pub(crate) fn history(generation: u64) -> String {
    format!("{HISTORY}{generation:012}")
}
