//! Resources of its VM that the process of an entry may use.

use crate::check::Fields;

/// Resources of its VM that the process of an entry may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Resources {
    /// Memory, in bytes.
    pub memory: usize,
    /// Number of open file descriptors; `None` for the limit that the system sets for the process.
    pub descriptors: Option<usize>,
}

impl Default for Resources {
    fn default() -> Self {
        Self { memory: 160_000_000, descriptors: None }
    }
}

/// Smallest memory with which an entry starts, in bytes.
const MIN_MEMORY: usize = 16_000_000;
/// Numbers of descriptors with which an entry starts.
const DESCRIPTORS: std::ops::RangeInclusive<u64> = 64..=10_000_000;

pub(crate) fn read_resources(mut fields: Fields<'_>) -> Resources {
    let memory = fields.bytes("memory", Resources::default().memory);
    if memory < MIN_MEMORY {
        fields.reject("memory", "at least 16MB");
    }
    let descriptors = fields.optional_count("descriptors", DESCRIPTORS);
    fields.finish();
    Resources { memory, descriptors: descriptors.map(|count| count as usize) }
}
