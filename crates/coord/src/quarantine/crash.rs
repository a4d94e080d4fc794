//! Crashes of servers and the marks that are suspect of them.

use crate::fingerprint::is_request_mark;
use crate::quarantine_news::SuspectNews;
use kernel::Millis;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Maximum number of parts of prompts that the news for another entry have for one crash.
const MAX_PARTS_TOLD: usize = 24;
/// Maximum number of requests that the news for another entry have for one crash.
const MAX_REQUESTS_TOLD: usize = 24;

/// A crash of a server.
#[derive(Clone, Debug, Default)]
pub(super) struct Crash {
    pub(super) at: Millis,
    pub(super) suspects: BTreeMap<u64, Suspect>,
}

impl Crash {
    /// Returns the suspects for the news, of those for which this is true the last ones.
    pub(super) fn suspects_to_tell(
        &self,
        is_told: impl Fn(u64, &Suspect) -> bool,
    ) -> BTreeMap<u64, SuspectNews> {
        let told = self.suspects.iter().filter(|(mark, suspect)| is_told(**mark, suspect));
        let mut told: Vec<(&u64, &Suspect)> = told.collect();
        told.sort_unstable_by_key(|(_, suspect)| Reverse(suspect.began_at));
        let (mut parts, mut requests) = (0, 0);
        told.retain(|(mark, _)| {
            let (count, most) = if is_request_mark(**mark) {
                (&mut requests, MAX_REQUESTS_TOLD)
            } else {
                (&mut parts, MAX_PARTS_TOLD)
            };
            *count += 1;
            *count <= most
        });
        let news = |(mark, suspect): (&u64, &Suspect)| {
            let answered_ms = self.at.saturating_sub(suspect.began_at);
            let Suspect { index, is_weak, .. } = *suspect;
            (*mark, SuspectNews { answered_ms, index, is_weak })
        };
        told.into_iter().map(news).collect()
    }
}

/// What crashes together say of a mark.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Accusation {
    /// Number of crashes under the mark.
    pub(super) crashes: usize,
    /// Longest time from a request with the mark to a crash, in milliseconds.
    pub(super) longest_ms: Millis,
}

impl Accusation {
    /// Notes the time from a request to a crash.
    pub(super) fn note_time(&mut self, to_crash_ms: Millis) {
        self.longest_ms = self.longest_ms.max(to_crash_ms);
    }
}

/// A mark of a request that a server had when it crashed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspect {
    /// Time at which the last such answer began, or at which the request was sent if it had not.
    pub(super) began_at: Millis,
    /// Index of the part in its prompt, or that of a whole request after all parts.
    pub(super) index: usize,
    /// Whether this entry had sent the request. Others tell of theirs themselves.
    pub(super) is_own: bool,
    /// Whether the server was not seen to work on it: the answer had not begun, or was complete.
    pub(super) is_weak: bool,
}
