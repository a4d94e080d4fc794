//! Limits of organisations over all entries, without a call for each request.
//!
//! Each entry holds a share of each organisation's rate. The share follows the demand: entries tell
//! each other the rate that they are asked for ([`Offered`], one row for each entry, carried by the
//! messages between entries every few seconds), and an entry's share is its part of the sum. An
//! entry that lacks the rows of some others takes an equal part. One that never heard a row applies
//! the whole limit by itself: it cannot know where the organisation's other requests go, and
//! refusing what is within the limit is worse.

use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// Time after which what another entry said is forgotten, in milliseconds.
const VALID_MS: Millis = 15_000;
/// Time over which the offered rate is averaged, in milliseconds.
const AVERAGE_MS: f64 = 5_000.0;
/// Part of a limit that is spread evenly, so that an entry can begin to serve an organisation.
const EVEN: f64 = 0.1;

/// What an organisation may send over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second.
    pub per_s: f64,
    /// Requests at once.
    pub burst: f64,
}

/// The rates that one entry is asked for; what entries tell each other.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OfferedLoad {
    /// Requests a second, by organisation.
    pub per_s: BTreeMap<Name, f64>,
}

/// Whether an organisation is within its limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitDecision {
    /// It is.
    Within,
    /// It is over it; it may come back after this time, in milliseconds.
    Exceeded(Millis),
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    offered: f64,
    at: Millis,
}

impl Bucket {
    /// Returns the offered rate, averaged up to now.
    fn offered_at(&self, now: Millis) -> f64 {
        let passed = now.saturating_sub(self.at) as f64;
        self.offered * (-passed / AVERAGE_MS).exp()
    }
}

/// The limits of all organisations at one entry.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    buckets: BTreeMap<Name, Bucket>,
    told: OfferedLoad,
    others: BTreeMap<Name, (OfferedLoad, Millis)>,
}

impl Limits {
    /// Takes in what another entry is asked for.
    pub fn record_offered(&mut self, entry: &Name, offered: OfferedLoad, now: Millis) {
        self.others.insert(entry.clone(), (offered, now));
    }

    /// Returns what this entry is asked for, to tell the others.
    ///
    /// Its own share follows what it told last and not what it knows since, so that all entries
    /// divide by the same sum.
    pub fn report_offered(&mut self, now: Millis) -> OfferedLoad {
        let rate = |(name, bucket): (&Name, &Bucket)| (name.clone(), bucket.offered_at(now));
        self.told = OfferedLoad { per_s: self.buckets.iter().map(rate).collect() };
        self.told.clone()
    }

    /// Counts a request, and decides whether it is within the limit, among `entries` entries.
    pub fn try_take(
        &mut self,
        organisation: &Name,
        limit: Limit,
        entries: u32,
        now: Millis,
    ) -> LimitDecision {
        let share = self.share(organisation, limit, entries, now);
        let burst = (limit.burst * share).max(1.0);
        let per_ms = limit.per_s * share / 1000.0;
        let new = Bucket { tokens: burst, offered: 0.0, at: now };
        let bucket = self.buckets.entry(organisation.clone()).or_insert(new);
        let passed = now.saturating_sub(bucket.at) as f64;
        bucket.tokens = (bucket.tokens + passed * per_ms).min(burst);
        bucket.offered = bucket.offered_at(now) + 1000.0 / AVERAGE_MS;
        bucket.at = now;
        if bucket.tokens < 1.0 {
            let wait_ms = (1.0 - bucket.tokens) / per_ms.max(1e-9);
            return LimitDecision::Exceeded(wait_ms.ceil().min(60_000.0) as Millis);
        }
        bucket.tokens -= 1.0;
        LimitDecision::Within
    }

    /// Returns this entry's part of a limit; the parts of all entries add up to at most one.
    fn share(&self, organisation: &Name, limit: Limit, entries: u32, now: Millis) -> f64 {
        if self.others.is_empty() {
            return 1.0;
        }
        let entries = f64::from(entries.max(1));
        let valid = |(_, at): &&(OfferedLoad, Millis)| now.saturating_sub(*at) <= VALID_MS;
        let heard: Vec<_> = self.others.values().filter(valid).collect();
        let unheard = entries - 1.0 - heard.len() as f64;
        if unheard > 0.0 {
            return 1.0 / entries;
        }
        let rate = |(offered, _): &&(OfferedLoad, Millis)| offered.per_s.get(organisation).copied();
        let others: f64 = heard.iter().filter_map(rate).sum();
        let mine = self.told.per_s.get(organisation).copied().unwrap_or_default();
        let even = EVEN * limit.per_s / entries;
        (mine + even) / (mine + others + even * entries)
    }
}
