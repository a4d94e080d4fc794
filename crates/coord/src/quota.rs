//! Shares of quotas: each entry earns a part of each quota and may give of it to others.
//!
//! Units are never made twice: an entry earns `rate / entries`, and a transfer takes from the giver
//! before it reaches the receiver. A lost message loses units. So whatever is partitioned, frozen
//! or restarted, the sum of what all entries spend stays within the quota.

use kernel::{Millis, Name};
use rules::Quota;
use std::collections::BTreeMap;

/// The terms that all purses of an entry are kept by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the window in which the quota is judged, in milliseconds.
    pub window_ms: Millis,
    /// Part of the quota of a window that may be spent beyond it.
    pub overshoot: f64,
    /// Units of any quota that may be spent beyond it in a window.
    pub slack: f64,
    /// Part of the quota that entries earn; a little more than one makes up for units that lie
    /// with entries which do not need them.
    pub refill_factor: f64,
    /// Part of what is then left of the allowed excess that entries keep as savings; the rest
    /// covers rounding and requests under way.
    pub capacity_fraction: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            window_ms: 8_000,
            overshoot: 0.1,
            slack: 0.0,
            refill_factor: 1.0,
            capacity_fraction: 0.7,
        }
    }
}

impl QuotaSettings {
    /// Returns the most that one of `entries` purses may save up.
    pub fn capacity(&self, quota: &Quota, entries: usize) -> f64 {
        let rated = quota.per_s * self.window_ms as f64 / 1000.0;
        let allowed = (rated + quota.burst) * (1.0 + self.overshoot) + self.slack;
        let left = (allowed - rated * self.refill_factor).max(0.0);
        self.capacity_fraction * left / entries.max(1) as f64
    }
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Charge {
    /// It is paid for.
    Charged,
    /// This much is missing here; other entries may have it.
    Short(f64),
}

/// Units that one entry gives another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transfer {
    /// The units.
    pub units: f64,
}

/// What an entry may spend of one organisation's quota.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    units: f64,
    at: Millis,
}

/// The purses of an entry, by organisation.
#[derive(Clone, Debug)]
pub struct QuotaShares {
    settings: QuotaSettings,
    entries: usize,
    refill_from: Millis,
    purses: BTreeMap<Name, TokenBucket>,
}

impl QuotaShares {
    /// Creates empty purses that earn from a time on, by when the other entries count this one.
    pub fn new(settings: QuotaSettings, refill_from: Millis) -> Self {
        Self { settings, entries: 1, refill_from, purses: BTreeMap::new() }
    }

    /// Sets the time from which this entry earns.
    pub fn start_refill_at(&mut self, refill_from: Millis) {
        self.refill_from = refill_from;
        self.purses.clear();
    }

    /// Sets the number of entries that share each quota.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Pays for a request if there is enough.
    pub fn charge(&mut self, organisation: &Name, quota: &Quota, cost: f64, now: Millis) -> Charge {
        let units = self.refill(organisation, quota, now);
        if *units >= cost {
            *units -= cost;
            return Charge::Charged;
        }
        Charge::Short(cost - *units)
    }

    /// Returns the most that one entry may save up of a quota.
    pub fn capacity(&self, quota: &Quota) -> f64 {
        self.settings.capacity(quota, self.entries)
    }

    /// Takes back what a request has cost that did not run.
    pub fn refund(&mut self, organisation: &Name, quota: &Quota, cost: f64, now: Millis) {
        let most = self.settings.capacity(quota, self.entries).max(cost);
        let units = self.refill(organisation, quota, now);
        *units = (*units + cost).min(most);
    }

    /// Gives another entry up to `wanted`, keeping what this one is likely to need itself.
    pub fn grant(
        &mut self,
        organisation: &Name,
        quota: &Quota,
        wanted: f64,
        now: Millis,
    ) -> Transfer {
        let units = self.refill(organisation, quota, now);
        let given = wanted.min(*units).max(0.0);
        *units -= given;
        Transfer { units: given }
    }

    /// Takes in what another entry gave.
    pub fn receive(&mut self, organisation: &Name, quota: &Quota, transfer: Transfer, now: Millis) {
        *self.refill(organisation, quota, now) += transfer.units.max(0.0);
    }

    /// Returns what an entry may spend now.
    pub fn available(&mut self, organisation: &Name, quota: &Quota, now: Millis) -> f64 {
        *self.refill(organisation, quota, now)
    }

    /// Earns up to now and returns the units.
    fn refill(&mut self, organisation: &Name, quota: &Quota, now: Millis) -> &mut f64 {
        let most = self.settings.capacity(quota, self.entries);
        // An organisation that is new here earned nothing before; its savings grow like those of
        // the others.
        let new = TokenBucket { units: 0.0, at: self.refill_from };
        let purse = self.purses.entry(organisation.clone()).or_insert(new);
        let passed = now.saturating_sub(purse.at) as f64 / 1000.0;
        let earned = passed * quota.per_s * self.settings.refill_factor / self.entries as f64;
        // What was received beyond the savings stays; nothing is earned on top of it.
        purse.units = purse.units.max((purse.units + earned).min(most));
        purse.at = now.max(purse.at);
        &mut purse.units
    }
}
