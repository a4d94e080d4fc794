//! Parts of the limits that this entry may use, by the entries that share them.

use crate::context::Context;
use crate::registration::REGISTRATION_TTL_S;
use coord::{PoolRole, quota_pools, readers};
use kernel::boot_ms;
use kernel::prelude::*;
use std::rc::Rc;

/// Time by which this entry stops using its share before the others may stop to count it, in milliseconds.
const UNCOUNTED_MARGIN_MS: Millis = 500;

impl Context {
    /// Whether the other entries certainly count this one among those that share the limits.
    ///
    /// They count an entry until some time after its registration has lapsed. One that the store turns away stops
    /// using its share before.
    fn is_counted(&self) -> bool {
        let revoke_ms = self.settings.promises.revoke.as_millis() as Millis;
        let counted_ms =
            (REGISTRATION_TTL_S as Millis * 1_000 + revoke_ms).saturating_sub(UNCOUNTED_MARGIN_MS);
        let registered_at = self.registered_at.get();
        let is_recent = registered_at.is_some_and(|at| boot_ms().saturating_sub(at) < counted_ms);
        // Before it is listed, the number of entries is not known either.
        is_recent && self.roster.borrow().get(&self.settings.name).is_some()
    }

    /// Follows changes of the roster: sets the readers, and the entries that share the quotas, the retry
    /// budget, the limits of servers, the trials of prompt parts in quarantine and the origins of streams.
    pub(crate) fn update_shares(&self) {
        let entries = self.roster.borrow_mut().share_count(boot_ms());
        let changes = self.roster.borrow().changes();
        let is_counted = self.is_counted();
        if self.was_counted.replace(is_counted) != is_counted {
            info!(self.log, "share of the retry slack"; "held" => is_counted);
            self.retry_budget.borrow_mut().set_entries(is_counted.then_some(entries), boot_ms());
        }
        let is_same_count = self.share_count.replace(entries) == entries;
        if self.roster_followed.replace(Some(changes)) == Some(changes) && is_same_count {
            return;
        }
        if !is_same_count {
            info!(self.log, "limits shared"; "entries" => entries,
                "registered" => self.roster.borrow().present().count());
        }
        let names: Vec<Name> =
            self.roster.borrow().present().map(|entry| entry.name.clone()).collect();
        *self.readers.borrow_mut() = readers(&names).map(Rc::from);
        let pools = quota_pools(&names);
        let role = match &pools {
            None => PoolRole::None,
            Some(pools) if pools.contains(&self.settings.name) => PoolRole::Pool,
            Some(_) => PoolRole::Depositor,
        };
        self.quota_shares.borrow_mut().set_entries(entries);
        self.quota_shares.borrow_mut().set_role(role);
        *self.quota_pools.borrow_mut() = pools.unwrap_or_default();
        self.retry_budget.borrow_mut().set_entries(is_counted.then_some(entries), boot_ms());
        self.quarantine.borrow_mut().set_entries(names.clone());
        self.origins.borrow_mut().set_entries(names.clone());
        self.brittle_servers.borrow_mut().set_entries(names.len());
        self.server_limits.borrow_mut().set_entries(names, boot_ms());
    }
}
