//! Quota shares: each entry refills its token buckets with its share of each quota and may grant
//! quota units to other entries.
//!
//! No unit is created twice: an entry refills at `rate / entries`, and a transfer is deducted from
//! the sender before it reaches the receiver. If the message is lost, its units are lost too. The
//! total that all entries spend therefore stays within the quota during network partitions, after
//! restarts and while entries are suspended.
//!
//! Where entries are many, the share of one is less than a large request needs. Then a few entries, the
//! pools, hold most of what is saved: the others deposit what they do not need, and ask the pools first.

use crate::rendezvous;
use kernel::{Millis, Name};
use rules::Quota;
use std::collections::BTreeMap;

/// Largest number of entries without pools.
const MAX_ENTRIES_WITHOUT_POOLS: usize = 12;
/// Number of pools in a larger deployment.
const POOL_COUNT: usize = 4;
/// Key hash by which the pools are chosen.
const POOLS_KEY_HASH: u64 = 0x706f_6f6c;
/// Capacity of all pools together, as a fraction of that of all buckets.
const POOL_FRACTION: f64 = 0.6;
/// Fill level above which an entry deposits units, as a fraction of its capacity.
const DEPOSIT_LEVEL: f64 = 0.1;
/// Fill level from which units are not scarce, as a fraction of the capacity.
const AMPLE_LEVEL: f64 = 0.25;

/// Returns the entries that pool quota units; `None` if each entry keeps its own.
pub fn quota_pools(entries: &[Name]) -> Option<Vec<Name>> {
    rendezvous::deputies(entries, MAX_ENTRIES_WITHOUT_POOLS, POOL_COUNT, POOLS_KEY_HASH)
}

/// Part of an entry in the pooling of quota units.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PoolRole {
    /// There are no pools.
    #[default]
    None,
    /// The entry deposits units in pools.
    Depositor,
    /// The entry is a pool.
    Pool,
}

/// Settings of the token buckets of an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the window in which the quota must hold, in milliseconds.
    pub window_ms: Millis,
    /// Fraction by which the units spent in a window may exceed the quota and its burst.
    pub overshoot: f64,
    /// Number of units of each quota that may be spent in a window in addition to `overshoot`.
    pub slack: f64,
    /// Refill rate of all entries together, as a fraction of the rate of the quota. A value
    /// slightly above 1 compensates for units held by entries that do not need them.
    pub refill_factor: f64,
    /// Capacity of all buckets together, as a fraction of the units that a window allows in
    /// addition to the refill; the rest covers rounding and requests in flight.
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
    /// Returns the capacity of one bucket if the quota is shared by `entries` entries.
    pub fn capacity(&self, quota: &Quota, entries: usize, role: PoolRole) -> f64 {
        let total = self.total_capacity(quota);
        let even = total / entries.max(1) as f64;
        match role {
            PoolRole::None => even,
            PoolRole::Depositor => (1.0 - POOL_FRACTION) * even,
            PoolRole::Pool => {
                (1.0 - POOL_FRACTION) * even + POOL_FRACTION * total / POOL_COUNT as f64
            }
        }
    }

    /// Returns the capacity of all buckets together.
    fn total_capacity(&self, quota: &Quota) -> f64 {
        let quota_units = quota.per_s * self.window_ms as f64 / 1000.0;
        let allowed = (quota_units + quota.burst) * (1.0 + self.overshoot) + self.slack;
        let remaining = (allowed - quota_units * self.refill_factor).max(0.0);
        self.capacity_fraction * remaining
    }
}

/// Result of charging a request to a quota share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Charge {
    /// The cost was deducted from the bucket.
    Charged,
    /// Nothing was deducted: the bucket lacks this many units, which other entries may have.
    Short(f64),
}

/// Quota units that one entry grants to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transfer {
    /// Number of units.
    pub units: f64,
}

/// Token bucket holding an entry's share of the quota of one organisation.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    units: f64,
    refilled_at: Millis,
    /// Time at which the bucket was last filled to [`AMPLE_LEVEL`], or at which it began to refill.
    ample_at: Millis,
}

/// Token buckets of an entry, by organisation.
#[derive(Clone, Debug)]
pub struct QuotaShares {
    settings: QuotaSettings,
    entries: usize,
    role: PoolRole,
    refill_from: Millis,
    buckets: BTreeMap<Name, TokenBucket>,
    /// Cost of the requests that wait for units here, by organisation.
    awaited: BTreeMap<Name, f64>,
}

impl QuotaShares {
    /// Creates empty buckets that refill from `refill_from` on. By then all other entries must
    /// count this one among the entries that share the quotas.
    pub fn new(settings: QuotaSettings, refill_from: Millis) -> Self {
        Self {
            settings,
            entries: 1,
            role: PoolRole::None,
            refill_from,
            buckets: BTreeMap::new(),
            awaited: BTreeMap::new(),
        }
    }

    /// Empties all buckets and refills them from `refill_from` on.
    pub fn start_refill_at(&mut self, refill_from: Millis) {
        self.refill_from = refill_from;
        self.buckets.clear();
    }

    /// Sets the number of entries that share each quota.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Sets the part of this entry in the pooling of units.
    ///
    /// A pool that becomes none loses what it holds: another one takes its place, and together they would
    /// hold too much.
    pub fn set_role(&mut self, role: PoolRole) {
        if self.role == PoolRole::Pool && role != PoolRole::Pool {
            self.buckets.values_mut().for_each(|bucket| bucket.units = 0.0);
        }
        self.role = role;
    }

    /// Records that a request waits for units that others grant, or for the refill.
    pub fn begin_wait(&mut self, organisation: &Name, cost: f64) {
        *self.awaited.entry(organisation.clone()).or_default() += cost;
    }

    /// Records that a request no longer waits.
    pub fn end_wait(&mut self, organisation: &Name, cost: f64) {
        if let Some(awaited) = self.awaited.get_mut(organisation) {
            *awaited -= cost;
            if *awaited <= 0.0 {
                self.awaited.remove(organisation);
            }
        }
    }

    /// Deducts what this entry should deposit in a pool; 0 if it is not a depositor or has too little. What
    /// requests wait for here stays.
    pub fn take_deposit(&mut self, organisation: &Name, quota: &Quota, now: Millis) -> Transfer {
        let awaited = self.awaited.get(organisation).copied().unwrap_or(0.0);
        let kept = awaited.max(DEPOSIT_LEVEL * self.capacity(quota));
        if self.role != PoolRole::Depositor {
            return Transfer { units: 0.0 };
        }
        let units = self.refill(organisation, quota, now);
        let deposit = (*units - kept).max(0.0);
        *units -= deposit;
        Transfer { units: deposit }
    }

    /// Adds units that another entry deposits here, as far as there is room for them. An entry that is no
    /// pool, or not yet, has little.
    pub fn receive_deposit(
        &mut self,
        organisation: &Name,
        quota: &Quota,
        deposit: Transfer,
        now: Millis,
    ) {
        let capacity = self.capacity(quota);
        let units = self.refill(organisation, quota, now);
        *units = units.max((*units + deposit.units.max(0.0)).min(capacity));
    }

    /// Deducts the cost of a request from the bucket if it holds enough units.
    pub fn charge(&mut self, organisation: &Name, quota: &Quota, cost: f64, now: Millis) -> Charge {
        let units = self.refill(organisation, quota, now);
        if *units >= cost {
            *units -= cost;
            return Charge::Charged;
        }
        Charge::Short(cost - *units)
    }

    /// Returns the capacity of the bucket of one entry for a quota.
    pub fn capacity(&self, quota: &Quota) -> f64 {
        self.settings.capacity(quota, self.entries, self.role)
    }

    /// Refunds the cost of a request that did not run.
    pub fn refund(&mut self, organisation: &Name, quota: &Quota, cost: f64, now: Millis) {
        let limit = self.capacity(quota).max(cost);
        let units = self.refill(organisation, quota, now);
        *units = (*units + cost).min(limit);
    }

    /// Deducts up to `wanted` units to grant them to another entry. Nothing is held back for the
    /// requests of this entry.
    pub fn grant(
        &mut self,
        organisation: &Name,
        quota: &Quota,
        wanted: f64,
        now: Millis,
    ) -> Transfer {
        let units = self.refill(organisation, quota, now);
        let granted = wanted.min(*units).max(0.0);
        *units -= granted;
        Transfer { units: granted }
    }

    /// Adds units that another entry granted.
    pub fn receive(&mut self, organisation: &Name, quota: &Quota, transfer: Transfer, now: Millis) {
        *self.refill(organisation, quota, now) += transfer.units.max(0.0);
    }

    /// Returns the number of units that this entry may spend now.
    pub fn available(&mut self, organisation: &Name, quota: &Quota, now: Millis) -> f64 {
        *self.refill(organisation, quota, now)
    }

    /// Returns the time for which this entry has had few units of an organisation, in milliseconds.
    ///
    /// A pool has few for long only if the organisation asks for more than its quota. What a depositor has says
    /// nothing.
    pub fn scarce_ms(&mut self, organisation: &Name, quota: &Quota, now: Millis) -> Millis {
        self.refill(organisation, quota, now);
        self.buckets.get(organisation).map_or(0, |bucket| now.saturating_sub(bucket.ample_at))
    }

    /// Refills a bucket up to `now` and returns its units.
    fn refill(&mut self, organisation: &Name, quota: &Quota, now: Millis) -> &mut f64 {
        let capacity = self.capacity(quota);
        // A bucket is created empty when its organisation is first seen, and like all others it has
        // refilled since `refill_from`.
        let new = TokenBucket {
            units: 0.0,
            refilled_at: self.refill_from,
            ample_at: self.refill_from.min(now),
        };
        let bucket = self.buckets.entry(organisation.clone()).or_insert(new);
        let elapsed_s = now.saturating_sub(bucket.refilled_at) as f64 / 1000.0;
        let refill = elapsed_s * quota.per_s * self.settings.refill_factor / self.entries as f64;
        // Units received from other entries may exceed the capacity: they stay, but the bucket is
        // not refilled beyond its capacity.
        bucket.units = bucket.units.max((bucket.units + refill).min(capacity));
        bucket.refilled_at = now.max(bucket.refilled_at);
        if bucket.units >= AMPLE_LEVEL * capacity {
            bucket.ample_at = now;
        }
        &mut bucket.units
    }
}
