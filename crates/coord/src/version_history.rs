//! Software versions that served a service lately, for entries that have just started.

use crate::usage_step::CLOCK_TOLERANCE_MS;
use kernel::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which no stream of a version that has left is still open, in milliseconds.
pub const MIXED_VERSIONS_MS: u64 = 30_000;

/// Name that stands for versions which may have served unseen. A build that does not know it takes it for
/// one more version that has left.
const UNSEEN_VERSIONS: &str = "(unseen)";

/// The software versions of the servers of a service. It is kept in the store, as an entry that has just
/// started cannot see which servers have left.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionHistory {
    /// Time in Unix milliseconds at which a version was found to have left; `None` while it serves.
    versions: BTreeMap<Name, Option<u64>>,
}

impl VersionHistory {
    /// Creates the history of a service of which any version may have served until now.
    pub fn in_doubt(now_unix_ms: u64) -> Self {
        Self { versions: BTreeMap::from([(UNSEEN_VERSIONS.into(), Some(now_unix_ms))]) }
    }

    /// Whether a version that nobody saw may have begun a stream which is still open.
    pub fn is_in_doubt(&self, now_unix_ms: u64) -> bool {
        let left_at = self.versions.get(UNSEEN_VERSIONS);
        left_at.is_some_and(|at| at.is_none_or(|at| is_recent(at, now_unix_ms)))
    }

    /// Returns the history after the versions `present` were seen; `None` if it stays the same.
    pub fn after(&self, present: &BTreeSet<Name>, now_unix_ms: u64) -> Option<Self> {
        let mut versions = self.versions.clone();
        for (version, left_at) in &mut versions {
            if !present.contains(version) && left_at.is_none() {
                *left_at = Some(now_unix_ms);
            }
        }
        versions.retain(|_, left_at| left_at.is_none_or(|at| is_recent(at, now_unix_ms)));
        versions.extend(present.iter().map(|version| (version.clone(), None)));
        (versions != self.versions).then_some(Self { versions })
    }

    /// Returns the only version that can have begun a stream which is still open, if there is one.
    pub fn sole(&self, now_unix_ms: u64) -> Option<&Name> {
        let mut possible = self
            .versions
            .iter()
            .filter(|(_, left_at)| left_at.is_none_or(|at| is_recent(at, now_unix_ms)));
        let (version, _) = possible.next()?;
        possible.next().is_none().then_some(version)
    }
}

/// Whether streams of a version that left at `left_at` may still be open. The time is that of another VM.
fn is_recent(left_at: u64, now_unix_ms: u64) -> bool {
    now_unix_ms.saturating_sub(left_at) < MIXED_VERSIONS_MS + CLOCK_TOLERANCE_MS
}
