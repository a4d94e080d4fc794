//! Loads that the other entries told, summed by server.

use crate::server::Load;
use kernel::{Millis, Name};
use std::collections::{BTreeMap, HashMap};

/// What one entry told last.
#[derive(Clone, Debug)]
struct Told {
    at: Millis,
    loads: Vec<(Name, Load)>,
}

/// A sum of loads. Its numbers are wide enough for any loads of any entries, so that what was added can be
/// subtracted again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Sum {
    open: u64,
    pending_prompt_tokens: u128,
}

/// Loads from requests of the other entries, and their sums, which change only by what is told.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerLoads {
    by_entry: BTreeMap<Name, Told>,
    sums: HashMap<Name, Sum>,
}

impl PeerLoads {
    /// Replaces what an entry told. Returns the servers whose sum may have changed.
    pub(crate) fn record(
        &mut self,
        entry: &Name,
        loads: Vec<(Name, Load)>,
        now: Millis,
    ) -> Vec<Name> {
        for (id, load) in &loads {
            let sum = self.sums.entry(id.clone()).or_default();
            sum.open += u64::from(load.open);
            sum.pending_prompt_tokens += u128::from(load.pending_prompt_tokens);
        }
        let mut changed: Vec<Name> = loads.iter().map(|(id, _)| id.clone()).collect();
        if let Some(before) = self.by_entry.insert(entry.clone(), Told { at: now, loads }) {
            changed.extend(self.subtract(before));
        }
        changed
    }

    /// Forgets what entries told that have been silent for `silence_ms`. Returns the servers whose sum may
    /// have changed.
    pub(crate) fn forget_silent(&mut self, silence_ms: Millis, now: Millis) -> Vec<Name> {
        let silent = |told: &Told| now.saturating_sub(told.at) >= silence_ms;
        let entries = self.by_entry.iter().filter(|(_, told)| silent(told));
        let entries: Vec<Name> = entries.map(|(entry, _)| entry.clone()).collect();
        let told: Vec<Told> =
            entries.iter().filter_map(|entry| self.by_entry.remove(entry)).collect();
        told.into_iter().flat_map(|told| self.subtract(told)).collect()
    }

    /// Returns the sum of what the other entries have open at a server.
    pub(crate) fn sum(&self, server: &str) -> Load {
        let sum = self.sums.get(server).copied().unwrap_or_default();
        Load {
            open: sum.open.try_into().unwrap_or(u32::MAX),
            pending_prompt_tokens: sum.pending_prompt_tokens.try_into().unwrap_or(u64::MAX),
        }
    }

    /// Takes what an entry told out of the sums. Returns the servers that it named.
    fn subtract(&mut self, told: Told) -> Vec<Name> {
        for (id, load) in &told.loads {
            let Some(sum) = self.sums.get_mut(id) else { continue };
            sum.open -= u64::from(load.open);
            sum.pending_prompt_tokens -= u128::from(load.pending_prompt_tokens);
            if *sum == Sum::default() {
                self.sums.remove(id);
            }
        }
        told.loads.into_iter().map(|(id, _)| id).collect()
    }
}
