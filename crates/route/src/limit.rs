//! Rate limits of organisations over all entries, without a remote call for each request.
//!
//! Each entry enforces a share of each organisation's rate. Entries exchange the request rates that
//! callers offer to them ([`OfferedLoad`], one for each entry, sent with the messages between
//! entries every few seconds), and an entry's share is its part of the total rate. An entry that
//! lacks a current report of some other entry uses an equal share. An entry that never received a
//! report enforces the whole limit on its own: it does not know which entries the organisation's
//! other requests go to, and refusing requests within the limit would be worse than exceeding it.

use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// Time for which the offered load that another entry reported is used, in milliseconds.
const REPORT_VALID_MS: Millis = 15_000;
/// Time constant of the moving average of the offered rate, in milliseconds.
const RATE_AVERAGE_MS: f64 = 5_000.0;
/// Part of a limit that is divided evenly over the entries, so that each can start to serve an
/// organisation that has sent it no requests before.
const EVEN_SHARE: f64 = 0.1;

/// Rate limit of an organisation over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub per_s: f64,
    /// Maximum number of requests in a burst.
    pub burst: f64,
}

/// Request rates that callers offer to one entry, as entries report them to each other.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OfferedLoad {
    /// Requests per second, by organisation.
    pub per_s: BTreeMap<Name, f64>,
}

/// Whether an organisation is within its limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitDecision {
    /// The request is within the limit.
    Within,
    /// The request exceeds the limit; the caller may retry after this time, in milliseconds.
    Exceeded(Millis),
}

/// Token bucket of one organisation, with the average of its offered rate.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    offered_per_s: f64,
    updated_at: Millis,
}

impl Bucket {
    /// Returns the average offered rate in requests per second, decayed up to `now`.
    fn offered_at(&self, now: Millis) -> f64 {
        let elapsed_ms = now.saturating_sub(self.updated_at) as f64;
        self.offered_per_s * (-elapsed_ms / RATE_AVERAGE_MS).exp()
    }
}

/// Enforces the limits of all organisations at one entry.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    buckets: BTreeMap<Name, Bucket>,
    /// The load that this entry last reported to the others.
    reported: OfferedLoad,
    /// The last report of each other entry, with the time at which it arrived.
    reports: BTreeMap<Name, (OfferedLoad, Millis)>,
}

impl Limits {
    /// Records the offered load that another entry reported.
    pub fn record_offered(&mut self, entry: &Name, offered: OfferedLoad, now: Millis) {
        self.reports.insert(entry.clone(), (offered, now));
    }

    /// Returns the offered load of this entry, to be sent to the other entries.
    ///
    /// This entry computes its own share from the load that it last reported, not from its current
    /// one, so that all entries divide by the same total.
    pub fn report_offered(&mut self, now: Millis) -> OfferedLoad {
        let rate = |(name, bucket): (&Name, &Bucket)| (name.clone(), bucket.offered_at(now));
        self.reported = OfferedLoad { per_s: self.buckets.iter().map(rate).collect() };
        self.reported.clone()
    }

    /// Counts a request and returns whether it is within this entry's share of the limit, which
    /// `entries` entries enforce together.
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
        let full = Bucket { tokens: burst, offered_per_s: 0.0, updated_at: now };
        let bucket = self.buckets.entry(organisation.clone()).or_insert(full);
        let elapsed_ms = now.saturating_sub(bucket.updated_at) as f64;
        bucket.tokens = (bucket.tokens + elapsed_ms * per_ms).min(burst);
        bucket.offered_per_s = bucket.offered_at(now) + 1000.0 / RATE_AVERAGE_MS;
        bucket.updated_at = now;
        if bucket.tokens < 1.0 {
            let wait_ms = (1.0 - bucket.tokens) / per_ms.max(1e-9);
            return LimitDecision::Exceeded(wait_ms.ceil().min(60_000.0) as Millis);
        }
        bucket.tokens -= 1.0;
        LimitDecision::Within
    }

    /// Returns this entry's share of a limit. The shares of all entries add up to at most 1, except
    /// that an entry that never received a report uses 1.
    fn share(&self, organisation: &Name, limit: Limit, entries: u32, now: Millis) -> f64 {
        if self.reports.is_empty() {
            return 1.0;
        }
        let entries = f64::from(entries.max(1));
        let is_valid = |(_, received_at): &&(OfferedLoad, Millis)| {
            now.saturating_sub(*received_at) <= REPORT_VALID_MS
        };
        let valid: Vec<_> = self.reports.values().filter(is_valid).collect();
        let missing = entries - 1.0 - valid.len() as f64;
        if missing > 0.0 {
            return 1.0 / entries;
        }
        let rate = |(offered, _): &&(OfferedLoad, Millis)| offered.per_s.get(organisation).copied();
        let others_per_s: f64 = valid.iter().filter_map(rate).sum();
        let own_per_s = self.reported.per_s.get(organisation).copied().unwrap_or_default();
        let even_per_s = EVEN_SHARE * limit.per_s / entries;
        (own_per_s + even_per_s) / (own_per_s + others_per_s + even_per_s * entries)
    }
}
