//! Crashes of servers and the marks that are suspect of them.

use crate::fingerprint::is_request_mark;
use crate::quarantine_news::SuspectNews;
use kernel::Millis;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Maximum number of parts of prompts that the news for another entry have for one crash.
const MAX_PARTS_TOLD: usize = 64;
/// Maximum number of requests that the news for another entry have for one crash.
const MAX_REQUESTS_TOLD: usize = 24;

/// A crash of a server.
#[derive(Clone, Debug, Default)]
pub(super) struct Crash {
    pub(super) at: Millis,
    pub(super) suspects: BTreeMap<u64, Suspect>,
}

impl Crash {
    /// Returns the suspects for the news: the parts, and the requests that this entry had sent, the last ones of both.
    pub(super) fn suspects_to_tell(&self) -> BTreeMap<u64, SuspectNews> {
        let is_request = |(mark, _): &(&u64, &Suspect)| is_request_mark(**mark);
        let (mut requests, parts): (Vec<_>, Vec<_>) = self.suspects.iter().partition(is_request);
        requests.retain(|(_, suspect)| suspect.is_own);
        let told = [(parts, MAX_PARTS_TOLD), (requests, MAX_REQUESTS_TOLD)];
        told.into_iter().flat_map(|(suspects, most)| self.last_of(suspects, most)).collect()
    }

    /// Returns the last of these suspects for the news, at most this number.
    fn last_of(
        &self,
        mut suspects: Vec<(&u64, &Suspect)>,
        most: usize,
    ) -> impl Iterator<Item = (u64, SuspectNews)> {
        suspects.sort_unstable_by_key(|(_, suspect)| Reverse(suspect.began_at));
        suspects.truncate(most);
        let news = |(mark, suspect): (&u64, &Suspect)| {
            let answered_ms = self.at.saturating_sub(suspect.began_at);
            let Suspect { index, is_weak, .. } = *suspect;
            (*mark, SuspectNews { answered_ms, index, is_weak })
        };
        suspects.into_iter().map(news)
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
