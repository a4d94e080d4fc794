//! Crashes of servers and the marks that are suspect of them.

use crate::fingerprint::is_request_mark;
use crate::quarantine_news::SuspectNews;
use kernel::Millis;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Maximum number of requests that the news for another entry have for one crash.
const MAX_REQUESTS_TOLD: usize = 24;

/// A crash of a server.
#[derive(Clone, Debug, Default)]
pub(super) struct Crash {
    pub(super) at: Millis,
    pub(super) suspects: BTreeMap<u64, Suspect>,
}

impl Crash {
    /// Returns the suspects for the news: all parts, and the last requests that this entry had sent.
    pub(super) fn suspects_to_tell(&self) -> BTreeMap<u64, SuspectNews> {
        let is_request = |(mark, _): &(&u64, &Suspect)| is_request_mark(**mark);
        let (mut requests, parts): (Vec<_>, Vec<_>) = self.suspects.iter().partition(is_request);
        requests.retain(|(_, suspect)| suspect.is_own);
        requests.sort_unstable_by_key(|(_, suspect)| Reverse(suspect.began_at));
        requests.truncate(MAX_REQUESTS_TOLD);
        let news = |(mark, suspect): (&u64, &Suspect)| {
            let answered_ms = self.at.saturating_sub(suspect.began_at);
            (*mark, SuspectNews { answered_ms, index: suspect.index })
        };
        parts.into_iter().chain(requests).map(news).collect()
    }
}

/// A mark of a request that a server had, or had just begun to answer, when it crashed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspect {
    /// Time at which the last such answer began, or at which the request was sent.
    pub(super) began_at: Millis,
    /// Index of the part in its prompt, or that of a whole request after all parts.
    pub(super) index: usize,
    /// Whether this entry had sent the request. Others tell of theirs themselves.
    pub(super) is_own: bool,
}
